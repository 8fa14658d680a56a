//! Probes processes of other zones while the tally replicas there are silent. If none of them answers, the zone is behind
//! a network partition; if one does, its replicas are lost.

use std::sync::Arc;
use std::time::Duration;

use kernel::{clock, startup};
use protocol::socket::IO_TIMEOUT_MS;
use protocol::Dialer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::JoinSet;
use tokio::time;

use crate::peers::network::PeerNetwork;
use crate::tallies::TallyReplica;

/// Interval at which the replica is asked which zones to probe, in ms.
const CHECK_INTERVAL_MS: u64 = 100;
/// Timeout of a probe, in ms.
const PROBE_TIMEOUT_MS: u64 = 300;
/// Delay of a timeout above which this process did not run meanwhile, in ms: the probe then shows nothing.
const STALL_THRESHOLD_MS: u64 = 150;

/// Starts the task that probes zones. It runs until the process ends.
pub fn start<N: PeerNetwork>(replica: TallyReplica, network: Arc<N>) {
    tokio::spawn(async move {
        let mut ticks = startup::interval(CHECK_INTERVAL_MS);
        loop {
            ticks.tick().await;
            for zone in replica.start_probes() {
                tokio::spawn(probe_zone(
                    replica.clone(),
                    zone.clone(),
                    network.dialer(),
                    network.probe_targets_in(&zone),
                ));
            }
        }
    });
}

/// Probes a few processes of a zone and records whether any of them answers. Without a process to probe, it stays
/// unknown whether the zone can be reached.
async fn probe_zone(replica: TallyReplica, zone: String, dialer: Dialer, targets: Vec<String>) {
    if targets.is_empty() {
        return;
    }
    let sent_at = clock::now();
    let mut probes = JoinSet::new();
    for target in targets {
        probes.spawn(async move { is_answered(dialer, &target).await });
    }
    while let Some(result) = probes.join_next().await {
        if result.unwrap_or(false) {
            replica.record_probe(&zone, sent_at, true);
            return;
        }
    }
    if clock::now() <= sent_at + PROBE_TIMEOUT_MS + STALL_THRESHOLD_MS {
        replica.record_probe(&zone, sent_at, false);
    }
}

/// Returns whether a process answers an HTTP request. Any response does: only the round trip matters. A connection that
/// is accepted or refused shows nothing, since a device on the way may do that.
async fn is_answered(dialer: Dialer, address: &str) -> bool {
    let exchange = async {
        let mut stream = dialer.connect(address, PROBE_TIMEOUT_MS, IO_TIMEOUT_MS).await?;
        let request = format!("GET /health HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        stream.read(&mut [0; 1]).await
    };
    let answered = time::timeout(Duration::from_millis(PROBE_TIMEOUT_MS), exchange).await;
    matches!(answered, Ok(Ok(count)) if count > 0)
}

#[cfg(test)]
#[path = "zone_probes_tests.rs"]
mod tests;
