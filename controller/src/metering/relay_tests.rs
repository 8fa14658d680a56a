//! Which controller stores the copies of routers' reports.

use super::copy_target;

fn metering_peers() -> Vec<String> {
    ["10.0.0.1", "10.0.0.3"].map(String::from).to_vec()
}

// Guards against a window reported with 106 of 122 requests (soak with faults, seed 301, 25 s): a router reported to
// the owner of the role and stopped, and the owner was killed before another controller had a copy. Four seconds after
// its restart the owner committed the window with `missing=0` in the log.
#[test]
fn the_owner_copies_to_the_next_controller() {
    assert_eq!(
        copy_target(Some("10.0.0.2"), "10.0.0.2", &metering_peers()).as_deref(),
        Some("10.0.0.3"),
        "the next address"
    );
    assert_eq!(
        copy_target(Some("10.0.0.4"), "10.0.0.4", &metering_peers()).as_deref(),
        Some("10.0.0.1"),
        "wraps around to the first"
    );
    assert_eq!(copy_target(Some("10.0.0.2"), "10.0.0.2", &[]), None, "there is no other controller");
}

#[test]
fn other_controllers_copy_to_the_owner_once_it_is_known() {
    assert_eq!(copy_target(Some("10.0.0.1"), "10.0.0.2", &metering_peers()).as_deref(), Some("10.0.0.1"));
    assert_eq!(copy_target(None, "10.0.0.2", &metering_peers()), None);
    assert_eq!(copy_target(Some("10.0.0.9"), "10.0.0.2", &metering_peers()), None, "the owner does not support copies");
}
