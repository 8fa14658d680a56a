//! Which members come next, and when a transition is done.
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

fn changed(
    membership: &CoreMembership,
    health: impl Fn(&str) -> Health,
    candidates: &[Member],
    joint: bool,
) -> Option<CoreMembership> {
    next_membership(membership, &ClusterView { health: &health, candidates: candidates.to_vec(), joint_quorums: joint })
}

fn all_live_but(name: &'static str, health: Health) -> impl Fn(&str) -> Health {
    move |one| if one == name { health } else { LIVE }
}

#[test]
fn a_member_that_is_gone_is_exchanged_in_one_change() {
    let next =
        changed(&membership(&["a", "b", "c"]), all_live_but("c", SILENT), &[member("d", "c")], true).expect("next");
    assert_eq!(names(&next), ["a", "b", "d"]);
    assert_eq!((next.version, next.stable, next.previous_members.len()), (5, false, 3));
}

#[test]
fn a_candidate_of_the_same_zone_comes_first() {
    let candidates = [member("d", "a"), member("e", "c")];
    let next = changed(&membership(&["a", "b", "c"]), all_live_but("c", SILENT), &candidates, true).expect("next");
    assert_eq!(names(&next), ["a", "b", "e"]);
}

#[test]
fn without_joint_quorums_a_candidate_is_added_first_and_the_lost_one_removed_after() {
    let lost = || all_live_but("c", SILENT);
    let next = changed(&membership(&["a", "b", "c"]), lost(), &[member("d", "c")], false).expect("added");
    assert_eq!(names(&next), ["a", "b", "c", "d"]);
    let last = changed(&membership(&["a", "b", "c", "d"]), lost(), &[], false).expect("removed");
    assert_eq!(names(&last), ["a", "b", "d"]);
}

#[test]
fn one_too_many_that_is_leaving_is_removed_before_it_is_gone() {
    let next = changed(&membership(&["a", "b", "c", "d"]), all_live_but("b", LEAVING), &[], true).expect("next");
    assert_eq!(names(&next), ["a", "c", "d"]);
}

#[test]
fn nobody_is_removed_without_one_too_many() {
    assert_eq!(changed(&membership(&["a", "b", "c"]), all_live_but("b", SILENT), &[], true), None);
    assert_eq!(changed(&membership(&["a", "b", "c"]), all_live_but("b", LEAVING), &[], true), None);
}

#[test]
fn nothing_changes_while_those_that_stay_are_no_quorum() {
    let two_lost = |name: &str| if name == "a" { LIVE } else { SILENT };
    assert_eq!(changed(&membership(&["a", "b", "c"]), two_lost, &[member("d", "b")], true), None);
    assert_eq!(changed(&membership(&["a", "b", "c"]), two_lost, &[member("d", "b")], false), None);
}

#[test]
fn one_too_many_that_is_leaving_is_removed_though_another_is_lost() {
    // The one that is shutting down still votes for the change: three of four.
    let health = |name: &str| match name {
        "b" => LEAVING,
        "c" => SILENT,
        _ => LIVE,
    };
    let next = changed(&membership(&["a", "b", "c", "d"]), health, &[], true).expect("next");
    assert_eq!(names(&next), ["a", "c", "d"]);
}

#[test]
fn a_transition_waits_for_quorums_of_old_and_new_and_for_every_key() {
    let prev = membership(&["a", "b", "c"]).members;
    let changing = CoreMembership {
        members: membership(&["a", "b", "d"]).members,
        previous_members: prev,
        stable: false,
        version: 5,
    };
    let mut transition = MembershipTransition::new(&changing);
    transition.record_keys("a", ["config".to_string()]);
    transition.record_keys("d", []);
    assert!(!transition.is_known(), "a majority of the new ones only");
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

/// The response of an acceptor that holds these keys.
fn positions(keys: &[&str]) -> ConsensusResponse {
    ConsensusResponse::Positions {
        positions: keys.iter().map(|key| KeyPosition { key: key.to_string(), position: Position::default() }).collect(),
    }
}

/// The member `c` exchanged for `d`.
fn exchange() -> CoreMembership {
    CoreMembership {
        version: 5,
        members: membership(&["a", "b", "d"]).members,
        previous_members: membership(&["a", "b", "c"]).members,
        stable: false,
    }
}

#[test]
fn an_acceptor_that_does_not_say_what_it_holds_does_not_count_for_a_transition() {
    let mut transition = MembershipTransition::new(&exchange());
    for (from, response) in [("a", positions(&[])), ("d", positions(&[])), ("c", ConsensusResponse::NonVoting)] {
        transition.record_response(from, &response);
    }
    assert!(!transition.is_known(), "what b and c hold would not be committed again");
    transition.record_response("c", &positions(&["config"]));
    assert_eq!(transition.remaining_keys(), ["config", "core"]);
}
