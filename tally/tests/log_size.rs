//! Measures the memory, disk space and time that a million keys take, for `docs/CAPACITY.md`. Run with
//! `cargo test --release -p tally --test log_size -- --ignored --nocapture`.

use std::fs;
use std::time::Instant;

use consensus::StoredRecord;
use protocol::tally::{Origin, TallyBatch, TallyEntry};
use tally::{Capacity, TallyLog, TallyRecord, VersionVector};

/// Keys added to the log.
const KEYS: u64 = 1_000_000;
/// Entries in one batch.
const BATCH: u64 = 4096;
/// Maximum size of the entries in one synchronization call, in bytes.
const SYNC_BYTES: usize = 64 * 1024;
const BYTES_PER_MB: f64 = 1_048_576.0;

fn resident_mb() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").expect("/proc/self/statm exists on Linux");
    let pages: f64 =
        text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).expect("the second field is a number of pages");
    pages * 4096.0 / BYTES_PER_MB
}

/// A batch of entries with names of 16 bytes and keys of 24.
fn batch(origin: u64, start: u64) -> TallyBatch {
    let entry = |number: u64| TallyEntry {
        tally: format!("tally-name-{:05}", number % 6),
        instance_id: format!("{:024x}", (number << 20) ^ (origin << 60)),
        amount: number % 100,
    };
    TallyBatch { origin: Origin(origin), start, entries: (start..start + BATCH).map(entry).collect() }
}

/// A log of one origin whose entries are sealed as it grows, as a replica does.
fn filled(origin: u64, keys: u64) -> TallyLog {
    let mut log = TallyLog::default();
    let mut start = 0;
    while start < keys {
        log.apply(&batch(origin, start));
        let versions = log.versions();
        log.seal(&versions, usize::MAX);
        start += BATCH;
    }
    log
}

#[test]
#[ignore = "measures memory and time of a million keys"]
fn a_million_keys() {
    let before = resident_mb();
    let started = Instant::now();
    let log = filled(1, KEYS);
    println!("added and sealed in {:?}, {:.1} MB", started.elapsed(), resident_mb() - before);
    let copy = log.clone();
    println!("with the copy from which snapshots are written: {:.1} MB", resident_mb() - before);
    println!(
        "{:?}, used share at 160 and 64 MB: {:.3}",
        log.counts(),
        Capacity::of_machine(160, 64).used_share(log.counts())
    );

    let started = Instant::now();
    let stored: Vec<Vec<u8>> = copy.snapshot().iter().map(StoredRecord::to_bytes).collect();
    let bytes: usize = stored.iter().map(Vec::len).sum();
    println!("snapshot {:.1} MB, encoded in {:?}", bytes as f64 / BYTES_PER_MB, started.elapsed());

    let started = Instant::now();
    let mut restored = TallyLog::default();
    for record in &stored {
        restored.replay(<TallyRecord as StoredRecord>::from_bytes(record).expect("the bytes of a record"));
    }
    println!("restored in {:?}", started.elapsed());
    assert_eq!(restored.entry_count(), log.entry_count());
    assert_eq!(restored.total("tally-name-00003"), log.total("tally-name-00003"));

    let started = Instant::now();
    let (mut calls, mut receiver) = (0, filled(2, 100 * BATCH));
    let mut full = log;
    full.apply(&batch(3, 0));
    while !receiver.versions().covers(&full.versions()) {
        let (known, durable) = (receiver.versions(), full.versions());
        let sent = full.missing_packed_at(&known, &durable, |_| true, SYNC_BYTES);
        sent.iter().for_each(|batch| {
            receiver.apply_packed(batch);
        });
        calls += 1;
    }
    println!("caught up in {calls} calls of 64 KiB, {:?} of processor time", started.elapsed());
    assert_eq!(VersionVector::default().iter().count(), 0);
}
