//! When entries are sealed and sent packed: not while a replica is there, or was there lately, that knows keys as text only.

/// How long no older replica must have been known, in milliseconds.
const QUIET_MS: u64 = 60_000;

/// Opens once all replicas have read packed entries for some time.
#[derive(Clone, Copy, Debug)]
pub struct PackingGate {
    /// When an older replica was known last, or the start.
    closed_at: u64,
}

impl PackingGate {
    /// Returns a gate that is closed at first: a replica that was just started knows no other.
    pub fn new(now: u64) -> PackingGate {
        PackingGate { closed_at: now }
    }

    /// Notes whether a replica is known that does not read packed entries.
    pub fn observe(&mut self, has_older_replica: bool, now: u64) {
        if has_older_replica {
            self.closed_at = now;
        }
    }

    /// Returns whether entries may be sealed and sent packed.
    pub fn is_open(&self, now: u64) -> bool {
        now >= self.closed_at + QUIET_MS
    }
}

#[cfg(test)]
#[path = "packing_gate_tests.rs"]
mod tests;
