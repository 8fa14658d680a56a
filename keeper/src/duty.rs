//! Duties that one keeper does at a time, each under an epoch of the ledger that no other shares.
//!
//! `docs/fencing.md` says what holds and why.

use crate::keeper::Keeper;
use crate::register::Verdict;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub const CATALOG: &str = "duty/catalog";
pub const BALANCE: &str = "duty/balance";
pub const BATCH: &str = "duty/batch";

/// How often a duty is looked after.
const LOOK_MS: u64 = 400;
/// A keeper that has just started first hears who else is there.
const LISTEN_MS: u64 = 1200;
/// How long one change of a duty's register may take.
const CHANGE_MS: u64 = 1000;

/// A duty as this life of this keeper took it.
#[derive(Clone, Copy)]
struct Tenure {
    epoch: u64,
    /// When the commit of the epoch was known.
    since: u64,
    /// Nobody else can have acted lately.
    own: bool,
}

/// What this life of this keeper took, by duty. Invariant: a duty is done only while the committed state names
/// this keeper under the same epoch and is confirmed.
#[derive(Default)]
pub struct Taken(BTreeMap<String, Tenure>);

/// Told beside the versions of lists: whether the teller is sure, and holders of duties that it vouches for.
const SURE: &str = "sure";
const VOUCH: &str = "vouch ";

pub fn start(keeper: &Arc<Keeper>) {
    for key in [CATALOG, BALANCE, BATCH] {
        let keeper = keeper.clone();
        tokio::spawn(async move {
            let mut beat = kernel::entry::beat(LOOK_MS);
            let mut streak = roster::duty::SureStreak::default();
            loop {
                beat.tick().await;
                let now = kernel::clock::now();
                let sure_ms = streak.sure_ms(keeper.sure(now), now);
                tend(&keeper, key, sure_ms).await;
                if key == CATALOG {
                    open_catalog(&keeper);
                }
            }
        });
    }
}

/// The tenure under which a duty is held here, while that is confirmed.
fn held(keeper: &Keeper, key: &str, now: u64) -> Option<Tenure> {
    let committed_state = keeper.committed_state.lock().expect("committed_state");
    let (epoch, holder, _) = committed_state.duties.get(key)?;
    let sure = committed_state.sure.is_some_and(|time| now < time + crate::keeper::SURE_MS);
    let tenure = keeper.taken.lock().expect("taken").0.get(key).copied()?;
    (sure && holder == keeper.me() && tenure.epoch == *epoch).then_some(tenure)
}

/// The epoch under which this keeper may act now, where two holders may not act within a lease.
pub fn acting_epoch(keeper: &Keeper, key: &str, now: u64) -> Option<u64> {
    let tenure = held(keeper, key, now)?;
    let sure_at = keeper.committed_state.lock().expect("committed_state").sure?;
    let held = roster::duty::Held { since: tenure.since, own: tenure.own, sure_at };
    let bounds = &keeper.env.bounds;
    roster::duty::may_act(held, now, bounds.fencing, bounds.lease_ms, crate::keeper::SURE_MS).then_some(tenure.epoch)
}

/// Says in the register that the wait is over, once, before the first act.
pub async fn declare_clear(keeper: &Keeper, key: &str, epoch: u64) -> bool {
    let said = keeper
        .committed_state
        .lock()
        .expect("committed_state")
        .duties
        .get(key)
        .is_some_and(|duty| duty.0 == epoch && duty.2);
    if said {
        return true;
    }
    let judge = |body: &[u8]| {
        let held = crate::state::Duty::read_bytes(body).unwrap_or_default();
        if held.epoch != epoch || held.holder != keeper.me() {
            return Verdict::Answer(false);
        }
        let next = crate::state::Duty { clear: true, ..held };
        Verdict::Write(next.write_bytes(), true)
    };
    keeper.change(key, CHANGE_MS, judge).await.unwrap_or(false)
}

/// The catalog answers only under the epoch held; a new epoch starts with an empty one.
fn open_catalog(keeper: &Keeper) {
    let epoch = held(keeper, CATALOG, kernel::clock::now()).map_or(0, |tenure| tenure.epoch);
    let mut catalog = keeper.catalog.lock().expect("catalog");
    if catalog.epoch != epoch && epoch > catalog.last {
        catalog.prefix_index.clear();
        catalog.gauge.clear();
        catalog.last = epoch;
    }
    catalog.epoch = epoch;
}

