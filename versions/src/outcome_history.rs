//! Outcomes of both versions over time, by engine, and the evidence they give for and against a fault of the candidate.
//!
//! Samples are grouped into short spans of time. The candidate's engines are compared with those of the stable version
//! in the same span, and in the same zone if the stable version fails more there. Evidence is summed over several
//! windows that end now, so that a version that becomes faulty late is found as soon as one that is faulty from its
//! start.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::mem;
use std::ops::Range;

use crate::baseline::{smoothed_rate, Baseline, UNKNOWN_ENGINE};
use crate::candidate_outcomes::{add_spans, CandidateOutcomes, EngineKey};
use crate::engine_mixture::{combined_rate, Counts, Observed};
use crate::fault_evidence::{DetectionParams, Evidence, FAULT_RATE_COUNT};
use crate::zone_outcomes::{SpanRates, ZoneOutcomes};

/// Length of a span, in milliseconds.
const SPAN_MS: u64 = 300;
/// Number of spans that are kept individually; older ones are summed.
const KEPT_SPANS: u64 = 16;
/// Lengths of the windows, in spans. One more window covers all samples.
const WINDOW_SPANS: [u64; 3] = [2, 5, KEPT_SPANS];
/// Number of samples in an engine's sum of old spans above which it is halved, so that recent samples prevail.
const MAX_SAMPLES: f64 = 4000.0;
/// Minimum number of samples of the stable version for an estimate of the baseline.
const MIN_BASELINE_SAMPLES: f64 = 20.0;
/// Cap on the log likelihood ratio from lost responses of one zone if the candidate runs in several zones.
const MAX_LOST_RATIO_PER_ZONE: f64 = 4.2;
/// Share of failing engines at which they count as many.
const MANY_FAILING_SHARE: f64 = 0.1;
/// Minimum mean number of bad outcomes per failing engine for failing engines to count as many: with little traffic, a
/// single bad outcome makes an engine look failing.
const MIN_BAD_PER_FAILING_ENGINE: f64 = 2.0;
/// Failure rate of the stable version's healthy engines at which it may hide a small fault of the candidate.
const FAULT_HIDING_RATE: f64 = 0.03;
/// Assumed share of failing engines if the candidate runs on a single engine.
const SINGLE_ENGINE_FAILING_SHARE: f64 = 1e-4;

/// Outcomes of one engine's requests in one report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineOutcomes<'a> {
    pub(crate) engine: u64,
    pub(crate) zone: &'a str,
    pub(crate) passed: u64,
    /// Bad outcomes that the engine itself reported.
    pub(crate) failed: u64,
    /// Bad outcomes that the loss of an engine, a zone or a link may explain as well.
    pub(crate) lost: u64,
}

impl EngineOutcomes<'_> {
    fn counts(&self) -> Counts {
        Counts { passed: self.passed as f64, bad: (self.failed + self.lost) as f64 }
    }
}

/// Outcomes recorded in one span.
#[derive(Default)]
struct Span {
    index: u64,
    stable: BTreeMap<EngineKey, Counts>,
    /// `expected_bad` stays unset until they are read.
    candidate: BTreeMap<EngineKey, CandidateOutcomes>,
}

/// Outcomes of both versions.
pub(crate) struct OutcomeHistory {
    detection: DetectionParams,
    zones: Vec<String>,
    spans: VecDeque<Span>,
    /// Sum of the expired spans.
    expired: BTreeMap<EngineKey, CandidateOutcomes>,
    /// The last baseline estimated from enough samples.
    baseline: Baseline,
    candidate_engines: BTreeSet<u64>,
    candidate_zones: BTreeSet<usize>,
}

impl OutcomeHistory {
    pub(crate) fn new(detection: DetectionParams) -> OutcomeHistory {
        OutcomeHistory {
            detection,
            zones: Vec::new(),
            spans: VecDeque::new(),
            expired: BTreeMap::new(),
            baseline: Baseline::default(),
            candidate_engines: BTreeSet::new(),
            candidate_zones: BTreeSet::new(),
        }
    }

    /// Adds outcomes of the stable version.
    pub(crate) fn record_stable(&mut self, outcomes: &EngineOutcomes, now: u64) {
        let key = self.engine_key(outcomes);
        self.current_span(now).stable.entry(key).or_default().add(outcomes.counts());
    }

