use load_balancing::{EngineObservation, PhaseChange, ServiceLoad};
use membership::singleton_role::{self, RoleTenure};
use protocol::message::Engine;

use super::{
    Candidate, LoadHistory, ServiceObservation, CONNECT_TIMEOUT_MS, DECODE_CONFIRMATIONS, PREFILL_CONFIRMATIONS,
    UNACKNOWLEDGED_TIMEOUT_MS,
};
use crate::controller::CONFIRMATION_TTL_MS;

/// An owner may act for `CONFIRMATION_TTL_MS` after its last confirmation began. The next owner waits twice that time
/// and then for a lease. The delivery of the previous owner's last order must fit into this gap.
#[test]
fn the_last_order_of_an_owner_arrives_a_lease_before_the_next_owner_may_act() {
    let lease_ms = 3000;
    let committed = 50_000;
    let confirmed_ms = CONFIRMATION_TTL_MS;
    let last_arrival = committed + confirmed_ms + CONNECT_TIMEOUT_MS + UNACKNOWLEDGED_TIMEOUT_MS;
    let tenure = RoleTenure { acquired_at: committed, predecessor_expired: false, confirmed_at: 100_000 };
    let first_action = (committed..100_000)
        .find(|now| singleton_role::may_act(tenure, *now, false, lease_ms, confirmed_ms))
        .expect("the next owner may act before 100 s");
    assert!(first_action >= last_arrival + lease_ms, "{first_action} is less than a lease after {last_arrival}");
}

fn candidate(id: &str, prefill: bool, in_flight_count: u32) -> Candidate {
    let observation =
        EngineObservation { id: id.into(), prefill, slots: 10, in_flight: in_flight_count, eligible: true };
    let engine = Engine {
        id: id.into(),
        service: "s".into(),
        addr: String::new(),
        zone: "a".into(),
        phase: if prefill { "prefill" } else { "decode" }.into(),
        model: String::new(),
        slots: 10,
        up: true,
        cold_ms: 0,
    };
    Candidate { engine, observation }
}

/// A service whose engines are all in the sample.
fn service<const N: usize>(candidates: [Candidate; N]) -> ServiceObservation {
    let observations: Vec<EngineObservation> =
        candidates.iter().map(|candidate| candidate.observation.clone()).collect();
    ServiceObservation { load: ServiceLoad::of(&observations), engine_count: N, candidates: candidates.into() }
}

#[test]
fn decide_requires_repeated_plans_and_respects_the_cooldown() {
    let prefill_loaded = service([candidate("p", true, 9), candidate("d", false, 0), candidate("e", false, 0)]);
    let prefill_idle = service([candidate("p", true, 0), candidate("q", true, 0), candidate("d", false, 9)]);
    let mut history = LoadHistory::default();
    let single_change = |at: usize, prefill: bool| Some(PhaseChange { engines: vec![at], prefill });
    for _ in 1..PREFILL_CONFIRMATIONS {
        assert_eq!(history.decide("s", &prefill_loaded, 0), None);
    }
    assert_eq!(history.decide("s", &prefill_loaded, 0), single_change(1, true));
    history.cooldown_until.insert("s".into(), 100);
    assert_eq!(history.decide("s", &prefill_loaded, 99), None);
    assert_eq!(history.decide("s", &prefill_loaded, 100), single_change(1, true));
    // A plan for the other direction restarts the count.
    for _ in 1..DECODE_CONFIRMATIONS {
        assert_eq!(history.decide("s", &prefill_idle, 200), None);
    }
    assert_eq!(history.decide("s", &prefill_idle, 200), single_change(0, false));
}
