//! What a router counts. The list with units stands in `docs/metrics.md`; a test holds the two together.

use std::sync::atomic::Ordering;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::frontend::drain::DrainPhase;
use crate::limits::quota_gate::Decision;
use crate::proxy::send;
use crate::state::State;

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Stage {
    /// Its head is read; its body is on its way, or it waits for the configuration.
    Reading,
    /// It is let in and looks for an answer.
    Forwarding,
    /// Its answer has begun.
    Answering,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// An engine's success, whole.
    Success,
    /// An engine's failure, passed on.
    EngineFailure,
    /// 503: it has not run and never will.
    Refused,
    /// 429 of our own.
    OverQuota,
    /// 404 of our own.
    NoRoute,
    /// 401 of our own.
    Unauthorized,
    /// 400, 408 or 413 of our own.
    Rejected,
    /// 502 or 504 of our own: it may have run.
    Lost,
    /// Its connection ended before its answer did.
    Cut,
}

/// Is a request the first on its connection?
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Connection {
    New,
    Kept,
}

/// What a request sent to an engine was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum SendPhase {
    /// Only its prompt is read.
    Prefill,
    /// It is run.
    Run,
}

/// What came of a send to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum SendResult {
    Answered,
    NotExecuted,
    Misdirected,
    Unsent,
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ArrivalLabels {
    pub phase: DrainPhase,
    pub connection: Connection,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StageLabels {
    pub phase: DrainPhase,
    pub stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    pub phase: DrainPhase,
    pub outcome: Outcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EngineSendLabels {
    pub half: SendPhase,
    pub result: SendResult,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PhaseLabels {
    pub phase: DrainPhase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QuotaLabels {
    pub decision: Decision,
}

/// All metrics of a router. Labels have fixed values only, so that their number never grows.
pub struct Metrics {
    registry: Registry,
    /// By the phase in which they came.
    pub requests_received: Family<ArrivalLabels, Counter>,
    pub requests_under_way: Family<StageLabels, Gauge>,
    pub requests_ended: Family<OutcomeLabels, Counter>,
    pub request_duration: Histogram,
    pub first_byte: Histogram,
    pub connections_accepted: Family<PhaseLabels, Counter>,
    pub connections_open: Gauge,
    pub engine_sends: Family<EngineSendLabels, Counter>,
    pub engine_connections: Counter,
    pub quota_decisions: Family<QuotaLabels, Counter>,
    pub retries_denied: Counter,
    pub readiness_checks_failed: Counter,
    config_revision: Gauge,
    ready: Gauge,
    body_bytes: Gauge,
    engines_known: Gauge,
    prefix_lookups: Gauge,
    prefix_hits: Gauge,
}

const METRIC_PREFIX: &str = "tidepoint_router";

impl Default for Metrics {
    fn default() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix(METRIC_PREFIX),
            requests_received: Default::default(),
            requests_under_way: Default::default(),
            requests_ended: Default::default(),
            request_duration: telemetry::latency_histogram(),
            first_byte: telemetry::latency_histogram(),
            connections_accepted: Default::default(),
            connections_open: Default::default(),
            engine_sends: Default::default(),
            engine_connections: Default::default(),
            quota_decisions: Default::default(),
            retries_denied: Default::default(),
            readiness_checks_failed: Default::default(),
            config_revision: Default::default(),
            ready: Default::default(),
            body_bytes: Default::default(),
            engines_known: Default::default(),
            prefix_lookups: Default::default(),
            prefix_hits: Default::default(),
        };
        metrics.register_requests();
        metrics.register_connections();
        metrics.register_state();
        metrics
    }
}

impl Metrics {
    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        let received = self.requests_received.clone();
        registry.register("requests_received", "Requests whose head was read, by the phase they came in", received);
        let under_way = self.requests_under_way.clone();
        registry.register("requests_under_way", "Requests not ended yet, by the phase they came in", under_way);
        let ended = self.requests_ended.clone();
        registry.register("requests_ended", "Requests by how they ended and the phase they came in", ended);
        let duration = self.request_duration.clone();
        let help = "Time from the head of a request to the end of its answer";
        registry.register_with_unit("request_duration", help, Unit::Seconds, duration);
        let first_byte = self.first_byte.clone();
        let help = "Time from the head of a request to the head of its answer";
        registry.register_with_unit("first_byte", help, Unit::Seconds, first_byte);
        let body_bytes = self.body_bytes.clone();
        registry.register_with_unit("request_bodies", "Request bodies held", Unit::Bytes, body_bytes);
    }

    fn register_connections(&mut self) {
        let registry = &mut self.registry;
        let accepted = self.connections_accepted.clone();
        registry.register("connections_accepted", "Clients' connections by the phase they came in", accepted);
        registry.register("connections_open", "Clients' connections", self.connections_open.clone());
        registry.register("engine_sends", "Requests sent to engines, by what came of them", self.engine_sends.clone());
        registry.register("engine_connections", "Connections opened to engines", self.engine_connections.clone());
        let help = "Requests of tenants with a limit";
        registry.register("quota_decisions", help, self.quota_decisions.clone());
        let denied = self.retries_denied.clone();
        registry.register("retries_denied", "Further sends that the retry budget did not allow", denied);
    }

    fn register_state(&mut self) {
        let registry = &mut self.registry;
        registry.register("config_revision", "Version of the configuration in force", self.config_revision.clone());
        registry.register("ready", "1 while /ready answers 200", self.ready.clone());
        let failed = self.readiness_checks_failed.clone();
        registry.register("readiness_checks_failed", "Calls for /ready that were not answered 200", failed);
        registry.register("engines_known", "Engines in the platform's list", self.engines_known.clone());
        registry.register("prefix_lookups", "Prompt prefixes looked up", self.prefix_lookups.clone());
        registry.register("prefix_hits", "Prompt prefixes whose owner was found", self.prefix_hits.clone());
    }

    /// Requests that are not ended yet and came in a phase, and how far they are.
    pub fn requests_in_stage(&self, phase: DrainPhase, stage: Stage) -> i64 {
        self.requests_under_way.get_or_create(&StageLabels { phase, stage }).get()
    }

    /// All metrics as text, with the figures that are only read when asked for.
    pub fn render(&self, state: &State) -> String {
        let ordering = Ordering::Relaxed;
        let counts = state.owner_cache().counts;
        self.ready.set(i64::from(state.is_ready()));
        self.config_revision.set(state.table().revision as i64);
        self.body_bytes.set(state.held_body_bytes.load(ordering) as i64);
        self.engines_known.set(state.engines().engines.len() as i64);
        self.prefix_lookups.set(counts.queries as i64);
        self.prefix_hits.set(counts.hits as i64);
        telemetry::encode(&self.registry)
    }
}

impl From<&send::SendOutcome> for SendResult {
    fn from(outcome: &send::SendOutcome) -> SendResult {
        match outcome {
            send::SendOutcome::Response(_) => SendResult::Answered,
            send::SendOutcome::NotExecuted => SendResult::NotExecuted,
            send::SendOutcome::OtherEngine | send::SendOutcome::OtherVersion(_) => SendResult::Misdirected,
            send::SendOutcome::Unsent(_) => SendResult::Unsent,
            send::SendOutcome::Lost => SendResult::Lost,
        }
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
