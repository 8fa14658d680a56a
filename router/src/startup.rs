//! Startup and graceful shutdown of the process.

use std::process::ExitCode;
use std::sync::Arc;

use kernel::plugin::linkme::distributed_slice;
use kernel::plugin::{self, Plugin};
use kernel::settings::Settings;
use kernel::signal::{self, Signals};

use crate::event::{PREFIX_LOOKUP_COUNTS, ROUTER_STARTED, SHUTDOWN_FINISHED, SHUTDOWN_STARTED};
use crate::frontend::drain::{DrainPhase, DrainSchedule};
use crate::frontend::listener;
use crate::metering;
use crate::metrics::Stage;
use crate::rollout;
use crate::state::State;
use crate::subscription::driver;

/// The background tasks of a router. They register themselves and are started by ascending `order`.
#[distributed_slice]
#[linkme(crate = kernel::plugin::linkme)]
pub static ROUTER_PLUGINS: [Plugin<Arc<State>>];

/// Registers a background task: the name of the static, the name of the task, its start order, and its start function.
macro_rules! router_plugin {
    ($label:ident, $name:literal, $order:literal, $start:expr) => {
        #[distributed_slice(ROUTER_PLUGINS)]
        #[linkme(crate = kernel::plugin::linkme)]
        static $label: Plugin<Arc<State>> = Plugin { name: $name, order: $order, start: $start };
    };
}

router_plugin!(READY, "readiness", 1, |state| drop(tokio::spawn(listener::serve_readiness(state.clone()))));
router_plugin!(SUBSCRIPTION, "news", 2, |state| drop(tokio::spawn(driver::run(state.clone()))));
router_plugin!(FRONTEND, "frontend", 3, |state| drop(tokio::spawn(listener::serve_frontend(state.clone()))));
router_plugin!(METERING, "metering", 5, |state| drop(tokio::spawn(metering::send_counts(state.clone()))));
router_plugin!(SAMPLES, "samples", 4, |state| drop(tokio::spawn(rollout::send_samples(state.clone()))));

/// Runs a router until SIGTERM, then shuts it down gracefully.
pub async fn run(settings: Settings, mut signals: Signals) -> ExitCode {
    kernel::log_event!(ROUTER_STARTED, "node" => settings.node_name.clone(), "ip" => settings.ip.clone());
    let state = State::new(settings);
    let metrics_state = state.clone();
    telemetry::start(state.settings.listen_ip(), state.settings.metrics.as_ref(), move || {
        metrics_state.metrics.render(&metrics_state)
    });
    plugin::start(&ROUTER_PLUGINS, &state);
    signal::wait_for_termination(&mut signals).await;
    shut_down(&state).await;
    ExitCode::SUCCESS
}

/// Shuts the router down gracefully within the grace period.
pub(crate) async fn shut_down(state: &State) {
    let counts = state.owner_cache().counts;
    kernel::log_event!(SHUTDOWN_STARTED, "open" => count_unfinished(state, &PHASES, &STAGES));
    kernel::log_event!(PREFIX_LOOKUP_COUNTS, "queries" => counts.queries, "hits" => counts.hits, "no_owner" => counts.no_owner,
        "stale" => counts.stale_owner, "transfer" => counts.transfer_error, "unanswered" => counts.unanswered,
        "dropped" => counts.dropped);
    state.drain.run(&DrainSchedule::for_grace(state.settings.bounds.grace_s)).await;
    metering::send_last_counts(state).await;
    log_unfinished(state);
}

/// All phases in order.
const PHASES: [DrainPhase; 3] = [DrainPhase::Serving, DrainPhase::Draining, DrainPhase::Closing];
/// All stages in order.
const STAGES: [Stage; 3] = [Stage::Reading, Stage::Forwarding, Stage::Answering];

/// Returns the number of unfinished requests that arrived in one of `phases` and are in one of `stages`.
fn count_unfinished(state: &State, phases: &[DrainPhase], stages: &[Stage]) -> i64 {
    let count_in_phase =
        |phase: &DrainPhase| stages.iter().map(|stage| state.metrics.requests_in_stage(*phase, *stage)).sum::<i64>();
    phases.iter().map(count_in_phase).sum()
}

/// Logs the number of unfinished requests, by stage, and how many of them arrived after SIGTERM.
fn log_unfinished(state: &State) {
    kernel::log_event!(SHUTDOWN_FINISHED, "open" => count_unfinished(state, &PHASES, &STAGES),
        "reading" => count_unfinished(state, &PHASES, &[Stage::Reading]),
        "forwarding" => count_unfinished(state, &PHASES, &[Stage::Forwarding]),
        "answering" => count_unfinished(state, &PHASES, &[Stage::Answering]),
        "taken_since" => count_unfinished(state, &PHASES[1..], &STAGES),
        "connections" => state.metrics.connections_open.get());
}
