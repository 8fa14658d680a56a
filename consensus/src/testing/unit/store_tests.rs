//! Tests of the store on the local file system.

use std::path::{Path, PathBuf};
use std::{env, fs, process};

use protocol::message::{Entry, ProposalNumber, RegisterState};

use super::{Store, StoreError};
use crate::LogRecord;

fn scratch_directory(name: &str) -> PathBuf {
    let directory = env::temp_dir().join(format!("tidepoint-store-{name}-{}", process::id()));
    let _ = fs::remove_dir_all(&directory);
    directory
}

fn record(term: u64, body: &[u8]) -> LogRecord {
    let proposal_number = ProposalNumber { term, replica_id: 1 };
    let entry = Some(Entry { proposal_number, index: 0, body: body.to_vec() });
    LogRecord::Register(RegisterState { key: "k".into(), prepared: proposal_number, entry })
}

fn open(directory: &Path) -> Result<(Store, Vec<LogRecord>), StoreError> {
    let mut records = Vec::new();
    let store = Store::open(directory, &mut |record| records.push(record))?;
    Ok((store, records))
}

fn reopen(directory: &Path) -> Vec<LogRecord> {
    open(directory).expect("the store opens").1
}

#[test]
fn appended_records_are_read_back_and_replaced_by_a_snapshot() {
    let directory = scratch_directory("plain");
    let (mut store, found) = open(&directory).expect("the store opens");
    assert!(found.is_empty());
    store.append(&[record(1, b"a"), record(2, b"b")]).expect("the records are appended");
    assert_eq!(reopen(&directory), [record(1, b"a"), record(2, b"b")]);
    store.snapshot(&[record(2, b"b")]).expect("the snapshot is made");
    store.append(&[record(3, b"c")]).expect("the records are appended");
    assert_eq!(reopen(&directory), [record(2, b"b"), record(3, b"c")]);
    let _ = fs::remove_dir_all(directory);
}

#[test]
fn a_torn_end_is_cut_off_at_every_length() {
    let directory = scratch_directory("torn");
    let (mut store, _) = open(&directory).expect("the store opens");
    store.append(&[record(1, b"a")]).expect("the records are appended");
    let file = directory.join("log-00000001");
    let kept = fs::read(&file).expect("the file is read").len();
    store.append(&[record(2, b"bbbb")]).expect("the records are appended");
    let complete = fs::read(&file).expect("the file is read");
    for length in kept..complete.len() {
        fs::write(&file, &complete[..length]).expect("the file is written");
        assert_eq!(reopen(&directory), [record(1, b"a")], "length {length}");
        // The file has its full length, but the end of the write reads as zeros.
        let mut zeroed = complete[..length].to_vec();
        zeroed.resize(complete.len(), 0);
        if zeroed == complete {
            continue; // the missing bytes are zeros, so the record is complete
        }
        fs::write(&file, &zeroed).expect("the file is written");
        assert_eq!(reopen(&directory), [record(1, b"a")], "zeros from {length}");
    }
    let _ = fs::remove_dir_all(directory);
}

#[test]
fn corruption_before_what_was_synced_is_rejected_with_file_and_offset() {
    let directory = scratch_directory("corruption");
    let (mut store, _) = open(&directory).expect("the store opens");
    store.append(&[record(1, b"a")]).expect("the records are appended");
    store.append(&[record(2, b"b")]).expect("the records are appended");
    let file = directory.join("log-00000001");
    let mut bytes = fs::read(&file).expect("the file is read");
    bytes[30] ^= 0x10;
    fs::write(&file, &bytes).expect("the file is written");
    let error = open(&directory).err().expect("the store does not open").to_string();
    assert!(error.contains("log-00000001") && error.contains("offset 0"), "{error}");
    assert_eq!(fs::read(&file).expect("the file is read"), bytes, "the file is unchanged");
    let _ = fs::remove_dir_all(directory);
}

#[test]
fn a_foreign_file_is_rejected() {
    let directory = scratch_directory("foreign");
    fs::create_dir_all(&directory).expect("the directory is created");
    fs::write(directory.join("log-00000001"), b"#!/bin/sh\necho of another program\n").expect("the file is written");
    let error = open(&directory).err().expect("the store does not open").to_string();
    assert!(error.contains("not a file of a store"), "{error}");
    let _ = fs::remove_dir_all(directory);
}

