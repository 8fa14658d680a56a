//! Folders with built programs: those of an earlier build and those of the present one.
use std::env;
use std::path::{Path, PathBuf};

/// Names the folder of the earlier build.
const EARLIER: &str = "TIDEPOINT_EARLIER_BUILD";
/// Names the folder of the present build; the folder beside the test if it is not set.
const PRESENT: &str = "TIDEPOINT_PRESENT_BUILD";
/// Names of the control-plane program, the newest first.
const CONTROLLERS: [&str; 2] = ["controller", "keeper"];
const ROUTER: &str = "router";

/// The programs of one build.
#[derive(Clone, Debug)]
pub struct Build {
    pub controller: PathBuf,
    pub router: PathBuf,
}

impl Build {
    pub fn earlier() -> Build {
        let folder = env::var_os(EARLIER).unwrap_or_else(|| panic!("{EARLIER} is to name a folder of programs"));
        Build::in_folder(Path::new(&folder))
    }

    pub fn present() -> Build {
        match env::var_os(PRESENT) {
            Some(folder) => Build::in_folder(Path::new(&folder)),
            None => Build::in_folder(&beside_the_test()),
        }
    }

    fn in_folder(folder: &Path) -> Build {
        let found = CONTROLLERS.iter().map(|name| folder.join(name)).find(|path| path.is_file());
        let controller = found.unwrap_or_else(|| panic!("{}: none of {CONTROLLERS:?} is there", folder.display()));
        let router = folder.join(ROUTER);
        assert!(router.is_file(), "{}: {ROUTER} is not there", folder.display());
        Build { controller, router }
    }
}

/// The folder in which cargo puts programs of the profile with which the test was built.
fn beside_the_test() -> PathBuf {
    let own = env::current_exe().expect("a path");
    own.ancestors().nth(2).expect("the folder of programs").to_path_buf()
}
