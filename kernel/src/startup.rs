//! Start-up of a daemon's process: reads the settings and runs the daemon in a single-threaded runtime.

use std::future::Future;
use std::process;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::time::{self, Interval, MissedTickBehavior};

use crate::settings::{self, MetricsEndpoint, Settings};
use crate::signal::{self, Signals};

/// Exit status if the settings can't be read or are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit status if the async runtime can't be created.
const EXIT_NO_RUNTIME: u8 = 3;

/// The command-line flags of a daemon.
#[derive(Default)]
pub struct DaemonFlags {
    /// Check the settings and exit.
    pub check_settings: bool,
    /// Print the version and exit.
    pub print_version: bool,
    /// The metrics endpoint that overrides the one of the settings.
    pub metrics: Option<MetricsEndpoint>,
}

/// Reads the settings, runs the daemon on one thread and returns its exit status.
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
        eprintln!("{name}: can't create the async runtime");
        return process::ExitCode::from(EXIT_NO_RUNTIME);
    };
    runtime.block_on(async {
        // The handlers come first: a signal that arrives during start-up must not end the daemon.
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

/// Returns an interval that does not catch up on ticks missed while the process was paused.
///
/// # Panics
///
/// Panics if `interval_ms` is zero.
pub fn interval(interval_ms: u64) -> Interval {
    let mut interval = time::interval(Duration::from_millis(interval_ms));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}
