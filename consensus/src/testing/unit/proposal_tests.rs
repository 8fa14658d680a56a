//! Tests of a proposal with acceptors that respond in the order set by the test.

use protocol::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Member, ProposalNumber,
};

use super::{Decision, Progress, Proposal};
use crate::acceptor::Acceptor;
use crate::round::Ownership;
use crate::ROUND_TIMEOUT_MS;

const KEY: &str = "config";

fn membership(size: usize) -> CoreMembership {
    let list = (0..size).map(|index| Member { ip: address(index), zone: String::new() }).collect();
    CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true }
}

fn address(index: usize) -> String {
    format!("10.0.0.{index}")
}

fn acceptors(size: usize) -> Vec<Acceptor> {
    let acceptor =
        |index: usize| Acceptor { membership: membership(size), may_vote: true, ..Acceptor::new(&address(index)) };
    (0..size).map(acceptor).collect()
}

fn respond(acceptor: &mut Acceptor, operation: &ConsensusOperation) -> ConsensusResponse {
    let membership = acceptor.membership.clone();
    acceptor.handle(ConsensusRequest { membership, operation: operation.clone() }).0
}

fn proposal_number(term: u64) -> ProposalNumber {
    ProposalNumber { term, replica_id: 1 }
}

/// Decides to write this body, whatever is committed.
fn write(body: &'static str) -> impl FnMut(&[u8]) -> Decision<&'static str> {
    move |_| Decision::Write(body.into(), body)
}

/// Decides to answer with the committed body.
fn read() -> impl FnMut(&[u8]) -> Decision<String> {
    |body| Decision::Answer(String::from_utf8_lossy(body).into_owned())
}

/// Runs a proposal with these acceptors, which respond to each request one after another.
fn run<T>(
    acceptors: &mut [Acceptor],
    ownership: Option<Ownership>,
    term: u64,
    decide: &mut impl FnMut(&[u8]) -> Decision<T>,
) -> Progress<T> {
    let (mut proposal, mut request) = Proposal::start(KEY, &membership(3), ownership, proposal_number(term), decide, 0);
    loop {
        let mut next = None;
        for acceptor in acceptors.iter_mut() {
            let response = respond(acceptor, &request);
            match proposal.handle_response(&acceptor.ip.clone(), response, decide, 1) {
                Progress::Wait => {}
                Progress::Send(operation) => {
                    next = Some(operation);
                    break;
                }
                outcome => return outcome,
            }
        }
        let Some(operation) = next else { return Progress::Wait };
        request = operation;
    }
}

fn ownership<T>(progress: Progress<T>) -> Ownership {
    let Progress::Finished { ownership: owner, .. } = progress else { panic!("the proposal has not finished") };
    owner
}

#[test]
fn a_change_committed_by_a_quorum_is_read_by_the_next_proposal() {
    let mut acceptors = acceptors(3);
    let write_progress = run(&mut acceptors[..2], None, 1, &mut write("a"));
    assert!(matches!(write_progress, Progress::Finished { answer: "a", written: true, .. }));
    let read_progress = run(&mut acceptors[1..], None, 2, &mut read());
    assert!(matches!(read_progress, Progress::Finished { answer, written: false, .. } if answer == "a"));
}

#[test]
fn a_proposal_does_not_finish_without_a_quorum() {
    let mut acceptors = acceptors(3);
    assert_eq!(run(&mut acceptors[..1], None, 1, &mut write("a")), Progress::Wait);
    assert!(matches!(run(&mut acceptors[..1], None, 2, &mut read()), Progress::Wait));
}

#[test]
fn an_owner_that_was_superseded_neither_answers_from_memory_nor_commits() {
    let mut acceptors = acceptors(3);
    let old_ownership = ownership(run(&mut acceptors, None, 1, &mut write("a")));
    ownership(run(&mut acceptors, None, 2, &mut write("b")));
    // It reads at a quorum again before it answers.
    let read_progress = run(&mut acceptors, Some(old_ownership.clone()), 3, &mut read());
    assert!(matches!(read_progress, Progress::Finished { answer, .. } if answer == "b"));
    // Its own next change is rejected by the first acceptor that prepared a higher proposal number.
    assert_eq!(run(&mut acceptors, Some(old_ownership), 4, &mut write("c")), Progress::Superseded(proposal_number(3)));
}

#[test]
fn an_owner_under_an_older_membership_claims_the_key_again() {
    let mut acceptors = acceptors(3);
    let mut old_ownership = ownership(run(&mut acceptors, None, 1, &mut write("a")));
    old_ownership.membership_version = 0;
    let (_, request) =
        Proposal::start(KEY, &membership(3), Some(old_ownership), proposal_number(5), &mut write("b"), 0);
    assert_eq!(request, ConsensusOperation::Prepare { key: KEY.into(), proposal_number: proposal_number(5) });
}

#[test]
fn responses_after_the_deadline_do_not_count() {
    let mut acceptors = acceptors(3);
    let (mut proposal, request) = Proposal::start(KEY, &membership(3), None, proposal_number(1), &mut write("a"), 0);
    for acceptor in &mut acceptors {
        let response = respond(acceptor, &request);
        assert_eq!(proposal.handle_response(&acceptor.ip, response, &mut write("a"), ROUND_TIMEOUT_MS), Progress::Wait);
    }
    assert!(proposal.is_expired(ROUND_TIMEOUT_MS));
}

#[test]
fn an_acceptor_that_responds_twice_counts_once() {
    let mut acceptors = acceptors(3);
    let (mut proposal, request) = Proposal::start(KEY, &membership(3), None, proposal_number(1), &mut write("a"), 0);
    for _ in 0..2 {
        let response = respond(&mut acceptors[0], &request);
        let response = if let ConsensusResponse::Rejected { .. } = response {
            ConsensusResponse::Prepared { entry: None }
        } else {
            response
        };
        assert_eq!(proposal.handle_response(&address(0), response, &mut write("a"), 1), Progress::Wait);
    }
}
