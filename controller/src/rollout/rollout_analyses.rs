//! The analysis of each rollout on this controller: its pooled samples and its start time.

use std::collections::BTreeMap;
use std::mem;

use parking_lot::Mutex;
use protocol::version_rollout::VersionRollout;
use protocol::version_samples::{EngineSamples, SampleCounts, SampleKey, SampledInterval};
use tokio::sync::Notify;
use versions::{CanaryAnalysis, EventInterval, LoadClass, SampleBatch, SampleOrigin, Variant, Verdict};

/// Minimum interval between two evaluations on arrival of samples, in ms. An evaluation is expensive, and samples
/// arrive from many routers.
const EVALUATION_INTERVAL_MS: u64 = 40;

/// The analysis of one rollout.
struct RolloutAnalysis {
    order: u64,
    canary: CanaryAnalysis,
    /// The estimated start of the rollout, in ms of the steady clock, derived from the elapsed time that each record
    /// contains. Negative if the rollout started before this process.
    started_at: i64,
    /// The number of the latest record.
    record_number: u64,
    /// The time at which the latest record arrived, in ms.
    record_received_at: u64,
    /// The time of the last evaluation on arrival of samples, in ms.
    evaluated_at: u64,
}

impl RolloutAnalysis {
    fn new(rollout: &VersionRollout, now: u64) -> RolloutAnalysis {
        RolloutAnalysis {
            order: rollout.order,
            canary: CanaryAnalysis::new(),
            started_at: start_time(now, rollout.elapsed_ms),
            record_number: rollout.number,
            record_received_at: now,
            evaluated_at: 0,
        }
    }

    /// Applies the latest record. Each record was delayed on its way, so the earliest start time derived from any of
    /// them is the most accurate.
    fn apply_record(&mut self, rollout: &VersionRollout, now: u64) {
        if self.record_number == rollout.number {
            return;
        }
        (self.record_number, self.record_received_at) = (rollout.number, now);
        self.apply_elapsed(rollout.elapsed_ms, now);
    }

    /// Applies an elapsed time of the rollout that was reported at `now`.
    fn apply_elapsed(&mut self, elapsed_ms: u64, now: u64) {
        self.started_at = self.started_at.min(start_time(now, elapsed_ms));
    }

    /// Evaluates the samples and returns whether they raise an alarm; false if they were evaluated a moment ago.
    fn raises_alarm(&mut self, now: u64) -> bool {
        if now < self.evaluated_at + EVALUATION_INTERVAL_MS {
            return false;
        }
        self.evaluated_at = now;
        self.canary.verdict().is_alarm()
    }

    /// Returns how long the rollout has been running, in ms.
    fn elapsed_ms(&self, now: u64) -> u64 {
        u64::try_from(now as i64 - self.started_at).unwrap_or(0)
    }
}

/// Returns the time `elapsed_ms` before `now` on the steady clock.
fn start_time(now: u64, elapsed_ms: u64) -> i64 {
    now as i64 - i64::try_from(elapsed_ms).unwrap_or(i64::MAX)
}

/// The analyses of all rollouts, and the samples that were not yet sent to the other controllers.
#[derive(Default)]
pub struct RolloutAnalyses {
    table: Mutex<AnalysisTable>,
    /// Notified when samples raise an alarm for a candidate version.
    alarm_raised: Notify,
}

/// The evaluation of a rollout at one moment.
pub struct Evaluation {
    /// The verdict on the samples.
    pub verdict: Verdict,
    /// The route with the most evidence against the candidate; empty unless the verdict is an alarm.
    pub worst_route: String,
    /// How long the rollout has been running, in ms.
    pub elapsed_ms: u64,
    /// How long the latest record, and with it the current share, has been known here, in ms.
    pub share_for_ms: u64,
}

#[derive(Default)]
struct AnalysisTable {
    by_service: BTreeMap<String, RolloutAnalysis>,
    unsent: Vec<EngineSamples>,
}

