//! The store at random work on a simulated disk that loses power, ends the process, fills up and refuses.
//! After each opening all that was reported as synced must be there, and nothing but part of what was
//! in flight may be new.

use std::fmt;

use kernel::{hashing, Rng};
use protocol::message::{CoreMembership, Entry, ProposalNumber, RegisterState};

use super::simulated_directory::SimulatedDirectory;
use super::simulated_disk::{Disk, Faults, SharedDisk};
use crate::acceptor::Acceptor;
use crate::storage::{Store, StoreError};
use crate::LogRecord;

const SEGMENT_BYTES: u64 = 2000;
const KEYS: u64 = 5;
const MAX_BODY_BYTES: u64 = 300;
/// The disk of a whole run: the store must never need more.
const CAPACITY: usize = 16_000;
/// What remains after a snapshot: all keys, the members, and a new segment with little in it.
const MAX_BYTES_AFTER_SNAPSHOT: usize = 4_000;

/// How a run failed.
#[derive(Debug)]
pub enum RunError {
    /// The store reports corruption where none was injected.
    TakenForCorrupted(StoreError),
    /// The store does not open on a disk without faults.
    NeverOpens(StoreError),
    /// Records that were reported as synced are missing, or others are there.
    WrongRecords { expected: Vec<LogRecord>, found: Vec<LogRecord> },
    /// No snapshot can be made on a disk without faults.
    NoSnapshot(StoreError),
    /// Nothing can be appended on a disk without faults.
    StaysFull(StoreError),
    /// So many bytes are left after a snapshot.
    BytesLeft(usize),
}

impl fmt::Display for RunError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RunError::TakenForCorrupted(error) => write!(formatter, "taken for corrupted: {error}"),
            RunError::NeverOpens(error) => write!(formatter, "never opens: {error}"),
            RunError::WrongRecords { expected, found } => {
                write!(formatter, "expected {expected:?}\nfound {found:?}")
            }
            RunError::NoSnapshot(error) => write!(formatter, "no snapshot: {error}"),
            RunError::StaysFull(error) => write!(formatter, "stays full: {error}"),
            RunError::BytesLeft(bytes) => {
                write!(formatter, "{bytes} bytes stay on the disk, at most {MAX_BYTES_AFTER_SNAPSHOT} expected")
            }
        }
    }
}

/// The store under test, and what must be found on its disk.
pub struct Run {
    pub disk: SharedDisk,
    pub rng: Rng,
    /// All that was reported as synced.
    acknowledged: Acceptor,
    /// Batches whose writing failed and that nothing has overwritten for certain.
    in_flight: Vec<Vec<LogRecord>>,
    term: u64,
}

fn after(acceptor: &Acceptor, records: &[LogRecord]) -> Acceptor {
    let mut next = acceptor.clone();
    records.iter().for_each(|record| next.replay(record.clone()));
    next
}

impl Run {
    /// Starts with an empty disk that has these faults.
    pub fn new(seed: u64, faults: Faults) -> Run {
        let disk = Disk::new(seed);
        disk.lock().expect("disk").faults = Faults { capacity: CAPACITY, ..faults };
        let acknowledged = Acceptor::new("10.0.0.1");
        Run { disk, rng: Rng::new(hashing::combine(seed, 3)), acknowledged, in_flight: Vec::new(), term: 0 }
    }

