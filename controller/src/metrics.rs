//! The metrics of a controller. `docs/metrics.md` lists them with units, and a test compares the two. Variants of label
//! types are exported as label values, so renaming one changes the metric.

use std::sync::atomic::AtomicU64;

use kernel::clock;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use protocol::operator_request::{OperatorRequest, OperatorResponse};
use protocol::quota::TokenResponse;
use protocol::traffic;
use telemetry::MemoryMetrics;

use crate::batches::records;
use crate::controller::Controller;
use crate::tallies::{AddOutcome, Tallies};

/// The kind of an operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestKind {
    /// Reads the configuration.
    ReadConfig,
    /// Changes the configuration.
    ChangeConfig,
    /// Starts or ends an evacuation.
    Evacuate,
}

/// The outcome of an operator's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestOutcome {
    /// The request was executed.
    Done,
    /// The request was rejected.
    Refused,
    /// The request may have been executed, or may still be.
    Unclear,
    /// The caller was redirected to another controller.
    Redirected,
}

/// The outcome of a poll of the platform's instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum PollOutcome {
    /// The list was read.
    Read,
    /// The poll exceeded the shared rate limit, or the response was not a list.
    Refused,
    /// There was no response.
    Unreachable,
    /// This process was paused during the poll.
    Stalled,
}

/// The labels of operators' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The kind of the request.
    pub kind: RequestKind,
    /// The outcome of the request.
    pub result: RequestOutcome,
}

/// The labels of polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PollLabels {
    /// The outcome of the poll.
    pub result: PollOutcome,
}

/// The outcome of a request for a token of a tenant's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum TokenOutcome {
    /// A token was issued.
    Granted,
    /// No token is left.
    Denied,
    /// This controller does not own the shard.
    NotHeld,
}

/// The labels of token requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TokenLabels {
    /// The outcome of the request.
    pub answer: TokenOutcome,
}

/// The outcome of an add to a tally.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum AddResult {
    /// The add is counted and was acknowledged.
    Acknowledged,
    /// The add was not counted.
    Refused,
    /// The add may be counted: too few disks confirmed it in time.
    Unconfirmed,
}

/// The labels of adds to tallies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AddLabels {
    /// The outcome of the add.
    pub result: AddResult,
}

/// All metrics of a controller. Labels have only fixed values, which bounds the number of time series.
pub struct Metrics {
    registry: Registry,
    /// The number of operators' requests that got a response.
    pub operator_requests: Family<RequestLabels, Counter>,
    /// The number of operators' requests in flight.
    pub requests_in_flight: Gauge,
    /// The time from reading an operator's request to its response, in seconds.
    pub request_duration: Histogram,
    /// The time of a write of records to disk, in seconds.
    pub disk_write: Histogram,
    /// The number of polls of the platform's instance list.
    pub platform_polls: Family<PollLabels, Counter>,
    /// The number of singleton roles acquired under a new epoch.
    pub roles_acquired: Counter,
    token_responses: Family<TokenLabels, Counter>,
    tally_adds: Family<AddLabels, Counter>,
    tally_entries: Gauge,
    tally_sealed_entries: Gauge,
    tally_used_share: Gauge<f64, AtomicU64>,
    tally_replicas: Gauge,
    tally_replicas_in_reach: Gauge,
    memory: MemoryMetrics,
    config_revision: Gauge,
    confirmed: Gauge,
    core_version: Gauge,
    core_members: Gauge,
    core_stable: Gauge,
    live_controllers: Gauge,
    subscribed_routers: Gauge,
    batches: Gauge,
    shutting_down: Gauge,
}

const PREFIX: &str = "tidepoint_keeper";
const MS_PER_S: f64 = 1000.0;

