//! The owner of the batch, which claims pages, dispatches jobs and writes their final states.

use std::collections::BTreeSet;
use std::mem;

use super::{Owner, Run, Simulation, Work};
use crate::{next_dispatches, BatchView, ConcurrencyLimit, Dispatch, JobState, Urgency, JOBS_PER_PAGE};

impl Simulation<'_> {
    pub(super) fn start_due_owner(&mut self) {
        let now = self.now;
        if self.next_owner == Some(now) || (now == 1 && self.next_owner == Some(0)) {
            self.next_owner = None;
            self.start_owner();
        }
    }

    fn start_owner(&mut self) {
        let epoch = self.owners.len() as u64 + 1;
        for page in 0..self.pages.len() {
            let every = self.plan.non_repeatable_every;
            let before = self.pages[page].clone();
            let repeatable = |index: usize| every == 0 || !(page * JOBS_PER_PAGE + index).is_multiple_of(every);
            let _ = self.pages[page].claim(epoch, repeatable);
            for (index, state) in self.pages[page].states.iter().enumerate() {
                if state.is_final() && !before.states[index].is_final() {
                    self.finish_counts[page * JOBS_PER_PAGE + index] += 1;
                }
            }
        }
        let limit = ConcurrencyLimit::new(self.plan.slots_per_engine * self.plan.zones);
        self.owners.push(Owner {
            epoch,
            frozen_until: 0,
            is_crashed: false,
            in_flight: BTreeSet::new(),
            results: Vec::new(),
            limit,
        });
    }

    /// Writes a job's final state if the page accepts it from this owner.
    fn finish_job(&mut self, owner: usize, job: usize, state: JobState) {
        let epoch = self.owners[owner].epoch;
        if state == (JobState::Completed { status: 200, body: String::new() }) && self.runs[job] == 0 {
            self.report.responses_without_run += 1;
        }
        if self.pages[job / JOBS_PER_PAGE].finish(job % JOBS_PER_PAGE, epoch, state).is_ok() {
            self.finish_counts[job] += 1;
            self.report.last_finish_ms = self.now;
        }
    }

    pub(super) fn run_owner(&mut self, owner: usize) {
        if self.owners[owner].is_crashed || self.now < self.owners[owner].frozen_until {
            return;
        }
        self.record_results(owner);
        let remaining_ms = self.plan.window_ms.saturating_sub(self.now);
        let epoch = self.owners[owner].epoch;
        let waiting = |job: &usize| {
            let page = &self.pages[job / JOBS_PER_PAGE];
            page.epoch == epoch && page.states[job % JOBS_PER_PAGE] == JobState::Waiting
        };
        let waiting: Vec<usize> = (0..self.plan.jobs).filter(waiting).collect();
        if remaining_ms == 0 {
            waiting.into_iter().for_each(|job| self.finish_job(owner, job, JobState::DeadlineMissed));
            return;
        }
        let free = self.owners[owner].limit.available(self.owners[owner].in_flight.len(), self.now);
        let view = BatchView { batch_id: "b", remaining_ms, window_ms: self.plan.window_ms, waiting };
        for dispatch in next_dispatches(&[view], free) {
            self.dispatch(owner, dispatch);
        }
    }

    fn record_results(&mut self, owner: usize) {
        for (job, is_answered) in mem::take(&mut self.owners[owner].results) {
            self.owners[owner].in_flight.remove(&job);
            if is_answered {
                self.finish_job(owner, job, JobState::Completed { status: 200, body: String::new() });
                self.owners[owner].limit.on_success();
            } else if self.repeatable(job) {
                let epoch = self.owners[owner].epoch;
                let _ = self.pages[job / JOBS_PER_PAGE].requeue(job % JOBS_PER_PAGE, epoch);
            } else {
                self.finish_job(owner, job, JobState::OutcomeUnknown);
            }
        }
    }

    fn dispatch(&mut self, owner: usize, dispatch: Dispatch) {
        let share = if dispatch.urgency == Urgency::DeadlineNear { 0.75 } else { 0.5 };
        let capacity = (self.plan.slots_per_engine as f64 * share) as usize;
        let idle =
            self.engines.iter().enumerate().filter(|(_, engine)| engine.is_up && engine.running.len() < capacity);
        let Some((engine, _)) = idle.min_by_key(|(_, engine)| engine.running.len()) else {
            self.report.rejected_dispatches += 1;
            let now = self.now;
            return self.owners[owner].limit.on_rejection(None, now);
        };
        let (page, slot, epoch) =
            (dispatch.job / JOBS_PER_PAGE, dispatch.job % JOBS_PER_PAGE, self.owners[owner].epoch);
        // The start must be durable before the job is sent.
        if self.pages[page].start(slot, epoch).is_err() {
            return;
        }
        self.runs[dispatch.job] += 1;
        self.owners[owner].in_flight.insert(dispatch.job);
        let slowdown = self.engines[engine].running.len() as f64 / self.plan.slots_per_engine as f64;
        let ends_at = self.now + (self.plan.job_ms as f64 * (1.0 + slowdown)) as u64;
        self.engines[engine].running.push(Run { ends_at, work: Work::Job { job: dispatch.job, owner } });
    }

    pub(super) fn repeatable(&self, job: usize) -> bool {
        self.plan.non_repeatable_every == 0 || !job.is_multiple_of(self.plan.non_repeatable_every)
    }
}
