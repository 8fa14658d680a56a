//! The operators' command-line tool.

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

/// Exit code of a failed command. Errors in the command line exit with the parser's own code.
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
    let result = match flags.subcommand {
        flags::TidepointCmd::Check(check) => check_settings(check.path),
        flags::TidepointCmd::Trace(trace) => trace_change::run(&trace),
        flags::TidepointCmd::Fleet(fleet) => http_client::get_and_print(&fleet.at, "/fleet"),
        flags::TidepointCmd::Tenants(tenants) => http_client::get_and_print(&tenants.at, "/tenants"),
        flags::TidepointCmd::Submit(submit) => http_client::submit_batch(&submit),
        flags::TidepointCmd::Status(status) => {
            http_client::get_and_print(&status.at, &format!("/batches/{}", status.batch))
        }
        flags::TidepointCmd::Results(results) => {
            http_client::get_and_print(&results.at, &format!("/batches/{}/results", results.batch))
        }
        flags::TidepointCmd::Cancel(cancel) => http_client::cancel_batch(&cancel.at, &cancel.batch),
        flags::TidepointCmd::Rollout(rollout) => staleness_limit::run(&rollout.subcommand),
        flags::TidepointCmd::Version(version) => http_client::version_rollout(&version.subcommand),
        flags::TidepointCmd::Usage(usage) => http_client::get_and_print(&usage.at, "/usage"),
        flags::TidepointCmd::Tally(tally) => tally::run(&tally.subcommand),
        flags::TidepointCmd::Rehearse(rehearse) => simulate_batch::run(&rehearse),
        flags::TidepointCmd::Experiment(experiment) => experiment::run_experiment(&experiment),
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tidepoint: {error}");
            process::ExitCode::from(FAILURE)
        }
    }
}

/// Checks a settings file. Without a path it checks the one that the environment names.
fn check_settings(path: Option<String>) -> Result<(), CommandError> {
    let path = path.unwrap_or_else(settings::path);
    settings::load(&path).map_err(|report| CommandError::InvalidSettings(report.current_context().clone()))?;
    println!("{path}: settings are good");
    Ok(())
}
