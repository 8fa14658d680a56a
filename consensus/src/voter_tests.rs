//! Voters that changes of the members concern.

use protocol::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Entry, Member, ProposalNumber,
    RegisterState,
};

use super::{LogRecord, Voter};
use crate::{core_body, CORE};

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

fn voter(machine: usize) -> Voter {
    Voter { core: four(), may_vote: true, ..Voter::new(&address(machine)) }
}

fn entry(body: Vec<u8>) -> Entry {
    Entry { proposal_number: ProposalNumber { term: 1, replica_id: 1 }, index: 1, body }
}

fn accept(voter: &mut Voter, core: CoreMembership, key: &str, body: Vec<u8>) {
    let ask = ConsensusOperation::Accept { key: key.into(), entry: entry(body) };
    assert_eq!(voter.poll(ConsensusRequest { membership: core, operation: ask }).0, ConsensusResponse::Accepted);
}

fn whole(voter: &mut Voter, core: CoreMembership) -> Vec<RegisterState> {
    match voter.poll(ConsensusRequest { membership: core, operation: ConsensusOperation::Snapshot }).0 {
        ConsensusResponse::Snapshot { slots } => slots,
        other => panic!("{other:?}"),
    }
}

/// All four voters; the core of three was committed on the disks of the first three.
fn voters_as_one_is_removed() -> Vec<Voter> {
    let mut voters: Vec<Voter> = (0..4).map(voter).collect();
    for voter in &mut voters[..3] {
        accept(voter, four(), CORE, core_body::write(&three()));
    }
    voters
}

#[test]
fn one_that_is_no_member_any_more_says_what_it_holds() {
    let mut leaving = voter(3);
    accept(&mut leaving, four(), KEY, b"x".to_vec());
    let (vote, _) = leaving.poll(ConsensusRequest { membership: three(), operation: ConsensusOperation::Positions });
    assert_eq!(vote, ConsensusResponse::Positions { list: vec![(KEY.into(), entry(Vec::new()).proposal_number, 1)] });
    let (vote, _) = leaving.poll(ConsensusRequest {
        membership: three(),
        operation: ConsensusOperation::Prepare { key: KEY.into(), ballot: ProposalNumber::default() },
    });
    assert_eq!(vote, ConsensusResponse::NonVoting, "it votes no more");
}

#[test]
fn one_without_memory_says_nothing_of_places() {
    let mut wiped = Voter { core: four(), ..Voter::new(&address(0)) };
    assert_eq!(
        wiped.poll(ConsensusRequest { membership: four(), operation: ConsensusOperation::Positions }).0,
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
    let mut wiped = Voter { core: four(), ..Voter::new(&address(0)) };
    assert!(wiped.enough(&[address(2), address(3)]));
    let reads = vec![whole(&mut voters[2], four()), whole(&mut voters[3], four())];
    assert_eq!(wiped.recall(reads), None);
    assert!(!wiped.may_vote);

    // Told of the new core, it reads those who voted under it.
    wiped.adopt(&three());
    assert!(!wiped.enough(&[address(2), address(3)]));
    let reads = (1..4).map(|machine| whole(&mut voters[machine], three())).collect();
    let records = wiped.recall(reads).expect("enough");
    assert_eq!(wiped.slots[KEY].entry, Some(entry(b"acknowledged".to_vec())));
    assert_eq!(records.last(), Some(&LogRecord::Vote));
}

#[test]
fn a_core_that_is_known_keeps_no_voter_without_memory_waiting() {
    let mut voters = voters_as_one_is_removed();
    let mut wiped = Voter { core: three(), ..Voter::new(&address(0)) };
    let reads = (1..4).map(|machine| whole(&mut voters[machine], three())).collect();
    assert!(wiped.recall(reads).is_some());
}
