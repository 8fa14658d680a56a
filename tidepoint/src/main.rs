//! The command line beside the daemons.

use std::process;

use error::CommandError;
use kernel::settings;

mod error;
mod experiment;
mod flags;
mod http_client;
mod simulate_batch;
mod staleness_limit;
mod tally;
mod trace_change;

/// The exit code of a command that failed; a wrong command line ends with the parser's own.
const FAILURE: u8 = 2;

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
        flags::TidepointCmd::Check(check) => check_settings(check.path),
        flags::TidepointCmd::Trace(trace) => trace_change::run(&trace),
        flags::TidepointCmd::Fleet(fleet) => http_client::print(&fleet.at, "/fleet"),
        flags::TidepointCmd::Tenants(tenants) => http_client::print(&tenants.at, "/tenants"),
        flags::TidepointCmd::Submit(submit) => http_client::submit_batch(&submit),
        flags::TidepointCmd::Status(one) => http_client::print(&one.at, &format!("/batches/{}", one.batch)),
        flags::TidepointCmd::Results(one) => http_client::print(&one.at, &format!("/batches/{}/results", one.batch)),
        flags::TidepointCmd::Cancel(one) => http_client::cancel_batch(&one.at, &one.batch),
        flags::TidepointCmd::Rollout(rollout) => staleness_limit::run(&rollout.subcommand),
        flags::TidepointCmd::Version(version) => http_client::version_rollout(&version.subcommand),
        flags::TidepointCmd::Usage(usage) => http_client::print(&usage.at, "/usage"),
        flags::TidepointCmd::Tally(tally) => tally::run(&tally.subcommand),
        flags::TidepointCmd::Rehearse(plan) => simulate_batch::run(&plan),
        flags::TidepointCmd::Experiment(experiment) => experiment::run_experiment(&experiment),
    };
    match done {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tidepoint: {error}");
            process::ExitCode::from(FAILURE)
        }
    }
}

/// Checks a settings file; that of the environment where none is named.
fn check_settings(path: Option<String>) -> Result<(), CommandError> {
    let path = path.unwrap_or_else(settings::path);
    settings::load(&path).map_err(|report| CommandError::InvalidSettings(report.current_context().clone()))?;
    println!("{path}: settings are good");
    Ok(())
}
