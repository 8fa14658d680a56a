//! A random workload of the store on a simulated disk with power losses, ended processes, full disks and errors.
//! Whenever the store is opened, all records that were reported as synced must be present, and the only other ones may
//! be the first records of a batch that was in flight.

use std::fmt;

use kernel::{hashing, Rng};
use protocol::message::{CoreMembership, Entry, ProposalNumber, RegisterState};

use super::simulated_directory::SimulatedDirectory;
use super::simulated_disk::{Disk, Faults, SharedDisk};
use crate::acceptor::Acceptor;
use crate::storage::{Store, StoreError};
use crate::LogRecord;

/// The segment length of the store under test, in bytes.
const SEGMENT_BYTES: u64 = 2000;
const KEYS: u64 = 5;
const MAX_BODY_BYTES: u64 = 300;
/// The capacity of the disk, in bytes. The store must never need more during a run.
const CAPACITY: usize = 16_000;
/// The maximum size of the files after a snapshot, in bytes: all keys, the membership and a new, short segment.
const MAX_BYTES_AFTER_SNAPSHOT: usize = 4_000;

/// The failure of a run.
#[derive(Debug)]
pub enum RunError {
    /// The store reported corruption although none was injected.
    FalseCorruption(StoreError),
    /// The store could not be opened on a disk without faults.
    OpenFailed(StoreError),
    /// Records that were reported as synced are missing, or unexpected records were found.
    WrongRecords { expected: Vec<LogRecord>, found: Vec<LogRecord> },
    /// No snapshot could be made on a disk without faults.
    SnapshotFailed(StoreError),
    /// No record could be appended on a disk without faults.
    AppendFailed(StoreError),
    /// The files are larger than expected after a snapshot; the size in bytes.
    TooManyBytes(usize),
}

impl fmt::Display for RunError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RunError::FalseCorruption(error) => write!(formatter, "corruption was reported but not injected: {error}"),
            RunError::OpenFailed(error) => write!(formatter, "the store cannot be opened: {error}"),
            RunError::WrongRecords { expected, found } => {
                write!(formatter, "expected {expected:?}\nfound {found:?}")
            }
            RunError::SnapshotFailed(error) => write!(formatter, "no snapshot can be made: {error}"),
            RunError::AppendFailed(error) => write!(formatter, "no record can be appended: {error}"),
            RunError::TooManyBytes(bytes) => {
                write!(
                    formatter,
                    "{bytes} bytes are in use after a snapshot, at most {MAX_BYTES_AFTER_SNAPSHOT} expected"
                )
            }
        }
    }
}

/// A run of the workload, with the state that must be found on the disk.
pub struct Run {
    pub disk: SharedDisk,
    pub rng: Rng,
    /// The state after all records that were reported as synced.
    acknowledged: Acceptor,
    /// Batches whose append failed and that are not yet known to be overwritten.
    in_flight: Vec<Vec<LogRecord>>,
    term: u64,
}

fn with_records(acceptor: &Acceptor, records: &[LogRecord]) -> Acceptor {
    let mut next = acceptor.clone();
    records.iter().for_each(|record| next.replay(record.clone()));
    next
}

impl Run {
    /// Creates a run with an empty disk that has these faults.
    pub fn new(seed: u64, faults: Faults) -> Run {
        let disk = Disk::new(seed);
        disk.lock().expect("the disk lock").faults = Faults { capacity: CAPACITY, ..faults };
        let acknowledged = Acceptor::new("10.0.0.1");
        Run { disk, rng: Rng::new(hashing::combine(seed, 3)), acknowledged, in_flight: Vec::new(), term: 0 }
    }

