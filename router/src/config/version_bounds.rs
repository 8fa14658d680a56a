//! The limit on stale weights, as one request meets it.

use std::sync::atomic::Ordering;

use kernel::clock;
use load_balancing::{StalenessBound, WeightVersionRange};
use protocol::message::{HiddenKey, StalenessLimit, VersionEntry, WeightVersions};

use crate::event::{STALENESS_LIMIT_ACTIVATED, STALENESS_LIMIT_UNMET};
use crate::proxy::exchange::Exchange;
use crate::state::State;

/// How often the want of fresh replicas is told, however many requests meet it.
const TELL_MS: u64 = 1000;

impl Exchange {
    /// Of bound work: the model, and the oldest and newest version that will do. Nothing will while the lease
    /// has lapsed.
    pub fn version_bounds(&self) -> Option<WeightVersionRange> {
        let now = clock::now();
        let floors = self.state.staleness_bounds();
        let model = self.request.model_key;
        match floors.bound_for(self.service, &self.request.model, &self.route, now) {
            StalenessBound::Unbounded => None,
            StalenessBound::LeaseExpired => Some(WeightVersionRange { model, oldest: u64::MAX, newest: 0 }),
            StalenessBound::AtLeast(floor) => match self.pinned_version {
                Some(exact) if exact >= floor => Some(WeightVersionRange { model, oldest: exact, newest: exact }),
                _ => Some(WeightVersionRange { model, oldest: floor, newest: u64::MAX }),
            },
        }
    }

    /// Before a maker is chosen: memory of a version that is past the limit by now is given free, and without
    /// memory the version is not settled yet.
    pub fn drop_stale_handle(&mut self) {
        let fits = |range: WeightVersionRange| self.pinned_version.is_none_or(|exact| range.contains(exact));
        if !self.version_bounds().is_none_or(fits) {
            self.release_kv_handle();
        }
        if self.kv_handle.is_none() && !self.may_have_run {
            self.pinned_version = None;
        }
    }

    /// What an engine was seen to have.
    pub fn record_version(&self, at: usize, version: Option<u64>) {
        if let Some(version) = version {
            self.state.engines().engines[at].set_weight_version(self.request.model_key, Some(version));
        }
    }

    /// No replica inside the limit: told once a second.
    pub fn report_no_replica(&self) {
        let (now, order) = (clock::now(), Ordering::Relaxed);
        let told = self.state.replica_shortage_reported_at.load(order);
        if now >= told + TELL_MS
            && self.state.replica_shortage_reported_at.compare_exchange(told, now, order, order).is_ok()
        {
            kernel::log_event!(STALENESS_LIMIT_UNMET, "route" => self.route.clone(), "model" => self.request.model.clone());
        }
    }
}

/// A rule from a controller; binds at once where it is tighter.
pub fn rule(state: &State, rule: &StalenessLimit) {
    let service = state.engines().service_index(&rule.service);
    let now = clock::now();
    if state.staleness_bounds().update(rule, service, now) {
        kernel::log_event!(STALENESS_LIMIT_ACTIVATED, "service" => rule.service.clone(), "model" => rule.model.clone(),
            "version" => rule.version, "floor" => rule.floor(), "removed" => rule.removed);
    }
}

/// Weight versions of a zone. Older ones of the same poller change nothing.
pub fn versions(state: &State, list: &WeightVersions) {
    {
        let mut held = state.weight_versions();
        let version = held.entry(list.zone.clone()).or_default();
        if version.0 == list.term && version.1 >= list.sequence {
            return;
        }
        *version = (list.term, list.sequence);
    }
    state.engines().set_weight_versions(&list.list);
}

/// A name and its version.
type Told = (String, u64);

/// The versions of rules and versions held, to be told beside those of evacuations and sheets.
pub fn known_versions(state: &State) -> (Vec<Told>, Vec<VersionEntry>) {
    let rules = state.staleness_bounds().versions();
    let weights = state.weight_versions();
    let weights =
        weights.iter().map(|(zone, (turn, count))| VersionEntry::new(HiddenKey::WeightVersions(zone), *turn, *count));
    (rules.into_iter().map(|(key, version)| (HiddenKey::Register(&key).into(), version)).collect(), weights.collect())
}
