//! Duties that one controller does at a time, each under an epoch of the ledger that no other shares.
//!
//! `docs/fencing.md` says what holds and why.

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

pub const CATALOG: &str = "duty/catalog";
pub const BALANCE: &str = "duty/balance";
pub const BATCH: &str = "duty/batch";

/// How often a duty is looked after.
const TICK_MS: u64 = 400;
/// A controller that has just started first hears who else is there.
const STARTUP_DELAY_MS: u64 = 1200;
/// How long one change of a duty's register may take.
const COMMIT_TIMEOUT_MS: u64 = 1000;

/// A duty as this life of this controller took it.
#[derive(Clone, Copy)]
struct Tenure {
    epoch: u64,
    /// When the commit of the epoch was known.
    since: u64,
    /// Nobody else can have acted lately.
    own: bool,
}

/// What this life of this controller took, by duty. Invariant: a duty is done only while the committed state names
/// this controller under the same epoch and is confirmed.
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

/// Told beside the versions of lists: whether the teller is sure, and holders of duties that it vouches for.

pub fn start(controller: &Arc<Controller>) {
    for key in [CATALOG, BALANCE, BATCH] {
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

/// The tenure under which a duty is held here, while that is confirmed.
fn confirmed_tenure(controller: &Controller, key: &str, now: u64) -> Option<Tenure> {
    controller.committed.read(|state| {
        let role = state.roles.get(key)?;
        let tenure = controller.acquired_roles.get(key)?;
        (state.is_confirmed(now) && role.owner == controller.own_ip() && tenure.epoch == role.epoch).then_some(tenure)
    })
}

/// The epoch under which this controller may act now, where two holders may not act within a lease.
pub fn acting_epoch(controller: &Controller, key: &str, now: u64) -> Option<u64> {
    let tenure = confirmed_tenure(controller, key, now)?;
    let sure_at = controller.committed.confirmed_at()?;
    let held = RoleTenure { acquired_at: tenure.since, predecessor_expired: tenure.own, confirmed_at: sure_at };
    let bounds = &controller.settings.bounds;
    singleton_role::may_act(held, now, bounds.fencing, bounds.lease_ms, CONFIRMATION_TTL_MS).then_some(tenure.epoch)
}

/// Says in the register that the wait is over, once, before the first act.
pub async fn declare_predecessor_expired(controller: &Controller, key: &str, epoch: u64) -> bool {
    let said = controller.committed.role(key).is_some_and(|role| role.epoch == epoch && role.predecessor_expired);
    if said {
        return true;
    }
    let judge = |body: &[u8]| {
        let held = RoleState::from_bytes(body).unwrap_or_default();
        if held.epoch != epoch || held.owner != controller.own_ip() {
            return Decision::Answer(false);
        }
        let next = RoleState { predecessor_expired: true, ..held };
        Decision::Write(next.to_bytes(), true)
    };
    controller.change(key, COMMIT_TIMEOUT_MS, judge).await.unwrap_or(false)
}

/// The catalog answers only under the epoch held; a new epoch starts with an empty one.
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
    // Taken only once there is something to do.
    if key == BATCH && controller.committed.read(records::ids).is_empty() {
        return;
    }
    let role = controller.committed.role(key).unwrap_or_default();
    if !may_acquire(controller, key, &role.owner, confirmed_ms) {
        return;
    }
    // Only an earlier life that had waited: one that had not may stand between two that acted.
    let first = controller.acquired_roles.get(key).is_none();
    let own = role.owner.is_empty() || (first && role.owner == controller.own_ip() && role.predecessor_expired);
    let Some(epoch) = commit_next_epoch(controller, key, role.epoch, own).await else { return };
    let tenure = Tenure { epoch, since: clock::now(), own };
    controller.acquired_roles.insert(key, tenure);
    controller.metrics.roles_acquired.inc();
    kernel::log_event!(ROLE_ACQUIRED, "duty" => key, "epoch" => epoch);
}

fn may_acquire(controller: &Controller, key: &str, holder: &str, confirmed_ms: u64) -> bool {
    let now = clock::now();
    controller.peers.read(|view| {
        singleton_role::may_acquire(RoleView {
            own_ip: controller.own_ip(),
            owner: holder,
            unavailable_ms: view.unavailable_ms(holder, now).min(confirmed_ms),
            is_first_confirmed: view.first_confirmed(key, now).as_deref() == Some(controller.own_ip()),
            lease_ms: controller.settings.bounds.lease_ms,
        })
    })
}

/// What peers are told about who can do a duty.
pub fn gossip_markers(controller: &Controller, now: u64) -> Vec<VersionEntry> {
    let holders: BTreeSet<String> = controller.committed.roles().into_values().map(|role| role.owner).collect();
    let sure = controller.committed.is_confirmed(now);
    let vouched: Vec<String> = controller
        .peers
        .read(|view| holders.into_iter().filter(|ip| *ip != view.own_ip && view.confirms(ip, now)).collect());
    let vouched = vouched.into_iter().map(|ip| VersionEntry::new(HiddenKey::Confirms(&ip), 1, 0));
    iter::once(VersionEntry::new(HiddenKey::Confirmed, u64::from(sure), 0)).chain(vouched).collect()
}

/// What a peer told: whether it is sure, and whom it vouches for. One of an earlier version, which tells
/// nothing of it, counts as sure while it is heard.
pub fn parse_gossip_markers(markers: &[VersionEntry]) -> (bool, Vec<String>) {
    let sure = markers.iter().find(|entry| HiddenKey::parse(&entry.name) == Some(HiddenKey::Confirmed));
    let sure = sure.is_none_or(|entry| entry.term == 1);
    let vouches = markers.iter().filter_map(|entry| match HiddenKey::parse(&entry.name) {
        Some(HiddenKey::Confirms(ip)) => Some(ip.to_string()),
        _ => None,
    });
    (sure, vouches.collect())
}

/// Commits the next epoch on top of `epoch`. None: another controller was first, or the outcome is unknown.
/// One that was committed all the same is never acted under: it is not among what was taken.
async fn commit_next_epoch(controller: &Controller, key: &str, epoch: u64, own: bool) -> Option<u64> {
    let judge = |body: &[u8]| {
        let held = RoleState::from_bytes(body).unwrap_or_default();
        if held.epoch != epoch {
            return Decision::Answer(None);
        }
        let next = RoleState { epoch: epoch + 1, owner: controller.own_ip().to_string(), predecessor_expired: own };
        Decision::Write(next.to_bytes(), Some(epoch + 1))
    };
    controller.change(key, COMMIT_TIMEOUT_MS, judge).await.flatten()
}

#[cfg(test)]
#[path = "roles_tests.rs"]
mod tests;
