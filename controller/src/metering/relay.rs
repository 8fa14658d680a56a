//! Copies of what routers reported, at other controllers: a router that has ended can't report again to whoever is there when its
//! home controller ends as well.

use std::sync::Arc;

use kernel::startup;
use metering::window_at;
use protocol::message::{Message, METERING};
use protocol::metering::MeteringTables;

use crate::controller::Controller;
use crate::roles::USAGE;

/// The pause between two copies to the owner of the role.
const RELAY_INTERVAL_MS: u64 = 500;
/// How many of the newest windows a controller that ends hands over.
const HANDED_OVER_WINDOWS: u64 = 8;

/// Copies new reports to the owner of the role, for as long as the process runs.
pub fn start(controller: &Arc<Controller>) {
    if !controller.settings.cloud_api.takes_usage() {
        return;
    }
    let controller = controller.clone();
    tokio::spawn(async move {
        let mut ticks = startup::interval(RELAY_INTERVAL_MS);
        loop {
            ticks.tick().await;
            relay(&controller);
        }
    });
}

fn relay(controller: &Controller) {
    let routers = controller.metering.take_unrelayed();
    let Some(owner) = controller.committed.role_owner(USAGE).filter(|ip| ip != controller.own_ip()) else { return };
    if !routers.is_empty() && controller.peers.protocol_version(&owner) >= METERING {
        let tables = MeteringTables { is_complete: false, routers };
        controller.peers.client(&owner).notify(Message::MeteringTables(Box::new(tables)));
    }
}

/// Hands what routers reported lately to all other controllers: this one is about to end.
pub fn hand_over(controller: &Controller) {
    if !controller.settings.cloud_api.takes_usage() {
        return;
    }
    let metering = &controller.metering;
    let present = window_at(metering.time_ms(), metering.window_ms());
    let windows: Vec<u64> = (present.saturating_sub(HANDED_OVER_WINDOWS)..=present).collect();
    let message = Message::MeteringTables(Box::new(metering.select(&windows)));
    for ip in controller.known_peers() {
        if controller.peers.protocol_version(&ip) >= METERING {
            controller.peers.client(&ip).notify(message.clone());
        }
    }
}
