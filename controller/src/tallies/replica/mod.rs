//! A replica of the tallies: its log in memory and on disk, and the adds that wait until enough disks have them.
//!
//! An entry is applied, then synced here, and only then sent to others (docs/counters.md): after a loss of power the log goes on
//! where the disk ends, and no other replica has seen more of it.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use consensus::StoreError;
use kernel::settings::Settings;
use kernel::{clock, log_event};
use parking_lot::Mutex;
use prometheus_client::metrics::histogram::Histogram;
use protocol::tally::{Origin, OriginVersion, TallyBatch, TallyEntry, TallySync, TallySynced};
use tally::{max_entries, Dot, LagTracker, Redundancy, ReplicaSet, TallyLog, TallyRecord, VersionVector};
use tokio::sync::{watch, Notify};
use tokio::time;

use crate::event::{TALLIES_CAUGHT_UP, TALLIES_FULL};
use crate::replication::disk::{self, Disk, LoggedState};

/// The folder of the tallies below the data folder.
const FOLDER: &str = "tallies";
/// How long an add may wait for its acknowledgement, in milliseconds: below a second, after which callers give up.
const ADD_TIMEOUT_MS: u64 = 800;
/// How often an add that waits looks whether a replica has gone out of reach meanwhile.
const REACH_POLL: Duration = Duration::from_millis(50);
/// A replica that was started listens for the others for so long at least, in milliseconds: two heartbeats.
const MIN_CATCH_UP_MS: u64 = 700;
/// Without progress of the disk for so long, in milliseconds, nothing new is taken.
const DISK_STALL_MS: u64 = 400;
/// What one message to another replica carries at most, in bytes.
const MAX_SYNC_BYTES: usize = 64 * 1024;

impl LoggedState for TallyLog {
    type Record = TallyRecord;

    fn replay(&mut self, record: TallyRecord) {
        self.replay(record);
    }

    fn snapshot(&self) -> Vec<TallyRecord> {
        self.snapshot()
    }
}

/// Why an add was not taken: nothing was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This replica was started lately and may lack what others have.
    CatchingUp,
    /// The disk has not written anything for a while.
    DiskStalled,
    /// There are as many keys as this machine bears.
    Full,
}

/// What became of an add.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddOutcome {
    /// It counts, and outlives every loss that is to be borne.
    Acknowledged,
    /// Nothing was done.
    Refused(Refusal),
    /// It is in the log here, and may come to count: too few disks have confirmed it in time.
    Unconfirmed,
}

/// How much a replica has and knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TallyCounts {
    /// Entries in all logs.
    pub entries: usize,
    /// Other replicas.
    pub known: usize,
    /// Those of them that answered within the last second.
    pub in_reach: usize,
}

struct State {
    log: TallyLog,
    replicas: ReplicaSet,
    caught_up: bool,
    /// The disk was empty at the start: another replica that knows something must be heard first.
    needs_informed: bool,
    started_at: u64,
    /// Writes that the disk has not finished, and when it last finished one or had none.
    unfinished_writes: usize,
    disk_progress_at: u64,
    is_full_reported: bool,
}

struct Inner {
    own_ip: String,
    max_entries: usize,
    state: Mutex<State>,
    disk: Disk<TallyLog>,
    /// Notified whenever more entries may have become durable.
    progress: Notify,
    /// How many entries of the own log are on disk: whoever sends them to others follows it.
    own_length: watch::Sender<u64>,
}

/// A replica of the tallies. Clones are handles to the same one.
#[derive(Clone)]
pub struct TallyReplica(Arc<Inner>);

/// How many disks and zones must have an entry so that any loss to be borne leaves one.
fn redundancy(settings: &Settings) -> Redundancy {
    let tolerance = settings.fault_tolerance;
    Redundancy { replicas: tolerance.machine_loss as usize + 1, zones: tolerance.zones as usize + 1 }
}

impl TallyReplica {
    /// Opens the replica in the data folder. On an empty disk it draws an origin from `random`, and if the whole system starts
    /// for the first time, it knows that there is nothing to catch up with.
    ///
    /// # Errors
    ///
    /// The store is damaged, or the disk failed for long.
    pub fn open(
        settings: &Settings,
        data_dir: &str,
        random: u64,
        writes: Histogram,
    ) -> Result<TallyReplica, StoreError> {
        let opened = disk::open(&Path::new(data_dir).join(FOLDER), TallyLog::default)?;
        let mut log = opened.state;
        let mut first_records = Vec::new();
        if opened.is_empty {
            first_records.push(TallyRecord::Origin(Origin(random)));
            first_records.extend(settings.bootstrap.then_some(TallyRecord::CaughtUp));
        }
        let disk = Disk::start(Some(opened.store), log.clone(), writes);
        first_records.iter().cloned().for_each(|record| log.replay(record));
        disk.write(first_records);
        let now = clock::now();
        let (own_length, _) = watch::channel(0);
        let state = State {
            replicas: ReplicaSet::new(&settings.zone, redundancy(settings), log.versions()),
            caught_up: false,
            needs_informed: !log.had_caught_up(),
            started_at: now,
            unfinished_writes: 0,
            disk_progress_at: now,
            is_full_reported: false,
            log,
        };
        Ok(TallyReplica(Arc::new(Inner {
            own_ip: settings.ip.clone(),
            max_entries: max_entries(settings.limits.memory_mb, settings.limits.disk_mb),
            state: Mutex::new(state),
            disk,
            progress: Notify::new(),
            own_length,
        })))
    }

