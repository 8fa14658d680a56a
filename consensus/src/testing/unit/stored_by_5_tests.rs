//! Tests that this version reads the data directory of an acceptor of version 5.
//!
//! `fixtures/disk-5` was written by commit 0f675d7. To write it again, check out that commit, put this file beside
//! `store.rs`, declare its module as is done here, and run `cargo test -p ledger --lib -- --ignored stored_by_5`. Later
//! versions only read it.
//!
//! The directory is in the state after a successful snapshot and a second snapshot that failed after starting a new
//! segment: `snap-00000002` and the two segments after it.

use crate::{decode_membership, encode_membership, replica_id, Acceptor, LogRecord, Store};
use protocol::message::{CoreMembership, Entry, Member, ProposalNumber, RegisterState};
use std::collections::BTreeMap;
use std::env::temp_dir;
use std::fs;
use std::path::{Path, PathBuf};
use std::process;
use std::slice::from_ref;

/// The files of the fixture.
const FILES: [&str; 3] = ["log-00000002", "log-00000003", "snap-00000002"];
const IP: &str = "10.0.0.1";

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("fixtures/disk-5")
}

fn scratch_directory(name: &str) -> PathBuf {
    let directory = temp_dir().join(format!("tidepoint-stored-by-5-{name}-{}", process::id()));
    let _ = fs::remove_dir_all(&directory);
    directory
}

/// Copies the fixture to a scratch directory, because opening a store writes to its files.
fn copied_fixture(name: &str) -> PathBuf {
    let directory = scratch_directory(name);
    fs::create_dir_all(&directory).expect("the directory is created");
    for file in FILES {
        fs::copy(fixture().join(file), directory.join(file)).expect("the file is copied");
    }
    directory
}

fn open(directory: &Path) -> (Store, Vec<LogRecord>) {
    let mut records = Vec::new();
    let store = Store::open(directory, &mut |record| records.push(record)).expect("the store opens");
    (store, records)
}

fn replayed(records: &[LogRecord]) -> Acceptor {
    let mut acceptor = Acceptor::new(IP);
    records.iter().cloned().for_each(|record| acceptor.replay(record));
    acceptor
}

fn member(ip: &str, zone: &str) -> Member {
    Member { ip: ip.into(), zone: zone.into() }
}

fn first_membership() -> CoreMembership {
    CoreMembership {
        version: 1,
        members: vec![member("10.0.0.1", "zone-a")],
        previous_members: Vec::new(),
        stable: true,
    }
}

fn stable_membership() -> CoreMembership {
    CoreMembership {
        version: 3,
        members: vec![member("10.0.0.1", "zone-a"), member("10.0.0.2", "zone-b")],
        previous_members: vec![member("10.0.0.1", "zone-a")],
        stable: true,
    }
}

fn joint_membership() -> CoreMembership {
    CoreMembership {
        version: 4,
        members: vec![member("10.0.0.1", "zone-a"), member("10.0.0.2", "zone-b"), member("10.0.0.3", "zone-c")],
        previous_members: vec![member("10.0.0.1", "zone-a"), member("10.0.0.2", "zone-b")],
        stable: false,
    }
}

fn prepared_register(key: &str, prepared: ProposalNumber) -> LogRecord {
    LogRecord::Register(RegisterState { key: key.into(), prepared, entry: None })
}

fn accepted(key: &str, proposal_number: ProposalNumber, index: u64, body: &[u8]) -> LogRecord {
    LogRecord::Register(RegisterState {
        key: key.into(),
        prepared: proposal_number,
        entry: Some(Entry { proposal_number, index, body: body.into() }),
    })
}

/// A register with an entry and a higher prepared number.
fn prepared_above(key: &str, prepared: ProposalNumber, entry: Entry) -> LogRecord {
    LogRecord::Register(RegisterState { key: key.into(), prepared, entry: Some(entry) })
}

fn proposal_number(term: u64, replica_id: u64) -> ProposalNumber {
    ProposalNumber { term, replica_id }
}

/// A body longer than a disk block.
fn long_body() -> Vec<u8> {
    (0..5000u32).map(|index| (index % 251) as u8).collect()
}

