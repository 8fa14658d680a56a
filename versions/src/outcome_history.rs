//! The outcomes of both versions over time, by engine, and what they say for and against a fault of the candidate.
//!
//! Samples are kept in short spans. The candidate's engines are compared with those of the stable version in the same span and, where
//! that one fails more, in the same zone. Evidence is summed over several windows that end now, so that a version that becomes
//! faulty late shows as soon as one that is faulty from its start.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::mem;
use std::ops::Range;

use crate::baseline::{rate_of, Baseline, UNKNOWN_ENGINE};
use crate::candidate_outcomes::{sum_of, CandidateOutcomes, EngineKey};
use crate::engine_mixture::{either, Counts, Observed};
use crate::fault_evidence::{Evidence, Tuning, FAULT_RATE_COUNT};
use crate::zone_outcomes::{SpanRates, ZoneOutcomes};

/// Length of a span.
const SPAN_MS: u64 = 300;
/// Spans that are kept apart; older ones are summed up.
const KEPT_SPANS: u64 = 16;
/// The windows, in spans. A further one holds everything.
const WINDOWS: [u64; 3] = [2, 5, KEPT_SPANS];
/// Samples of one engine's sum at which it is halved, so that it follows what is recent.
const MAX_SAMPLES: f64 = 4000.0;
/// Samples of the stable version from which on a baseline is estimated.
const MIN_BASELINE_SAMPLES: f64 = 20.0;
/// The most that the lost responses of one zone add, where there are several.
const ZONE_CAP: f64 = 4.2;
/// The share of engines that fail by themselves from which on many do.
const MANY_FAILING_SHARE: f64 = 0.1;
/// Bad outcomes of an engine that fails by itself, on average, before many are taken for such ones: where traffic is thin one alone
/// makes an engine look so.
const MIN_BAD_OF_FAILING: f64 = 2.0;
/// The rate of sound engines of the stable version from which on a small fault of the candidate may be hidden.
const HIDING_RATE: f64 = 0.03;
/// The share of engines that are assumed to fail by themselves where there is one engine only.
const FAILING_SHARE_OF_ONE: f64 = 1e-4;

/// Outcomes of requests at one engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineOutcomes<'a> {
    pub(crate) engine: u64,
    pub(crate) zone: &'a str,
    pub(crate) passed: u64,
    /// Bad outcomes that the engine itself gave.
    pub(crate) failed: u64,
    /// Bad outcomes that a lost engine, zone or link explains as well.
    pub(crate) lost: u64,
}

impl EngineOutcomes<'_> {
    fn counts(&self) -> Counts {
        Counts { passed: self.passed as f64, bad: (self.failed + self.lost) as f64 }
    }
}

/// What was recorded in one span.
#[derive(Default)]
struct Span {
    index: u64,
    stable: BTreeMap<EngineKey, Counts>,
    /// What is expected of them is filled in when they are read.
    candidate: BTreeMap<EngineKey, CandidateOutcomes>,
}

/// The outcomes of both versions.
pub(crate) struct OutcomeHistory {
    tuning: Tuning,
    zones: Vec<String>,
    spans: VecDeque<Span>,
    /// Sums of the spans that are not kept.
    older: BTreeMap<EngineKey, CandidateOutcomes>,
    /// The last baseline that rested on enough samples.
    baseline: Baseline,
    candidate_engines: BTreeSet<u64>,
    candidate_zones: BTreeSet<usize>,
}

impl OutcomeHistory {
    pub(crate) fn new(tuning: Tuning) -> OutcomeHistory {
        OutcomeHistory {
            tuning,
            zones: Vec::new(),
            spans: VecDeque::new(),
            older: BTreeMap::new(),
            baseline: Baseline::default(),
            candidate_engines: BTreeSet::new(),
            candidate_zones: BTreeSet::new(),
        }
    }

    /// Adds outcomes of the stable version.
    pub(crate) fn record_stable(&mut self, outcomes: &EngineOutcomes, now: u64) {
        let key = self.key(outcomes);
        self.span(now).stable.entry(key).or_default().add(outcomes.counts());
    }

