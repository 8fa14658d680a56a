//! The data-plane daemon: parses the command line and runs the router.

use std::process::ExitCode;

use kernel::startup::{run_daemon, DaemonFlags};

mod flags {
    use kernel::settings::MetricsEndpoint;

    xflags::xflags! {
        /// Data-plane daemon of tidepoint.
        cmd router {
            /// Check the settings, report any errors, and exit.
            optional --check
            /// Print the version and exit.
            optional --version
            /// Serve metrics at PORT/PATH instead of the endpoint in the settings.
            optional --metrics endpoint: MetricsEndpoint
        }
    }
}

fn main() -> ExitCode {
    let flags = match flags::Router::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let daemon_flags =
        DaemonFlags { check_settings: flags.check, print_version: flags.version, metrics: flags.metrics };
    run_daemon("router", env!("CARGO_PKG_VERSION"), daemon_flags, router::startup::run)
}
