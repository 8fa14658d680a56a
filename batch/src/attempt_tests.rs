//! A simulation of successive owners of one page. Register rounds have unknown outcomes, owners freeze between a check
//! and a send and lose their role without noticing, and requests are lost, answered or rejected. A job that may not be
//! repeated must never run twice, and no final state may be changed or invented.

use kernel::Rng;

use super::{state_after, AttemptOutcome, MAX_ATTEMPTS};
use crate::{JobPage, JobState, PageError};

const JOBS: usize = 6;
const OWNERS: usize = 3;

/// The stage of one attempt.
enum Stage {
    /// The start is durable and was written under the owner's epoch. The owner may freeze here for any length of time.
    Sending,
    /// The job's state after the attempt must be written.
    Finishing(JobState),
}

struct Attempt {
    job: usize,
    epoch: u64,
    stage: Stage,
}

#[derive(Default)]
struct Owner {
    epoch: u64,
    claimed: bool,
    attempts: Vec<Attempt>,
}

struct Simulation {
    rng: Rng,
    page: JobPage,
    owners: Vec<Owner>,
    epoch: u64,
    /// Executions, by job.
    runs: [u32; JOBS],
    /// Attempts with an unknown outcome, by job.
    unknown_counts: [u32; JOBS],
    /// Defect: sends a job although the outcome of the round that wrote its start is unknown.
    sends_after_unknown_start: bool,
    /// Jobs that may not be repeated and ran twice.
    run_twice: u32,
    answered: u32,
}

/// Odd jobs may not be repeated.
fn repeatable(job: usize) -> bool {
    job.is_multiple_of(2)
}

impl Simulation {
    fn new(seed: u64, sends_after_unknown_start: bool) -> Simulation {
        Simulation {
            rng: Rng::new(seed.wrapping_mul(0x9E37_79B9)),
            page: JobPage::new(JOBS),
            owners: (0..OWNERS).map(|_| Owner::default()).collect(),
            epoch: 0,
            runs: [0; JOBS],
            unknown_counts: [0; JOBS],
            sends_after_unknown_start,
            run_twice: 0,
            answered: 0,
        }
    }

    /// Changes the page in one register round. `None`: the outcome is unknown, and the change may or may not be
    /// applied.
    fn change(&mut self, apply: impl FnOnce(&mut JobPage) -> Result<(), PageError>) -> Option<bool> {
        let before = self.page.clone();
        let round_outcome = self.rng.below(5);
        if round_outcome == 0 {
            return None;
        }
        let is_accepted = apply(&mut self.page).is_ok();
        for (old, new) in before.states.iter().zip(&self.page.states) {
            assert!(!old.is_final() || old == new, "a final state was changed");
        }
        assert!(self.page.epoch >= before.epoch);
        (round_outcome != 1).then_some(is_accepted)
    }

    fn step(&mut self) {
        let owner = self.rng.below(OWNERS as u64) as usize;
        match self.rng.below(8) {
            0 if self.rng.below(6) == 0 => self.acquire_role(owner),
            0 | 1 => self.claim(owner),
            2 | 3 => self.start_attempt(owner),
            _ => self.advance_attempt(owner),
        }
    }

    fn acquire_role(&mut self, owner: usize) {
        self.epoch += 1;
        self.owners[owner].epoch = self.epoch;
        self.owners[owner].claimed = false;
    }

    fn claim(&mut self, owner: usize) {
        let epoch = self.owners[owner].epoch;
        if epoch == 0 || self.owners[owner].claimed {
            return;
        }
        let claim = |page: &mut JobPage| match page.epoch == epoch {
            true => Ok(()),
            false => page.claim(epoch, repeatable),
        };
        self.owners[owner].claimed = self.change(claim) == Some(true);
    }

