//! An off-peak run in a small simulated fleet: halls with engines, interactive work that comes and
//! goes, a batch that fills what is idle, halls that leave, owners that crash or freeze. Seeded and in
//! virtual time: the same input gives the same report.

use std::collections::BTreeSet;
use std::mem;

use kernel::Rng;

use crate::page::{Page, State};
use crate::turn::{self, Pace, Press, View};
use crate::PAGE;

pub use crate::rehearsal::{plan, Plan, Report};

enum Work {
    Errand { born: u64 },
    Job { at: usize, owner: usize },
}

struct Run {
    ends: u64,
    work: Work,
}

struct Engine {
    hall: usize,
    up: bool,
    running: Vec<Run>,
}

/// Invariant: an owner acts only under the epoch with which it claimed the pages.
struct Owner {
    epoch: u64,
    asleep_until: u64,
    dead: bool,
    under_way: BTreeSet<usize>,
    mail: Vec<(usize, bool)>,
    pace: Pace,
}

struct World<'a> {
    plan: &'a Plan,
    now: u64,
    dice: Rng,
    engines: Vec<Engine>,
    pages: Vec<Page>,
    owners: Vec<Owner>,
    runs: Vec<usize>,
    receipts: Vec<usize>,
    next_owner: Option<u64>,
    waits: Vec<u64>,
    report: Report,
}

