//! A state's disk on a thread of its own, so that a disk that stalls holds up what waits for it and nothing else. Records are
//! written in the order in which they are handed over; a response leaves once all records before it are on disk.

use std::collections::HashSet;
use std::path::Path;
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::{Duration, Instant};
use std::{iter, mem, thread};

use consensus::{Acceptor, LogRecord, Store, StoreError, StoredRecord};
use prometheus_client::metrics::histogram::Histogram;

use crate::event::DISK_WAIT;

/// The pause before a write that failed is tried again.
const RETRY: Duration = Duration::from_millis(100);
/// How often a disk that fails is tried when the process starts, before it ends.
const OPEN_ATTEMPTS: u32 = 50;

/// A state that is kept as a log of records with snapshots.
pub trait LoggedState: Send + 'static {
    /// One change of the state.
    type Record: StoredRecord + Send + 'static;

    /// Applies a record, in the order in which they were written.
    fn replay(&mut self, record: Self::Record);

    /// Returns records that restore the state.
    fn snapshot(&self) -> Vec<Self::Record>;

    /// Returns, of the records of one write, those that are needed: none of them counts before all are on disk.
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
        newest(records)
    }
}

type Completion = Box<dyn FnOnce() + Send>;

struct WriteRequest<R> {
    records: Vec<R>,
    completion: Option<Completion>,
}

/// The queue to the thread that writes.
pub struct Disk<S: LoggedState = Acceptor> {
    queue: Sender<WriteRequest<S::Record>>,
}

impl<S: LoggedState> Disk<S> {
    /// Starts the thread. Without a store everything is kept in memory only. `state` is what the store holds. The time of
    /// each write is recorded in `write_seconds`.
    pub fn start(store: Option<Store<S::Record>>, state: S, write_seconds: Histogram) -> Disk<S> {
        let (queue, requests) = mpsc::channel();
        thread::spawn(move || run(store, state, &requests, &write_seconds));
        Disk { queue }
    }

    /// Writes records, after all before them.
    pub fn write(&self, records: Vec<S::Record>) {
        let _ = self.queue.send(WriteRequest { records, completion: None });
    }

    /// Runs `completion` once the records, and all before them, are on disk.
    pub fn then(&self, records: Vec<S::Record>, completion: impl FnOnce() + Send + 'static) {
        let _ = self.queue.send(WriteRequest { records, completion: Some(Box::new(completion)) });
    }
}

/// A store with the state that was found in it.
pub struct OpenedStore<S: LoggedState> {
    /// The store.
    pub store: Store<S::Record>,
    /// The state that its records restore.
    pub state: S,
    /// There were no records.
    pub is_empty: bool,
}

/// Opens a store and replays it on what `blank` gives. A disk that fails is tried again for a while: that is no reason to end, a
/// damaged store is.
///
/// # Errors
/// The store is damaged, or the disk failed for so long.
pub fn open<S: LoggedState>(path: &Path, blank: impl Fn() -> S) -> Result<OpenedStore<S>, StoreError> {
    let mut attempts = 0;
    loop {
        let mut state = blank();
        let mut is_empty = true;
        let opened = Store::open(path, &mut |record| {
            is_empty = false;
            state.replay(record);
        });
        attempts += 1;
        match opened {
            Err(error @ StoreError::Io { .. }) if attempts < OPEN_ATTEMPTS => report(&error, attempts == 1),
            outcome => return outcome.map(|store| OpenedStore { store, state, is_empty }),
        }
        thread::sleep(RETRY);
    }
}

/// `synced_state` follows what is on disk, for snapshots.
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
            let begun = Instant::now();
            persist(store, S::coalesce(records), &mut synced_state);
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
fn persist<S: LoggedState>(store: &mut Store<S::Record>, records: Vec<S::Record>, synced_state: &mut S) {
    let mut first = true;
    while let Err(error) = store.append(&records) {
        report(&error, first);
        first = false;
        if store.is_snapshot_due() {
            snapshot(store, synced_state);
        }
        thread::sleep(RETRY);
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

/// `first`: not a repetition of the same.
fn report(error: &StoreError, first: bool) {
    if first {
        kernel::log_event!(DISK_WAIT, "cause" => error.to_string());
    }
}

#[cfg(test)]
#[path = "disk_tests.rs"]
mod tests;
