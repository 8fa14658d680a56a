//! Version rollouts at this router: which version serves a request, and samples of how each version performed.
//!
//! A new version gets its share of requests only while the router holds a lease that a confirmed controller renews. A
//! router that is partitioned or was suspended sends to the stable version.

mod outcome;
mod output_sizes;
mod reporting;
mod version_choice;

use std::collections::{BTreeMap, HashMap};
use std::mem;
use std::time::Duration;

use kernel::clock;
use load_balancing::{Arm, CandidatePlacement, Phase};
use protocol::message::HiddenKey;
use protocol::version_rollout::{RolloutState, VersionRollout};
use protocol::version_samples::{EngineSamples, SampleCounts, SampleKey};
use versions::{LoadClass, RolloutSchedule, RolloutStage};

use crate::event::VERSION_ROLLOUT_ACTIVATED;
use crate::proxy::exchange::Exchange;
use crate::proxy::stream_duration::StreamTimes;
use crate::rollout::output_sizes::OutputSizes;
use crate::rollout::reporting::SampleReader;
use crate::state::State;

pub use outcome::{ServedBy, VersionOutcome};
pub use reporting::{apply_sample_request, send_samples};
pub use version_choice::RequestProfile;

/// Sampling interval while all active rollouts are canaries.
const CANARY_SAMPLING_INTERVAL: Duration = Duration::from_millis(200);
/// Sampling interval otherwise: the sooner a faulty version is detected, the fewer requests it gets.
const SAMPLING_INTERVAL: Duration = Duration::from_millis(100);

/// Expected duration of a request if none is known, in milliseconds.
const DEFAULT_EXPECTED_MS: u64 = 2000;
/// Maximum number of stable engines per service that are sampled individually.
const MAX_SAMPLED_ENGINES: u64 = 64;

/// Identifies the rollout that samples belong to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RolloutKey {
    service: String,
    order: u64,
}

/// The newest rollout of a service.
struct KnownRollout {
    record: VersionRollout,
    /// The start of the rollout according to its records, in milliseconds of the steady clock; negative if it started
    /// before this process.
    started_at: i64,
}

impl KnownRollout {
    /// Returns the time since the rollout started, in milliseconds.
    fn elapsed_ms(&self, now: u64) -> u64 {
        u64::try_from(now as i64 - self.started_at).unwrap_or(0)
    }

    fn schedule(&self, exposure_share: f64) -> RolloutSchedule {
        RolloutSchedule { duration_ms: self.record.duration_ms, exposure_share }
    }
}

/// The newest rollout of each service, by the service's dense index, and the samples of active rollouts.
#[derive(Default)]
pub struct Rollouts {
    by_service: HashMap<u32, KnownRollout>,
    output_sizes: HashMap<u32, OutputSizes>,
    samples: BTreeMap<RolloutKey, BTreeMap<SampleKey, SampleCounts>>,
    sample_reader: Option<SampleReader>,
}

impl Rollouts {
    /// Inserts a rollout if it is newer than the known one of its service. Returns whether it was inserted.
    pub fn insert_if_newer(&mut self, service: u32, record: VersionRollout, now: u64) -> bool {
        let known = self.by_service.get(&service);
        if known.is_some_and(|known| known.record.number >= record.number) {
            return false;
        }
        let recorded_start = now as i64 - i64::try_from(record.elapsed_ms).unwrap_or(i64::MAX);
        let same_order = known.filter(|known| known.record.order == record.order);
        let started_at = same_order.map_or(recorded_start, |known| known.started_at.min(recorded_start));
        self.by_service.insert(service, KnownRollout { record, started_at });
        true
    }

    /// Returns the active rollout of a service.
    fn active(&self, service: u32) -> Option<&VersionRollout> {
        let known = self.by_service.get(&service)?;
        (known.record.state == RolloutState::Active).then_some(&known.record)
    }