/// Runs the plan; `with` says whether the batch is there at all.
pub fn run(plan: &Plan, with: bool) -> Report {
    let engines =
        (0..plan.halls * plan.engines).map(|at| Engine { hall: at % plan.halls, up: true, running: Vec::new() });
    let pages = (0..plan.jobs).step_by(PAGE).map(|first| Page::new((plan.jobs - first).min(PAGE)));
    let mut world = World {
        plan,
        now: 0,
        dice: Rng::new(plan.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
        engines: engines.collect(),
        pages: pages.collect(),
        owners: Vec::new(),
        runs: vec![0; plan.jobs],
        receipts: vec![0; plan.jobs],
        next_owner: with.then_some(0),
        waits: Vec::new(),
        report: Report::default(),
    };
    let end = plan.window_ms + 20 * plan.lease_ms;
    while world.now < end {
        world.step();
    }
    world.close()
}

impl World<'_> {
    fn repeatable(&self, job: usize) -> bool {
        self.plan.once_every == 0 || !job.is_multiple_of(self.plan.once_every)
    }

    fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        for (time, hall) in self.plan.leave.clone() {
            if time == now {
                self.leave(hall);
            }
        }
        if self.plan.lose_router.contains(&now) {
            self.cut(2);
        }
        if self.plan.kill_all.contains(&now) {
            self.cut(1);
        }
        if self.plan.crash.contains(&now) || self.plan.kill_all.contains(&now) {
            if let Some(owner) = self.owners.last_mut() {
                owner.dead = true;
                self.next_owner = Some(now + self.plan.lease_ms);
            }
        }
        for (time, span) in self.plan.freeze.clone() {
            if let (true, Some(owner)) = (time == now, self.owners.last_mut()) {
                owner.asleep_until = now + span;
                self.next_owner = Some(now + self.plan.lease_ms);
            }
        }
        if self.next_owner == Some(now) || (now == 1 && self.next_owner == Some(0)) {
            self.next_owner = None;
            self.claim();
        }
        let chance = (self.plan.rate * 1000.0) as u64;
        if self.dice.below(1_000_000) < chance {
            self.errand(now);
        }
        for at in 0..self.engines.len() {
            while let Some(run) = self.engines[at].running.iter().position(|run| run.ends <= now) {
                let run = self.engines[at].running.swap_remove(run);
                self.end(run.work, true);
            }
        }
        for owner in 0..self.owners.len() {
            self.act(owner);
        }
    }

    fn end(&mut self, work: Work, whole: bool) {
        match work {
            Work::Errand { born } if whole => self.waits.push(self.now - born),
            Work::Errand { born } => self.errand(born),
            Work::Job { at, owner } => {
                let owner = &mut self.owners[owner];
                if !owner.dead {
                    owner.mail.push((at, whole));
                }
            }
        }
    }

    fn errand(&mut self, born: u64) {
        let up = self.engines.iter().enumerate().filter(|(_, engine)| engine.up);
        let Some((at, _)) = up.min_by_key(|(_, engine)| engine.running.len()) else { return };
        // Interactive work takes a place whatever runs there; jobs are the ones that are slowed.
        let ahead = self.engines[at].running.iter().filter(|run| matches!(run.work, Work::Errand { .. })).count();
        let jobs = self.engines[at].running.len() - ahead;
        let crowd = (ahead as f64 + 0.1 * jobs as f64) / self.plan.slots as f64;
        let ends = self.now + (self.plan.work_ms as f64 * (1.0 + crowd)) as u64;
        self.engines[at].running.push(Run { ends, work: Work::Errand { born } });
    }

    fn claim(&mut self) {
        let epoch = self.owners.len() as u64 + 1;
        for first in 0..self.pages.len() {
            let once = self.plan.once_every;
            let before = self.pages[first].clone();
            let again = |at: usize| once == 0 || !(first * PAGE + at).is_multiple_of(once);
            let _ = self.pages[first].claim(epoch, again);
            for (at, state) in self.pages[first].states.iter().enumerate() {
                if state.closed() && !before.states[at].closed() {
                    self.receipts[first * PAGE + at] += 1;
                }
            }
        }
        let pace = Pace::new(self.plan.slots * self.plan.halls);
        self.owners.push(Owner {
            epoch,
            asleep_until: 0,
            dead: false,
            under_way: Default::default(),
            mail: Vec::new(),
            pace,
        });
    }

    /// A receipt is written only if the page lets it.
    fn receipt(&mut self, owner: usize, job: usize, state: State) {
        let epoch = self.owners[owner].epoch;
        if state == (State::Done { status: 200, body: String::new() }) && self.runs[job] == 0 {
            self.report.invented += 1;
        }
        if self.pages[job / PAGE].close(job % PAGE, epoch, state).is_ok() {
            self.receipts[job] += 1;
            self.report.last_ms = self.now;
        }
    }

    fn act(&mut self, at: usize) {
        if self.owners[at].dead || self.now < self.owners[at].asleep_until {
            return;
        }
        for (job, whole) in mem::take(&mut self.owners[at].mail) {
            self.owners[at].under_way.remove(&job);
            if whole {
                self.receipt(at, job, State::Done { status: 200, body: String::new() });
                self.owners[at].pace.good();
            } else if self.repeatable(job) {
                let epoch = self.owners[at].epoch;
                let _ = self.pages[job / PAGE].unrun(job % PAGE, epoch);
            } else {
                self.receipt(at, job, State::Unknown);
            }
        }
        let left_ms = self.plan.window_ms.saturating_sub(self.now);
        let epoch = self.owners[at].epoch;
        let waiting = |job: &usize| {
            let page = &self.pages[job / PAGE];
            page.epoch == epoch && page.states[job % PAGE] == State::Waiting
        };
        let waiting: Vec<usize> = (0..self.plan.jobs).filter(waiting).collect();
        if left_ms == 0 {
            waiting.into_iter().for_each(|job| self.receipt(at, job, State::Missed));
            return;
        }
        let free = self.owners[at].pace.free(self.owners[at].under_way.len(), self.now);
        let view = View { id: "b", left_ms, window_ms: self.plan.window_ms, waiting };
        for send in turn::next(&[view], free) {
            self.send(at, send);
        }
    }

    fn send(&mut self, at: usize, send: turn::Send) {
        let share = if send.press == Press::Near { 0.75 } else { 0.5 };
        let room = (self.plan.slots as f64 * share) as usize;
        let fit = self.engines.iter().enumerate().filter(|(_, engine)| engine.up && engine.running.len() < room);
        let Some((place, _)) = fit.min_by_key(|(_, engine)| engine.running.len()) else {
            self.report.refused += 1;
            let now = self.now;
            return self.owners[at].pace.refused(None, now);
        };
        let (page, slot, epoch) = (send.job / PAGE, send.job % PAGE, self.owners[at].epoch);
        // Durable before it is sent.
        if self.pages[page].begin(slot, epoch).is_err() {
            return;
        }
        self.runs[send.job] += 1;
        self.owners[at].under_way.insert(send.job);
        let crowd = self.engines[place].running.len() as f64 / self.plan.slots as f64;
        let ends = self.now + (self.plan.job_ms as f64 * (1.0 + crowd)) as u64;
        self.engines[place].running.push(Run { ends, work: Work::Job { at: send.job, owner: at } });
    }
}

#[path = "offpeak_end.rs"]
mod end;
