//! One proposal against acceptors that answer in the order a test says.

use protocol::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Member, ProposalNumber,
};

use super::{Decision, Progress, Proposal};
use crate::acceptor::Acceptor;
use crate::round::Ownership;
use crate::ROUND_TIMEOUT_MS;

const KEY: &str = "config";

fn membership(size: usize) -> CoreMembership {
    let list = (0..size).map(|at| Member { ip: address(at), zone: String::new() }).collect();
    CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true }
}

fn address(at: usize) -> String {
    format!("10.0.0.{at}")
}

fn acceptors(size: usize) -> Vec<Acceptor> {
    let acceptor = |at: usize| Acceptor { membership: membership(size), may_vote: true, ..Acceptor::new(&address(at)) };
    (0..size).map(acceptor).collect()
}

fn respond(acceptor: &mut Acceptor, operation: &ConsensusOperation) -> ConsensusResponse {
    let membership = acceptor.membership.clone();
    acceptor.handle(ConsensusRequest { membership, operation: operation.clone() }).0
}

fn proposal_number(term: u64) -> ProposalNumber {
    ProposalNumber { term, replica_id: 1 }
}

/// Writes this body whatever is committed.
fn write(body: &'static str) -> impl FnMut(&[u8]) -> Decision<&'static str> {
    move |_| Decision::Write(body.into(), body)
}

/// Answers with what is committed.
fn read() -> impl FnMut(&[u8]) -> Decision<String> {
    |body| Decision::Answer(String::from_utf8_lossy(body).into_owned())
}

/// Runs a proposal against these acceptors, which all answer each request in turn.
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
                over => return over,
            }
        }
        let Some(operation) = next else { return Progress::Wait };
        request = operation;
    }
}

fn owner<T>(progress: Progress<T>) -> Ownership {
    let Progress::Finished { ownership: owner, .. } = progress else { panic!("finished") };
    owner
}

#[test]
fn a_change_is_committed_on_a_quorum_and_read_by_the_next() {
    let mut all = acceptors(3);
    let done = run(&mut all[..2], None, 1, &mut write("a"));
    assert!(matches!(done, Progress::Finished { answer: "a", written: true, .. }));
    let seen = run(&mut all[1..], None, 2, &mut read());
    assert!(matches!(seen, Progress::Finished { answer, written: false, .. } if answer == "a"));
}

#[test]
fn nothing_is_answered_and_nothing_committed_without_a_quorum() {
    let mut all = acceptors(3);
    assert_eq!(run(&mut all[..1], None, 1, &mut write("a")), Progress::Wait);
    assert!(matches!(run(&mut all[..1], None, 2, &mut read()), Progress::Wait));
}

#[test]
fn an_owner_that_was_superseded_neither_answers_from_memory_nor_commits() {
    let mut all = acceptors(3);
    let old = owner(run(&mut all, None, 1, &mut write("a")));
    owner(run(&mut all, None, 2, &mut write("b")));
    // It reads again before it answers.
    let seen = run(&mut all, Some(old.clone()), 3, &mut read());
    assert!(matches!(seen, Progress::Finished { answer, .. } if answer == "b"));
    // Its own next change is rejected by the first acceptor that prepared a higher proposal number.
    assert_eq!(run(&mut all, Some(old), 4, &mut write("c")), Progress::Superseded(proposal_number(3)));
}

#[test]
fn an_owner_under_an_older_membership_claims_the_key_anew() {
    let mut all = acceptors(3);
    let mut old = owner(run(&mut all, None, 1, &mut write("a")));
    old.membership_version = 0;
    let (_, request) = Proposal::start(KEY, &membership(3), Some(old), proposal_number(5), &mut write("b"), 0);
    assert_eq!(request, ConsensusOperation::Prepare { key: KEY.into(), proposal_number: proposal_number(5) });
}

#[test]
fn responses_that_come_after_the_deadline_do_not_count() {
    let mut all = acceptors(3);
    let (mut proposal, request) = Proposal::start(KEY, &membership(3), None, proposal_number(1), &mut write("a"), 0);
    for acceptor in &mut all {
        let response = respond(acceptor, &request);
        assert_eq!(proposal.handle_response(&acceptor.ip, response, &mut write("a"), ROUND_TIMEOUT_MS), Progress::Wait);
    }
    assert!(proposal.is_expired(ROUND_TIMEOUT_MS));
}

#[test]
fn an_acceptor_that_answers_twice_counts_once() {
    let mut all = acceptors(3);
    let (mut proposal, request) = Proposal::start(KEY, &membership(3), None, proposal_number(1), &mut write("a"), 0);
    for _ in 0..2 {
        let response = respond(&mut all[0], &request);
        let response = if let ConsensusResponse::Rejected { .. } = response {
            ConsensusResponse::Prepared { entry: None }
        } else {
            response
        };
        assert_eq!(proposal.handle_response(&address(0), response, &mut write("a"), 1), Progress::Wait);
    }
}
