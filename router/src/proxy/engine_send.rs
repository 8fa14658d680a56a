//! Sends one request to individual engines, and records what each outcome shows about its engine.
//!
//! The engine table counts a send as in flight from its start until `end_send`, because load balancing relies on these
//! counts.

use std::mem;
use std::time::Duration;

use kernel::clock;
use protocol::headers::SERVER_LOAD;
use tokio::time;

use crate::metrics::{EngineSendLabels, SendPhase};
use crate::proxy::exchange::{Exchange, InFlight};
use crate::proxy::response_head;
use crate::proxy::send::{self, SendOptions, SendOutcome};
use crate::upstream::connection_pool::{Endpoint, SendError};
use crate::upstream::suspicion::{self, LIVENESS_TIMEOUT_MS};

/// How long an engine counts as saturated after it rejected a request, in milliseconds.
const REJECTION_SATURATION_MS: u64 = 60;
/// How long an engine counts as saturated when all of this router's connections to it are in use, in milliseconds.
const POOL_EXHAUSTED_SATURATION_MS: u64 = 20;

impl Exchange {
    /// Records that an engine has prefilled the prompt and only has to decode.
    pub fn complete_prefill(&mut self, engine_index: usize) {
        let Some(send) = self.in_flight.iter_mut().find(|send| send.engine_index == engine_index) else { return };
        let tokens = mem::take(&mut send.prefill_tokens);
        let mut engine_table = self.state.engines();
        engine_table.engines[engine_index].prefill_tokens_in_flight =
            engine_table.engines[engine_index].prefill_tokens_in_flight.saturating_sub(tokens);
    }

    /// Ends the send that is in flight at an engine, if there is one.
    pub fn end_send(&mut self, engine_index: usize) {
        let Some(position) = self.in_flight.iter().position(|send| send.engine_index == engine_index) else { return };
        let InFlight { engine_index, prefill_tokens } = self.in_flight.swap_remove(position);
        let mut engine_table = self.state.engines();
        let engine = &mut engine_table.engines[engine_index];
        engine.in_flight = engine.in_flight.saturating_sub(1);
        engine.prefill_tokens_in_flight = engine.prefill_tokens_in_flight.saturating_sub(prefill_tokens);
    }

    /// Sends the request to one engine, and records what the outcome shows about that engine.
    ///
    /// `prefill_tokens` is the number of prompt tokens that the engine has to prefill. With `may_reroute`, the send is
    /// abandoned when the engine is found unresponsive, since the request may go to another engine. An engine that
    /// responds to other requests or to a probe is slow, not unresponsive.
    pub async fn send(
        &mut self,
        engine_index: usize,
        mut options: SendOptions,
        prefill_tokens: u32,
        may_reroute: bool,
    ) -> SendOutcome {
        let now = clock::now();
        let endpoint = self.begin_send(engine_index, &mut options, prefill_tokens.into(), now);
        options.time_budget_ms = self.request.remaining_ms(now).max(1);
        let outcome = self.await_outcome(engine_index, &endpoint, &options, may_reroute).await;
        self.record_outcome(engine_index, &outcome);
        self.note_served_by(engine_index);
        self.count_outcome(&outcome, options.is_prefill);
        self.meter(&outcome, options.is_prefill);
        if !matches!(outcome, SendOutcome::Response(_)) {
            self.end_send(engine_index);
        }
        outcome
    }

    /// Counts the send as in flight, and sets the expected weight version if the route has a staleness limit. Returns
    /// the engine's endpoint.
    fn begin_send(
        &mut self,
        engine_index: usize,
        options: &mut SendOptions,
        prefill_tokens: u64,
        now: u64,
    ) -> Endpoint {
        let version_bounds = self.version_bounds();
        options.bounded_route = version_bounds.is_some().then(|| self.route.clone());
        let endpoint = self.endpoint(engine_index);
        {
            let mut engine_table = self.state.engines();
            let engine = &mut engine_table.engines[engine_index];
            options.zone = Some(engine.zone);
            options.expected_version = version_bounds.and_then(|range| engine.weight_version(range.model));
            engine.in_flight += 1;
            engine.prefill_tokens_in_flight += prefill_tokens;
            engine.slow_start.record_send(now);
        }
        self.in_flight.push(InFlight { engine_index, prefill_tokens });
        endpoint
    }

    /// Counts an outcome in the metrics, and records whether it means that the request has reached an engine.
    fn count_outcome(&mut self, outcome: &SendOutcome, is_prefill: bool) {
        let half = if is_prefill { SendPhase::Prefill } else { SendPhase::Run };
        let labels = EngineSendLabels { half, result: outcome.into() };
        self.state.metrics.engine_sends.get_or_create(&labels).inc();
        let is_unsent = matches!(outcome, SendOutcome::Unsent(_));
        // A prefill with a response does not count. One without a response may never have been executed, so further
        // sends have to draw on the retry budget.
        let is_answered_prefill = is_prefill && matches!(outcome, SendOutcome::Response(_));
        self.reached_engine |= !is_unsent && !is_answered_prefill;
    }

    /// Counts the request for its tenant, once, when an engine has begun to execute it.
    fn meter(&mut self, outcome: &SendOutcome, is_prefill: bool) {
        let has_begun = !is_prefill && matches!(outcome, SendOutcome::Response(_));
        if !has_begun || mem::replace(&mut self.is_metered, true) {
            return;
        }
        if let Some(tenant) = self.request.authorization.tenant() {
            self.state.metering.record(&tenant.name);
        }
    }

    /// Waits for the outcome, until the deadline passes or the engine is found unresponsive and `may_reroute` is set.
    async fn await_outcome(
        &self,
        engine_index: usize,
        endpoint: &Endpoint,
        options: &SendOptions,
        may_reroute: bool,
    ) -> SendOutcome {
        let now = clock::now();
        let wait_ms = self.request.remaining_ms(now);
        let send =
            send::send(&self.state, &self.request, self.service, endpoint, self.max_connections(), options, wait_ms);
        tokio::pin!(send);
        let interval = Duration::from_millis(LIVENESS_TIMEOUT_MS.min(wait_ms.max(1)));
        loop {
            if let Ok(outcome) = time::timeout(interval, &mut send).await {
                return outcome;
            }
            if self.remaining_ms() == 0 || (self.check_unresponsive(engine_index, now) && may_reroute) {
                return SendOutcome::Lost;
            }
        }
    }

    /// Returns whether the engine was found unresponsive after `since`, in milliseconds of the steady clock. Raises a
    /// suspicion if the engine has not responded for `LIVENESS_TIMEOUT_MS`.
    pub fn check_unresponsive(&self, engine_index: usize, since: u64) -> bool {
        let now = clock::now();
        let (seen_at, failed_at) = {
            let engine_table = self.state.engines();
            let engine = &engine_table.engines[engine_index];
            (engine.last_response_at.max(since), engine.last_failure_at)
        };
        if failed_at > seen_at {
            return true;
        }
        if now >= seen_at + LIVENESS_TIMEOUT_MS {
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
                engine.saturated_until = now + REJECTION_SATURATION_MS;
            }
            SendOutcome::OtherVersion(version) => {
                engine.record_response(now);
                engine.set_weight_version(self.request.model_key, *version);
            }
            SendOutcome::Unsent(SendError::TooStale | SendError::Unauthorized | SendError::ZoneExcluded) => {}
            SendOutcome::Unsent(SendError::PoolExhausted) => {
                engine.saturated_until = now + POOL_EXHAUSTED_SATURATION_MS
            }
            _ => {
                drop(engine_table);
                suspicion::raise(&self.state, engine_index);
            }
        }
    }
}
