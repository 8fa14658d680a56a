//! A limit in bytes on the frames queued for one connection.
//!
//! The capacity of the queue limits the number of frames. That suffices for short frames; long ones (engine lists,
//! whole configurations) must not accumulate while a peer reads slowly, so their bytes are counted.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::QUEUE_CAPACITY;

/// Maximum length of a short frame in bytes. Short frames are limited only in number.
pub(super) const SHORT_FRAME_BYTES: usize = 4 * 1024;
/// Maximum number of bytes of long frames queued for one connection. A single frame may be longer.
pub(super) const MAX_BULK_BYTES: usize = 1024 * 1024;

/// Maximum number of bytes queued for one connection if no frame is longer than [`MAX_BULK_BYTES`].
pub const MAX_QUEUED_BYTES: usize = MAX_BULK_BYTES + QUEUE_CAPACITY * SHORT_FRAME_BYTES;

/// The number of bytes of long frames queued for one connection. Invariant: each admitted frame is released once.
#[derive(Debug, Default)]
pub(super) struct BulkBudget {
    queued_bytes: AtomicUsize,
}

impl BulkBudget {
    /// Reserves budget for a frame, and returns whether it may be queued. A long frame of any length is admitted if no
    /// other long one is queued.
    pub(super) fn try_admit(&self, len: usize) -> bool {
        if len <= SHORT_FRAME_BYTES {
            return true;
        }
        let admit = |queued: usize| (queued == 0 || queued + len <= MAX_BULK_BYTES).then_some(queued + len);
        self.queued_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, admit).is_ok()
    }

    /// Returns the budget of an admitted frame that has left the queue.
    pub(super) fn release(&self, len: usize) {
        if len > SHORT_FRAME_BYTES {
            self.queued_bytes.fetch_sub(len, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
#[path = "bulk_budget_tests.rs"]
mod tests;
