//! Copies of what routers reported, at other controllers: a router that has ended can't report again to whoever is there when its
//! home controller ends as well.

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

/// The pause between two copies to the owner of the role.
const RELAY_INTERVAL_MS: u64 = 500;
/// How long another controller may take to answer, in milliseconds.
const COPY_TIMEOUT_MS: u64 = 400;
/// The part of the grace in which a controller that ends looks for one that keeps its tables.
const HAND_OVER_SHARE: f64 = 0.4;
/// The pause before it looks again.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(60);
/// How many of the newest windows a controller that ends hands over.
const HANDED_OVER_WINDOWS: u64 = 8;

/// Copies new reports to another controller, for as long as the process runs.
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
    let Some(keeper) = copy_target(owner.as_deref(), controller.own_ip(), &readers(controller)) else { return };
    let routers = controller.metering.take_unrelayed();
    if routers.is_empty() {
        return;
    }
    if copy(controller, &keeper, MeteringTables { is_complete: false, routers: routers.clone() }).await
        != Some(Copied::Kept)
    {
        controller.metering.return_unrelayed(routers);
    }
}

/// Returns the other controllers that keep such copies, in an agreed order.
fn readers(controller: &Controller) -> Vec<String> {
    let mut readers = controller.known_peers();
    readers.retain(|ip| controller.peers.protocol_version(ip) >= METERING);
    readers
}

/// Returns which controller is to keep copies of what routers report here: the owner of the role, and for the owner itself the
/// one that follows it, since a router that has ended can't report again when the owner is killed. `None`: nobody yet.
fn copy_target(owner: Option<&str>, own_ip: &str, readers: &[String]) -> Option<String> {
    let owner = owner?;
    if owner != own_ip {
        return readers.iter().find(|ip| *ip == owner).cloned();
    }
    let following = readers.iter().find(|ip| ip.as_str() > own_ip);
    following.or(readers.first()).cloned()
}

/// What became of copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Copied {
    /// Another controller keeps them.
    Kept,
    /// It has them, and is about to end itself.
    Ending,
}

/// Sends copies to another controller. `None`: no answer came in time.
async fn copy(controller: &Controller, ip: &str, tables: MeteringTables) -> Option<Copied> {
    let message = Message::MeteringTables(Box::new(tables));
    match controller.peers.client(ip).call(message, COPY_TIMEOUT_MS).await? {
        Message::MeteringTables(answer) if answer.is_complete => Some(Copied::Kept),
        Message::MeteringTables(_) => Some(Copied::Ending),
        _ => None,
    }
}

/// Hands what routers reported lately to all other controllers: this one is about to end. Returns once one of them keeps it, or the
/// time for that is over: where all controllers are replaced at once there may be none for a moment.
pub async fn hand_over(controller: &Arc<Controller>) {
    if !controller.settings.cloud_api.takes_usage() {
        return;
    }
    let metering = &controller.metering;
    let present = window_at(metering.time_ms(), metering.window_ms());
    let windows: Vec<u64> = (present.saturating_sub(HANDED_OVER_WINDOWS)..=present).collect();
    let tables = metering.select(&windows);
    let end = Instant::now() + Duration::from_secs_f64(controller.settings.bounds.grace_s * HAND_OVER_SHARE);
    while !tables.routers.is_empty() && Instant::now() < end && !hand_to_all(controller, &tables).await {
        time::sleep(HAND_OVER_PAUSE).await;
    }
}

/// Returns whether another controller keeps the tables now.
async fn hand_to_all(controller: &Arc<Controller>, tables: &MeteringTables) -> bool {
    let readers = readers(controller);
    if readers.is_empty() {
        return true;
    }
    let mut calls = JoinSet::new();
    for ip in readers {
        let (controller, tables) = (controller.clone(), tables.clone());
        calls.spawn(async move { copy(&controller, &ip, tables).await });
    }
    calls.join_all().await.contains(&Some(Copied::Kept))
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
