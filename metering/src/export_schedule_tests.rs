//! Which windows are due, and how long a window waits for missing reports.

use std::collections::BTreeSet;

use super::{ExportSchedule, MissingReports, PARTITION_WAIT_MS};
use crate::ExportState;

const SCHEDULE: ExportSchedule = ExportSchedule { window_ms: 5000, delay_ms: 10_000 };
/// End of window 999, in milliseconds.
const END: u64 = 5_000_000;

fn due(state: &ExportState, empty: &[u64], time_ms: u64) -> Vec<u64> {
    SCHEDULE.due_windows(state, &empty.iter().copied().collect::<BTreeSet<u64>>(), time_ms)
}

#[test]
fn a_window_is_due_from_its_settle_time_until_two_minutes_after_its_end() {
    let state = ExportState::default();
    assert_eq!(due(&state, &[], END + 2499).last(), Some(&998));
    assert_eq!(due(&state, &[], END + 2500).last(), Some(&999));
    assert_eq!(due(&state, &[], END + 2500).len(), 24);
}

#[test]
fn committed_and_empty_windows_are_not_due() {
    let committed = ExportState::default().with_committed(999, Vec::new()).expect("window 999 is open");
    let due_windows = due(&committed, &[998, 996], END + 2500);
    assert_eq!(&due_windows[due_windows.len() - 2..], [995, 997]);
}

#[test]
fn a_window_waits_for_controllers_until_shortly_before_its_deadline_and_longer_for_a_zone() {
    let (none_missing, controller_missing) =
        (MissingReports::default(), MissingReports { controllers: 1, is_zone_missing: false });
    let zone_missing = MissingReports { controllers: 2, is_zone_missing: true };
    assert!(SCHEDULE.is_ready(none_missing, 2500));
    assert!(!SCHEDULE.is_ready(controller_missing, 7499) && SCHEDULE.is_ready(controller_missing, 7500));
    assert!(
        !SCHEDULE.is_ready(zone_missing, PARTITION_WAIT_MS - 1) && SCHEDULE.is_ready(zone_missing, PARTITION_WAIT_MS)
    );
    assert_eq!(SCHEDULE.age_ms(999, END + 700), 700);
}
