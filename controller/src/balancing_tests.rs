use load_balancing::{EngineObservation, PhaseChange};
use membership::singleton_role::{self, RoleTenure};
use protocol::message::Engine;

use super::{Balance, Candidate, CONNECT_MS, LASTS, STANDS, UNACKNOWLEDGED_MS};
use crate::controller::CONFIRMATION_TTL_MS;

/// A holder may act for `CONFIRMATION_TTL_MS` after its last confirmation began, and the next one waits that time
/// out twice before a lease. What the last order of the first spends on its way must fit in between.
#[test]
fn the_last_order_of_a_holder_arrives_a_lease_before_the_first_of_the_next() {
    let lease_ms = 3000;
    let committed = 50_000;
    let sure_ms = CONFIRMATION_TTL_MS;
    let last_arrival = committed + sure_ms + CONNECT_MS + UNACKNOWLEDGED_MS;
    let held = RoleTenure { acquired_at: committed, predecessor_expired: false, confirmed_at: 100_000 };
    let first_act = (committed..100_000)
        .find(|now| singleton_role::may_act(held, *now, false, lease_ms, sure_ms))
        .expect("it may act one day");
    assert!(first_act >= last_arrival + lease_ms, "{first_act} is less than a lease after {last_arrival}");
}

fn candidate(id: &str, prefill: bool, busy: u32) -> Candidate {
    let seen = EngineObservation { id: id.into(), prefill, slots: 10, in_flight: busy, eligible: true };
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
    Candidate { engine, seen }
}

#[test]
fn a_judgement_must_stand_and_an_order_is_followed_by_a_calm_time() {
    let loaded = [candidate("p", true, 9), candidate("d", false, 0), candidate("e", false, 0)];
    let idle = [candidate("p", true, 0), candidate("q", true, 0), candidate("d", false, 9)];
    let mut balance = Balance::default();
    let one = |at: usize, prefill: bool| Some(PhaseChange { engines: vec![at], prefill });
    for _ in 1..LASTS {
        assert_eq!(balance.decide("s", &loaded, 0), None);
    }
    assert_eq!(balance.decide("s", &loaded, 0), one(1, true));
    balance.calm_until.insert("s".into(), 100);
    assert_eq!(balance.decide("s", &loaded, 99), None);
    assert_eq!(balance.decide("s", &loaded, 100), one(1, true));
    // Another judgement starts to count anew.
    for _ in 1..STANDS {
        assert_eq!(balance.decide("s", &idle, 200), None);
    }
    assert_eq!(balance.decide("s", &idle, 200), one(0, false));
}