#[test]
fn a_burst_of_large_changes_stays_within_a_bounded_size() {
    let directory = scratch_directory("storm");
    let (mut store, _) = open(&directory).expect("the store opens");
    let body = vec![7; 300_000];
    for term in 1..60 {
        store.append(&[record(term, &body)]).expect("the records are appended");
        if store.is_snapshot_due() {
            store.snapshot(&[record(term, &body)]).expect("the snapshot is made");
        }
    }
    let size: u64 = fs::read_dir(&directory)
        .expect("the directory is listed")
        .map(|entry| entry.expect("a directory entry").metadata().expect("the metadata is read").len())
        .sum();
    assert!(size < 4 * 1024 * 1024, "{size}");
    assert_eq!(reopen(&directory).last(), Some(&record(59, &body)));
    let _ = fs::remove_dir_all(directory);
}

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures/disk-1")
}

/// Writes the fixture of version 1, which later versions must still read.
#[test]
#[ignore = "writes the fixture of version 1"]
fn write_fixture() {
    let directory = fixture();
    let _ = fs::remove_dir_all(&directory);
    let (mut store, _) = open(&directory).expect("the store opens");
    store.append(&[record(1, b"a")]).expect("the records are appended");
    store.snapshot(&[record(1, b"a"), LogRecord::VotingEnabled]).expect("the snapshot is made");
    store.append(&[record(2, b"b")]).expect("the records are appended");
}

#[test]
fn the_disk_of_the_first_version_is_still_read() {
    let directory = scratch_directory("first");
    fs::create_dir_all(&directory).expect("the directory is created");
    for entry in fs::read_dir(fixture()).expect("the fixture is listed") {
        let entry = entry.expect("a directory entry");
        fs::copy(entry.path(), directory.join(entry.file_name())).expect("the file is copied");
    }
    assert_eq!(reopen(&directory), [record(1, b"a"), LogRecord::VotingEnabled, record(2, b"b")]);
    let _ = fs::remove_dir_all(directory);
}

/// A failed snapshot leaves an empty segment, and the log continues in the segment before it.
#[test]
fn a_torn_end_before_an_empty_segment_is_cut_off() {
    let directory = scratch_directory("empty-segment");
    let (mut store, _) = open(&directory).expect("the store opens");
    store.append(&[record(1, b"a")]).expect("the records are appended");
    store.append(&[record(2, b"bbbb")]).expect("the records are appended");
    let file = directory.join("log-00000001");
    let complete = fs::read(&file).expect("the file is read");
    fs::write(&file, &complete[..complete.len() - 5]).expect("the file is written");
    fs::write(directory.join("log-00000002"), b"").expect("the file is written");
    assert_eq!(reopen(&directory), [record(1, b"a")]);
    let _ = fs::remove_dir_all(directory);
}

#[test]
fn a_torn_first_write_with_only_later_blocks_is_not_a_foreign_file() {
    let directory = scratch_directory("first-block");
    let (mut store, _) = open(&directory).expect("the store opens");
    store.append(&[record(1, &[7; 5000])]).expect("the records are appended");
    let file = directory.join("log-00000001");
    let mut bytes = fs::read(&file).expect("the file is read");
    bytes[..4096].fill(0);
    fs::write(&file, &bytes).expect("the file is written");
    assert_eq!(reopen(&directory), []);
    let _ = fs::remove_dir_all(directory);
}

#[test]
fn a_missing_segment_is_rejected() {
    let directory = scratch_directory("missing");
    let (mut store, _) = open(&directory).expect("the store opens");
    store.append(&[record(1, b"a")]).expect("the records are appended");
    store.snapshot(&[record(1, b"a")]).expect("the snapshot is made");
    fs::remove_file(directory.join("log-00000002")).expect("the file is removed");
    let error = open(&directory).err().expect("the store does not open").to_string();
    assert!(error.contains("log-00000002") && error.contains("missing"), "{error}");
    let _ = fs::remove_dir_all(directory);
}
