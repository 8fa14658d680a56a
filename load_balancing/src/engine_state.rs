//! The state of one engine as a router knows it: what the lists say, and what its own requests have shown.

use kernel::hashing;
use protocol::message::{Engine, EngineLoad};

use crate::slow_start::SlowStart;

/// How long a load report is relayed to other routers, in milliseconds: an estimate from an older report rests mostly
/// on the average engine.
const REPORT_FRESH_MS: u64 = 1000;

/// The number of requests at an engine, as reported by the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
}

impl ReportedLoad {
    /// Parses the value of a `Server-Load` header: running, waiting, slots. Returns `None` if one of the first two
    /// numbers is missing or invalid.
    fn parse(text: &str) -> Option<ReportedLoad> {
        let mut numbers = text.split(',').map(|field| field.trim().parse::<u32>());
        let (Some(Ok(running)), Some(Ok(waiting))) = (numbers.next(), numbers.next()) else { return None };
        Some(ReportedLoad { running, waiting })
    }

    /// Returns the number of running and waiting requests.
    pub fn total(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// An engine as a router knows it. Times are in milliseconds; 0 means never.
///
/// Invariants: an index is never reused for another `id`; `in_flight` counts the sends without an outcome; no request
/// is sent to an engine unless it is `up` and `listed`.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The engine's id, which the platform never reuses.
    pub id: String,
    /// The hash of the id, the same at all routers.
    pub id_hash: u64,
    /// The index of its service.
    pub service: u32,
    /// The host and port.
    pub address: String,
    /// The index of its zone.
    pub zone: u32,
    /// Whether the engine serves prefill.
    pub prefill: bool,
    /// Whether the engine serves decode.
    pub decode: bool,
    /// The number of requests that it decodes concurrently, at least 1.
    pub slots: u32,
    /// Whether the list says that it accepts requests; otherwise it is draining.
    pub up: bool,
    /// Whether it is in the newest list of its zone, under an address that has not passed to another engine.
    pub listed: bool,
    /// Whether it runs a version that is being rolled out: it gets only the requests of that rollout.
    pub is_candidate: bool,
    /// Whether its address now belongs to another engine, whatever the list says.
    pub retired: bool,
    /// The end of its cold period, during which slow start limits the requests sent to it.
    pub cold_until: u64,
    /// This router's recent sends to it.
    pub slow_start: SlowStart,
    /// The number of requests from this router that have not been answered yet.
    pub in_flight: u32,
    /// The number of prompt tokens of those requests that it has yet to prefill.
    pub prefill_tokens_in_flight: u64,
    /// The time of its last response of any kind.
    pub last_response_at: u64,
    /// The load that it last reported, to this router or to another one.
    pub reported_load: ReportedLoad,
    /// The time of that report.
    pub reported_at: u64,
    /// This router's requests in flight at the time of that report.
    pub in_flight_at_report: u32,
    /// The number of consecutive failures without a response.
    pub consecutive_failures: u32,
    /// The end of the period in which it is suspected to be down and selected only if no other engine is available.
    pub suspected_until: u64,
    /// The time of the last recorded failure.
    pub last_failure_at: u64,
    /// Whether a probe is in progress.
    pub is_probing: bool,
    /// Whether it answered another router since this router's last probe.
    pub answered_elsewhere: bool,
    /// Whether it answered a router of another zone since this router's last probe.
    pub answered_in_other_zone: bool,
    /// Whether a request of this router has got no response at all since the last probe.
    pub is_unresponsive: bool,
    /// The end of the period in which it counts as full, because it rejected a request.
    pub saturated_until: u64,
    /// The end of the period in which it is about to change its phase and gets no new requests.
    pub reassigning_until: u64,
    /// Weight versions by the hash of the model's name, from the latest list or response.
    weight_versions: Vec<(u64, u64)>,
}

impl EngineState {
    /// Creates an engine of which only the identity is known.
    pub fn new(engine: &Engine, service: u32, zone: u32) -> EngineState {
        EngineState {
            id: engine.id.clone(),
            id_hash: hashing::hash(engine.id.as_bytes()),
            service,
            address: engine.addr.clone(),
            zone,
            prefill: false,
            decode: false,
            slots: 1,
            up: false,
            listed: true,
            is_candidate: false,
            retired: false,
            cold_until: 0,
            slow_start: SlowStart::default(),
            in_flight: 0,
            prefill_tokens_in_flight: 0,
            last_response_at: 0,
            reported_load: ReportedLoad::default(),
            reported_at: 0,
            in_flight_at_report: 0,
            consecutive_failures: 0,
            last_failure_at: 0,
            is_probing: false,
            answered_elsewhere: false,
            answered_in_other_zone: false,
            is_unresponsive: false,
            suspected_until: 0,
            saturated_until: 0,
            reassigning_until: 0,
            weight_versions: Vec::new(),
        }
    }

