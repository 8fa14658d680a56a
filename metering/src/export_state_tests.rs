//! The counts of a window never change once they are committed.

use protocol::metering::TenantCount;

use super::{ExportState, RETAINED_WINDOWS};

fn counts(count: u64) -> Vec<TenantCount> {
    vec![TenantCount { tenant: "a".into(), count }]
}

#[test]
fn a_committed_window_accepts_no_other_counts() {
    let state = ExportState::default().with_committed(7, counts(1)).expect("open window");
    assert_eq!(state.with_committed(7, counts(2)), None);
    assert_eq!(state.next_unacknowledged().expect("committed window").counts, counts(1));
    let acknowledged = state.with_acknowledged(7).expect("committed window");
    assert_eq!(
        (
            acknowledged.with_committed(7, counts(2)),
            acknowledged.with_acknowledged(7),
            acknowledged.next_unacknowledged()
        ),
        (None, None, None)
    );
}

#[test]
fn the_oldest_window_is_sent_first_even_if_committed_last() {
    let state = ExportState::default()
        .with_committed(9, counts(1))
        .expect("open window")
        .with_committed(8, counts(2))
        .expect("open window");
    assert_eq!(state.next_unacknowledged().expect("committed window").window, 8);
    assert_eq!(
        state.with_acknowledged(8).expect("committed window").next_unacknowledged().expect("committed window").window,
        9
    );
}

#[test]
fn acknowledged_windows_are_removed_and_stay_closed() {
    let mut state = ExportState::default();
    for window in 0..200 {
        state = state
            .with_committed(window, counts(1))
            .expect("open window")
            .with_acknowledged(window)
            .expect("committed window");
    }
    assert_eq!(state.windows.len(), RETAINED_WINDOWS);
    assert!((0..200).all(|window| !state.is_open(window)) && state.is_open(200));
}

#[test]
fn an_unacknowledged_window_is_never_removed() {
    let mut state = ExportState::default().with_committed(0, counts(5)).expect("open window");
    for window in 1..200 {
        state = state
            .with_committed(window, counts(1))
            .expect("open window")
            .with_acknowledged(window)
            .expect("committed window");
    }
    assert_eq!(state.next_unacknowledged().expect("unacknowledged window").counts, counts(5));
}

#[test]
fn open_decodes_a_stored_or_empty_body_and_rejects_a_malformed_one() {
    let state = ExportState::default().with_committed(7, counts(1)).expect("open window");
    assert_eq!(ExportState::open(&state.to_bytes()), Some(state));
    assert_eq!(ExportState::open(&[]), Some(ExportState::default()));
    assert_eq!(ExportState::open(&[1; 5]), None);
}
