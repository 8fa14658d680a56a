//! The data plane: takes clients' requests and carries them to engines.

mod flags {
    xflags::xflags! {
        /// Data-plane daemon of tidepoint.
        cmd router {
            /// Only check the settings and say what is wrong with them.
            optional --check
            /// Print the version.
            optional --version
        }
    }
}

fn main() -> std::process::ExitCode {
    let flags = match flags::Router::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    kernel::entry::enter("router", env!("CARGO_PKG_VERSION"), (flags.check, flags.version), router::boot::run)
}
