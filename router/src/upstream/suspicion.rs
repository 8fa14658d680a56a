//! Outlier detection: suspicion of an engine that gave no sign of life, confirmed or cleared by a probe and never
//! by a client's request. `GET /report` takes no slot; a slow engine answers it, an unresponsive one does not.
//!
//! An engine that becomes unresponsive must not be probed by every router. One that suspects it reports so, some
//! others are sampled to probe it too, and the rest rely on their reports, both for its silence and for its first
//! response.

use std::mem;
use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use load_balancing::EngineState;
use protocol::message::Message;
use tokio::time::{self, Instant};

use crate::config::evacuation;
use crate::event::ENGINE_UNRESPONSIVE;
use crate::state::State;
use crate::upstream::probe::probe;
use crate::upstream::probe_rate::{is_sampled, probe_delay, reported_probe_delay, PROBE_JITTER_MS, SUSPICION_MS};
use crate::upstream::suspicion_report::SuspicionReport;

/// How long a request may go without a sign of life from its engine before the engine is probed, in milliseconds.
pub const LIVENESS_TIMEOUT_MS: u64 = 150;
/// How many times a router reports its own suspicion while it gets no response.
const MAX_SUSPICION_REPORTS: u32 = 3;
/// An engine that was unresponsive for longer than this, in milliseconds, may have been restarted.
const PRESUMED_RESTART_MS: u64 = 1000;

/// Why an engine is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeReason {
    /// A request of this router got no sign of life.
    OwnRequest,
    /// Another router suspects it, and this one was sampled to probe it too.
    Sampled,
    /// It is reported to be unresponsive.
    Reported,
}

/// Returns a random number.
fn next_random(state: &State) -> u64 {
    state.rng().next_u64()
}

/// Handles a report about an engine that a controller relayed.
pub fn handle_report(state: &Arc<State>, name: &str) {
    let report = SuspicionReport::decode(name);
    let Some(at) = state.engines().find(report.engine()) else { return };
    match report {
        SuspicionReport::Responded(_) => {
            state.engines().engines[at].answered_elsewhere = true;
            state.suspicion_cleared.notify_waiters();
        }
        SuspicionReport::Unresponsive(_) => {
            let now = clock::now();
            {
                let mut engine_table = state.engines();
                let engine = &mut engine_table.engines[at];
                // New requests avoid it; responses in flight are not affected by what other routers saw.
                engine.suspected_until = engine.suspected_until.max(now + SUSPICION_MS);
            }
            start_probing(state, at, ProbeReason::Reported);
        }
        SuspicionReport::Suspected(_) => {
            if is_sampled(state.router_count(), next_random(state)) {
                start_probing(state, at, ProbeReason::Sampled);
            }
        }
    }
}

/// Waits until the next probe is due (`false`), or another router got a response (`true`).
async fn wait_for_next_probe(state: &State, at: usize, wait_ms: u64) -> bool {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let notified = state.suspicion_cleared.notified();
        if mem::take(&mut state.engines().engines[at].answered_elsewhere) {
            return true;
        }
        if time::timeout_at(end, notified).await.is_err() {
            return false;
        }
    }
}

/// Waits as `wait_for_next_probe` does, but also ends when a request of this router gets no sign of life either:
/// then it probes for itself.
async fn wait_on_report(state: &State, at: usize, wait_ms: u64) -> bool {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let notified = state.suspicion_cleared.notified();
        {
            let mut engine_table = state.engines();
            let engine = &mut engine_table.engines[at];
            if mem::take(&mut engine.answered_elsewhere) {
                return true;
            }
            if mem::take(&mut engine.is_unresponsive) {
                return false;
            }
        }
        if time::timeout_at(end, notified).await.is_err() {
            return false;
        }
    }
}

/// Sends a report to the home controller, which relays it.
fn send_report(state: &State, report: SuspicionReport) {
    let home = state.home_controller().clone();
    if let Some(home) = home {
        home.notify(Message::SuspectEngine(Box::new((report.encode(), false))));
    }
}

/// Raises a suspicion because a request got no sign of life: the engine is probed until it responds or is no longer
/// listed.
pub fn raise(state: &Arc<State>, at: usize) {
    if let Some(engine) = state.engines().engines.get_mut(at) {
        engine.is_unresponsive = true;
    }
    state.suspicion_cleared.notify_waiters();
    start_probing(state, at, ProbeReason::OwnRequest);
}

