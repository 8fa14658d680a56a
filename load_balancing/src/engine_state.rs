//! One engine as a router knows it, with what sending to it has shown.

use kernel::clock;
use protocol::message::{Engine, EngineLoad};

use crate::slow_start::SlowStart;

/// Invariants: an index is never given to another `id`; `busy` counts sends whose outcome is open;
/// nothing is sent to one that is not `up` and `here`.
#[derive(Clone, Debug)]
pub struct EngineState {
    pub id: String,
    /// The hash of its id.
    pub id_hash: u64,
    pub service: u32,
    pub address: String,
    pub zone: u32,
    pub prefill: bool,
    pub decode: bool,
    pub slots: u32,
    pub up: bool,
    pub listed: bool,
    /// Of a version that is brought in: it gets only what its rollout gives it.
    pub candidate: bool,
    /// Its address belongs to another now, whatever the list says.
    pub retired: bool,
    pub cold_until: u64,
    pub slow_start: SlowStart,
    /// Own sends under way, and the prompt tokens that they have it read.
    pub in_flight: u32,
    pub prefill_tokens_in_flight: u64,
    /// When it last answered anything.
    pub last_response_at: u64,
    /// Requests running and waiting, as last reported, when, and the own share of it then.
    pub reported_load: (u32, u32),
    pub reported_at: u64,
    pub in_flight_at_report: u32,
    /// Failures without an answer, in a row; it is left alone until `shy_until`.
    pub consecutive_failures: u32,
    pub suspected_until: u64,
    /// When it was last found silent, and whether it is being asked just now.
    pub last_failure_at: u64,
    pub is_probing: bool,
    /// It answered another router since it was last asked here.
    pub answered_elsewhere: bool,
    /// A request of this router got no sign of life since it was last asked.
    pub is_unresponsive: bool,
    pub saturated_until: u64,
    /// About to change its part: nothing new until then.
    pub reassigning_until: u64,
    /// Weight versions by the hash of the model's name, as last listed or answered.
    pub weight_versions: Vec<(u64, u64)>,
}

impl EngineState {
    pub fn new(engine: &Engine, service: u32, zone: u32) -> EngineState {
        EngineState {
            id: engine.id.clone(),
            id_hash: clock::hash(engine.id.as_bytes()),
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
            slow_start: Default::default(),
            in_flight: 0,
            prefill_tokens_in_flight: 0,
            last_response_at: 0,
            reported_load: (0, 0),
            reported_at: 0,
            in_flight_at_report: 0,
            consecutive_failures: 0,
            last_failure_at: 0,
            is_probing: false,
            answered_elsewhere: false,
            is_unresponsive: false,
            suspected_until: 0,
            saturated_until: 0,
            reassigning_until: 0,
            weight_versions: Vec::new(),
        }
    }

    pub fn weight_version(&self, model: u64) -> Option<u64> {
        self.weight_versions.iter().find(|(name, _)| *name == model).map(|(_, version)| *version)
    }

    /// None: what it has is not known any more.
    pub fn set_weight_version(&mut self, model: u64, version: Option<u64>) {
        self.weight_versions.retain(|(name, _)| *name != model);
        self.weight_versions.extend(version.map(|version| (model, version)));
    }

    /// What it told here, to be passed on while it is fresh.
    pub fn fresh_load(&self, now: u64) -> Option<EngineLoad> {
        let age_ms = now.saturating_sub(self.reported_at);
        let fresh = self.reported_at > 0 && age_ms < 1000;
        let load = self.reported_load.0 + self.reported_load.1;
        fresh.then_some(EngineLoad { engine_hash: self.id_hash, load, age_ms: age_ms as u32 })
    }

    /// What it told another router at `time`. Own sends since then are not known apart: they count as told.
    pub fn set_relayed_load(&mut self, load: u32, time: u64) {
        self.reported_load = (load, 0);
        self.reported_at = time;
        self.in_flight_at_report = self.in_flight;
    }

    /// `Server-Load`: running, waiting, slots.
    pub fn set_reported_load(&mut self, text: &str, now: u64) -> bool {
        let mut numbers = text.split(',').map(|piece| piece.trim().parse::<u32>());
        let (Some(Ok(run)), Some(Ok(wait))) = (numbers.next(), numbers.next()) else { return false };
        self.reported_load = (run, wait);
        self.reported_at = now;
        self.in_flight_at_report = self.in_flight;
        true
    }

    pub fn record_response(&mut self, now: u64) {
        self.last_response_at = now;
        self.consecutive_failures = 0;
        self.suspected_until = 0;
    }

    /// It may be cold without the list saying so yet: taken for cold until then.
    pub fn presume_cold(&mut self, until: u64) {
        self.cold_until = self.cold_until.max(until);
    }

    /// It says that it is not the engine meant: this life of it is over, and no id comes back.
    pub fn retire(&mut self) {
        self.listed = false;
        self.retired = true;
    }

    /// No answer: left alone for so long, unless it answers before.
    pub fn record_failure(&mut self, now: u64, suspicion_ms: u64) {
        self.consecutive_failures += 1;
        self.last_failure_at = now;
        self.suspected_until = now + suspicion_ms;
    }
}