/// The records of the first segment, which the snapshot replaced.
fn records_before_the_snapshot() -> [LogRecord; 4] {
    [
        LogRecord::Membership(first_membership()),
        LogRecord::VotingEnabled,
        prepared_register("config", proposal_number(1, 11)),
        accepted("config", proposal_number(1, 11), 1, b"an earlier configuration"),
    ]
}

/// The records in the order of `Acceptor::snapshot`: the membership, the registers by key, the permission to vote.
fn records_of_the_snapshot() -> [LogRecord; 5] {
    [
        LogRecord::Membership(stable_membership()),
        accepted("config", proposal_number(3, 11), 2, b"a configuration"),
        prepared_register("duty/batch", proposal_number(2, 12)),
        prepared_above(
            "evacuation/zone-a",
            proposal_number(9, 13),
            Entry { proposal_number: proposal_number(4, 12), index: 7, body: b"an evacuation".to_vec() },
        ),
        LogRecord::VotingEnabled,
    ]
}

fn records_of_the_first_segment() -> [LogRecord; 3] {
    [
        prepared_register("duty/catalog", proposal_number(5, 14)),
        accepted("config", proposal_number(6, 11), 0, &long_body()),
        accepted("core", proposal_number(6, 11), 1, &encode_membership(&joint_membership())),
    ]
}

fn records_of_the_second_segment() -> [LogRecord; 3] {
    [
        LogRecord::Membership(joint_membership()),
        prepared_register("rollout/chat/m-1", proposal_number(0x0102_0304_0506_0708, 0x1112_1314_1516_1718)),
        accepted("versions/chat", proposal_number(8, 11), 3, b""),
    ]
}

/// Writes a data directory in the way of an acceptor of version 5.
fn write_directory(directory: &Path) {
    let (mut store, found) = open(directory);
    assert_eq!(found, []);
    let [membership, voting_enabled, prepare, acceptance] = records_before_the_snapshot();
    store.append(&[membership, voting_enabled]).expect("the records are appended");
    store.append(&[prepare, acceptance]).expect("the records are appended");
    store.snapshot(&records_of_the_snapshot()).expect("the snapshot is made");
    let [first, second, third] = records_of_the_first_segment();
    store.append(&[first]).expect("the records are appended");
    store.append(&[second, third]).expect("the records are appended");
    // A directory with the name of the temporary file makes the snapshot fail after a new segment was started.
    fs::create_dir(directory.join("draft")).expect("the directory is created");
    store.snapshot(&[]).expect_err("the snapshot fails");
    fs::remove_dir(directory.join("draft")).expect("the directory is removed");
    let [first, second, third] = records_of_the_second_segment();
    store.append(&[first, second]).expect("the records are appended");
    store.append(&[third]).expect("the records are appended");
}

/// The state that the directory holds, as a literal.
#[allow(clippy::too_many_lines)] // a single literal
fn expected_acceptor() -> Acceptor {
    let registers = [
        RegisterState {
            key: "config".into(),
            prepared: ProposalNumber { term: 6, replica_id: 11 },
            entry: Some(Entry {
                proposal_number: ProposalNumber { term: 6, replica_id: 11 },
                index: 0,
                body: long_body(),
            }),
        },
        RegisterState {
            key: "core".into(),
            prepared: ProposalNumber { term: 6, replica_id: 11 },
            entry: Some(Entry {
                proposal_number: ProposalNumber { term: 6, replica_id: 11 },
                index: 1,
                body: encode_membership(&joint_membership()),
            }),
        },
        RegisterState { key: "duty/batch".into(), prepared: ProposalNumber { term: 2, replica_id: 12 }, entry: None },
        RegisterState { key: "duty/catalog".into(), prepared: ProposalNumber { term: 5, replica_id: 14 }, entry: None },
        RegisterState {
            key: "evacuation/zone-a".into(),
            prepared: ProposalNumber { term: 9, replica_id: 13 },
            entry: Some(Entry {
                proposal_number: ProposalNumber { term: 4, replica_id: 12 },
                index: 7,
                body: b"an evacuation".to_vec(),
            }),
        },
        RegisterState {
            key: "rollout/chat/m-1".into(),
            prepared: ProposalNumber { term: 0x0102_0304_0506_0708, replica_id: 0x1112_1314_1516_1718 },
            entry: None,
        },
        RegisterState {
            key: "versions/chat".into(),
            prepared: ProposalNumber { term: 8, replica_id: 11 },
            entry: Some(Entry {
                proposal_number: ProposalNumber { term: 8, replica_id: 11 },
                index: 3,
                body: Vec::new(),
            }),
        },
    ];
    Acceptor {
        ip: "10.0.0.1".into(),
        membership: CoreMembership {
            version: 4,
            members: vec![
                Member { ip: "10.0.0.1".into(), zone: "zone-a".into() },
                Member { ip: "10.0.0.2".into(), zone: "zone-b".into() },
                Member { ip: "10.0.0.3".into(), zone: "zone-c".into() },
            ],
            previous_members: vec![
                Member { ip: "10.0.0.1".into(), zone: "zone-a".into() },
                Member { ip: "10.0.0.2".into(), zone: "zone-b".into() },
            ],
            stable: false,
        },
        registers: registers.into_iter().map(|register| (register.key.clone(), register)).collect::<BTreeMap<_, _>>(),
        may_vote: true,
    }
}