    /// Adds to a tally, once for each key, and waits until that may be acknowledged.
    ///
    /// Cancel safe in the sense of a lost answer: the entry may count.
    pub async fn add(&self, entry: TallyEntry) -> AddOutcome {
        let dot = match self.begin_add(entry) {
            Ok(dot) => dot,
            Err(refusal) => return AddOutcome::Refused(refusal),
        };
        let is_durable = async {
            loop {
                let progress = self.0.progress.notified();
                if self.0.state.lock().replicas.is_durable(dot, clock::now()) {
                    return;
                }
                let _ = time::timeout(REACH_POLL, progress).await;
            }
        };
        match time::timeout(Duration::from_millis(ADD_TIMEOUT_MS), is_durable).await {
            Ok(()) => AddOutcome::Acknowledged,
            Err(_) => AddOutcome::Unconfirmed,
        }
    }

    /// Puts an entry into the log unless its key is there, and returns its place.
    fn begin_add(&self, entry: TallyEntry) -> Result<Dot, Refusal> {
        let now = clock::now();
        let mut state = self.0.state.lock();
        if !state.caught_up {
            return Err(Refusal::CatchingUp);
        }
        if let Some(dot) = state.log.find(&entry.tally, &entry.instance_id) {
            return Ok(dot);
        }
        if state.is_disk_stalled(now) {
            return Err(Refusal::DiskStalled);
        }
        if state.log.entry_count() >= self.0.max_entries {
            state.report_full();
            return Err(Refusal::Full);
        }
        let dot = state.log.append(entry.clone());
        let batch = TallyBatch { origin: dot.origin, start: dot.sequence, entries: vec![entry] };
        self.write(&mut state, vec![TallyRecord::Batch(batch)], |_| {});
        Ok(dot)
    }

    /// Returns the total of a tally; `None` while this replica may lack what others have acknowledged.
    pub fn total(&self, tally: &str) -> Option<u128> {
        let state = self.0.state.lock();
        state.caught_up.then(|| state.log.total(tally))
    }

    /// Returns all tallies with their totals; `None` while this replica may lack what others have acknowledged.
    pub fn totals(&self) -> Option<Vec<(String, u128)>> {
        let state = self.0.state.lock();
        state.caught_up.then(|| state.log.totals().map(|(name, total)| (name.to_string(), total)).collect())
    }

    /// Returns how much there is.
    pub fn counts(&self) -> TallyCounts {
        let state = self.0.state.lock();
        let (known, in_reach) = state.replicas.counts(clock::now());
        TallyCounts { entries: state.log.entry_count(), known, in_reach }
    }

    /// Writes records and runs `completion` once they are on disk, with what is on it then. The lock is held, so that the
    /// order on disk is the order of the log.
    fn write(&self, state: &mut State, records: Vec<TallyRecord>, completion: impl FnOnce(&Inner) + Send + 'static) {
        if state.unfinished_writes == 0 {
            state.disk_progress_at = clock::now();
        }
        state.unfinished_writes += 1;
        let written: VersionVector = records.iter().filter_map(end_of).collect();
        let inner = self.0.clone();
        self.0.disk.then(records, move || {
            inner.record_written(&written);
            completion(&inner);
        });
    }
}

/// Returns how long the log of an origin is with a record.
fn end_of(record: &TallyRecord) -> Option<OriginVersion> {
    match record {
        TallyRecord::Batch(batch) => {
            Some(OriginVersion { origin: batch.origin, length: batch.start + batch.entries.len() as u64 })
        }
        TallyRecord::Origin(_) | TallyRecord::CaughtUp => None,
    }
}

impl State {
    fn is_disk_stalled(&self, now: u64) -> bool {
        self.unfinished_writes > 0 && now > self.disk_progress_at + DISK_STALL_MS
    }

    fn report_full(&mut self) {
        if !self.is_full_reported {
            self.is_full_reported = true;
            log_event!(TALLIES_FULL, "entries" => self.log.entry_count());
        }
    }

