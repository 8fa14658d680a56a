//! The effect of a withdrawn evacuation on the engines of the zone.

use kernel::clock;
use protocol::message::EvacuationState;

use super::{apply, presumed_cold_ms};
use crate::state::State;
use crate::testing::engine::Engine;
use crate::testing::router;

async fn engine(id: &str) -> Engine {
    Engine::start(id, "decode", |_| unreachable!("no request is sent")).await
}

fn evacuation(zone: &str, version: u64, evacuated: bool) -> EvacuationState {
    EvacuationState { zone: zone.into(), version, evacuated }
}

fn cold_until(state: &State, engine_index: usize) -> u64 {
    state.engines().engines[engine_index].cold_until
}

#[tokio::test]
async fn engines_of_a_zone_whose_evacuation_is_withdrawn_are_presumed_cold() {
    let state = router::router(&[engine("i-1").await]);
    apply(&state, &[evacuation("a", 1, true)]);
    assert_eq!(cold_until(&state, 0), 0);
    let before = clock::now();
    apply(&state, &[evacuation("a", 2, false)]);
    assert!(cold_until(&state, 0) >= before + presumed_cold_ms(&state));
}

#[tokio::test]
async fn other_zones_and_older_evacuations_change_nothing() {
    let state = router::router(&[engine("i-1").await]);
    apply(&state, &[evacuation("b", 1, true), evacuation("b", 2, false)]);
    assert_eq!(cold_until(&state, 0), 0);
    apply(&state, &[evacuation("a", 3, true)]);
    apply(&state, &[evacuation("a", 2, false)]);
    assert_eq!(cold_until(&state, 0), 0);
    assert!(state.subscribed().evacuations[&"a".to_string()].1, "the zone is still evacuated");
}
