//! Acceptors during changes of the members.

use protocol::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Entry, KeyPosition, Member, Position,
    ProposalNumber, RegisterState,
};

use super::{Acceptor, LogRecord};
use crate::{encode_membership, MEMBERSHIP_KEY};

const KEY: &str = "config";

fn address(machine: usize) -> String {
    format!("10.0.0.{machine}")
}

fn members(machines: &[usize]) -> Vec<Member> {
    machines.iter().map(|machine| Member { ip: address(*machine), zone: String::new() }).collect()
}

/// Four members, before the last of them is removed.
fn four() -> CoreMembership {
    CoreMembership { version: 1, members: members(&[0, 1, 2, 3]), previous_members: Vec::new(), stable: true }
}

fn three() -> CoreMembership {
    CoreMembership { version: 2, members: members(&[0, 1, 2]), previous_members: four().members, stable: false }
}

fn acceptor(machine: usize) -> Acceptor {
    Acceptor { membership: four(), may_vote: true, ..Acceptor::new(&address(machine)) }
}

fn entry(body: Vec<u8>) -> Entry {
    Entry { proposal_number: ProposalNumber { term: 1, replica_id: 1 }, index: 1, body }
}

fn accept(acceptor: &mut Acceptor, membership: CoreMembership, key: &str, body: Vec<u8>) {
    let operation = ConsensusOperation::Accept { key: key.into(), entry: entry(body) };
    assert_eq!(acceptor.handle(ConsensusRequest { membership, operation }).0, ConsensusResponse::Accepted);
}

fn snapshot(acceptor: &mut Acceptor, membership: CoreMembership) -> Vec<RegisterState> {
    match acceptor.handle(ConsensusRequest { membership, operation: ConsensusOperation::Snapshot }).0 {
        ConsensusResponse::Snapshot { registers } => registers,
        other => panic!("{other:?}"),
    }
}

/// All four acceptors; the membership of three was committed on the disks of the first three.
fn acceptors_as_one_is_removed() -> Vec<Acceptor> {
    let mut acceptors: Vec<Acceptor> = (0..4).map(acceptor).collect();
    for acceptor in &mut acceptors[..3] {
        accept(acceptor, four(), MEMBERSHIP_KEY, encode_membership(&three()));
    }
    acceptors
}

#[test]
fn one_that_is_no_member_any_more_says_what_it_holds() {
    let mut leaving = acceptor(3);
    accept(&mut leaving, four(), KEY, b"x".to_vec());
    let (response, _) =
        leaving.handle(ConsensusRequest { membership: three(), operation: ConsensusOperation::Positions });
    let position = Position { proposal_number: entry(Vec::new()).proposal_number, index: 1 };
    assert_eq!(response, ConsensusResponse::Positions { positions: vec![KeyPosition { key: KEY.into(), position }] });
    let (response, _) = leaving.handle(ConsensusRequest {
        membership: three(),
        operation: ConsensusOperation::Prepare { key: KEY.into(), proposal_number: ProposalNumber::default() },
    });
    assert_eq!(response, ConsensusResponse::NonVoting, "it votes no more");
}

#[test]
fn an_acceptor_in_recovery_reports_no_positions() {
    let mut wiped = Acceptor { membership: four(), ..Acceptor::new(&address(0)) };
    assert_eq!(
        wiped.handle(ConsensusRequest { membership: four(), operation: ConsensusOperation::Positions }).0,
        ConsensusResponse::NonVoting
    );
}

/// Two of three are a quorum of the new membership, and no majority of the four before.
#[test]
fn an_acceptor_in_recovery_waits_while_a_newer_membership_may_be_committed() {
    let mut acceptors = acceptors_as_one_is_removed();
    for acceptor in &mut acceptors[..2] {
        accept(acceptor, three(), KEY, b"acknowledged".to_vec());
    }
    let mut wiped = Acceptor { membership: four(), ..Acceptor::new(&address(0)) };
    assert!(wiped.has_enough_reads(&[address(2), address(3)]));
    let reads = vec![snapshot(&mut acceptors[2], four()), snapshot(&mut acceptors[3], four())];
    assert_eq!(wiped.recover(reads), None);
    assert!(!wiped.may_vote);

    // Notified of the new membership, it reads those that responded under it.
    wiped.adopt_membership(&three());
    assert!(!wiped.has_enough_reads(&[address(2), address(3)]));
    let reads = (1..4).map(|machine| snapshot(&mut acceptors[machine], three())).collect();
    let records = wiped.recover(reads).expect("enough");
    assert_eq!(wiped.registers[KEY].entry, Some(entry(b"acknowledged".to_vec())));
    assert_eq!(records.last(), Some(&LogRecord::VotingEnabled));
}

#[test]
fn a_membership_that_is_known_keeps_no_acceptor_in_recovery_waiting() {
    let mut acceptors = acceptors_as_one_is_removed();
    let mut wiped = Acceptor { membership: three(), ..Acceptor::new(&address(0)) };
    let reads = (1..4).map(|machine| snapshot(&mut acceptors[machine], three())).collect();
    assert!(wiped.recover(reads).is_some());
}
