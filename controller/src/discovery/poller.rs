//! The platform's list of engines: one poller a zone, within the rate that all daemons share.

use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use kernel::settings::Settings;
use load_balancing::{is_term_of, EndpointLists};
use membership::PeerReport;
use protocol::message::{EndpointList, Engine, Gossip, HiddenKey, Message, VersionEntry, ENDPOINT_UPDATES};
use protocol::version_rollout;
use reqwest::{Client, StatusCode};
use tokio::time;

use crate::controller::Controller;
use crate::delivery::limit_confirmations;
use crate::discovery::listing::{Listing, Page};
use crate::discovery::version_lists;
use crate::event::ENDPOINT_LIST_CHANGED;
use crate::metrics::{PollLabels, PollOutcome};
use crate::{http_client, roles};

/// Why a poll gave no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollError {
    /// No answer: the platform is down, or cut off from here.
    Unreachable,
    /// Over the shared rate, or an answer that is no list.
    Refused,
    /// This process stood still meanwhile: what was read before is too old to be sent out.
    Stalled,
}

impl From<PollError> for PollOutcome {
    fn from(error: PollError) -> PollOutcome {
        match error {
            PollError::Unreachable => PollOutcome::Unreachable,
            PollError::Refused => PollOutcome::Refused,
            PollError::Stalled => PollOutcome::Stalled,
        }
    }
}

/// The longest that one call may take.
const CALL_TIMEOUT_MS: u64 = 1500;
/// A step that takes this much longer than it may shows that the process stood still.
const STALL_TOLERANCE_MS: u64 = 500;
/// Time after a start to hear who else is there.
const STARTUP_DELAY_MS: u64 = 160;
/// Versions go out again with every so many polls, for controllers that missed them.
const RESEND_EVERY_POLLS: u32 = 8;
/// How many refusals one poll bears before it is left to the next.
const MAX_REFUSALS: u32 = 4;
/// The most pages that are read of one list.
const MAX_PAGES: usize = 1000;

/// Returns what heartbeats say about the own access to the platform, None while it is reached.
pub fn access_marker(controller: &Controller, now: u64) -> Option<VersionEntry> {
    let unreachable = controller.peers.read(|view| view.platform_access.is_unreachable(now));
    unreachable.then(|| VersionEntry::new(HiddenKey::PlatformUnreachable, 1, 0))
}

/// Returns what a peer's heartbeat says of others and of its access to the platform.
pub fn peer_report(gossip: &Gossip) -> PeerReport {
    let key = Some(HiddenKey::PlatformUnreachable);
    let platform_unreachable = gossip.list_versions.iter().any(|entry| HiddenKey::parse(&entry.name) == key);
    let (confirmed, confirmations) = roles::parse_gossip_markers(&gossip.list_versions);
    PeerReport { confirmed, confirmations, platform_unreachable }
}

/// Returns the pause between two polls of a zone: often enough for `drain_ms`, within the shared rate.
fn poll_interval_ms(settings: &Settings, pages: usize) -> u64 {
    let zones = settings.zones.len().max(1);
    let calls = (zones * pages.max(1)) as f64;
    // Two pollers may overlap while a zone changes its poller, and the calls stay under half the rate.
    let floor = (calls * 2000.0 / settings.cloud_api.rate_per_s) as u64;
    (settings.bounds.drain_ms / 5).clamp(250, 1000).max(floor)
}

/// Returns whether a step that may take `allowed_ms` took so long that the process must have stood still.
fn stalled(begun: u64, allowed_ms: u64, now: u64) -> bool {
    now > begun + allowed_ms + STALL_TOLERANCE_MS
}

/// Polls the list of each zone while this controller is its poller, for as long as the process runs.
pub fn start(controller: &Arc<Controller>) {
    let client = http_client::reads(controller.settings.source_ip(), Duration::from_millis(700))
        .timeout(Duration::from_millis(CALL_TIMEOUT_MS));
    let Ok(client) = client.build() else { return };
    for zone in controller.settings.zones.keys() {
        tokio::spawn(run(controller.clone(), client.clone(), zone.clone()));
    }
}

async fn run(controller: Arc<Controller>, client: Client, zone: String) {
    let (mut term, mut polls) = (0, 0u32);
    let mut pages = 1;
    let mut wait = 0;
    loop {
        time::sleep(Duration::from_millis(wait)).await;
        wait = poll_interval_ms(&controller.settings, pages);
        let now = clock::now();
        let poller = controller.peers.read(|view| view.poller(&zone, now));
        if poller != controller.own_ip() || now < STARTUP_DELAY_MS {
            wait = wait.min(STARTUP_DELAY_MS);
            continue;
        }
        // Without staleness limits weight versions are neither read nor sent.
        let wants_weights = controller.committed.has_staleness_limits();
        let outcome = poll(&controller, &client, &zone, wants_weights).await;
        record_access(&controller, outcome.as_ref().err().copied());
        let result = outcome.as_ref().map_or_else(|error| (*error).into(), |_| PollOutcome::Read);
        controller.metrics.platform_polls.get_or_create(&PollLabels { result }).inc();
        let Ok(listing) = outcome else {
            // What is known stays in force, the next poll comes a little later.
            wait = wait * 3 / 2;
            continue;
        };
        pages = listing.pages;
        polls += 1;
        apply_listing(&controller, &zone, &mut term, listing, wants_weights.then_some(polls % RESEND_EVERY_POLLS == 0));
    }
}

/// Keeps count of polls without an answer: a poller that is cut off from the platform lets another
/// controller take its place.
fn record_access(controller: &Controller, error: Option<PollError>) {
    controller.peers.update(|view| match error {
        None | Some(PollError::Refused) => view.platform_access.record_success(),
        Some(PollError::Unreachable) => view.platform_access.record_failure(clock::now()),
        Some(PollError::Stalled) => {}
    });
}

