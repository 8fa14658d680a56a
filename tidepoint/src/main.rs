//! The command line beside the daemons.

use std::process;

use kernel::settings;

mod call;
mod flags;
mod rehearse;
mod rollout;
mod trace;

fn main() -> process::ExitCode {
    let flags = match flags::Tidepoint::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    if flags.version {
        println!("tidepoint {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    let done = match flags.subcommand {
        flags::TidepointCmd::Check(check) => verify(check.path),
        flags::TidepointCmd::Trace(trace) => trace::run(&trace),
        flags::TidepointCmd::Fleet(fleet) => call::get(&fleet.at, "/fleet"),
        flags::TidepointCmd::Tenants(tenants) => call::get(&tenants.at, "/tenants"),
        flags::TidepointCmd::Submit(submit) => call::submit(&submit),
        flags::TidepointCmd::Status(one) => call::get(&one.at, &format!("/batches/{}", one.batch)),
        flags::TidepointCmd::Results(one) => call::get(&one.at, &format!("/batches/{}/results", one.batch)),
        flags::TidepointCmd::Cancel(one) => call::cancel(&one.at, &one.batch),
        flags::TidepointCmd::Rollout(rollout) => rollout::run(&rollout.subcommand),
        flags::TidepointCmd::Version(version) => call::version(&version.subcommand),
        flags::TidepointCmd::Rehearse(plan) => rehearse::run(&plan),
    };
    match done {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(words) => {
            eprintln!("tidepoint: {words}");
            process::ExitCode::from(2)
        }
    }
}

fn verify(path: Option<String>) -> Result<(), String> {
    let path = path.unwrap_or_else(settings::path);
    settings::load(&path).map_err(|error| error.current_context().to_string())?;
    println!("{path}: settings are good");
    Ok(())
}
