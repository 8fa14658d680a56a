//! With which heartbeats the addresses of the known controllers go out.
//!
//! They are needed where somebody does not know all controllers: after a start and after a change. Otherwise they would be
//! half of what heartbeats weigh, and grow with the square of the number of controllers.

use kernel::hashing;

/// After a change this many heartbeats in a row hold the addresses.
const REPEATED: u32 = 8;
/// Without a change each so many heartbeats hold them.
const INTERVAL: u32 = 8;

/// The addresses that went out last, and for how many heartbeats they have been the same.
#[derive(Default)]
pub struct AddressAnnouncements {
    digest: u64,
    unchanged: u32,
}

impl AddressAnnouncements {
    /// Returns whether the next heartbeat is to hold these addresses. To be called once for each heartbeat.
    pub fn is_due(&mut self, addresses: &[String]) -> bool {
        let digest = hashing::hash(addresses.join(" ").as_bytes());
        if digest != self.digest {
            *self = AddressAnnouncements { digest, unchanged: 0 };
        }
        let is_due = self.unchanged < REPEATED || self.unchanged.is_multiple_of(INTERVAL);
        self.unchanged = self.unchanged.wrapping_add(1);
        is_due
    }
}

#[cfg(test)]
#[path = "address_announcements_tests.rs"]
mod tests;
