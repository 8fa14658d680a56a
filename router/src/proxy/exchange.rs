//! One request on its way: what was sent, what is open, what is held for it.

use std::mem;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use load_balancing::{Arm, SelectionContext};
use protocol::headers::SERVER_LOAD;
use tokio::time;

use crate::config::routing_table::{RouteType, Service};
use crate::frontend::request::Request;
use crate::kv::kv_handle::KvHandle;
use crate::metrics::{EngineSendLabels, SendPhase};
use crate::proxy::plan::PrefixOwners;
use crate::proxy::response_head;
use crate::proxy::send::{SendOptions, SendOutcome};
use crate::state::State;
use crate::upstream::connection_pool::{Endpoint, SendError};
use crate::upstream::suspicion::{self, LIVENESS_TIMEOUT_MS};

/// One request on its way. Invariants: `may_have_run` never goes back to false;
/// what is still in flight is ended on drop, and memory that is held is given free.
pub struct Exchange {
    pub state: Arc<State>,
    pub request: Request,
    pub route_type: RouteType,
    pub is_repeatable: bool,
    /// The greatest number of engines that it may be sent to.
    pub max_sends: u32,
    pub target_ms: u64,
    pub priority: u32,
    pub service: u32,
    pub service_config: Service,
    /// Zones that it may not go to, by dense index.
    pub excluded_zones: Vec<u32>,
    /// The name of its route.
    pub route: String,
    /// Bound work goes on at this version only: its prompt was read, or its answer begun, with it.
    pub pinned_version: Option<u64>,
    pub prefix_owners: PrefixOwners,
    /// Sends that count against `max_sends`.
    pub sends: u32,
    /// An engine got it: each further send draws on the retry budget.
    pub reached_engine: bool,
    /// An engine may have taken it up: it is never called refused any more.
    pub may_have_run: bool,
    /// Engines that are not tried again, by index.
    pub attempted_engines: Vec<usize>,
    /// Engines at which it is under way, and the prompt tokens that each has yet to read.
    pub in_flight: Vec<(usize, u64)>,
    pub kv_handle: Option<KvHandle>,
    /// The version that serves it, for all of its sends.
    pub variant: Arm,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        while let Some((engine_index, _)) = self.in_flight.last().copied() {
            self.end_send(engine_index);
        }
        self.release_kv_handle();
        if self.reached_engine {
            let elapsed_ms = clock::now().saturating_sub(self.request.received_at_ms);
            self.request.authorization.route().durations.record(elapsed_ms);
        }
        self.state.held_body_bytes.fetch_sub(self.request.body.len(), Ordering::Relaxed);
    }
}

impl Exchange {
    /// Is it expected to be finished before this process ends, if that is about to end?
    pub fn fits_before_shutdown(&self) -> bool {
        let expected_ms = self.request.authorization.route().durations.expected_ms();
        self.state.drain.remaining_ms().is_none_or(|left_ms| expected_ms < left_ms)
    }

    pub fn remaining_ms(&self) -> u64 {
        self.request.remaining_ms(clock::now())
    }

    /// Deferrable work is the least urgent there is; the rest goes by the operator's rank where the
    /// request has halves to be ranked in.
    pub fn urgency(&self) -> Option<u32> {
        if self.request.deferrable_share.is_some() {
            return Some(9);
        }
        (!self.request.prefix_keys.is_empty()).then_some((4 + self.priority).min(8))
    }

    pub fn is_streaming(&self) -> bool {
        self.route_type == RouteType::Streaming
    }

    pub fn is_resumable(&self) -> bool {
        self.is_streaming() && self.is_repeatable
    }

    /// May the request be sent to another engine once this one is found dark?
    pub fn may_retry(&self) -> bool {
        self.is_repeatable && self.sends < self.max_sends
    }