async fn tend(keeper: &Arc<Keeper>, key: &str, sure_ms: u64) {
    let now = kernel::clock::now();
    if !keeper.sure(now) || now < LISTEN_MS || held(keeper, key, now).is_some() {
        return;
    }
    // Taken only once there is something to do.
    if key == BATCH && crate::batches::ids(&keeper.committed_state.lock().expect("committed_state")).is_empty() {
        return;
    }
    let (epoch, holder, clear) =
        keeper.committed_state.lock().expect("committed_state").duties.get(key).cloned().unwrap_or_default();
    if !may_take(keeper, key, &holder, sure_ms) {
        return;
    }
    // Only an earlier life that had waited: one that had not may stand between two that acted.
    let first = !keeper.taken.lock().expect("taken").0.contains_key(key);
    let own = holder.is_empty() || (first && holder == keeper.me() && clear);
    let Some(epoch) = take(keeper, key, epoch, own).await else { return };
    let tenure = Tenure { epoch, since: kernel::clock::now(), own };
    keeper.taken.lock().expect("taken").0.insert(key.into(), tenure);
    keeper.metrics.duties_taken.inc();
    kernel::say!(crate::event::DUTY, "duty" => key, "epoch" => epoch);
}

fn may_take(keeper: &Keeper, key: &str, holder: &str, sure_ms: u64) -> bool {
    let now = kernel::clock::now();
    let roster = keeper.roster.lock().expect("roster");
    roster::duty::may_take(roster::duty::Look {
        me: keeper.me(),
        holder,
        absent_ms: roster.absent_ms(holder, now).min(sure_ms),
        first: roster.first_sure(key, now).as_deref() == Some(keeper.me()),
        lease_ms: keeper.env.bounds.lease_ms,
    })
}

/// What peers are told about who can do a duty.
pub fn told(keeper: &Keeper, now: u64) -> Vec<(String, u64, u64)> {
    let holders: BTreeSet<String> = {
        let committed_state = keeper.committed_state.lock().expect("committed_state");
        committed_state.duties.values().map(|(_, holder, _)| holder.clone()).collect()
    };
    let sure = keeper.sure(now);
    let roster = keeper.roster.lock().expect("roster");
    let vouched = holders.into_iter().filter(|ip| *ip != roster.me && roster.vouches_for(ip, now));
    let vouched = vouched.map(|ip| (wire::msg::hide(&format!("{VOUCH}{ip}")), 1, 0));
    std::iter::once((wire::msg::hide(SURE), u64::from(sure), 0)).chain(vouched).collect()
}

/// What a peer told: whether it is sure, and whom it vouches for. One of an earlier version, which tells
/// nothing of it, counts as sure while it is heard.
pub fn heard(told: &[(String, u64, u64)]) -> (bool, Vec<String>) {
    let (sure, vouch) = (wire::msg::hide(SURE), wire::msg::hide(VOUCH));
    let sure = told.iter().find(|item| item.0 == sure).is_none_or(|item| item.1 == 1);
    let vouches = told.iter().filter_map(|item| Some(item.0.strip_prefix(&vouch)?.to_string()));
    (sure, vouches.collect())
}

/// Commits the next epoch on top of `epoch`. None: another keeper was first, or the outcome is unknown.
/// One that was committed all the same is never acted under: it is not among what was taken.
async fn take(keeper: &Keeper, key: &str, epoch: u64, own: bool) -> Option<u64> {
    let judge = |body: &[u8]| {
        let held = crate::state::Duty::read_bytes(body).unwrap_or_default();
        if held.epoch != epoch {
            return Verdict::Answer(None);
        }
        let next = crate::state::Duty { epoch: epoch + 1, holder: keeper.me().to_string(), clear: own };
        Verdict::Write(next.write_bytes(), Some(epoch + 1))
    };
    keeper.change(key, CHANGE_MS, judge).await.flatten()
}

#[cfg(test)]
#[path = "duty_tests.rs"]
mod tests;
