//! Who counts as able.
use crate::{MembershipView, Peer, PeerReport};

const ABSENT_MS: u64 = 2400;

fn roster() -> MembershipView {
    let mut roster = MembershipView::new("a", "z1", 1100);
    for (ip, reads, leaving) in [("b", 5, false), ("c", 5, true), ("d", 4, false), ("e", 5, false)] {
        roster.observe(
            ip,
            Peer {
                zone: "z2".into(),
                last_seen: 1000,
                protocol_version: reads,
                shutting_down: leaving,
                ..Default::default()
            },
        );
        roster.record_report(ip, PeerReport { confirmed: true, ..Default::default() }, 1000);
    }
    roster
}

fn able(roster: &MembershipView, self_shutting_down: bool, now: u64) -> Vec<String> {
    roster.eligible_owners(5, ABSENT_MS, self_shutting_down, now).into_iter().map(|one| one.ip).collect()
}

#[test]
fn those_that_leave_or_read_no_such_messages_are_left_out() {
    assert_eq!(able(&roster(), false, 1100), ["a", "b", "e"]);
    assert_eq!(able(&roster(), true, 1100), ["b", "e"]);
}

#[test]
fn one_that_was_not_heard_to_be_confirmed_for_long_is_left_out() {
    let mut roster = roster();
    roster.record_report("e", PeerReport { confirmed: true, ..Default::default() }, 3000);
    assert_eq!(able(&roster, false, 1000 + ABSENT_MS - 1), ["a", "b", "e"]);
    assert_eq!(able(&roster, false, 1000 + ABSENT_MS), ["a", "e"]);
}

#[test]
fn one_that_a_live_peer_vouches_for_stays() {
    let mut roster = roster();
    let now = 1000 + ABSENT_MS;
    roster.observe("e", Peer { zone: "z2".into(), last_seen: now, protocol_version: 5, ..Default::default() });
    roster.record_report(
        "e",
        PeerReport { confirmed: true, confirmations: vec!["b".into()], ..Default::default() },
        now,
    );
    assert_eq!(able(&roster, false, now), ["a", "b", "e"]);
}
