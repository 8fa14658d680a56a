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
    if flags.version {
        println!("router {}", env!("CARGO_PKG_VERSION"));
        return std::process::ExitCode::SUCCESS;
    }
    let env = match kernel::env::load(&kernel::env::path()) {
        Ok(env) => env,
        Err(error) => {
            eprintln!("router: {}", error.current_context());
            return std::process::ExitCode::from(2);
        }
    };
    if flags.check {
        println!("settings are good");
        return std::process::ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else {
        eprintln!("router: no runtime");
        return std::process::ExitCode::from(3);
    };
    runtime.block_on(router::boot::run(env))
}