/// Starts a prober unless the engine has one.
fn start_probing(state: &Arc<State>, at: usize, reason: ProbeReason) {
    {
        let mut engine_table = state.engines();
        let Some(engine) = engine_table.engines.get_mut(at).filter(|engine| engine.listed && !engine.is_probing) else {
            return;
        };
        engine.is_probing = true;
        engine.answered_elsewhere = false;
        engine.is_unresponsive = false;
    }
    tokio::spawn(probe_until_response(state.clone(), at, reason));
}

/// The outcome of one probe.
enum ProbeOutcome {
    /// No more probes are needed.
    Finished,
    /// No response; `known`: the engine was suspected before.
    Unanswered { known: bool },
}

/// Probes an engine until it responds or is no longer listed.
async fn probe_until_response(state: Arc<State>, at: usize, reason: ProbeReason) {
    let started_at = clock::now();
    let random = || next_random(&state);
    if reason == ProbeReason::Sampled {
        time::sleep(Duration::from_millis(random() % PROBE_JITTER_MS)).await;
    }
    if reason == ProbeReason::Reported
        && wait_on_report(&state, at, reported_probe_delay(state.router_count(), random())).await
    {
        return accept_reported_response(&state, at, started_at);
    }
    let (mut unanswered, mut response_reported) = (0u32, false);
    loop {
        let (addr, id) = {
            let engine_table = state.engines();
            (engine_table.engines[at].address.clone(), engine_table.engines[at].id.clone())
        };
        let answer = probe(&addr).await;
        let known = match record_probe(&state, at, &id, answer, started_at) {
            ProbeOutcome::Finished => {
                // A router that learned of the response from a report need not report it again.
                let is_here = state.engines().engines[at].listed;
                if is_here && !response_reported && (unanswered > 0 || reason == ProbeReason::Reported) {
                    send_report(&state, SuspicionReport::Responded(&id));
                }
                return;
            }
            ProbeOutcome::Unanswered { known } => known,
        };
        state.connection_pools.forget(&addr);
        match reason {
            ProbeReason::OwnRequest if unanswered < MAX_SUSPICION_REPORTS => {
                send_report(&state, SuspicionReport::Suspected(&id))
            }
            ProbeReason::Sampled if unanswered == 0 && !known => {
                send_report(&state, SuspicionReport::Unresponsive(&id))
            }
            _ => {}
        }
        unanswered += 1;
        response_reported =
            wait_for_next_probe(&state, at, probe_delay(unanswered, state.router_count(), random())).await;
    }
}

/// Records the response of an engine, or its absence.
fn record_probe(state: &State, at: usize, id: &str, answer: Option<Option<String>>, started_at: u64) -> ProbeOutcome {
    let now = clock::now();
    let mut engine_table = state.engines();
    let engine = &mut engine_table.engines[at];
    let known = engine.suspected_until > now;
    match answer {
        Some(name) if name.as_ref().is_none_or(|name| name == id) => record_response(state, engine, now, started_at),
        Some(_) => engine.retire(),
        None => engine.record_failure(now, SUSPICION_MS),
    }
    if is_resolved(engine, now) {
        engine.is_probing = false;
        return ProbeOutcome::Finished;
    }
    engine.answered_elsewhere = false;
    kernel::log_event!(ENGINE_UNRESPONSIVE, "engine" => id, "strikes" => engine.consecutive_failures);
    ProbeOutcome::Unanswered { known }
}

/// Records that the engine responded.
fn record_response(state: &State, engine: &mut EngineState, now: u64, started_at: u64) {
    engine.record_response(now);
    if now > started_at + PRESUMED_RESTART_MS {
        // It may have been restarted in the meantime.
        engine.presume_cold(now + evacuation::presumed_cold_ms(state));
    }
}

/// Clears the suspicion because another router got a response and this one has no evidence of its own against the
/// engine.
fn accept_reported_response(state: &State, at: usize, started_at: u64) {
    let mut engine_table = state.engines();
    let engine = &mut engine_table.engines[at];
    engine.is_probing = false;
    record_response(state, engine, clock::now(), started_at);
}

/// Returns whether the engine needs no further probes.
fn is_resolved(engine: &EngineState, now: u64) -> bool {
    !engine.listed || engine.suspected_until <= now
}

#[cfg(test)]
#[path = "suspicion_tests.rs"]
mod tests;
