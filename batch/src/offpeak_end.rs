//! What a run came to.

impl super::World<'_> {
    pub fn close(mut self) -> super::Report {
        for state in self.pages.iter().flat_map(|page| &page.states) {
            match state {
                crate::page::State::Done { .. } => self.report.done += 1,
                crate::page::State::Unknown => self.report.unknown += 1,
                crate::page::State::Missed | crate::page::State::Cancelled => self.report.missed += 1,
                _ => self.report.open += 1,
            }
        }
        self.report.twice_answered = self.receipts.iter().filter(|count| **count > 1).count();
        let once = |job: &usize| !self.repeatable(*job) && self.runs[*job] > 1;
        self.report.twice_run = (0..self.plan.jobs).filter(once).count();
        self.waits.sort_unstable();
        let at = |share: f64| self.waits.get((self.waits.len() as f64 * share) as usize).copied().unwrap_or(0);
        (self.report.p50_ms, self.report.p99_ms, self.report.served) = (at(0.5), at(0.99), self.waits.len());
        self.report
    }
}
