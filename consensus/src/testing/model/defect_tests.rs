//! Injected defects, each of which the exploration must find.
use super::machines::MachineSet;
use super::runs::{find_violation, members_only, workload};
use super::scenario::{Defect, MembershipChange, Operation, Scenario};
use super::violation::Violation;
use Operation::{Read, Write};

fn is_lost(violation: &Violation) -> bool {
    matches!(violation, Violation::Lost { .. })
}

fn two_writers(defect: Defect) -> Scenario {
    let proposers = vec![workload(&[Write(1)], 1), workload(&[Write(2)], 1)];
    Scenario { proposers, defect: Some(defect), ..members_only(3) }
}

fn replacement(defect: Defect) -> Scenario {
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
fn the_model_finds_a_quorum_that_is_one_response_short() {
    let found = find_violation("quorum one short", &two_writers(Defect::QuorumOneShort));
    assert!(is_lost(&found.violation), "{:?}", found.trace);
}

#[test]
fn the_model_finds_an_acceptor_that_accepts_an_old_proposal_number() {
    let found = find_violation("old proposal accepted", &two_writers(Defect::OldProposalAccepted));
    assert!(is_lost(&found.violation), "{:?}", found.trace);
}

#[test]
fn the_model_finds_a_response_sent_before_its_sync() {
    let found = find_violation("response before sync", &two_writers(Defect::ResponseBeforeSync));
    assert_eq!(found.violation, Violation::NotSynced);
}

#[test]
fn the_model_finds_a_proposal_number_used_by_two_incarnations() {
    let scenario = Scenario { restarts: 1, ..two_writers(Defect::ProposalNumbersReused) };
    let proposers = vec![workload(&[Write(1)], 2)];
    let found = find_violation("proposal numbers reused", &Scenario { proposers, ..scenario });
    assert!(matches!(found.violation, Violation::ConflictingOwners { .. }), "{:?}", found.trace);
}

#[test]
fn the_model_finds_a_read_answered_from_memory() {
    let proposers = vec![workload(&[Write(1), Read], 2), workload(&[Write(2)], 1)];
    let found = find_violation("read from memory", &Scenario { proposers, ..two_writers(Defect::ReadFromMemory) });
    assert!(is_lost(&found.violation), "{:?}", found.trace);
}

#[test]
fn the_model_finds_a_wiped_acceptor_that_votes_at_once() {
    let scenario = Scenario { wipes: 1, ..two_writers(Defect::WipedVotesAtOnce) };
    assert!(is_lost(&find_violation("wiped acceptor votes at once", &scenario).violation));
}

#[test]
fn the_model_finds_a_wiped_acceptor_that_recovers_without_delay() {
    let proposers = vec![workload(&[Write(1)], 1)];
    let scenario = Scenario { wipes: 1, proposers, ..two_writers(Defect::RecoveryWithoutDelay) };
    assert!(is_lost(&find_violation("wiped acceptor reads at once", &scenario).violation));
}

#[test]
fn the_model_finds_a_replacement_without_joint_quorums() {
    assert!(is_lost(&find_violation("no joint quorums", &replacement(Defect::NoJointQuorums)).violation));
}

#[test]
fn the_model_finds_a_replacement_stabilized_without_recommit() {
    assert!(is_lost(
        &find_violation("stabilized without recommit", &replacement(Defect::StabilizedWithoutRecommit)).violation
    ));
}
