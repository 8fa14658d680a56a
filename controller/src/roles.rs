//! Singleton roles: tasks that only one controller performs at a time, each under an epoch that no other owner shares.
//!
//! `docs/singleton-roles.md` states the guarantees and the reasons for them.

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

/// The key of the role that serves the prefix catalog.
pub const CATALOG: &str = "duty/catalog";
/// The key of the role that balances prefill and decode engines.
pub const BALANCE: &str = "duty/balance";
/// The key of the role that runs batches.
pub const BATCH: &str = "duty/batch";

/// The key of the role that reports to the platform how many requests began.
pub const USAGE: &str = "duty/usage";

/// The interval between attempts to acquire a role, in milliseconds.
const TICK_MS: u64 = 400;
/// How long a controller waits after its start, to receive heartbeats of the others, before it acquires roles, in
/// milliseconds.
const STARTUP_DELAY_MS: u64 = 1200;
/// Timeout of one change of a role's register, in milliseconds.
const COMMIT_TIMEOUT_MS: u64 = 1000;

/// How this incarnation owns a role.
#[derive(Clone, Copy)]
struct Tenure {
    epoch: u64,
    /// When the epoch was known to be committed, in milliseconds of the steady clock.
    acquired_at: u64,
    /// Whether no earlier owner can have acted recently.
    predecessor_expired: bool,
}

/// The roles that this incarnation acquired, by key.
///
/// Invariant: this controller acts in a role only while the committed state is confirmed and names it as the owner
/// under the same epoch.
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

/// Starts the tasks that acquire the roles as they become free. They run until the process ends.
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

/// Returns the tenure under which this controller owns a role, if the committed state is confirmed.
fn confirmed_tenure(controller: &Controller, key: &str, now: u64) -> Option<Tenure> {
    controller.committed.read(|state| {
        let role = state.roles.get(key)?;
        let tenure = controller.acquired_roles.get(key)?;
        (state.is_confirmed(now) && role.owner == controller.own_ip() && tenure.epoch == role.epoch).then_some(tenure)
    })
}

/// Returns the epoch under which this controller may act in a role now. Two owners must not act within one lease.
pub fn acting_epoch(controller: &Controller, key: &str, now: u64) -> Option<u64> {
    let tenure = confirmed_tenure(controller, key, now)?;
    let confirmed_at = controller.committed.confirmed_at()?;
    let role_tenure =
        RoleTenure { acquired_at: tenure.acquired_at, predecessor_expired: tenure.predecessor_expired, confirmed_at };
    let bounds = &controller.settings.bounds;
    singleton_role::may_act(role_tenure, now, bounds.fencing, bounds.lease_ms, CONFIRMATION_TTL_MS)
        .then_some(tenure.epoch)
}

/// Declares in the register, once and before the first action under `epoch`, that the predecessor's lease has expired.
/// Returns whether the declaration is committed.
pub async fn declare_predecessor_expired(controller: &Controller, key: &str, epoch: u64) -> bool {
    let is_declared =
        controller.committed.role(key).is_some_and(|role| role.epoch == epoch && role.predecessor_expired);
    if is_declared {
        return true;
    }
    let decide = |body: &[u8]| {
        let stored = RoleState::from_bytes(body).unwrap_or_default();
        if stored.epoch != epoch || stored.owner != controller.own_ip() {
            return Decision::Answer(false);
        }
        let next = RoleState { predecessor_expired: true, ..stored };
        Decision::Write(next.to_bytes(), true)
    };
    controller.change(key, COMMIT_TIMEOUT_MS, decide).await.unwrap_or(false)
}

/// Opens the catalog under the epoch of this controller's tenure, so that it serves requests under no other. A new
/// epoch starts with an empty catalog.
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
    // The role is acquired only once there are batches.
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
    // An earlier incarnation of this controller counts as expired only if it had waited for its own predecessor:
    // otherwise it may have taken over from an owner that can still act.
    let is_first_tenure = controller.acquired_roles.get(key).is_none();
    let predecessor_expired =
        role.owner.is_empty() || (is_first_tenure && role.owner == controller.own_ip() && role.predecessor_expired);
    let Some(epoch) = commit_next_epoch(controller, key, role.epoch, predecessor_expired).await else { return };
    let tenure = Tenure { epoch, acquired_at: clock::now(), predecessor_expired };
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

/// Returns the heartbeat markers about who can act in a role: whether this controller is confirmed, and which role
/// owners it sees as confirmed.
pub fn gossip_markers(controller: &Controller, now: u64) -> Vec<VersionEntry> {
    let owners: BTreeSet<String> = controller.committed.roles().into_values().map(|role| role.owner).collect();
    let is_confirmed = controller.committed.is_confirmed(now);
    let confirmed_owners: Vec<String> = controller
        .peers
        .read(|view| owners.into_iter().filter(|ip| *ip != view.own_ip && view.confirms(ip, now)).collect());
    let confirmed_owners = confirmed_owners.into_iter().map(|ip| VersionEntry::new(HiddenKey::Confirms(&ip), 1, 0));
    iter::once(VersionEntry::new(HiddenKey::Confirmed, u64::from(is_confirmed), 0)).chain(confirmed_owners).collect()
}

/// Returns whether a peer is confirmed, and which role owners it sees as confirmed, from the markers in its heartbeat.
/// A peer of an earlier version, which sends no such markers, counts as confirmed while its heartbeats arrive.
pub fn parse_gossip_markers(markers: &[VersionEntry]) -> (bool, Vec<String>) {
    let is_confirmed = markers.iter().find(|entry| HiddenKey::parse(&entry.name) == Some(HiddenKey::Confirmed));
    let is_confirmed = is_confirmed.is_none_or(|entry| entry.term == 1);
    let confirmations = markers.iter().filter_map(|entry| match HiddenKey::parse(&entry.name) {
        Some(HiddenKey::Confirms(ip)) => Some(ip.to_string()),
        _ => None,
    });
    (is_confirmed, confirmations.collect())
}

/// Commits the next epoch on top of `epoch`. Returns `None` if another controller was first or the outcome is unknown.
/// If the epoch was committed after all, this controller never acts under it, since it is not among the acquired roles.
async fn commit_next_epoch(controller: &Controller, key: &str, epoch: u64, predecessor_expired: bool) -> Option<u64> {
    let decide = |body: &[u8]| {
        let stored = RoleState::from_bytes(body).unwrap_or_default();
        if stored.epoch != epoch {
            return Decision::Answer(None);
        }
        let next = RoleState { epoch: epoch + 1, owner: controller.own_ip().to_string(), predecessor_expired };
        Decision::Write(next.to_bytes(), Some(epoch + 1))
    };
    controller.change(key, COMMIT_TIMEOUT_MS, decide).await.flatten()
}

#[cfg(test)]
#[path = "roles_tests.rs"]
mod tests;
