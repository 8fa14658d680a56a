//! When a duty may be taken and when its holder may act: pure.

/// What a controller knows when it looks at a duty.
#[derive(Clone, Copy, Debug)]
pub struct RoleView<'a> {
    pub own_ip: &'a str,
    /// The holder that a majority was last seen to name; empty: nobody yet.
    pub owner: &'a str,
    /// How long the holder has been unable to act, as seen by a controller that was sure all the while.
    pub unavailable_ms: u64,
    /// Is this controller the first in the agreed order that is able?
    pub is_first_confirmed: bool,
    pub lease_ms: u64,
}

/// The last holder is left its lease; one that started again takes a new epoch at once.
pub fn may_acquire(look: RoleView) -> bool {
    let stopped = look.owner.is_empty() || look.unavailable_ms > look.lease_ms;
    look.owner == look.own_ip || (stopped && look.is_first_confirmed)
}

/// Since when a controller has been sure without a break. While nobody reaches a majority the holder can't
/// act either; that time must not count against it, or each controller that is back before it would take its
/// duties.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfirmedStreak(Option<u64>);

impl ConfirmedStreak {
    /// How long it has been sure by now.
    pub fn confirmed_ms(&mut self, confirmed: bool, now: u64) -> u64 {
        if !confirmed {
            self.0 = None;
            return 0;
        }
        now - *self.0.get_or_insert(now)
    }
}

/// How a duty is held here. Invariant: `since` is after the commit of the epoch.
#[derive(Clone, Copy, Debug)]
pub struct RoleTenure {
    pub acquired_at: u64,
    /// Nobody else can have acted lately: there was no holder before, or the last one was an earlier
    /// life of this controller that had said in the register that it had waited.
    pub predecessor_expired: bool,
    /// When the read began that last confirmed this epoch at a majority.
    pub confirmed_at: u64,
}

/// May the holder act, where no two holders may act within a lease of each other? The last one may
/// have acted until its confirmation ran out, which is at most `sure_ms` after this epoch was committed.
pub fn may_act(held: RoleTenure, now: u64, fencing: bool, lease_ms: u64, confirmed_ms: u64) -> bool {
    if now >= held.confirmed_at + confirmed_ms {
        return false;
    }
    let wait = if fencing || held.predecessor_expired { 0 } else { lease_ms + 2 * confirmed_ms };
    now >= held.acquired_at + wait
}

#[cfg(test)]
#[path = "singleton_role_tests.rs"]
mod tests;