    /// Changes the faults of the disk.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.disk.lock().expect("disk").faults);
    }

    /// Returns whether the process has ended.
    pub fn crashed(&self) -> bool {
        self.disk.lock().expect("disk").crashed
    }

    fn record(&mut self) -> LogRecord {
        self.term += 1;
        match self.rng.below(12) {
            0 => return LogRecord::VotingEnabled,
            1 => return LogRecord::Membership(CoreMembership { version: self.term, ..Default::default() }),
            _ => {}
        }
        let proposal_number = ProposalNumber { term: self.term, replica_id: 1 };
        let body = vec![self.term as u8; self.rng.below(MAX_BODY_BYTES) as usize];
        let entry = Some(Entry { proposal_number, index: 0, body });
        LogRecord::Register(RegisterState {
            key: format!("k{}", self.rng.below(KEYS)),
            prepared: proposal_number,
            entry,
        })
    }

    fn batch(&mut self) -> Vec<LogRecord> {
        let count = 1 + self.rng.below(4);
        (0..count).map(|_| self.record()).collect()
    }

    fn end_process(&mut self) {
        let mut disk = self.disk.lock().expect("disk");
        match self.rng.below(3) {
            0 => disk.restart(),
            _ => disk.lose_power(),
        }
    }

    /// Opens again and again until it works, as the controller does.
    pub fn open(&mut self) -> Result<Store, RunError> {
        for attempt in 0.. {
            if attempt == 20 {
                self.faults(|faults| (faults.errors, faults.capacity) = (0, CAPACITY));
            }
            let mut found = Acceptor::new("10.0.0.1");
            let directory = Box::new(SimulatedDirectory(self.disk.clone()));
            match Store::open_directory(directory, SEGMENT_BYTES, &mut |record| found.replay(record)) {
                Ok(store) => {
                    self.check(&found)?;
                    self.acknowledged = found;
                    self.in_flight.clear();
                    return Ok(store);
                }
                Err(error @ StoreError::Corrupted { .. }) => return Err(RunError::TakenForCorrupted(error)),
                Err(StoreError::Io { .. }) if self.crashed() => self.end_process(),
                Err(error) if attempt > 40 => return Err(RunError::NeverOpens(error)),
                Err(_) => {}
            }
        }
        unreachable!("the loop has no end")
    }

    fn check(&self, found: &Acceptor) -> Result<(), RunError> {
        let may_be = |records: &[LogRecord]| after(&self.acknowledged, records).snapshot() == found.snapshot();
        let fits =
            may_be(&[]) || self.in_flight.iter().any(|batch| (1..=batch.len()).any(|length| may_be(&batch[..length])));
        match fits {
            true => Ok(()),
            false => Err(RunError::WrongRecords { expected: self.acknowledged.snapshot(), found: found.snapshot() }),
        }
    }

    /// Appends a batch, with retries as the controller makes them.
    pub fn append(&mut self, store: &mut Store) {
        let mut batch = self.batch();
        for _ in 0..4 {
            if store.append(&batch).is_ok() {
                self.acknowledged = after(&self.acknowledged, &batch);
                self.in_flight.clear();
                return;
            }
            self.in_flight.push(batch.clone());
            if self.crashed() {
                return;
            }
            if store.is_snapshot_due() {
                self.snapshot(store);
            }
            if self.rng.below(2) == 0 {
                batch = self.batch();
            }
        }
    }

    /// Tries to make a snapshot.
    pub fn snapshot(&mut self, store: &mut Store) {
        if store.snapshot(&self.acknowledged.snapshot()).is_ok() {
            self.in_flight.clear();
        }
    }

    fn inject_faults(&mut self) {
        let used = self.disk.lock().expect("disk").used();
        let free = self.rng.below(1500) as usize;
        let ahead = self.rng.below(40);
        match self.rng.below(5) {
            0 => self.faults(|faults| faults.errors = 0),
            1 => self.faults(|faults| faults.errors = 40),
            2 => self.faults(|faults| faults.errors = 300),
            3 => self.faults(|faults| faults.capacity = (used + free).min(CAPACITY)),
            _ => self.faults(|faults| faults.capacity = CAPACITY),
        }
        if self.rng.below(2) == 0 {
            self.faults(|faults| faults.crash_in = Some(ahead));
        }
    }

    /// Runs this many random operations, then checks that the store works on a disk without faults.
    pub fn steps(&mut self, count: u64) -> Result<(), RunError> {
        let mut store = self.open()?;
        for _ in 0..count {
            match self.rng.below(10) {
                0 | 1 => self.inject_faults(),
                2 => self.snapshot(&mut store),
                _ => self.append(&mut store),
            }
            if store.is_snapshot_due() {
                self.snapshot(&mut store);
            }
            if self.crashed() {
                self.end_process();
                store = self.open()?;
            }
        }
        drop(store);
        self.end_process();
        self.faults(|faults| (faults.errors, faults.capacity, faults.crash_in) = (0, CAPACITY, None));
        self.finish()
    }

    /// Once the disk works again, everything succeeds and files that are not needed are gone.
    pub fn finish(&mut self) -> Result<(), RunError> {
        let mut store = self.open()?;
        if store.is_snapshot_due() {
            store.snapshot(&self.acknowledged.snapshot()).map_err(RunError::NoSnapshot)?;
        }
        let batch = self.batch();
        store.append(&batch).map_err(RunError::StaysFull)?;
        self.acknowledged = after(&self.acknowledged, &batch);
        store.snapshot(&self.acknowledged.snapshot()).map_err(RunError::NoSnapshot)?;
        let used = self.disk.lock().expect("disk").used();
        if used > MAX_BYTES_AFTER_SNAPSHOT {
            return Err(RunError::BytesLeft(used));
        }
        self.disk.lock().expect("disk").lose_power();
        self.open().map(drop)
    }
}
