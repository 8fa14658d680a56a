//! A bound in bytes on the frames that wait for one connection.
//!
//! The number of waiting frames is bounded by the queue itself. That is bound enough for short frames; long ones (lists of
//! engines, whole configurations) must not pile up behind a peer that reads slowly, so their bytes are counted.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::QUEUE_CAPACITY;

/// Frames up to this length are bounded by their number alone.
pub(super) const SHORT_FRAME_BYTES: usize = 4 * 1024;
/// The most bytes of longer frames that wait for one connection. A single frame may be longer.
pub(super) const MAX_BULK_BYTES: usize = 1024 * 1024;

/// The most bytes that wait for one connection where no frame is longer than [`MAX_BULK_BYTES`].
pub const MAX_QUEUED_BYTES: usize = MAX_BULK_BYTES + QUEUE_CAPACITY * SHORT_FRAME_BYTES;

/// The bytes of long frames that wait for one connection. Invariant: each admitted frame is released once.
#[derive(Debug, Default)]
pub(super) struct BulkBudget {
    queued_bytes: AtomicUsize,
}

impl BulkBudget {
    /// Counts a frame as waiting, and returns whether it may wait. A long one may where it is the only one, however long.
    pub(super) fn try_admit(&self, len: usize) -> bool {
        if len <= SHORT_FRAME_BYTES {
            return true;
        }
        let admit = |queued: usize| (queued == 0 || queued + len <= MAX_BULK_BYTES).then_some(queued + len);
        self.queued_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, admit).is_ok()
    }

    /// Counts an admitted frame as no longer waiting.
    pub(super) fn release(&self, len: usize) {
        if len > SHORT_FRAME_BYTES {
            self.queued_bytes.fetch_sub(len, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
#[path = "bulk_budget_tests.rs"]
mod tests;
