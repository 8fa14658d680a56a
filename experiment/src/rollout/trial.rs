//! A trial: requests arrive, versions and engines are selected, samples are pooled and analysed, and the candidate's
//! share follows the schedule.

use std::collections::{BTreeMap, VecDeque};
use std::mem;

use kernel::Rng;
use load_balancing::{Arm, CandidatePlacement, Phase, SelectionContext};
use protocol::version_rollout::{RolloutState, VersionRollout};
use router::{RequestProfile, Rollouts};
use versions::{
    CanaryAnalysis, EventInterval, LoadClass, RolloutSchedule, RolloutStep, SampleBatch, SampleOrigin, Variant, Verdict,
};

use crate::rollout::fleet::{uniform, RequestResult, SimulatedFleet, SERVICE, ZONES};
use crate::rollout::{Ablation, Scenario};

/// The maximum share of a trial's requests that a faulty version may get.
const EXPOSURE_SHARE: f64 = 0.1;
/// The number of requests allowed beyond `EXPOSURE_SHARE`.
const EXPOSURE_SLACK: f64 = 50.0;
/// The time step of the simulation, in milliseconds.
const TICK_MS: u64 = 5;
/// The interval at which controllers analyse the samples, in milliseconds.
const ANALYSIS_INTERVAL_MS: u64 = 100;
/// The delay from a sample to its analysis, in milliseconds.
const SAMPLE_DELAY_MS: u64 = 200;
/// The delay until a rollout record is in force, in milliseconds.
const RECORD_DELAY_MS: u64 = 100;
/// The time for which requests are served before the rollout is ordered, in milliseconds.
const WARM_UP_MS: u64 = 4000;
/// The names of the routes.
const ROUTES: [&str; 2] = ["long", "short"];
/// The mean output of a request by route, in tokens, before it is clamped.
const MEAN_TOKENS: [f64; 2] = [280.0, 50.0];
/// The maximum output of a request, in tokens.
const MAX_TOKENS: f64 = 950.0;
/// The share of requests that use the first route.
const FIRST_ROUTE_SHARE: f64 = 0.55;
/// The expected time per token, in milliseconds; with `EXPECTED_MARGIN_MS`, more than a request takes at a mean load.
const EXPECTED_TOKEN_MS: f64 = 4.6;
/// The fixed part of the expected time of a request, in milliseconds.
const EXPECTED_MARGIN_MS: f64 = 150.0;

/// The outcome of a trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialOutcome {
    /// The state of the rollout at the end.
    pub state: RolloutState,
    /// The number of requests that the candidate got after the rollout was ordered.
    pub candidate_requests: u64,
    /// The number of all requests after the rollout was ordered.
    pub requests: u64,
}

impl TrialOutcome {
    /// Returns whether the candidate got more requests than a faulty version may get.
    pub fn exceeds_exposure(&self) -> bool {
        self.candidate_requests as f64 > EXPOSURE_SHARE * self.requests as f64 + EXPOSURE_SLACK
    }
}

/// What a router reports about a request.
#[derive(Clone, Copy, Debug)]
enum Report {
    Answered,
    Failed,
    Lost,
    /// The time per token, in microseconds.
    Interval(u64),
}

/// A report on its way to the analysis.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// When the analysis gets it.
    due_at: u64,
    engine: usize,
    route: usize,
    /// The number of requests that the engine ran when this one started, itself included.
    running: u32,
    report: Report,
}

/// A request in progress.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    engine: usize,
    route: usize,
    running_at_start: u32,
    token_us: u64,
    is_packed: bool,
}

/// The state of a trial during the simulation.
struct Trial {
    scenario: Scenario,
    fleet: SimulatedFleet,
    rollouts: Rollouts,
    record: VersionRollout,
    record_since: u64,
    /// Records that are not in force yet, each with the time from which it will be.
    pending_records: VecDeque<(u64, VersionRollout)>,
    analysis: CanaryAnalysis,
    samples: VecDeque<Sample>,
    /// The requests in progress by the time at which they end.
    running: BTreeMap<u64, Vec<RunningRequest>>,
    rng: Rng,
    outcome: TrialOutcome,
}

