//! The state of one request while it is forwarded: what was sent, what is in flight, what engines hold for it.
//!
//! All accounting of a request at engines goes through here, so that dropping the exchange undoes it wherever the
//! request ends.

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
use crate::kv::handle::Handle;
use crate::metrics::{Half, Sent};
use crate::proxy::plan::PrefixOwners;
use crate::proxy::response_head;
use crate::proxy::send::{SendOptions, SendOutcome};
use crate::state::State;
use crate::upstream::connection_pool::{Endpoint, SendError};
use crate::upstream::suspicion::{self, SIGN_MS};

/// One request while it is forwarded. Invariants: `may_have_run` never goes back to false; sends still in flight are
/// ended on drop, and a KV handle still held is released.
pub struct Exchange {
    /// The state of the process.
    pub state: Arc<State>,
    /// The request as the client sent it.
    pub request: Request,
    /// Type of its route.
    pub route_type: RouteType,
    /// Whether it may be executed more than once.
    pub is_repeatable: bool,
    /// Limit on the sends that count.
    pub max_sends: u32,
    /// Latency target of its route, in milliseconds.
    pub target_ms: u64,
    /// Priority of its tenant or route; 0 is the highest.
    pub priority: u32,
    /// Dense index of its service.
    pub service: u32,
    /// Configuration of its service.
    pub service_config: Service,
    /// Zones that it may not use, by dense index.
    pub excluded_zones: Vec<u32>,
    /// Name of its route.
    pub route: String,
    /// With a staleness limit: the weight version that its prefill or its response began with, and must go on with.
    pub pinned_version: Option<u64>,
    /// Engines that own prefixes of its prompt.
    pub prefix_owners: PrefixOwners,
    /// Sends that count against `max_sends`.
    pub sends: u32,
    /// Whether an engine got it: each further send draws on the retry budget.
    pub reached_engine: bool,
    /// Whether an engine may have executed it: it is never reported as refused any more.
    pub may_have_run: bool,
    /// Indices of the engines that are not tried again.
    pub attempted_engines: Vec<usize>,
    /// Engines at which it is in flight, each with the prompt tokens that it has yet to prefill.
    pub in_flight: Vec<(usize, u64)>,
    /// The KV cache that an engine holds for it.
    pub kv_handle: Option<Handle>,
    /// Which variant of a rollout serves it, in all of its sends.
    pub variant: Arm,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        while let Some((engine_index, _)) = self.in_flight.last().copied() {
            self.end_send(engine_index);
        }
        self.release_handle();
        if self.reached_engine {
            let elapsed_ms = clock::now().saturating_sub(self.request.born);
            self.request.authorization.route().durations.record(elapsed_ms);
        }
        self.state.held_body_bytes.fetch_sub(self.request.body.len(), Ordering::Relaxed);
    }
}

impl Exchange {
    /// Returns whether the request is expected to end before this process does, where that is shutting down.
    pub fn fits_before_shutdown(&self) -> bool {
        let expected_ms = self.request.authorization.route().durations.expected_ms();
        self.state.drain.left_ms().is_none_or(|left_ms| expected_ms < left_ms)
    }