    /// Returns the time since the rollout of `key` started, in milliseconds; 0 if it is not the known one.
    fn elapsed_ms(&self, key: &RolloutKey, now: u64) -> u64 {
        let is_same = |known: &&KnownRollout| known.record.service == key.service && known.record.order == key.order;
        self.by_service.values().find(is_same).map_or(0, |known| known.elapsed_ms(now))
    }

    /// Records the maximum number of output tokens of a request.
    pub fn record_output(&mut self, service: u32, max_output_tokens: u32) {
        self.output_sizes.entry(service).or_default().record(max_output_tokens);
    }

    /// Records the outcome of a request if its service has an active rollout. Returns whether it was recorded.
    fn record(&mut self, service: u32, key: SampleKey, served_by: &ServedBy, outcome: VersionOutcome) -> bool {
        let Some(rollout) = self.active(service) else { return false };
        let rollout = RolloutKey { service: rollout.service.clone(), order: rollout.order };
        let counts = self.samples.entry(rollout).or_default().entry(key).or_default();
        outcome::add(counts, served_by, outcome);
        true
    }

    /// Removes and returns all samples, as one message per rollout.
    fn drain_samples(&mut self, now: u64) -> Vec<EngineSamples> {
        let samples = mem::take(&mut self.samples);
        let to_message = |(key, counts): (RolloutKey, BTreeMap<_, _>)| EngineSamples {
            elapsed_ms: self.elapsed_ms(&key, now),
            service: key.service,
            order: key.order,
            list: counts.into_iter().collect(),
            is_relayed: false,
        };
        samples.into_iter().map(to_message).collect()
    }

    /// Returns how long to collect samples before sending them.
    fn sampling_interval(&self) -> Duration {
        let is_canary = |rollout: &VersionRollout| RolloutStage::of(rollout.share) == RolloutStage::Canary;
        match self.by_service.keys().filter_map(|service| self.active(*service)).all(is_canary) {
            true => CANARY_SAMPLING_INTERVAL,
            false => SAMPLING_INTERVAL,
        }
    }
}

/// Applies a rollout from a controller unless a newer one is known.
pub fn apply(state: &State, rollout: VersionRollout) {
    let service = state.engines().service_index(&rollout.service);
    if state.rollouts().insert_if_newer(service, rollout.clone(), clock::now()) {
        kernel::log_event!(VERSION_ROLLOUT_ACTIVATED, "service" => rollout.service, "version" => rollout.target,
            "state" => rollout.state.as_str(), "share" => rollout.share);
    }
}

/// Returns the number of the known rollout of each service, by register key, as sent with each subscription renewal.
pub fn applied_revisions(state: &State) -> Vec<(String, u64)> {
    let rollouts = state.rollouts();
    let entry =
        |rollout: &VersionRollout| (HiddenKey::Register(&VersionRollout::key(&rollout.service)).into(), rollout.number);
    rollouts.by_service.values().map(|known| entry(&known.record)).collect()
}

impl Exchange {
    /// Chooses the version that serves this request. The new version is chosen only if its engines are usable now.
    pub fn choose_version(&mut self) {
        let now = clock::now();
        let profile = self.request_profile(now);
        let mut rollouts = self.state.rollouts();
        rollouts.record_output(self.service, profile.max_output_tokens);
        let variant = rollouts.select_variant(self.service, &profile, now);
        drop(rollouts);
        self.variant = variant;
        if self.variant.is_candidate() && !self.with_selection(|selection| selection.is_usable()) {
            self.variant = Arm::Stable;
        }
    }

    /// Moves this request to the stable version if the new one may not serve it any more: its rollout was reverted, the
    /// lease has expired, or all its engines have become the stable ones. To be called before each selection of an engine.
    pub fn update_version(&mut self) {
        if !self.variant.is_candidate() {
            return;
        }
        let holds_lease = self.state.staleness_bounds().is_confirmed(clock::now());
        let is_permitted = self.state.rollouts().permits_candidate(self.service, holds_lease);
        if !is_permitted || !self.with_selection(|selection| selection.has_phase(Phase::Decode)) {
            self.variant = Arm::Stable;
        }
    }

