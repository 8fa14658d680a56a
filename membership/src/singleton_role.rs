//! When a singleton role may be acquired and when its owner may act.
//!
//! The register of a role holds its owner under an epoch, which serves as a fencing token. A majority decides on the register;
//! this module decides when a controller tries to write it, and when the owner may act under its epoch. Two owners never act
//! within a lease of each other, even where the receiver of their orders can't compare epochs.

/// What a controller knows when it considers acquiring a role.
#[derive(Clone, Copy, Debug)]
pub struct RoleView<'a> {
    /// The address of the controller that considers it.
    pub own_ip: &'a str,
    /// The owner that a quorum was last seen to name; empty if nobody has owned the role yet.
    pub owner: &'a str,
    /// How long the owner has been unable to act, as seen by a controller that was confirmed all the while, in milliseconds.
    pub unavailable_ms: u64,
    /// Whether this controller is the first in the agreed order that is confirmed.
    pub is_first_confirmed: bool,
    /// How long an owner keeps the role while it is unavailable, in milliseconds.
    pub lease_ms: u64,
}

/// Returns whether the controller may write itself into the register under a new epoch.
///
/// The last owner keeps the role for its lease. An owner that started again takes a new epoch at once.
pub fn may_acquire(view: RoleView) -> bool {
    let is_vacant = view.owner.is_empty() || view.unavailable_ms > view.lease_ms;
    view.owner == view.own_ip || (is_vacant && view.is_first_confirmed)
}

/// Since when a controller has been confirmed without a break.
///
/// While nobody reaches a quorum the owner can't act either. That time must not count against it, or each controller that is
/// back before the owner would acquire its roles.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfirmedStreak {
    started_at: Option<u64>,
}

impl ConfirmedStreak {
    /// Takes in whether the controller is confirmed at `now` and returns for how long it has been, in milliseconds.
    pub fn confirmed_ms(&mut self, confirmed: bool, now: u64) -> u64 {
        if !confirmed {
            self.started_at = None;
            return 0;
        }
        now - *self.started_at.get_or_insert(now)
    }
}

/// How this controller owns a role under one epoch.
///
/// Invariant: `acquired_at` is after the commit of the epoch.
#[derive(Clone, Copy, Debug)]
pub struct RoleTenure {
    /// When the role was acquired, in milliseconds of the steady clock.
    pub acquired_at: u64,
    /// Whether nobody else can have acted lately: there was no owner before, or the last one was an earlier incarnation of this
    /// controller that had recorded in the register that its own predecessor had expired.
    pub predecessor_expired: bool,
    /// When the read began by which a quorum last confirmed this epoch.
    pub confirmed_at: u64,
}

/// Returns whether the owner may act at `now`, where no two owners may act within a lease of each other.
///
/// An owner may act for `confirmed_ms` after its last confirmation began. The predecessor may so have acted until at most
/// `confirmed_ms` after this epoch was committed. With `fencing`, receivers reject orders of older epochs, and no wait is
/// needed.
pub fn may_act(tenure: RoleTenure, now: u64, fencing: bool, lease_ms: u64, confirmed_ms: u64) -> bool {
    if now >= tenure.confirmed_at + confirmed_ms {
        return false;
    }
    let wait_ms = if fencing || tenure.predecessor_expired { 0 } else { lease_ms + 2 * confirmed_ms };
    now >= tenure.acquired_at + wait_ms
}

#[cfg(test)]
#[path = "singleton_role_tests.rs"]
mod tests;