    /// Returns the time left until the deadline, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        self.request.left(clock::now())
    }

    /// Returns the urgency class that engines order their queues by, smaller first. Deferrable work comes last; the
    /// rest goes by priority, where the request has a prompt that is split into phases.
    pub fn urgency(&self) -> Option<u32> {
        if self.request.spare.is_some() {
            return Some(9);
        }
        (!self.request.keys.is_empty()).then_some((4 + self.priority).min(8))
    }

    /// Returns whether the response is a stream of events.
    pub fn is_streaming(&self) -> bool {
        self.route_type == RouteType::Streaming
    }

    /// Returns whether a broken stream may be resumed at another engine.
    pub fn is_resumable(&self) -> bool {
        self.is_streaming() && self.is_repeatable
    }

    /// Returns whether the request may be sent to another engine once this one is found unresponsive.
    pub fn may_retry(&self) -> bool {
        self.is_repeatable && self.sends < self.max_sends
    }

    /// Returns the address and name of an engine.
    pub fn endpoint(&self, engine_index: usize) -> Endpoint {
        let engine_table = self.state.engines();
        Endpoint {
            addr: engine_table.engines[engine_index].address.clone(),
            engine: engine_table.engines[engine_index].id.clone(),
        }
    }

    /// Returns whether one more counted send may be made, and charges the retry budget for it where an engine already got
    /// the request.
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

    /// Calls `select` with the context in which engines for this request are selected. Holds the lock on the engines
    /// meanwhile.
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

    /// Returns how many connections this router may have to one engine.
    pub fn max_connections(&self) -> usize {
        let limit = if self.service_config.connections == 0 { 1024 } else { self.service_config.connections };
        ((f64::from(limit) * 0.9) / f64::from(self.state.router_count())).max(2.0) as usize
    }

    /// Records that an engine has prefilled the prompt: only decoding is left there.
    pub fn complete_prefill(&mut self, engine_index: usize) {
        let Some((_, tokens)) = self.in_flight.iter_mut().find(|(engine, _)| *engine == engine_index) else { return };
        let tokens = mem::take(tokens);
        let mut engine_table = self.state.engines();
        engine_table.engines[engine_index].prefill_tokens_in_flight =
            engine_table.engines[engine_index].prefill_tokens_in_flight.saturating_sub(tokens);
    }

    /// Ends what is in flight at an engine; does nothing where that has ended already.
    pub fn end_send(&mut self, engine_index: usize) {
        let Some(position) = self.in_flight.iter().position(|(engine, _)| *engine == engine_index) else { return };
        let (engine_index, tokens) = self.in_flight.swap_remove(position);
        let mut engine_table = self.state.engines();
        let engine = &mut engine_table.engines[engine_index];
        engine.in_flight = engine.in_flight.saturating_sub(1);
        engine.prefill_tokens_in_flight = engine.prefill_tokens_in_flight.saturating_sub(tokens);
    }

    /// Sends the request to one engine, and records what the outcome shows about that engine.
    ///
    /// `prefill_tokens` are the prompt tokens that the engine has to prefill. With `may_move` the send is given up when
    /// the engine is found unresponsive, since the request may go elsewhere; an engine that answers other requests, or
    /// a probe, is only slow.
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
        options.time_budget_ms = self.request.left(now).max(1);
        let outcome = self.await_outcome(engine_index, &endpoint, &options, may_move).await;
        self.record_outcome(engine_index, &outcome);
        let phase = if options.is_prefill { Half::Prefill } else { Half::Run };
        let sent = Sent { half: phase, result: (&outcome).into() };
        self.state.metrics.engine_sends.get_or_create(&sent).inc();
        let has_response = matches!(outcome, SendOutcome::Response(_));
        let is_unsent = matches!(outcome, SendOutcome::Unsent(_));
        // A prefill that an engine answers is no arrival that counts. One without a response may never have been
        // executed, and counts.
        let is_first_prefill = has_response && is_prefill;
        self.reached_engine |= !is_unsent && !is_first_prefill;
        if !has_response {
            self.end_send(engine_index);
        }
        outcome
    }

    /// Waits until there is an outcome, time is up, or the engine is found unresponsive and the request may go elsewhere.
    async fn await_outcome(
        &self,
        engine_index: usize,
        endpoint: &Endpoint,
        options: &SendOptions,
        may_move: bool,
    ) -> SendOutcome {
        let now = clock::now();
        let wait_ms = self.request.left(now);
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
        let interval = Duration::from_millis(SIGN_MS.min(wait_ms.max(1)));
        loop {
            if let Ok(outcome) = time::timeout(interval, &mut send).await {
                return outcome;
            }
            if self.remaining_ms() == 0 || (self.check_unresponsive(engine_index, now) && may_move) {
                return SendOutcome::Lost;
            }
        }
    }

    /// Returns whether the engine was found unresponsive after `since`, in milliseconds of the steady clock. Raises a
    /// suspicion where it gave no sign of life for a while.
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
        if now >= seen_at + SIGN_MS {
            suspicion::raise(&self.state, engine_index);
        }
        false
    }

    /// Records what an outcome shows about the engine.
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
            SendOutcome::Unsent(SendError::Behind | SendError::Unauthorized) => {}
            SendOutcome::Unsent(SendError::Full) => engine.saturated_until = now + 20,
            _ => {
                drop(engine_table);
                suspicion::raise(&self.state, engine_index);
            }
        }
    }
}
