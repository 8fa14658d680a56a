//! Tests of acceptors during membership changes.

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

/// The membership of four, before the last member is removed.
fn four_members() -> CoreMembership {
    CoreMembership { version: 1, members: members(&[0, 1, 2, 3]), previous_members: Vec::new(), stable: true }
}

/// The joint membership of three, without the last member.
fn three_members() -> CoreMembership {
    CoreMembership { version: 2, members: members(&[0, 1, 2]), previous_members: four_members().members, stable: false }
}

fn acceptor(machine: usize) -> Acceptor {
    Acceptor { membership: four_members(), may_vote: true, ..Acceptor::new(&address(machine)) }
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

/// Returns all four acceptors. The membership of three was committed on the disks of the first three.
fn acceptors_during_a_removal() -> Vec<Acceptor> {
    let mut acceptors: Vec<Acceptor> = (0..4).map(acceptor).collect();
    for acceptor in &mut acceptors[..3] {
        accept(acceptor, four_members(), MEMBERSHIP_KEY, encode_membership(&three_members()));
    }
    acceptors
}

#[test]
fn a_removed_member_reports_its_positions_but_does_not_vote() {
    let mut leaving = acceptor(3);
    accept(&mut leaving, four_members(), KEY, b"x".to_vec());
    let (response, _) =
        leaving.handle(ConsensusRequest { membership: three_members(), operation: ConsensusOperation::Positions });
    let position = Position { proposal_number: entry(Vec::new()).proposal_number, index: 1 };
    assert_eq!(response, ConsensusResponse::Positions { positions: vec![KeyPosition { key: KEY.into(), position }] });
    let (response, _) = leaving.handle(ConsensusRequest {
        membership: three_members(),
        operation: ConsensusOperation::Prepare { key: KEY.into(), proposal_number: ProposalNumber::default() },
    });
    assert_eq!(response, ConsensusResponse::NonVoting, "it no longer votes");
}

#[test]
fn an_acceptor_in_recovery_reports_no_positions() {
    let mut wiped = Acceptor { membership: four_members(), ..Acceptor::new(&address(0)) };
    assert_eq!(
        wiped.handle(ConsensusRequest { membership: four_members(), operation: ConsensusOperation::Positions }).0,
        ConsensusResponse::NonVoting
    );
}

/// Two acceptors are a quorum of the three new members, but not a majority of the four previous ones.
#[test]
fn recovery_does_not_end_while_a_newer_membership_may_be_committed() {
    let mut acceptors = acceptors_during_a_removal();
    for acceptor in &mut acceptors[..2] {
        accept(acceptor, three_members(), KEY, b"acknowledged".to_vec());
    }
    let mut wiped = Acceptor { membership: four_members(), ..Acceptor::new(&address(0)) };
    assert!(wiped.has_enough_reads(&[address(2), address(3)]));
    let reads = vec![snapshot(&mut acceptors[2], four_members()), snapshot(&mut acceptors[3], four_members())];
    assert_eq!(wiped.recover(reads), None);
    assert!(!wiped.may_vote);

    // Once notified of the new membership, it reads acceptors that responded under it.
    wiped.adopt_membership(&three_members());
    assert!(!wiped.has_enough_reads(&[address(2), address(3)]));
    let reads = (1..4).map(|machine| snapshot(&mut acceptors[machine], three_members())).collect();
    let records = wiped.recover(reads).expect("enough acceptors were read");
    assert_eq!(wiped.registers[KEY].entry, Some(entry(b"acknowledged".to_vec())));
    assert_eq!(records.last(), Some(&LogRecord::VotingEnabled));
}

#[test]
fn recovery_ends_if_the_accepted_membership_is_already_known() {
    let mut acceptors = acceptors_during_a_removal();
    let mut wiped = Acceptor { membership: three_members(), ..Acceptor::new(&address(0)) };
    let reads = (1..4).map(|machine| snapshot(&mut acceptors[machine], three_members())).collect();
    assert!(wiped.recover(reads).is_some());
}