/// Publishes what a poll read, unless a list that another poller made became known meanwhile. `versions`: None where weight
/// versions are not wanted, else whether to send them even if unchanged.
fn apply_listing(controller: &Controller, zone: &str, term: &mut u64, listing: Listing, versions: Option<bool>) {
    let partitioned = version_lists::partition(controller, listing.engines);
    let made = controller.engines.update(|lists| {
        if lists.observed_version(zone) != listing.known {
            return None;
        }
        let list = lists.publish(zone, term, controller.replica_id, partitioned.stable, listing.known);
        Some((list, candidate_list(controller, lists, zone, partitioned.candidates)))
    });
    let Some((list, candidates)) = made else { return };
    if let Some(again) = versions {
        limit_confirmations::publish_weight_versions(controller, zone, listing.weights, again);
    }
    // First those of the version in place: an engine that is both for a moment is no more left out.
    for list in list.into_iter().chain(candidates) {
        publish(controller, list);
    }
}

/// The list of a zone's engines of versions that are brought in, if there are any or were.
fn candidate_list(
    controller: &Controller,
    lists: &mut EndpointLists,
    zone: &str,
    list: Vec<Engine>,
) -> Option<EndpointList> {
    let name = version_rollout::candidates_of(zone);
    let known_list = lists.iter().find(|list| list.zone == name);
    if list.is_empty() && known_list.is_none_or(|known_list| known_list.engines.is_empty()) {
        return None;
    }
    let mut term = known_list.map_or(0, |known_list| known_list.term);
    let known = lists.observed_version(&name);
    if term != 0 && !is_term_of(term, controller.replica_id) {
        term = 0;
    }
    lists.publish(&name, &mut term, controller.replica_id, list, known)
}

async fn poll(controller: &Controller, client: &Client, zone: &str, wants_weights: bool) -> Result<Listing, PollError> {
    let _permit = controller.engines.poll_permit().await.ok_or(PollError::Refused)?;
    let known = controller.engines.known_list(zone);
    let mut listing = Listing::new(known);
    let mut token: Option<String> = None;
    let mut refused = 0;
    let gap_ms = (1000.0 / controller.settings.cloud_api.rate_per_s) as u64;
    loop {
        let Some(page) = call(client, &url(controller, zone, token.as_deref())).await? else {
            // Over the shared rate: the same page again, what was read of the list stays.
            refused += 1;
            if refused > MAX_REFUSALS {
                return Err(PollError::Refused);
            }
            pause_between_calls(gap_ms * u64::from(refused) * 2).await?;
            continue;
        };
        token = page.next_token.clone().filter(|token| !token.is_empty());
        listing.add(page, wants_weights);
        if token.is_none() || listing.pages >= MAX_PAGES {
            return Ok(listing);
        }
        pause_between_calls(gap_ms).await?;
    }
}

fn url(controller: &Controller, zone: &str, token: Option<&str>) -> String {
    let address = &controller.settings.cloud_api.address;
    let page = token.map(|token| format!("&page_token={token}")).unwrap_or_default();
    format!("http://{address}/instances?zone={zone}{page}")
}

/// Fetches one page. Ok(None): refused, over the shared rate.
async fn call(client: &Client, url: &str) -> Result<Option<Page>, PollError> {
    let begun = clock::now();
    let reply = client.get(url).send().await.map_err(|_| PollError::Unreachable)?;
    if reply.status() == StatusCode::TOO_MANY_REQUESTS {
        return Ok(None);
    }
    if reply.status() != StatusCode::OK {
        return Err(PollError::Refused);
    }
    let body = reply.bytes().await.map_err(|_| PollError::Unreachable)?;
    let page = serde_json::from_slice(&body).map_err(|_| PollError::Refused)?;
    match stalled(begun, CALL_TIMEOUT_MS, clock::now()) {
        true => Err(PollError::Stalled),
        false => Ok(Some(page)),
    }
}

async fn pause_between_calls(wait_ms: u64) -> Result<(), PollError> {
    let begun = clock::now();
    time::sleep(Duration::from_millis(wait_ms)).await;
    match stalled(begun, wait_ms, clock::now()) {
        true => Err(PollError::Stalled),
        false => Ok(()),
    }
}

fn publish(controller: &Controller, list: EndpointList) {
    kernel::log_event!(ENDPOINT_LIST_CHANGED, "zone" => list.zone.clone(), "turn" => list.term, "count" => list.sequence,
        "up" => list.engines.iter().filter(|engine| engine.up).count(), "all" => list.engines.len(),
        "prefill" => list.engines.iter().filter(|engine| engine.up && engine.phase == "prefill").count());
    controller.catalog.remove_draining(&list);
    announce(controller, list);
    controller.push_updates();
}

/// Sends the other controllers a list that was just published: what changed where they read that, else the whole list. One
/// that lacks the version before gets it after its next heartbeat.
fn announce(controller: &Controller, list: EndpointList) {
    let change = controller.engines.latest_frame(&list.zone, clock::now());
    let whole = Message::EndpointList(Box::new(list));
    for ip in controller.known_peers() {
        let reads_updates = controller.peers.protocol_version(&ip) >= ENDPOINT_UPDATES;
        let client = controller.peers.client(&ip);
        match change.as_ref().filter(|_| reads_updates) {
            Some(change) => client.notify_frame(change.clone()),
            None => client.notify(whole.clone()),
        };
    }
}

#[cfg(test)]
#[path = "poller_tests.rs"]
mod tests;
