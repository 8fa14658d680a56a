//! Singleton roles: tasks that one controller carries out at a time, each under an epoch that no other owner shares.
//!
//! `docs/singleton-roles.md` says what holds and why.

use std::collections::{BTreeMap, BTreeSet};
use std::iter;
use std::sync::Arc;

use kernel::{clock, startup};
use membership::singleton_role::{self, ConfirmedStreak, RoleTenure, RoleView};
use parking_lot::Mutex;
use protocol::message::{HiddenKey, VersionEntry};

use crate::batches::records;
use crate::controller::{Controller, CONFIRMATION_TTL_MS};
use crate::event::ROLE_ACQUIRED;
use crate::replication::committed_state::RoleState;
use crate::replication::registers::Decision;

/// The key of the role that answers the prefix catalog.
pub const CATALOG: &str = "duty/catalog";
/// The key of the role that balances prefill and decode engines.
pub const BALANCE: &str = "duty/balance";
/// The key of the role that runs batches.
pub const BATCH: &str = "duty/batch";

/// The key of the role that tells the platform how many requests began.
pub const USAGE: &str = "duty/usage";

/// The pause between two looks at a role.
const TICK_MS: u64 = 400;
/// A controller that has just started first listens who else is there.
const STARTUP_DELAY_MS: u64 = 1200;
/// How long one change of a role's register may take.
const COMMIT_TIMEOUT_MS: u64 = 1000;

/// A role as this incarnation acquired it.
#[derive(Clone, Copy)]
struct Tenure {
    epoch: u64,
    /// When the commit of the epoch was known.
    since: u64,
    /// No earlier owner can have acted lately.
    predecessor_expired: bool,
}

/// The roles that this incarnation acquired, by key. Invariant: a role is acted in only while the committed state names this
/// controller under the same epoch and is confirmed.
#[derive(Default)]
pub struct AcquiredRoles(Mutex<BTreeMap<String, Tenure>>);

impl AcquiredRoles {
    fn get(&self, key: &str) -> Option<Tenure> {
        self.0.lock().get(key).copied()
    }

    fn insert(&self, key: &str, tenure: Tenure) {
        self.0.lock().insert(key.into(), tenure);
    }
}

/// Acquires roles where that is due, for as long as the process runs.
pub fn start(controller: &Arc<Controller>) {
    for key in [CATALOG, BALANCE, BATCH, USAGE] {
        let controller = controller.clone();
        tokio::spawn(async move {
            let mut ticks = startup::interval(TICK_MS);
            let mut streak = ConfirmedStreak::default();
            loop {
                ticks.tick().await;
                let now = clock::now();
                let confirmed_ms = streak.confirmed_ms(controller.committed.is_confirmed(now), now);
                try_acquire(&controller, key, confirmed_ms).await;
                if key == CATALOG {
                    open_catalog(&controller);
                }
            }
        });
    }
}

/// Returns the tenure under which this controller owns a role, while that is confirmed.
fn confirmed_tenure(controller: &Controller, key: &str, now: u64) -> Option<Tenure> {
    controller.committed.read(|state| {
        let role = state.roles.get(key)?;
        let tenure = controller.acquired_roles.get(key)?;
        (state.is_confirmed(now) && role.owner == controller.own_ip() && tenure.epoch == role.epoch).then_some(tenure)
    })
}

/// Returns the epoch under which this controller may act now, where two owners may not act within a lease.
pub fn acting_epoch(controller: &Controller, key: &str, now: u64) -> Option<u64> {
    let tenure = confirmed_tenure(controller, key, now)?;
    let confirmed_at = controller.committed.confirmed_at()?;
    let role_tenure =
        RoleTenure { acquired_at: tenure.since, predecessor_expired: tenure.predecessor_expired, confirmed_at };
    let bounds = &controller.settings.bounds;
    singleton_role::may_act(role_tenure, now, bounds.fencing, bounds.lease_ms, CONFIRMATION_TTL_MS)
        .then_some(tenure.epoch)
}

/// Declares in the register that the wait is over, once, before the first act. Returns whether that is committed.
pub async fn declare_predecessor_expired(controller: &Controller, key: &str, epoch: u64) -> bool {
    let is_declared =
        controller.committed.role(key).is_some_and(|role| role.epoch == epoch && role.predecessor_expired);
    if is_declared {
        return true;
    }
    let judge = |body: &[u8]| {
        let stored = RoleState::from_bytes(body).unwrap_or_default();
        if stored.epoch != epoch || stored.owner != controller.own_ip() {
            return Decision::Answer(false);
        }
        let next = RoleState { predecessor_expired: true, ..stored };
        Decision::Write(next.to_bytes(), true)
    };
    controller.change(key, COMMIT_TIMEOUT_MS, judge).await.unwrap_or(false)
}

