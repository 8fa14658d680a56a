//! Confirmations that start, stop and delay the issue clock.

use super::{IssueClock, ISSUE_MS, LEASE_MS, OWNER_EXPIRY_MS, REACQUIRE_DELAY_MS};

fn confirm_for_3_s(clock: &mut IssueClock) {
    for now in (0..3000).step_by(100) {
        clock.advance(now, Some(now));
    }
}

#[test]
fn the_clock_runs_while_confirmations_come() {
    let mut clock = IssueClock::default();
    assert!(clock.advance(100, Some(100)), "the first confirmation begins a lease");
    for now in (200..=10_000).step_by(100) {
        assert!(!clock.advance(now, Some(now)));
    }
    assert_eq!(clock.issue_time_ms(), 10_000 - 100 - REACQUIRE_DELAY_MS);
}

#[test]
fn the_clock_stops_without_confirmations_and_the_lease_ends_later() {
    let mut clock = IssueClock::default();
    confirm_for_3_s(&mut clock);
    let confirmed_at = 2900;
    clock.advance(60_000, Some(confirmed_at));
    assert_eq!(clock.issue_time_ms(), confirmed_at + ISSUE_MS - REACQUIRE_DELAY_MS);
    assert!(clock.has_lease(confirmed_at + LEASE_MS - 1) && !clock.has_lease(confirmed_at + LEASE_MS));
}

#[test]
fn after_a_lapsed_lease_tokens_are_void_and_the_clock_waits_for_the_reacquire_delay() {
    let mut clock = IssueClock::default();
    confirm_for_3_s(&mut clock);
    let before = clock.issue_time_ms() + ISSUE_MS;
    assert!(clock.advance(9000, Some(9000)), "the lease had lapsed");
    assert!(!clock.has_lease(9000));
    assert!(!clock.advance(9000 + REACQUIRE_DELAY_MS, Some(9000 + REACQUIRE_DELAY_MS)));
    assert_eq!(clock.issue_time_ms(), before);
    assert!(clock.has_lease(9000 + REACQUIRE_DELAY_MS));
}

#[test]
fn a_gap_no_longer_than_a_lease_keeps_the_lease_but_stops_the_clock() {
    let mut clock = IssueClock::default();
    confirm_for_3_s(&mut clock);
    let before = clock.issue_time_ms();
    assert!(!clock.advance(2900 + LEASE_MS, Some(2900 + LEASE_MS)));
    assert_eq!(clock.issue_time_ms(), before + ISSUE_MS);
}

#[test]
fn an_older_confirmation_is_ignored() {
    let mut clock = IssueClock::default();
    clock.advance(5000, Some(5000));
    assert!(!clock.advance(5100, Some(100)));
    assert!(!clock.advance(6500, Some(6500)));
}

// A new owner must not start before the previous owner's lease has ended.
const _: () = assert!(OWNER_EXPIRY_MS > LEASE_MS && LEASE_MS > ISSUE_MS);
