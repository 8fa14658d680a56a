//! Decides when entries may be sealed and sent packed: only after no replica without support for packed entries was
//! known for some time.

/// Time without a known older replica after which the gate opens, in milliseconds.
const QUIET_PERIOD_MS: u64 = 60_000;

/// A gate that opens once all known replicas have supported packed entries for a quiet period.
#[derive(Clone, Copy, Debug)]
pub struct PackingGate {
    /// When an older replica was last known, or when this one started, in milliseconds.
    closed_at: u64,
}

impl PackingGate {
    /// Returns a closed gate: a replica that just started does not know the others yet.
    pub fn new(now: u64) -> PackingGate {
        PackingGate { closed_at: now }
    }

    /// Records whether a replica is known that does not support packed entries.
    pub fn observe(&mut self, has_older_replica: bool, now: u64) {
        if has_older_replica {
            self.closed_at = now;
        }
    }

    /// Returns whether entries may be sealed and sent packed.
    pub fn is_open(&self, now: u64) -> bool {
        now >= self.closed_at + QUIET_PERIOD_MS
    }
}

#[cfg(test)]
#[path = "packing_gate_tests.rs"]
mod tests;
