//! Eligibility by protocol version, shutdown state and time unavailable.
use crate::{MembershipView, Peer, PeerReport};

const MAX_UNAVAILABLE_MS: u64 = 2400;

fn view() -> MembershipView {
    let mut view = MembershipView::new("a", "z1", 1100);
    for (ip, protocol_version, shutting_down) in [("b", 5, false), ("c", 5, true), ("d", 4, false), ("e", 5, false)] {
        view.observe(
            ip,
            Peer { zone: "z2".into(), last_seen: 1000, protocol_version, shutting_down, ..Default::default() },
        );
        view.record_report(ip, PeerReport { confirmed: true, ..Default::default() }, 1000);
    }
    view
}

fn eligible_ips(view: &MembershipView, self_shutting_down: bool, now: u64) -> Vec<String> {
    view.eligible_owners(5, MAX_UNAVAILABLE_MS, self_shutting_down, now).into_iter().map(|owner| owner.ip).collect()
}

#[test]
fn eligible_owners_exclude_controllers_that_shut_down_or_lack_the_protocol_version() {
    assert_eq!(eligible_ips(&view(), false, 1100), ["a", "b", "e"]);
    assert_eq!(eligible_ips(&view(), true, 1100), ["b", "e"]);
}

#[test]
fn eligible_owners_exclude_a_controller_once_it_is_unavailable_for_the_maximum_time() {
    let mut view = view();
    view.record_report("e", PeerReport { confirmed: true, ..Default::default() }, 3000);
    assert_eq!(eligible_ips(&view, false, 1000 + MAX_UNAVAILABLE_MS - 1), ["a", "b", "e"]);
    assert_eq!(eligible_ips(&view, false, 1000 + MAX_UNAVAILABLE_MS), ["a", "e"]);
}

#[test]
fn eligible_owners_include_a_controller_that_only_a_live_peer_confirms() {
    let mut view = view();
    let now = 1000 + MAX_UNAVAILABLE_MS;
    view.observe("e", Peer { zone: "z2".into(), last_seen: now, protocol_version: 5, ..Default::default() });
    view.record_report("e", PeerReport { confirmed: true, confirmations: vec!["b".into()], ..Default::default() }, now);
    assert_eq!(eligible_ips(&view, false, now), ["a", "b", "e"]);
}
