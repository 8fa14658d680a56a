//! The start of a daemon's process: settings read and checked, one thread, one runtime.

use std::future::Future;
use std::process;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::time::{self, Interval, MissedTickBehavior};

use crate::settings::{self, MetricsEndpoint, Settings};
use crate::signal::{self, Signals};

/// Exit status for settings that can't be read or are not valid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit status if the system gives no runtime.
const EXIT_NO_RUNTIME: u8 = 3;

/// What the command line of a daemon may say.
#[derive(Default)]
pub struct DaemonFlags {
    /// Only check the settings.
    pub check_settings: bool,
    /// Only print the version.
    pub print_version: bool,
    /// Where metrics are served, in place of what the settings say.
    pub metrics: Option<MetricsEndpoint>,
}

/// Reads the settings and runs the daemon on one thread. Returns its exit status.
pub fn run_daemon<F: Future<Output = process::ExitCode>>(
    name: &str,
    version: &str,
    flags: DaemonFlags,
    run: impl FnOnce(Settings, Signals) -> F,
) -> process::ExitCode {
    if flags.print_version {
        println!("{name} {version}");
        return process::ExitCode::SUCCESS;
    }
    let Ok(runtime) = Builder::new_current_thread().enable_all().build() else {
        eprintln!("{name}: no runtime");
        return process::ExitCode::from(EXIT_NO_RUNTIME);
    };
    runtime.block_on(async {
        // First of all: a signal that comes while the daemon starts must not end it.
        let signals = signal::watch();
        let mut settings = match settings::load(&settings::path()) {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("{name}: {}", error.current_context());
                return process::ExitCode::from(EXIT_INVALID_SETTINGS);
            }
        };
        settings.metrics = flags.metrics.or(settings.metrics);
        if flags.check_settings {
            println!("settings are good");
            return process::ExitCode::SUCCESS;
        }
        run(settings, signals).await
    })
}

/// Returns an interval that does not catch up on ticks missed during a pause of the process.
///
/// # Panics
///
/// Panics if `interval_ms` is zero.
pub fn interval(interval_ms: u64) -> Interval {
    let mut interval = time::interval(Duration::from_millis(interval_ms));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}
