//! The calls to other replicas of tallies: one task each, which calls when the own log has grown and otherwise once a round.

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

/// The time from one call to the next where there is nothing to send, in milliseconds.
const ROUND_MS: u64 = 350;
/// A controller that keeps no tallies is called again after so long: that tells it where they are kept.
const ELSEWHERE_PAUSE: Duration = Duration::from_secs(1);
/// How long another replica may take to have on disk what it was sent, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 700;

/// Starts the calls.
pub fn start<N: PeerNetwork>(replica: TallyReplica, network: Arc<N>) {
    tokio::spawn(async move {
        let followed = Arc::<Mutex<HashSet<String>>>::default();
        let mut rounds = startup::interval(ROUND_MS);
        loop {
            rounds.tick().await;
            follow_new(&replica, &network, &followed);
            replica.update_caught_up();
            replica.seal(has_older_replica(&*network));
        }
    });
}

/// Starts a task for each controller that has none.
fn follow_new<N: PeerNetwork>(replica: &TallyReplica, network: &Arc<N>, followed: &Arc<Mutex<HashSet<String>>>) {
    for ip in tally_peers(&**network) {
        let zone = network.zone_of(&ip);
        replica.set_zone(&ip, &zone);
        if !followed.lock().insert(ip.clone()) {
            continue;
        }
        replica.discover(&ip, &zone);
        let (network, replica, followed) = (network.clone(), replica.clone(), followed.clone());
        tokio::spawn(async move {
            follow(&*network, &replica, &ip).await;
            followed.lock().remove(&ip);
        });
    }
}

/// Returns whether a controller is known that keeps tallies and does not read packed entries.
fn has_older_replica(network: &impl PeerNetwork) -> bool {
    let reads_text_only = |ip: &String| (TALLIES..PACKED_TALLIES).contains(&network.protocol_version(ip));
    network.known_peers().iter().any(reads_text_only)
}

/// Returns the other controllers that know tallies.
fn tally_peers(network: &impl PeerNetwork) -> Vec<String> {
    let mut peers = network.known_peers();
    peers.retain(|ip| network.protocol_version(ip) >= TALLIES);
    peers
}

/// What a call showed.
enum Answer {
    /// The replica has more than before.
    Advanced,
    /// It has what it had.
    Unchanged,
    /// That controller keeps no tallies.
    NoReplica,
    /// Nothing came in time.
    Silent,
}

/// Calls one controller for as long as it is known.
async fn follow(network: &impl PeerNetwork, replica: &TallyReplica, ip: &str) {
    let mut lag = LagTracker::default();
    let mut own_length = replica.own_length();
    while network.protocol_version(ip) >= TALLIES {
        let begun = time::Instant::now();
        own_length.mark_unchanged();
        match call(network, replica, ip, &mut lag).await {
            // There may be more that it lacks.
            Answer::Advanced => {}
            Answer::Unchanged | Answer::Silent => wait_for_round(begun, &mut own_length).await,
            Answer::NoReplica => time::sleep(ELSEWHERE_PAUSE).await,
        }
    }
    replica.forget(ip);
}

/// Waits until a round after `begun`, or until the own log has grown.
async fn wait_for_round(begun: time::Instant, own_length: &mut watch::Receiver<u64>) {
    let round = begun + Duration::from_millis(ROUND_MS);
    let _ = time::timeout_at(round, own_length.changed()).await;
}

async fn call(network: &impl PeerNetwork, replica: &TallyReplica, ip: &str, lag: &mut LagTracker) -> Answer {
    let reads_packed = network.protocol_version(ip) >= PACKED_TALLIES;
    let message = replica.sync_for(ip, reads_packed, lag);
    match network.consensus_client(ip).call(message, CALL_TIMEOUT_MS).await {
        Some(Message::TallySynced(answer)) if !answer.is_replica => {
            replica.forget(ip);
            Answer::NoReplica
        }
        Some(Message::TallySynced(answer)) => {
            let has_advanced = replica.record_answer(ip, *answer);
            replica.update_caught_up();
            if has_advanced {
                Answer::Advanced
            } else {
                Answer::Unchanged
            }
        }
        _ => Answer::Silent,
    }
}
