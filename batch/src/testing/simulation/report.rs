//! The report of a run.

use super::Simulation;
use crate::testing::SimulationReport;
use crate::JobState;

impl Simulation<'_> {
    pub(super) fn into_report(mut self) -> SimulationReport {
        for state in self.pages.iter().flat_map(|page| &page.states) {
            match state {
                JobState::Completed { .. } => self.report.completed += 1,
                JobState::OutcomeUnknown => self.report.unknown += 1,
                JobState::DeadlineMissed | JobState::Cancelled => self.report.deadline_missed += 1,
                _ => self.report.unfinished += 1,
            }
        }
        self.report.answered_twice = self.finish_counts.iter().filter(|count| **count > 1).count();
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
