//! The disk has a thread of its own, so that one that stalls holds up votes and nothing else. What
//! is handed over is written in that order; an answer leaves once all before it is on disk.

use std::collections::HashSet;
use std::path::Path;
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::{Duration, Instant};
use std::{iter, mem, thread};

use consensus::{Acceptor, LogRecord, Store, StoreError};
use prometheus_client::metrics::histogram::Histogram;

use crate::event::DISK_WAIT;

/// The pause before a write that failed is tried again.
const RETRY: Duration = Duration::from_millis(100);
/// How often a disk that refuses is tried when the process starts, before it ends.
const OPEN_TRIES: u32 = 50;

type Completion = Box<dyn FnOnce() + Send>;

struct WriteRequest {
    records: Vec<LogRecord>,
    completion: Option<Completion>,
}

pub struct Disk {
    queue: Sender<WriteRequest>,
}

impl Disk {
    /// Without a store everything is kept in memory only. `voter` is what the store holds. The time of each write is
    /// noted in `write_seconds`.
    pub fn start(store: Option<Store>, voter: Acceptor, write_seconds: Histogram) -> Disk {
        let (queue, requests) = mpsc::channel();
        thread::spawn(move || run(store, voter, &requests, &write_seconds));
        Disk { queue }
    }

    pub fn write(&self, records: Vec<LogRecord>) {
        let _ = self.queue.send(WriteRequest { records, completion: None });
    }

    /// Runs `completion` once the records, and all before them, are on disk.
    pub fn then(&self, records: Vec<LogRecord>, completion: impl FnOnce() + Send + 'static) {
        let _ = self.queue.send(WriteRequest { records, completion: Some(Box::new(completion)) });
    }
}

/// Opens the store of a voter. A disk that refuses is tried again for a while: one in trouble is no
/// reason to end, a damaged one is. The second value tells whether the disk was empty.
pub fn open(path: &Path, voter: &mut Acceptor) -> Result<(Store, bool), StoreError> {
    let ip = voter.ip.clone();
    let mut tries = 0;
    loop {
        *voter = Acceptor::new(&ip);
        let mut empty = true;
        let opened = Store::open(path, &mut |record| {
            empty = false;
            voter.replay(record);
        });
        tries += 1;
        match opened {
            Err(error @ StoreError::Io { .. }) if tries < OPEN_TRIES => report(&error, tries == 1),
            outcome => return outcome.map(|store| (store, empty)),
        }
        thread::sleep(RETRY);
    }
}

/// `synced_voter` follows what is on disk, for snapshots.
fn run(
    mut store: Option<Store>,
    mut synced_voter: Acceptor,
    requests: &Receiver<WriteRequest>,
    write_seconds: &Histogram,
) {
    while let Ok(first) = requests.recv() {
        let mut records = Vec::new();
        let mut completions = Vec::new();
        for request in iter::once(first).chain(requests.try_iter()) {
            records.extend(request.records);
            completions.extend(request.completion);
        }
        if let (Some(store), false) = (&mut store, records.is_empty()) {
            let begun = Instant::now();
            persist(store, newest(records), &mut synced_voter);
            write_seconds.observe(begun.elapsed().as_secs_f64());
        }
        for completion in completions {
            completion();
        }
    }
}

/// Of the records of one write only the last of each kind and key: none of them counts before all are on
/// disk. The leave to vote goes last, so that a torn write never holds it without what it rests on.
fn newest(records: Vec<LogRecord>) -> Vec<LogRecord> {
    let mut keys = HashSet::new();
    let (mut core, mut vote) = (false, false);
    let mut kept = Vec::with_capacity(records.len());
    for record in records.into_iter().rev() {
        let first = match &record {
            LogRecord::Register(slot) => keys.insert(slot.key.clone()),
            LogRecord::Membership(_) => !mem::replace(&mut core, true),
            LogRecord::VotingEnabled => {
                vote = true;
                false
            }
        };
        if first {
            kept.push(record);
        }
    }
    kept.reverse();
    kept.extend(vote.then_some(LogRecord::VotingEnabled));
    kept
}

/// A failed write is tried again for as long as it fails: nothing behind it is answered before.
fn persist(store: &mut Store, records: Vec<LogRecord>, synced_voter: &mut Acceptor) {
    let mut first = true;
    while let Err(error) = store.append(&records) {
        report(&error, first);
        first = false;
        if store.is_snapshot_due() {
            snapshot(store, synced_voter);
        }
        thread::sleep(RETRY);
    }
    for record in records {
        synced_voter.replay(record);
    }
    if store.is_snapshot_due() {
        snapshot(store, synced_voter);
    }
}

fn snapshot(store: &mut Store, synced_voter: &Acceptor) {
    if let Err(error) = store.snapshot(&synced_voter.snapshot()) {
        report(&error, true);
    }
}

/// `first`: not a repetition of the same.
fn report(error: &StoreError, first: bool) {
    if first {
        kernel::log_event!(DISK_WAIT, "cause" => error.to_string());
    }
}

#[cfg(test)]
#[path = "disk_tests.rs"]
mod tests;
