//! Evacuated zones, as controllers tell of them.

use kernel::clock;
use protocol::message::EvacuationState;

use crate::event::CLOSED;
use crate::state::State;

/// What the list of engines takes beyond its lag until it is here.
const DELIVERY_MS: u64 = 1500;

/// How long an engine that may just have turned cold is taken for cold: until the list would say so.
pub fn presumed_cold_ms(state: &State) -> u64 {
    state.settings.cloud_api.lag_ms + DELIVERY_MS
}

/// Evacuations begun or withdrawn: zone, version, whether it is on. Older ones than what is held change nothing.
pub fn apply(state: &State, list: &[EvacuationState]) {
    let mut engine_table = state.engine_table.lock();
    let mut subscribed = state.subscribed.lock();
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
        kernel::log_event!(CLOSED, "zone" => zone.clone(), "version" => *version, "on" => *evacuated);
    }
}

#[cfg(test)]
#[path = "evacuation_tests.rs"]
mod tests;