/// Lets the catalog answer only under the epoch of the own tenure; a new epoch starts with an empty one.
fn open_catalog(controller: &Controller) {
    let epoch = confirmed_tenure(controller, CATALOG, clock::now()).map_or(0, |tenure| tenure.epoch);
    controller.catalog.open(epoch);
}

async fn try_acquire(controller: &Arc<Controller>, key: &str, confirmed_ms: u64) {
    let now = clock::now();
    if !controller.committed.is_confirmed(now)
        || now < STARTUP_DELAY_MS
        || confirmed_tenure(controller, key, now).is_some()
    {
        return;
    }
    // Acquired only once there is something to do.
    if key == BATCH && controller.committed.read(records::ids).is_empty() {
        return;
    }
    if key == USAGE && !controller.settings.cloud_api.takes_usage() {
        return;
    }
    let role = controller.committed.role(key).unwrap_or_default();
    if !may_acquire(controller, key, &role.owner, confirmed_ms) {
        return;
    }
    // Only an earlier incarnation that had waited: one that had not may stand between two that acted.
    let is_first_tenure = controller.acquired_roles.get(key).is_none();
    let predecessor_expired =
        role.owner.is_empty() || (is_first_tenure && role.owner == controller.own_ip() && role.predecessor_expired);
    let Some(epoch) = commit_next_epoch(controller, key, role.epoch, predecessor_expired).await else { return };
    let tenure = Tenure { epoch, since: clock::now(), predecessor_expired };
    controller.acquired_roles.insert(key, tenure);
    controller.metrics.roles_acquired.inc();
    kernel::log_event!(ROLE_ACQUIRED, "duty" => key, "epoch" => epoch);
}

fn may_acquire(controller: &Controller, key: &str, owner: &str, confirmed_ms: u64) -> bool {
    let now = clock::now();
    controller.peers.read(|view| {
        singleton_role::may_acquire(RoleView {
            own_ip: controller.own_ip(),
            owner,
            unavailable_ms: view.unavailable_ms(owner, now).min(confirmed_ms),
            is_first_confirmed: view.first_confirmed(key, now).as_deref() == Some(controller.own_ip()),
            lease_ms: controller.settings.bounds.lease_ms,
        })
    })
}

/// Returns what heartbeats say about who can act in a role: whether this controller is confirmed, and which owners it confirms.
pub fn gossip_markers(controller: &Controller, now: u64) -> Vec<VersionEntry> {
    let owners: BTreeSet<String> = controller.committed.roles().into_values().map(|role| role.owner).collect();
    let is_confirmed = controller.committed.is_confirmed(now);
    let confirmed_owners: Vec<String> = controller
        .peers
        .read(|view| owners.into_iter().filter(|ip| *ip != view.own_ip && view.confirms(ip, now)).collect());
    let confirmed_owners = confirmed_owners.into_iter().map(|ip| VersionEntry::new(HiddenKey::Confirms(&ip), 1, 0));
    iter::once(VersionEntry::new(HiddenKey::Confirmed, u64::from(is_confirmed), 0)).chain(confirmed_owners).collect()
}

/// Returns what a peer's heartbeat says: whether it is confirmed, and whom it confirms. One of an earlier version, which says
/// nothing of it, counts as confirmed while its heartbeats come.
pub fn parse_gossip_markers(markers: &[VersionEntry]) -> (bool, Vec<String>) {
    let is_confirmed = markers.iter().find(|entry| HiddenKey::parse(&entry.name) == Some(HiddenKey::Confirmed));
    let is_confirmed = is_confirmed.is_none_or(|entry| entry.term == 1);
    let confirmations = markers.iter().filter_map(|entry| match HiddenKey::parse(&entry.name) {
        Some(HiddenKey::Confirms(ip)) => Some(ip.to_string()),
        _ => None,
    });
    (is_confirmed, confirmations.collect())
}

/// Commits the next epoch on top of `epoch`. None: another controller was first, or the outcome is unknown. An epoch that was
/// committed all the same is never acted under: it is not among the acquired roles.
async fn commit_next_epoch(controller: &Controller, key: &str, epoch: u64, predecessor_expired: bool) -> Option<u64> {
    let judge = |body: &[u8]| {
        let stored = RoleState::from_bytes(body).unwrap_or_default();
        if stored.epoch != epoch {
            return Decision::Answer(None);
        }
        let next = RoleState { epoch: epoch + 1, owner: controller.own_ip().to_string(), predecessor_expired };
        Decision::Write(next.to_bytes(), Some(epoch + 1))
    };
    controller.change(key, COMMIT_TIMEOUT_MS, judge).await.flatten()
}

#[cfg(test)]
#[path = "roles_tests.rs"]
mod tests;
