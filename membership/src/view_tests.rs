use crate::{MembershipView, Peer, PeerReport};

fn peer(zone: &str, heard: u64) -> Peer {
    Peer {
        zone: zone.into(),
        incarnation: 1,
        last_seen: heard,
        eligible: true,
        router_count: 3,
        in_flight: vec![("i-1".into(), 2)],
        ..Default::default()
    }
}

#[test]
fn own_area_holds_and_the_next_takes_over_when_it_is_silent() {
    let mut list = MembershipView::new("10.0.0.1", "a", 1000);
    list.observe("10.0.0.2", peer("b", 100));
    assert_eq!(list.first_live("b", "list", 1000), "10.0.0.2");
    assert_eq!(list.first_live("b", "list", 1100), "10.0.0.1");
    assert_eq!(list.first_live("a", "list", 1000), "10.0.0.1");
}

#[test]
fn all_controllers_agree_on_an_order() {
    let mut one = MembershipView::new("10.0.0.1", "a", 1000);
    let mut two = MembershipView::new("10.0.0.2", "b", 1000);
    one.observe("10.0.0.2", peer("b", 1));
    two.observe("10.0.0.1", peer("a", 1));
    for duty in ["x", "y", "z"] {
        assert_eq!(one.preference_order("c", duty), two.preference_order("c", duty));
    }
}

#[test]
fn seats_count_own_leases_and_those_of_fellows() {
    let mut list = MembershipView::new("10.0.0.1", "a", 1000);
    list.observe("10.0.0.2", peer("b", 100));
    list.renew_lease("edge-1", 500, vec![("i-1".into(), 5)], "10.0.0.9:80".into());
    assert_eq!(list.next_frontend(400, 7).as_deref(), Some("10.0.0.9:80"));
    assert_eq!(list.total_in_flight(400).get("i-1"), Some(&7));
    assert_eq!(list.router_count(400, true), 4);
    assert_eq!(list.router_count(600, true), 3);
    list.observe("10.0.0.2", peer("b", 50));
    assert!(list.is_live("10.0.0.2", 1099), "what was heard never goes back");
}

#[test]
fn one_that_is_sure_and_heard_by_a_live_peer_is_not_absent() {
    let sure = || PeerReport { confirmed: true, ..Default::default() };
    let mut list = MembershipView::new("10.0.0.1", "a", 1000);
    assert_eq!(list.unavailable_ms("10.0.0.2", 50), u64::MAX, "never heard");
    list.observe("10.0.0.2", peer("b", 100));
    list.record_report("10.0.0.2", sure(), 100);
    assert!(list.confirms("10.0.0.2", 1099) && !list.confirms("10.0.0.2", 1100));
    list.observe("10.0.0.3", peer("c", 9000));
    list.record_report("10.0.0.3", PeerReport { confirmations: vec!["10.0.0.2".into()], ..sure() }, 9000);
    assert_eq!((list.silent_ms("10.0.0.2", 9500), list.unavailable_ms("10.0.0.2", 9500)), (9400, 0));
    assert_eq!(list.unavailable_ms("10.0.0.2", 10_000), 9900, "the peer itself is no longer heard");
    list.observe("10.0.0.2", peer("b", 10_000));
    list.record_report("10.0.0.2", PeerReport { confirmations: vec!["10.0.0.2".into()], ..sure() }, 10_000);
    assert_eq!(list.unavailable_ms("10.0.0.2", 10_100), 100, "nobody vouches for itself");
}

#[test]
fn one_that_is_heard_but_reaches_no_majority_is_absent() {
    let mut list = MembershipView::new("10.0.0.1", "a", 1000);
    for now in (0..=5000).step_by(500) {
        list.observe("10.0.0.2", peer("b", now));
        list.record_report("10.0.0.2", PeerReport { confirmed: now < 1000, ..Default::default() }, now);
    }
    assert_eq!((list.silent_ms("10.0.0.2", 5000), list.unavailable_ms("10.0.0.2", 5000)), (0, 4500));
    assert!(list.is_live("10.0.0.2", 5000) && !list.confirms("10.0.0.2", 5000));
}

#[test]
fn a_controller_that_is_cut_off_goes_on_counting_the_routers_of_the_others() {
    let mut list = MembershipView::new("10.0.0.1", "a", 1000);
    list.renew_lease("edge-1", 60_000, Vec::new(), String::new());
    list.observe("10.0.0.2", peer("b", 100));
    assert_eq!(list.router_count(200, true), 4);
    assert_eq!(list.router_count(20_000, false), 4, "its slice of a bound stays a quarter");
    list.renew_lease("edge-2", 60_000, Vec::new(), String::new());
    list.observe("10.0.0.2", peer("b", 30_000));
    assert_eq!(list.router_count(30_000, false), 5);
    assert_eq!(
        list.router_count(40_000, true),
        2,
        "at a majority again: the other controller and its routers are gone"
    );
}
