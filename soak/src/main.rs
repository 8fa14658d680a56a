//! Command line of the soak test: runs seeds in sequence, or runs one of the daemons.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use std::{env, fs, io, process};

use kernel::startup::{run_daemon, DaemonFlags};
use soak::{Programs, Scenario};
use tokio::runtime::Builder;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Soak test of planned maintenance with real processes on loopback addresses.
        cmd soak {
            /// Run seeds in sequence and print one line of results for each.
            cmd run {
                /// First seed (default: 1).
                optional --seed seed: u64
                /// Number of consecutive seeds (default: 1).
                optional --seeds count: u64
                /// Number of routers.
                optional --routers count: usize
                /// Number of controllers.
                optional --controllers count: usize
                /// Number of engines.
                optional --engines count: usize
                /// Number of clients.
                optional --clients count: usize
                /// Grace period of the daemons, in seconds.
                optional --grace seconds: f64
                /// Duration of the schedule of signals and changes, in seconds.
                optional --seconds seconds: u64
                /// Kill controllers, freeze them and wipe their disks, one at a time.
                optional --faults
                /// Partition zones from the others, one at a time.
                optional --partitions
                /// Kill and freeze controllers, several at a time, and wipe one disk until all have recovered.
                optional --overlaps
                /// Evacuate zones while engines are slow.
                optional --evacuations
                /// Start engines of a version that no rollout names.
                optional --unnamed-version
                /// Directory with the executables `router` and `controller` of another build.
                optional --programs folder: PathBuf
            }
            /// Run as one of the daemons: `router` or `controller`.
            cmd daemon {
                required program: String
            }
        }
    }
}

use flags::SoakCmd;

/// Maximum number of violations printed for one run.
const MAX_PRINTED_VIOLATIONS: usize = 12;

fn main() -> ExitCode {
    let flags = match flags::Soak::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match flags.subcommand {
        SoakCmd::Daemon(daemon) => run_program(&daemon.program),
        SoakCmd::Run(run) => match run_seeds(&run) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(error) => {
                eprintln!("soak: {error}");
                ExitCode::FAILURE
            }
        },
    }
}

fn run_program(program: &str) -> ExitCode {
    let (version, flags) = (env!("CARGO_PKG_VERSION"), DaemonFlags::default());
    match program {
        "router" => run_daemon("router", version, flags, router::startup::run),
        "controller" => run_daemon("controller", version, flags, controller::startup::run),
        other => {
            eprintln!("soak: unknown daemon {other}: must be router or controller");
            ExitCode::FAILURE
        }
    }
}

/// Returns the short scenario of a seed, with the overrides from the command line.
fn scenario(flags: &flags::Run, seed: u64) -> Scenario {
    let defaults = Scenario::short(seed);
    Scenario {
        routers: flags.routers.unwrap_or(defaults.routers),
        controllers: flags.controllers.unwrap_or(defaults.controllers),
        engines: flags.engines.unwrap_or(defaults.engines),
        clients: flags.clients.unwrap_or(defaults.clients),
        grace_s: flags.grace.unwrap_or(defaults.grace_s),
        has_faults: flags.faults,
        has_partitions: flags.partitions,
        has_overlapping_faults: flags.overlaps,
        has_evacuations: flags.evacuations,
        has_unnamed_version: flags.unnamed_version,
        duration: flags.seconds.map_or(defaults.duration, Duration::from_secs),
        ..defaults
    }
}

/// Runs all seeds. Returns whether no run had a violation.
fn run_seeds(flags: &flags::Run) -> io::Result<bool> {
    let programs = match &flags.programs {
        Some(folder) => Programs::Folder(folder.clone()),
        None => Programs::Own(env::current_exe()?),
    };
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    let first = flags.seed.unwrap_or(1);
    let mut has_passed = true;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        let dir = create_run_dir(seed)?;
        let report = runtime.block_on(soak::run(&scenario(flags, seed), &programs, &dir))?;
        println!("seed {seed}: {report}");
        report.violations.iter().take(MAX_PRINTED_VIOLATIONS).for_each(|violation| println!("    {violation:?}"));
        if report.violations.is_empty() {
            fs::remove_dir_all(&dir)?;
        } else {
            has_passed = false;
            println!("    logs: {}", dir.display());
        }
    }
    Ok(has_passed)
}

fn create_run_dir(seed: u64) -> io::Result<PathBuf> {
    let dir: &Path = &env::temp_dir().join(format!("tidepoint-soak-{}-{seed}", process::id()));
    fs::create_dir_all(dir)?;
    Ok(dir.into())
}
