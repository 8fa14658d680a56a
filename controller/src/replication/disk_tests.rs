use std::sync::mpsc;
use std::{env, fs, process};

use consensus::{Acceptor, LogRecord};
use protocol::message::{CoreMembership, ProposalNumber, RegisterState};

use super::{newest, open, Disk};

fn slot(key: &str, term: u64) -> LogRecord {
    let proposal_number = ProposalNumber { term, replica_id: 1 };
    LogRecord::Register(RegisterState { key: key.into(), prepared: proposal_number, entry: None })
}

fn core(version: u64) -> LogRecord {
    LogRecord::Membership(CoreMembership { version, ..Default::default() })
}

fn folded(records: &[LogRecord]) -> Vec<LogRecord> {
    let mut voter = Acceptor::new("10.0.0.1");
    records.iter().for_each(|record| voter.replay(record.clone()));
    voter.snapshot()
}

#[test]
fn of_one_write_the_last_of_each_key_counts_and_the_leave_to_vote_goes_last() {
    let records = vec![slot("a", 1), core(1), LogRecord::VotingEnabled, slot("b", 2), slot("a", 3), core(2)];
    let kept = newest(records.clone());
    assert_eq!(kept, [slot("b", 2), slot("a", 3), core(2), LogRecord::VotingEnabled]);
    assert_eq!(folded(&kept), folded(&records));
}

#[test]
fn hundreds_of_waiting_changes_of_one_key_are_one_record() {
    let records: Vec<LogRecord> = (1..500).map(|term| slot("config", term)).collect();
    assert_eq!(newest(records), [slot("config", 499)]);
}

#[test]
fn what_was_completed_is_found_when_the_store_is_opened_again() {
    let path = env::temp_dir().join(format!("tidepoint-disk-{}", process::id()));
    let _ = fs::remove_dir_all(&path);
    let blank = || Acceptor::new("10.0.0.1");
    let opened = open(&path, blank).expect("opens");
    assert!(opened.is_empty && opened.state.snapshot().len() == 1);
    let disk = Disk::start(Some(opened.store), opened.state, telemetry::latency_histogram());
    let (done, wait) = mpsc::channel();
    disk.write(vec![core(1), LogRecord::VotingEnabled]);
    for term in 1..=300 {
        let done = done.clone();
        disk.then(vec![slot("config", term)], move || done.send(term).expect("awaited"));
    }
    let order: Vec<u64> = wait.iter().take(300).collect();
    assert_eq!(order, (1..=300).collect::<Vec<u64>>(), "in the order in which they were handed over");
    let found = open(&path, blank).expect("opens");
    assert!(!found.is_empty);
    assert_eq!(found.state.snapshot(), folded(&[core(1), LogRecord::VotingEnabled, slot("config", 300)]));
    let _ = fs::remove_dir_all(path);
}
