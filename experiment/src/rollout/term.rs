//! One term: requests arrive, versions and engines are chosen, samples are pooled and judged, and the share moves.

use std::collections::{BTreeMap, VecDeque};
use std::mem;

use kernel::Rng;
use load_balancing::{Arm, CandidatePlacement, Phase, SelectionContext};
use protocol::version_rollout::{RolloutState, VersionRollout};
use router::{RequestProfile, Rollouts};
use versions::{
    CanaryAnalysis, EventInterval, LoadClass, RolloutSchedule, RolloutStep, SampleBatch, SampleOrigin, Variant, Verdict,
};

use crate::rollout::fleet::{uniform, Ending, SimulatedFleet, SERVICE, ZONES};
use crate::rollout::{Ablation, Scenario};

/// The share of the requests of its term that a faulty version may have, and how many more.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
/// A step of the simulation.
const TICK_MS: u64 = 5;
/// How often controllers judge.
const JUDGING_INTERVAL_MS: u64 = 100;
/// How long a sample takes until it is judged, and a record until it is in force.
const SAMPLE_DELAY_MS: u64 = 200;
const RECORD_DELAY_MS: u64 = 100;
/// How long requests are served before the order.
const WARM_UP_MS: u64 = 4000;
/// Output of the requests of both routes: the mean, and the mean of the logarithm's spread.
const ROUTES: [&str; 2] = ["long", "short"];
const MEAN_TOKENS: [f64; 2] = [280.0, 50.0];
const MAX_TOKENS: f64 = 950.0;
/// The share of requests on the first route.
const FIRST_ROUTE_SHARE: f64 = 0.55;
/// How much longer a request is expected to take than it does at a mean load.
const EXPECTED_TOKEN_MS: f64 = 4.6;
const EXPECTED_MARGIN_MS: f64 = 150.0;

/// How a term ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TermOutcome {
    /// The state in which it ended.
    pub state: RolloutState,
    /// Requests that the candidate got within the term.
    pub candidate_requests: u64,
    /// Requests of the term.
    pub requests: u64,
}

impl TermOutcome {
    /// Returns whether the candidate had more requests than a faulty version may have.
    pub fn exceeds_exposure(&self) -> bool {
        self.candidate_requests as f64 > EXPOSURE_SHARE * self.requests as f64 + EXPOSURE_SLACK
    }
}

/// What a router reports of one request.
#[derive(Clone, Copy, Debug)]
enum Report {
    Answered,
    Failed,
    Lost,
    Interval(u64),
}

/// A report on its way.
#[derive(Clone, Copy, Debug)]
struct Sample {
    judged_at: u64,
    engine: usize,
    route: usize,
    running: u32,
    report: Report,
}

/// A request that runs.
#[derive(Clone, Copy, Debug)]
struct Running {
    engine: usize,
    route: usize,
    running_at_start: u32,
    token_us: u64,
    is_packed: bool,
}

/// A term while it is simulated.
struct Term {
    scenario: Scenario,
    fleet: SimulatedFleet,
    rollouts: Rollouts,
    record: VersionRollout,
    record_since: u64,
    /// Records that are not in force yet, with the time from which they are.
    pending: VecDeque<(u64, VersionRollout)>,
    analysis: CanaryAnalysis,
    samples: VecDeque<Sample>,
    running: BTreeMap<u64, Vec<Running>>,
    rng: Rng,
    outcome: TermOutcome,
}

/// Simulates one term.
pub fn simulate(scenario: &Scenario, seed: u64) -> TermOutcome {
    let mut rng = Rng::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0x5851_F42D);
    (0..8).for_each(|_| {
        rng.next_u64();
    });
    let fleet = SimulatedFleet::new(scenario, &mut rng);
    let mut term = Term {
        scenario: *scenario,
        fleet,
        rollouts: Rollouts::default(),
        record: VersionRollout::first(SERVICE, "v2", scenario.duration_ms),
        record_since: 0,
        pending: VecDeque::new(),
        analysis: CanaryAnalysis::new(),
        samples: VecDeque::new(),
        running: BTreeMap::new(),
        rng,
        outcome: TermOutcome { state: RolloutState::Active, candidate_requests: 0, requests: 0 },
    };
    term.run();
    term.outcome
}

impl Term {
    fn run(&mut self) {
        let mut arrivals = 0.0;
        for tick in 0..(WARM_UP_MS + self.scenario.duration_ms) / TICK_MS {
            let now = tick * TICK_MS;
            self.end_requests(now);
            arrivals += self.scenario.fleet.requests_per_s * TICK_MS as f64 / 1000.0;
            // Arrivals scatter: each tick has those that are due, spread over it and the next ones.
            let due = (arrivals * 2.0 * uniform(&mut self.rng)).min(arrivals) as u64;
            (0..due).for_each(|_| self.begin_request(now));
            arrivals -= due as f64;
            self.judge_samples(now);
            if now >= WARM_UP_MS && now.is_multiple_of(JUDGING_INTERVAL_MS) {
                self.step(now - WARM_UP_MS, now);
            }
            self.put_in_force(now);
        }
    }

