//! Polls the platform's engine list: one poller per zone, within the rate limit that all daemons share.

use std::mem;
use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use kernel::settings::Settings;
use load_balancing::{is_term_of, EndpointLists};
use membership::PeerReport;
use protocol::message::{EndpointList, Engine, Gossip, HiddenKey, Message, VersionEntry, ENDPOINT_UPDATES};
use protocol::version_rollout;
use reqwest::Client;
use tokio::time;

use crate::controller::Controller;
use crate::delivery::limit_confirmations;
use crate::discovery::listing::Listing;
use crate::discovery::platform_list::{self, PollError, CALL_TIMEOUT_MS};
use crate::discovery::stable_versions::{self, CensusSchedule};
use crate::discovery::version_lists::{self, PartitionedEngines};
use crate::event::ENDPOINT_LIST_CHANGED;
use crate::metrics::{PollLabels, PollOutcome};
use crate::{http_client, roles};

/// Delay after startup in which this controller learns of its peers before it polls, in ms.
const STARTUP_DELAY_MS: u64 = 160;
/// The number of polls after which unchanged weight versions are sent again, for controllers that missed them.
const RESEND_EVERY_POLLS: u32 = 8;
/// How long after startup polls wait for the committed state, in ms: without it no version is known to be in force.
const CONFIRMATION_WAIT_MS: u64 = 3000;

/// Returns the heartbeat entry that marks the platform as unreachable from here; `None` while it is reachable.
pub fn access_marker(controller: &Controller, now: u64) -> Option<VersionEntry> {
    let unreachable = controller.peers.read(|view| view.platform_access.is_unreachable(now));
    unreachable.then(|| VersionEntry::new(HiddenKey::PlatformUnreachable, 1, 0))
}

/// Extracts from a peer's heartbeat its confirmations and whether it can reach the platform.
pub fn peer_report(gossip: &Gossip) -> PeerReport {
    let key = Some(HiddenKey::PlatformUnreachable);
    let platform_unreachable = gossip.list_versions.iter().any(|entry| HiddenKey::parse(&entry.name) == key);
    let (confirmed, confirmations) = roles::parse_gossip_markers(&gossip.list_versions);
    PeerReport { confirmed, confirmations, platform_unreachable }
}

/// Returns the interval between two polls of a zone, in ms: short enough for `drain_ms` and within the shared rate
/// limit.
fn poll_interval_ms(settings: &Settings, pages: usize) -> u64 {
    let zones = settings.zones.len().max(1);
    let calls = (zones * pages.max(1)) as f64;
    // Two pollers may overlap during a handover of a zone, so one poller uses at most half of the rate.
    let floor = (calls * 2000.0 / settings.cloud_api.rate_per_s) as u64;
    (settings.bounds.drain_ms / 5).clamp(250, 1000).max(floor)
}

/// Starts a task per zone that polls the zone's list while this controller is its poller.
pub fn start(controller: &Arc<Controller>) {
    let client = http_client::reads(controller.settings.source_ip(), Duration::from_millis(700))
        .timeout(Duration::from_millis(CALL_TIMEOUT_MS));
    let Ok(client) = client.build() else { return };
    for (index, zone) in controller.settings.zones.keys().enumerate() {
        tokio::spawn(run(controller.clone(), client.clone(), zone.clone(), CensusSchedule::new(index)));
    }
}

async fn run(controller: Arc<Controller>, client: Client, zone: String, mut census_schedule: CensusSchedule) {
    let (mut term, mut polls) = (0, 0u32);
    let mut pages = 1;
    let mut wait_ms = 0;
    loop {
        time::sleep(Duration::from_millis(wait_ms)).await;
        wait_ms = poll_interval_ms(&controller.settings, pages);
        let now = clock::now();
        let poller = controller.peers.read(|view| view.poller(&zone, now));
        if poller != controller.own_ip() || now < STARTUP_DELAY_MS || awaits_versions(&controller, now) {
            wait_ms = wait_ms.min(STARTUP_DELAY_MS);
            continue;
        }
        // Weight versions are read and sent only if there are staleness limits.
        let wants_weights = controller.committed.has_staleness_limits();
        let outcome = platform_list::read(&controller, &client, &zone, wants_weights).await;
        record_access(&controller, outcome.as_ref().err().copied());
        let result = outcome.as_ref().map_or_else(|error| (*error).into(), |_| PollOutcome::Read);
        controller.metrics.platform_polls.get_or_create(&PollLabels { result }).inc();
        let Ok(listing) = outcome else {
            // The known list stays in force, and the next poll is delayed.
            wait_ms = wait_ms * 3 / 2;
            continue;
        };
        pages = listing.pages;
        polls += 1;
        let resend_weights = wants_weights.then_some(polls % RESEND_EVERY_POLLS == 0);
        let partitioned = apply_listing(&controller, &zone, &mut term, listing, resend_weights);
        let unresolved = stable_versions::unresolved(&controller, &partitioned);
        if census_schedule.is_due(!unresolved.is_empty(), clock::now())
            && stable_versions::resolve(&controller, &client, &unresolved).await
        {
            wait_ms = 0;
        }
    }
}

