//! Which counts are reported, and when they are reported again.

use super::{RequestCounter, RETAINED_WINDOWS};
use protocol::metering::WindowCounts;

fn flattened(reports: Vec<WindowCounts>) -> Vec<(u64, String, u64)> {
    let flatten =
        |report: WindowCounts| report.tenants.into_iter().map(move |count| (report.window, count.tenant, count.count));
    reports.into_iter().flat_map(flatten).collect()
}

#[test]
fn take_unreported_returns_cumulative_counts_that_changed() {
    let mut counter = RequestCounter::default();
    counter.record(7, "a");
    counter.record(7, "b");
    counter.record(7, "a");
    assert_eq!(flattened(counter.take_unreported()), [(7, "a".into(), 2), (7, "b".into(), 1)]);
    assert!(counter.take_unreported().is_empty());
    counter.record(7, "a");
    counter.record(8, "a");
    assert_eq!(flattened(counter.take_unreported()), [(7, "a".into(), 3), (8, "a".into(), 1)]);
}

#[test]
fn report_again_returns_all_retained_windows() {
    let mut counter = RequestCounter::default();
    counter.record(1, "a");
    counter.record(1 + RETAINED_WINDOWS, "a");
    counter.take_unreported();
    counter.report_again(usize::MAX);
    assert_eq!(flattened(counter.take_unreported()).len(), 2);
    counter.record(2 + RETAINED_WINDOWS, "a");
    counter.report_again(usize::MAX);
    assert_eq!(flattened(counter.take_unreported()).len(), 2, "the oldest window is removed");
}
