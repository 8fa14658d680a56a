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
fn a_live_controller_of_the_zone_comes_first_and_another_follows_when_it_is_silent() {
    let mut view = MembershipView::new("10.0.0.1", "a", 1000);
    view.observe("10.0.0.2", peer("b", 100));
    assert_eq!(view.first_live("b", "list", 1000), "10.0.0.2");
    assert_eq!(view.first_live("b", "list", 1100), "10.0.0.1");
    assert_eq!(view.first_live("a", "list", 1000), "10.0.0.1");
}

#[test]
fn all_controllers_agree_on_an_order() {
    let mut one = MembershipView::new("10.0.0.1", "a", 1000);
    let mut two = MembershipView::new("10.0.0.2", "b", 1000);
    one.observe("10.0.0.2", peer("b", 1));
    two.observe("10.0.0.1", peer("a", 1));
    for role in ["x", "y", "z"] {
        assert_eq!(one.preference_order("c", role), two.preference_order("c", role));
    }
}

#[test]
fn router_count_adds_own_leases_and_those_of_peers() {
    let mut view = MembershipView::new("10.0.0.1", "a", 1000);
    view.observe("10.0.0.2", peer("b", 100));
    view.renew_lease("edge-1", 500, vec![("i-1".into(), 5)], "10.0.0.9:80".into());
    assert_eq!(view.next_frontend(400, 7).as_deref(), Some("10.0.0.9:80"));
    assert_eq!(view.total_in_flight(400).get("i-1"), Some(&7));
    assert_eq!(view.router_count(400, true), 4);
    assert_eq!(view.router_count(600, true), 3);
    view.observe("10.0.0.2", peer("b", 50));
    assert!(view.is_live("10.0.0.2", 1099), "the last heartbeat never goes back");
}

#[test]
fn one_that_a_live_peer_confirms_is_available() {
    let confirmed = || PeerReport { confirmed: true, ..Default::default() };
    let mut view = MembershipView::new("10.0.0.1", "a", 1000);
    assert_eq!(view.unavailable_ms("10.0.0.2", 50), u64::MAX, "never seen");
    view.observe("10.0.0.2", peer("b", 100));
    view.record_report("10.0.0.2", confirmed(), 100);
    assert!(view.confirms("10.0.0.2", 1099) && !view.confirms("10.0.0.2", 1100));
    view.observe("10.0.0.3", peer("c", 9000));
    view.record_report("10.0.0.3", PeerReport { confirmations: vec!["10.0.0.2".into()], ..confirmed() }, 9000);
    assert_eq!((view.silent_ms("10.0.0.2", 9500), view.unavailable_ms("10.0.0.2", 9500)), (9400, 0));
    assert_eq!(view.unavailable_ms("10.0.0.2", 10_000), 9900, "the peer itself is no longer live");
    view.observe("10.0.0.2", peer("b", 10_000));
    view.record_report("10.0.0.2", PeerReport { confirmations: vec!["10.0.0.2".into()], ..confirmed() }, 10_000);
    assert_eq!(view.unavailable_ms("10.0.0.2", 10_100), 100, "nobody confirms itself");
}

#[test]
fn one_that_is_live_but_reaches_no_quorum_is_unavailable() {
    let mut view = MembershipView::new("10.0.0.1", "a", 1000);
    for now in (0..=5000).step_by(500) {
        view.observe("10.0.0.2", peer("b", now));
        view.record_report("10.0.0.2", PeerReport { confirmed: now < 1000, ..Default::default() }, now);
    }
    assert_eq!((view.silent_ms("10.0.0.2", 5000), view.unavailable_ms("10.0.0.2", 5000)), (0, 4500));
    assert!(view.is_live("10.0.0.2", 5000) && !view.confirms("10.0.0.2", 5000));
}

#[test]
fn a_controller_that_is_cut_off_goes_on_counting_the_routers_of_the_others() {
    let mut view = MembershipView::new("10.0.0.1", "a", 1000);
    view.renew_lease("edge-1", 60_000, Vec::new(), String::new());
    view.observe("10.0.0.2", peer("b", 100));
    assert_eq!(view.router_count(200, true), 4);
    assert_eq!(view.router_count(20_000, false), 4, "its part of a limit stays a quarter");
    view.renew_lease("edge-2", 60_000, Vec::new(), String::new());
    view.observe("10.0.0.2", peer("b", 30_000));
    assert_eq!(view.router_count(30_000, false), 5);
    assert_eq!(view.router_count(40_000, true), 2, "confirmed again: the other controller and its routers are gone");
}