    pub fn endpoint(&self, engine_index: usize) -> Endpoint {
        let engine_table = self.state.engines();
        Endpoint {
            addr: engine_table.engines[engine_index].address.clone(),
            engine: engine_table.engines[engine_index].id.clone(),
        }
    }

    /// May one more send be made that the operator counts? The first arrival draws on no budget.
    pub fn grant_send(&self) -> bool {
        if self.sends >= self.max_sends || !self.is_authorized() {
            return false;
        }
        if !self.reached_engine {
            return true;
        }
        let share = self.state.settings.bounds.budget_slack * 0.5 / f64::from(self.state.router_count());
        let is_allowed = self.state.retry_budget().try_acquire(self.service, clock::now(), share);
        if !is_allowed {
            self.state.metrics.retries_denied.inc();
        }
        is_allowed
    }

    pub fn with_selection<T>(&self, select: impl FnOnce(&SelectionContext) -> T) -> T {
        let table = self.state.table();
        let ramp_per_s = table.services.get(&self.service).map_or(0.0, |service| service.ramp_per_s);
        let router_count = self.state.router_count();
        let version_bounds = self.version_bounds();
        let is_confirmed = self.state.staleness_bounds().is_confirmed(clock::now());
        let engine_table = self.state.engines();
        select(&SelectionContext {
            engine_table: &engine_table,
            now: clock::now(),
            service: self.service,
            zone: self.state.zone,
            excluded_zones: &self.excluded_zones,
            tried_engines: &self.attempted_engines,
            router_count,
            cold_engine_rate: ramp_per_s * self.state.settings.bounds.ramp_overage,
            weight_versions: version_bounds,
            is_confirmed,
            arm: self.variant,
        })
    }

    /// Connections that this router may have to one engine.
    pub fn max_connections(&self) -> usize {
        let limit = if self.service_config.connections == 0 { 1024 } else { self.service_config.connections };
        ((f64::from(limit) * 0.9) / f64::from(self.state.router_count())).max(2.0) as usize
    }

    /// Its prompt is read: only the making of tokens is left there.
    pub fn complete_prefill(&mut self, engine_index: usize) {
        let Some((_, tokens)) = self.in_flight.iter_mut().find(|(engine, _)| *engine == engine_index) else { return };
        let tokens = mem::take(tokens);
        let mut engine_table = self.state.engines();
        engine_table.engines[engine_index].prefill_tokens_in_flight =
            engine_table.engines[engine_index].prefill_tokens_in_flight.saturating_sub(tokens);
    }

    pub fn end_send(&mut self, engine_index: usize) {
        let Some(position) = self.in_flight.iter().position(|(engine, _)| *engine == engine_index) else { return };
        let (engine_index, tokens) = self.in_flight.swap_remove(position);
        let mut engine_table = self.state.engines();
        let engine = &mut engine_table.engines[engine_index];
        engine.in_flight = engine.in_flight.saturating_sub(1);
        engine.prefill_tokens_in_flight = engine.prefill_tokens_in_flight.saturating_sub(tokens);
    }