    /// Applies the engine's entry in the newest list. Returns whether the engine has just begun to drain.
    pub(crate) fn apply_listing(&mut self, listed: &Engine, is_candidate: bool, now: u64) -> bool {
        let starts_draining = self.up && !listed.up;
        self.listed = !self.retired;
        self.is_candidate = is_candidate;
        self.up = listed.up;
        self.address.clone_from(&listed.addr);
        self.prefill = listed.phase != "decode";
        self.decode = listed.phase != "prefill";
        self.slots = listed.slots.max(1);
        if listed.cold_ms > 0 {
            self.presume_cold(now + u64::from(listed.cold_ms));
        }
        starts_draining
    }

    /// Returns the weight version of a model, given the hash of its name, if it is known.
    pub fn weight_version(&self, model: u64) -> Option<u64> {
        self.weight_versions.iter().find(|(name, _)| *name == model).map(|(_, version)| *version)
    }

    /// Records the weight version of a model; `None` means that it is no longer known.
    pub fn set_weight_version(&mut self, model: u64, version: Option<u64>) {
        self.weight_versions.retain(|(name, _)| *name != model);
        self.weight_versions.extend(version.map(|version| (model, version)));
    }

    /// Returns the last load report for relaying, while it is fresh.
    pub fn fresh_load(&self, now: u64) -> Option<EngineLoad> {
        let age_ms = now.saturating_sub(self.reported_at);
        let is_fresh = self.reported_at > 0 && age_ms < REPORT_FRESH_MS;
        let load = self.reported_load.total();
        is_fresh.then_some(EngineLoad { engine_hash: self.id_hash, load, age_ms: age_ms as u32 })
    }

    /// Records the load that the engine reported to another router at `time`. This router can't tell which of its own
    /// sends came after the report, so it counts all of its requests in flight as included in the report.
    pub(crate) fn set_relayed_load(&mut self, load: u32, time: u64) {
        self.set_load(ReportedLoad { running: load, waiting: 0 }, time);
    }

    /// Records the value of a `Server-Load` header. Returns whether it could be parsed.
    pub(crate) fn set_reported_load(&mut self, text: &str, now: u64) -> bool {
        let Some(load) = ReportedLoad::parse(text) else { return false };
        self.set_load(load, now);
        true
    }

    fn set_load(&mut self, load: ReportedLoad, time: u64) {
        self.reported_load = load;
        self.reported_at = time;
        self.in_flight_at_report = self.in_flight;
    }

    /// Records a response of any kind, which ends any suspicion.
    pub fn record_response(&mut self, now: u64) {
        self.last_response_at = now;
        self.consecutive_failures = 0;
        self.suspected_until = 0;
    }

    /// Treats the engine as cold until a time, because it may be cold before the list says so.
    pub fn presume_cold(&mut self, until: u64) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Retires the engine after its address answered that it is another engine. This is final, since ids are never
    /// reused.
    pub fn retire(&mut self) {
        self.listed = false;
        self.retired = true;
    }

    /// Records a request without a response: the engine is suspected for `suspicion_ms`, or until it responds.
    pub fn record_failure(&mut self, now: u64, suspicion_ms: u64) {
        self.consecutive_failures += 1;
        self.last_failure_at = now;
        self.suspected_until = now + suspicion_ms;
    }
}
