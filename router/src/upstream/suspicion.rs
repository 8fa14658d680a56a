//! Outlier detection: an engine that does not respond is suspected, and a probe, never a client's request, confirms or
//! clears the suspicion. A probe is a `GET /report`, which takes no slot: a slow engine responds to it, an unresponsive
//! one does not.
//!
//! An unresponsive engine must not be probed by every router. A router that suspects an engine reports it, a sample of
//! the other routers probes the engine too, and the rest rely on their reports of whether it responds. A report applies
//! to the zone that it comes from: when zones cannot reach one another, an engine may be unresponsive from one of them
//! and healthy from another.

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
use crate::upstream::probe::{probe, ProbeResponse};
use crate::upstream::probe_rate::{is_sampled, probe_delay, reported_probe_delay, PROBE_JITTER_MS, SUSPICION_MS};
use crate::upstream::suspicion_report::{ProbeResult, SuspicionReport};

/// How long a request may wait without any response from its engine before the engine is probed, in milliseconds.
pub const LIVENESS_TIMEOUT_MS: u64 = 150;
/// Maximum number of reports that a router sends of its own suspicion while it gets no response.
const MAX_SUSPICION_REPORTS: u32 = 3;
/// Unresponsive time in milliseconds after which an engine is presumed to have been restarted.
const PRESUMED_RESTART_MS: u64 = 1000;

/// Why an engine is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeReason {
    /// A request of this router got no response.
    OwnRequest,
    /// Another router suspects it, and this one was sampled to probe it too.
    Sampled,
    /// A report says that it is unresponsive from this zone.
    Reported,
}

/// Returns a random number.
fn next_random(state: &State) -> u64 {
    state.rng().next_u64()
}

/// Handles a report about an engine, relayed by a controller.
pub fn handle_report(state: &Arc<State>, name: &str) {
    let report = SuspicionReport::decode(name);
    let Some(engine_index) = state.engines().find(report.engine()) else { return };
    match report {
        SuspicionReport::Responded(result) if result.applies_to(&state.settings.zone) => {
            state.engines().engines[engine_index].answered_elsewhere = true;
            state.suspicion_cleared.notify_waiters();
        }
        // An engine that another zone reaches may be unreachable from this one, so a sample of the routers probes it.
        SuspicionReport::Responded(_) => {
            if is_sampled(state.router_count(), next_random(state)) {
                state.engines().engines[engine_index].answered_in_other_zone = true;
                state.suspicion_cleared.notify_waiters();
            }
        }
        SuspicionReport::Unresponsive(result) if result.applies_to(&state.settings.zone) => {
            let now = clock::now();
            {
                let mut engine_table = state.engines();
                let engine = &mut engine_table.engines[engine_index];
                // New requests avoid the engine; responses in flight are not affected by reports of other routers.
                engine.suspected_until = engine.suspected_until.max(now + SUSPICION_MS);
            }
            start_probing(state, engine_index, ProbeReason::Reported);
        }
        SuspicionReport::Suspected(_) | SuspicionReport::Unresponsive(_) => {
            if is_sampled(state.router_count(), next_random(state)) {
                start_probing(state, engine_index, ProbeReason::Sampled);
            }
        }
    }
}

/// Waits up to `wait_ms` until `outcome` returns a value, and returns that value, or `false` on a timeout. `outcome` is
/// evaluated at once and after each notification.
async fn wait_for(
    state: &State,
    engine_index: usize,
    wait_ms: u64,
    outcome: impl Fn(&mut EngineState) -> Option<bool>,
) -> bool {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        // Registered before the check, so that no notification between the two is missed.
        let notified = state.suspicion_cleared.notified();
        let result = outcome(&mut state.engines().engines[engine_index]);
        if let Some(result) = result {
            return result;
        }
        if time::timeout_at(deadline, notified).await.is_err() {
            return false;
        }
    }
}

/// Takes the notice that another router got a response: `true` if it is in this zone, `false` if in another zone.
fn take_response(engine: &mut EngineState) -> Option<bool> {
    let in_other_zone = mem::take(&mut engine.answered_in_other_zone);
    if mem::take(&mut engine.answered_elsewhere) {
        return Some(true);
    }
    in_other_zone.then_some(false)
}

/// Waits until the next probe is due. Returns `true` as soon as another router of this zone reports a response. A
/// response reported from another zone makes the probe due at once.
async fn wait_for_next_probe(state: &State, engine_index: usize, wait_ms: u64) -> bool {
    wait_for(state, engine_index, wait_ms, take_response).await
}

/// Waits like `wait_for_next_probe`, but the probe is also due at once when a request of this router gets no response
/// either.
async fn wait_for_first_probe(state: &State, engine_index: usize, wait_ms: u64) -> bool {
    let outcome = |engine: &mut EngineState| {
        take_response(engine).or_else(|| mem::take(&mut engine.is_unresponsive).then_some(false))
    };
    wait_for(state, engine_index, wait_ms, outcome).await
}

/// Sends a report to the home controller, which relays it.
fn send_report(state: &State, report: SuspicionReport) {
    let home = state.home_controller().clone();
    if let Some(home) = home {
        home.notify(Message::SuspectEngine(Box::new((report.encode(), false))));
    }
}

/// Raises a suspicion because a request got no response: the engine is probed until it responds or is no longer listed.
pub fn raise(state: &Arc<State>, engine_index: usize) {
    if let Some(engine) = state.engines().engines.get_mut(engine_index) {
        engine.is_unresponsive = true;
    }
    state.suspicion_cleared.notify_waiters();
    start_probing(state, engine_index, ProbeReason::OwnRequest);
}

