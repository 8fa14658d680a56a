use crate::{MembershipView, Peer, PeerReport};

fn peer(zone: &str, last_seen: u64) -> Peer {
    Peer {
        zone: zone.into(),
        incarnation: 1,
        last_seen,
        eligible: true,
        router_count: 3,
        in_flight: vec![("i-1".into(), 2)],
        ..Default::default()
    }
}

#[test]
fn first_live_prefers_the_zone_and_falls_back_when_its_controller_times_out() {
    let mut view = MembershipView::new("10.0.0.1", "a", 1000);
    view.observe("10.0.0.2", peer("b", 100));
    assert_eq!(view.first_live("b", "list", 1000), "10.0.0.2");
    assert_eq!(view.first_live("b", "list", 1100), "10.0.0.1");
    assert_eq!(view.first_live("a", "list", 1000), "10.0.0.1");
}

#[test]
fn preference_order_is_the_same_at_all_controllers() {
    let mut first = MembershipView::new("10.0.0.1", "a", 1000);
    let mut second = MembershipView::new("10.0.0.2", "b", 1000);
    first.observe("10.0.0.2", peer("b", 1));
    second.observe("10.0.0.1", peer("a", 1));
    for role in ["x", "y", "z"] {
        assert_eq!(first.preference_order("c", role), second.preference_order("c", role));
    }
}

#[test]
fn router_count_and_in_flight_totals_add_own_leases_and_those_of_peers() {
    let mut view = MembershipView::new("10.0.0.1", "a", 1000);
    view.observe("10.0.0.2", peer("b", 100));
    view.renew_lease("edge-1", 500, vec![("i-1".into(), 5)], "10.0.0.9:80".into());
    assert_eq!(view.next_frontend(400, 7).as_deref(), Some("10.0.0.9:80"));
    assert_eq!(view.total_in_flight(400).get("i-1"), Some(&7));
    assert_eq!(view.router_count(400, true), 4);
    assert_eq!(view.router_count(600, true), 3);
    view.observe("10.0.0.2", peer("b", 50));
    assert!(view.is_live("10.0.0.2", 1099), "the time of the last heartbeat must not move back");
}

#[test]
fn a_controller_that_a_live_peer_confirms_is_available() {
    let confirmed = || PeerReport { confirmed: true, ..Default::default() };
    let mut view = MembershipView::new("10.0.0.1", "a", 1000);
    assert_eq!(view.unavailable_ms("10.0.0.2", 50), u64::MAX, "never seen");
    view.observe("10.0.0.2", peer("b", 100));
    view.record_report("10.0.0.2", confirmed(), 100);
    assert!(view.confirms("10.0.0.2", 1099) && !view.confirms("10.0.0.2", 1100));
    view.observe("10.0.0.3", peer("c", 9000));
    view.record_report("10.0.0.3", PeerReport { confirmations: vec!["10.0.0.2".into()], ..confirmed() }, 9000);
    assert_eq!((view.silent_ms("10.0.0.2", 9500), view.unavailable_ms("10.0.0.2", 9500)), (9400, 0));
    assert_eq!(view.unavailable_ms("10.0.0.2", 10_000), 9900, "the confirming peer is no longer live");
    view.observe("10.0.0.2", peer("b", 10_000));
    view.record_report("10.0.0.2", PeerReport { confirmations: vec!["10.0.0.2".into()], ..confirmed() }, 10_000);
    assert_eq!(view.unavailable_ms("10.0.0.2", 10_100), 100, "a controller can't confirm itself");
}

#[test]
fn a_live_controller_without_a_quorum_is_unavailable() {
    let mut view = MembershipView::new("10.0.0.1", "a", 1000);
    for now in (0..=5000).step_by(500) {
        view.observe("10.0.0.2", peer("b", now));
        view.record_report("10.0.0.2", PeerReport { confirmed: now < 1000, ..Default::default() }, now);
    }
    assert_eq!((view.silent_ms("10.0.0.2", 5000), view.unavailable_ms("10.0.0.2", 5000)), (0, 4500));
    assert!(view.is_live("10.0.0.2", 5000) && !view.confirms("10.0.0.2", 5000));
}

#[test]
fn router_count_never_drops_while_unconfirmed() {
    let mut view = MembershipView::new("10.0.0.1", "a", 1000);
    view.renew_lease("edge-1", 60_000, Vec::new(), String::new());
    view.observe("10.0.0.2", peer("b", 100));
    assert_eq!(view.router_count(200, true), 4);
    assert_eq!(view.router_count(20_000, false), 4, "its share of a limit stays a quarter");
    view.renew_lease("edge-2", 60_000, Vec::new(), String::new());
    view.observe("10.0.0.2", peer("b", 30_000));
    assert_eq!(view.router_count(30_000, false), 5);
    assert_eq!(
        view.router_count(40_000, true),
        2,
        "once confirmed again, it no longer counts routers of the lost peer"
    );
}
