//! Locates the programs of the earlier and the present build.
use std::env;
use std::path::{Path, PathBuf};

/// Environment variable with the folder of the earlier build.
const EARLIER_BUILD_VAR: &str = "TIDEPOINT_EARLIER_BUILD";
/// Environment variable with the folder of the present build. Default: the folder of the test's own profile.
const PRESENT_BUILD_VAR: &str = "TIDEPOINT_PRESENT_BUILD";
/// Names of the control-plane program over time, newest first.
const CONTROLLER_PROGRAMS: [&str; 2] = ["controller", "keeper"];
const ROUTER_PROGRAM: &str = "router";

/// The programs of one build.
#[derive(Clone, Debug)]
pub struct Build {
    pub controller: PathBuf,
    pub router: PathBuf,
}

impl Build {
    pub fn earlier() -> Build {
        let folder = env::var_os(EARLIER_BUILD_VAR)
            .unwrap_or_else(|| panic!("{EARLIER_BUILD_VAR} must name the folder of the earlier build"));
        Build::in_folder(Path::new(&folder))
    }

    pub fn present() -> Build {
        match env::var_os(PRESENT_BUILD_VAR) {
            Some(folder) => Build::in_folder(Path::new(&folder)),
            None => Build::in_folder(&test_profile_folder()),
        }
    }

    fn in_folder(folder: &Path) -> Build {
        let found = CONTROLLER_PROGRAMS.iter().map(|name| folder.join(name)).find(|path| path.is_file());
        let controller = found.unwrap_or_else(|| panic!("{}: none of {CONTROLLER_PROGRAMS:?} found", folder.display()));
        let router = folder.join(ROUTER_PROGRAM);
        assert!(router.is_file(), "{}: {ROUTER_PROGRAM} not found", folder.display());
        Build { controller, router }
    }
}

/// Returns the folder in which cargo puts the programs of the profile that the test was built with.
fn test_profile_folder() -> PathBuf {
    let own = env::current_exe().expect("the path of the test program");
    own.ancestors().nth(2).expect("a folder above `deps`").to_path_buf()
}
