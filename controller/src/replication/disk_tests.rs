use std::sync::mpsc;
use std::{env, fs, process};

use consensus::{Acceptor, LogRecord};
use protocol::message::{CoreMembership, ProposalNumber, RegisterState};

use super::{latest_per_key, open, Disk};

fn register(key: &str, term: u64) -> LogRecord {
    let proposal_number = ProposalNumber { term, replica_id: 1 };
    LogRecord::Register(RegisterState { key: key.into(), prepared: proposal_number, entry: None })
}

fn membership(version: u64) -> LogRecord {
    LogRecord::Membership(CoreMembership { version, ..Default::default() })
}

fn replayed(records: &[LogRecord]) -> Vec<LogRecord> {
    let mut acceptor = Acceptor::new("10.0.0.1");
    records.iter().for_each(|record| acceptor.replay(record.clone()));
    acceptor.snapshot()
}

#[test]
fn coalescing_keeps_the_last_record_of_each_key_and_puts_the_permission_to_vote_last() {
    let records = vec![
        register("a", 1),
        membership(1),
        LogRecord::VotingEnabled,
        register("b", 2),
        register("a", 3),
        membership(2),
    ];
    let kept = latest_per_key(records.clone());
    assert_eq!(kept, [register("b", 2), register("a", 3), membership(2), LogRecord::VotingEnabled]);
    assert_eq!(replayed(&kept), replayed(&records));
}

#[test]
fn coalescing_reduces_many_changes_of_one_key_to_one_record() {
    let records: Vec<LogRecord> = (1..500).map(|term| register("config", term)).collect();
    assert_eq!(latest_per_key(records), [register("config", 499)]);
}

#[test]
fn reopened_store_holds_all_completed_writes() {
    let path = env::temp_dir().join(format!("tidepoint-disk-{}", process::id()));
    let _ = fs::remove_dir_all(&path);
    let initial_state = || Acceptor::new("10.0.0.1");
    let opened = open(&path, initial_state).expect("the store opens");
    assert!(opened.is_empty && opened.state.snapshot().len() == 1);
    let disk = Disk::start(Some(opened.store), opened.state, telemetry::latency_histogram());
    let (done, wait) = mpsc::channel();
    disk.write(vec![membership(1), LogRecord::VotingEnabled]);
    for term in 1..=300 {
        let done = done.clone();
        disk.then(vec![register("config", term)], move || done.send(term).expect("a receiver"));
    }
    let order: Vec<u64> = wait.iter().take(300).collect();
    assert_eq!(order, (1..=300).collect::<Vec<u64>>(), "completions run in the order of the writes");
    let reopened = open(&path, initial_state).expect("the store opens");
    assert!(!reopened.is_empty);
    assert_eq!(
        reopened.state.snapshot(),
        replayed(&[membership(1), LogRecord::VotingEnabled, register("config", 300)])
    );
    let _ = fs::remove_dir_all(path);
}
