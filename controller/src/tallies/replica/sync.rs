//! Exchanges entries with other replicas.

use kernel::clock;
use protocol::message::{Member, Message};
use protocol::tally::{PackedBatch, PackedTallySync, TallyBatch, TallySync, TallySynced};
use tally::{LagTracker, TallyRecord, VersionVector};
use tokio::sync::watch;

use super::{State, TallyReplica};

/// The maximum size of the entries in one message, in bytes.
const MAX_SYNC_BYTES: usize = 64 * 1024;
/// How long after an add the zones of silent replicas are probed, in ms.
const PROBES_AFTER_ADD_MS: u64 = 2000;

impl State {
    /// Applies batches and returns records of the new entries.
    fn apply(&mut self, batches: &[TallyBatch], packed: &[PackedBatch]) -> Vec<TallyRecord> {
        let mut records: Vec<TallyRecord> =
            batches.iter().filter_map(|batch| self.log.apply(batch)).map(TallyRecord::Batch).collect();
        let new_batches = packed.iter().filter_map(|batch| self.log.apply_packed(batch));
        records.extend(new_batches.map(|batch| TallyRecord::Packed(Box::new(batch))));
        records
    }
}

/// The exchange with other replicas.
impl TallyReplica {
    /// Receives batches, packed or not, from another replica and responds once they are on disk.
    pub fn receive(
        &self,
        sync: &TallySync,
        packed: &[PackedBatch],
        respond: impl FnOnce(TallySynced) + Send + 'static,
    ) {
        let now = clock::now();
        let mut state = self.0.state.lock();
        state.replicas.discover(&sync.ip, "", now);
        let has_room = !state.is_disk_stalled(now) && self.0.has_room_for_remote(&state);
        let new_records = if has_room { state.apply(&sync.batches, packed) } else { Vec::new() };
        if new_records.is_empty() {
            drop(state);
            respond(self.0.answer());
            return;
        }
        self.write(&mut state, new_records, |inner| respond(inner.answer()));
    }

    /// Returns the next message for another replica. Entries are packed if that replica supports it and no replica
    /// without support is known or was known recently. `lag` tracks what that replica lacks.
    pub fn sync_for(&self, ip: &str, reads_packed: bool, lag: &mut LagTracker) -> Message {
        let now = clock::now();
        let state = self.0.state.lock();
        let is_packed = reads_packed && state.packing.is_open(now);
        let durable = state.replicas.own_durable();
        let (mut batches, mut packed) = (Vec::new(), Vec::new());
        // The first call sends no entries; its response tells what the replica has.
        if let Some(peer_durable) = state.replicas.durable_at(ip) {
            lag.observe(peer_durable, durable, now);
            let own = state.log.own_origin();
            let is_wanted = |origin| lag.is_wanted(origin, own, now);
            if is_packed {
                packed = state.log.missing_packed_at(peer_durable, durable, is_wanted, MAX_SYNC_BYTES);
            } else {
                batches = state.log.missing_at(peer_durable, durable, is_wanted, MAX_SYNC_BYTES);
            }
        }
        let durable = durable.iter().collect();
        let sync = TallySync { ip: self.0.own_ip.clone(), durable, caught_up: state.caught_up, batches };
        match packed.is_empty() {
            true => Message::TallySync(Box::new(sync)),
            false => Message::PackedTallySync(Box::new(PackedTallySync { sync, packed })),
        }
    }

    /// Records a controller in `zone` that may have a replica.
    pub fn discover(&self, ip: &str, zone: &str) {
        self.0.state.lock().replicas.discover(ip, zone, clock::now());
    }

    /// Sets the core members, each with its zone. They store tallies.
    pub fn set_members(&self, members: Vec<Member>) {
        let members = members.into_iter().map(|member| (member.ip, member.zone));
        self.0.state.lock().replicas.set_members(members);
    }

    /// Returns the zones whose processes should be probed now to tell a partition from a loss of replicas. There are
    /// none while nothing is being added.
    pub fn start_probes(&self) -> Vec<String> {
        let now = clock::now();
        let mut state = self.0.state.lock();
        if state.added_at.is_none_or(|added_at| added_at + PROBES_AFTER_ADD_MS < now) {
            return Vec::new();
        }
        state.replicas.observe_time(now);
        state.replicas.start_probes(now)
    }

    /// Records whether any process of a zone answered a probe that was sent at `sent_at`.
    pub fn record_probe(&self, zone: &str, sent_at: u64, is_answered: bool) {
        let now = clock::now();
        let mut state = self.0.state.lock();
        state.replicas.observe_time(now);
        match is_answered {
            true => state.replicas.record_zone_answer(zone, now),
            false => state.replicas.record_unanswered_probe(zone, sent_at),
        }
        drop(state);
        self.0.progress.notify_waiters();
    }

    /// Sets the zone of a controller if it is a known replica.
    pub fn set_zone(&self, ip: &str, zone: &str) {
        self.0.state.lock().replicas.set_zone(ip, zone);
    }

    /// Removes a controller that has no replica or is no longer known.
    pub fn forget(&self, ip: &str) {
        self.0.state.lock().replicas.forget(ip);
    }

    /// Records the answer of another replica. Returns whether it has more entries than in its previous answer.
    pub fn record_answer(&self, ip: &str, answer: TallySynced) -> bool {
        let durable: VersionVector = answer.durable.into_iter().collect();
        let mut state = self.0.state.lock();
        let has_advanced = state.replicas.durable_at(ip).is_none_or(|peer_durable| !peer_durable.covers(&durable));
        state.replicas.record_answer(ip, durable, answer.caught_up, clock::now());
        drop(state);
        self.0.progress.notify_waiters();
        has_advanced
    }

    /// Returns a receiver for the number of entries of the own origin that are on disk.
    pub fn own_length(&self) -> watch::Receiver<u64> {
        self.0.own_length.subscribe()
    }
}
