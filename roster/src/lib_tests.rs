fn fellow(area: &str, heard: u64) -> super::Fellow {
    super::Fellow {
        area: area.into(),
        life: 1,
        heard,
        fit: true,
        seats: 3,
        busy: vec![("i-1".into(), 2)],
        ..Default::default()
    }
}

#[test]
fn own_area_holds_and_the_next_takes_over_when_it_is_silent() {
    let mut list = super::Roster::new("10.0.0.1", "a", 1000);
    list.hear("10.0.0.2", fellow("b", 100));
    assert_eq!(list.holder("b", "list", 1000), "10.0.0.2");
    assert_eq!(list.holder("b", "list", 1100), "10.0.0.1");
    assert_eq!(list.holder("a", "list", 1000), "10.0.0.1");
}

#[test]
fn all_keepers_agree_on_an_order() {
    let mut one = super::Roster::new("10.0.0.1", "a", 1000);
    let mut two = super::Roster::new("10.0.0.2", "b", 1000);
    one.hear("10.0.0.2", fellow("b", 1));
    two.hear("10.0.0.1", fellow("a", 1));
    for duty in ["x", "y", "z"] {
        assert_eq!(one.order("c", duty), two.order("c", duty));
    }
}

#[test]
fn seats_count_own_leases_and_those_of_fellows() {
    let mut list = super::Roster::new("10.0.0.1", "a", 1000);
    list.hear("10.0.0.2", fellow("b", 100));
    list.lease("edge-1", 500, vec![("i-1".into(), 5)], "10.0.0.9:80".into());
    assert_eq!(list.door(400, 7).as_deref(), Some("10.0.0.9:80"));
    assert_eq!(list.pressure(400).get("i-1"), Some(&7));
    assert_eq!(list.seats(400), 4);
    assert_eq!(list.seats(600), 3);
    list.hear("10.0.0.2", fellow("b", 50));
    assert!(list.live("10.0.0.2", 1099), "what was heard never goes back");
}

#[test]
fn one_that_a_live_peer_hears_is_not_absent() {
    let mut list = super::Roster::new("10.0.0.1", "a", 1000);
    list.hear("10.0.0.2", fellow("b", 100));
    list.hear("10.0.0.3", fellow("c", 9000));
    let report = super::PeerReport { hears: vec!["10.0.0.2".into()], ..Default::default() };
    list.report("10.0.0.3", report);
    assert_eq!((list.silent("10.0.0.2", 9500), list.absent_ms("10.0.0.2", 9500)), (9400, 0));
    assert_eq!(list.absent_ms("10.0.0.2", 10_000), 9900, "the peer itself is no longer heard");
    list.report("10.0.0.2", super::PeerReport { hears: vec!["10.0.0.2".into()], ..Default::default() });
    list.hear("10.0.0.2", fellow("b", 10_000));
    assert_eq!(list.absent_ms("10.0.0.2", 10_100), 100, "nobody vouches for itself");
}
