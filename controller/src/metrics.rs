//! What a controller counts. The list with units stands in `docs/metrics.md`; a test holds the two together.

use std::sync::atomic::Ordering;

use kernel::clock;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use protocol::operator_request::{OperatorRequest, OperatorResponse};
use protocol::quota::TokenResponse;

use crate::batches::records;
use crate::controller::Controller;

/// What an operator's call asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestKind {
    ReadConfig,
    ChangeConfig,
    Evacuate,
}

/// What an operator's call came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestOutcome {
    Done,
    Refused,
    Unclear,
    Redirected,
}

/// What a poll of the platform's list came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum PollOutcome {
    Read,
    Refused,
    Unreachable,
    Stalled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    pub kind: RequestKind,
    pub result: RequestOutcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PollLabels {
    pub result: PollOutcome,
}

/// What a request for a token of a tenant's limit came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum TokenOutcome {
    Granted,
    Denied,
    NotHeld,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QuotaLabels {
    pub answer: TokenOutcome,
}

/// All metrics of a controller. Labels have fixed values only, so that their number never grows.
pub struct Metrics {
    registry: Registry,
    pub operator_requests: Family<RequestLabels, Counter>,
    pub requests_in_flight: Gauge,
    pub order_duration: Histogram,
    pub disk_write: Histogram,
    pub platform_polls: Family<PollLabels, Counter>,
    pub roles_acquired: Counter,
    token_responses: Family<QuotaLabels, Counter>,
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
            order_duration: telemetry::latency_histogram(),
            disk_write: telemetry::latency_histogram(),
            platform_polls: Default::default(),
            roles_acquired: Default::default(),
            token_responses: Default::default(),
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
        metrics.register_work();
        metrics.register_state();
        metrics
    }
}

impl Metrics {
    fn register_work(&mut self) {
        let registry = &mut self.registry;
        registry.register("orders", "Operators' calls by what they came to", self.operator_requests.clone());
        let under_way = self.requests_in_flight.clone();
        registry.register("orders_under_way", "Operators' calls not answered yet", under_way);
        let duration = self.order_duration.clone();
        let help = "Time from the reading of an operator's call to its answer";
        registry.register_with_unit("order_duration", help, Unit::Seconds, duration);
        let help = "Time of a write of records and its sync, with tries again";
        registry.register_with_unit("disk_write", help, Unit::Seconds, self.disk_write.clone());
        registry.register("platform_polls", "Polls of the platform's list", self.platform_polls.clone());
        let help = "Requests for a token of a tenant's limit";
        registry.register("quota_answers", help, self.token_responses.clone());
        registry.register("duties_taken", "Duties taken under a new epoch", self.roles_acquired.clone());
    }

    fn register_state(&mut self) {
        let registry = &mut self.registry;
        let help = "Version of the configuration known to be committed";
        registry.register("config_revision", help, self.config_revision.clone());
        let help = "1 while what is known is confirmed by a quorum";
        registry.register("confirmed", help, self.confirmed.clone());
        let help = "Version of the list of the core's members";
        registry.register("core_version", help, self.core_version.clone());
        registry.register("core_members", "Members of the core", self.core_members.clone());
        registry.register("core_settled", "1 while the core is not being changed", self.core_stable.clone());
        registry.register("live_keepers", "Other controllers heard lately", self.live_controllers.clone());
        let help = "Routers that hold a lease at this controller";
        registry.register("following_routers", help, self.subscribed_routers.clone());
        registry.register("batches", "Batches that are kept", self.batches.clone());
        registry.register("leaving", "1 once SIGTERM came", self.shutting_down.clone());
    }

    /// Counts the answer to a request for a token.
    pub fn record_token_response(&self, spent: TokenResponse) {
        let answer = match spent {
            TokenResponse::Granted => TokenOutcome::Granted,
            TokenResponse::Denied { .. } => TokenOutcome::Denied,
            TokenResponse::NotHeld => TokenOutcome::NotHeld,
        };
        self.token_responses.get_or_create(&QuotaLabels { answer }).inc();
    }

    /// All metrics as text, with the figures that are only read when asked for.
    pub fn render(&self, controller: &Controller) -> String {
        let now = clock::now();
        let core = controller.replica.membership();
        self.config_revision.set(controller.committed.revision() as i64);
        self.confirmed.set(i64::from(controller.committed.is_confirmed(now)));
        self.core_version.set(core.version as i64);
        self.core_members.set(core.members.len() as i64);
        self.core_stable.set(i64::from(core.stable));
        self.live_controllers.set(live_controllers(controller, now));
        self.subscribed_routers.set(controller.subscribers.lease_count(now) as i64);
        self.batches.set(controller.committed.read(records::ids).len() as i64);
        self.shutting_down.set(i64::from(controller.shutting_down.load(Ordering::Relaxed)));
        telemetry::encode(&self.registry)
    }
}

fn live_controllers(controller: &Controller, now: u64) -> i64 {
    controller.peers.live_ips(now).iter().filter(|ip| *ip != controller.own_ip()).count() as i64
}

/// One call of an operator, counted while it is under way.
pub struct RequestTimer<'a> {
    metrics: &'a Metrics,
    kind: RequestKind,
    begun: u64,
}

impl<'a> RequestTimer<'a> {
    pub fn start(metrics: &'a Metrics, order: &OperatorRequest) -> RequestTimer<'a> {
        use protocol::operator_request::OperatorRequest;
        let kind = match order {
            OperatorRequest::ReadConfig => RequestKind::ReadConfig,
            OperatorRequest::Change(_) => RequestKind::ChangeConfig,
            OperatorRequest::Evacuate { .. } | OperatorRequest::EvacuateFrom { .. } => RequestKind::Evacuate,
        };
        metrics.requests_in_flight.inc();
        RequestTimer { metrics, kind, begun: clock::now() }
    }

    pub fn finish(self, result: RequestOutcome) {
        self.metrics.operator_requests.get_or_create(&RequestLabels { kind: self.kind, result }).inc();
    }
}

impl Drop for RequestTimer<'_> {
    fn drop(&mut self) {
        self.metrics.requests_in_flight.dec();
        let spent_ms = clock::now() - self.begun;
        self.metrics.order_duration.observe(spent_ms as f64 / MS_PER_S);
    }
}

impl From<&OperatorResponse> for RequestOutcome {
    fn from(result: &OperatorResponse) -> RequestOutcome {
        use protocol::operator_request::OperatorResponse;
        match result {
            OperatorResponse::Done | OperatorResponse::Found { .. } => RequestOutcome::Done,
            OperatorResponse::Rejected { .. } => RequestOutcome::Refused,
            OperatorResponse::OutcomeUnknown => RequestOutcome::Unclear,
        }
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