    /// Adds outcomes of the candidate.
    pub(crate) fn record_candidate(&mut self, outcomes: &EngineOutcomes, now: u64) {
        let key = self.engine_key(outcomes);
        self.candidate_engines.insert(key.engine);
        self.candidate_zones.insert(key.zone);
        let entry = self.current_span(now).candidate.entry(key).or_default();
        entry.observed.counts.add(outcomes.counts());
        entry.lost += outcomes.lost as f64;
    }

    /// Returns the current failure rate of the stable version's healthy engines in a zone, and its share of failing
    /// engines.
    pub(crate) fn current_stable_rates(&self, zone: &str) -> (f64, f64) {
        let zone = self.zones.iter().position(|known| known == zone).unwrap_or(usize::MAX);
        let newest = self.spans.len().checked_sub(1);
        let rate = newest.map_or(self.baseline.rate, |newest| self.stable_rates(newest).in_zone(zone));
        (rate, self.baseline.failing_share)
    }

    /// Returns the evidence that the outcomes give.
    pub(crate) fn evidence(&self) -> Evidence {
        let failing_share = self.failing_share();
        let by_span: Vec<_> = (0..self.spans.len()).map(|span| self.candidate_outcomes(span)).collect();
        let many_engines_fail = self.many_engines_fail();
        let may_hide_fault = self.baseline.rate >= FAULT_HIDING_RATE;
        let mut evidence = Evidence { many_engines_fail, may_hide_fault, ..Evidence::default() };
        for window in WINDOW_SPANS {
            let is_recent = |span: &Span| self.spans.back().is_some_and(|last| span.index + window > last.index);
            let recent = self.spans.iter().zip(&by_span).filter(|(span, _)| is_recent(span));
            let sum = add_spans(BTreeMap::new(), recent.map(|(_, outcomes)| outcomes));
            if sum.values().any(|outcomes| outcomes.observed.counts.bad > 0.0) {
                let max_ratio = self.fault_ratios(&sum, failing_share).into_iter().fold(0.0, f64::max);
                evidence.max_ratio = evidence.max_ratio.max(max_ratio);
            }
        }
        evidence.overall_ratios = self.fault_ratios(&add_spans(self.expired.clone(), by_span.iter()), failing_share);
        evidence.max_ratio = evidence.overall_ratios.into_iter().fold(evidence.max_ratio, f64::max);
        evidence
    }

    /// Returns the share of failing engines to assume among those of the candidate.
    fn failing_share(&self) -> f64 {
        match self.candidate_engines.len() == 1 && !self.many_engines_fail() {
            true => SINGLE_ENGINE_FAILING_SHARE,
            false => self.baseline.failing_share,
        }
    }

    /// Returns whether many engines of the stable version are failing, leaving out zones that fail as a whole.
    fn many_engines_fail(&self) -> bool {
        let zones = self.zone_outcomes(0..self.spans.len());
        let in_healthy_zones = || zones.values().filter(|zone| !zone.is_failing());
        let failing: usize = in_healthy_zones().map(|zone| zone.failing.engines.len()).sum();
        let healthy: usize = in_healthy_zones().map(|zone| zone.healthy.engines.len()).sum();
        let bad: f64 = in_healthy_zones().map(|zone| zone.failing.counts.bad).sum();
        let is_significant = failing > 0 && bad >= MIN_BAD_PER_FAILING_ENGINE * failing as f64;
        is_significant && failing as f64 >= MANY_FAILING_SHARE * (failing + healthy) as f64
    }

    /// Returns the log likelihood ratio of a fault, by its size.
    fn fault_ratios(
        &self,
        engines: &BTreeMap<EngineKey, CandidateOutcomes>,
        failing_share: f64,
    ) -> [f64; FAULT_RATE_COUNT] {
        let mut sums = [0.0; FAULT_RATE_COUNT];
        let mut lost_by_zone: BTreeMap<usize, [f64; FAULT_RATE_COUNT]> = BTreeMap::new();
        for (key, outcomes) in engines {
            let ratios = outcomes.observed.log_likelihood_ratios(failing_share, &self.detection.fault_rates);
            let is_mostly_lost = outcomes.lost * 2.0 > outcomes.observed.counts.bad;
            for (size, ratio) in ratios.into_iter().enumerate() {
                match is_mostly_lost && ratio > 0.0 {
                    true => lost_by_zone.entry(key.zone).or_default()[size] += ratio,
                    false => sums[size] += ratio,
                }
            }
        }
        let cap = if self.candidate_zones.len() > 1 { MAX_LOST_RATIO_PER_ZONE } else { f64::INFINITY };
        for (size, sum) in sums.iter_mut().enumerate() {
            *sum += lost_by_zone.values().map(|ratios| ratios[size].min(cap)).sum::<f64>();
        }
        sums
    }