/// Returns whether this controller has just started and may soon know which versions are in force.
fn awaits_versions(controller: &Controller, now: u64) -> bool {
    now < CONFIRMATION_WAIT_MS
        && version_lists::is_rollout_required(controller)
        && controller.committed.confirmed_at().is_none()
}

/// Records whether the platform responded: a poller that cannot reach the platform is replaced by another controller.
fn record_access(controller: &Controller, error: Option<PollError>) {
    controller.peers.update(|view| match error {
        None | Some(PollError::Refused) => view.platform_access.record_success(),
        Some(PollError::Unreachable) => view.platform_access.record_failure(clock::now()),
        Some(PollError::Stalled) => {}
    });
}

/// Publishes the listing of a poll, unless another poller's list arrived during the poll. `resend_weights` is `None` if
/// weight versions are not wanted, otherwise it tells whether to send them even if unchanged. Returns the services
/// whose versions it left out.
fn apply_listing(
    controller: &Controller,
    zone: &str,
    term: &mut u64,
    mut listing: Listing,
    resend_weights: Option<bool>,
) -> PartitionedEngines {
    let now = clock::now();
    let mut partitioned = version_lists::partition(controller, zone, listing.engines_as_of(now));
    // A list without the engines of an unknown version would take them from the routers that have them from before.
    if !partitioned.unknown.is_empty() && controller.engines.read(|lists| lists.list(zone).is_none()) {
        return partitioned;
    }
    let stable = mem::take(&mut partitioned.stable);
    let candidates = mem::take(&mut partitioned.candidates);
    let published = controller.engines.update(|lists| {
        if lists.observed_version(zone) != listing.known {
            return None;
        }
        let list = lists.publish(zone, term, controller.replica_id, stable, listing.known, now);
        Some((list, candidate_list(controller, lists, zone, candidates, now)))
    });
    let Some((list, candidates)) = published else { return partitioned };
    if let Some(resend) = resend_weights {
        limit_confirmations::publish_weight_versions(controller, zone, listing.weights, resend);
    }
    // The stable list goes first: an engine that is briefly on both lists is then never missing from both.
    for list in list.into_iter().chain(candidates) {
        publish(controller, list);
    }
    partitioned
}

/// Returns the list of a zone's candidate engines, or `None` if there are none and there were none.
fn candidate_list(
    controller: &Controller,
    lists: &mut EndpointLists,
    zone: &str,
    list: Vec<Engine>,
    now: u64,
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
    lists.publish(&name, &mut term, controller.replica_id, list, known, now)
}

fn publish(controller: &Controller, list: EndpointList) {
    kernel::log_event!(ENDPOINT_LIST_CHANGED, "zone" => list.zone.clone(), "turn" => list.term, "count" => list.sequence,
        "up" => list.engines.iter().filter(|engine| engine.up).count(), "all" => list.engines.len(),
        "prefill" => list.engines.iter().filter(|engine| engine.up && engine.phase == "prefill").count());
    controller.catalog.remove_draining(&list);
    send_to_peers(controller, list);
    controller.push_updates();
}

/// Sends a newly published list to the other controllers: only the change to those whose protocol version supports it,
/// the full list to the rest. A controller that lacks the previous version gets the missing changes after its next
/// heartbeat.
fn send_to_peers(controller: &Controller, list: EndpointList) {
    let change = controller.engines.latest_frame(&list.zone, clock::now());
    let full = Message::EndpointList(Box::new(list));
    for ip in controller.known_peers() {
        let reads_updates = controller.peers.protocol_version(&ip) >= ENDPOINT_UPDATES;
        let client = controller.peers.client(&ip);
        match change.as_ref().filter(|_| reads_updates) {
            Some(change) => client.notify_frame(change.clone()),
            None => client.notify(full.clone()),
        };
    }
}
