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
pub enum OrderKind {
    ReadConfig,
    ChangeConfig,
    Evacuate,
}

/// What an operator's call came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum OrderOutcome {
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
pub struct OrderLabels {
    pub kind: OrderKind,
    pub result: OrderOutcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PollLabels {
    pub result: PollOutcome,
}

/// What a request for a token of a tenant's limit came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum QuotaAnswer {
    Granted,
    Denied,
    NotHeld,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QuotaLabels {
    pub answer: QuotaAnswer,
}

/// All metrics of a controller. Labels have fixed values only, so that their number never grows.
pub struct Metrics {
    registry: Registry,
    pub orders: Family<OrderLabels, Counter>,
    pub orders_under_way: Gauge,
    pub order_duration: Histogram,
    pub disk_write: Histogram,
    pub platform_polls: Family<PollLabels, Counter>,
    pub duties_taken: Counter,
    quota_answers: Family<QuotaLabels, Counter>,
    config_revision: Gauge,
    confirmed: Gauge,
    core_version: Gauge,
    core_members: Gauge,
    core_settled: Gauge,
    live_controllers: Gauge,
    following_routers: Gauge,
    batches: Gauge,
    leaving: Gauge,
}

const PREFIX: &str = "tidepoint_keeper";
const MS_PER_S: f64 = 1000.0;

impl Default for Metrics {
    fn default() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix(PREFIX),
            orders: Default::default(),
            orders_under_way: Default::default(),
            order_duration: telemetry::latency_histogram(),
            disk_write: telemetry::latency_histogram(),
            platform_polls: Default::default(),
            duties_taken: Default::default(),
            quota_answers: Default::default(),
            config_revision: Default::default(),
            confirmed: Default::default(),
            core_version: Default::default(),
            core_members: Default::default(),
            core_settled: Default::default(),
            live_controllers: Default::default(),
            following_routers: Default::default(),
            batches: Default::default(),
            leaving: Default::default(),
        };
        metrics.register_work();
        metrics.register_state();
        metrics
    }
}

impl Metrics {
    fn register_work(&mut self) {
        let registry = &mut self.registry;
        registry.register("orders", "Operators' calls by what they came to", self.orders.clone());
        let under_way = self.orders_under_way.clone();
        registry.register("orders_under_way", "Operators' calls not answered yet", under_way);
        let duration = self.order_duration.clone();
        let help = "Time from the reading of an operator's call to its answer";
        registry.register_with_unit("order_duration", help, Unit::Seconds, duration);
        let help = "Time of a write of records and its sync, with tries again";
        registry.register_with_unit("disk_write", help, Unit::Seconds, self.disk_write.clone());
        registry.register("platform_polls", "Polls of the platform's list", self.platform_polls.clone());
        let help = "Requests for a token of a tenant's limit";
        registry.register("quota_answers", help, self.quota_answers.clone());
        registry.register("duties_taken", "Duties taken under a new epoch", self.duties_taken.clone());
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
        registry.register("core_settled", "1 while the core is not being changed", self.core_settled.clone());
        registry.register("live_keepers", "Other controllers heard lately", self.live_controllers.clone());
        let help = "Routers that hold a lease at this controller";
        registry.register("following_routers", help, self.following_routers.clone());
        registry.register("batches", "Batches that are kept", self.batches.clone());
        registry.register("leaving", "1 once SIGTERM came", self.leaving.clone());
    }

    /// Counts the answer to a request for a token.
    pub fn note_spent(&self, spent: TokenResponse) {
        let answer = match spent {
            TokenResponse::Granted => QuotaAnswer::Granted,
            TokenResponse::Denied { .. } => QuotaAnswer::Denied,
            TokenResponse::NotHeld => QuotaAnswer::NotHeld,
        };
        self.quota_answers.get_or_create(&QuotaLabels { answer }).inc();
    }

    /// All metrics as text, with the figures that are only read when asked for.
    pub fn render(&self, controller: &Controller) -> String {
        let now = clock::now();
        let core = controller.replica.membership();
        self.config_revision.set(controller.committed.revision() as i64);
        self.confirmed.set(i64::from(controller.committed.is_confirmed(now)));
        self.core_version.set(core.version as i64);
        self.core_members.set(core.members.len() as i64);
        self.core_settled.set(i64::from(core.stable));
        self.live_controllers.set(live_controllers(controller, now));
        self.following_routers.set(controller.subscribers.lease_count(now) as i64);
        self.batches.set(controller.committed.read(records::ids).len() as i64);
        self.leaving.set(i64::from(controller.leaving.load(Ordering::Relaxed)));
        telemetry::encode(&self.registry)
    }
}

fn live_controllers(controller: &Controller, now: u64) -> i64 {
    controller.peers.live_ips(now).iter().filter(|ip| *ip != controller.me()).count() as i64
}

/// One call of an operator, counted while it is under way.
pub struct OrderTimer<'a> {
    metrics: &'a Metrics,
    kind: OrderKind,
    begun: u64,
}

impl<'a> OrderTimer<'a> {
    pub fn start(metrics: &'a Metrics, order: &OperatorRequest) -> OrderTimer<'a> {
        use protocol::operator_request::OperatorRequest;
        let kind = match order {
            OperatorRequest::ReadConfig => OrderKind::ReadConfig,
            OperatorRequest::Change(_) => OrderKind::ChangeConfig,
            OperatorRequest::Evacuate { .. } | OperatorRequest::EvacuateFrom { .. } => OrderKind::Evacuate,
        };
        metrics.orders_under_way.inc();
        OrderTimer { metrics, kind, begun: clock::now() }
    }

    pub fn finish(self, result: OrderOutcome) {
        self.metrics.orders.get_or_create(&OrderLabels { kind: self.kind, result }).inc();
    }
}

impl Drop for OrderTimer<'_> {
    fn drop(&mut self) {
        self.metrics.orders_under_way.dec();
        let spent_ms = clock::now() - self.begun;
        self.metrics.order_duration.observe(spent_ms as f64 / MS_PER_S);
    }
}

impl From<&OperatorResponse> for OrderOutcome {
    fn from(result: &OperatorResponse) -> OrderOutcome {
        use protocol::operator_request::OperatorResponse;
        match result {
            OperatorResponse::Done | OperatorResponse::Found { .. } => OrderOutcome::Done,
            OperatorResponse::Rejected { .. } => OrderOutcome::Refused,
            OperatorResponse::OutcomeUnknown => OrderOutcome::Unclear,
        }
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
