//! Voters that changes of the members concern.

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

fn voter(machine: usize) -> Acceptor {
    Acceptor { membership: four(), may_vote: true, ..Acceptor::new(&address(machine)) }
}

fn entry(body: Vec<u8>) -> Entry {
    Entry { proposal_number: ProposalNumber { term: 1, replica_id: 1 }, index: 1, body }
}

fn accept(voter: &mut Acceptor, core: CoreMembership, key: &str, body: Vec<u8>) {
    let ask = ConsensusOperation::Accept { key: key.into(), entry: entry(body) };
    assert_eq!(voter.handle(ConsensusRequest { membership: core, operation: ask }).0, ConsensusResponse::Accepted);
}

fn whole(voter: &mut Acceptor, core: CoreMembership) -> Vec<RegisterState> {
    match voter.handle(ConsensusRequest { membership: core, operation: ConsensusOperation::Snapshot }).0 {
        ConsensusResponse::Snapshot { registers } => registers,
        other => panic!("{other:?}"),
    }
}

/// All four voters; the core of three was committed on the disks of the first three.
fn voters_as_one_is_removed() -> Vec<Acceptor> {
    let mut voters: Vec<Acceptor> = (0..4).map(voter).collect();
    for voter in &mut voters[..3] {
        accept(voter, four(), MEMBERSHIP_KEY, encode_membership(&three()));
    }
    voters
}

#[test]
fn one_that_is_no_member_any_more_says_what_it_holds() {
    let mut leaving = voter(3);
    accept(&mut leaving, four(), KEY, b"x".to_vec());
    let (vote, _) = leaving.handle(ConsensusRequest { membership: three(), operation: ConsensusOperation::Positions });
    let position = Position { proposal_number: entry(Vec::new()).proposal_number, index: 1 };
    assert_eq!(vote, ConsensusResponse::Positions { positions: vec![KeyPosition { key: KEY.into(), position }] });
    let (vote, _) = leaving.handle(ConsensusRequest {
        membership: three(),
        operation: ConsensusOperation::Prepare { key: KEY.into(), proposal_number: ProposalNumber::default() },
    });
    assert_eq!(vote, ConsensusResponse::NonVoting, "it votes no more");
}

#[test]
fn one_without_memory_says_nothing_of_places() {
    let mut wiped = Acceptor { membership: four(), ..Acceptor::new(&address(0)) };
    assert_eq!(
        wiped.handle(ConsensusRequest { membership: four(), operation: ConsensusOperation::Positions }).0,
        ConsensusResponse::NonVoting
    );
}

/// Two of three are a quorum of the new core, and no majority of the four before.
#[test]
fn a_voter_without_memory_waits_while_a_newer_core_may_be_committed() {
    let mut voters = voters_as_one_is_removed();
    for voter in &mut voters[..2] {
        accept(voter, three(), KEY, b"acknowledged".to_vec());
    }
    let mut wiped = Acceptor { membership: four(), ..Acceptor::new(&address(0)) };
    assert!(wiped.has_enough_reads(&[address(2), address(3)]));
    let reads = vec![whole(&mut voters[2], four()), whole(&mut voters[3], four())];
    assert_eq!(wiped.recover(reads), None);
    assert!(!wiped.may_vote);

    // Told of the new core, it reads those who voted under it.
    wiped.adopt_membership(&three());
    assert!(!wiped.has_enough_reads(&[address(2), address(3)]));
    let reads = (1..4).map(|machine| whole(&mut voters[machine], three())).collect();
    let records = wiped.recover(reads).expect("enough");
    assert_eq!(wiped.registers[KEY].entry, Some(entry(b"acknowledged".to_vec())));
    assert_eq!(records.last(), Some(&LogRecord::VotingEnabled));
}

#[test]
fn a_core_that_is_known_keeps_no_voter_without_memory_waiting() {
    let mut voters = voters_as_one_is_removed();
    let mut wiped = Acceptor { membership: three(), ..Acceptor::new(&address(0)) };
    let reads = (1..4).map(|machine| whole(&mut voters[machine], three())).collect();
    assert!(wiped.recover(reads).is_some());
}
