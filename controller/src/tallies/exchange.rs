//! Synchronizes the tally replicas: one task per peer, which calls when the local log has grown and at a fixed interval
//! otherwise.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use kernel::startup;
use parking_lot::Mutex;
use protocol::message::{Message, PACKED_TALLIES, TALLIES};
use tally::LagTracker;
use tokio::sync::watch;
use tokio::time;

use crate::peers::network::PeerNetwork;
use crate::tallies::TallyReplica;

/// Interval between calls to a peer while there is nothing to send, in ms.
const SYNC_INTERVAL_MS: u64 = 350;
/// Interval between calls to a controller without a replica. It learns from them where replicas are.
const NO_REPLICA_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a call, in ms. The peer responds once it has the entries on disk.
const CALL_TIMEOUT_MS: u64 = 700;

/// Starts the task that looks for new peers and seals entries.
pub fn start<N: PeerNetwork>(replica: TallyReplica, network: Arc<N>) {
    tokio::spawn(async move {
        let synced_peers = Arc::<Mutex<HashSet<String>>>::default();
        let mut ticks = startup::interval(SYNC_INTERVAL_MS);
        loop {
            ticks.tick().await;
            replica.set_members(network.core_members());
            sync_new_peers(&replica, &network, &synced_peers);
            replica.update_caught_up();
            replica.seal(has_older_replica(&*network));
        }
    });
}

/// Starts a sync task for each peer that has none yet.
fn sync_new_peers<N: PeerNetwork>(
    replica: &TallyReplica,
    network: &Arc<N>,
    synced_peers: &Arc<Mutex<HashSet<String>>>,
) {
    for ip in tally_peers(&**network) {
        let zone = network.zone_of(&ip);
        replica.set_zone(&ip, &zone);
        if !synced_peers.lock().insert(ip.clone()) {
            continue;
        }
        replica.discover(&ip, &zone);
        let (network, replica, synced_peers) = (network.clone(), replica.clone(), synced_peers.clone());
        tokio::spawn(async move {
            sync_with(&*network, &replica, &ip).await;
            synced_peers.lock().remove(&ip);
        });
    }
}

/// Returns whether a known controller supports tallies but not packed entries.
fn has_older_replica(network: &impl PeerNetwork) -> bool {
    let reads_text_only = |ip: &String| (TALLIES..PACKED_TALLIES).contains(&network.protocol_version(ip));
    network.known_peers().iter().any(reads_text_only)
}

/// Returns the other controllers whose protocol version supports tallies.
fn tally_peers(network: &impl PeerNetwork) -> Vec<String> {
    let mut peers = network.known_peers();
    peers.retain(|ip| network.protocol_version(ip) >= TALLIES);
    peers
}

/// The result of a call to a peer.
enum SyncResult {
    /// The replica has more entries than before.
    Advanced,
    /// The replica has no new entries.
    Unchanged,
    /// The controller has no replica.
    NoReplica,
    /// There was no response in time.
    Silent,
}

/// Synchronizes with one peer for as long as it is known.
async fn sync_with(network: &impl PeerNetwork, replica: &TallyReplica, ip: &str) {
    let mut lag = LagTracker::default();
    let mut own_length = replica.own_length();
    while network.protocol_version(ip) >= TALLIES {
        let started_at = time::Instant::now();
        own_length.mark_unchanged();
        match call(network, replica, ip, &mut lag).await {
            // The peer may lack more entries, so it is called again at once.
            SyncResult::Advanced => {}
            SyncResult::Unchanged | SyncResult::Silent => wait_for_next_sync(started_at, &mut own_length).await,
            SyncResult::NoReplica => time::sleep(NO_REPLICA_INTERVAL).await,
        }
    }
    replica.forget(ip);
}

/// Waits until one interval after `started_at`, or until the local log has grown.
async fn wait_for_next_sync(started_at: time::Instant, own_length: &mut watch::Receiver<u64>) {
    let deadline = started_at + Duration::from_millis(SYNC_INTERVAL_MS);
    let _ = time::timeout_at(deadline, own_length.changed()).await;
}

async fn call(network: &impl PeerNetwork, replica: &TallyReplica, ip: &str, lag: &mut LagTracker) -> SyncResult {
    let reads_packed = network.protocol_version(ip) >= PACKED_TALLIES;
    let message = replica.sync_for(ip, reads_packed, lag);
    match network.consensus_client(ip).call(message, CALL_TIMEOUT_MS).await {
        Some(Message::TallySynced(answer)) if !answer.is_replica => {
            replica.forget(ip);
            SyncResult::NoReplica
        }
        Some(Message::TallySynced(answer)) => {
            let has_advanced = replica.record_answer(ip, *answer);
            replica.update_caught_up();
            if has_advanced {
                SyncResult::Advanced
            } else {
                SyncResult::Unchanged
            }
        }
        _ => SyncResult::Silent,
    }
}
