//! A simulation of owners of one page. Their rounds have unknown outcomes, they freeze between a check and a send, lose their
//! role without noticing, and their requests are lost, answered or rejected. A job that may not be repeated never runs twice,
//! and no final state is changed or invented.

use kernel::Rng;

use super::{state_after, AttemptOutcome, MAX_ATTEMPTS};
use crate::{JobPage, JobState, PageError};

const JOBS: usize = 6;
const OWNERS: usize = 3;

/// Where one attempt of an owner stands.
enum Stage {
    /// Durable; checked as the owner under its epoch. The owner may freeze here for any time.
    Sending,
    /// Its outcome must be written.
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
    runs: [u32; JOBS],
    lost: [u32; JOBS],
    /// A start whose outcome is unknown counts as durable: the fault that the rule prevents.
    trusts_unknown_starts: bool,
    run_twice: u32,
    answered: u32,
}

/// Odd jobs may not be repeated.
fn repeatable(job: usize) -> bool {
    job.is_multiple_of(2)
}

impl Simulation {
    fn new(seed: u64, trusts_unknown_starts: bool) -> Simulation {
        Simulation {
            rng: Rng::new(seed.wrapping_mul(0x9E37_79B9)),
            page: JobPage::new(JOBS),
            owners: (0..OWNERS).map(|_| Owner::default()).collect(),
            epoch: 0,
            runs: [0; JOBS],
            lost: [0; JOBS],
            trusts_unknown_starts,
            run_twice: 0,
            answered: 0,
        }
    }

    /// A round of the register. None: its outcome is unknown, whether it was carried out or not.
    fn change(&mut self, act: impl FnOnce(&mut JobPage) -> Result<(), PageError>) -> Option<bool> {
        let before = self.page.clone();
        let round_outcome = self.rng.below(5);
        if round_outcome == 0 {
            return None;
        }
        let done = act(&mut self.page).is_ok();
        for (old, new) in before.states.iter().zip(&self.page.states) {
            assert!(!old.is_final() || old == new, "a final state was changed");
        }
        assert!(self.page.epoch >= before.epoch);
        (round_outcome != 1).then_some(done)
    }

    fn step(&mut self) {
        let at = self.rng.below(OWNERS as u64) as usize;
        match self.rng.below(8) {
            0 if self.rng.below(6) == 0 => self.acquire_role(at),
            0 | 1 => self.claim(at),
            2 | 3 => self.start_attempt(at),
            _ => self.advance_attempt(at),
        }
    }

    fn acquire_role(&mut self, at: usize) {
        self.epoch += 1;
        self.owners[at].epoch = self.epoch;
        self.owners[at].claimed = false;
    }

    fn claim(&mut self, at: usize) {
        let epoch = self.owners[at].epoch;
        if epoch == 0 || self.owners[at].claimed {
            return;
        }
        let claim = |page: &mut JobPage| match page.epoch == epoch {
            true => Ok(()),
            false => page.claim(epoch, repeatable),
        };
        self.owners[at].claimed = self.change(claim) == Some(true);
    }

    fn start_attempt(&mut self, at: usize) {
        let (epoch, job) = (self.owners[at].epoch, self.rng.below(JOBS as u64) as usize);
        let is_in_flight = self.owners[at].attempts.iter().any(|attempt| attempt.job == job);
        if !self.owners[at].claimed || is_in_flight || self.page.states[job] != JobState::Waiting {
            return;
        }
        let stage = match self.change(|page| page.start(job, epoch)) {
            Some(false) => return,
            Some(true) => Stage::Sending,
            None if self.trusts_unknown_starts => Stage::Sending,
            None => Stage::Finishing(JobState::Waiting),
        };
        self.owners[at].attempts.push(Attempt { job, epoch, stage });
    }

    fn advance_attempt(&mut self, at: usize) {
        if self.owners[at].attempts.is_empty() {
            return;
        }
        let index = self.rng.below(self.owners[at].attempts.len() as u64) as usize;
        let Attempt { job, epoch, stage } = self.owners[at].attempts.swap_remove(index);
        match stage {
            Stage::Sending => {
                let state = self.send(job);
                self.owners[at].attempts.push(Attempt { job, epoch, stage: Stage::Finishing(state) });
            }
            Stage::Finishing(state) => {
                if self.change(|page| page.finish(job, epoch, state.clone())).is_none() {
                    self.owners[at].attempts.push(Attempt { job, epoch, stage: Stage::Finishing(state) });
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
        self.lost[job] += u32::from(outcome == AttemptOutcome::Unknown);
        self.answered += u32::from(matches!(outcome, AttemptOutcome::Completed { .. }));
        state_after(outcome, repeatable(job), self.lost[job])
    }

    /// Returns the number of responses of jobs that never ran.
    fn responses_without_run(&self) -> usize {
        let states = self.page.states.iter().zip(self.runs);
        states.filter(|(state, runs)| matches!(state, JobState::Completed { .. }) && *runs == 0).count()
    }
}

fn run(seed: u64, trusts_unknown_starts: bool) -> Simulation {
    let mut simulation = Simulation::new(seed, trusts_unknown_starts);
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
    assert!(
        answered > 1000 && finished > 2800,
        "the simulation must get work done: {answered} answers, {finished} final states"
    );
}

#[test]
fn the_simulation_shows_the_fault_when_an_unknown_start_counts_as_durable() {
    assert!((1..=500).any(|seed| run(seed, true).run_twice > 0), "a test that can't fail shows nothing");
}

#[test]
fn only_a_repeatable_job_waits_again_after_an_unknown_outcome() {
    assert_eq!(state_after(AttemptOutcome::Unknown, false, 1), JobState::OutcomeUnknown);
    assert_eq!(state_after(AttemptOutcome::Unknown, true, MAX_ATTEMPTS - 1), JobState::Waiting);
    assert_eq!(state_after(AttemptOutcome::Unknown, true, MAX_ATTEMPTS), JobState::DeadlineMissed);
    assert_eq!(state_after(AttemptOutcome::NotExecuted { retry_after_ms: Some(5) }, false, 0), JobState::Waiting);
}
