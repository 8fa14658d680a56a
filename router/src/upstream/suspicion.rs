//! Doubt about an engine that gives no sign of life: settled by asking it, never by a client's
//! request. `GET /report` takes no slot; a slow engine answers it, a dark one does not.
//!
//! One engine that goes dark must not be asked by every router: one that doubts it tells, some others are drawn to
//! ask it too, and the rest take their word, both for its silence and for its first answer.

use std::mem;
use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use load_balancing::EngineState;
use protocol::message::Message;
use tokio::time::{self, Instant};

use crate::config::evacuation;
use crate::event::STRIKE;
use crate::state::State;
use crate::upstream::probe::probe;
use crate::upstream::probe_rate::{is_sampled, probe_delay, reported_probe_delay, PROBE_JITTER_MS, SUSPICION_MS};
use crate::upstream::suspicion_report::SuspicionReport;

/// How long a request may go without a sign of life from its engine before that is asked.
pub const LIVENESS_TIMEOUT_MS: u64 = 150;
/// How often a router tells of its own doubt while it gets no answer.
const MAX_SUSPICION_REPORTS: u32 = 3;
/// An engine that gave no answer for so long was not only slow.
const PRESUMED_RESTART_MS: u64 = 1000;

/// Why an engine is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeReason {
    /// A request of this router got no sign of life.
    OwnRequest,
    /// Another router's doubt, and this one was drawn to ask.
    Sampled,
    /// It is told to be dark.
    Reported,
}

fn next_random(state: &State) -> u64 {
    state.rng.lock().next_u64()
}

/// Word of an engine from a controller.
pub fn handle_report(state: &Arc<State>, name: &str) {
    let report = SuspicionReport::decode(name);
    let Some(at) = state.engine_table.lock().find(report.engine()) else { return };
    match report {
        SuspicionReport::Responded(_) => {
            state.engine_table.lock().engines[at].answered_elsewhere = true;
            state.suspicion_cleared.notify_waiters();
        }
        SuspicionReport::Unresponsive(_) => {
            let now = clock::now();
            {
                let mut engine_table = state.engine_table.lock();
                let engine = &mut engine_table.engines[at];
                // Nothing new is sent there; answers under way are no worse for what others saw.
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

/// Until the next probe is due (false), or another router got an answer (true).
async fn wait_for_next_probe(state: &State, at: usize, wait_ms: u64) -> bool {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let notified = state.suspicion_cleared.notified();
        if mem::take(&mut state.engine_table.lock().engines[at].answered_elsewhere) {
            return true;
        }
        if time::timeout_at(end, notified).await.is_err() {
            return false;
        }
    }
}

/// As `rest`, until a request of this router gets no sign of life either: then it asks for itself.
async fn wait_on_report(state: &State, at: usize, wait_ms: u64) -> bool {
    let end = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let notified = state.suspicion_cleared.notified();
        {
            let mut engine_table = state.engine_table.lock();
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

fn send_report(state: &State, report: SuspicionReport) {
    let home = state.home_controller.lock().clone();
    if let Some(home) = home {
        home.notify(Message::SuspectEngine(Box::new((report.encode(), false))));
    }
}

/// A request got no sign of life from an engine: it is asked until it answers or is gone.
pub fn raise(state: &Arc<State>, at: usize) {
    if let Some(engine) = state.engine_table.lock().engines.get_mut(at) {
        engine.is_unresponsive = true;
    }
    state.suspicion_cleared.notify_waiters();
    start_probing(state, at, ProbeReason::OwnRequest);
}

/// One asker an engine at a time.
fn start_probing(state: &Arc<State>, at: usize, reason: ProbeReason) {
    {
        let mut engine_table = state.engine_table.lock();
        let Some(engine) = engine_table.engines.get_mut(at).filter(|engine| engine.listed && !engine.is_probing) else {
            return;
        };
        engine.is_probing = true;
        engine.answered_elsewhere = false;
        engine.is_unresponsive = false;
    }
    tokio::spawn(probe_until_response(state.clone(), at, reason));
}

/// What came of one probe.
enum ProbeOutcome {
    /// Nothing more is to be asked.
    Finished,
    /// No answer; whether the engine was known to be dark before.
    Unanswered { known: bool },
}

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
            let engine_table = state.engine_table.lock();
            (engine_table.engines[at].address.clone(), engine_table.engines[at].id.clone())
        };
        let answer = probe(&addr).await;
        let known = match record_probe(&state, at, &id, answer, started_at) {
            ProbeOutcome::Finished => {
                // Whoever was told need not tell.
                let is_here = state.engine_table.lock().engines[at].listed;
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

/// Takes the answer of an engine, or its silence, for what it says.
fn record_probe(state: &State, at: usize, id: &str, answer: Option<Option<String>>, started_at: u64) -> ProbeOutcome {
    let now = clock::now();
    let mut engine_table = state.engine_table.lock();
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
    kernel::log_event!(STRIKE, "engine" => id, "strikes" => engine.consecutive_failures);
    ProbeOutcome::Unanswered { known }
}

fn record_response(state: &State, engine: &mut EngineState, now: u64, started_at: u64) {
    engine.record_response(now);
    if now > started_at + PRESUMED_RESTART_MS {
        // It may have been started anew meanwhile.
        engine.presume_cold(now + evacuation::presumed_cold_ms(state));
    }
}

/// Another router got an answer, and this one has no reason of its own to doubt it.
fn accept_reported_response(state: &State, at: usize, started_at: u64) {
    let mut engine_table = state.engine_table.lock();
    let engine = &mut engine_table.engines[at];
    engine.is_probing = false;
    record_response(state, engine, clock::now(), started_at);
}

fn is_resolved(engine: &EngineState, now: u64) -> bool {
    !engine.listed || engine.suspected_until <= now
}

#[cfg(test)]
#[path = "suspicion_tests.rs"]
mod tests;
