//! Copies the reports of routers to other controllers. Without copies, the counts of a router that has stopped and
//! cannot report again would be lost with its home controller.

use std::sync::Arc;
use std::time::Duration;

use kernel::startup;
use metering::window_at;
use protocol::message::{Message, METERING};
use protocol::metering::MeteringTables;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::controller::Controller;
use crate::roles::USAGE;

/// Interval at which new reports are copied to the owner of the role, in ms.
const RELAY_INTERVAL_MS: u64 = 500;
/// Timeout of a copy to another controller, in ms.
const COPY_TIMEOUT_MS: u64 = 400;
/// The share of the shutdown grace period in which a controller tries to hand over its tables.
const HAND_OVER_SHARE: f64 = 0.4;
/// Delay before the next attempt to hand over the tables.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(60);
/// The number of most recent windows that a controller hands over on shutdown.
const HANDED_OVER_WINDOWS: u64 = 8;

/// Starts the task that copies new reports to another controller.
pub fn start(controller: &Arc<Controller>) {
    if !controller.settings.cloud_api.takes_usage() {
        return;
    }
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut ticks = startup::interval(RELAY_INTERVAL_MS);
        loop {
            ticks.tick().await;
            relay(&controller).await;
        }
    });
}

async fn relay(controller: &Controller) {
    let owner = controller.committed.role_owner(USAGE);
    let Some(target) = copy_target(owner.as_deref(), controller.own_ip(), &metering_peers(controller)) else { return };
    let routers = controller.metering.take_unrelayed();
    if routers.is_empty() {
        return;
    }
    if copy(controller, &target, MeteringTables { is_complete: false, routers: routers.clone() }).await
        != Some(CopyOutcome::Kept)
    {
        controller.metering.return_unrelayed(routers);
    }
}

/// Returns the other controllers whose protocol version supports copies, in an order that all controllers agree on.
fn metering_peers(controller: &Controller) -> Vec<String> {
    let mut metering_peers = controller.known_peers();
    metering_peers.retain(|ip| controller.peers.protocol_version(ip) >= METERING);
    metering_peers
}

/// Returns the controller that stores copies of the reports received here: the owner of the role or, for the owner
/// itself, the next controller, since a stopped router cannot report again if the owner is killed. `None` if there is
/// none yet.
fn copy_target(owner: Option<&str>, own_ip: &str, metering_peers: &[String]) -> Option<String> {
    let owner = owner?;
    if owner != own_ip {
        return metering_peers.iter().find(|ip| *ip == owner).cloned();
    }
    let next_peer = metering_peers.iter().find(|ip| ip.as_str() > own_ip);
    next_peer.or(metering_peers.first()).cloned()
}

/// The outcome of sending copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyOutcome {
    /// The other controller has stored them.
    Kept,
    /// The other controller has stored them but is shutting down itself.
    ShuttingDown,
}

/// Sends copies to another controller. Returns `None` if it did not respond in time.
async fn copy(controller: &Controller, ip: &str, tables: MeteringTables) -> Option<CopyOutcome> {
    let message = Message::MeteringTables(Box::new(tables));
    match controller.peers.client(ip).call(message, COPY_TIMEOUT_MS).await? {
        Message::MeteringTables(answer) if answer.is_complete => Some(CopyOutcome::Kept),
        Message::MeteringTables(_) => Some(CopyOutcome::ShuttingDown),
        _ => None,
    }
}

/// Hands the recent reports over to all other controllers before this one shuts down. Returns once one of them keeps
/// them or the time limit is reached. It retries because, if all controllers are replaced at once, for a moment there
/// may be none to take them.
pub async fn hand_over(controller: &Arc<Controller>) {
    if !controller.settings.cloud_api.takes_usage() {
        return;
    }
    let metering = &controller.metering;
    let current = window_at(metering.time_ms(), metering.window_ms());
    let windows: Vec<u64> = (current.saturating_sub(HANDED_OVER_WINDOWS)..=current).collect();
    let tables = metering.select(&windows);
    let deadline = Instant::now() + Duration::from_secs_f64(controller.settings.bounds.grace_s * HAND_OVER_SHARE);
    while !tables.routers.is_empty() && Instant::now() < deadline && !send_to_all(controller, &tables).await {
        time::sleep(HAND_OVER_PAUSE).await;
    }
}

/// Sends the tables to all other controllers. Returns whether one of them keeps them, or there is none.
async fn send_to_all(controller: &Arc<Controller>, tables: &MeteringTables) -> bool {
    let metering_peers = metering_peers(controller);
    if metering_peers.is_empty() {
        return true;
    }
    let mut calls = JoinSet::new();
    for ip in metering_peers {
        let (controller, tables) = (controller.clone(), tables.clone());
        calls.spawn(async move { copy(&controller, &ip, tables).await });
    }
    calls.join_all().await.contains(&Some(CopyOutcome::Kept))
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