impl Default for Metrics {
    fn default() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix(PREFIX),
            operator_requests: Default::default(),
            requests_in_flight: Default::default(),
            request_duration: telemetry::latency_histogram(),
            disk_write: telemetry::latency_histogram(),
            platform_polls: Default::default(),
            roles_acquired: Default::default(),
            token_responses: Default::default(),
            tally_adds: Default::default(),
            tally_entries: Default::default(),
            tally_sealed_entries: Default::default(),
            tally_used_share: Default::default(),
            tally_replicas: Default::default(),
            tally_replicas_in_reach: Default::default(),
            memory: Default::default(),
            config_revision: Default::default(),
            confirmed: Default::default(),
            core_version: Default::default(),
            core_members: Default::default(),
            core_stable: Default::default(),
            live_controllers: Default::default(),
            subscribed_routers: Default::default(),
            batches: Default::default(),
            shutting_down: Default::default(),
        };
        metrics.register_operations();
        metrics.register_state();
        metrics.register_tallies();
        traffic::register(&mut metrics.registry);
        metrics.memory.register(&mut metrics.registry);
        metrics
    }
}

impl Metrics {
    fn register_operations(&mut self) {
        let registry = &mut self.registry;
        registry.register("orders", "Operator requests by outcome", self.operator_requests.clone());
        let in_flight = self.requests_in_flight.clone();
        registry.register("orders_under_way", "Operator requests in flight", in_flight);
        let duration = self.request_duration.clone();
        let help = "Time from reading an operator request to its response";
        registry.register_with_unit("order_duration", help, Unit::Seconds, duration);
        let help = "Time of a write of records to disk, including its sync and retries";
        registry.register_with_unit("disk_write", help, Unit::Seconds, self.disk_write.clone());
        registry.register(
            "platform_polls",
            "Polls of the platform's instance list by outcome",
            self.platform_polls.clone(),
        );
        let help = "Requests for a token of a tenant's rate limit by outcome";
        registry.register("quota_answers", help, self.token_responses.clone());
        registry.register("duties_taken", "Singleton roles acquired under a new epoch", self.roles_acquired.clone());
    }

    fn register_state(&mut self) {
        let registry = &mut self.registry;
        let help = "Revision of the configuration known to be committed";
        registry.register("config_revision", help, self.config_revision.clone());
        let help = "1 while a quorum confirms that the known state is current";
        registry.register("confirmed", help, self.confirmed.clone());
        let help = "Version of the core membership";
        registry.register("core_version", help, self.core_version.clone());
        registry.register("core_members", "Members of the core", self.core_members.clone());
        registry.register(
            "core_settled",
            "1 while no change of the core membership is in progress",
            self.core_stable.clone(),
        );
        registry.register("live_keepers", "Other controllers that are considered live", self.live_controllers.clone());
        let help = "Routers that hold a subscription lease at this controller";
        registry.register("following_routers", help, self.subscribed_routers.clone());
        registry.register("batches", "Batches stored", self.batches.clone());
        registry.register("leaving", "1 after SIGTERM, during the graceful shutdown", self.shutting_down.clone());
    }

    fn register_tallies(&mut self) {
        let registry = &mut self.registry;
        registry.register("tally_adds", "Adds to tallies by outcome", self.tally_adds.clone());
        registry.register("tally_entries", "Tally entries stored on this replica", self.tally_entries.clone());
        let help = "Tally entries stored without the texts of their keys";
        registry.register("tally_sealed_entries", help, self.tally_sealed_entries.clone());
        let help = "Share of the tally capacity of this machine in use; new keys are rejected at 1";
        registry.register("tally_used_share", help, self.tally_used_share.clone());
        registry.register("tally_replicas", "Other known tally replicas", self.tally_replicas.clone());
        let help = "Other tally replicas that responded within the last 0.85 s";
        registry.register("tally_replicas_in_reach", help, self.tally_replicas_in_reach.clone());
    }

    /// Counts an add to a tally.
    pub fn record_add(&self, outcome: AddOutcome) {
        let result = match outcome {
            AddOutcome::Acknowledged => AddResult::Acknowledged,
            AddOutcome::Refused(_) => AddResult::Refused,
            AddOutcome::Unconfirmed => AddResult::Unconfirmed,
        };
        self.tally_adds.get_or_create(&AddLabels { result }).inc();
    }