    /// One send to one engine, with what it shows about that engine noted.
    /// `reads`: prompt tokens that the engine is to read. `again`: it may be sent elsewhere when the
    /// engine is found dark; one that answers others, or a probe, is only slow.
    pub async fn send(
        &mut self,
        engine_index: usize,
        mut options: SendOptions,
        prefill_tokens: u32,
        may_move: bool,
    ) -> SendOutcome {
        let now = clock::now();
        let tokens = u64::from(prefill_tokens);
        let version_bounds = self.version_bounds();
        options.bounded_route = version_bounds.is_some().then(|| self.route.clone());
        let endpoint = self.endpoint(engine_index);
        {
            let mut engine_table = self.state.engines();
            let engine = &mut engine_table.engines[engine_index];
            options.expected_version = version_bounds.and_then(|range| engine.weight_version(range.model));
            engine.in_flight += 1;
            engine.prefill_tokens_in_flight += tokens;
            engine.slow_start.record_send(now);
        }
        self.in_flight.push((engine_index, tokens));
        let is_prefill = options.is_prefill;
        options.time_budget_ms = self.request.remaining_ms(now).max(1);
        let outcome = self.await_outcome(engine_index, &endpoint, &options, may_move).await;
        self.record_outcome(engine_index, &outcome);
        let phase = if options.is_prefill { SendPhase::Prefill } else { SendPhase::Run };
        let sent = EngineSendLabels { half: phase, result: (&outcome).into() };
        self.state.metrics.engine_sends.get_or_create(&sent).inc();
        let has_response = matches!(outcome, SendOutcome::Response(_));
        let is_unsent = matches!(outcome, SendOutcome::Unsent(_));
        // The first read that an engine takes up is no arrival that counts. One without an answer
        // may never have been taken up, and counts.
        let is_first_prefill = has_response && is_prefill;
        self.reached_engine |= !is_unsent && !is_first_prefill;
        if !has_response {
            self.end_send(engine_index);
        }
        outcome
    }

    /// Until there is an outcome, time is up, or the engine is found dark and the request may go elsewhere.
    async fn await_outcome(
        &self,
        engine_index: usize,
        endpoint: &Endpoint,
        options: &SendOptions,
        may_move: bool,
    ) -> SendOutcome {
        let now = clock::now();
        let wait_ms = self.request.remaining_ms(now);
        let send = crate::proxy::send::send(
            &self.state,
            &self.request,
            self.service,
            endpoint,
            self.max_connections(),
            options,
            wait_ms,
        );
        tokio::pin!(send);
        let interval = Duration::from_millis(LIVENESS_TIMEOUT_MS.min(wait_ms.max(1)));
        loop {
            if let Ok(outcome) = time::timeout(interval, &mut send).await {
                return outcome;
            }
            if self.remaining_ms() == 0 || (self.check_unresponsive(engine_index, now) && may_move) {
                return SendOutcome::Lost;
            }
        }
    }

    /// Was the engine found dark since then? Raises doubt when it gave no sign of life for a while.
    pub fn check_unresponsive(&self, engine_index: usize, since: u64) -> bool {
        let now = clock::now();
        let (seen_at, failed_at) = {
            let engine_table = self.state.engines();
            (
                engine_table.engines[engine_index].last_response_at.max(since),
                engine_table.engines[engine_index].last_failure_at,
            )
        };
        if failed_at > seen_at {
            return true;
        }
        if now >= seen_at + LIVENESS_TIMEOUT_MS {
            suspicion::raise(&self.state, engine_index);
        }
        false
    }

    /// Notes what an outcome shows about the engine.
    fn record_outcome(&self, engine_index: usize, outcome: &SendOutcome) {
        let now = clock::now();
        let mut engine_table = self.state.engines();
        let engine = &mut engine_table.engines[engine_index];
        match outcome {
            SendOutcome::Response(response) => {
                engine.record_response(now);
                if let Some(version) = response_head::weight_version(&response.head.headers) {
                    engine.set_weight_version(self.request.model_key, Some(version));
                }
                if let Some(load) = response.head.headers.get(SERVER_LOAD).and_then(|value| value.to_str().ok()) {
                    engine_table.record_reported_load(engine_index, load, now);
                }
            }
            SendOutcome::OtherEngine => engine.retire(),
            SendOutcome::NotExecuted => {
                engine.record_response(now);
                engine.saturated_until = now + 60;
            }
            SendOutcome::OtherVersion(version) => {
                engine.record_response(now);
                engine.set_weight_version(self.request.model_key, *version);
            }
            SendOutcome::Unsent(SendError::TooStale | SendError::Unauthorized) => {}
            SendOutcome::Unsent(SendError::PoolExhausted) => engine.saturated_until = now + 20,
            _ => {
                drop(engine_table);
                suspicion::raise(&self.state, engine_index);
            }
        }
    }
}
