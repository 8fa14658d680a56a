//! Simulated engines: how many requests they run, how long these take and how they end.

use kernel::Rng;
use load_balancing::EngineTable;
use protocol::message::{EndpointList, Engine};
use protocol::version_rollout::candidates_of;

use crate::rollout::{Disturbance, Fleet, Scenario, Version};

/// The zones.
pub(super) const ZONES: [&str; 3] = ["a", "b", "c"];
/// The service.
pub(super) const SERVICE: &str = "s";
/// How long a token takes at an idle engine, in milliseconds.
const TOKEN_MS: f64 = 3.4;
/// How much longer for each request that runs beside it, as a part.
const BATCH_COST: f64 = 1.0 / 30.0;
/// The spread of a response's time, as a part of it.
const NOISE: f64 = 0.1;
/// The share of its requests that a grey engine fails.
const GREY_FAILURE_RATE: f64 = 0.4;
/// How many times as long a slow engine takes.
const GREY_SLOWNESS: f64 = 8.0;
/// The share of its requests that any engine fails.
const FAILURE_RATE: f64 = 0.002;
/// How long a lost zone is lost.
const ZONE_LOST_MS: u64 = 3000;
/// How long before the end of a term its load test begins, about.
const LOAD_TEST_BEFORE_END_MS: u64 = 4600;

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct SimulatedEngine {
    /// Its index in the engine table.
    pub(super) table_index: usize,
    /// The index of its zone.
    pub(super) zone: usize,
    pub(super) is_candidate: bool,
    /// Whether it is one of those that the disturbance hits.
    is_hit: bool,
    pub(super) running: u32,
}

/// How a request ends at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Ending {
    /// It fails at once.
    Failed,
    /// Its response never comes.
    Lost,
    /// It is complete after a time, in milliseconds.
    Complete { after_ms: f64, token_us: u64 },
}

/// All engines of both versions.
pub(super) struct SimulatedFleet {
    pub(super) engine_table: EngineTable,
    /// By index in the engine table.
    pub(super) engines: Vec<SimulatedEngine>,
    scenario: Scenario,
}

impl SimulatedFleet {
    pub(super) fn new(scenario: &Scenario, rng: &mut Rng) -> SimulatedFleet {
        let mut engine_table = EngineTable::default();
        for (zone_index, zone) in ZONES.iter().enumerate() {
            for (list, prefix) in [(zone.to_string(), "old"), (candidates_of(zone), "new")] {
                let is_here = |number: &usize| number % ZONES.len() == zone_index;
                let engines = (0..scenario.fleet.engines).filter(is_here);
                let engines =
                    engines.map(|number| listed(&scenario.fleet, format!("{prefix}-{number}"), zone)).collect();
                engine_table.update(&EndpointList { zone: list, term: 1, sequence: 1, engines }, 0);
            }
        }
        let hit_share = hit_share(scenario.disturbance);
        let mut engines = Vec::new();
        for table_index in 0..engine_table.engines.len() {
            let is_candidate = engine_table.engines[table_index].is_candidate;
            let name = engine_table.zone_name(engine_table.engines[table_index].zone).unwrap_or_default();
            let zone = ZONES.iter().position(|zone| *zone == name).unwrap_or(0);
            let is_hit = uniform(rng) < hit_share;
            engines.push(SimulatedEngine { table_index, zone, is_candidate, is_hit, running: 0 });
        }
        SimulatedFleet { engine_table, engines, scenario: *scenario }
    }

    /// Returns how a request ends that an engine begins so long after the order.
    pub(super) fn ending(&self, at: usize, route: usize, tokens: u32, elapsed_ms: u64, rng: &mut Rng) -> Ending {
        let engine = &self.engines[at];
        if self.is_zone_lost(engine.zone, elapsed_ms) {
            return Ending::Lost;
        }
        let of_version = if engine.is_candidate { self.version_failure_rate(engine, route, elapsed_ms) } else { 0.0 };
        let sound =
            1.0 - (1.0 - FAILURE_RATE) * (1.0 - of_version) * (1.0 - self.disturbance_failure_rate(engine, elapsed_ms));
        if uniform(rng) < sound {
            return Ending::Failed;
        }
        let batch = 1.0 + BATCH_COST * f64::from(engine.running);
        let noise = 1.0 + NOISE * (uniform(rng) + uniform(rng) - 1.0);
        let token_ms = TOKEN_MS * batch * noise * self.slowness(engine);
        Ending::Complete { after_ms: token_ms * f64::from(tokens), token_us: (token_ms * 1000.0) as u64 }
    }

    fn version_failure_rate(&self, engine: &SimulatedEngine, route: usize, elapsed_ms: u64) -> f64 {
        let half_of_slots = self.scenario.fleet.slots / 2;
        match self.scenario.version {
            Version::Errors(share) => share,
            Version::UnderLoad if engine.running >= half_of_slots => 0.5,
            Version::OneRoute if route == 0 => 0.5,
            Version::Late(before_end_ms) if elapsed_ms + before_end_ms >= self.scenario.duration_ms => 0.5,
            _ => 0.0,
        }
    }

    fn disturbance_failure_rate(&self, engine: &SimulatedEngine, elapsed_ms: u64) -> f64 {
        let (duration_ms, is_hit) = (self.scenario.duration_ms, engine.is_hit);
        match self.scenario.disturbance {
            Disturbance::GreyErrors(_) if is_hit && elapsed_ms > duration_ms / 10 => GREY_FAILURE_RATE,
            Disturbance::GreyErrorsAtLoad(_) if is_hit && elapsed_ms + LOAD_TEST_BEFORE_END_MS > duration_ms => {
                GREY_FAILURE_RATE
            }
            Disturbance::FailAll(_) if is_hit => 1.0,
            Disturbance::Everywhere(rate) => rate,
            _ => 0.0,
        }
    }

    fn slowness(&self, engine: &SimulatedEngine) -> f64 {
        let of_engine = match self.scenario.disturbance {
            Disturbance::GreySlow(_) if engine.is_hit => GREY_SLOWNESS,
            _ => 1.0,
        };
        match self.scenario.version {
            // A part of a step does not depend on the version.
            Version::Slow(times) if engine.is_candidate => of_engine * (0.45 + 0.55 * times),
            _ => of_engine,
        }
    }

    fn is_zone_lost(&self, zone: usize, elapsed_ms: u64) -> bool {
        let from = self.scenario.duration_ms / 2;
        self.scenario.disturbance == Disturbance::ZoneLost
            && zone == 0
            && (from..from + ZONE_LOST_MS).contains(&elapsed_ms)
    }
}

/// Returns the share of the engines that the disturbance hits.
fn hit_share(disturbance: Disturbance) -> f64 {
    match disturbance {
        Disturbance::GreyErrors(share)
        | Disturbance::GreyErrorsAtLoad(share)
        | Disturbance::FailAll(share)
        | Disturbance::GreySlow(share) => share,
        Disturbance::Nothing | Disturbance::ZoneLost | Disturbance::Everywhere(_) => 0.0,
    }
}

fn listed(fleet: &Fleet, id: String, zone: &str) -> Engine {
    Engine {
        id,
        service: SERVICE.into(),
        addr: "127.0.0.1:80".into(),
        zone: zone.into(),
        phase: "decode".into(),
        model: String::new(),
        slots: fleet.slots,
        up: true,
        cold_ms: 0,
    }
}

/// Returns a number from 0 to 1.
pub(super) fn uniform(rng: &mut Rng) -> f64 {
    const STEPS: u64 = 1 << 30;
    rng.below(STEPS) as f64 / STEPS as f64
}