    fn own_length(&self) -> u64 {
        self.log.own_origin().map_or(0, |origin| self.replicas.own_durable().length(origin))
    }
}

impl Inner {
    fn record_written(&self, written: &VersionVector) {
        let mut state = self.state.lock();
        state.unfinished_writes -= 1;
        state.disk_progress_at = clock::now();
        state.replicas.record_own(written);
        let own_length = state.own_length();
        drop(state);
        self.own_length.send_if_modified(|known| {
            *known != own_length && {
                *known = own_length;
                true
            }
        });
        self.progress.notify_waiters();
    }

    fn answer(&self) -> TallySynced {
        let state = self.state.lock();
        TallySynced {
            is_replica: true,
            caught_up: state.caught_up,
            durable: state.replicas.own_durable().iter().collect(),
        }
    }
}

/// The exchange with other replicas.
impl TallyReplica {
    /// Takes what another replica sent, and responds once it is on disk.
    pub fn receive(&self, sync: &TallySync, respond: impl FnOnce(TallySynced) + Send + 'static) {
        let now = clock::now();
        let mut state = self.0.state.lock();
        state.replicas.discover(&sync.ip, "", now);
        let has_room = !state.is_disk_stalled(now) && state.log.entry_count() < 2 * self.0.max_entries;
        let batches = sync.batches.iter().filter(|_| has_room);
        let new: Vec<TallyRecord> =
            batches.filter_map(|batch| state.log.apply(batch)).map(TallyRecord::Batch).collect();
        if new.is_empty() {
            drop(state);
            respond(self.0.answer());
            return;
        }
        self.write(&mut state, new, |inner| respond(inner.answer()));
    }

    /// Returns what another replica is to be sent. `lag` follows that replica.
    pub fn sync_for(&self, ip: &str, lag: &mut LagTracker) -> TallySync {
        let now = clock::now();
        let state = self.0.state.lock();
        let durable = state.replicas.own_durable();
        let batches = match state.replicas.durable_at(ip) {
            // Nothing is sent blindly: the first call asks what the other one has.
            None => Vec::new(),
            Some(known) => {
                lag.observe(known, durable, now);
                let own = state.log.own_origin();
                state.log.missing_at(known, durable, |origin| lag.is_wanted(origin, own, now), MAX_SYNC_BYTES)
            }
        };
        let durable = durable.iter().collect();
        TallySync { ip: self.0.own_ip.clone(), durable, caught_up: state.caught_up, batches }
    }

    /// Notes a controller that may keep tallies, in a zone.
    pub fn discover(&self, ip: &str, zone: &str) {
        self.0.state.lock().replicas.discover(ip, zone, clock::now());
    }

    /// Notes the zone of a replica, if it is one.
    pub fn set_zone(&self, ip: &str, zone: &str) {
        self.0.state.lock().replicas.set_zone(ip, zone);
    }

    /// Forgets a controller that keeps no tallies.
    pub fn forget(&self, ip: &str) {
        self.0.state.lock().replicas.forget(ip);
    }

    /// Notes the answer of another replica. Returns whether it has more than when it answered before.
    pub fn record_answer(&self, ip: &str, answer: TallySynced) -> bool {
        let durable: VersionVector = answer.durable.into_iter().collect();
        let mut state = self.0.state.lock();
        let has_advanced = state.replicas.durable_at(ip).is_none_or(|known| !known.covers(&durable));
        state.replicas.record_answer(ip, durable, answer.caught_up, clock::now());
        drop(state);
        self.0.progress.notify_waiters();
        has_advanced
    }

    /// Looks whether a replica that was started has caught up with the others.
    pub fn update_caught_up(&self) {
        let now = clock::now();
        let mut state = self.0.state.lock();
        let has_listened = now >= state.started_at + MIN_CATCH_UP_MS;
        if state.caught_up || !has_listened || !state.replicas.has_caught_up(state.needs_informed, now) {
            return;
        }
        state.caught_up = true;
        if state.needs_informed {
            state.log.replay(TallyRecord::CaughtUp);
            self.write(&mut state, vec![TallyRecord::CaughtUp], |_| {});
        }
        let (known, in_reach) = state.replicas.counts(now);
        log_event!(TALLIES_CAUGHT_UP, "entries" => state.log.entry_count(), "known" => known, "in_reach" => in_reach,
            "took_ms" => now - state.started_at);
    }

    /// Returns a receiver that is told when more of the own log is on disk.
    pub fn own_length(&self) -> watch::Receiver<u64> {
        self.0.own_length.subscribe()
    }
}

#[cfg(test)]
#[path = "replica_tests.rs"]
mod tests;
