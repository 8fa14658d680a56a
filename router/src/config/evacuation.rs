//! Evacuated zones, as controllers tell of them.

use kernel::clock;
use protocol::message::EvacuationState;

use crate::event::EVACUATION_ACTIVATED;
use crate::state::State;

/// What the list of engines takes beyond its lag until it is here.
const DELIVERY_MS: u64 = 1500;

/// How long an engine that may just have turned cold is taken for cold: until the list would say so.
pub fn presumed_cold_ms(state: &State) -> u64 {
    state.settings.cloud_api.lag_ms + DELIVERY_MS
}

/// Evacuations begun or withdrawn: zone, version, whether it is on. Older ones than what is held change nothing.
pub fn absorb(state: &State, list: &[EvacuationState]) {
    let mut engine_table = state.engines();
    let mut held = state.subscribed();
    for EvacuationState { zone, version, evacuated } in list {
        if held.evacuations.get(zone).is_some_and(|(known, _)| known >= version) {
            continue;
        }
        let dense = engine_table.zone_index(zone);
        held.evacuations.insert(zone.clone(), (*version, *evacuated));
        held.evacuated_zones.retain(|shut| *shut != dense);
        if *evacuated {
            held.evacuated_zones.push(dense);
        } else {
            engine_table.presume_zone_cold(dense, clock::now() + presumed_cold_ms(state));
        }
        kernel::log_event!(EVACUATION_ACTIVATED, "zone" => zone.clone(), "version" => *version, "on" => *evacuated);
    }
}

#[cfg(test)]
#[path = "evacuation_tests.rs"]
mod tests;
