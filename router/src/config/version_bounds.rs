//! The staleness limits: how they apply to a request, and how updates from controllers are applied.

use std::sync::atomic::Ordering;

use kernel::clock;
use load_balancing::{StalenessBound, WeightVersionRange};
use protocol::message::{HiddenKey, StalenessLimit, VersionEntry, WeightVersions};

use crate::event::{STALENESS_LIMIT_ACTIVATED, STALENESS_LIMIT_UNMET};
use crate::proxy::exchange::Exchange;
use crate::state::State;

/// The minimum interval between two events that report missing replicas, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1000;

impl Exchange {
    /// Returns the model with the oldest and the newest allowed weight version; `None` if no limit applies to the
    /// request. No version is allowed after the lease has expired.
    pub fn version_bounds(&self) -> Option<WeightVersionRange> {
        let now = clock::now();
        let bounds = self.state.staleness_bounds();
        let model = self.request.model_key;
        match bounds.bound_for(self.service, &self.request.model, &self.route, now) {
            StalenessBound::Unbounded => None,
            StalenessBound::LeaseExpired => Some(WeightVersionRange { model, oldest: u64::MAX, newest: 0 }),
            StalenessBound::AtLeast(oldest) => match self.pinned_version {
                Some(exact) if exact >= oldest => Some(WeightVersionRange { model, oldest: exact, newest: exact }),
                _ => Some(WeightVersionRange { model, oldest, newest: u64::MAX }),
            },
        }
    }

    /// Releases a KV handle whose version has fallen below the limit, before a decode engine is chosen. Without a
    /// handle the request is no longer pinned to a version, unless it may have run.
    pub fn drop_stale_handle(&mut self) {
        let is_within = |range: WeightVersionRange| self.pinned_version.is_none_or(|exact| range.contains(exact));
        if !self.version_bounds().is_none_or(is_within) {
            self.release_kv_handle();
        }
        if self.kv_handle.is_none() && !self.may_have_run {
            self.pinned_version = None;
        }
    }

    /// Records the weight version that was observed at an engine.
    pub fn record_version(&self, engine_index: usize, version: Option<u64>) {
        if let Some(version) = version {
            self.state.engines().engines[engine_index].set_weight_version(self.request.model_key, Some(version));
        }
    }

    /// Logs that no replica is within the limit, at most once per `REPORT_INTERVAL_MS`.
    pub fn report_no_replica(&self) {
        let (now, ordering) = (clock::now(), Ordering::Relaxed);
        let reported_at = self.state.replica_shortage_reported_at.load(ordering);
        if now >= reported_at + REPORT_INTERVAL_MS
            && self.state.replica_shortage_reported_at.compare_exchange(reported_at, now, ordering, ordering).is_ok()
        {
            kernel::log_event!(STALENESS_LIMIT_UNMET, "route" => self.route.clone(), "model" => self.request.model.clone());
        }
    }
}

/// Applies a limit from a controller. Where it is tighter, it takes effect at once.
pub fn apply_staleness_limit(state: &State, limit: &StalenessLimit) {
    let service = state.engines().service_index(&limit.service);
    let now = clock::now();
    if state.staleness_bounds().update(limit, service, now) {
        kernel::log_event!(STALENESS_LIMIT_ACTIVATED, "service" => limit.service.clone(), "model" => limit.model.clone(),
            "version" => limit.version, "floor" => limit.floor(), "removed" => limit.removed);
    }
}

/// Applies the weight versions of a zone. Versions no newer than those held from the same poller change nothing.
pub fn apply_weight_versions(state: &State, list: &WeightVersions) {
    {
        let mut versions = state.weight_versions();
        let version = versions.entry(list.zone.clone()).or_default();
        if version.0 == list.term && version.1 >= list.sequence {
            return;
        }
        *version = (list.term, list.sequence);
    }
    state.engines().set_weight_versions(&list.list);
}

/// The name of a register key and its version.
type NamedVersion = (String, u64);

/// Returns the versions of the limits and of the weight versions held, which a renewal reports together with those of
/// evacuations and endpoint lists.
pub fn known_versions(state: &State) -> (Vec<NamedVersion>, Vec<VersionEntry>) {
    let limits = state.staleness_bounds().versions();
    let weights = state.weight_versions();
    let weights = weights
        .iter()
        .map(|(zone, (term, sequence))| VersionEntry::new(HiddenKey::WeightVersions(zone), *term, *sequence));
    (limits.into_iter().map(|(key, version)| (HiddenKey::Register(&key).into(), version)).collect(), weights.collect())
}
