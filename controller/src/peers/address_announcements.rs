//! Decides which heartbeats carry the addresses of the known controllers.
//!
//! The addresses are needed when a controller does not know all others: after a start and after a change. In every
//! heartbeat they would be half of its size, and their traffic would grow with the square of the number of controllers.

use kernel::hashing;

/// How many heartbeats in a row carry the addresses after a change.
const REPEATS_AFTER_CHANGE: u32 = 8;
/// Without a change, one in this many heartbeats carries the addresses.
const INTERVAL: u32 = 8;

/// The addresses in the last heartbeat, as a digest, and for how many heartbeats they have been unchanged.
#[derive(Default)]
pub struct AddressAnnouncements {
    digest: u64,
    unchanged: u32,
}

impl AddressAnnouncements {
    /// Returns whether the next heartbeat must carry these addresses. To be called once per heartbeat.
    pub fn is_due(&mut self, addresses: &[String]) -> bool {
        let digest = hashing::hash(addresses.join(" ").as_bytes());
        if digest != self.digest {
            *self = AddressAnnouncements { digest, unchanged: 0 };
        }
        let is_due = self.unchanged < REPEATS_AFTER_CHANGE || self.unchanged.is_multiple_of(INTERVAL);
        self.unchanged = self.unchanged.wrapping_add(1);
        is_due
    }
}

#[cfg(test)]
#[path = "address_announcements_tests.rs"]
mod tests;
