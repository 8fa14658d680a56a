//! Simulated engines: the number of requests that they run, and how long these take and how they end.

use kernel::Rng;
use load_balancing::EngineTable;
use protocol::message::{EndpointList, Engine};
use protocol::version_rollout::candidates_of;

use crate::rollout::{Disturbance, Fleet, Scenario, Version};

/// The names of the zones.
pub(super) const ZONES: [&str; 3] = ["a", "b", "c"];
/// The name of the service.
pub(super) const SERVICE: &str = "s";
/// The time per token at an idle engine, in milliseconds.
const TOKEN_MS: f64 = 3.4;
/// The relative increase of the time per token for each other request that runs at the engine.
const BATCH_SLOWDOWN: f64 = 1.0 / 30.0;
/// The relative spread of the time per token.
const TOKEN_TIME_SPREAD: f64 = 0.1;
/// The failure rate of a grey engine, which fails only some of its requests.
const GREY_FAILURE_RATE: f64 = 0.4;
/// The factor by which the time per token of a slow engine is longer.
const GREY_SLOWDOWN: f64 = 8.0;
/// The failure rate of every engine, without any fault.
const BASE_FAILURE_RATE: f64 = 0.002;
/// The duration of a zone outage, in milliseconds.
const ZONE_OUTAGE_MS: u64 = 3000;
/// The approximate time from the start of the load test to the end of the trial, in milliseconds.
const LOAD_TEST_BEFORE_END_MS: u64 = 4600;

/// A simulated engine.
#[derive(Clone, Debug)]
pub(super) struct SimulatedEngine {
    /// Its index in the engine table.
    pub(super) table_index: usize,
    /// The index of its zone in `ZONES`.
    pub(super) zone: usize,
    pub(super) is_candidate: bool,
    /// Whether the disturbance affects it.
    is_disturbed: bool,
    pub(super) running: u32,
}

/// The result of a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestResult {
    /// It fails at once.
    Failed,
    /// Its response never arrives.
    Lost,
    /// It completes after `after_ms` milliseconds, at `token_us` microseconds per token.
    Complete { after_ms: f64, token_us: u64 },
}

/// The engines of both versions.
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
            for (list_name, prefix) in [(zone.to_string(), "old"), (candidates_of(zone), "new")] {
                let is_in_zone = |number: &usize| number % ZONES.len() == zone_index;
                let engines = (0..scenario.fleet.engines).filter(is_in_zone);
                let engines =
                    engines.map(|number| decode_engine(&scenario.fleet, format!("{prefix}-{number}"), zone)).collect();
                engine_table.update(&EndpointList { zone: list_name, term: 1, sequence: 1, engines }, 0);
            }
        }
        let disturbed_share = disturbed_share(scenario.disturbance);
        let mut engines = Vec::new();
        for table_index in 0..engine_table.engines.len() {
            let is_candidate = engine_table.engines[table_index].is_candidate;
            let name = engine_table.zone_name(engine_table.engines[table_index].zone).unwrap_or_default();
            let zone = ZONES.iter().position(|zone| *zone == name).unwrap_or(0);
            let is_disturbed = uniform(rng) < disturbed_share;
            engines.push(SimulatedEngine { table_index, zone, is_candidate, is_disturbed, running: 0 });
        }
        SimulatedFleet { engine_table, engines, scenario: *scenario }
    }

    /// Draws the result of a request that an engine starts `elapsed_ms` after the rollout was ordered.
    pub(super) fn draw_result(
        &self,
        engine_index: usize,
        route: usize,
        tokens: u32,
        elapsed_ms: u64,
        rng: &mut Rng,
    ) -> RequestResult {
        let engine = &self.engines[engine_index];
        if self.is_zone_lost(engine.zone, elapsed_ms) {
            return RequestResult::Lost;
        }
        let version_rate = if engine.is_candidate { self.version_failure_rate(engine, route, elapsed_ms) } else { 0.0 };
        let failure_rate = 1.0
            - (1.0 - BASE_FAILURE_RATE)
                * (1.0 - version_rate)
                * (1.0 - self.disturbance_failure_rate(engine, elapsed_ms));
        if uniform(rng) < failure_rate {
            return RequestResult::Failed;
        }
        let batch_factor = 1.0 + BATCH_SLOWDOWN * f64::from(engine.running);
        let noise_factor = 1.0 + TOKEN_TIME_SPREAD * (uniform(rng) + uniform(rng) - 1.0);
        let token_ms = TOKEN_MS * batch_factor * noise_factor * self.slowdown(engine);
        RequestResult::Complete { after_ms: token_ms * f64::from(tokens), token_us: (token_ms * 1000.0) as u64 }
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
        let (duration_ms, is_disturbed) = (self.scenario.duration_ms, engine.is_disturbed);
        match self.scenario.disturbance {
            Disturbance::GreyErrors(_) if is_disturbed && elapsed_ms > duration_ms / 10 => GREY_FAILURE_RATE,
            Disturbance::GreyErrorsAtLoad(_) if is_disturbed && elapsed_ms + LOAD_TEST_BEFORE_END_MS > duration_ms => {
                GREY_FAILURE_RATE
            }
            Disturbance::FailAll(_) if is_disturbed => 1.0,
            Disturbance::Everywhere(rate) => rate,
            _ => 0.0,
        }
    }

    fn slowdown(&self, engine: &SimulatedEngine) -> f64 {
        let engine_slowdown = match self.scenario.disturbance {
            Disturbance::GreySlow(_) if engine.is_disturbed => GREY_SLOWDOWN,
            _ => 1.0,
        };
        match self.scenario.version {
            // 45% of the time per token does not depend on the version.
            Version::Slow(factor) if engine.is_candidate => engine_slowdown * (0.45 + 0.55 * factor),
            _ => engine_slowdown,
        }
    }

    fn is_zone_lost(&self, zone: usize, elapsed_ms: u64) -> bool {
        let outage_from_ms = self.scenario.duration_ms / 2;
        self.scenario.disturbance == Disturbance::ZoneLost
            && zone == 0
            && (outage_from_ms..outage_from_ms + ZONE_OUTAGE_MS).contains(&elapsed_ms)
    }
}

/// Returns the share of the engines that the disturbance affects.
fn disturbed_share(disturbance: Disturbance) -> f64 {
    match disturbance {
        Disturbance::GreyErrors(share)
        | Disturbance::GreyErrorsAtLoad(share)
        | Disturbance::FailAll(share)
        | Disturbance::GreySlow(share) => share,
        Disturbance::Nothing | Disturbance::ZoneLost | Disturbance::Everywhere(_) => 0.0,
    }
}

fn decode_engine(fleet: &Fleet, id: String, zone: &str) -> Engine {
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

/// Draws a uniform number from 0 up to, but not including, 1.
pub(super) fn uniform(rng: &mut Rng) -> f64 {
    const RESOLUTION: u64 = 1 << 30;
    rng.below(RESOLUTION) as f64 / RESOLUTION as f64
}
