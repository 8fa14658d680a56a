//! What a read at a quorum says about the state known here.
use super::{newest_committed, Confirmation, StaleKey};
use protocol::message::{CoreMembership, Entry, KeyPosition, Member, Position, ProposalNumber};

fn membership(size: usize) -> CoreMembership {
    let list = (0..size).map(|at| Member { ip: format!("m{at}"), zone: String::new() }).collect();
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

fn positions(list: &[(&str, u64, u64)]) -> Vec<KeyPosition> {
    let named =
        |(key, term, index): &(&str, u64, u64)| KeyPosition { key: key.to_string(), position: position(*term, *index) };
    list.iter().map(named).collect()
}

#[test]
fn one_acceptor_is_no_quorum_however_often_it_answers() {
    let mut confirmation = Confirmation::new(&membership(3));
    confirmation.record("m0", positions(&[]));
    confirmation.record("m0", positions(&[]));
    assert!(!confirmation.is_quorum());
    confirmation.record("m2", positions(&[]));
    assert!(confirmation.is_quorum());
}

#[test]
fn what_a_quorum_holds_alike_is_committed_and_what_one_holds_is_not() {
    let mut confirmation = Confirmation::new(&membership(3));
    confirmation.record("m0", positions(&[("config", 2, 7), ("evacuation/z", 1, 1)]));
    confirmation.record("m1", positions(&[("config", 2, 7), ("evacuation/z", 1, 2)]));
    let known = |key: &str| (key == "config").then_some(position(2, 6));
    let behind = confirmation.stale_keys(known);
    let expected = [
        StaleKey { key: "config".into(), position: position(2, 7), is_committed: true },
        StaleKey { key: "evacuation/z".into(), position: position(1, 2), is_committed: false },
    ];
    assert_eq!(behind, expected);
}

#[test]
fn nothing_is_behind_where_all_is_known() {
    let mut confirmation = Confirmation::new(&membership(3));
    confirmation.record("m0", positions(&[("config", 2, 7)]));
    confirmation.record("m1", positions(&[("config", 2, 6)]));
    assert!(confirmation.stale_keys(|_| Some(position(2, 7))).is_empty());
}

#[test]
fn acceptors_that_moved_on_between_two_reads_still_show_a_committed_entry() {
    let from = |name: &str, entry: Entry| (name.to_string(), entry);
    let moved = [from("m0", entry(2, 9)), from("m1", entry(2, 8)), from("m2", entry(2, 8))];
    assert_eq!(newest_committed(&membership(3), &moved), Some(entry(2, 8)));
    assert_eq!(newest_committed(&membership(3), &moved[..2]), None, "each on one acceptor only");
}
