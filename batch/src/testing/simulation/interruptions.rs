//! What breaks off in a run, and what the run came to.

use std::mem;

use super::Simulation;
use crate::testing::SimulationReport;
use crate::JobState;

impl Simulation<'_> {
    /// Every so many of the streams under way breaks off without an answer; engines stay.
    pub fn break_streams(&mut self, every: usize) {
        let mut broken = Vec::new();
        for engine in &mut self.engines {
            let runs = mem::take(&mut engine.running);
            for (at, run) in runs.into_iter().enumerate() {
                if at.is_multiple_of(every) {
                    broken.push(run)
                } else {
                    engine.running.push(run)
                }
            }
        }
        broken.into_iter().for_each(|run| self.end_run(run.work, false));
    }

    /// A zone leaves service at once: what runs there breaks off without an answer.
    pub fn evacuate_zone(&mut self, zone: usize) {
        let mut broken = Vec::new();
        for engine in self.engines.iter_mut().filter(|engine| engine.zone == zone) {
            engine.is_up = false;
            broken.append(&mut engine.running);
        }
        broken.into_iter().for_each(|run| self.end_run(run.work, false));
    }

    pub fn into_report(mut self) -> SimulationReport {
        for state in self.pages.iter().flat_map(|page| &page.states) {
            match state {
                JobState::Completed { .. } => self.report.completed += 1,
                JobState::OutcomeUnknown => self.report.unknown += 1,
                JobState::DeadlineMissed | JobState::Cancelled => self.report.deadline_missed += 1,
                _ => self.report.unfinished += 1,
            }
        }
        self.report.answered_twice = self.final_results.iter().filter(|count| **count > 1).count();
        let ran_twice = |job: &usize| !self.repeatable(*job) && self.runs[*job] > 1;
        self.report.run_twice = (0..self.plan.jobs).filter(ran_twice).count();
        self.latencies_ms.sort_unstable();
        let quantile =
            |share: f64| self.latencies_ms.get((self.latencies_ms.len() as f64 * share) as usize).copied().unwrap_or(0);
        (self.report.interactive_p50_ms, self.report.interactive_p99_ms, self.report.interactive_served) =
            (quantile(0.5), quantile(0.99), self.latencies_ms.len());
        self.report
    }
}
