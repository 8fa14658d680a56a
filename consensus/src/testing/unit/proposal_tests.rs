//! One proposal against voters that answer in the order a test says.

use protocol::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Member, ProposalNumber,
};

use super::{Decision, Progress, Proposal};
use crate::acceptor::Acceptor;
use crate::round::Ownership;
use crate::ROUND_TIMEOUT_MS;

const KEY: &str = "config";

fn core(size: usize) -> CoreMembership {
    let list = (0..size).map(|at| Member { ip: address(at), zone: String::new() }).collect();
    CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true }
}

fn address(at: usize) -> String {
    format!("10.0.0.{at}")
}

fn voters(size: usize) -> Vec<Acceptor> {
    let voter = |at: usize| Acceptor { membership: core(size), may_vote: true, ..Acceptor::new(&address(at)) };
    (0..size).map(voter).collect()
}

fn ask(voter: &mut Acceptor, ask: &ConsensusOperation) -> ConsensusResponse {
    let core = voter.membership.clone();
    voter.handle(ConsensusRequest { membership: core, operation: ask.clone() }).0
}

fn ballot(turn: u64) -> ProposalNumber {
    ProposalNumber { term: turn, replica_id: 1 }
}

/// Writes this body whatever is committed.
fn write(body: &'static str) -> impl FnMut(&[u8]) -> Decision<&'static str> {
    move |_| Decision::Write(body.into(), body)
}

/// Answers with what is committed.
fn read() -> impl FnMut(&[u8]) -> Decision<String> {
    |body| Decision::Answer(String::from_utf8_lossy(body).into_owned())
}

/// Runs a proposal against these voters, who all answer each poll in turn.
fn run<T>(
    voters: &mut [Acceptor],
    held: Option<Ownership>,
    turn: u64,
    judge: &mut impl FnMut(&[u8]) -> Decision<T>,
) -> Progress<T> {
    let (mut proposal, mut poll) = Proposal::start(KEY, &core(3), held, ballot(turn), judge, 0);
    loop {
        let mut next = None;
        for voter in voters.iter_mut() {
            let vote = ask(voter, &poll);
            match proposal.handle_response(&voter.ip.clone(), vote, judge, 1) {
                Progress::Wait => {}
                Progress::Send(ask) => {
                    next = Some(ask);
                    break;
                }
                over => return over,
            }
        }
        let Some(ask) = next else { return Progress::Wait };
        poll = ask;
    }
}

fn owner<T>(progress: Progress<T>) -> Ownership {
    let Progress::Finished { ownership: owner, .. } = progress else { panic!("finished") };
    owner
}

#[test]
fn a_change_is_committed_on_a_quorum_and_read_by_the_next() {
    let mut all = voters(3);
    let done = run(&mut all[..2], None, 1, &mut write("a"));
    assert!(matches!(done, Progress::Finished { answer: "a", written: true, .. }));
    let seen = run(&mut all[1..], None, 2, &mut read());
    assert!(matches!(seen, Progress::Finished { answer, written: false, .. } if answer == "a"));
}

#[test]
fn nothing_is_answered_and_nothing_committed_without_a_quorum() {
    let mut all = voters(3);
    assert_eq!(run(&mut all[..1], None, 1, &mut write("a")), Progress::Wait);
    assert!(matches!(run(&mut all[..1], None, 2, &mut read()), Progress::Wait));
}

#[test]
fn an_owner_that_was_overtaken_neither_answers_from_its_memory_nor_commits() {
    let mut all = voters(3);
    let old = owner(run(&mut all, None, 1, &mut write("a")));
    owner(run(&mut all, None, 2, &mut write("b")));
    // It reads anew before it answers.
    let seen = run(&mut all, Some(old.clone()), 3, &mut read());
    assert!(matches!(seen, Progress::Finished { answer, .. } if answer == "b"));
    // Its own next change is refused by the first voter that promised a higher ballot.
    assert_eq!(run(&mut all, Some(old), 4, &mut write("c")), Progress::Superseded(ballot(3)));
}

#[test]
fn an_owner_under_an_older_core_claims_the_key_anew() {
    let mut all = voters(3);
    let mut old = owner(run(&mut all, None, 1, &mut write("a")));
    old.membership_version = 0;
    let (_, poll) = Proposal::start(KEY, &core(3), Some(old), ballot(5), &mut write("b"), 0);
    assert_eq!(poll, ConsensusOperation::Prepare { key: KEY.into(), proposal_number: ballot(5) });
}

#[test]
fn votes_that_come_after_the_deadline_do_not_count() {
    let mut all = voters(3);
    let (mut proposal, poll) = Proposal::start(KEY, &core(3), None, ballot(1), &mut write("a"), 0);
    for voter in &mut all {
        let vote = ask(voter, &poll);
        assert_eq!(proposal.handle_response(&voter.ip, vote, &mut write("a"), ROUND_TIMEOUT_MS), Progress::Wait);
    }
    assert!(proposal.is_expired(ROUND_TIMEOUT_MS));
}

#[test]
fn a_voter_that_answers_twice_counts_once() {
    let mut all = voters(3);
    let (mut proposal, poll) = Proposal::start(KEY, &core(3), None, ballot(1), &mut write("a"), 0);
    for _ in 0..2 {
        let vote = ask(&mut all[0], &poll);
        let vote = if let ConsensusResponse::Rejected { .. } = vote {
            ConsensusResponse::Prepared { entry: None }
        } else {
            vote
        };
        assert_eq!(proposal.handle_response(&address(0), vote, &mut write("a"), 1), Progress::Wait);
    }
}
