//! Builds the renewals that a router sends to controllers, and applies the updates that they send. All state is
//! monotonic: the newest version takes precedence, whichever controller sends it and in whatever order updates arrive.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use kernel::clock;
use protocol::message::{self, EndpointUpdate, Message, StateUpdate, SubscriptionRenewal};
use protocol::quota::shard_owners_entry;

use crate::config::{activation, evacuation, version_bounds};
use crate::event::{CATALOG_OWNER_CHANGED, READY};
use crate::rollout;
use crate::state::State;
use crate::upstream::suspicion;

/// How long an announcement that engines are about to change their phase stays valid, in milliseconds.
const REASSIGNING_VALID_MS: u64 = 1500;
/// How long a reported number of routers stays valid, in milliseconds.
const ROUTER_COUNT_VALID_MS: u64 = 10_000;

/// Applies a message that a controller pushed.
pub fn apply_message(state: &Arc<State>, msg: Message) {
    match msg {
        Message::StateUpdate(update) => apply_state_update(state, *update),
        Message::EndpointUpdate(update) => apply_endpoint_update(state, &update),
        Message::ConfigUpdate(body) | Message::TenantConfigUpdate(body) => {
            activation::apply_encoded_update(state, &body)
        }
        Message::ShardOwners(list) => state.quota_gate.set_shard_owners(&list),
        Message::VersionRollout(rollout) => rollout::apply(state, *rollout),
        Message::SampleRequest(request) => rollout::apply_sample_request(state, request.controller),
        Message::MeteringRequest(request) => state.metering.apply_request(*request),
        Message::StalenessLimit(limit) => version_bounds::apply_staleness_limit(state, &limit),
        Message::WeightVersions(list) => version_bounds::apply_weight_versions(state, &list),
        Message::SuspectEngine(report) => suspicion::handle_report(state, &report.0),
        _ => {}
    }
}

/// Builds a renewal, which reports the versions that this router holds. Its requests in flight are reported to its home
/// controller only, which sums them up.
pub fn build_renewal(state: &State, is_home: bool) -> SubscriptionRenewal {
    let (mut list_versions, in_flight): (Vec<_>, Vec<_>) = {
        let engine_table = state.engines();
        let in_flight = engine_table
            .engines
            .iter()
            .filter(|engine| is_home && engine.in_flight > 0)
            .map(|engine| (engine.id.clone(), engine.in_flight));
        (engine_table.list_versions(), in_flight.collect())
    };
    let (limits, weights) = version_bounds::known_versions(state);
    list_versions.extend(weights);
    let rollouts = rollout::applied_revisions(state);
    list_versions.push(message::own_protocol_version());
    list_versions.push(shard_owners_entry(state.quota_gate.shard_owners_fingerprint()));
    let subscribed = state.subscribed();
    SubscriptionRenewal {
        node: state.settings.node_name.clone(),
        zone: state.settings.zone.clone(),
        incarnation: state.incarnation,
        config_revision: subscribed.config_revision,
        evacuation_versions: subscribed
            .evacuations
            .iter()
            .map(|(zone, (version, _))| (zone.clone(), *version))
            .chain(limits)
            .chain(rollouts)
            .collect(),
        list_versions,
        in_flight,
        frontend_address: frontend_address(state),
    }
}

/// Returns the address at which clients reach this router; empty if none is configured and during a shutdown.
fn frontend_address(state: &State) -> String {
    let address = state.settings.bind_addresses.frontend.clone();
    address.filter(|_| !state.is_shutting_down()).unwrap_or_default()
}

/// Returns whether the router is ready, and records it. It becomes ready once the configuration is proved to be current
/// and the endpoint list of every zone has arrived, and stays ready until it shuts down.
pub fn update_readiness(state: &State) -> bool {
    let ordering = Ordering::Relaxed;
    if state.ready.load(ordering) {
        return true;
    }
    let listed_zones = state.engines().listed_zone_count();
    let is_complete = state.subscribed().config_revision > 0 && listed_zones >= state.settings.zones.len();
    if !is_complete || !state.freshness.is_proved(clock::now()) {
        return false;
    }
    state.ready.store(true, ordering);
    kernel::log_event!(READY);
    true
}

/// Applies the parts of a state update that are newer than the state held; versions never decrease.
pub fn apply_state_update(state: &Arc<State>, update: StateUpdate) {
    let now = clock::now();
    if let Some((version, text)) = &update.config {
        activation::apply_document(state, *version, text);
    }
    apply_endpoint_lists(state, &update, now);
    evacuation::apply(state, &update.evacuations);
    apply_peers(state, update.peers, update.router_count, now);
    if state.prefix_catalog.set_owner(update.catalog.0, &update.catalog.1, state.dialer(), state.settings.peer_port()) {
        kernel::log_event!(CATALOG_OWNER_CHANGED, "epoch" => update.catalog.0, "holder" => update.catalog.1.clone());
        tokio::spawn(activation::reregister_prefixes(state.clone()));
    }
}

/// Applies the endpoint lists, marks the engines about to be reassigned, and drops the cached prefixes of removed
/// engines.
fn apply_endpoint_lists(state: &State, update: &StateUpdate, now: u64) {
    let mut removed_engines = Vec::new();
    {
        let mut engine_table = state.engines();
        for list in &update.endpoint_lists {
            removed_engines.extend(engine_table.update(list, now));
        }
        engine_table.mark_reassigning(&update.reassigning, now + REASSIGNING_VALID_MS);
    }
    forget_owners(state, &removed_engines);
}

/// Applies an update of an endpoint list. One that does not follow the version held changes nothing: the next renewal
/// reports that version, and the controller sends the updates that follow it.
fn apply_endpoint_update(state: &State, update: &EndpointUpdate) {
    let removed_engines = state.engines().apply_update(update, clock::now());
    forget_owners(state, &removed_engines);
}

/// Drops the cached prefixes of engines that were removed or began to drain.
fn forget_owners(state: &State, removed_engines: &[String]) {
    if removed_engines.is_empty() {
        return;
    }
    let mut owner_cache = state.owner_cache();
    removed_engines.iter().for_each(|engine| owner_cache.remove_engine(engine));
}

/// Applies the list of controllers unless it is empty and the number of routers unless it is 0, and updates this
/// router's subset of the engines.
fn apply_peers(state: &State, peers: Vec<String>, router_count: u32, now: u64) {
    {
        let mut subscribed = state.subscribed();
        if !peers.is_empty() {
            subscribed.controllers = peers;
        }
        if router_count > 0 {
            subscribed.router_counts.retain(|(time, _)| now < time + ROUTER_COUNT_VALID_MS);
            subscribed.router_counts.push((now, router_count));
        }
    }
    let router_count = state.router_count();
    state.engines().set_router(state.router_hash(), state.zone, router_count);
}
