//! Defects that are injected on purpose: a check that can't fail shows nothing.
use super::machines::MachineSet;
use super::runs::{finds, members_only, proposer};
use super::scenario::{Defect, MembershipChange, Operation, Scenario};
use super::violation::Violation;
use Operation::{Read, Write};

fn is_lost(violation: &Violation) -> bool {
    matches!(violation, Violation::Lost { .. })
}

fn two_changes(defect: Defect) -> Scenario {
    let proposers = vec![proposer(&[Write(1)], 1), proposer(&[Write(2)], 1)];
    Scenario { proposers, defect: Some(defect), ..members_only(3) }
}

fn exchange(defect: Defect) -> Scenario {
    let membership_change = Some(MembershipChange { leaving: Some(2), candidates: vec![3], coordinators: 1 });
    let earlier_operation = Some((Write(9), MachineSet::from_iter([1, 2])));
    Scenario {
        machines: 4,
        membership_change,
        earlier_operation,
        defect: Some(defect),
        interchangeable: Vec::new(),
        ..members_only(3)
    }
}

#[test]
fn a_quorum_one_short_is_found() {
    let found = finds("quorum one short", &two_changes(Defect::QuorumOneShort));
    assert!(is_lost(&found.violation), "{:?}", found.trace);
}

#[test]
fn an_old_proposal_number_that_is_accepted_is_found() {
    let found = finds("old proposal accepted", &two_changes(Defect::OldProposalAccepted));
    assert!(is_lost(&found.violation), "{:?}", found.trace);
}

#[test]
fn a_response_that_is_not_on_disk_is_found() {
    let found = finds("response before sync", &two_changes(Defect::ResponseBeforeSync));
    assert_eq!(found.violation, Violation::NotSynced);
}

#[test]
fn a_proposal_number_used_in_two_incarnations_is_found() {
    let scenario = Scenario { restarts: 1, ..two_changes(Defect::ProposalNumbersReused) };
    let proposers = vec![proposer(&[Write(1)], 2)];
    let found = finds("proposal numbers reused", &Scenario { proposers, ..scenario });
    assert!(matches!(found.violation, Violation::ConflictingOwners { .. }), "{:?}", found.trace);
}

#[test]
fn a_read_from_memory_is_found() {
    let proposers = vec![proposer(&[Write(1), Read], 2), proposer(&[Write(2)], 1)];
    let found = finds("read from memory", &Scenario { proposers, ..two_changes(Defect::ReadFromMemory) });
    assert!(is_lost(&found.violation), "{:?}", found.trace);
}

#[test]
fn a_wiped_acceptor_that_votes_at_once_is_found() {
    let scenario = Scenario { wipes: 1, ..two_changes(Defect::WipedVotesAtOnce) };
    assert!(is_lost(&finds("wiped acceptor votes at once", &scenario).violation));
}

#[test]
fn a_wiped_acceptor_that_reads_before_the_rounds_that_counted_its_responses_are_over_is_found() {
    let proposers = vec![proposer(&[Write(1)], 1)];
    let scenario = Scenario { wipes: 1, proposers, ..two_changes(Defect::RecoveryWithoutDelay) };
    assert!(is_lost(&finds("wiped acceptor reads at once", &scenario).violation));
}

#[test]
fn an_exchange_without_joint_quorums_is_found() {
    assert!(is_lost(&finds("no joint quorums", &exchange(Defect::NoJointQuorums)).violation));
}

#[test]
fn an_exchange_stabilized_without_committing_the_keys_again_is_found() {
    assert!(is_lost(&finds("stabilized without recommit", &exchange(Defect::StabilizedWithoutRecommit)).violation));
}
