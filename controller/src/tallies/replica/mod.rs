//! A replica of the tallies: its log in memory and on disk.
//!
//! [`adds`] accepts entries and waits until enough disks have them, [`sync`] exchanges them with other replicas,
//! [`catch_up`] decides when a started replica may serve requests, [`room`] bounds the size of the log,
//! [`reported_redundancy`] logs when adds are acknowledged on fewer disks than required, or rejected.
//!
//! An entry is applied, then synced to the local disk, and only then sent to other replicas (docs/counters.md). After a
//! power loss the log continues where the disk ends, and no other replica has seen entries beyond that.

mod adds;
mod catch_up;
mod reported_redundancy;
mod room;
mod sync;

use std::path::Path;
use std::sync::Arc;

use consensus::StoreError;
use kernel::clock;
use kernel::settings::Settings;
use parking_lot::Mutex;
use prometheus_client::metrics::histogram::Histogram;
use protocol::tally::{Origin, OriginVersion, TallySynced};
use tally::{Capacity, PackingGate, Redundancy, ReplicaSet, TallyLog, TallyRecord, VersionVector};
use tokio::sync::{watch, Notify};

pub use adds::{AddOutcome, Refusal};
pub use room::TallyUsage;

use self::reported_redundancy::ReportedRedundancy;
use crate::replication::disk::{self, Disk, LoggedState};

/// The folder of the tallies below the data folder.
const FOLDER: &str = "tallies";
/// Time without disk progress after which new entries are rejected, in ms.
const DISK_STALL_MS: u64 = 400;

impl LoggedState for TallyLog {
    type Record = TallyRecord;

    fn replay(&mut self, record: TallyRecord) {
        self.replay(record);
    }

    fn snapshot(&self) -> Vec<TallyRecord> {
        self.snapshot()
    }
}

struct State {
    log: TallyLog,
    replicas: ReplicaSet,
    caught_up: bool,
    /// Whether a peer that has caught up must respond before this replica may serve requests. Set if this replica has
    /// never caught up since its disk was empty.
    needs_informed_peer: bool,
    started_at: u64,
    /// When an add was last requested, in ms.
    added_at: Option<u64>,
    reported_redundancy: ReportedRedundancy,
    /// The number of writes that the disk has not finished.
    unfinished_writes: usize,
    /// When the disk last finished a write or had none to do, in ms.
    disk_progress_at: u64,
    /// Decides when entries may be sealed and sent packed.
    packing: PackingGate,
    reported_fill: room::Fill,
}

struct Inner {
    own_ip: String,
    capacity: Capacity,
    state: Mutex<State>,
    disk: Disk<TallyLog>,
    /// Notified whenever more entries may have become durable.
    progress: Notify,
    /// The number of entries of the own origin that are on disk. The sync tasks watch it.
    own_length: watch::Sender<u64>,
}

/// A replica of the tallies. Clones share the same replica.
#[derive(Clone)]
pub struct TallyReplica(Arc<Inner>);

/// Returns how many disks and zones must have an entry so that it survives every loss within the fault tolerance.
fn redundancy(settings: &Settings) -> Redundancy {
    let tolerance = settings.fault_tolerance;
    Redundancy { replicas: tolerance.machine_loss as usize + 1, zones: tolerance.zones as usize + 1 }
}

impl TallyReplica {
    /// Opens the replica in the data folder. On an empty disk it takes its origin from `random`, and if the settings
    /// mark the first start of the whole system (`bootstrap`), it has nothing to catch up with.
    ///
    /// # Errors
    ///
    /// Fails if the store is damaged or the disk keeps failing.
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
            needs_informed_peer: !log.had_caught_up(),
            started_at: now,
            added_at: None,
            reported_redundancy: ReportedRedundancy::default(),
            unfinished_writes: 0,
            disk_progress_at: now,
            packing: PackingGate::new(now),
            reported_fill: room::Fill::Normal,
            log,
        };
        Ok(TallyReplica(Arc::new(Inner {
            own_ip: settings.ip.clone(),
            capacity: Capacity::of_machine(settings.limits.memory_mb, settings.limits.disk_mb),
            state: Mutex::new(state),
            disk,
            progress: Notify::new(),
            own_length,
        })))
    }

    /// Returns the total of a tally, or `None` while this replica may lack acknowledged entries.
    pub fn total(&self, tally: &str) -> Option<u128> {
        let state = self.0.state.lock();
        state.caught_up.then(|| state.log.total(tally))
    }

    /// Returns all tallies with their totals, or `None` while this replica may lack acknowledged entries.
    pub fn totals(&self) -> Option<Vec<(String, u128)>> {
        let state = self.0.state.lock();
        state.caught_up.then(|| state.log.totals().map(|(name, total)| (name.to_string(), total)).collect())
    }

    /// Writes records. Once they are on disk, marks their versions as durable and runs `completion`. The caller holds
    /// the state lock, so the order on disk is the order of the log.
    fn write(&self, state: &mut State, records: Vec<TallyRecord>, completion: impl FnOnce(&Inner) + Send + 'static) {
        if state.unfinished_writes == 0 {
            state.disk_progress_at = clock::now();
        }
        state.unfinished_writes += 1;
        let written: VersionVector = records.iter().filter_map(version_after).collect();
        let inner = self.0.clone();
        self.0.disk.then(records, move || {
            inner.record_written(&written);
            completion(&inner);
        });
    }
}

/// Returns the log length of a record's origin once the record is applied.
fn version_after(record: &TallyRecord) -> Option<OriginVersion> {
    match record {
        TallyRecord::Batch(batch) => {
            Some(OriginVersion { origin: batch.origin, length: batch.start + batch.entries.len() as u64 })
        }
        TallyRecord::Packed(batch) => {
            Some(OriginVersion { origin: batch.origin, length: batch.start + batch.digests.len() as u64 })
        }
        // Sealed entries were on disk before.
        TallyRecord::Sealed(_) | TallyRecord::Origin(_) | TallyRecord::CaughtUp => None,
    }
}

impl State {
    fn is_disk_stalled(&self, now: u64) -> bool {
        self.unfinished_writes > 0 && now > self.disk_progress_at + DISK_STALL_MS
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
        self.own_length.send_if_modified(|previous| {
            *previous != own_length && {
                *previous = own_length;
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

#[cfg(test)]
#[path = "replica_tests.rs"]
mod tests;
