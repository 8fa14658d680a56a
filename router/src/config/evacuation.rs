//! Applies the evacuations of zones that controllers report.

use kernel::clock;
use protocol::message::EvacuationState;

use crate::event::EVACUATION_ACTIVATED;
use crate::state::State;

/// How long an endpoint list takes to reach a router beyond the lag of the platform, in milliseconds.
const DELIVERY_LAG_MS: u64 = 1500;

/// Returns how long an engine that may just have become cold is presumed cold, in milliseconds: until an endpoint list
/// that shows it has arrived.
pub fn presumed_cold_ms(state: &State) -> u64 {
    state.settings.cloud_api.lag_ms + DELIVERY_LAG_MS
}

/// Applies evacuations that were started or withdrawn. Versions no newer than those held change nothing.
pub fn apply(state: &State, evacuations: &[EvacuationState]) {
    let mut engine_table = state.engines();
    let mut subscribed = state.subscribed();
    for EvacuationState { zone, version, evacuated } in evacuations {
        if subscribed.evacuations.get(zone).is_some_and(|(held_version, _)| held_version >= version) {
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
