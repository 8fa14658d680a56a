//! When controllers and zones count as missing.

use std::collections::BTreeMap;

use metering::MissingReports;

use super::{missing_reports, ExpectedController, Reply};

fn controller(ip: &str, zone: Option<&str>) -> ExpectedController {
    ExpectedController { ip: ip.into(), zone: zone.map(str::to_string) }
}

/// The missing controllers, and whether a zone is missing, as seen by a controller in zone a of three zones.
fn missing(own: Reply, replies: &[(ExpectedController, Reply)]) -> (usize, bool) {
    let zones: BTreeMap<String, String> = ["a", "b", "c"].map(|zone| (zone.to_string(), "r".to_string())).into();
    let MissingReports { controllers, is_zone_missing } = missing_reports("a", own, &zones, replies);
    (controllers, is_zone_missing)
}

#[test]
fn nothing_is_missing_if_all_replies_are_complete() {
    let replies = [(controller("2", Some("b")), Reply::Complete), (controller("3", Some("c")), Reply::Complete)];
    assert_eq!(missing(Reply::Complete, &replies), (0, false));
    assert_eq!(missing(Reply::Incomplete, &replies), (1, false));
}

#[test]
fn a_zone_is_missing_if_none_of_its_controllers_replies() {
    let silent = (controller("3", Some("c")), Reply::None);
    assert_eq!(missing(Reply::Complete, &[(controller("2", Some("b")), Reply::Complete), silent.clone()]), (1, true));
    assert_eq!(
        missing(Reply::Complete, &[(controller("4", Some("c")), Reply::Incomplete), silent.clone()]),
        (2, false)
    );
    // The controller's own zone is covered by its own reports.
    assert_eq!(missing(Reply::Complete, &[(controller("5", Some("a")), Reply::None)]), (1, false));
}

/// Guards against an incomplete count (soak, seed 401): the owner of the role was started while a zone was partitioned,
/// had never seen the controller there, and committed 52 of 132 requests.
#[test]
fn a_zone_that_was_partitioned_before_the_start_is_missing() {
    let unseen = (controller("3", None), Reply::None);
    let seen = (controller("2", Some("b")), Reply::Incomplete);
    assert_eq!(missing(Reply::Incomplete, &[seen, unseen.clone()]), (3, true));
    // All zones have replied, so the zone of the unseen member is covered.
    let all = [(controller("2", Some("b")), Reply::Complete), (controller("4", Some("c")), Reply::Complete), unseen];
    assert_eq!(missing(Reply::Complete, &all), (1, false));
}