/// The records that are read from the directory, oldest first.
fn expected_records() -> Vec<LogRecord> {
    [&records_of_the_snapshot()[..], &records_of_the_first_segment(), &records_of_the_second_segment()].concat()
}

#[test]
#[ignore = "writes the fixture of version 5"]
fn write_fixture() {
    let _ = fs::remove_dir_all(fixture());
    write_directory(&fixture());
}

#[test]
fn the_records_of_version_5_are_read() {
    let directory = copied_fixture("read");
    let (_, records) = open(&directory);
    assert_eq!(records, expected_records());
    assert_eq!(replayed(&records), expected_acceptor());
    let _ = fs::remove_dir_all(directory);
}

#[test]
fn the_membership_entry_of_version_5_is_decoded() {
    let directory = copied_fixture("core");
    let acceptor = replayed(&open(&directory).1);
    let entry = acceptor.registers["core"].entry.as_ref().expect("an entry");
    assert_eq!(decode_membership(&entry.body), Some(joint_membership()));
    let _ = fs::remove_dir_all(directory);
}

#[test]
fn records_can_be_appended_to_a_log_of_version_5() {
    let directory = copied_fixture("append");
    let (mut store, _) = open(&directory);
    let appended = accepted("duty/catalog", proposal_number(7, 14), 1, b"a duty");
    store.append(from_ref(&appended)).expect("the records are appended");
    drop(store);
    let (mut store, records) = open(&directory);
    assert_eq!(records, [expected_records(), vec![appended.clone()]].concat());
    let mut expected = expected_acceptor();
    let entry =
        Entry { proposal_number: ProposalNumber { term: 7, replica_id: 14 }, index: 1, body: b"a duty".to_vec() };
    let register = RegisterState {
        key: "duty/catalog".into(),
        prepared: ProposalNumber { term: 7, replica_id: 14 },
        entry: Some(entry),
    };
    expected.registers.insert("duty/catalog".into(), register);
    assert_eq!(replayed(&records), expected);
    // A new snapshot replaces the files of version 5.
    store.snapshot(&expected.snapshot()).expect("the snapshot is made");
    drop(store);
    assert!(FILES.iter().all(|file| !directory.join(file).exists()));
    assert_eq!(replayed(&open(&directory).1), expected);
    let _ = fs::remove_dir_all(directory);
}

#[test]
fn the_same_operations_write_the_same_files_as_version_5() {
    let directory = scratch_directory("write");
    write_directory(&directory);
    let mut names: Vec<_> = fs::read_dir(&directory)
        .expect("the directory is listed")
        .map(|entry| entry.expect("a directory entry").file_name().into_string().expect("a UTF-8 name"))
        .collect();
    names.sort();
    assert_eq!(names, FILES);
    for file in FILES {
        let (written, kept) = (
            fs::read(directory.join(file)).expect("the file is read"),
            fs::read(fixture().join(file)).expect("the file is read"),
        );
        assert!(written == kept, "{file} differs from the file of version 5");
    }
    let _ = fs::remove_dir_all(directory);
}

/// The expected value was computed by an independent program. A controller of another version must not use the proposal
/// numbers of this one.
#[test]
fn the_replica_id_of_a_controller_is_unchanged() {
    assert_eq!(replica_id("10.0.0.1", 7), 0x1fbc_b423_33d4_7a13);
}
