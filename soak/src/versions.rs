//! Engines of a version that no rollout names: started beside the others during a run, and a zone that loses its engines
//! of the version in force. Checks that the unnamed version gets nothing.

use std::time::Duration;

use serde_json::{json, Value};
use tokio::time;

use crate::engine::{self, Arrival};
use crate::fleet::{Network, ZONES};
use crate::platform::EngineList;
use crate::scenario::Scenario;

/// The version that the engines run from the start.
pub const FIRST_VERSION: &str = "v9";
/// The version that no rollout names; by its text, it sorts before the first one.
const UNNAMED_VERSION: &str = "v10";
/// Number of engines of the unnamed version for each one of the first version.
const UNNAMED_PER_ENGINE: usize = 2;
/// Time from the start of the schedule after which they are listed.
const STARTED_AFTER: Duration = Duration::from_millis(1000);
/// Time from then on after which the engines of the first version in one zone are not listed any more.
const ZONE_LOST_AFTER: Duration = Duration::from_secs(8);

/// Returns the number of engines that a scenario needs, with those of the unnamed version.
pub fn engine_count(scenario: &Scenario) -> usize {
    match scenario.has_unnamed_version {
        true => scenario.engines * (1 + UNNAMED_PER_ENGINE),
        false => scenario.engines,
    }
}

/// Returns the entry of an engine in the platform's list.
pub fn entry(scenario: &Scenario, index: usize) -> Value {
    let (id, address) = (engine::engine_id(index), Network::from_seed(scenario.seed).engine(index));
    let phase = if index.is_multiple_of(2) { "prefill" } else { "decode" };
    let version = if index < scenario.engines { FIRST_VERSION } else { UNNAMED_VERSION };
    json!({"instance_id": id, "service": "s", "address": address, "zone": ZONES[index % ZONES.len()],
        "revision": version, "slot_count": 64, "oper_state": "up", "ramp_left_ms": 0, "phase": phase,
        "model_list": [{"name": "m", "revision": 1}]})
}

/// Lists the engines of the unnamed version, and later takes a zone's engines of the first version off the list, if the
/// scenario has an unnamed version.
pub async fn change_list(scenario: &Scenario, list: &EngineList) {
    if !scenario.has_unnamed_version {
        return;
    }
    time::sleep(STARTED_AFTER).await;
    let unnamed = scenario.engines..engine_count(scenario);
    list.update(|engines| engines.extend(unnamed.map(|index| entry(scenario, index))));
    time::sleep(ZONE_LOST_AFTER).await;
    let lost_zone = ZONES[scenario.seed as usize % ZONES.len()];
    list.update(|engines| engines.retain(|entry| entry["zone"] != lost_zone || entry["revision"] != FIRST_VERSION));
}

/// Returns a description of each request that reached an engine of the unnamed version.
pub fn violations(first_version_engines: usize, arrivals: &[Arrival]) -> Vec<String> {
    let unnamed = arrivals.iter().filter(|arrival| arrival.engine >= first_version_engines);
    unnamed
        .map(|arrival| format!("{} reached engine {} of {UNNAMED_VERSION}", arrival.attempt, arrival.engine))
        .collect()
}
