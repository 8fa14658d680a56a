//! A change told to other keepers gives them the very body that was committed, or nothing.
use super::{control_address, may_pack, next_body};
use crate::config_change::{apply, Outcome};
use crate::state::Held;
use wire::msg::Ballot;
use wire::order::{Advance, ConfigChange};

fn text(revision: u64, routes: usize) -> String {
    let route = |number: usize| {
        serde_json::json!({"name": format!("r{number}"), "hostname": format!("h{number}"), "path_prefix": "/",
            "route_type": "idempotent", "timeout_ms": 5, "service": "s"})
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    serde_json::json!({"revision": revision, "service_table": [{"name": "s"}], "route_table": routes}).to_string()
}

/// What is held, the change, and the body that its committer made of both.
fn committed(routes: usize, pack: bool) -> (Vec<u8>, Advance, Vec<u8>) {
    let held = Held { revision: 5, text: text(5, routes), taken: vec![7] };
    let body = held.seal(pack);
    let route = serde_json::json!({"name": "new", "hostname": "n", "path_prefix": "/", "route_type": "idempotent",
        "timeout_ms": 9, "service": "s"});
    let text = serde_json::json!({"revision": 8, "upsert": {"route_table": [route]}}).to_string();
    let change = ConfigChange { base: 5, text, partial: true };
    let Ok(Outcome::Next(next)) = apply(&change, &held) else { panic!("a change") };
    let after = next.seal(pack);
    let advance = Advance {
        key: crate::state::CONFIG.into(),
        ballot: Ballot { turn: 2, seat: 1 },
        step: 1,
        before: kernel::clock::hash(&body),
        after: kernel::clock::hash(&after),
        change: Some(change),
        revision: 8,
        pack,
    };
    (body, advance, after)
}

#[test]
fn a_keeper_that_holds_the_body_before_gets_the_committed_one() {
    for (routes, pack) in [(1, false), (1, true), (200, false), (200, true)] {
        let (body, advance, after) = committed(routes, pack);
        assert_eq!(next_body(&body, &advance), Some(after));
    }
}

#[test]
fn one_that_holds_another_body_gets_nothing() {
    let (_, advance, _) = committed(1, false);
    let other = Held { revision: 5, text: text(5, 2), taken: vec![7] };
    assert_eq!(next_body(&other.write_bytes(), &advance), None);
    assert_eq!(next_body(&[], &advance), None);
}

#[test]
fn a_change_that_comes_out_otherwise_than_committed_is_not_taken() {
    let (body, mut advance, _) = committed(1, false);
    advance.after ^= 1;
    assert_eq!(next_body(&body, &advance), None);
}

#[test]
fn the_same_body_committed_again_stays() {
    let (body, advance, _) = committed(1, false);
    let again = Advance { change: None, after: advance.before, ..advance };
    assert_eq!(next_body(&body, &again), Some(body));
}

#[test]
fn a_caller_is_sent_to_the_home_at_the_port_that_all_serve() {
    assert_eq!(control_address("10.0.0.9:8262", "10.0.0.4").as_deref(), Some("10.0.0.4:8262"));
    assert_eq!(control_address("10.0.0.9", "10.0.0.4"), None);
}

#[test]
fn a_packed_configuration_stays_packed_though_a_member_was_never_heard() {
    let held = Held { revision: 5, text: text(5, 200), taken: Vec::new() };
    assert!(may_pack(false, &held.seal(true)));
    assert!(!may_pack(false, &held.seal(false)), "one that may not read packed ones may hold the plain one");
    assert!(may_pack(true, &held.seal(false)));
}
