//! Explorations of every kind of membership change that the controller makes.
use super::machines::MachineSet;
use super::runs::{check_every_state, check_first_states, members_only, workload};
use super::scenario::{IncompleteWrite, MembershipChange, Operation, Scenario};
use Operation::{Read, Write};

fn membership_change(leaving: Option<usize>, candidates: &[usize]) -> Option<MembershipChange> {
    Some(MembershipChange { leaving, candidates: candidates.to_vec(), coordinators: 1 })
}

/// A member that shuts down is replaced by a candidate.
fn replace_member(members: usize) -> Scenario {
    let membership_change = membership_change(Some(members - 1), &[members]);
    let interchangeable = vec![(0..members - 1).collect()];
    Scenario { machines: members + 1, membership_change, interchangeable, ..members_only(members) }
}

/// A candidate is added.
fn add_member(members: usize) -> Scenario {
    let membership_change = membership_change(None, &[members]);
    Scenario { machines: members + 1, membership_change, ..members_only(members) }
}

/// A member that shuts down is removed.
fn remove_member(members: usize) -> Scenario {
    let membership_change = membership_change(Some(members - 1), &[]);
    Scenario { membership_change, interchangeable: vec![(0..members - 1).collect()], ..members_only(members) }
}

fn with_one_write(scenario: Scenario) -> Scenario {
    Scenario { proposers: vec![workload(&[Write(1)], 1)], ..scenario }
}

fn with_one_lost_disk(scenario: Scenario) -> Scenario {
    Scenario { wipes: 1, ..scenario }
}

/// An acknowledged write is stored on these machines only.
fn with_acknowledged_write_on(machines: &[usize], scenario: Scenario) -> Scenario {
    Scenario { earlier_operation: Some((Write(9), MachineSet::from_iter(machines.iter().copied()))), ..scenario }
}

#[test]
fn agreement_holds_when_one_of_three_members_is_replaced_during_a_write() {
    check_every_state("3 members, 1 replaced, 1 change", &with_one_write(replace_member(3)));
}

#[test]
fn agreement_holds_when_a_fourth_member_is_added_during_a_write() {
    check_first_states("3 members, 1 added, 1 change", &with_one_write(add_member(3)), 8_000);
}

#[test]
fn agreement_holds_when_one_of_four_members_is_removed_during_a_write() {
    check_every_state("4 members, 1 removed, 1 change", &with_one_write(remove_member(4)));
}

#[test]
fn agreement_holds_when_larger_memberships_change_during_a_write() {
    check_first_states("4 members, 1 replaced, 1 change", &with_one_write(replace_member(4)), 3_000);
    check_first_states("4 members, 1 added, 1 change", &with_one_write(add_member(4)), 3_000);
    check_first_states("5 members, 1 replaced, 1 change", &with_one_write(replace_member(5)), 3_000);
    check_first_states("6 members, 1 removed, 1 change", &with_one_write(remove_member(6)), 3_000);
}

#[test]
fn agreement_holds_when_a_disk_is_lost_during_a_membership_change() {
    let scenarios = [
        ("3, 1 replaced", replace_member(3)),
        ("3, 1 added", add_member(3)),
        ("4, 1 removed", remove_member(4)),
        ("4, 1 added", add_member(4)),
    ];
    for (name, scenario) in scenarios {
        let name = format!("members {name}, 1 change, 1 lost disk");
        check_first_states(&name, &with_one_lost_disk(with_one_write(scenario)), 5_000);
    }
}

#[test]
fn an_entry_held_only_by_leaving_and_unreachable_members_is_committed_again() {
    check_every_state(
        "replacement, entry on the leaving member and one other",
        &with_acknowledged_write_on(&[1, 2], replace_member(3)),
    );
    check_every_state(
        "removal, entry on the leaving member and two others",
        &with_acknowledged_write_on(&[1, 2, 3], remove_member(4)),
    );
}

#[test]
fn an_acceptor_in_recovery_does_not_count_for_the_transition() {
    let name = "addition, entry on a lost disk and an unreachable member";
    check_first_states(name, &with_one_lost_disk(with_acknowledged_write_on(&[1, 2], add_member(3))), 20_000);
}

#[test]
fn a_leaving_member_that_lost_its_disk_does_not_count_for_the_transition() {
    let name = "replacement, entry on the leaving member, whose disk is lost, and one other";
    check_first_states(name, &with_one_lost_disk(with_acknowledged_write_on(&[0, 2], replace_member(3))), 20_000);
}

#[test]
fn a_notified_acceptor_that_lost_its_disk_does_not_count_for_the_transition() {
    let read_before = Some((Read, MachineSet::from_iter([0, 1])));
    let scenario = Scenario { earlier_operation: read_before, ..with_one_lost_disk(with_one_write(replace_member(3))) };
    let name = "replacement, first change by the owner, 1 notified member loses its disk";
    check_first_states(name, &scenario, 8_000);
}

#[test]
fn an_incomplete_write_before_a_membership_change_does_not_supersede_later_writes() {
    let incomplete =
        IncompleteWrite { prepared_by: [0, 2].into_iter().collect(), accepted_by: [0].into_iter().collect() };
    let scenario = Scenario { incomplete_write: Some(incomplete), ..with_one_write(replace_member(3)) };
    check_first_states("replacement, 1 incomplete write before it, 1 change", &scenario, 15_000);
}

#[test]
fn agreement_holds_when_two_coordinators_make_one_membership_change() {
    let membership_change =
        replace_member(3).membership_change.map(|change| MembershipChange { coordinators: 2, ..change });
    let scenario = with_acknowledged_write_on(&[1, 2], Scenario { membership_change, ..replace_member(3) });
    check_first_states("replacement by 2 coordinators", &scenario, 6_000);
}

#[test]
fn agreement_holds_when_one_membership_change_follows_another() {
    let scenario =
        Scenario { machines: 5, membership_change: membership_change(Some(2), &[3, 4]), ..replace_member(3) };
    let name = "1 replaced, then 1 added, 1 change";
    check_first_states(name, &with_acknowledged_write_on(&[1, 2], with_one_write(scenario)), 6_000);
}

#[test]
fn agreement_holds_when_two_writes_run_during_a_membership_change() {
    let proposers = vec![workload(&[Write(1)], 1), workload(&[Write(2)], 1)];
    let scenario = Scenario { proposers, ..replace_member(3) };
    check_first_states("3 members, 1 replaced, 1 + 1 changes", &scenario, 6_000);
}