    /// Changes the faults of the disk.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.disk.lock().expect("the disk lock").faults);
    }

    /// Returns whether the process has ended.
    pub fn crashed(&self) -> bool {
        self.disk.lock().expect("the disk lock").crashed
    }

    fn random_record(&mut self) -> LogRecord {
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

    fn random_batch(&mut self) -> Vec<LogRecord> {
        let count = 1 + self.rng.below(4);
        (0..count).map(|_| self.random_record()).collect()
    }

    fn end_process(&mut self) {
        let mut disk = self.disk.lock().expect("the disk lock");
        match self.rng.below(3) {
            0 => disk.restart(),
            _ => disk.lose_power(),
        }
    }

    /// Opens the store, with retries as the controller makes them, and checks the records that are found.
    pub fn open(&mut self) -> Result<Store, RunError> {
        for attempt in 0.. {
            if attempt == 20 {
                self.change_faults(|faults| (faults.errors, faults.capacity) = (0, CAPACITY));
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
                Err(error @ StoreError::Corrupted { .. }) => return Err(RunError::FalseCorruption(error)),
                Err(StoreError::Io { .. }) if self.crashed() => self.end_process(),
                Err(error) if attempt > 40 => return Err(RunError::OpenFailed(error)),
                Err(_) => {}
            }
        }
        unreachable!("the loop only ends by returning")
    }

    fn check(&self, found: &Acceptor) -> Result<(), RunError> {
        let is_expected =
            |records: &[LogRecord]| with_records(&self.acknowledged, records).snapshot() == found.snapshot();
        let is_valid = is_expected(&[])
            || self.in_flight.iter().any(|batch| (1..=batch.len()).any(|length| is_expected(&batch[..length])));
        match is_valid {
            true => Ok(()),
            false => Err(RunError::WrongRecords { expected: self.acknowledged.snapshot(), found: found.snapshot() }),
        }
    }

    /// Appends a batch, with retries as the controller makes them.
    pub fn append(&mut self, store: &mut Store) {
        let mut batch = self.random_batch();
        for _ in 0..4 {
            if store.append(&batch).is_ok() {
                self.acknowledged = with_records(&self.acknowledged, &batch);
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
                batch = self.random_batch();
            }
        }
    }

    /// Tries to make a snapshot of the acknowledged state.
    pub fn snapshot(&mut self, store: &mut Store) {
        if store.snapshot(&self.acknowledged.snapshot()).is_ok() {
            self.in_flight.clear();
        }
    }

    fn inject_faults(&mut self) {
        let used = self.disk.lock().expect("the disk lock").used();
        let free = self.rng.below(1500) as usize;
        let operations = self.rng.below(40);
        match self.rng.below(5) {
            0 => self.change_faults(|faults| faults.errors = 0),
            1 => self.change_faults(|faults| faults.errors = 40),
            2 => self.change_faults(|faults| faults.errors = 300),
            3 => self.change_faults(|faults| faults.capacity = (used + free).min(CAPACITY)),
            _ => self.change_faults(|faults| faults.capacity = CAPACITY),
        }
        if self.rng.below(2) == 0 {
            self.change_faults(|faults| faults.crash_in = Some(operations));
        }
    }

    /// Runs this many random operations, then checks that the store works on a disk without faults.
    pub fn run_operations(&mut self, count: u64) -> Result<(), RunError> {
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
        self.change_faults(|faults| (faults.errors, faults.capacity, faults.crash_in) = (0, CAPACITY, None));
        self.finish()
    }

    /// Checks that every operation succeeds once the disk works again, and that files that are not needed are removed.
    pub fn finish(&mut self) -> Result<(), RunError> {
        let mut store = self.open()?;
        if store.is_snapshot_due() {
            store.snapshot(&self.acknowledged.snapshot()).map_err(RunError::SnapshotFailed)?;
        }
        let batch = self.random_batch();
        store.append(&batch).map_err(RunError::AppendFailed)?;
        self.acknowledged = with_records(&self.acknowledged, &batch);
        store.snapshot(&self.acknowledged.snapshot()).map_err(RunError::SnapshotFailed)?;
        let used = self.disk.lock().expect("the disk lock").used();
        if used > MAX_BYTES_AFTER_SNAPSHOT {
            return Err(RunError::TooManyBytes(used));
        }
        self.disk.lock().expect("the disk lock").lose_power();
        self.open().map(drop)
    }
}
