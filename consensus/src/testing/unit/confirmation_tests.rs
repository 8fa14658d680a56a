//! Tests of quorum reads that confirm the known state.
use super::{newest_committed, Confirmation, StaleKey};
use protocol::message::{CoreMembership, Entry, KeyPosition, Member, Position, ProposalNumber};

fn membership(size: usize) -> CoreMembership {
    let list = (0..size).map(|index| Member { ip: format!("m{index}"), zone: String::new() }).collect();
    CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true }
}

fn proposal_number(term: u64) -> ProposalNumber {
    ProposalNumber { term, replica_id: 1 }
}

fn entry(term: u64, step: u64) -> Entry {
    Entry { proposal_number: proposal_number(term), index: step, body: vec![step as u8] }
}

fn position(term: u64, index: u64) -> Position {
    Position { proposal_number: proposal_number(term), index }
}

fn positions(positions: &[(&str, u64, u64)]) -> Vec<KeyPosition> {
    let key_position =
        |(key, term, index): &(&str, u64, u64)| KeyPosition { key: key.to_string(), position: position(*term, *index) };
    positions.iter().map(key_position).collect()
}

#[test]
fn an_acceptor_that_responds_twice_counts_once() {
    let mut confirmation = Confirmation::new(&membership(3));
    confirmation.record("m0", positions(&[]));
    confirmation.record("m0", positions(&[]));
    assert!(!confirmation.is_quorum());
    confirmation.record("m2", positions(&[]));
    assert!(confirmation.is_quorum());
}

#[test]
fn a_position_is_committed_only_if_a_quorum_reports_it() {
    let mut confirmation = Confirmation::new(&membership(3));
    confirmation.record("m0", positions(&[("config", 2, 7), ("evacuation/z", 1, 1)]));
    confirmation.record("m1", positions(&[("config", 2, 7), ("evacuation/z", 1, 2)]));
    let known = |key: &str| (key == "config").then_some(position(2, 6));
    let stale_keys = confirmation.stale_keys(known);
    let expected = [
        StaleKey { key: "config".into(), position: position(2, 7), is_committed: true },
        StaleKey { key: "evacuation/z".into(), position: position(1, 2), is_committed: false },
    ];
    assert_eq!(stale_keys, expected);
}

#[test]
fn no_key_is_stale_if_the_known_position_is_the_newest() {
    let mut confirmation = Confirmation::new(&membership(3));
    confirmation.record("m0", positions(&[("config", 2, 7)]));
    confirmation.record("m1", positions(&[("config", 2, 6)]));
    assert!(confirmation.stale_keys(|_| Some(position(2, 7))).is_empty());
}

#[test]
fn newest_committed_finds_an_entry_although_an_acceptor_has_accepted_a_newer_one() {
    let from = |name: &str, entry: Entry| (name.to_string(), entry);
    let fetched = [from("m0", entry(2, 9)), from("m1", entry(2, 8)), from("m2", entry(2, 8))];
    assert_eq!(newest_committed(&membership(3), &fetched), Some(entry(2, 8)));
    assert_eq!(newest_committed(&membership(3), &fetched[..2]), None, "each entry is on one acceptor only");
}
