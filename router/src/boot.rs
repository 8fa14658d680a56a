//! Start and end of the process.

use crate::drain::{Phase, Schedule};
use crate::metrics::Stage;
use crate::state::State;
use std::sync::Arc;

#[kernel::plug::linkme::distributed_slice]
#[linkme(crate = kernel::plug::linkme)]
pub static ROUTER_PARTS: [kernel::plug::Plug<Arc<State>>];

macro_rules! part {
    ($label:ident, $name:literal, $order:literal, $start:expr) => {
        #[kernel::plug::linkme::distributed_slice(ROUTER_PARTS)]
        #[linkme(crate = kernel::plug::linkme)]
        static $label: kernel::plug::Plug<Arc<State>> =
            kernel::plug::Plug { name: $name, order: $order, start: $start };
    };
}

part!(READY, "readiness", 1, |state| drop(tokio::spawn(crate::server::readiness(state.clone()))));
part!(FOLLOW, "news", 2, |state| drop(tokio::spawn(crate::follow::run(state.clone()))));
part!(SAMPLES, "samples", 4, |state| drop(tokio::spawn(crate::version_rollouts::send_samples(state.clone()))));
part!(DOOR, "frontend", 3, |state| drop(tokio::spawn(crate::server::frontend(state.clone()))));

/// Runs a router until it is told to end and has finished what it took.
pub async fn run(env: kernel::env::Env, mut signals: kernel::signal::Signals) -> std::process::ExitCode {
    kernel::say!(crate::event::START, "node" => env.node_name.clone(), "ip" => env.ip.clone());
    let state = State::new(env);
    let observed = state.clone();
    telemetry::start(&state.env.ip, state.env.metrics.as_ref(), move || observed.metrics.render(&observed));
    kernel::plug::start(&ROUTER_PARTS, &state);
    kernel::signal::until_leave(&mut signals).await;
    leave(&state).await;
    std::process::ExitCode::SUCCESS
}

/// Ends what the router does, well inside the grace.
pub(crate) async fn leave(state: &State) {
    let counts = state.record.lock().expect("record").counts;
    kernel::say!(crate::event::LEAVE, "open" => under_way(state, &PHASES, &STAGES));
    kernel::say!(crate::event::COUNTS, "queries" => counts.queries, "hits" => counts.hits, "no_owner" => counts.no_owner,
        "stale" => counts.stale_owner, "transfer" => counts.transfer_error, "unanswered" => counts.unanswered,
        "dropped" => counts.dropped);
    state.drain.run(&Schedule::of(state.env.bounds.grace_s)).await;
    report_end(state);
}

const PHASES: [Phase; 3] = [Phase::Serving, Phase::Draining, Phase::Closing];
const STAGES: [Stage; 3] = [Stage::Reading, Stage::Forwarding, Stage::Answering];

/// Requests that are not ended yet: those that came in some phases and are in some stages.
fn under_way(state: &State, phases: &[Phase], stages: &[Stage]) -> i64 {
    let of_phase = |phase: &Phase| stages.iter().map(|stage| state.metrics.under_way(*phase, *stage)).sum::<i64>();
    phases.iter().map(of_phase).sum()
}

/// What is left unfinished, by how far it is and whether it came before or after SIGTERM.
fn report_end(state: &State) {
    kernel::say!(crate::event::GONE, "open" => under_way(state, &PHASES, &STAGES),
        "reading" => under_way(state, &PHASES, &[Stage::Reading]),
        "forwarding" => under_way(state, &PHASES, &[Stage::Forwarding]),
        "answering" => under_way(state, &PHASES, &[Stage::Answering]),
        "taken_since" => under_way(state, &PHASES[1..], &STAGES),
        "connections" => state.metrics.connections_open.get());
}
