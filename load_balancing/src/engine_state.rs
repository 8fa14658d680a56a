//! One engine as a router knows it, with what sending to it has shown.

use kernel::hashing;
use protocol::message::{Engine, EngineLoad};

use crate::budget::Ramp;

/// Invariants: an index is never given to another `id`; `busy` counts sends whose outcome is open;
/// nothing is sent to one that is not `up` and `here`.
#[derive(Clone, Debug)]
pub struct EngineState {
    pub id: String,
    /// The hash of its id.
    pub name: u64,
    pub service: u32,
    pub addr: String,
    pub zone: u32,
    pub prefill: bool,
    pub decode: bool,
    pub slots: u32,
    pub up: bool,
    pub here: bool,
    /// Of a version that is brought in: it gets only what its rollout gives it.
    pub candidate: bool,
    /// Its address belongs to another now, whatever the list says.
    pub dead: bool,
    pub cold_until: u64,
    pub ramp: Ramp,
    /// Own sends under way, and the prompt tokens that they have it read.
    pub busy: u32,
    pub tokens: u64,
    /// When it last answered anything.
    pub good_at: u64,
    /// Requests running and waiting, as last reported, when, and the own share of it then.
    pub load: (u32, u32),
    pub load_at: u64,
    pub load_busy: u32,
    /// Failures without an answer, in a row; it is left alone until `shy_until`.
    pub strikes: u32,
    pub shy_until: u64,
    /// When it was last found silent, and whether it is being asked just now.
    pub struck_at: u64,
    pub asked: bool,
    /// It answered another router since it was last asked here.
    pub calm: bool,
    /// A request of this router got no sign of life since it was last asked.
    pub silent: bool,
    pub full_until: u64,
    /// About to change its part: nothing new until then.
    pub rest_until: u64,
    /// Weight versions by the hash of the model's name, as last listed or answered.
    pub weights: Vec<(u64, u64)>,
}

impl EngineState {
    pub fn new(engine: &Engine, service: u32, zone: u32) -> EngineState {
        EngineState {
            id: engine.id.clone(),
            name: hashing::hash(engine.id.as_bytes()),
            service,
            addr: engine.addr.clone(),
            zone,
            prefill: false,
            decode: false,
            slots: 1,
            up: false,
            here: true,
            candidate: false,
            dead: false,
            cold_until: 0,
            ramp: Default::default(),
            busy: 0,
            tokens: 0,
            good_at: 0,
            load: (0, 0),
            load_at: 0,
            load_busy: 0,
            strikes: 0,
            struck_at: 0,
            asked: false,
            calm: false,
            silent: false,
            shy_until: 0,
            full_until: 0,
            rest_until: 0,
            weights: Vec::new(),
        }
    }

    pub fn weight(&self, model: u64) -> Option<u64> {
        self.weights.iter().find(|(name, _)| *name == model).map(|(_, version)| *version)
    }

    /// None: what it has is not known any more.
    pub fn weigh(&mut self, model: u64, version: Option<u64>) {
        self.weights.retain(|(name, _)| *name != model);
        self.weights.extend(version.map(|version| (model, version)));
    }

    /// What it told here, to be passed on while it is fresh.
    pub fn told(&self, now: u64) -> Option<EngineLoad> {
        let age_ms = now.saturating_sub(self.load_at);
        let fresh = self.load_at > 0 && age_ms < 1000;
        let load = self.load.0 + self.load.1;
        fresh.then_some(EngineLoad { engine_hash: self.name, load, age_ms: age_ms as u32 })
    }

    /// What it told another router at `time`. Own sends since then are not known apart: they count as told.
    pub fn hear(&mut self, load: u32, time: u64) {
        self.load = (load, 0);
        self.load_at = time;
        self.load_busy = self.busy;
    }

    /// `Server-Load`: running, waiting, slots.
    pub fn report(&mut self, text: &str, now: u64) -> bool {
        let mut numbers = text.split(',').map(|piece| piece.trim().parse::<u32>());
        let (Some(Ok(run)), Some(Ok(wait))) = (numbers.next(), numbers.next()) else { return false };
        self.load = (run, wait);
        self.load_at = now;
        self.load_busy = self.busy;
        true
    }

    pub fn good(&mut self, now: u64) {
        self.good_at = now;
        self.strikes = 0;
        self.shy_until = 0;
    }

    /// It may be cold without the list saying so yet: taken for cold until then.
    pub fn presume_cold(&mut self, until: u64) {
        self.cold_until = self.cold_until.max(until);
    }

    /// It says that it is not the engine meant: this life of it is over, and no id comes back.
    pub fn over(&mut self) {
        self.here = false;
        self.dead = true;
    }

    /// No answer: left alone for so long, unless it answers before.
    pub fn strike(&mut self, now: u64, shy_ms: u64) {
        self.strikes += 1;
        self.struck_at = now;
        self.shy_until = now + shy_ms;
    }
}
