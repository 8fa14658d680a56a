//! What a router tells controllers of itself, and what it takes in from them. All of it is monotone: whichever
//! controller sends what, in whatever order, the newest counts.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use kernel::clock;
use protocol::message::{self, Message, StateUpdate, SubscriptionRenewal};
use protocol::quota::shard_owners_entry;

use crate::config::{activation, evacuation, version_bounds};
use crate::event::{CATALOG_OWNER_CHANGED, READY};
use crate::rollout;
use crate::state::State;
use crate::upstream::suspicion;

/// How long news of engines that are about to change their part holds.
const REST_MS: u64 = 1500;
/// For how long a number of routers that was told counts.
const SEATS_MS: u64 = 10_000;

/// A message that a controller pushed.
pub fn take(state: &Arc<State>, msg: Message) {
    match msg {
        Message::StateUpdate(news) => absorb(state, *news),
        Message::ConfigUpdate(body) | Message::TenantConfigUpdate(body) => activation::change(state, &body),
        Message::ShardOwners(list) => state.quota_gate.set_shard_owners(&list),
        Message::VersionRollout(rollout) => rollout::apply(state, *rollout),
        Message::StalenessLimit(rule) => version_bounds::rule(state, &rule),
        Message::WeightVersions(list) => version_bounds::versions(state, &list),
        Message::SuspectEngine(doubt) => suspicion::hear(state, &doubt.0),
        _ => {}
    }
}

/// What this router holds. Its requests under way are told to its home alone, where they are added up.
pub fn standing(state: &State, at_home: bool) -> SubscriptionRenewal {
    let (mut sheets, busy): (Vec<_>, Vec<_>) = {
        let engine_table = state.engines();
        let busy = engine_table
            .engines
            .iter()
            .filter(|engine| at_home && engine.in_flight > 0)
            .map(|engine| (engine.id.clone(), engine.in_flight));
        (engine_table.list_versions(), busy.collect())
    };
    let (rules, weights) = version_bounds::known_versions(state);
    sheets.extend(weights);
    let rollouts = rollout::applied_revisions(state);
    sheets.push(message::own_protocol_version());
    sheets.push(shard_owners_entry(state.quota_gate.shard_owners_fingerprint()));
    let news = state.subscribed();
    SubscriptionRenewal {
        node: state.settings.node_name.clone(),
        zone: state.settings.zone.clone(),
        incarnation: state.incarnation,
        config_revision: news.config_revision,
        evacuation_versions: news
            .evacuations
            .iter()
            .map(|(zone, (version, _))| (zone.clone(), *version))
            .chain(rules)
            .chain(rollouts)
            .collect(),
        list_versions: sheets,
        in_flight: busy,
        frontend_address: state
            .settings
            .bind_addresses
            .frontend
            .clone()
            .filter(|_| !state.is_shutting_down())
            .unwrap_or_default(),
    }
}

/// Ready once the configuration is proved to be current and the lists are known; from then on until it leaves.
pub fn ready(state: &State) -> bool {
    let order = Ordering::Relaxed;
    if state.ready.load(order) {
        return true;
    }
    let known = state.engines().listed_zone_count();
    let held = state.subscribed().config_revision > 0 && known >= state.settings.zones.len();
    if !held || !state.freshness.is_proved(clock::now()) {
        return false;
    }
    state.ready.store(true, order);
    kernel::log_event!(READY);
    true
}

/// Takes what is newer; versions never go back.
pub fn absorb(state: &Arc<State>, news: StateUpdate) {
    let now = clock::now();
    if let Some((version, text)) = &news.config {
        activation::config(state, *version, text);
    }
    let mut left = Vec::new();
    {
        let mut engine_table = state.engines();
        for sheet in &news.endpoint_lists {
            left.extend(engine_table.update(sheet, now));
        }
        engine_table.mark_reassigning(&news.reassigning, now + REST_MS);
    }
    if !left.is_empty() {
        let mut record = state.owner_cache();
        left.iter().for_each(|engine| record.remove_engine(engine));
    }
    evacuation::absorb(state, &news.evacuations);
    {
        let mut held = state.subscribed();
        if !news.peers.is_empty() {
            held.controllers = news.peers;
        }
        if news.router_count > 0 {
            held.router_counts.retain(|(time, _)| now < time + SEATS_MS);
            held.router_counts.push((now, news.router_count));
        }
    }
    let seats = state.router_count();
    state.engines().set_router(state.router_hash(), state.zone, seats);
    if state.prefix_catalog.set_owner(news.catalog.0, &news.catalog.1, state.settings.peer_port()) {
        kernel::log_event!(CATALOG_OWNER_CHANGED, "epoch" => news.catalog.0, "holder" => news.catalog.1.clone());
        tokio::spawn(activation::again(state.clone()));
    }
}
