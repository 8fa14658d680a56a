//! Which heartbeats carry addresses.

use super::{AddressAnnouncements, INTERVAL, REPEATS_AFTER_CHANGE};

fn count_due(announcements: &mut AddressAnnouncements, addresses: &[String], heartbeats: u32) -> u32 {
    (0..heartbeats).filter(|_| announcements.is_due(addresses)).count() as u32
}

#[test]
fn addresses_are_due_repeatedly_after_a_change_and_periodically_otherwise() {
    let (one, two) = (["10.0.0.1".to_string()], ["10.0.0.1".to_string(), "10.0.0.2".to_string()]);
    let mut announcements = AddressAnnouncements::default();
    assert_eq!(count_due(&mut announcements, &one, REPEATS_AFTER_CHANGE), REPEATS_AFTER_CHANGE);
    assert_eq!(count_due(&mut announcements, &one, 10 * INTERVAL), 10);
    assert_eq!(
        count_due(&mut announcements, &two, REPEATS_AFTER_CHANGE),
        REPEATS_AFTER_CHANGE,
        "an added address is announced at once"
    );
    assert_eq!(
        count_due(&mut announcements, &one, REPEATS_AFTER_CHANGE),
        REPEATS_AFTER_CHANGE,
        "a removed address is announced at once"
    );
}

#[test]
fn an_empty_list_of_addresses_is_due_after_a_start() {
    assert_eq!(count_due(&mut AddressAnnouncements::default(), &[], 3), 3);
}