    fn engine_key(&mut self, outcomes: &EngineOutcomes) -> EngineKey {
        let known = self.zones.iter().position(|zone| zone == outcomes.zone);
        let zone = known.unwrap_or_else(|| {
            self.zones.push(outcomes.zone.into());
            self.zones.len() - 1
        });
        EngineKey { zone, engine: outcomes.engine }
    }

    /// Returns the span that `now` lies in, which becomes the newest one.
    fn current_span(&mut self, now: u64) -> &mut Span {
        let index = now / SPAN_MS;
        if self.spans.back().is_none_or(|newest| newest.index < index) {
            self.expire_spans(index);
            self.spans.push_back(Span { index, ..Span::default() });
        }
        let newest = self.spans.len() - 1;
        &mut self.spans[newest]
    }

    /// Sums the spans that expire once there is a span with this index.
    fn expire_spans(&mut self, index: u64) {
        self.update_baseline();
        let is_expired = |span: &Span| span.index + KEPT_SPANS <= index;
        while self.spans.front().is_some_and(is_expired) {
            let oldest = self.candidate_outcomes(0);
            self.expired = add_spans(mem::take(&mut self.expired), [&oldest].into_iter());
            for outcomes in self.expired.values_mut() {
                if outcomes.observed.counts.total() > MAX_SAMPLES {
                    outcomes.observed.scale(0.5);
                    outcomes.lost *= 0.5;
                }
            }
            self.spans.pop_front();
        }
    }

    /// Estimates the baseline from the kept spans, or keeps the previous one if these hold too few samples.
    fn update_baseline(&mut self) {
        let mut engines: BTreeMap<u64, Counts> = BTreeMap::new();
        for (key, counts) in self.spans.iter().flat_map(|span| &span.stable) {
            engines.entry(key.engine).or_default().add(*counts);
        }
        let total: f64 = engines.values().map(|counts| counts.total()).sum();
        if total >= MIN_BASELINE_SAMPLES {
            self.baseline = Baseline::estimate(&engines);
        }
    }

    /// Returns the candidate's outcomes in a span, with the number of bad ones expected from the stable version's
    /// healthy engines.
    fn candidate_outcomes(&self, span: usize) -> BTreeMap<EngineKey, CandidateOutcomes> {
        let recorded = &self.spans[span];
        if recorded.candidate.is_empty() {
            return BTreeMap::new();
        }
        let rates = self.stable_rates(span);
        let observed = |key: &EngineKey, outcomes: &CandidateOutcomes| CandidateOutcomes {
            observed: Observed::new(
                outcomes.observed.counts,
                combined_rate(rates.in_zone(key.zone), self.detection.allowed_excess),
            ),
            ..*outcomes
        };
        recorded.candidate.iter().map(|(key, outcomes)| (*key, observed(key, outcomes))).collect()
    }

    /// Returns the failure rates of the stable version's healthy engines in a span and the adjacent ones, or in the
    /// span alone where that is higher: an outage may begin or end with it.
    fn stable_rates(&self, span: usize) -> SpanRates {
        let adjacent = span.saturating_sub(1)..(span + 2).min(self.spans.len());
        let around = self.zone_outcomes(adjacent);
        let overall = smoothed_rate(around.values().map(|zone| zone.healthy.counts), self.baseline.rate);
        let mut by_zone: BTreeMap<usize, f64> = BTreeMap::new();
        for (zone, outcomes) in around.iter().chain(&self.zone_outcomes(span..span + 1)) {
            let rate = by_zone.entry(*zone).or_default();
            *rate = rate.max(outcomes.rate(overall));
        }
        SpanRates { overall, by_zone }
    }

    /// Returns the outcomes of the stable version in a range of spans, by zone.
    fn zone_outcomes(&self, spans: Range<usize>) -> BTreeMap<usize, ZoneOutcomes> {
        let mut zones: BTreeMap<usize, ZoneOutcomes> = BTreeMap::new();
        let is_counted = |key: &EngineKey| key.engine != UNKNOWN_ENGINE || !self.baseline.excludes_unknown_engine;
        let outcomes = spans.flat_map(|span| &self.spans[span].stable);
        for (key, counts) in outcomes.filter(|(key, _)| is_counted(key)) {
            let is_failing = self.baseline.failing_engines.contains(&key.engine);
            zones.entry(key.zone).or_default().add(key.engine, *counts, is_failing);
        }
        zones
    }
}

#[cfg(test)]
#[path = "outcome_history_tests.rs"]
mod tests;
