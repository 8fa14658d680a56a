//! The metrics of a router. `docs/metrics.md` lists them with their units; a test compares the two.
//!
//! The names of metrics, of label set fields and of label value variants are public: dashboards depend on them.

use ingress::Purpose;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use protocol::traffic;
use telemetry::MemoryMetrics;

use crate::frontend::drain::DrainPhase;
use crate::limits::quota_gate::Decision;
use crate::proxy::send;
use crate::state::State;

/// The processing stage of a request (label value).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Stage {
    /// The head has been read; the body is arriving, or the request waits for the configuration.
    Reading,
    /// The request has been admitted, and no response has started.
    Forwarding,
    /// The response has started.
    Answering,
}

/// The outcome of a request (label value).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// A successful response of an engine was sent completely.
    Success,
    /// An error response of an engine was sent completely.
    EngineFailure,
    /// 503 from the router: the request has not run and never will.
    Refused,
    /// 429 from the router.
    OverQuota,
    /// 404 from the router.
    NoRoute,
    /// 401 from the router.
    Unauthorized,
    /// 400, 408 or 413 from the router.
    Rejected,
    /// 502 or 504 from the router: the request may have run.
    Lost,
    /// The connection closed before the response was sent completely.
    Cut,
}

/// Whether a request is the first on its connection (label value).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Connection {
    /// The first request on its connection.
    New,
    /// A later request on a keep-alive connection.
    Kept,
}

/// The purpose of a send to an engine (label value).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum SendPhase {
    /// Only to prefill the prompt.
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
    /// The processing stage of the request.
    pub stage: Stage,
}

/// Labels of requests that have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The phase of the router when the request arrived.
    pub phase: DrainPhase,
    /// The outcome of the request.
    pub outcome: Outcome,
}

/// Labels of requests sent to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EngineSendLabels {
    /// The purpose of the send.
    pub half: SendPhase,
    /// The result of the send.
    pub result: SendResult,
}

/// Labels of client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PhaseLabels {
    /// The phase of the router when the connection was accepted.
    pub phase: DrainPhase,
}

/// Labels of quota decisions about requests of tenants with a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QuotaLabels {
    /// The decision.
    pub decision: Decision,
}

/// All metrics of a router. Labels take a fixed set of values, so the number of series is bounded.
pub struct Metrics {
    registry: Registry,
    /// Requests whose head was read.
    pub requests_received: Family<ArrivalLabels, Counter>,
    /// Requests in flight.
    pub requests_under_way: Family<StageLabels, Gauge>,
    /// Requests that have ended.
    pub requests_ended: Family<OutcomeLabels, Counter>,
    /// Time from the head of a request to the end of its response, in seconds.
    pub request_duration: Histogram,
    /// Time from the head of a request to the head of its response, in seconds.
    pub first_byte: Histogram,
    /// Accepted client connections.
    pub connections_accepted: Family<PhaseLabels, Counter>,
    /// Open client connections.
    pub connections_open: Gauge,
    /// Requests sent to engines.
    pub engine_sends: Family<EngineSendLabels, Counter>,
    /// Connections opened to engines.
    pub engine_connections: Counter,
    /// Quota decisions about requests of tenants with a rate limit.
    pub quota_decisions: Family<QuotaLabels, Counter>,
    /// Retries denied by the retry budget.
    pub retries_denied: Counter,
    /// Readiness checks that did not get a 200.
    pub readiness_checks_failed: Counter,
    config_revision: Gauge,
    ready: Gauge,
    body_bytes: Gauge,
    memory: MemoryMetrics,
    engines_known: Gauge,
    prefix_lookups: Gauge,
    prefix_hits: Gauge,
}

/// The prefix of all metric names.
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
            memory: Default::default(),
            engines_known: Default::default(),
            prefix_lookups: Default::default(),
            prefix_hits: Default::default(),
        };
        metrics.register_requests();
        metrics.register_connections();
        metrics.register_state();
        traffic::register(&mut metrics.registry);
        metrics.memory.register(&mut metrics.registry);
        metrics
    }
}

impl Metrics {
    /// Registers the request metrics.
    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        let received = self.requests_received.clone();
        registry.register(
            "requests_received",
            "Requests whose head was read, by the router's phase at their arrival",
            received,
        );
        let under_way = self.requests_under_way.clone();
        registry.register(
            "requests_under_way",
            "Requests in flight, by stage and by the router's phase at their arrival",
            under_way,
        );
        let ended = self.requests_ended.clone();
        registry.register(
            "requests_ended",
            "Requests that have ended, by outcome and by the router's phase at their arrival",
            ended,
        );
        let duration = self.request_duration.clone();
        let help = "Time from the head of a request to the end of its response";
        registry.register_with_unit("request_duration", help, Unit::Seconds, duration);
        let first_byte = self.first_byte.clone();
        let help = "Time from the head of a request to the head of its response";
        registry.register_with_unit("first_byte", help, Unit::Seconds, first_byte);
        let body_bytes = self.body_bytes.clone();
        registry.register_with_unit("request_bodies", "Memory reserved for request bodies", Unit::Bytes, body_bytes);
    }

    /// Registers the metrics of client connections and of sends to engines.
    fn register_connections(&mut self) {
        let registry = &mut self.registry;
        let accepted = self.connections_accepted.clone();
        registry.register(
            "connections_accepted",
            "Client connections accepted, by the router's phase at that time",
            accepted,
        );
        registry.register("connections_open", "Open client connections", self.connections_open.clone());
        registry.register("engine_sends", "Requests sent to engines, by result", self.engine_sends.clone());
        registry.register("engine_connections", "Connections opened to engines", self.engine_connections.clone());
        let help = "Quota decisions about requests of tenants with a rate limit";
        registry.register("quota_decisions", help, self.quota_decisions.clone());
        let denied = self.retries_denied.clone();
        registry.register("retries_denied", "Retries denied by the retry budget", denied);
    }

    /// Registers the router state metrics.
    fn register_state(&mut self) {
        let registry = &mut self.registry;
        registry.register("config_revision", "Revision of the configuration in force", self.config_revision.clone());
        registry.register("ready", "1 while /ready responds with 200", self.ready.clone());
        let failed = self.readiness_checks_failed.clone();
        registry.register("readiness_checks_failed", "Readiness checks that did not get a 200", failed);
        registry.register("engines_known", "Engines in the endpoint list", self.engines_known.clone());
        registry.register("prefix_lookups", "Prompt prefixes looked up", self.prefix_lookups.clone());
        registry.register("prefix_hits", "Prompt prefixes for which an owner was found", self.prefix_hits.clone());
    }

    /// Returns the number of requests that arrived in a phase and are in a stage.
    pub fn requests_in_stage(&self, phase: DrainPhase, stage: Stage) -> i64 {
        self.requests_under_way.get_or_create(&StageLabels { phase, stage }).get()
    }

    /// Returns all metrics as text. The router state gauges are updated here, at each scrape.
    pub fn render(&self, state: &State) -> String {
        let counts = state.owner_cache().counts;
        self.ready.set(i64::from(state.is_ready()));
        self.config_revision.set(state.table().revision as i64);
        self.body_bytes.set(state.memory.used_bytes(Purpose::RequestBodies) as i64);
        self.memory.update(&state.memory);
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
