//! Rules for acquiring a singleton role and for acting as its owner.
//!
//! The register of a role holds its owner and an epoch, which serves as a fencing token. Writes to the register need a
//! majority; this module decides when a controller tries to write it, and when the owner may act under its epoch. Two
//! owners never act within one lease duration of each other, even if the receiver of their orders can't compare epochs.

/// What a controller knows when it decides whether to acquire a role.
#[derive(Clone, Copy, Debug)]
pub struct RoleView<'a> {
    /// Address of the controller that decides.
    pub own_ip: &'a str,
    /// Address of the owner in the register as a quorum last confirmed it; empty if the role has never been owned.
    pub owner: &'a str,
    /// How long the owner has been unavailable, in milliseconds; counted only while this controller was confirmed
    /// without interruption.
    pub unavailable_ms: u64,
    /// Whether this controller is the first confirmed one in the preference order.
    pub is_first_confirmed: bool,
    /// Lease duration: how long an owner keeps the role while it is unavailable, in milliseconds.
    pub lease_ms: u64,
}

/// Returns whether the controller may write itself into the register under a new epoch.
///
/// The last owner keeps the role until its lease expires. An owner that restarted may take a new epoch at once.
pub fn may_acquire(view: RoleView) -> bool {
    let is_vacant = view.owner.is_empty() || view.unavailable_ms > view.lease_ms;
    view.owner == view.own_ip || (is_vacant && view.is_first_confirmed)
}

/// Measures how long a controller has been confirmed without interruption.
///
/// While no controller reaches a quorum, the owner can't act either. This time must not count as unavailability of the
/// owner, or any controller that is confirmed again before the owner would acquire its roles.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfirmedStreak {
    /// When the streak began, in milliseconds; `None` while the controller is not confirmed.
    started_at: Option<u64>,
}

impl ConfirmedStreak {
    /// Records whether the controller is confirmed at `now` and returns the length of the streak in milliseconds.
    pub fn confirmed_ms(&mut self, confirmed: bool, now: u64) -> u64 {
        if !confirmed {
            self.started_at = None;
            return 0;
        }
        now - *self.started_at.get_or_insert(now)
    }
}

/// This controller's ownership of a role under one epoch.
///
/// Invariant: `acquired_at` is after the commit of the epoch.
#[derive(Clone, Copy, Debug)]
pub struct RoleTenure {
    /// When the role was acquired, in milliseconds of the monotonic clock.
    pub acquired_at: u64,
    /// Whether no other controller can have acted recently: either there was no owner before, or the last one was an
    /// earlier incarnation of this controller, which recorded in the register that its own predecessor had expired.
    pub predecessor_expired: bool,
    /// Start of the quorum read that last confirmed this epoch, in milliseconds of the monotonic clock.
    pub confirmed_at: u64,
}

/// Returns whether the owner may act at `now`, so that no two owners act within one lease duration of each other.
///
/// An owner may act for `confirmed_ms` after the start of its last confirmation, so the predecessor may have acted
/// until `confirmed_ms` after this epoch was committed. With `fencing`, receivers reject orders of older epochs and no
/// wait is needed.
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
