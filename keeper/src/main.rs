//! The control plane: knows which engines and daemons exist, holds and delivers the configuration.

mod flags {
    xflags::xflags! {
        /// Control-plane daemon of tidepoint.
        cmd keeper {
            /// Only check the settings and say what is wrong with them.
            optional --check
            /// Print the version.
            optional --version
        }
    }
}

fn main() -> std::process::ExitCode {
    let flags = match flags::Keeper::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    kernel::entry::enter("keeper", env!("CARGO_PKG_VERSION"), (flags.check, flags.version), keeper::boot::run)
}
