//! One request on its way: what was sent, what is open, what is held for it.

use std::mem;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use load_balancing::{Arm, SelectionContext};
use protocol::headers::SERVER_LOAD;
use tokio::time;

use crate::config::routing_table::{RouteKind, Service};
use crate::frontend::request::Request;
use crate::kv::handle::Handle;
use crate::metrics::{Half, Sent};
use crate::proxy::plan::PrefixOwners;
use crate::proxy::response_head;
use crate::proxy::send::{Extra, Outcome};
use crate::state::State;
use crate::upstream::connection_pool::{Endpoint, SendError};
use crate::upstream::suspicion::{self, LIVENESS_TIMEOUT_MS};

/// One request on its way. Invariants: `may_have_run` never goes back to false;
/// what is still in flight is ended on drop, and memory that is held is given free.
pub struct Exchange {
    pub state: Arc<State>,
    pub request: Request,
    pub kind: RouteKind,
    pub repeatable: bool,
    /// The greatest number of engines that it may be sent to.
    pub max_sends: u32,
    pub target_ms: u64,
    pub priority: u32,
    pub service: u32,
    pub service_config: Service,
    /// Zones that it may not go to, by dense index.
    pub closed_zones: Vec<u32>,
    /// The name of its route.
    pub route: String,
    /// Bound work goes on at this version only: its prompt was read, or its answer begun, with it.
    pub pinned_version: Option<u64>,
    pub prefix_owners: PrefixOwners,
    /// Sends that count against `max_sends`.
    pub sends: u32,
    /// An engine got it: each further send draws on the retry budget.
    pub arrived: bool,
    /// An engine may have taken it up: it is never called refused any more.
    pub may_have_run: bool,
    /// Engines that are not tried again, by index.
    pub tried: Vec<usize>,
    /// Engines at which it is under way, and the prompt tokens that each has yet to read.
    pub in_flight: Vec<(usize, u64)>,
    pub kv_handle: Option<Handle>,
    /// The version that serves it, for all of its sends.
    pub arm: Arm,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        while let Some((at, _)) = self.in_flight.last().copied() {
            self.end_send(at);
        }
        self.release_handle();
        if self.arrived {
            let spent_ms = clock::now().saturating_sub(self.request.born);
            self.request.authorization.route().durations.note(spent_ms);
        }
        self.state.held_body_bytes.fetch_sub(self.request.body.len(), Ordering::Relaxed);
    }
}

impl Exchange {
    /// Is it expected to be finished before this process ends, if that is about to end?
    pub fn fits_before_the_end(&self) -> bool {
        let expected_ms = self.request.authorization.route().durations.expected_ms();
        self.state.drain.left_ms().is_none_or(|left_ms| expected_ms < left_ms)
    }

    pub fn remaining_ms(&self) -> u64 {
        self.request.left(clock::now())
    }

    /// Deferrable work is the least urgent there is; the rest goes by the operator's rank where the
    /// request has halves to be ranked in.
    pub fn urgency(&self) -> Option<u32> {
        if self.request.spare.is_some() {
            return Some(9);
        }
        (!self.request.keys.is_empty()).then_some((4 + self.priority).min(8))
    }

    pub fn is_streaming(&self) -> bool {
        self.kind == RouteKind::Streaming
    }

    pub fn is_resumable(&self) -> bool {
        self.is_streaming() && self.repeatable
    }

    /// May the request be sent to another engine once this one is found dark?
    pub fn may_retry(&self) -> bool {
        self.repeatable && self.sends < self.max_sends
    }

    pub fn endpoint(&self, at: usize) -> Endpoint {
        let engine_table = self.state.engine_table.lock();
        Endpoint { addr: engine_table.engines[at].address.clone(), engine: engine_table.engines[at].id.clone() }
    }

    /// May one more send be made that the operator counts? The first arrival draws on no budget.
    pub fn grant_send(&self) -> bool {
        if self.sends >= self.max_sends || !self.is_authorized() {
            return false;
        }
        if !self.arrived {
            return true;
        }
        let part = self.state.settings.bounds.budget_slack * 0.5 / f64::from(self.state.router_count());
        let is_allowed = self.state.retry_budget.lock().try_acquire(self.service, clock::now(), part);
        if !is_allowed {
            self.state.metrics.retries_denied.inc();
        }
        is_allowed
    }

    pub fn view<T>(&self, look: impl FnOnce(&SelectionContext) -> T) -> T {
        let table = self.state.table();
        let ramp = table.services.get(&self.service).map_or(0.0, |spec| spec.ramp_per_s);
        let routers = self.state.router_count();
        let weights = self.version_bounds();
        let confirmed = self.state.staleness_bounds.lock().is_confirmed(clock::now());
        let engine_table = self.state.engine_table.lock();
        look(&SelectionContext {
            engine_table: &engine_table,
            now: clock::now(),
            service: self.service,
            zone: self.state.zone,
            excluded_zones: &self.closed_zones,
            tried_engines: &self.tried,
            router_count: routers,
            cold_engine_rate: ramp * self.state.settings.bounds.ramp_overage,
            weight_versions: weights,
            is_confirmed: confirmed,
            arm: self.arm,
        })
    }

    /// Connections that this router may have to one engine.
    pub fn max_connections(&self) -> usize {
        let all = if self.service_config.connections == 0 { 1024 } else { self.service_config.connections };
        ((f64::from(all) * 0.9) / f64::from(self.state.router_count())).max(2.0) as usize
    }

