//! One value for a window, for ever.

use protocol::metering::TenantCount;

use super::{ExportState, RETAINED_WINDOWS};

fn counts(count: u64) -> Vec<TenantCount> {
    vec![TenantCount { tenant: "a".into(), count }]
}

#[test]
fn the_first_counts_of_a_window_stay() {
    let state = ExportState::default().with_agreed(7, counts(1)).expect("open");
    assert_eq!(state.with_agreed(7, counts(2)), None);
    assert_eq!(state.next_to_tell().expect("agreed").counts, counts(1));
    let told = state.with_told(7).expect("agreed");
    assert_eq!((told.with_agreed(7, counts(2)), told.with_told(7), told.next_to_tell()), (None, None, None));
}

#[test]
fn the_oldest_is_told_first_and_an_earlier_window_may_follow_a_later_one() {
    let state =
        ExportState::default().with_agreed(9, counts(1)).expect("open").with_agreed(8, counts(2)).expect("open");
    assert_eq!(state.next_to_tell().expect("agreed").window, 8);
    assert_eq!(state.with_told(8).expect("agreed").next_to_tell().expect("agreed").window, 9);
}

#[test]
fn told_windows_are_forgotten_and_stay_closed() {
    let mut state = ExportState::default();
    for window in 0..200 {
        state = state.with_agreed(window, counts(1)).expect("open").with_told(window).expect("agreed");
    }
    assert_eq!(state.windows.len(), RETAINED_WINDOWS);
    assert!((0..200).all(|window| !state.is_open(window)) && state.is_open(200));
}

#[test]
fn what_was_not_told_is_never_forgotten() {
    let mut state = ExportState::default().with_agreed(0, counts(5)).expect("open");
    for window in 1..200 {
        state = state.with_agreed(window, counts(1)).expect("open").with_told(window).expect("agreed");
    }
    assert_eq!(state.next_to_tell().expect("kept").counts, counts(5));
}

#[test]
fn it_is_read_as_it_was_stored_and_nothing_else_is_taken_for_it() {
    let state = ExportState::default().with_agreed(7, counts(1)).expect("open");
    assert_eq!(ExportState::open(&state.to_bytes()), Some(state));
    assert_eq!(ExportState::open(&[]), Some(ExportState::default()));
    assert_eq!(ExportState::open(&[1; 5]), None);
}
