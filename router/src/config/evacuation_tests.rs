//! What withdrawing an evacuation means for the zone's engines.

use kernel::clock;
use protocol::message::EvacuationState;

use super::{apply, presumed_cold_ms};
use crate::state::State;
use crate::testing::engine::Engine;
use crate::testing::router;

async fn engine(id: &str) -> Engine {
    Engine::start(id, "decode", |_| unreachable!("nothing is sent")).await
}

fn evacuation(zone: &str, version: u64, evacuated: bool) -> EvacuationState {
    EvacuationState { zone: zone.into(), version, evacuated }
}

fn cold_until(state: &State, at: usize) -> u64 {
    state.engines().engines[at].cold_until
}

#[tokio::test]
async fn engines_of_a_zone_that_is_taken_back_are_taken_for_cold_until_the_list_would_say_so() {
    let state = router::router(&[engine("i-1").await]);
    apply(&state, &[evacuation("a", 1, true)]);
    assert_eq!(cold_until(&state, 0), 0);
    let before = clock::now();
    apply(&state, &[evacuation("a", 2, false)]);
    assert!(cold_until(&state, 0) >= before + presumed_cold_ms(&state));
}

#[tokio::test]
async fn other_zones_and_older_news_change_nothing() {
    let state = router::router(&[engine("i-1").await]);
    apply(&state, &[evacuation("b", 1, true), evacuation("b", 2, false)]);
    assert_eq!(cold_until(&state, 0), 0);
    apply(&state, &[evacuation("a", 3, true)]);
    apply(&state, &[evacuation("a", 2, false)]);
    assert_eq!(cold_until(&state, 0), 0);
    assert!(state.subscribed().evacuations[&"a".to_string()].1, "still evacuated");
}
