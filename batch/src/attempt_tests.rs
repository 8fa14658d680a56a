//! Owners of one page whose rounds have unknown outcomes, who freeze between a check and a send, lose
//! their duty unawares, and whose requests are lost, answered or turned away: a job that may not be
//! repeated never runs twice, and no receipt is changed or invented.

use kernel::Rng;

use super::{state_after, Outcome, ATTEMPTS};
use crate::page::{Bar, Page, State};

const JOBS: usize = 6;
const OWNERS: usize = 3;

/// Where one attempt of an owner stands.
enum Stage {
    /// Durable; checked as the owner under its epoch. The owner may freeze here for any time.
    Sending,
    /// Its outcome must be written.
    Closing(State),
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

struct World {
    dice: Rng,
    page: Page,
    owners: Vec<Owner>,
    epoch: u64,
    runs: [u32; JOBS],
    lost: [u32; JOBS],
    /// A begin whose outcome is unknown counts as durable: the fault that the rule prevents.
    trusting: bool,
    twice: u32,
    answered: u32,
}

/// Odd jobs may not be repeated.
fn repeatable(job: usize) -> bool {
    job.is_multiple_of(2)
}

impl World {
    fn new(seed: u64, trusting: bool) -> World {
        World {
            dice: Rng::new(seed.wrapping_mul(0x9E37_79B9)),
            page: Page::new(JOBS),
            owners: (0..OWNERS).map(|_| Owner::default()).collect(),
            epoch: 0,
            runs: [0; JOBS],
            lost: [0; JOBS],
            trusting,
            twice: 0,
            answered: 0,
        }
    }

    /// A round of the register. None: its outcome is unknown, whether it was carried out or not.
    fn change(&mut self, act: impl FnOnce(&mut Page) -> Result<(), Bar>) -> Option<bool> {
        let before = self.page.clone();
        let fate = self.dice.below(5);
        if fate == 0 {
            return None;
        }
        let done = act(&mut self.page).is_ok();
        for (old, new) in before.states.iter().zip(&self.page.states) {
            assert!(!old.closed() || old == new, "a receipt was changed");
        }
        assert!(self.page.epoch >= before.epoch);
        (fate != 1).then_some(done)
    }

    fn step(&mut self) {
        let at = self.dice.below(OWNERS as u64) as usize;
        match self.dice.below(8) {
            0 if self.dice.below(6) == 0 => self.take_over(at),
            0 | 1 => self.claim(at),
            2 | 3 => self.begin(at),
            _ => self.go_on(at),
        }
    }

    fn take_over(&mut self, at: usize) {
        self.epoch += 1;
        self.owners[at].epoch = self.epoch;
        self.owners[at].claimed = false;
    }

    fn claim(&mut self, at: usize) {
        let epoch = self.owners[at].epoch;
        if epoch == 0 || self.owners[at].claimed {
            return;
        }
        let claim = |page: &mut Page| match page.epoch == epoch {
            true => Ok(()),
            false => page.claim(epoch, repeatable),
        };
        self.owners[at].claimed = self.change(claim) == Some(true);
    }

    fn begin(&mut self, at: usize) {
        let (epoch, job) = (self.owners[at].epoch, self.dice.below(JOBS as u64) as usize);
        let busy = self.owners[at].attempts.iter().any(|attempt| attempt.job == job);
        if !self.owners[at].claimed || busy || self.page.states[job] != State::Waiting {
            return;
        }
        let stage = match self.change(|page| page.begin(job, epoch)) {
            Some(false) => return,
            Some(true) => Stage::Sending,
            None if self.trusting => Stage::Sending,
            None => Stage::Closing(State::Waiting),
        };
        self.owners[at].attempts.push(Attempt { job, epoch, stage });
    }

    fn go_on(&mut self, at: usize) {
        if self.owners[at].attempts.is_empty() {
            return;
        }
        let place = self.dice.below(self.owners[at].attempts.len() as u64) as usize;
        let Attempt { job, epoch, stage } = self.owners[at].attempts.swap_remove(place);
        match stage {
            Stage::Sending => {
                let state = self.send(job);
                self.owners[at].attempts.push(Attempt { job, epoch, stage: Stage::Closing(state) });
            }
            Stage::Closing(state) => {
                if self.change(|page| page.close(job, epoch, state.clone())).is_none() {
                    self.owners[at].attempts.push(Attempt { job, epoch, stage: Stage::Closing(state) });
                }
            }
        }
    }

    fn send(&mut self, job: usize) -> State {
        let (runs, outcome) = match self.dice.below(6) {
            0 => (false, Outcome::NotRun { retry_after_ms: None }),
            1 => (false, Outcome::Lost),
            2 => (true, Outcome::Lost),
            _ => (true, Outcome::Answered { status: 200, body: String::new() }),
        };
        self.runs[job] += u32::from(runs);
        self.twice += u32::from(runs && !repeatable(job) && self.runs[job] == 2);
        self.lost[job] += u32::from(outcome == Outcome::Lost);
        self.answered += u32::from(matches!(outcome, Outcome::Answered { .. }));
        state_after(outcome, repeatable(job), self.lost[job])
    }

    /// Receipts that say `done` though nothing ran.
    fn invented(&self) -> usize {
        let states = self.page.states.iter().zip(self.runs);
        states.filter(|(state, runs)| matches!(state, State::Done { .. }) && *runs == 0).count()
    }
}

fn run(seed: u64, trusting: bool) -> World {
    let mut world = World::new(seed, trusting);
    world.take_over(0);
    for _ in 0..3000 {
        world.step();
    }
    world
}

#[test]
fn a_job_that_may_not_be_repeated_never_runs_twice() {
    let (mut answered, mut closed) = (0, 0);
    for seed in 1..=500 {
        let world = run(seed, false);
        assert_eq!((world.twice, world.invented()), (0, 0), "seed {seed}");
        answered += world.answered;
        closed += world.page.states.iter().filter(|state| state.closed()).count();
    }
    assert!(answered > 1000 && closed > 2800, "the world must get work done: {answered} answers, {closed} receipts");
}

#[test]
fn the_world_shows_the_fault_when_an_unknown_begin_counts_as_durable() {
    assert!((1..=500).any(|seed| run(seed, true).twice > 0), "a test that can't fail shows nothing");
}

#[test]
fn only_a_repeatable_job_waits_again_after_a_lost_attempt() {
    assert_eq!(state_after(Outcome::Lost, false, 1), State::Unknown);
    assert_eq!(state_after(Outcome::Lost, true, ATTEMPTS - 1), State::Waiting);
    assert_eq!(state_after(Outcome::Lost, true, ATTEMPTS), State::Missed);
    assert_eq!(state_after(Outcome::NotRun { retry_after_ms: Some(5) }, false, 0), State::Waiting);
}
