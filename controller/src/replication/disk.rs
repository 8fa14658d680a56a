//! The acceptor's disk on a thread of its own, so that a disk that stalls holds up consensus responses and nothing else. Records
//! are written in the order in which they are handed over; a response leaves once all records before it are on disk.

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
/// How often a disk that fails is tried when the process starts, before it ends.
const OPEN_ATTEMPTS: u32 = 50;

type Completion = Box<dyn FnOnce() + Send>;

struct WriteRequest {
    records: Vec<LogRecord>,
    completion: Option<Completion>,
}

/// The queue to the thread that writes.
pub struct Disk {
    queue: Sender<WriteRequest>,
}

impl Disk {
    /// Starts the thread. Without a store everything is kept in memory only. `acceptor` is what the store holds. The time of
    /// each write is recorded in `write_seconds`.
    pub fn start(store: Option<Store>, acceptor: Acceptor, write_seconds: Histogram) -> Disk {
        let (queue, requests) = mpsc::channel();
        thread::spawn(move || run(store, acceptor, &requests, &write_seconds));
        Disk { queue }
    }

    /// Writes records, after all before them.
    pub fn write(&self, records: Vec<LogRecord>) {
        let _ = self.queue.send(WriteRequest { records, completion: None });
    }

    /// Runs `completion` once the records, and all before them, are on disk.
    pub fn then(&self, records: Vec<LogRecord>, completion: impl FnOnce() + Send + 'static) {
        let _ = self.queue.send(WriteRequest { records, completion: Some(Box::new(completion)) });
    }
}

/// Opens the store of an acceptor and replays it; the second value says whether the disk was empty. A disk that fails is tried
/// again for a while: that is no reason to end, a damaged store is.
///
/// # Errors
/// The store is damaged, or the disk failed for so long.
pub fn open(path: &Path, acceptor: &mut Acceptor) -> Result<(Store, bool), StoreError> {
    let ip = acceptor.ip.clone();
    let mut attempts = 0;
    loop {
        *acceptor = Acceptor::new(&ip);
        let mut empty = true;
        let opened = Store::open(path, &mut |record| {
            empty = false;
            acceptor.replay(record);
        });
        attempts += 1;
        match opened {
            Err(error @ StoreError::Io { .. }) if attempts < OPEN_ATTEMPTS => report(&error, attempts == 1),
            outcome => return outcome.map(|store| (store, empty)),
        }
        thread::sleep(RETRY);
    }
}

/// `synced_acceptor` follows what is on disk, for snapshots.
fn run(
    mut store: Option<Store>,
    mut synced_acceptor: Acceptor,
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
            persist(store, newest(records), &mut synced_acceptor);
            write_seconds.observe(begun.elapsed().as_secs_f64());
        }
        for completion in completions {
            completion();
        }
    }
}

/// Returns, of the records of one write, only the last of each kind and key: none of them counts before all are on disk. The
/// permission to vote goes last, so that a torn write never holds it without what it rests on.
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
fn persist(store: &mut Store, records: Vec<LogRecord>, synced_acceptor: &mut Acceptor) {
    let mut first = true;
    while let Err(error) = store.append(&records) {
        report(&error, first);
        first = false;
        if store.is_snapshot_due() {
            snapshot(store, synced_acceptor);
        }
        thread::sleep(RETRY);
    }
    for record in records {
        synced_acceptor.replay(record);
    }
    if store.is_snapshot_due() {
        snapshot(store, synced_acceptor);
    }
}

fn snapshot(store: &mut Store, synced_acceptor: &Acceptor) {
    if let Err(error) = store.snapshot(&synced_acceptor.snapshot()) {
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