    fn observe_tallies(&self, tallies: &Tallies) {
        let Tallies::Replica(replica) = tallies else { return };
        let usage = replica.usage();
        self.tally_entries.set((usage.counts.sealed + usage.counts.unsealed) as i64);
        self.tally_sealed_entries.set(usage.counts.sealed as i64);
        self.tally_used_share.set(usage.used_share);
        self.tally_replicas.set(usage.known as i64);
        self.tally_replicas_in_reach.set(usage.in_reach as i64);
    }

    /// Counts a response to a request for a token.
    pub fn record_token_response(&self, response: TokenResponse) {
        let answer = match response {
            TokenResponse::Granted => TokenOutcome::Granted,
            TokenResponse::Denied { .. } => TokenOutcome::Denied,
            TokenResponse::NotHeld => TokenOutcome::NotHeld,
        };
        self.token_responses.get_or_create(&TokenLabels { answer }).inc();
    }

    /// Renders all metrics as text, after updating the gauges that are computed on demand.
    pub fn render(&self, controller: &Controller) -> String {
        let now = clock::now();
        let core = controller.replica.membership();
        self.memory.update(&controller.memory);
        self.config_revision.set(controller.committed.revision() as i64);
        self.confirmed.set(i64::from(controller.committed.is_confirmed(now)));
        self.core_version.set(core.version as i64);
        self.core_members.set(core.members.len() as i64);
        self.core_stable.set(i64::from(core.stable));
        self.live_controllers.set(live_controllers(controller, now));
        self.subscribed_routers.set(controller.subscribers.lease_count(now) as i64);
        self.batches.set(controller.committed.read(records::ids).len() as i64);
        self.shutting_down.set(i64::from(controller.is_shutting_down()));
        self.observe_tallies(&controller.tallies);
        telemetry::encode(&self.registry)
    }
}

fn live_controllers(controller: &Controller, now: u64) -> i64 {
    controller.peers.live_ips(now).iter().filter(|ip| *ip != controller.own_ip()).count() as i64
}

/// An operator's request in flight, until dropped.
pub struct RequestTimer<'a> {
    metrics: &'a Metrics,
    kind: RequestKind,
    started_at: u64,
}

impl<'a> RequestTimer<'a> {
    /// Counts a request as in flight.
    pub fn start(metrics: &'a Metrics, request: &OperatorRequest) -> RequestTimer<'a> {
        use protocol::operator_request::OperatorRequest;
        let kind = match request {
            OperatorRequest::ReadConfig => RequestKind::ReadConfig,
            OperatorRequest::Change(_) => RequestKind::ChangeConfig,
            OperatorRequest::Evacuate { .. } | OperatorRequest::EvacuateFrom { .. } => RequestKind::Evacuate,
        };
        metrics.requests_in_flight.inc();
        RequestTimer { metrics, kind, started_at: clock::now() }
    }

    /// Counts the outcome.
    pub fn finish(self, result: RequestOutcome) {
        self.metrics.operator_requests.get_or_create(&RequestLabels { kind: self.kind, result }).inc();
    }
}

impl Drop for RequestTimer<'_> {
    fn drop(&mut self) {
        self.metrics.requests_in_flight.dec();
        let elapsed_ms = clock::now() - self.started_at;
        self.metrics.request_duration.observe(elapsed_ms as f64 / MS_PER_S);
    }
}

impl From<&OperatorResponse> for RequestOutcome {
    fn from(response: &OperatorResponse) -> RequestOutcome {
        use protocol::operator_request::OperatorResponse;
        match response {
            OperatorResponse::Done | OperatorResponse::Found { .. } => RequestOutcome::Done,
            OperatorResponse::Rejected { .. } => RequestOutcome::Refused,
            OperatorResponse::OutcomeUnknown => RequestOutcome::Unclear,
        }
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
