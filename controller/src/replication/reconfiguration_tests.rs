//! The next core as a controller sees its peers. The decision itself is tested in `consensus::reconfiguration`.

use membership::{MembershipView, Peer};
use protocol::message::{CoreMembership, Member, JOINT_QUORUMS, PROTOCOL_VERSION};

use super::next;
use crate::controller::LIVENESS_TIMEOUT_MS;

fn core(ips: &[&str]) -> CoreMembership {
    let list = ips.iter().map(|ip| Member { ip: ip.to_string(), zone: String::new() }).collect();
    CoreMembership { version: 4, members: list, previous_members: Vec::new(), stable: true }
}

fn view(heard: &[(&str, u64)]) -> MembershipView {
    let mut list = MembershipView::new("10.0.0.1", "a", LIVENESS_TIMEOUT_MS);
    for (ip, heard) in heard {
        let peer = Peer { last_seen: *heard, eligible: true, ..Default::default() };
        list.observe(ip, peer);
    }
    list
}

fn names(core: &CoreMembership) -> Vec<&str> {
    core.members.iter().map(|member| member.ip.as_str()).collect()
}

#[test]
fn a_newcomer_is_added_and_then_the_one_that_is_gone_removed() {
    let list = view(&[("10.0.0.2", 9900), ("10.0.0.3", 5000), ("10.0.0.4", 9900)]);
    let next = super::next(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &list, 10_000).expect("added");
    assert_eq!(names(&next), ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"]);
    assert_eq!((next.version, next.stable, next.previous_members.len()), (5, false, 3));
    let last = super::next(&next, &list, 10_000).expect("removed");
    assert_eq!(names(&last), ["10.0.0.1", "10.0.0.2", "10.0.0.4"]);
}

#[test]
fn nobody_is_removed_without_one_too_many_and_nobody_added_without_a_majority() {
    let gone = view(&[("10.0.0.2", 9900), ("10.0.0.3", 100)]);
    assert_eq!(next(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &gone, 10_000), None);
    let few = view(&[("10.0.0.2", 100), ("10.0.0.3", 100), ("10.0.0.4", 9900)]);
    assert_eq!(next(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &few, 10_000), None);
}

/// All peers read the newest messages, and the second member said that it is about to end.
fn with_one_leaving(heard: &[(&str, u64)]) -> MembershipView {
    let mut list = view(heard);
    for (ip, peer) in &mut list.controllers {
        peer.protocol_version = PROTOCOL_VERSION;
        peer.shutting_down = ip == "10.0.0.2";
    }
    list
}

#[test]
fn a_member_that_is_leaving_is_exchanged_at_once() {
    let list = with_one_leaving(&[("10.0.0.2", 9900), ("10.0.0.3", 9900), ("10.0.0.4", 9900)]);
    let next = super::next(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &list, 10_000).expect("exchanged");
    assert_eq!(names(&next), ["10.0.0.1", "10.0.0.3", "10.0.0.4"]);
}

#[test]
fn members_are_not_exchanged_while_a_peer_does_not_count_joint_quorums() {
    let mut list = with_one_leaving(&[("10.0.0.2", 9900), ("10.0.0.3", 9900), ("10.0.0.4", 9900)]);
    list.controllers.get_mut("10.0.0.3").expect("a peer").protocol_version = JOINT_QUORUMS - 1;
    let next = super::next(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &list, 10_000).expect("added");
    assert_eq!(names(&next), ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"]);
}
