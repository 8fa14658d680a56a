//! The state of one request while it is forwarded: its sends, and the KV cache that an engine holds for it.
//!
//! All accounting of a request at engines goes through `Exchange`, so that dropping it reverts the accounting wherever
//! the request ends.

use std::sync::Arc;

use kernel::clock;
use load_balancing::{Arm, SelectionContext};

use crate::config::routing_table::{Route, RouteType, Service};
use crate::frontend::request::Request;
use crate::kv::kv_handle::KvHandle;
use crate::proxy::plan::{self, PrefixOwners};
use crate::rollout::ServedBy;
use crate::state::State;
use crate::upstream::connection_pool::Endpoint;

/// Urgency class of deferrable requests, the least urgent of all.
pub const DEFERRABLE_URGENCY: u32 = 9;
/// The least urgent class of interactive requests.
pub const MAX_INTERACTIVE_URGENCY: u32 = 8;
/// Urgency class of requests of the highest priority, other than prefills.
const DECODE_URGENCY: u32 = 4;
/// Limit on the connections of all routers to one engine, if the service sets none.
const DEFAULT_CONNECTIONS: u32 = 1024;
/// Fraction of an engine's connections that is divided among the routers; the rest is headroom.
const SHARED_CONNECTION_FRACTION: f64 = 0.9;
/// Fraction of the operator's budget slack that the retry budget may use.
const RETRY_SLACK_FRACTION: f64 = 0.5;

/// A send that has not ended.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    /// Index of the engine.
    pub engine_index: usize,
    /// Prompt tokens that the engine has yet to prefill.
    pub prefill_tokens: u64,
}

/// One request while it is forwarded. Invariants: `may_have_run` is never reset to false; dropping it ends the sends
/// still in flight, and releases a KV handle still held.
///
/// It holds nothing that an operator may change meanwhile and that restricts where or how often it is sent, other than as
/// an upper limit: evacuations, regions, limits and rollouts are looked up for each send.
pub struct Exchange {
    /// The state of the process.
    pub state: Arc<State>,
    /// The request as the client sent it.
    pub request: Request,
    /// Type of its route.
    pub route_type: RouteType,
    /// Whether it may be executed more than once.
    pub is_repeatable: bool,
    /// Maximum number of counted sends when it was admitted; the current configuration may allow fewer.
    pub max_sends: u32,
    /// Latency target of its route, in milliseconds.
    pub target_ms: u64,
    /// Priority of its tenant or route; 0 is the highest.
    pub priority: u32,
    /// Dense index of its service.
    pub service: u32,
    /// Name of its route.
    pub route: String,
    /// Weight version that its prefill or its response began with and must continue with, if it has a staleness limit.
    pub pinned_version: Option<u64>,
    /// Engines that own prefixes of its prompt.
    pub prefix_owners: PrefixOwners,
    /// Sends that count against `max_sends`.
    pub sends: u32,
    /// Whether it has reached an engine, so that each further send draws on the retry budget.
    pub reached_engine: bool,
    /// Whether an engine may have executed it, so that it must not be reported as refused.
    pub may_have_run: bool,
    /// Indices of the engines that were tried and are not tried again.
    pub attempted_engines: Vec<usize>,
    /// Sends that have not ended.
    pub in_flight: Vec<InFlight>,
    /// Handle of the KV cache that an engine holds for it.
    pub kv_handle: Option<KvHandle>,
    /// Rollout variant that serves all of its sends.
    pub variant: Arm,
    /// The engine that it was last sent to, as of that engine's response.
    pub served_by: ServedBy,
    /// When that engine responded, in milliseconds of the steady clock.
    pub responded_at_ms: Option<u64>,
    /// Whether it was counted for its tenant, because an engine has begun to execute it.
    pub is_metered: bool,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        while let Some(send) = self.in_flight.last().copied() {
            self.end_send(send.engine_index);
        }
        self.release_kv_handle();
        if self.reached_engine {
            let elapsed_ms = clock::now().saturating_sub(self.request.received_at_ms);
            self.request.authorization.route().durations.record(elapsed_ms);
        }
    }
}

