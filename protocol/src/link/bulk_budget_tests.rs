//! Admission of frames to a connection's queue.

use super::{BulkBudget, MAX_BULK_BYTES, SHORT_FRAME_BYTES};

#[test]
fn long_frames_are_admitted_up_to_the_byte_limit() {
    let budget = BulkBudget::default();
    let half = MAX_BULK_BYTES / 2;
    assert!(budget.try_admit(half) && budget.try_admit(half));
    assert!(!budget.try_admit(SHORT_FRAME_BYTES + 1), "long frames beyond the limit are rejected");
    assert!(budget.try_admit(SHORT_FRAME_BYTES), "short frames are limited only in number");
    budget.release(half);
    assert!(budget.try_admit(half), "released bytes are available again");
}

#[test]
fn a_single_frame_may_exceed_the_byte_limit() {
    let budget = BulkBudget::default();
    assert!(budget.try_admit(3 * MAX_BULK_BYTES));
    assert!(!budget.try_admit(SHORT_FRAME_BYTES + 1));
    budget.release(3 * MAX_BULK_BYTES);
    assert!(budget.try_admit(SHORT_FRAME_BYTES + 1));
}
