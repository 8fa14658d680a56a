//! Start and end of the process.

use std::process;
use std::sync::Arc;

use kernel::plugin::{self, Plugin};
use kernel::settings::Settings;
use kernel::signal::{self, Signals};

use crate::event::{COUNTS, GONE, LEAVE, START};
use crate::frontend::drain::{Phase, Schedule};
use crate::frontend::listener;
use crate::metrics::Stage;
use crate::rollout;
use crate::state::State;
use crate::subscription::driver;

#[kernel::plugin::linkme::distributed_slice]
#[linkme(crate = kernel::plugin::linkme)]
pub static ROUTER_PARTS: [Plugin<Arc<State>>];

macro_rules! part {
    ($label:ident, $name:literal, $order:literal, $start:expr) => {
        #[kernel::plugin::linkme::distributed_slice(ROUTER_PARTS)]
        #[linkme(crate = kernel::plugin::linkme)]
        static $label: kernel::plugin::Plugin<Arc<State>> =
            kernel::plugin::Plugin { name: $name, order: $order, start: $start };
    };
}

part!(READY, "readiness", 1, |state| drop(tokio::spawn(listener::readiness(state.clone()))));
part!(FOLLOW, "news", 2, |state| drop(tokio::spawn(driver::run(state.clone()))));
part!(SAMPLES, "samples", 4, |state| drop(tokio::spawn(rollout::send_samples(state.clone()))));
part!(DOOR, "frontend", 3, |state| drop(tokio::spawn(listener::frontend(state.clone()))));

/// Runs a router until it is told to end and has finished what it took.
pub async fn run(settings: Settings, mut signals: Signals) -> process::ExitCode {
    kernel::log_event!(START, "node" => settings.node_name.clone(), "ip" => settings.ip.clone());
    let state = State::new(settings);
    let observed = state.clone();
    telemetry::start(&state.settings.ip, state.settings.metrics.as_ref(), move || observed.metrics.render(&observed));
    plugin::start(&ROUTER_PARTS, &state);
    signal::wait_for_termination(&mut signals).await;
    leave(&state).await;
    process::ExitCode::SUCCESS
}

/// Ends what the router does, well inside the grace.
pub(crate) async fn leave(state: &State) {
    let counts = state.owner_cache().counts;
    kernel::log_event!(LEAVE, "open" => under_way(state, &PHASES, &STAGES));
    kernel::log_event!(COUNTS, "queries" => counts.queries, "hits" => counts.hits, "no_owner" => counts.no_owner,
        "stale" => counts.stale_owner, "transfer" => counts.transfer_error, "unanswered" => counts.unanswered,
        "dropped" => counts.dropped);
    state.drain.run(&Schedule::of(state.settings.bounds.grace_s)).await;
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
    kernel::log_event!(GONE, "open" => under_way(state, &PHASES, &STAGES),
        "reading" => under_way(state, &PHASES, &[Stage::Reading]),
        "forwarding" => under_way(state, &PHASES, &[Stage::Forwarding]),
        "answering" => under_way(state, &PHASES, &[Stage::Answering]),
        "taken_since" => under_way(state, &PHASES[1..], &STAGES),
        "connections" => state.metrics.connections_open.get());
}