    /// Its prompt is read: only the making of tokens is left there.
    pub fn prompt_read(&mut self, at: usize) {
        let Some((_, tokens)) = self.in_flight.iter_mut().find(|(engine, _)| *engine == at) else { return };
        let tokens = mem::take(tokens);
        let mut engine_table = self.state.engine_table.lock();
        engine_table.engines[at].prefill_tokens_in_flight =
            engine_table.engines[at].prefill_tokens_in_flight.saturating_sub(tokens);
    }

    pub fn end_send(&mut self, at: usize) {
        let Some(place) = self.in_flight.iter().position(|(engine, _)| *engine == at) else { return };
        let (at, tokens) = self.in_flight.swap_remove(place);
        let mut engine_table = self.state.engine_table.lock();
        let engine = &mut engine_table.engines[at];
        engine.in_flight = engine.in_flight.saturating_sub(1);
        engine.prefill_tokens_in_flight = engine.prefill_tokens_in_flight.saturating_sub(tokens);
    }

    /// One send to one engine, with what it shows about that engine noted.
    /// `reads`: prompt tokens that the engine is to read. `again`: it may be sent elsewhere when the
    /// engine is found dark; one that answers others, or a probe, is only slow.
    pub async fn send(&mut self, at: usize, mut extra: Extra, reads: u32, again: bool) -> Outcome {
        let now = clock::now();
        let tokens = u64::from(reads);
        let weights = self.version_bounds();
        extra.guard = weights.is_some().then(|| self.route.clone());
        let to = self.endpoint(at);
        {
            let mut engine_table = self.state.engine_table.lock();
            let engine = &mut engine_table.engines[at];
            extra.expect = weights.and_then(|range| engine.weight_version(range.model));
            engine.in_flight += 1;
            engine.prefill_tokens_in_flight += tokens;
            engine.slow_start.record_send(now);
        }
        self.in_flight.push((at, tokens));
        let stage = extra.stage;
        extra.budget_ms = self.request.left(now).max(1);
        let outcome = self.await_outcome(at, &to, &extra, again).await;
        self.record_outcome(at, &outcome);
        let half = if extra.stage { Half::Prefill } else { Half::Run };
        let sent = Sent { half, result: (&outcome).into() };
        self.state.metrics.engine_sends.get_or_create(&sent).inc();
        let answered = matches!(outcome, Outcome::Answer(_));
        let unsent = matches!(outcome, Outcome::Unsent(_));
        // The first read that an engine takes up is no arrival that counts. One without an answer
        // may never have been taken up, and counts.
        let free = answered && stage;
        self.arrived |= !unsent && !free;
        if !answered {
            self.end_send(at);
        }
        outcome
    }

    /// Until there is an outcome, time is up, or the engine is found dark and the request may go elsewhere.
    async fn await_outcome(&self, at: usize, to: &Endpoint, extra: &Extra, again: bool) -> Outcome {
        let now = clock::now();
        let wait = self.request.left(now);
        let call =
            crate::proxy::send::send(&self.state, &self.request, self.service, to, self.max_connections(), extra, wait);
        tokio::pin!(call);
        let span = Duration::from_millis(LIVENESS_TIMEOUT_MS.min(wait.max(1)));
        loop {
            if let Ok(outcome) = time::timeout(span, &mut call).await {
                return outcome;
            }
            if self.remaining_ms() == 0 || (self.found_dark(at, now) && again) {
                return Outcome::Lost;
            }
        }
    }

    /// Was the engine found dark since then? Raises doubt when it gave no sign of life for a while.
    pub fn found_dark(&self, at: usize, since: u64) -> bool {
        let now = clock::now();
        let (seen, struck) = {
            let engine_table = self.state.engine_table.lock();
            (engine_table.engines[at].last_response_at.max(since), engine_table.engines[at].last_failure_at)
        };
        if struck > seen {
            return true;
        }
        if now >= seen + LIVENESS_TIMEOUT_MS {
            suspicion::raise(&self.state, at);
        }
        false
    }

    /// Notes what an outcome shows about the engine.
    fn record_outcome(&self, at: usize, outcome: &Outcome) {
        let now = clock::now();
        let mut engine_table = self.state.engine_table.lock();
        let engine = &mut engine_table.engines[at];
        match outcome {
            Outcome::Answer(answer) => {
                engine.record_response(now);
                if let Some(version) = response_head::version(&answer.head.headers) {
                    engine.set_weight_version(self.request.model_key, Some(version));
                }
                if let Some(load) = answer.head.headers.get(SERVER_LOAD).and_then(|value| value.to_str().ok()) {
                    engine_table.record_reported_load(at, load, now);
                }
            }
            Outcome::OtherEngine => engine.retire(),
            Outcome::NotExecuted => {
                engine.record_response(now);
                engine.saturated_until = now + 60;
            }
            Outcome::OtherVersion(version) => {
                engine.record_response(now);
                engine.set_weight_version(self.request.model_key, *version);
            }
            Outcome::Unsent(SendError::TooStale | SendError::Unauthorized) => {}
            Outcome::Unsent(SendError::PoolExhausted) => engine.saturated_until = now + 20,
            _ => {
                drop(engine_table);
                suspicion::raise(&self.state, at);
            }
        }
    }
}