    fn request_profile(&self, now: u64) -> RequestProfile {
        let max_output_tokens = self.request.max_output_tokens();
        let streams = &self.request.authorization.route().stream_durations;
        let expected_ms = streams.expected_ms(max_output_tokens).unwrap_or(DEFAULT_EXPECTED_MS);
        let has_rollout = self.state.rollouts().active(self.service).is_some();
        let load_test_need = if has_rollout { self.candidate_load_test_need() } else { 0 };
        let random = self.state.rng().next_u64();
        let holds_lease = self.state.staleness_bounds().is_confirmed(now);
        let exposure_share = self.state.settings.bounds.exposure_share;
        RequestProfile { random, max_output_tokens, expected_ms, holds_lease, exposure_share, load_test_need }
    }

    /// Returns the part of the stable version's load that a load test of the candidate needs, in thousandths.
    fn candidate_load_test_need(&self) -> u32 {
        let candidate = Arm::Candidate(CandidatePlacement::Spread);
        self.with_selection(|selection| selection.for_arm(candidate).load_test_need())
    }

    /// Records the duration of a stream that has just completed.
    pub fn record_stream_duration(&self) {
        let Some(responded_at_ms) = self.responded_at_ms else { return };
        self.request.authorization.route().stream_durations.record(StreamTimes {
            head_ms: responded_at_ms.saturating_sub(self.request.received_at_ms),
            body_ms: clock::now().saturating_sub(responded_at_ms),
            max_output_tokens: self.request.max_output_tokens(),
        });
    }

    /// Records the engine that responds, with its current state.
    pub fn note_served_by(&mut self, engine_index: usize) {
        let now = clock::now();
        self.responded_at_ms = Some(now);
        let is_packed = matches!(self.variant, Arm::Candidate(CandidatePlacement::Packed { .. }));
        let engine_table = self.state.engines();
        let engine = &engine_table.engines[engine_index];
        self.served_by = ServedBy {
            engine_hash: engine.id_hash,
            zone: engine.zone,
            running: engine.reported_load.running,
            slots: engine.slots,
            is_cold: engine.cold_until > now,
            is_packed,
        };
    }

    /// Records the outcome of this request for the version that served it.
    pub fn record_version_outcome(&self, outcome: VersionOutcome) {
        if self.state.rollouts().active(self.service).is_none() {
            return;
        }
        let served_by = self.served_by;
        let is_candidate = self.variant.is_candidate();
        let is_engine_sampled = is_candidate || self.is_sampled_engine(served_by.engine_hash);
        let key = SampleKey {
            route: self.route.clone(),
            is_candidate,
            engine_hash: if is_engine_sampled { served_by.engine_hash } else { 0 },
            zone: self.state.engines().zone_name(served_by.zone).unwrap_or_default().into(),
            is_loaded: LoadClass::of(served_by.running, served_by.slots) == LoadClass::Loaded,
        };
        let outcome = match outcome {
            VersionOutcome::Complete { .. } if served_by.is_packed => {
                VersionOutcome::Complete { event_interval_us: None }
            }
            outcome => outcome,
        };
        if self.state.rollouts().record(self.service, key, &served_by, outcome) {
            self.state.samples_wanted.notify_one();
        }
    }

    /// Returns whether this stable engine is sampled individually. In a large fleet only a subset is, so that reports
    /// stay small.
    fn is_sampled_engine(&self, engine_hash: u64) -> bool {
        let engine_table = self.state.engines();
        let subset = engine_table.subset(self.service, Phase::Decode, false);
        let count = subset.map_or(0, |subset| subset.engines.len()) as u64;
        engine_hash.is_multiple_of(count.div_ceil(MAX_SAMPLED_ENGINES).max(1))
    }
}

#[cfg(test)]
#[path = "rollout_tests.rs"]
mod tests;
