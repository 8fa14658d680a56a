//! When addresses go out.

use super::{AddressAnnouncements, INTERVAL, REPEATED};

fn due_of(announcements: &mut AddressAnnouncements, addresses: &[String], heartbeats: u32) -> u32 {
    (0..heartbeats).filter(|_| announcements.is_due(addresses)).count() as u32
}

#[test]
fn a_change_goes_out_several_times_and_what_is_unchanged_now_and_then() {
    let (one, two) = (["10.0.0.1".to_string()], ["10.0.0.1".to_string(), "10.0.0.2".to_string()]);
    let mut announcements = AddressAnnouncements::default();
    assert_eq!(due_of(&mut announcements, &one, REPEATED), REPEATED);
    assert_eq!(due_of(&mut announcements, &one, 10 * INTERVAL), 10);
    assert_eq!(due_of(&mut announcements, &two, REPEATED), REPEATED, "somebody new is made known at once");
    assert_eq!(due_of(&mut announcements, &one, REPEATED), REPEATED, "and so is that somebody is gone");
}

#[test]
fn a_controller_alone_announces_that_too() {
    assert_eq!(due_of(&mut AddressAnnouncements::default(), &[], 3), 3);
}
