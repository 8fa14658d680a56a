//! Determines whose reports are missing from the counts collected for a window.

use std::collections::{BTreeMap, BTreeSet};

use metering::MissingReports;

/// A controller that is asked for the reports of its routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedController {
    /// Its address.
    pub ip: String,
    /// Its zone; `None` for a core member from which this process has never received a heartbeat.
    pub zone: Option<String>,
}

/// The kind of a controller's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It has all reports of its routers.
    Complete,
    /// It was started recently and may have lost reports.
    Incomplete,
    /// No reply.
    None,
}

/// Returns how many controllers have no complete reply, and whether a zone is missing.
///
/// A zone is missing if none of its controllers replied. A core member that was never seen may belong to any zone
/// without a reply: an owner that was started while a zone was partitioned knows that zone only from the settings.
pub fn missing_reports(
    own_zone: &str,
    own_reply: Reply,
    zones: &BTreeMap<String, String>,
    replies: &[(ExpectedController, Reply)],
) -> MissingReports {
    let is_incomplete = |reply: &Reply| *reply != Reply::Complete;
    let own = usize::from(is_incomplete(&own_reply));
    let others = replies.iter().filter(|(_, reply)| is_incomplete(reply)).count();
    let replied = replies.iter().filter(|(_, reply)| *reply != Reply::None);
    let mut replied_zones: BTreeSet<&str> = replied.filter_map(|(from, _)| from.zone.as_deref()).collect();
    replied_zones.insert(own_zone);
    let silent = || replies.iter().filter(|(_, reply)| *reply == Reply::None).map(|(from, _)| from);
    let has_silent_zone = silent().filter_map(|from| from.zone.as_deref()).any(|zone| !replied_zones.contains(zone));
    let has_unseen_zone =
        silent().any(|from| from.zone.is_none()) && zones.keys().any(|zone| !replied_zones.contains(zone.as_str()));
    MissingReports { controllers: own + others, is_zone_missing: has_silent_zone || has_unseen_zone }
}

#[cfg(test)]
#[path = "completeness_tests.rs"]
mod tests;