    fn start_attempt(&mut self, owner: usize) {
        let (epoch, job) = (self.owners[owner].epoch, self.rng.below(JOBS as u64) as usize);
        let is_in_flight = self.owners[owner].attempts.iter().any(|attempt| attempt.job == job);
        if !self.owners[owner].claimed || is_in_flight || self.page.states[job] != JobState::Waiting {
            return;
        }
        let stage = match self.change(|page| page.start(job, epoch)) {
            Some(false) => return,
            Some(true) => Stage::Sending,
            None if self.sends_after_unknown_start => Stage::Sending,
            None => Stage::Finishing(JobState::Waiting),
        };
        self.owners[owner].attempts.push(Attempt { job, epoch, stage });
    }

    fn advance_attempt(&mut self, owner: usize) {
        if self.owners[owner].attempts.is_empty() {
            return;
        }
        let index = self.rng.below(self.owners[owner].attempts.len() as u64) as usize;
        let Attempt { job, epoch, stage } = self.owners[owner].attempts.swap_remove(index);
        match stage {
            Stage::Sending => {
                let state = self.send(job);
                self.owners[owner].attempts.push(Attempt { job, epoch, stage: Stage::Finishing(state) });
            }
            Stage::Finishing(state) => {
                if self.change(|page| page.finish(job, epoch, state.clone())).is_none() {
                    self.owners[owner].attempts.push(Attempt { job, epoch, stage: Stage::Finishing(state) });
                }
            }
        }
    }

    fn send(&mut self, job: usize) -> JobState {
        let (runs, outcome) = match self.rng.below(6) {
            0 => (false, AttemptOutcome::NotExecuted { retry_after_ms: None }),
            1 => (false, AttemptOutcome::Unknown),
            2 => (true, AttemptOutcome::Unknown),
            _ => (true, AttemptOutcome::Completed { status: 200, body: String::new() }),
        };
        self.runs[job] += u32::from(runs);
        self.run_twice += u32::from(runs && !repeatable(job) && self.runs[job] == 2);
        self.unknown_counts[job] += u32::from(outcome == AttemptOutcome::Unknown);
        self.answered += u32::from(matches!(outcome, AttemptOutcome::Completed { .. }));
        state_after(outcome, repeatable(job), self.unknown_counts[job])
    }

    /// Returns the number of jobs that have a response but never ran.
    fn responses_without_run(&self) -> usize {
        let states = self.page.states.iter().zip(self.runs);
        states.filter(|(state, runs)| matches!(state, JobState::Completed { .. }) && *runs == 0).count()
    }
}

fn run(seed: u64, sends_after_unknown_start: bool) -> Simulation {
    let mut simulation = Simulation::new(seed, sends_after_unknown_start);
    simulation.acquire_role(0);
    for _ in 0..3000 {
        simulation.step();
    }
    simulation
}

#[test]
fn a_job_that_may_not_be_repeated_never_runs_twice() {
    let (mut answered, mut finished) = (0, 0);
    for seed in 1..=500 {
        let simulation = run(seed, false);
        assert_eq!((simulation.run_twice, simulation.responses_without_run()), (0, 0), "seed {seed}");
        answered += simulation.answered;
        finished += simulation.page.states.iter().filter(|state| state.is_final()).count();
    }
    assert!(answered > 1000 && finished > 2800, "too little progress: {answered} responses, {finished} final states");
}

#[test]
fn sending_after_a_start_with_unknown_outcome_is_detected() {
    assert!((1..=500).any(|seed| run(seed, true).run_twice > 0), "no seed detects the defect");
}

#[test]
fn only_a_repeatable_job_waits_again_after_an_unknown_outcome() {
    assert_eq!(state_after(AttemptOutcome::Unknown, false, 1), JobState::OutcomeUnknown);
    assert_eq!(state_after(AttemptOutcome::Unknown, true, MAX_ATTEMPTS - 1), JobState::Waiting);
    assert_eq!(state_after(AttemptOutcome::Unknown, true, MAX_ATTEMPTS), JobState::DeadlineMissed);
    assert_eq!(state_after(AttemptOutcome::NotExecuted { retry_after_ms: Some(5) }, false, 0), JobState::Waiting);
}
