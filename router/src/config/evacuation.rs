//! Evacuated zones, as reported by controllers.

use kernel::clock;
use protocol::message::EvacuationState;

use crate::event::EVACUATION_ACTIVATED;
use crate::state::State;

/// How long an endpoint list takes to get here beyond the lag of the platform, in milliseconds.
const DELIVERY_MS: u64 = 1500;

/// Returns how long an engine that may just have become cold is presumed cold, in milliseconds: until the endpoint
/// list would say so.
pub fn presumed_cold_ms(state: &State) -> u64 {
    state.settings.cloud_api.lag_ms + DELIVERY_MS
}

/// Applies evacuations that were begun or withdrawn; versions older than those held change nothing.
pub fn apply(state: &State, list: &[EvacuationState]) {
    let mut engine_table = state.engines();
    let mut subscribed = state.subscribed();
    for EvacuationState { zone, version, evacuated } in list {
        if subscribed.evacuations.get(zone).is_some_and(|(known, _)| known >= version) {
            continue;
        }
        let index = engine_table.zone_index(zone);
        subscribed.evacuations.insert(zone.clone(), (*version, *evacuated));
        subscribed.evacuated_zones.retain(|zone_index| *zone_index != index);
        if *evacuated {
            subscribed.evacuated_zones.push(index);
        } else {
            engine_table.presume_zone_cold(index, clock::now() + presumed_cold_ms(state));
        }
        kernel::log_event!(EVACUATION_ACTIVATED, "zone" => zone.clone(), "version" => *version, "on" => *evacuated);
    }
}

#[cfg(test)]
#[path = "evacuation_tests.rs"]
mod tests;
