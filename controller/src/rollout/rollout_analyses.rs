//! What this controller knows of rollouts: their pooled samples, and since when they have been under way.

use std::collections::BTreeMap;
use std::mem;

use parking_lot::Mutex;
use protocol::version_rollout::VersionRollout;
use protocol::version_samples::{EngineSamples, SampleCounts, SampleKey, SampledInterval};
use tokio::sync::Notify;
use versions::{CanaryAnalysis, EventInterval, LoadClass, SampleBatch, SampleOrigin, Variant, Verdict};

/// How long samples are not judged as they come after they were: judging takes some time, and reports come from many routers.
const JUDGING_INTERVAL_MS: u64 = 40;

/// What is known here of one rollout.
struct RolloutAnalysis {
    order: u64,
    canary: CanaryAnalysis,
    /// The steady time at which the rollout began, as far as can be told here: a record says how long before it was written.
    /// Negative where that was before this process began.
    started_at: i64,
    /// The number of the newest record.
    record_number: u64,
    /// When the newest record became known.
    record_since: u64,
    /// When the samples were last judged as they came.
    judged_at: u64,
}

impl RolloutAnalysis {
    fn new(rollout: &VersionRollout, now: u64) -> RolloutAnalysis {
        RolloutAnalysis {
            order: rollout.order,
            canary: CanaryAnalysis::new(),
            started_at: start_time(now, rollout.elapsed_ms),
            record_number: rollout.number,
            record_since: now,
            judged_at: 0,
        }
    }

    /// Takes note of the newest record. Each record took some time to get here, so the earliest start that one of them tells is
    /// the nearest to the truth.
    fn note_record(&mut self, rollout: &VersionRollout, now: u64) {
        if self.record_number == rollout.number {
            return;
        }
        (self.record_number, self.record_since) = (rollout.number, now);
        self.note_elapsed(rollout.elapsed_ms, now);
    }

    /// Takes note of how long the rollout has been under way, as someone told it now.
    fn note_elapsed(&mut self, elapsed_ms: u64, now: u64) {
        self.started_at = self.started_at.min(start_time(now, elapsed_ms));
    }

    /// Returns whether samples show that the version is bad, unless they were judged a moment ago.
    fn is_alarming(&mut self, now: u64) -> bool {
        if now < self.judged_at + JUDGING_INTERVAL_MS {
            return false;
        }
        self.judged_at = now;
        self.canary.verdict().is_alarm()
    }

    /// Returns how long the rollout has been under way.
    fn elapsed_ms(&self, now: u64) -> u64 {
        u64::try_from(now as i64 - self.started_at).unwrap_or(0)
    }
}

/// Returns the steady time `elapsed_ms` before `now`.
fn start_time(now: u64, elapsed_ms: u64) -> i64 {
    now as i64 - i64::try_from(elapsed_ms).unwrap_or(i64::MAX)
}

/// The analyses of all rollouts, and samples that were not yet passed on to the other controllers.
#[derive(Default)]
pub struct RolloutAnalyses {
    table: Mutex<AnalysisTable>,
    /// Woken when samples show that a version is bad.
    alarm_raised: Notify,
}

/// What is known of a rollout at one moment.
pub struct Judgement {
    /// What the samples show.
    pub verdict: Verdict,
    /// The route with the most evidence against the candidate; empty unless that is an alarm.
    pub worst_route: String,
    /// How long the rollout has been under way.
    pub elapsed_ms: u64,
    /// How long its newest record has been known here.
    pub share_for_ms: u64,
}

#[derive(Default)]
struct AnalysisTable {
    by_service: BTreeMap<String, RolloutAnalysis>,
    unsent: Vec<EngineSamples>,
}

impl AnalysisTable {
    /// Returns the analysis of a rollout; a new one where there is none of this order.
    fn of(&mut self, rollout: &VersionRollout, now: u64) -> &mut RolloutAnalysis {
        let new = || RolloutAnalysis::new(rollout, now);
        let analysis = self.by_service.entry(rollout.service.clone()).or_insert_with(new);
        if analysis.order != rollout.order {
            *analysis = new();
        }
        analysis.note_record(rollout, now);
        analysis
    }
}

impl RolloutAnalyses {
    /// Records samples of a rollout from a router or from another controller. Those from a router are kept until
    /// [`take_unsent`](Self::take_unsent).
    pub fn record(&self, rollout: &VersionRollout, samples: EngineSamples, now: u64) {
        let mut table = self.table.lock();
        let analysis = table.of(rollout, now);
        analysis.note_elapsed(samples.elapsed_ms, now);
        let canary = &mut analysis.canary;
        // The stable version first: the candidate is compared with it.
        for (key, counts) in samples.list.iter().filter(|(key, _)| !key.is_candidate) {
            canary.record(&origin_of(key), &batch_of(counts), now);
        }
        for (key, counts) in samples.list.iter().filter(|(key, _)| key.is_candidate) {
            canary.record(&origin_of(key), &batch_of(counts), now);
        }
        if analysis.is_alarming(now) {
            self.alarm_raised.notify_one();
        }
        if !samples.is_relayed {
            table.unsent.push(EngineSamples { is_relayed: true, ..samples });
        }
    }

    /// Returns what is known of a rollout now.
    pub fn judge(&self, rollout: &VersionRollout, now: u64) -> Judgement {
        let mut table = self.table.lock();
        let analysis = table.of(rollout, now);
        let verdict = analysis.canary.verdict();
        // Looking for the route means weighing all evidence once more.
        let worst_route = if verdict.is_alarm() { analysis.canary.worst_route() } else { None };
        Judgement {
            verdict,
            worst_route: worst_route.unwrap_or_default().to_string(),
            elapsed_ms: analysis.elapsed_ms(now),
            share_for_ms: now - analysis.record_since,
        }
    }

    /// Returns how long a rollout has been under way.
    pub fn elapsed_ms(&self, rollout: &VersionRollout, now: u64) -> u64 {
        self.table.lock().of(rollout, now).elapsed_ms(now)
    }

    /// Waits until samples show that a version must not serve any longer.
    ///
    /// Cancel safe: an alarm that nobody waited for wakes the next one who does.
    pub async fn alarm(&self) {
        self.alarm_raised.notified().await;
    }

    /// Removes and returns the samples from routers that were not yet passed on.
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
