//! Whether the routing table in force is proved to be current, and the requests that wait for that proof.
//!
//! A refusal that rests on what the table lacks (no such route, no such key) is certain only if nothing that was
//! acknowledged in time can be missing. A request that would be refused without that proof waits for a short time
//! together with all others; the router's subscription is woken once for all of them.

use std::sync::atomic::{AtomicI64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use kernel::ConvergenceBudget;
use tokio::sync::Notify;
use tokio::time::{self, Instant};

use crate::config::routing_table::RoutingTable;
use crate::state::State;

/// Stands for "no proof yet".
const NO_PROOF: i64 = i64::MIN;
/// How many requests may wait at once. Beyond them the outcome is uncertain without a wait.
const MAX_WAITING: usize = 256;

/// A request waits for a proof during this part of the time that it has left at most.
const WAIT_DIVISOR: u64 = 3;

/// Why the routing table has nothing for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupMiss {
    /// The table is current, and has nothing for it.
    Certain,
    /// The table may be outdated.
    Unproved,
}

/// Invariant: `current_as_of` never goes back, and the table in force contains all that was acknowledged before.
pub struct Freshness {
    /// The times that follow from the bound on convergence.
    budget: ConvergenceBudget,
    /// All that was acknowledged before this time is in the table in force.
    current_as_of: AtomicI64,
    /// How many requests wait.
    waiting: AtomicUsize,
    /// Notified when a proof or a newer table has arrived.
    changed: Notify,
    /// Notified when a request waits for a proof.
    wanted: Notify,
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
            wanted: Default::default(),
        }
    }

    /// Returns the budget of the time in which changes converge.
    pub fn budget(&self) -> &ConvergenceBudget {
        &self.budget
    }

    /// Records that all that was acknowledged before this time of the steady clock is in the table in force.
    pub fn prove(&self, as_of: i64) {
        self.current_as_of.fetch_max(as_of, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Wakes the waiting requests because a newer table is in force.
    pub fn table_changed(&self) {
        self.changed.notify_waiters();
    }

    /// Returns whether a refusal may rest on the table in force.
    pub fn is_proved(&self, now: u64) -> bool {
        let as_of = self.current_as_of.load(Ordering::Relaxed);
        now as i64 <= as_of.saturating_add(self.budget.refusal_age_ms() as i64)
    }

    /// Waits until a request waits for a proof. Any number of them end it once.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Counts the caller as waiting unless too many are.
    fn try_wait(&self) -> Option<WaitGuard<'_>> {
        let order = Ordering::Relaxed;
        let waiting = WaitGuard(self);
        (self.waiting.fetch_add(1, order) < MAX_WAITING).then_some(waiting)
    }
}

/// Returns the table of this moment if it is accepted. The proof is read first, so that the table read after it is
/// no older.
fn find_table(state: &State, accepts: &impl Fn(&RoutingTable) -> bool) -> Result<Arc<RoutingTable>, LookupMiss> {
    let proved = state.freshness.is_proved(clock::now());
    let table = state.table();
    match accepts(&table) {
        true => Ok(table),
        false if proved => Err(LookupMiss::Certain),
        false => Err(LookupMiss::Unproved),
    }
}

/// Returns the first table from now on that has what a request needs.
///
/// # Errors
/// A miss is `Certain` only by a table that is proved current. Without that proof it waits, during a third of the
/// time that the request has left at most, and then returns `Unproved`.
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
    let Some(_waiting) = freshness.try_wait() else { return first };
    freshness.wanted.notify_one();
    let wait = Duration::from_millis(freshness.budget.refusal_wait_ms().min(left_ms / WAIT_DIVISOR));
    let end = Instant::now() + wait;
    loop {
        let changed = freshness.changed.notified();
        let now = find_table(state, &accepts);
        if !matches!(now, Err(LookupMiss::Unproved)) || time::timeout_at(end, changed).await.is_err() {
            return now;
        }
    }
}

#[cfg(test)]
#[path = "freshness_tests.rs"]
mod tests;
