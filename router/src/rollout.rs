//! Rollouts of versions at this router: which version serves a request, and samples of how each version did.
//!
//! A new version gets its share only while a confirmed controller has renewed this router's lease a moment ago. A router
//! that is partitioned, or was suspended, sends to the stable version.

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

/// How long samples are collected before they are sent while the new version has a small share.
const CANARY_SAMPLING_INTERVAL: Duration = Duration::from_millis(200);
/// How long they are collected while it has a larger one: the sooner it is found bad, the fewer requests it gets.
const SAMPLING_INTERVAL: Duration = Duration::from_millis(100);

/// How long a request is expected to take where nothing is known, in milliseconds.
const DEFAULT_EXPECTED_MS: u64 = 2000;
/// The most engines of the stable version, by service, that samples tell apart.
const MAX_SAMPLED_ENGINES: u64 = 64;

/// The rollout that samples belong to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RolloutKey {
    service: String,
    order: u64,
}

/// The newest rollout of a service.
struct KnownRollout {
    record: VersionRollout,
    /// The steady time at which it began, in milliseconds, as far as its records tell; negative where that was before this
    /// process began.
    started_at: i64,
}

impl KnownRollout {
    /// Returns how long it has been under way.
    fn elapsed_ms(&self, now: u64) -> u64 {
        u64::try_from(now as i64 - self.started_at).unwrap_or(0)
    }

    fn schedule(&self, exposure_share: f64) -> RolloutSchedule {
        RolloutSchedule { duration_ms: self.record.duration_ms, exposure_share }
    }
}

/// The newest rollouts, by the dense index of their service, and samples of those that are active.
#[derive(Default)]
pub struct Rollouts {
    by_service: HashMap<u32, KnownRollout>,
    output_sizes: HashMap<u32, OutputSizes>,
    samples: BTreeMap<RolloutKey, BTreeMap<SampleKey, SampleCounts>>,
    sample_reader: Option<SampleReader>,
}

impl Rollouts {
    /// Inserts a rollout if it is newer than the known one of its service, and returns whether it was.
    pub fn insert_if_newer(&mut self, service: u32, record: VersionRollout, now: u64) -> bool {
        let known = self.by_service.get(&service);
        if known.is_some_and(|known| known.record.number >= record.number) {
            return false;
        }
        let told = now as i64 - i64::try_from(record.elapsed_ms).unwrap_or(i64::MAX);
        let same_order = known.filter(|known| known.record.order == record.order);
        let started_at = same_order.map_or(told, |known| known.started_at.min(told));
        self.by_service.insert(service, KnownRollout { record, started_at });
        true
    }

    /// Returns the active rollout of a service.
    fn active(&self, service: u32) -> Option<&VersionRollout> {
        let known = self.by_service.get(&service)?;
        (known.record.state == RolloutState::Active).then_some(&known.record)
    }

    /// Returns how long the rollout that samples belong to has been under way.
    fn elapsed_ms(&self, key: &RolloutKey, now: u64) -> u64 {
        let is_same = |known: &&KnownRollout| known.record.service == key.service && known.record.order == key.order;
        self.by_service.values().find(is_same).map_or(0, |known| known.elapsed_ms(now))
    }

    /// Records how many tokens a request puts out at most.
    pub fn record_output(&mut self, service: u32, max_output_tokens: u32) {
        self.output_sizes.entry(service).or_default().record(max_output_tokens);
    }

    /// Records the outcome of a request while its service has an active rollout, and returns whether it has one.
    fn record(&mut self, service: u32, key: SampleKey, served_by: &ServedBy, outcome: VersionOutcome) -> bool {
        let Some(rollout) = self.active(service) else { return false };
        let rollout = RolloutKey { service: rollout.service.clone(), order: rollout.order };
        let counts = self.samples.entry(rollout).or_default().entry(key).or_default();
        outcome::add(counts, served_by, outcome);
        true
    }

    /// Removes and returns all samples, one message for each rollout.
    fn drain_samples(&mut self, now: u64) -> Vec<EngineSamples> {
        let samples = mem::take(&mut self.samples);
        let to_message = |(key, origins): (RolloutKey, BTreeMap<_, _>)| EngineSamples {
            elapsed_ms: self.elapsed_ms(&key, now),
            service: key.service,
            order: key.order,
            list: origins.into_iter().collect(),
            is_relayed: false,
        };
        samples.into_iter().map(to_message).collect()
    }

    /// Returns how long samples are collected before they are sent.
    fn sampling_interval(&self) -> Duration {
        let is_canary = |rollout: &VersionRollout| RolloutStage::of(rollout.share) == RolloutStage::Canary;
        match self.by_service.keys().filter_map(|service| self.active(*service)).all(is_canary) {
            true => CANARY_SAMPLING_INTERVAL,
            false => SAMPLING_INTERVAL,
        }
    }
}

/// Puts a rollout from a controller in force, unless a newer one is known.
pub fn apply(state: &State, rollout: VersionRollout) {
    let service = state.engines().service_index(&rollout.service);
    if state.rollouts().insert_if_newer(service, rollout.clone(), clock::now()) {
        kernel::log_event!(VERSION_ROLLOUT_ACTIVATED, "service" => rollout.service, "version" => rollout.target,
            "state" => rollout.state.as_str(), "share" => rollout.share);
    }
}

/// Returns the number of the known rollout of each service, by its register's key, as it is sent with each renewal.
pub fn applied_revisions(state: &State) -> Vec<(String, u64)> {
    let rollouts = state.rollouts();
    let entry =
        |rollout: &VersionRollout| (HiddenKey::Register(&VersionRollout::key(&rollout.service)).into(), rollout.number);
    rollouts.by_service.values().map(|known| entry(&known.record)).collect()
}

impl Exchange {
    /// Chooses the version that serves this request: a new one only if its engines can be sent to now.
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

    /// Returns the part of the stable version's load, in thousandths, that a load test of the candidate needs.
    fn candidate_load_test_need(&self) -> u32 {
        let candidate = Arm::Candidate(CandidatePlacement::Spread);
        self.with_selection(|selection| selection.for_arm(candidate).load_test_need())
    }

    /// Records how long the stream took that is complete now.
    pub fn record_stream_duration(&self) {
        let Some(responded_at_ms) = self.responded_at_ms else { return };
        self.request.authorization.route().stream_durations.record(StreamTimes {
            head_ms: responded_at_ms.saturating_sub(self.request.received_at_ms),
            body_ms: clock::now().saturating_sub(responded_at_ms),
            max_output_tokens: self.request.max_output_tokens(),
        });
    }

    /// Notes the engine that responds, as it stands now.
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

    /// Records how the version that served this request did.
    pub fn record_version_outcome(&self, outcome: VersionOutcome) {
        if self.state.rollouts().active(self.service).is_none() {
            return;
        }
        let served_by = self.served_by;
        let is_candidate = self.variant.is_candidate();
        let has_known_engine = is_candidate || self.is_sampled_engine(served_by.engine_hash);
        let key = SampleKey {
            route: self.route.clone(),
            is_candidate,
            engine_hash: if has_known_engine { served_by.engine_hash } else { 0 },
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

    /// Returns whether samples tell this engine of the stable version apart. In a large fleet only a part of them is, so that
    /// reports stay small.
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