/// Starts a prober unless the engine has one.
fn start_probing(state: &Arc<State>, engine_index: usize, reason: ProbeReason) {
    {
        let mut engine_table = state.engines();
        let Some(engine) =
            engine_table.engines.get_mut(engine_index).filter(|engine| engine.listed && !engine.is_probing)
        else {
            return;
        };
        engine.is_probing = true;
        engine.answered_elsewhere = false;
        engine.answered_in_other_zone = false;
        engine.is_unresponsive = false;
    }
    tokio::spawn(probe_until_response(state.clone(), engine_index, reason));
}

/// The outcome of one probe.
enum ProbeOutcome {
    /// No more probes are needed.
    Finished,
    /// No response; `was_suspected` if the engine was suspected before.
    Unanswered { was_suspected: bool },
}

/// Probes an engine until it responds or is no longer listed, unless a report clears the suspicion first.
async fn probe_until_response(state: Arc<State>, engine_index: usize, reason: ProbeReason) {
    let started_at = clock::now();
    if reason == ProbeReason::Sampled {
        time::sleep(Duration::from_millis(next_random(&state) % PROBE_JITTER_MS)).await;
    }
    if reason == ProbeReason::Reported {
        let delay_ms = reported_probe_delay(state.router_count(), next_random(&state));
        if wait_for_first_probe(&state, engine_index, delay_ms).await {
            return accept_reported_response(&state, engine_index, started_at);
        }
    }
    let mut prober =
        Prober { state: &state, engine_index, reason, started_at, unanswered: 0, response_reported: false };
    prober.run().await;
}

/// Probes one engine; an engine has at most one prober.
struct Prober<'a> {
    state: &'a State,
    engine_index: usize,
    reason: ProbeReason,
    started_at: u64,
    /// How many probes got no response.
    unanswered: u32,
    /// Whether another router reported a response while this one waited for its next probe.
    response_reported: bool,
}

impl Prober<'_> {
    /// Probes until the engine responds or is no longer listed.
    async fn run(&mut self) {
        loop {
            let (address, id) = self.engine();
            let response = probe(self.state.dialer(), &address).await;
            let outcome = record_probe(self.state, self.engine_index, &id, response, self.started_at);
            let ProbeOutcome::Unanswered { was_suspected } = outcome else { return self.report_response(&id) };
            self.state.connection_pools.forget(&address);
            self.report_no_response(&id, was_suspected);
            self.unanswered += 1;
            let delay_ms = probe_delay(self.unanswered, self.state.router_count(), next_random(self.state));
            self.response_reported = wait_for_next_probe(self.state, self.engine_index, delay_ms).await;
        }
    }

    /// Returns the current address and id of the engine.
    fn engine(&self) -> (String, String) {
        let engine_table = self.state.engines();
        let engine = &engine_table.engines[self.engine_index];
        (engine.address.clone(), engine.id.clone())
    }

    /// Reports a response if other routers know of the suspicion. A response that another router reported is not
    /// reported again.
    fn report_response(&self, id: &str) {
        let is_listed = self.state.engines().engines[self.engine_index].listed;
        let is_suspicion_known = self.unanswered > 0 || self.reason == ProbeReason::Reported;
        if is_listed && !self.response_reported && is_suspicion_known {
            send_report(self.state, SuspicionReport::Responded(self.probe_result(id)));
        }
    }

    fn probe_result<'b>(&'b self, id: &'b str) -> ProbeResult<'b> {
        ProbeResult { engine: id, probed_from: Some(&self.state.settings.zone) }
    }

    /// Reports that a probe got no response, if other routers need the report. `was_suspected`: see `ProbeOutcome`.
    fn report_no_response(&self, id: &str, was_suspected: bool) {
        match self.reason {
            ProbeReason::OwnRequest if self.unanswered < MAX_SUSPICION_REPORTS => {
                send_report(self.state, SuspicionReport::Suspected(id));
            }
            ProbeReason::Sampled if self.unanswered == 0 && !was_suspected => {
                send_report(self.state, SuspicionReport::Unresponsive(self.probe_result(id)));
            }
            _ => {}
        }
    }
}

/// Records the result of a probe: the response of the engine, or its absence.
fn record_probe(
    state: &State,
    engine_index: usize,
    id: &str,
    response: Option<ProbeResponse>,
    started_at: u64,
) -> ProbeOutcome {
    let now = clock::now();
    let mut engine_table = state.engines();
    let engine = &mut engine_table.engines[engine_index];
    let was_suspected = engine.suspected_until > now;
    match response {
        Some(response) if response.may_be_from(id) => {
            record_response(state, engine, now, started_at);
            engine.presume_cold(now + response.cold_ms);
        }
        Some(_) => engine.retire(),
        None => engine.record_failure(now, SUSPICION_MS),
    }
    if is_resolved(engine, now) {
        engine.is_probing = false;
        return ProbeOutcome::Finished;
    }
    engine.answered_elsewhere = false;
    kernel::log_event!(ENGINE_UNRESPONSIVE, "engine" => id, "strikes" => engine.consecutive_failures);
    ProbeOutcome::Unanswered { was_suspected }
}

/// Records that the engine responded.
fn record_response(state: &State, engine: &mut EngineState, now: u64, started_at: u64) {
    engine.record_response(now);
    if now > started_at + PRESUMED_RESTART_MS {
        // The engine may have been restarted in the meantime.
        engine.presume_cold(now + evacuation::presumed_cold_ms(state));
    }
}

/// Clears the suspicion because another router got a response, and this router has no evidence of its own against the
/// engine.
fn accept_reported_response(state: &State, engine_index: usize, started_at: u64) {
    let mut engine_table = state.engines();
    let engine = &mut engine_table.engines[engine_index];
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
