//! What is reported, and when again.

use super::{RequestCounter, RETAINED_WINDOWS};
use protocol::metering::WindowCounts;

fn flat(reports: Vec<WindowCounts>) -> Vec<(u64, String, u64)> {
    let one = |report: WindowCounts| report.tenants.into_iter().map(move |one| (report.window, one.tenant, one.count));
    reports.into_iter().flat_map(one).collect()
}

#[test]
fn counts_are_reported_from_the_beginning_of_their_window_and_only_where_they_changed() {
    let mut counter = RequestCounter::default();
    counter.record(7, "a");
    counter.record(7, "b");
    counter.record(7, "a");
    assert_eq!(flat(counter.take_unreported()), [(7, "a".into(), 2), (7, "b".into(), 1)]);
    assert!(counter.take_unreported().is_empty());
    counter.record(7, "a");
    counter.record(8, "a");
    assert_eq!(flat(counter.take_unreported()), [(7, "a".into(), 3), (8, "a".into(), 1)]);
}

#[test]
fn a_new_reader_gets_everything_that_is_kept() {
    let mut counter = RequestCounter::default();
    counter.record(1, "a");
    counter.record(1 + RETAINED_WINDOWS, "a");
    counter.take_unreported();
    counter.report_again(usize::MAX);
    assert_eq!(flat(counter.take_unreported()).len(), 2);
    counter.record(2 + RETAINED_WINDOWS, "a");
    counter.report_again(usize::MAX);
    assert_eq!(flat(counter.take_unreported()).len(), 2, "the oldest is forgotten");
}