impl Exchange {
    /// Returns whether the request is expected to finish before the process exits; always true unless it is shutting
    /// down.
    pub fn fits_before_shutdown(&self) -> bool {
        let expected_ms = self.request.authorization.route().durations.expected_ms();
        self.state.drain.remaining_ms().is_none_or(|left_ms| expected_ms < left_ms)
    }

    /// Returns the time left until the deadline, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        self.request.remaining_ms(clock::now())
    }

    /// Returns the urgency class by which engines order their queues, smaller first. Deferrable requests come last;
    /// others are ordered by priority if they have a prompt with prefix keys, and get no class otherwise.
    pub fn urgency(&self) -> Option<u32> {
        if self.request.deferrable_share.is_some() {
            return Some(DEFERRABLE_URGENCY);
        }
        (!self.request.prefix_keys.is_empty()).then_some((DECODE_URGENCY + self.priority).min(MAX_INTERACTIVE_URGENCY))
    }

    /// Returns whether the response is a stream of events.
    pub fn is_streaming(&self) -> bool {
        self.route_type == RouteType::Streaming
    }

    /// Returns whether a broken stream may be resumed at another engine.
    pub fn is_resumable(&self) -> bool {
        self.is_streaming() && self.is_repeatable
    }

    /// Returns whether the request may be sent to another engine if the current one is found unresponsive.
    pub fn may_retry(&self) -> bool {
        self.is_repeatable && self.may_send_again()
    }

    /// Returns whether both the route that admitted the request and the current one allow a further send.
    fn may_send_again(&self) -> bool {
        let table = self.state.table();
        let is_allowed = |route: &Route| self.sends < route.max_attempts && (!self.may_have_run || route.repeatable());
        self.sends < self.max_sends && table.route(&self.route).is_none_or(|route| is_allowed(route))
    }

    /// Returns the current configuration of its service.
    pub fn service_config(&self) -> Service {
        self.state.table().services.get(&self.service).cloned().unwrap_or_default()
    }

    /// Returns the address and id of an engine.
    pub fn endpoint(&self, engine_index: usize) -> Endpoint {
        let engine_table = self.state.engines();
        let engine = &engine_table.engines[engine_index];
        Endpoint { addr: engine.address.clone(), engine: engine.id.clone() }
    }

    /// Returns whether one more counted send is allowed. The send draws on the retry budget if the request has already
    /// reached an engine.
    pub fn grant_send(&self) -> bool {
        if !self.may_send_again() || !self.is_authorized() {
            return false;
        }
        if !self.reached_engine {
            return true;
        }
        let share =
            self.state.settings.bounds.budget_slack * RETRY_SLACK_FRACTION / f64::from(self.state.router_count());
        let is_allowed = self.state.retry_budget().try_acquire(self.service, clock::now(), share);
        if !is_allowed {
            self.state.metrics.retries_denied.inc();
        }
        is_allowed
    }

    /// Calls `select` with the context for selecting engines for this request, while holding the lock on the engine
    /// table.
    pub fn with_selection<T>(&self, select: impl FnOnce(&SelectionContext) -> T) -> T {
        let table = self.state.table();
        let ramp_per_s = table.services.get(&self.service).map_or(0.0, |service| service.ramp_per_s);
        let router_count = self.state.router_count();
        let version_bounds = self.version_bounds();
        let is_confirmed = self.state.staleness_bounds().is_confirmed(clock::now());
        let excluded_zones = plan::zones_excluded_for(&self.state, &self.request);
        let engine_table = self.state.engines();
        select(&SelectionContext {
            engine_table: &engine_table,
            now: clock::now(),
            service: self.service,
            zone: self.state.zone,
            excluded_zones: &excluded_zones,
            tried_engines: &self.attempted_engines,
            router_count,
            cold_engine_rate: ramp_per_s * self.state.settings.bounds.ramp_overage,
            weight_versions: version_bounds,
            is_confirmed,
            arm: self.variant,
        })
    }

    /// Returns the maximum number of connections from this router to one engine.
    pub fn max_connections(&self) -> usize {
        let limit = match self.service_config().connections {
            0 => DEFAULT_CONNECTIONS,
            connections => connections,
        };
        ((f64::from(limit) * SHARED_CONNECTION_FRACTION) / f64::from(self.state.router_count())).max(2.0) as usize
    }
}
