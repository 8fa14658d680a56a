//! The next membership as derived from a controller's view of its peers. The decision itself is tested in
//! `consensus::reconfiguration`.

use membership::{MembershipView, Peer};
use protocol::message::{CoreMembership, Member, JOINT_QUORUMS, PROTOCOL_VERSION};

use super::next;
use crate::controller::LIVENESS_TIMEOUT_MS;

fn core(ips: &[&str]) -> CoreMembership {
    let list = ips.iter().map(|ip| Member { ip: ip.to_string(), zone: String::new() }).collect();
    CoreMembership { version: 4, members: list, previous_members: Vec::new(), stable: true }
}

fn view(peers: &[(&str, u64)]) -> MembershipView {
    let mut view = MembershipView::new("10.0.0.1", "a", LIVENESS_TIMEOUT_MS);
    for (ip, last_seen) in peers {
        let peer = Peer { last_seen: *last_seen, eligible: true, ..Default::default() };
        view.observe(ip, peer);
    }
    view
}

fn member_ips(core: &CoreMembership) -> Vec<&str> {
    core.members.iter().map(|member| member.ip.as_str()).collect()
}

#[test]
fn a_candidate_is_added_before_an_unreachable_member_is_removed() {
    let view = view(&[("10.0.0.2", 9900), ("10.0.0.3", 5000), ("10.0.0.4", 9900)]);
    let next = next(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &view, 10_000).expect("a member is added");
    assert_eq!(member_ips(&next), ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"]);
    assert_eq!((next.version, next.stable, next.previous_members.len()), (5, false, 3));
    let after = super::next(&next, &view, 10_000).expect("a member is removed");
    assert_eq!(member_ips(&after), ["10.0.0.1", "10.0.0.2", "10.0.0.4"]);
}

#[test]
fn no_member_is_removed_without_a_candidate_and_none_added_without_a_majority() {
    let one_unreachable = view(&[("10.0.0.2", 9900), ("10.0.0.3", 100)]);
    assert_eq!(next(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &one_unreachable, 10_000), None);
    let majority_unreachable = view(&[("10.0.0.2", 100), ("10.0.0.3", 100), ("10.0.0.4", 9900)]);
    assert_eq!(next(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &majority_unreachable, 10_000), None);
}

/// Returns a view in which all peers support the newest protocol version and 10.0.0.2 is shutting down.
fn view_with_one_leaving(peers: &[(&str, u64)]) -> MembershipView {
    let mut view = view(peers);
    for (ip, peer) in &mut view.controllers {
        peer.protocol_version = PROTOCOL_VERSION;
        peer.shutting_down = ip == "10.0.0.2";
    }
    view
}

#[test]
fn a_member_that_is_shutting_down_is_replaced_in_one_step() {
    let view = view_with_one_leaving(&[("10.0.0.2", 9900), ("10.0.0.3", 9900), ("10.0.0.4", 9900)]);
    let next = next(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &view, 10_000).expect("a member is replaced");
    assert_eq!(member_ips(&next), ["10.0.0.1", "10.0.0.3", "10.0.0.4"]);
}

#[test]
fn a_member_is_not_replaced_in_one_step_while_a_peer_lacks_joint_quorums() {
    let mut view = view_with_one_leaving(&[("10.0.0.2", 9900), ("10.0.0.3", 9900), ("10.0.0.4", 9900)]);
    view.controllers.get_mut("10.0.0.3").expect("a peer").protocol_version = JOINT_QUORUMS - 1;
    let next = next(&core(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]), &view, 10_000).expect("a member is added");
    assert_eq!(member_ips(&next), ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"]);
}