impl AnalysisTable {
    /// Returns the analysis of a rollout, and creates it if there is none for this order.
    fn of(&mut self, rollout: &VersionRollout, now: u64) -> &mut RolloutAnalysis {
        let new = || RolloutAnalysis::new(rollout, now);
        let analysis = self.by_service.entry(rollout.service.clone()).or_insert_with(new);
        if analysis.order != rollout.order {
            *analysis = new();
        }
        analysis.apply_record(rollout, now);
        analysis
    }
}

impl RolloutAnalyses {
    /// Records samples of a rollout from a router or another controller. Samples from a router are kept until
    /// [`take_unsent`](Self::take_unsent).
    pub fn record(&self, rollout: &VersionRollout, samples: EngineSamples, now: u64) {
        let mut table = self.table.lock();
        let analysis = table.of(rollout, now);
        analysis.apply_elapsed(samples.elapsed_ms, now);
        let canary = &mut analysis.canary;
        // Samples of the stable version go first, since the candidate is compared with it.
        for (key, counts) in samples.list.iter().filter(|(key, _)| !key.is_candidate) {
            canary.record(&origin_of(key), &batch_of(counts), now);
        }
        for (key, counts) in samples.list.iter().filter(|(key, _)| key.is_candidate) {
            canary.record(&origin_of(key), &batch_of(counts), now);
        }
        if analysis.raises_alarm(now) {
            self.alarm_raised.notify_one();
        }
        if !samples.is_relayed {
            table.unsent.push(EngineSamples { is_relayed: true, ..samples });
        }
    }

    /// Evaluates all samples of a rollout.
    pub fn evaluate(&self, rollout: &VersionRollout, now: u64) -> Evaluation {
        let mut table = self.table.lock();
        let analysis = table.of(rollout, now);
        let verdict = analysis.canary.verdict();
        // Finding the route evaluates all evidence again, so it is done only for an alarm.
        let worst_route = if verdict.is_alarm() { analysis.canary.worst_route() } else { None };
        Evaluation {
            verdict,
            worst_route: worst_route.unwrap_or_default().to_string(),
            elapsed_ms: analysis.elapsed_ms(now),
            share_for_ms: now - analysis.record_received_at,
        }
    }

    /// Returns how long a rollout has been running, in ms.
    pub fn elapsed_ms(&self, rollout: &VersionRollout, now: u64) -> u64 {
        self.table.lock().of(rollout, now).elapsed_ms(now)
    }

    /// Waits until samples raise an alarm for a candidate version.
    ///
    /// Cancel safe: an alarm raised while no task waits completes the next call.
    pub async fn alarm(&self) {
        self.alarm_raised.notified().await;
    }

    /// Removes and returns the samples from routers that were not yet sent to the other controllers.
    pub fn take_unsent(&self) -> Vec<EngineSamples> {
        mem::take(&mut self.table.lock().unsent)
    }
}

fn origin_of(key: &SampleKey) -> SampleOrigin<'_> {
    SampleOrigin {
        route: &key.route,
        variant: if key.is_candidate { Variant::Candidate } else { Variant::Stable },
        engine: key.engine_hash,
        zone: &key.zone,
        load: if key.is_loaded { LoadClass::Loaded } else { LoadClass::Calm },
    }
}

fn batch_of(counts: &SampleCounts) -> SampleBatch {
    SampleBatch {
        succeeded: counts.succeeded.into(),
        failed: counts.failed.into(),
        lost: counts.lost.into(),
        event_intervals: counts.intervals.iter().map(event_interval).collect(),
    }
}

fn event_interval(sampled: &SampledInterval) -> EventInterval {
    EventInterval { running: sampled.running, interval_us: sampled.interval_us.into(), is_cold: sampled.is_cold }
}

#[cfg(test)]
#[path = "rollout_analyses_tests.rs"]
mod tests;
