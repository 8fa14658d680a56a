//! One engine as a router knows it, with what sending to it has shown.

use kernel::hashing;
use protocol::message::{Engine, EngineLoad};

use crate::slow_start::SlowStart;

/// For how long after a report it is passed on to other routers, in milliseconds: an estimate from a report older than
/// that rests mostly on the average engine.
const REPORT_FRESH_MS: u64 = 1000;

/// Requests at an engine, as it reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

impl ReportedLoad {
    /// Parses the value of a `Server-Load` header: running, waiting, slots. Returns `None` when one of the first two
    /// numbers is missing.
    fn parse(text: &str) -> Option<ReportedLoad> {
        let mut numbers = text.split(',').map(|piece| piece.trim().parse::<u32>());
        let (Some(Ok(running)), Some(Ok(waiting))) = (numbers.next(), numbers.next()) else { return None };
        Some(ReportedLoad { running, waiting })
    }

    /// Returns the number of requests at the engine.
    pub fn total(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// An engine as a router knows it. Times are in milliseconds; 0 means never.
///
/// Invariants: an index is never given to another `id`; `in_flight` counts sends whose outcome is open; nothing is sent to
/// one that is not `up` and `listed`.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The engine's id, which the platform gives only once.
    pub id: String,
    /// The hash of the id, which is the same at all routers.
    pub id_hash: u64,
    /// The index of its service.
    pub service: u32,
    /// Host and port.
    pub address: String,
    /// The index of its zone.
    pub zone: u32,
    /// It does prefill.
    pub prefill: bool,
    /// It decodes.
    pub decode: bool,
    /// How many requests it decodes at once, at least 1.
    pub slots: u32,
    /// The list says that it takes requests; else it is draining.
    pub up: bool,
    /// It is in the newest list of its zone, at an address that is still its own.
    pub listed: bool,
    /// It runs a version that is being rolled out: it gets only the requests of that rollout.
    pub candidate: bool,
    /// Its address belongs to another engine now, whatever the list says.
    pub retired: bool,
    /// Until then it is cold, and slow start limits what it gets.
    pub cold_until: u64,
    /// The recent sends of this router.
    pub slow_start: SlowStart,
    /// Requests that this router sent and that are not answered yet.
    pub in_flight: u32,
    /// Prompt tokens that it has yet to read for them.
    pub prefill_tokens_in_flight: u64,
    /// When it last answered anything.
    pub last_response_at: u64,
    /// What it last reported, to this router or to another.
    pub reported_load: ReportedLoad,
    /// When it reported that.
    pub reported_at: u64,
    /// This router's requests in flight at that time.
    pub in_flight_at_report: u32,
    /// Failures without an answer, in a row.
    pub consecutive_failures: u32,
    /// Until then it is suspected to be down and chosen only for want of another one.
    pub suspected_until: u64,
    /// When a failure was last recorded.
    pub last_failure_at: u64,
    /// A probe is under way.
    pub is_probing: bool,
    /// It answered another router since the last probe from here.
    pub answered_elsewhere: bool,
    /// It answered a router of another zone since the last probe from here.
    pub answered_in_other_zone: bool,
    /// A request of this router got no sign of life since the last probe.
    pub is_unresponsive: bool,
    /// Until then it is taken for full, since it turned a request away.
    pub saturated_until: u64,
    /// Until then it is about to change its phase and gets nothing new.
    pub reassigning_until: u64,
    /// Weight versions by the hash of the model's name, as last listed or answered.
    weight_versions: Vec<(u64, u64)>,
}

impl EngineState {
    /// Creates an engine of which nothing is known yet but its identity.
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
            candidate: false,
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

    /// Takes over what the newest list says of this engine. Returns whether it has just begun to drain.
    pub(crate) fn apply_listing(&mut self, listed: &Engine, is_candidate: bool, now: u64) -> bool {
        let began_to_drain = self.up && !listed.up;
        self.listed = !self.retired;
        self.candidate = is_candidate;
        self.up = listed.up;
        self.address.clone_from(&listed.addr);
        self.prefill = listed.phase != "decode";
        self.decode = listed.phase != "prefill";
        self.slots = listed.slots.max(1);
        if listed.cold_ms > 0 {
            self.presume_cold(now + u64::from(listed.cold_ms));
        }
        began_to_drain
    }

    /// Returns the weight version of a model, by the hash of its name, as far as it is known.
    pub fn weight_version(&self, model: u64) -> Option<u64> {
        self.weight_versions.iter().find(|(name, _)| *name == model).map(|(_, version)| *version)
    }

    /// Records the weight version of a model. `None`: it is not known any more.
    pub fn set_weight_version(&mut self, model: u64, version: Option<u64>) {
        self.weight_versions.retain(|(name, _)| *name != model);
        self.weight_versions.extend(version.map(|version| (model, version)));
    }

    /// Returns the last report, to be passed on while it is fresh.
    pub fn fresh_load(&self, now: u64) -> Option<EngineLoad> {
        let age_ms = now.saturating_sub(self.reported_at);
        let is_fresh = self.reported_at > 0 && age_ms < REPORT_FRESH_MS;
        let load = self.reported_load.total();
        is_fresh.then_some(EngineLoad { engine_hash: self.id_hash, load, age_ms: age_ms as u32 })
    }

    /// Records what it reported to another router at `time`. Own sends since then are not known apart: they count as
    /// reported.
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

    /// Records an answer of any kind: the engine is not suspected any more.
    pub fn record_response(&mut self, now: u64) {
        self.last_response_at = now;
        self.consecutive_failures = 0;
        self.suspected_until = 0;
    }

    /// Presumes that the engine is cold until a time, since it may be without the list saying so yet.
    pub fn presume_cold(&mut self, until: u64) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Retires the engine, which said that it is not the one meant: this incarnation of it is over, and no id comes back.
    pub fn retire(&mut self) {
        self.listed = false;
        self.retired = true;
    }

    /// Records a request without an answer: the engine is suspected for `suspicion_ms`, unless it answers before.
    pub fn record_failure(&mut self, now: u64, suspicion_ms: u64) {
        self.consecutive_failures += 1;
        self.last_failure_at = now;
        self.suspected_until = now + suspicion_ms;
    }
}