/// Simulates one trial.
pub fn simulate(scenario: &Scenario, seed: u64) -> TrialOutcome {
    let mut rng = Rng::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0x5851_F42D);
    (0..8).for_each(|_| {
        rng.next_u64();
    });
    let fleet = SimulatedFleet::new(scenario, &mut rng);
    let mut trial = Trial {
        scenario: *scenario,
        fleet,
        rollouts: Rollouts::default(),
        record: VersionRollout::first(SERVICE, "v2", scenario.duration_ms),
        record_since: 0,
        pending_records: VecDeque::new(),
        analysis: CanaryAnalysis::new(),
        samples: VecDeque::new(),
        running: BTreeMap::new(),
        rng,
        outcome: TrialOutcome { state: RolloutState::Active, candidate_requests: 0, requests: 0 },
    };
    trial.run();
    trial.outcome
}

impl Trial {
    fn run(&mut self) {
        let mut due_requests = 0.0;
        for tick in 0..(WARM_UP_MS + self.scenario.duration_ms) / TICK_MS {
            let now = tick * TICK_MS;
            self.finish_requests(now);
            due_requests += self.scenario.fleet.requests_per_s * TICK_MS as f64 / 1000.0;
            // Arrivals are irregular: a tick starts a random part of the requests due and leaves the rest to the next
            // ones.
            let started = (due_requests * 2.0 * uniform(&mut self.rng)).min(due_requests) as u64;
            (0..started).for_each(|_| self.start_request(now));
            due_requests -= started as f64;
            self.record_due_samples(now);
            if now >= WARM_UP_MS && now.is_multiple_of(ANALYSIS_INTERVAL_MS) {
                self.advance_rollout(now - WARM_UP_MS, now);
            }
            self.apply_due_records(now);
        }
    }

    fn start_request(&mut self, now: u64) {
        let route = usize::from(uniform(&mut self.rng) >= FIRST_ROUTE_SHARE);
        let tokens = self.draw_tokens(route);
        let service = self.fleet.engine_table.service_index(SERVICE);
        self.rollouts.record_output(service, tokens);
        let load_test_need = self.selection_context(now, Arm::Candidate(CandidatePlacement::Spread)).load_test_need();
        let profile = RequestProfile {
            random: self.rng.next_u64(),
            max_output_tokens: tokens,
            expected_ms: (f64::from(tokens) * EXPECTED_TOKEN_MS + EXPECTED_MARGIN_MS) as u64,
            holds_lease: true,
            exposure_share: EXPOSURE_SHARE,
            load_test_need,
        };
        let arm = self.rollouts.select_variant(service, &profile, now);
        let engine = self.select_engine(arm, now);
        if now >= WARM_UP_MS {
            self.outcome.requests += 1;
            self.outcome.candidate_requests += u64::from(arm.is_candidate());
        }
        let is_packed = matches!(arm, Arm::Candidate(CandidatePlacement::Packed { .. }));
        self.send(engine, route, tokens, is_packed, now);
    }

    fn draw_tokens(&mut self, route: usize) -> u32 {
        // The sum of six uniform numbers, scaled by the root of 2, is about standard normal. The output is log-normal:
        // 0.7 is the standard deviation of its logarithm, and 0.245 = 0.7² / 2 keeps the mean at `MEAN_TOKENS`.
        let normal = (0..6).map(|_| uniform(&mut self.rng)).sum::<f64>() - 3.0;
        let log_deviation = 0.7 * normal * 2.0_f64.sqrt();
        (MEAN_TOKENS[route] * (log_deviation - 0.245).exp()).clamp(4.0, MAX_TOKENS) as u32
    }

