//! The metrics of a router. The list with units is in `docs/metrics.md`; a test compares the two.
//!
//! Names of metrics, names of fields of label sets, and names of variants of label values are published: dashboards
//! depend on them.

use std::sync::atomic::Ordering;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use protocol::traffic;

use crate::frontend::drain::DrainPhase;
use crate::limits::quota_gate::Decision;
use crate::proxy::send;
use crate::state::State;

/// How far a request is (label value).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Stage {
    /// Its head is read; its body is arriving, or it waits for the configuration.
    Reading,
    /// It is admitted, and no response has begun.
    Forwarding,
    /// Its response has begun.
    Answering,
}

/// How a request ended (label value).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// An engine's success was sent completely.
    Success,
    /// An engine's failure was forwarded.
    EngineFailure,
    /// 503 of the router: it has not run and never will.
    Refused,
    /// 429 of the router.
    OverQuota,
    /// 404 of the router.
    NoRoute,
    /// 401 of the router.
    Unauthorized,
    /// 400, 408 or 413 of the router.
    Rejected,
    /// 502 or 504 of the router: it may have run.
    Lost,
    /// Its connection ended before its response did.
    Cut,
}

/// Whether a request is the first on its connection (label value).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Connection {
    /// It is the first.
    New,
    /// It came on a kept-alive connection.
    Kept,
}

/// What a request sent to an engine was for (label value).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum SendPhase {
    /// Only to prefill its prompt.
    Prefill,
    /// To produce the response.
    Run,
}

/// The result of a send to an engine (label value).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum SendResult {
    /// The engine responded.
    Answered,
    /// The engine did not execute the request.
    NotExecuted,
    /// 421: another engine, or another version, was found at the address.
    Misdirected,
    /// The request was not sent.
    Unsent,
    /// The request may have run, and the response is lost.
    Lost,
}

/// Labels of requests as they arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ArrivalLabels {
    /// The phase of the router when the request arrived.
    pub phase: DrainPhase,
    /// Whether the request is the first on its connection.
    pub connection: Connection,
}

/// Labels of requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StageLabels {
    /// The phase of the router when the request arrived.
    pub phase: DrainPhase,
    /// How far the request is.
    pub stage: Stage,
}

/// Labels of requests that have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The phase of the router when the request arrived.
    pub phase: DrainPhase,
    /// How the request ended.
    pub outcome: Outcome,
}

/// Labels of requests sent to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EngineSendLabels {
    /// What the request was for.
    pub half: SendPhase,
    /// What came of it.
    pub result: SendResult,
}

/// Labels of clients' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PhaseLabels {
    /// The phase of the router when the connection was accepted.
    pub phase: DrainPhase,
}

/// Labels of decisions about requests of tenants with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QuotaLabels {
    /// The decision.
    pub decision: Decision,
}

/// All metrics of a router. Labels have fixed values only, so that their number never grows.
pub struct Metrics {
    registry: Registry,
    /// Requests whose head was read.
    pub requests_received: Family<ArrivalLabels, Counter>,
    /// Requests that have not ended yet.
    pub requests_under_way: Family<StageLabels, Gauge>,
    /// Requests that have ended.
    pub requests_ended: Family<OutcomeLabels, Counter>,
    /// Seconds from the head of a request to the end of its response.
    pub request_duration: Histogram,
    /// Seconds from the head of a request to the head of its response.
    pub first_byte: Histogram,
    /// Clients' connections that were accepted.
    pub connections_accepted: Family<PhaseLabels, Counter>,
    /// Clients' connections that are open.
    pub connections_open: Gauge,
    /// Requests that were sent to engines.
    pub engine_sends: Family<EngineSendLabels, Counter>,
    /// Connections that were opened to engines.
    pub engine_connections: Counter,
    /// Decisions about requests of tenants with a limit.
    pub quota_decisions: Family<QuotaLabels, Counter>,
    /// Retries that the retry budget did not allow.
    pub retries_denied: Counter,
    /// Readiness checks that did not get a 200.
    pub readiness_checks_failed: Counter,
    config_revision: Gauge,
    ready: Gauge,
    body_bytes: Gauge,
    engines_known: Gauge,
    prefix_lookups: Gauge,
    prefix_hits: Gauge,
}

/// The prefix of the names of all metrics.
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
        traffic::register(&mut metrics.registry);
        metrics
    }
}

impl Metrics {
    /// Registers the metrics of requests.
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

    /// Registers the metrics of connections and sends.
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

    /// Registers the metrics of the router's state.
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

    /// Returns how many requests that arrived in a phase are in a stage.
    pub fn requests_in_stage(&self, phase: DrainPhase, stage: Stage) -> i64 {
        self.requests_under_way.get_or_create(&StageLabels { phase, stage }).get()
    }

    /// Returns all metrics as text. Gauges of the router's state are read here, at each scrape.
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