    /// Adds outcomes of the candidate.
    pub(crate) fn record_candidate(&mut self, outcomes: &EngineOutcomes, now: u64) {
        let key = self.key(outcomes);
        self.candidate_engines.insert(key.engine);
        self.candidate_zones.insert(key.zone);
        let entry = self.span(now).candidate.entry(key).or_default();
        entry.observed.counts.add(outcomes.counts());
        entry.lost += outcomes.lost as f64;
    }

    /// Returns how often sound engines of the stable version fail in a zone now, and which share of its engines fails by itself.
    pub(crate) fn stable_now(&self, zone: &str) -> (f64, f64) {
        let zone = self.zones.iter().position(|known| known == zone).unwrap_or(usize::MAX);
        let newest = self.spans.len().checked_sub(1);
        let rate = newest.map_or(self.baseline.rate, |newest| self.rates(newest).of(zone));
        (rate, self.baseline.failing_share)
    }

    /// Returns what the outcomes say.
    pub(crate) fn evidence(&self) -> Evidence {
        let failing_share = self.failing_share();
        let by_span: Vec<_> = (0..self.spans.len()).map(|at| self.observed(at)).collect();
        let many_engines_fail = self.many_engines_fail();
        let may_hide_fault = self.baseline.rate >= HIDING_RATE;
        let mut evidence = Evidence { many_engines_fail, may_hide_fault, ..Evidence::default() };
        for window in WINDOWS {
            let is_recent = |span: &Span| self.spans.back().is_some_and(|last| span.index + window > last.index);
            let recent = self.spans.iter().zip(&by_span).filter(|(span, _)| is_recent(span));
            let sum = sum_of(BTreeMap::new(), recent.map(|(_, observed)| observed));
            if sum.values().any(|outcomes| outcomes.observed.counts.bad > 0.0) {
                let strongest = self.ratios(&sum, failing_share).into_iter().fold(0.0, f64::max);
                evidence.against = evidence.against.max(strongest);
            }
        }
        evidence.lasting = self.ratios(&sum_of(self.older.clone(), by_span.iter()), failing_share);
        evidence.against = evidence.lasting.into_iter().fold(evidence.against, f64::max);
        evidence
    }

    /// Returns the share of engines that fail by themselves, as it is to be assumed of the candidate's.
    fn failing_share(&self) -> f64 {
        match self.candidate_engines.len() == 1 && !self.many_engines_fail() {
            true => FAILING_SHARE_OF_ONE,
            false => self.baseline.failing_share,
        }
    }

    /// Returns whether many engines of the stable version fail by themselves, those of a zone that fails as a whole left out.
    fn many_engines_fail(&self) -> bool {
        let zones = self.zone_outcomes(0..self.spans.len());
        let in_sound_zones = || zones.values().filter(|zone| !zone.is_failing());
        let failing: usize = in_sound_zones().map(|zone| zone.failing.engines.len()).sum();
        let sound: usize = in_sound_zones().map(|zone| zone.sound.engines.len()).sum();
        let bad: f64 = in_sound_zones().map(|zone| zone.failing.counts.bad).sum();
        let is_shown = failing > 0 && bad >= MIN_BAD_OF_FAILING * failing as f64;
        is_shown && failing as f64 >= MANY_FAILING_SHARE * (failing + sound) as f64
    }

    /// Returns the log likelihood ratio by size of the fault.
    fn ratios(&self, engines: &BTreeMap<EngineKey, CandidateOutcomes>, failing_share: f64) -> [f64; FAULT_RATE_COUNT] {
        let mut sums = [0.0; FAULT_RATE_COUNT];
        let mut lost_by_zone: BTreeMap<usize, [f64; FAULT_RATE_COUNT]> = BTreeMap::new();
        for (key, outcomes) in engines {
            let ratios = outcomes.observed.log_likelihood_ratios(failing_share, &self.tuning.fault_rates);
            let is_mostly_lost = outcomes.lost * 2.0 > outcomes.observed.counts.bad;
            for (at, ratio) in ratios.into_iter().enumerate() {
                match is_mostly_lost && ratio > 0.0 {
                    true => lost_by_zone.entry(key.zone).or_default()[at] += ratio,
                    false => sums[at] += ratio,
                }
            }
        }
        let cap = if self.candidate_zones.len() > 1 { ZONE_CAP } else { f64::INFINITY };
        for (at, sum) in sums.iter_mut().enumerate() {
            *sum += lost_by_zone.values().map(|ratios| ratios[at].min(cap)).sum::<f64>();
        }
        sums
    }

