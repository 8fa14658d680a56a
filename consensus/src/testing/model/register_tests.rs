//! Explorations of a register under a stable membership.
use super::machines::MachineSet;
use super::runs::{check_every_state, check_first_states, members_only, workload};
use super::scenario::{Operation, Scenario};
use Operation::{Read, Write};

#[test]
fn agreement_holds_when_two_proposers_write_one_key() {
    let proposers = vec![workload(&[Write(1)], 1), workload(&[Write(2)], 1)];
    check_every_state("3 members, 1 + 1 changes", &Scenario { proposers, ..members_only(3) });
}

#[test]
fn agreement_holds_when_an_owner_writes_again_during_a_takeover() {
    let proposers = vec![workload(&[Write(1), Write(3)], 2), workload(&[Write(2)], 1)];
    check_every_state("3 members, 2 + 1 changes", &Scenario { proposers, ..members_only(3) });
}

#[test]
fn agreement_holds_when_an_abandoned_write_is_retried() {
    let proposers = vec![workload(&[Write(1)], 2), workload(&[Write(2)], 1)];
    check_every_state("3 members, 1 + 1 changes, 1 retried", &Scenario { proposers, ..members_only(3) });
}

#[test]
fn agreement_holds_when_two_owners_take_over_from_each_other() {
    let proposers = vec![workload(&[Write(1), Write(3)], 2), workload(&[Write(2), Write(4)], 2)];
    check_first_states("3 members, 2 + 2 changes", &Scenario { proposers, ..members_only(3) }, 8_000);
}

#[test]
fn a_write_sent_to_two_proposers_is_applied_once_and_visible_to_a_read() {
    let proposers = vec![workload(&[Write(1), Read], 2), workload(&[Write(1)], 1)];
    check_every_state("3 members, 1 change sent twice, 1 read", &Scenario { proposers, ..members_only(3) });
}

#[test]
fn a_restarted_proposer_uses_new_proposal_numbers() {
    let proposers = vec![workload(&[Write(1)], 2), workload(&[Write(2)], 1)];
    let scenario = Scenario { proposers, restarts: 1, ..members_only(3) };
    check_first_states("3 members, 1 + 1 changes, 1 restart", &scenario, 8_000);
}

#[test]
fn agreement_holds_when_an_acceptor_loses_its_disk() {
    let proposers = vec![workload(&[Write(1)], 1), workload(&[Write(2)], 1)];
    let scenario = Scenario { proposers, wipes: 1, ..members_only(3) };
    check_first_states("3 members, 1 + 1 changes, 1 lost disk", &scenario, 8_000);
}

#[test]
fn agreement_holds_when_disks_are_lost_one_after_another() {
    let earlier_operation = Some((Write(9), MachineSet::from_iter([0, 1])));
    let proposers = vec![workload(&[Write(1)], 1)];
    let scenario =
        Scenario { proposers, earlier_operation, wipes: 3, interchangeable: vec![vec![0, 1, 2]], ..members_only(3) };
    check_first_states("3 members, 1 change by the owner, 3 lost disks", &scenario, 8_000);
}

#[test]
fn agreement_holds_when_two_of_five_members_lose_their_disks() {
    let earlier_operation = Some((Write(9), MachineSet::from_iter([0, 1, 2])));
    let proposers = vec![workload(&[Write(1)], 1)];
    let scenario = Scenario { proposers, earlier_operation, wipes: 2, ..members_only(5) };
    check_first_states("5 members, 1 change by the owner, 2 lost disks", &scenario, 5_000);
}

#[test]
fn agreement_holds_with_four_and_five_members() {
    for members in [4, 5] {
        let proposers = vec![workload(&[Write(1)], 1), workload(&[Write(2)], 1)];
        let name = format!("{members} members, 1 + 1 changes");
        check_first_states(&name, &Scenario { proposers, ..members_only(members) }, 8_000);
    }
}
