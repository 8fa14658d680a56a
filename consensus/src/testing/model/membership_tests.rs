//! Explorations of every change of members that the controller makes.
use super::machines::MachineSet;
use super::runs::{holds_in_every_state, holds_in_first_states, members_only, proposer};
use super::scenario::{IncompleteWrite, MembershipChange, Operation, Scenario};
use Operation::{Read, Write};

fn change(leaving: Option<usize>, candidates: &[usize]) -> Option<MembershipChange> {
    Some(MembershipChange { leaving, candidates: candidates.to_vec(), coordinators: 1 })
}

/// A member that ends is exchanged for one that waits.
fn exchanged(members: usize) -> Scenario {
    let membership_change = change(Some(members - 1), &[members]);
    let interchangeable = vec![(0..members - 1).collect()];
    Scenario { machines: members + 1, membership_change, interchangeable, ..members_only(members) }
}

/// One that waits is added.
fn added(members: usize) -> Scenario {
    let membership_change = change(None, &[members]);
    Scenario { machines: members + 1, membership_change, ..members_only(members) }
}

/// A member that ends is removed.
fn removed(members: usize) -> Scenario {
    let membership_change = change(Some(members - 1), &[]);
    Scenario { membership_change, interchangeable: vec![(0..members - 1).collect()], ..members_only(members) }
}

fn one_change(scenario: Scenario) -> Scenario {
    Scenario { proposers: vec![proposer(&[Write(1)], 1)], ..scenario }
}

fn one_lost_disk(scenario: Scenario) -> Scenario {
    Scenario { wipes: 1, ..scenario }
}

/// A change was acknowledged that is on these machines only.
fn acknowledged_on(machines: &[usize], scenario: Scenario) -> Scenario {
    Scenario { earlier_operation: Some((Write(9), MachineSet::from_iter(machines.iter().copied()))), ..scenario }
}

#[test]
fn a_member_of_three_is_exchanged_during_a_change() {
    holds_in_every_state("3 members, 1 exchanged, 1 change", &one_change(exchanged(3)));
}

#[test]
fn a_member_is_added_to_three_during_a_change() {
    holds_in_first_states("3 members, 1 added, 1 change", &one_change(added(3)), 8_000);
}

#[test]
fn a_member_of_four_is_removed_during_a_change() {
    holds_in_every_state("4 members, 1 removed, 1 change", &one_change(removed(4)));
}

#[test]
fn larger_memberships_change_during_a_change() {
    holds_in_first_states("4 members, 1 exchanged, 1 change", &one_change(exchanged(4)), 3_000);
    holds_in_first_states("4 members, 1 added, 1 change", &one_change(added(4)), 3_000);
    holds_in_first_states("5 members, 1 exchanged, 1 change", &one_change(exchanged(5)), 3_000);
    holds_in_first_states("6 members, 1 removed, 1 change", &one_change(removed(6)), 3_000);
}

#[test]
fn a_disk_is_lost_during_a_change_of_members() {
    let scenarios = [
        ("3, 1 exchanged", exchanged(3)),
        ("3, 1 added", added(3)),
        ("4, 1 removed", removed(4)),
        ("4, 1 added", added(4)),
    ];
    for (name, scenario) in scenarios {
        let name = format!("members {name}, 1 change, 1 lost disk");
        holds_in_first_states(&name, &one_lost_disk(one_change(scenario)), 5_000);
    }
}

#[test]
fn what_only_a_leaving_member_and_one_out_of_touch_hold_is_committed_again() {
    holds_in_every_state("exchange, held by the leaving one and another", &acknowledged_on(&[1, 2], exchanged(3)));
    holds_in_every_state("removal, held by the leaving one and others", &acknowledged_on(&[1, 2, 3], removed(4)));
}

#[test]
fn an_acceptor_in_recovery_does_not_count_for_the_transition() {
    let name = "addition, held by a lost disk and one out of touch";
    holds_in_first_states(name, &one_lost_disk(acknowledged_on(&[1, 2], added(3))), 20_000);
}

#[test]
fn a_leaving_member_that_lost_its_disk_does_not_count_for_the_transition() {
    let name = "exchange, held by the leaving one, whose disk is lost, and another";
    holds_in_first_states(name, &one_lost_disk(acknowledged_on(&[0, 2], exchanged(3))), 20_000);
}

#[test]
fn an_acceptor_that_was_notified_of_the_change_and_forgot_it_does_not_count_for_the_transition() {
    let read_before = Some((Read, MachineSet::from_iter([0, 1])));
    let scenario = Scenario { earlier_operation: read_before, ..one_lost_disk(one_change(exchanged(3))) };
    let name = "exchange, first change by the owner, the disk of one that was notified is lost";
    holds_in_first_states(name, &scenario, 8_000);
}

#[test]
fn what_was_left_incomplete_before_the_change_does_not_outrank_what_comes_after_it() {
    let incomplete =
        IncompleteWrite { prepared_by: [0, 2].into_iter().collect(), accepted_by: [0].into_iter().collect() };
    let scenario = Scenario { incomplete_write: Some(incomplete), ..one_change(exchanged(3)) };
    holds_in_first_states("exchange, a change half done before it, 1 change", &scenario, 15_000);
}

#[test]
fn two_coordinators_make_one_change() {
    let membership_change = exchanged(3).membership_change.map(|change| MembershipChange { coordinators: 2, ..change });
    let scenario = acknowledged_on(&[1, 2], Scenario { membership_change, ..exchanged(3) });
    holds_in_first_states("exchange by 2 coordinators", &scenario, 6_000);
}

#[test]
fn one_change_of_members_follows_another() {
    let scenario = Scenario { machines: 5, membership_change: change(Some(2), &[3, 4]), ..exchanged(3) };
    let name = "1 exchanged, then 1 added, 1 change";
    holds_in_first_states(name, &acknowledged_on(&[1, 2], one_change(scenario)), 6_000);
}

#[test]
fn two_changes_during_a_change_of_members() {
    let proposers = vec![proposer(&[Write(1)], 1), proposer(&[Write(2)], 1)];
    let scenario = Scenario { proposers, ..exchanged(3) };
    holds_in_first_states("3 members, 1 exchanged, 1 + 1 changes", &scenario, 6_000);
}