    fn key(&mut self, outcomes: &EngineOutcomes) -> EngineKey {
        let known = self.zones.iter().position(|zone| zone == outcomes.zone);
        let zone = known.unwrap_or_else(|| {
            self.zones.push(outcomes.zone.into());
            self.zones.len() - 1
        });
        EngineKey { zone, engine: outcomes.engine }
    }

    /// Returns the span of a time, which is the newest one.
    fn span(&mut self, now: u64) -> &mut Span {
        let index = now / SPAN_MS;
        if self.spans.back().is_none_or(|newest| newest.index < index) {
            self.remove_old_spans(index);
            self.spans.push_back(Span { index, ..Span::default() });
        }
        let newest = self.spans.len() - 1;
        &mut self.spans[newest]
    }

    /// Sums up the spans that are too old to be kept once there is one with this index.
    fn remove_old_spans(&mut self, index: u64) {
        self.update_baseline();
        let is_old = |span: &Span| span.index + KEPT_SPANS <= index;
        while self.spans.front().is_some_and(is_old) {
            let observed = self.observed(0);
            self.older = sum_of(mem::take(&mut self.older), [&observed].into_iter());
            for outcomes in self.older.values_mut() {
                if outcomes.observed.counts.total() > MAX_SAMPLES {
                    outcomes.observed.scale(0.5);
                    outcomes.lost *= 0.5;
                }
            }
            self.spans.pop_front();
        }
    }

    /// Estimates the baseline from the kept spans; the last known one stays where these hold too few samples.
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

    /// Returns the candidate's outcomes of a span, beside what the stable version's engines make expected.
    fn observed(&self, at: usize) -> BTreeMap<EngineKey, CandidateOutcomes> {
        let span = &self.spans[at];
        if span.candidate.is_empty() {
            return BTreeMap::new();
        }
        let rates = self.rates(at);
        let observed = |key: &EngineKey, outcomes: &CandidateOutcomes| CandidateOutcomes {
            observed: Observed::new(outcomes.observed.counts, either(rates.of(key.zone), self.tuning.allowed_excess)),
            ..*outcomes
        };
        span.candidate.iter().map(|(key, outcomes)| (*key, observed(key, outcomes))).collect()
    }

    /// Returns how often sound engines of the stable version failed in a span and the ones beside it, or in the span alone where that
    /// is more: a bad time may begin or end with it.
    fn rates(&self, at: usize) -> SpanRates {
        let beside = at.saturating_sub(1)..(at + 2).min(self.spans.len());
        let around = self.zone_outcomes(beside);
        let overall = rate_of(around.values().map(|zone| zone.sound.counts), self.baseline.rate);
        let mut by_zone: BTreeMap<usize, f64> = BTreeMap::new();
        for (zone, outcomes) in around.iter().chain(&self.zone_outcomes(at..at + 1)) {
            let rate = by_zone.entry(*zone).or_default();
            *rate = rate.max(outcomes.rate(overall));
        }
        SpanRates { overall, by_zone }
    }

    /// Returns the outcomes of the stable version in some spans, by zone.
    fn zone_outcomes(&self, spans: Range<usize>) -> BTreeMap<usize, ZoneOutcomes> {
        let mut zones: BTreeMap<usize, ZoneOutcomes> = BTreeMap::new();
        let is_counted = |key: &EngineKey| key.engine != UNKNOWN_ENGINE || !self.baseline.tells_engines_apart;
        let outcomes = spans.flat_map(|at| &self.spans[at].stable);
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