    fn selection_context(&self, now: u64, arm: Arm) -> SelectionContext<'_> {
        SelectionContext {
            engine_table: &self.fleet.engine_table,
            now,
            service: 0,
            zone: 0,
            excluded_zones: &[],
            tried_engines: &[],
            router_count: 1,
            cold_engine_rate: 0.0,
            weight_versions: None,
            is_confirmed: true,
            arm,
        }
    }

    /// Selects the engine of a request: the less loaded of two drawn from the candidates that `arm` allows.
    fn select_engine(&mut self, arm: Arm, now: u64) -> usize {
        let candidates = self.selection_context(now, arm).candidates(Phase::Decode);
        let drawn = [(); 2].map(|()| candidates[self.rng.below(candidates.len() as u64) as usize]);
        let least_loaded = drawn.into_iter().min_by_key(|engine| self.fleet.engines[*engine].running);
        least_loaded.unwrap_or(candidates[0])
    }

    fn send(&mut self, engine: usize, route: usize, tokens: u32, is_packed: bool, now: u64) {
        let elapsed_ms = now.saturating_sub(WARM_UP_MS);
        let result = self.fleet.draw_result(engine, route, tokens, elapsed_ms, &mut self.rng);
        self.fleet.engines[engine].running += 1;
        let running = self.fleet.engines[engine].running;
        self.report_load(engine, now);
        let report = match result {
            RequestResult::Failed => Report::Failed,
            RequestResult::Lost => Report::Lost,
            RequestResult::Complete { .. } => Report::Answered,
        };
        self.samples.push_back(Sample { due_at: now + SAMPLE_DELAY_MS, engine, route, running, report });
        let RequestResult::Complete { after_ms, token_us } = result else {
            self.fleet.engines[engine].running -= 1;
            return;
        };
        let request = RunningRequest { engine, route, running_at_start: running, token_us, is_packed };
        self.running.entry(now + after_ms as u64).or_default().push(request);
    }

    fn report_load(&mut self, engine: usize, now: u64) {
        let load_report = format!("{},0,{}", self.fleet.engines[engine].running, self.scenario.fleet.slots);
        self.fleet.engine_table.record_reported_load(engine, &load_report, now);
    }

    fn finish_requests(&mut self, now: u64) {
        let unfinished = self.running.split_off(&(now + 1));
        let finished = mem::replace(&mut self.running, unfinished);
        for request in finished.into_values().flatten() {
            self.fleet.engines[request.engine].running -= 1;
            self.report_load(request.engine, now);
            if !request.is_packed {
                self.samples.push_back(Sample {
                    due_at: now + SAMPLE_DELAY_MS,
                    engine: request.engine,
                    route: request.route,
                    running: request.running_at_start,
                    report: Report::Interval(request.token_us),
                });
            }
        }
    }

    fn record_due_samples(&mut self, now: u64) {
        while self.samples.front().is_some_and(|sample| sample.due_at <= now) {
            let Some(sample) = self.samples.pop_front() else { return };
            self.record_sample(&sample, now);
        }
    }

    fn record_sample(&mut self, sample: &Sample, now: u64) {
        let ablation = self.scenario.ablation;
        let engine = &self.fleet.engines[sample.engine];
        if ablation == Ablation::NoBaseline && !engine.is_candidate {
            return;
        }
        let is_engine_identified = !(ablation == Ablation::EnginesNotToldApart && engine.is_candidate);
        let id_hash = self.fleet.engine_table.engines[engine.table_index].id_hash;
        let reports_load = ablation != Ablation::NoLoad;
        let running = if reports_load { sample.running } else { 0 };
        let origin = SampleOrigin {
            route: ROUTES[sample.route],
            variant: if engine.is_candidate { Variant::Candidate } else { Variant::Stable },
            engine: if is_engine_identified { id_hash } else { 0 },
            zone: ZONES[engine.zone],
            load: LoadClass::of(running, self.scenario.fleet.slots),
        };
        let mut batch = SampleBatch::default();
        match sample.report {
            Report::Answered => batch.succeeded = 1,
            Report::Failed => batch.failed = 1,
            Report::Lost => batch.lost = 1,
            Report::Interval(interval_us) => {
                batch.event_intervals.push(EventInterval { running, interval_us, is_cold: false });
            }
        }
        self.analysis.record(&origin, &batch, now);
    }

    /// Judges the candidate and takes the next step of the schedule if one is due.
    fn advance_rollout(&mut self, elapsed_ms: u64, now: u64) {
        if self.record.state != RolloutState::Active {
            return;
        }
        let verdict: Verdict = self.analysis.verdict();
        let schedule = RolloutSchedule { duration_ms: self.scenario.duration_ms, exposure_share: EXPOSURE_SHARE };
        let next = match schedule.next_step(self.record.share, now - self.record_since, elapsed_ms, verdict) {
            RolloutStep::Hold => return,
            RolloutStep::SetShare(share) => VersionRollout { share, ..self.record.clone() },
            RolloutStep::Complete => VersionRollout { state: RolloutState::Complete, ..self.record.clone() },
            RolloutStep::RollBack => VersionRollout { state: RolloutState::Reverted, share: 0, ..self.record.clone() },
        };
        self.record = VersionRollout { number: self.record.number + 1, elapsed_ms, ..next };
        self.record_since = now;
        self.outcome.state = self.record.state;
        self.pending_records.push_back((now + RECORD_DELAY_MS, self.record.clone()));
    }

    fn apply_due_records(&mut self, now: u64) {
        while self.pending_records.front().is_some_and(|(in_force_at, _)| *in_force_at <= now) {
            let Some((_, record)) = self.pending_records.pop_front() else { return };
            let service = self.fleet.engine_table.service_index(SERVICE);
            // A router derives the start of the rollout from the record's age, so it sees the start late by the delay.
            self.rollouts.insert_if_newer(service, record, now);
        }
    }
}
