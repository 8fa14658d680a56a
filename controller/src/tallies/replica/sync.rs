//! What is sent to other replicas, and what comes from them.

use kernel::clock;
use protocol::message::Message;
use protocol::tally::{PackedBatch, PackedTallySync, TallyBatch, TallySync, TallySynced};
use tally::{LagTracker, TallyRecord, VersionVector};
use tokio::sync::watch;

use super::{State, TallyReplica};

/// What one message to another replica carries at most, in bytes.
const MAX_SYNC_BYTES: usize = 64 * 1024;

impl State {
    /// Applies batches and returns records of what was new.
    fn apply(&mut self, batches: &[TallyBatch], packed: &[PackedBatch]) -> Vec<TallyRecord> {
        let mut records: Vec<TallyRecord> =
            batches.iter().filter_map(|batch| self.log.apply(batch)).map(TallyRecord::Batch).collect();
        let new = packed.iter().filter_map(|batch| self.log.apply_packed(batch));
        records.extend(new.map(|batch| TallyRecord::Packed(Box::new(batch))));
        records
    }
}

/// The exchange with other replicas.
impl TallyReplica {
    /// Takes what another replica sent, packed or not, and responds once it is on disk.
    pub fn receive(
        &self,
        sync: &TallySync,
        packed: &[PackedBatch],
        respond: impl FnOnce(TallySynced) + Send + 'static,
    ) {
        let now = clock::now();
        let mut state = self.0.state.lock();
        state.replicas.discover(&sync.ip, "", now);
        let has_room = !state.is_disk_stalled(now) && self.0.has_foreign_room(&state);
        let new = if has_room { state.apply(&sync.batches, packed) } else { Vec::new() };
        if new.is_empty() {
            drop(state);
            respond(self.0.answer());
            return;
        }
        self.write(&mut state, new, |inner| respond(inner.answer()));
    }

    /// Returns what another replica is to be sent, packed if it reads that and no older one is or was there lately. `lag`
    /// follows that replica.
    pub fn sync_for(&self, ip: &str, reads_packed: bool, lag: &mut LagTracker) -> Message {
        let now = clock::now();
        let state = self.0.state.lock();
        let is_packed = reads_packed && state.packing.is_open(now);
        let durable = state.replicas.own_durable();
        let (mut batches, mut packed) = (Vec::new(), Vec::new());
        // Nothing is sent blindly: the first call asks what the other one has.
        if let Some(known) = state.replicas.durable_at(ip) {
            lag.observe(known, durable, now);
            let own = state.log.own_origin();
            let is_wanted = |origin| lag.is_wanted(origin, own, now);
            if is_packed {
                packed = state.log.missing_packed_at(known, durable, is_wanted, MAX_SYNC_BYTES);
            } else {
                batches = state.log.missing_at(known, durable, is_wanted, MAX_SYNC_BYTES);
            }
        }
        let durable = durable.iter().collect();
        let sync = TallySync { ip: self.0.own_ip.clone(), durable, caught_up: state.caught_up, batches };
        match packed.is_empty() {
            true => Message::TallySync(Box::new(sync)),
            false => Message::PackedTallySync(Box::new(PackedTallySync { sync, packed })),
        }
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

    /// Returns a receiver that is told when more of the own log is on disk.
    pub fn own_length(&self) -> watch::Receiver<u64> {
        self.0.own_length.subscribe()
    }
}