    fn begin_request(&mut self, now: u64) {
        let route = usize::from(uniform(&mut self.rng) >= FIRST_ROUTE_SHARE);
        let tokens = self.draw_tokens(route);
        let service = self.fleet.engine_table.service_index(SERVICE);
        self.rollouts.record_output(service, tokens);
        let load_test_need = self.select(now, Arm::Candidate(CandidatePlacement::Spread)).load_test_need();
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
        let normal = (0..6).map(|_| uniform(&mut self.rng)).sum::<f64>() - 3.0;
        let spread = 0.7 * normal * 2.0_f64.sqrt();
        (MEAN_TOKENS[route] * (spread - 0.245).exp()).clamp(4.0, MAX_TOKENS) as u32
    }

    fn select(&self, now: u64, arm: Arm) -> SelectionContext<'_> {
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

    /// Returns the engine that a request goes to: the one that a placement names, or the less loaded one of two drawn.
    fn select_engine(&mut self, arm: Arm, now: u64) -> usize {
        let candidates = self.select(now, arm).candidates(Phase::Decode);
        let draws = [(); 2].map(|()| candidates[self.rng.below(candidates.len() as u64) as usize]);
        let least = draws.into_iter().min_by_key(|engine| self.fleet.engines[*engine].running);
        least.unwrap_or(candidates[0])
    }

    fn send(&mut self, engine: usize, route: usize, tokens: u32, is_packed: bool, now: u64) {
        let elapsed_ms = now.saturating_sub(WARM_UP_MS);
        let ending = self.fleet.ending(engine, route, tokens, elapsed_ms, &mut self.rng);
        self.fleet.engines[engine].running += 1;
        let running = self.fleet.engines[engine].running;
        self.report_load(engine, now);
        let report = match ending {
            Ending::Failed => Report::Failed,
            Ending::Lost => Report::Lost,
            Ending::Complete { .. } => Report::Answered,
        };
        self.samples.push_back(Sample { judged_at: now + SAMPLE_DELAY_MS, engine, route, running, report });
        let Ending::Complete { after_ms, token_us } = ending else {
            self.fleet.engines[engine].running -= 1;
            return;
        };
        let request = Running { engine, route, running_at_start: running, token_us, is_packed };
        self.running.entry(now + after_ms as u64).or_default().push(request);
    }

    fn report_load(&mut self, engine: usize, now: u64) {
        let text = format!("{},0,{}", self.fleet.engines[engine].running, self.scenario.fleet.slots);
        self.fleet.engine_table.record_reported_load(engine, &text, now);
    }

    fn end_requests(&mut self, now: u64) {
        let later = self.running.split_off(&(now + 1));
        let ended = mem::replace(&mut self.running, later);
        for request in ended.into_values().flatten() {
            self.fleet.engines[request.engine].running -= 1;
            self.report_load(request.engine, now);
            if !request.is_packed {
                self.samples.push_back(Sample {
                    judged_at: now + SAMPLE_DELAY_MS,
                    engine: request.engine,
                    route: request.route,
                    running: request.running_at_start,
                    report: Report::Interval(request.token_us),
                });
            }
        }
    }

    fn judge_samples(&mut self, now: u64) {
        while self.samples.front().is_some_and(|sample| sample.judged_at <= now) {
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
        let is_told_apart = !(ablation == Ablation::EnginesNotToldApart && engine.is_candidate);
        let id_hash = self.fleet.engine_table.engines[engine.table_index].id_hash;
        let tells_load = ablation != Ablation::NoLoad;
        let running = if tells_load { sample.running } else { 0 };
        let origin = SampleOrigin {
            route: ROUTES[sample.route],
            variant: if engine.is_candidate { Variant::Candidate } else { Variant::Stable },
            engine: if is_told_apart { id_hash } else { 0 },
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

    /// Judges the candidate and takes the step that is due.
    fn step(&mut self, elapsed_ms: u64, now: u64) {
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
        self.pending.push_back((now + RECORD_DELAY_MS, self.record.clone()));
    }

    fn put_in_force(&mut self, now: u64) {
        while self.pending.front().is_some_and(|(from, _)| *from <= now) {
            let Some((_, record)) = self.pending.pop_front() else { return };
            let service = self.fleet.engine_table.service_index(SERVICE);
            // A router takes the start from the record's age, so the delay is part of what it believes.
            self.rollouts.insert_if_newer(service, record, now);
        }
    }
}
