//! Writes the records of a replicated state to disk on a dedicated thread, so that a stalled disk delays only the work
//! that waits for it. Records are written in the order in which they are queued; a response is sent once all records
//! queued before it are on disk.

use std::collections::HashSet;
use std::path::Path;
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::{Duration, Instant};
use std::{iter, mem, thread};

use consensus::{Acceptor, LogRecord, Store, StoreError, StoredRecord};
use prometheus_client::metrics::histogram::Histogram;

use crate::event::DISK_FAILED;

/// The delay before a failed disk operation is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How many times opening the store is attempted at startup before the process gives up.
const MAX_OPEN_ATTEMPTS: u32 = 50;

/// A state that is stored as a log of records with snapshots.
pub trait LoggedState: Send + 'static {
    /// One change of the state.
    type Record: StoredRecord + Send + 'static;

    /// Applies a record. Records are replayed in the order in which they were written.
    fn replay(&mut self, record: Self::Record);

    /// Returns records that restore the state.
    fn snapshot(&self) -> Vec<Self::Record>;

    /// Drops the records of one write that later ones supersede. No record of a write takes effect before all of them
    /// are on disk.
    fn coalesce(records: Vec<Self::Record>) -> Vec<Self::Record> {
        records
    }
}

impl LoggedState for Acceptor {
    type Record = LogRecord;

    fn replay(&mut self, record: LogRecord) {
        self.replay(record);
    }

    fn snapshot(&self) -> Vec<LogRecord> {
        self.snapshot()
    }

    fn coalesce(records: Vec<LogRecord>) -> Vec<LogRecord> {
        latest_per_key(records)
    }
}

type Completion = Box<dyn FnOnce() + Send>;

struct WriteRequest<R> {
    records: Vec<R>,
    completion: Option<Completion>,
}

/// The queue of the disk thread.
pub struct Disk<S: LoggedState = Acceptor> {
    queue: Sender<WriteRequest<S::Record>>,
}

impl<S: LoggedState> Disk<S> {
    /// Starts the disk thread. Without a store, everything is kept in memory only. `state` is the state that the store
    /// restores. The duration of each write is recorded in `write_seconds`.
    pub fn start(store: Option<Store<S::Record>>, state: S, write_seconds: Histogram) -> Disk<S> {
        let (queue, requests) = mpsc::channel();
        thread::spawn(move || run(store, state, &requests, &write_seconds));
        Disk { queue }
    }

    /// Queues records to be written.
    pub fn write(&self, records: Vec<S::Record>) {
        let _ = self.queue.send(WriteRequest { records, completion: None });
    }

    /// Queues records and runs `completion` once they, and all records queued before them, are on disk.
    pub fn then(&self, records: Vec<S::Record>, completion: impl FnOnce() + Send + 'static) {
        let _ = self.queue.send(WriteRequest { records, completion: Some(Box::new(completion)) });
    }
}

/// An opened store with the state that was restored from it.
pub struct OpenedStore<S: LoggedState> {
    /// The store.
    pub store: Store<S::Record>,
    /// The state that its records restore.
    pub state: S,
    /// Whether the store held no records.
    pub is_empty: bool,
}

/// Opens a store and replays its records on `initial_state`. I/O errors may be transient and are retried for a while; a
/// damaged store is an error at once.
///
/// # Errors
/// The store is damaged, or the last attempt ended in an I/O error.
pub fn open<S: LoggedState>(path: &Path, initial_state: impl Fn() -> S) -> Result<OpenedStore<S>, StoreError> {
    let mut attempts = 0;
    loop {
        let mut state = initial_state();
        let mut is_empty = true;
        let opened = Store::open(path, &mut |record| {
            is_empty = false;
            state.replay(record);
        });
        attempts += 1;
        match opened {
            Err(error @ StoreError::Io { .. }) if attempts < MAX_OPEN_ATTEMPTS => report(&error, attempts == 1),
            outcome => return outcome.map(|store| OpenedStore { store, state, is_empty }),
        }
        thread::sleep(RETRY_DELAY);
    }
}

/// Writes the queued requests. `synced_state` is the state that is on disk, from which snapshots are taken.
fn run<S: LoggedState>(
    mut store: Option<Store<S::Record>>,
    mut synced_state: S,
    requests: &Receiver<WriteRequest<S::Record>>,
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
            let started = Instant::now();
            persist(store, S::coalesce(records), &mut synced_state);
            write_seconds.observe(started.elapsed().as_secs_f64());
        }
        for completion in completions {
            completion();
        }
    }
}

/// Returns only the last record of each kind and key of one write, since no record takes effect before all are on disk.
/// The permission to vote goes last, so that a torn write never contains it without the records that it depends on.
fn latest_per_key(records: Vec<LogRecord>) -> Vec<LogRecord> {
    let mut keys = HashSet::new();
    let (mut has_membership, mut may_vote) = (false, false);
    let mut kept = Vec::with_capacity(records.len());
    for record in records.into_iter().rev() {
        let is_latest = match &record {
            LogRecord::Register(register) => keys.insert(register.key.clone()),
            LogRecord::Membership(_) => !mem::replace(&mut has_membership, true),
            LogRecord::VotingEnabled => {
                may_vote = true;
                false
            }
        };
        if is_latest {
            kept.push(record);
        }
    }
    kept.reverse();
    kept.extend(may_vote.then_some(LogRecord::VotingEnabled));
    kept
}

/// Appends records to the store. A failed write is retried until it succeeds; no completion queued after it runs before
/// that.
fn persist<S: LoggedState>(store: &mut Store<S::Record>, records: Vec<S::Record>, synced_state: &mut S) {
    let mut first = true;
    while let Err(error) = store.append(&records) {
        report(&error, first);
        first = false;
        if store.is_snapshot_due() {
            snapshot(store, synced_state);
        }
        thread::sleep(RETRY_DELAY);
    }
    for record in records {
        synced_state.replay(record);
    }
    if store.is_snapshot_due() {
        snapshot(store, synced_state);
    }
}

fn snapshot<S: LoggedState>(store: &mut Store<S::Record>, synced_state: &S) {
    if let Err(error) = store.snapshot(&synced_state.snapshot()) {
        report(&error, true);
    }
}

/// Logs a disk error. Only the first of a series of retries is logged.
fn report(error: &StoreError, first: bool) {
    if first {
        kernel::log_event!(DISK_FAILED, "cause" => error.to_string());
    }
}

#[cfg(test)]
#[path = "disk_tests.rs"]
mod tests;
