//! Tracks whether the routing table in force is proved to be current, and lets requests wait for that proof.
//!
//! A refusal because of a missing entry (no such route, no such key) is certain only if no change that was acknowledged
//! in time can be missing from the table. A request that would be refused without that proof waits for it for a short
//! time; the router's subscription is woken once for all waiting requests.

use std::sync::atomic::{AtomicI64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use kernel::ConvergenceBudget;
use tokio::sync::Notify;
use tokio::time::{self, Instant};

use crate::config::routing_table::RoutingTable;
use crate::state::State;

/// The value of `current_as_of` before the first proof.
const NO_PROOF: i64 = i64::MIN;
/// Maximum number of requests that wait at once. Further ones get `Unproved` without a wait.
const MAX_WAITING: usize = 256;

/// A request waits for a proof for at most the time that it has left divided by this.
const WAIT_DIVISOR: u64 = 3;

/// Why a look-up in the routing table found nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupMiss {
    /// The table is proved to be current, so the entry does not exist.
    Certain,
    /// The table may be outdated, so the entry may exist.
    Unproved,
}

/// The proof that the table in force is current, and the requests that wait for one. Invariant: `current_as_of` never
/// decreases, and the table in force contains every change that was acknowledged before it.
pub struct Freshness {
    /// The convergence budget, which determines the timeouts and age limits.
    budget: ConvergenceBudget,
    /// Every change that was acknowledged before this time of the steady clock is in the table in force.
    current_as_of: AtomicI64,
    /// The number of waiting requests.
    waiting: AtomicUsize,
    /// Notified when a proof or a newer table has arrived.
    changed: Notify,
    /// Notified when a request begins to wait for a proof.
    proof_wanted: Notify,
}

/// Counts one waiting request until it is dropped.
struct WaitGuard<'a>(&'a Freshness);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Freshness {
    /// Returns the state before the first proof.
    pub fn new(budget: ConvergenceBudget) -> Freshness {
        Freshness {
            budget,
            current_as_of: NO_PROOF.into(),
            waiting: Default::default(),
            changed: Default::default(),
            proof_wanted: Default::default(),
        }
    }

    /// Returns the convergence budget.
    pub fn budget(&self) -> &ConvergenceBudget {
        &self.budget
    }

    /// Records the proof that every change acknowledged before this time of the steady clock is in the table in force.
    pub fn prove(&self, as_of: i64) {
        self.current_as_of.fetch_max(as_of, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Wakes the waiting requests because a newer table is in force.
    pub fn notify_table_changed(&self) {
        self.changed.notify_waiters();
    }

    /// Returns whether the proof is recent enough to refuse a request because the table has no entry for it.
    pub fn is_proved(&self, now: u64) -> bool {
        let as_of = self.current_as_of.load(Ordering::Relaxed);
        now as i64 <= as_of.saturating_add(self.budget.refusal_age_ms() as i64)
    }

    /// Returns once requests wait for a proof; any number of them count as one.
    pub async fn proof_wanted(&self) {
        self.proof_wanted.notified().await;
    }

    /// Counts the caller as waiting; `None` if too many requests wait already.
    fn try_begin_wait(&self) -> Option<WaitGuard<'_>> {
        let ordering = Ordering::Relaxed;
        let guard = WaitGuard(self);
        (self.waiting.fetch_add(1, ordering) < MAX_WAITING).then_some(guard)
    }
}

/// Returns the table in force if it is accepted. The proof is read before the table, so that the table is at least as
/// new as the proof.
fn find_table(state: &State, accepts: &impl Fn(&RoutingTable) -> bool) -> Result<Arc<RoutingTable>, LookupMiss> {
    let is_proved = state.freshness.is_proved(clock::now());
    let table = state.table();
    match accepts(&table) {
        true => Ok(table),
        false if is_proved => Err(LookupMiss::Certain),
        false => Err(LookupMiss::Unproved),
    }
}

/// Returns the routing table as soon as `accepts` finds in it what a request needs.
///
/// # Errors
/// `Certain` only if the table is proved to be current. Without that proof it waits, for at most a third of the time
/// that the request has left, and then returns `Unproved`.
pub async fn wait_for_table(
    state: &State,
    left_ms: u64,
    accepts: impl Fn(&RoutingTable) -> bool,
) -> Result<Arc<RoutingTable>, LookupMiss> {
    let first = find_table(state, &accepts);
    if !matches!(first, Err(LookupMiss::Unproved)) {
        return first;
    }
    let freshness = &state.freshness;
    let Some(_guard) = freshness.try_begin_wait() else { return first };
    freshness.proof_wanted.notify_one();
    let max_wait = Duration::from_millis(freshness.budget.refusal_wait_ms().min(left_ms / WAIT_DIVISOR));
    let deadline = Instant::now() + max_wait;
    loop {
        let changed = freshness.changed.notified();
        let result = find_table(state, &accepts);
        if !matches!(result, Err(LookupMiss::Unproved)) || time::timeout_at(deadline, changed).await.is_err() {
            return result;
        }
    }
}

#[cfg(test)]
#[path = "freshness_tests.rs"]
mod tests;
