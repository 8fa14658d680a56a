//! When a poller reads all zones.

use super::{CensusSchedule, DELAY_PER_ZONE_MS, INITIAL_RETRY_MS, MAX_RETRY_MS};

#[test]
fn the_first_zone_reads_at_once_and_the_others_leave_it_time() {
    assert!(CensusSchedule::new(0).is_due(true, 1000));
    let mut third = CensusSchedule::new(2);
    assert!(!third.is_due(true, 1000));
    assert!(!third.is_due(true, 999 + 2 * DELAY_PER_ZONE_MS));
    assert!(third.is_due(true, 1000 + 2 * DELAY_PER_ZONE_MS));
}

#[test]
fn attempts_get_rare_while_nothing_is_resolved_and_start_over_afterwards() {
    let mut schedule = CensusSchedule::new(0);
    let due = |schedule: &mut CensusSchedule, from: u64| {
        (from..from + 10 * MAX_RETRY_MS).step_by(10).filter(|now| schedule.is_due(true, *now)).count()
    };
    let attempts = due(&mut schedule, 0);
    assert!((10..=16).contains(&attempts), "{attempts}");
    assert!(!schedule.is_due(false, 200_000));
    assert!(schedule.is_due(true, 200_010));
    assert!(!schedule.is_due(true, 200_009 + INITIAL_RETRY_MS));
}
