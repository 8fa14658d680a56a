//! The control-plane daemon: parses the command line and runs the controller.

use std::process;

use kernel::startup::{run_daemon, DaemonFlags};

mod flags {
    use kernel::settings::MetricsEndpoint;

    xflags::xflags! {
        /// Control-plane daemon of tidepoint.
        cmd controller {
            /// Check the settings, report any errors, and exit.
            optional --check
            /// Print the version and exit.
            optional --version
            /// Serve metrics at PORT/PATH instead of the endpoint in the settings.
            optional --metrics endpoint: MetricsEndpoint
        }
    }
}

fn main() -> process::ExitCode {
    let flags = match flags::Controller::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let daemon_flags =
        DaemonFlags { check_settings: flags.check, print_version: flags.version, metrics: flags.metrics };
    run_daemon("controller", env!("CARGO_PKG_VERSION"), daemon_flags, controller::startup::run)
}
