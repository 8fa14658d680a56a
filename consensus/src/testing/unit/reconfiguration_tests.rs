//! Tests of the choice of the next membership and of the transition to it.
use super::{next_membership, ClusterView, Health, MembershipTransition, MEMBER_TIMEOUT_MS};
use protocol::message::{ConsensusResponse, CoreMembership, KeyPosition, Member, Position};

const LIVE: Health = Health { since_last_seen_ms: 100, live: true, shutting_down: false };
const SILENT: Health = Health { since_last_seen_ms: MEMBER_TIMEOUT_MS + 1, live: false, shutting_down: false };
const LEAVING: Health = Health { since_last_seen_ms: 100, live: true, shutting_down: true };

fn member(name: &str, zone: &str) -> Member {
    Member { ip: name.into(), zone: zone.into() }
}

fn membership(names: &[&str]) -> CoreMembership {
    let list = names.iter().map(|name| member(name, name)).collect();
    CoreMembership { version: 4, members: list, previous_members: Vec::new(), stable: true }
}

fn names(membership: &CoreMembership) -> Vec<&str> {
    membership.members.iter().map(|member| member.ip.as_str()).collect()
}

fn decide_next(
    membership: &CoreMembership,
    health: impl Fn(&str) -> Health,
    candidates: &[Member],
    joint: bool,
) -> Option<CoreMembership> {
    next_membership(membership, &ClusterView { health: &health, candidates: candidates.to_vec(), joint_quorums: joint })
}

fn all_live_except(name: &'static str, health: Health) -> impl Fn(&str) -> Health {
    move |address| if address == name { health } else { LIVE }
}

#[test]
fn a_member_that_is_gone_is_replaced_in_one_change() {
    let next = decide_next(&membership(&["a", "b", "c"]), all_live_except("c", SILENT), &[member("d", "c")], true)
        .expect("a change is due");
    assert_eq!(names(&next), ["a", "b", "d"]);
    assert_eq!((next.version, next.stable, next.previous_members.len()), (5, false, 3));
}

#[test]
fn a_candidate_of_the_same_zone_is_preferred() {
    let candidates = [member("d", "a"), member("e", "c")];
    let next = decide_next(&membership(&["a", "b", "c"]), all_live_except("c", SILENT), &candidates, true)
        .expect("a change is due");
    assert_eq!(names(&next), ["a", "b", "e"]);
}

#[test]
fn without_joint_quorums_a_candidate_is_added_before_the_lost_member_is_removed() {
    let lost = || all_live_except("c", SILENT);
    let next = decide_next(&membership(&["a", "b", "c"]), lost(), &[member("d", "c")], false).expect("a change is due");
    assert_eq!(names(&next), ["a", "b", "c", "d"]);
    let after_removal = decide_next(&membership(&["a", "b", "c", "d"]), lost(), &[], false).expect("a change is due");
    assert_eq!(names(&after_removal), ["a", "b", "d"]);
}

#[test]
fn a_leaving_member_of_an_even_number_is_removed_before_it_is_gone() {
    let next = decide_next(&membership(&["a", "b", "c", "d"]), all_live_except("b", LEAVING), &[], true)
        .expect("a change is due");
    assert_eq!(names(&next), ["a", "c", "d"]);
}

#[test]
fn no_member_is_removed_if_the_number_of_members_is_odd() {
    assert_eq!(decide_next(&membership(&["a", "b", "c"]), all_live_except("b", SILENT), &[], true), None);
    assert_eq!(decide_next(&membership(&["a", "b", "c"]), all_live_except("b", LEAVING), &[], true), None);
}

#[test]
fn no_change_is_due_while_the_staying_members_are_not_a_quorum() {
    let two_lost = |name: &str| if name == "a" { LIVE } else { SILENT };
    assert_eq!(decide_next(&membership(&["a", "b", "c"]), two_lost, &[member("d", "b")], true), None);
    assert_eq!(decide_next(&membership(&["a", "b", "c"]), two_lost, &[member("d", "b")], false), None);
}

#[test]
fn a_leaving_member_of_an_even_number_is_removed_although_another_is_lost() {
    // The member that is shutting down still votes for the change, which makes three votes of four.
    let health = |name: &str| match name {
        "b" => LEAVING,
        "c" => SILENT,
        _ => LIVE,
    };
    let next = decide_next(&membership(&["a", "b", "c", "d"]), health, &[], true).expect("a change is due");
    assert_eq!(names(&next), ["a", "c", "d"]);
}

#[test]
fn a_transition_needs_majorities_of_old_and_new_members_and_every_key_committed_again() {
    let previous = membership(&["a", "b", "c"]).members;
    let changing = CoreMembership {
        members: membership(&["a", "b", "d"]).members,
        previous_members: previous,
        stable: false,
        version: 5,
    };
    let mut transition = MembershipTransition::new(&changing);
    transition.record_keys("a", ["config".to_string()]);
    transition.record_keys("d", []);
    assert!(!transition.is_known(), "only a majority of the new members knows the membership");
    assert!(transition.remaining_keys().is_empty());
    transition.record_keys("b", ["evacuation/z".to_string()]);
    assert!(transition.is_known());
    assert_eq!(transition.remaining_keys(), ["config", "core", "evacuation/z"]);
    for key in ["config", "core"] {
        transition.mark_recommitted(key);
        assert!(!transition.is_done());
    }
    transition.mark_recommitted("evacuation/z");
    assert!(transition.is_done());
}

/// Returns the response of an acceptor that holds these keys.
fn positions(keys: &[&str]) -> ConsensusResponse {
    ConsensusResponse::Positions {
        positions: keys.iter().map(|key| KeyPosition { key: key.to_string(), position: Position::default() }).collect(),
    }
}

/// Returns the joint membership in which `d` replaces `c`.
fn replacement() -> CoreMembership {
    CoreMembership {
        version: 5,
        members: membership(&["a", "b", "d"]).members,
        previous_members: membership(&["a", "b", "c"]).members,
        stable: false,
    }
}

#[test]
fn an_acceptor_that_does_not_report_its_keys_does_not_count_for_a_transition() {
    let mut transition = MembershipTransition::new(&replacement());
    for (from, response) in [("a", positions(&[])), ("d", positions(&[])), ("c", ConsensusResponse::NonVoting)] {
        transition.record_response(from, &response);
    }
    assert!(!transition.is_known(), "keys that only b and c hold would not be committed again");
    transition.record_response("c", &positions(&["config"]));
    assert_eq!(transition.remaining_keys(), ["config", "core"]);
}
