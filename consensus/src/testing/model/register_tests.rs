//! Explorations of a membership whose members stay.
use super::machines::MachineSet;
use super::runs::{holds_in_every_state, holds_in_first_states, members_only, proposer};
use super::scenario::{Operation, Scenario};
use Operation::{Read, Write};

#[test]
fn two_proposers_change_one_key() {
    let proposers = vec![proposer(&[Write(1)], 1), proposer(&[Write(2)], 1)];
    holds_in_every_state("3 members, 1 + 1 changes", &Scenario { proposers, ..members_only(3) });
}

#[test]
fn an_owner_changes_its_key_again_while_another_takes_it_over() {
    let proposers = vec![proposer(&[Write(1), Write(3)], 2), proposer(&[Write(2)], 1)];
    holds_in_every_state("3 members, 2 + 1 changes", &Scenario { proposers, ..members_only(3) });
}

#[test]
fn a_change_that_was_given_up_is_tried_again() {
    let proposers = vec![proposer(&[Write(1)], 2), proposer(&[Write(2)], 1)];
    holds_in_every_state("3 members, 1 + 1 changes, one retried", &Scenario { proposers, ..members_only(3) });
}

#[test]
fn two_owners_take_the_key_from_each_other() {
    let proposers = vec![proposer(&[Write(1), Write(3)], 2), proposer(&[Write(2), Write(4)], 2)];
    holds_in_first_states("3 members, 2 + 2 changes", &Scenario { proposers, ..members_only(3) }, 8_000);
}

#[test]
fn a_change_sent_to_two_proposers_is_made_once_and_a_read_sees_it() {
    let proposers = vec![proposer(&[Write(1), Read], 2), proposer(&[Write(1)], 1)];
    holds_in_every_state("3 members, one change sent twice, a read", &Scenario { proposers, ..members_only(3) });
}

#[test]
fn a_proposer_that_restarts_acts_under_new_proposal_numbers() {
    let proposers = vec![proposer(&[Write(1)], 2), proposer(&[Write(2)], 1)];
    let scenario = Scenario { proposers, restarts: 1, ..members_only(3) };
    holds_in_first_states("3 members, 1 + 1 changes, 1 restart", &scenario, 8_000);
}

#[test]
fn an_acceptor_that_lost_its_disk_votes_on_nothing_that_it_forgot() {
    let proposers = vec![proposer(&[Write(1)], 1), proposer(&[Write(2)], 1)];
    let scenario = Scenario { proposers, wipes: 1, ..members_only(3) };
    holds_in_first_states("3 members, 1 + 1 changes, 1 lost disk", &scenario, 8_000);
}

#[test]
fn disks_are_lost_one_after_the_other() {
    let earlier_operation = Some((Write(9), MachineSet::from_iter([0, 1])));
    let proposers = vec![proposer(&[Write(1)], 1)];
    let scenario =
        Scenario { proposers, earlier_operation, wipes: 3, interchangeable: vec![vec![0, 1, 2]], ..members_only(3) };
    holds_in_first_states("3 members, 1 change by the owner, 3 lost disks", &scenario, 8_000);
}

#[test]
fn five_members_bear_two_disks_lost_at_once() {
    let earlier_operation = Some((Write(9), MachineSet::from_iter([0, 1, 2])));
    let proposers = vec![proposer(&[Write(1)], 1)];
    let scenario = Scenario { proposers, earlier_operation, wipes: 2, ..members_only(5) };
    holds_in_first_states("5 members, 1 change by the owner, 2 lost disks", &scenario, 5_000);
}

#[test]
fn four_and_five_members_hold_as_three_do() {
    for members in [4, 5] {
        let proposers = vec![proposer(&[Write(1)], 1), proposer(&[Write(2)], 1)];
        let name = format!("{members} members, 1 + 1 changes");
        holds_in_first_states(&name, &Scenario { proposers, ..members_only(members) }, 8_000);
    }
}
