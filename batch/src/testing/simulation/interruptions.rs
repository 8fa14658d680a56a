//! What breaks off in a run, and what the run came to.

use std::mem;

use super::World;
use crate::testing::SimulationReport;
use crate::JobState;

impl World<'_> {
    /// Every so many of the streams under way breaks off without an answer; engines stay.
    pub fn cut(&mut self, every: usize) {
        let mut cut = Vec::new();
        for engine in &mut self.engines {
            let runs = mem::take(&mut engine.running);
            for (at, run) in runs.into_iter().enumerate() {
                if at.is_multiple_of(every) {
                    cut.push(run)
                } else {
                    engine.running.push(run)
                }
            }
        }
        cut.into_iter().for_each(|run| self.end(run.work, false));
    }

    /// A hall leaves service at once: what runs there breaks off without an answer.
    pub fn leave(&mut self, hall: usize) {
        let mut cut = Vec::new();
        for engine in self.engines.iter_mut().filter(|engine| engine.hall == hall) {
            engine.up = false;
            cut.append(&mut engine.running);
        }
        cut.into_iter().for_each(|run| self.end(run.work, false));
    }

    pub fn close(mut self) -> SimulationReport {
        for state in self.pages.iter().flat_map(|page| &page.states) {
            match state {
                JobState::Completed { .. } => self.report.completed += 1,
                JobState::OutcomeUnknown => self.report.unknown += 1,
                JobState::DeadlineMissed | JobState::Cancelled => self.report.deadline_missed += 1,
                _ => self.report.unfinished += 1,
            }
        }
        self.report.answered_twice = self.receipts.iter().filter(|count| **count > 1).count();
        let once = |job: &usize| !self.repeatable(*job) && self.runs[*job] > 1;
        self.report.run_twice = (0..self.plan.jobs).filter(once).count();
        self.waits.sort_unstable();
        let at = |share: f64| self.waits.get((self.waits.len() as f64 * share) as usize).copied().unwrap_or(0);
        (self.report.interactive_p50_ms, self.report.interactive_p99_ms, self.report.interactive_served) =
            (at(0.5), at(0.99), self.waits.len());
        self.report
    }
}
