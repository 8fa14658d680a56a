//! The `rehearse` command: simulates a batch with a chosen number of jobs.

use batch::testing::{reference_plan, simulate};

use crate::error::CommandError;
use crate::flags::Rehearse;

/// Runs the simulation with and without the batch and prints both outcomes.
///
/// # Errors
///
/// Fails if a job was not answered exactly once.
pub fn run(flags: &Rehearse) -> Result<(), CommandError> {
    let plan = reference_plan(flags.seed.unwrap_or(1), flags.jobs.unwrap_or(2000));
    let (with, without) = (simulate(&plan, true), simulate(&plan, false));
    println!(
        "{} jobs, window {} ms, {} zones of {} engines",
        plan.jobs, plan.window_ms, plan.zones, plan.engines_per_zone
    );
    println!(
        "zones evacuated at {:?}, owner crashes at {:?}, owner freezes at {:?}",
        plan.zone_evacuations, plan.owner_crashes, plan.owner_freezes
    );
    println!(
        "answered {}, outcome unknown {}, deadline missed {}, unfinished {}",
        with.completed, with.unknown, with.deadline_missed, with.unfinished
    );
    println!(
        "answered twice {}, run twice {}, answered without a run {}",
        with.answered_twice, with.run_twice, with.responses_without_run
    );
    println!(
        "last receipt at {} ms; dispatches rejected for lack of capacity: {}",
        with.last_finish_ms, with.rejected_dispatches
    );
    println!(
        "interactive p50 {} ms with, {} ms without; p99 {} ms with, {} ms without",
        with.interactive_p50_ms, without.interactive_p50_ms, with.interactive_p99_ms, without.interactive_p99_ms
    );
    if with.answered_twice + with.run_twice + with.responses_without_run + with.unfinished > 0 {
        return Err(CommandError::NotExactlyOnce);
    }
    Ok(())
}
