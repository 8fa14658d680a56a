//! What may wait for a connection.

use super::{BulkBudget, MAX_BULK_BYTES, SHORT_FRAME_BYTES};

#[test]
fn long_frames_wait_up_to_a_bound_in_bytes() {
    let budget = BulkBudget::default();
    let half = MAX_BULK_BYTES / 2;
    assert!(budget.try_admit(half) && budget.try_admit(half));
    assert!(!budget.try_admit(SHORT_FRAME_BYTES + 1), "nothing long is admitted above the bound");
    assert!(budget.try_admit(SHORT_FRAME_BYTES), "short frames are bounded by their number");
    budget.release(half);
    assert!(budget.try_admit(half), "what was written gives its bytes back");
}

#[test]
fn a_single_frame_may_be_longer_than_the_bound() {
    let budget = BulkBudget::default();
    assert!(budget.try_admit(3 * MAX_BULK_BYTES));
    assert!(!budget.try_admit(SHORT_FRAME_BYTES + 1));
    budget.release(3 * MAX_BULK_BYTES);
    assert!(budget.try_admit(SHORT_FRAME_BYTES + 1));
}
