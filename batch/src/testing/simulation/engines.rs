//! Interactive requests on the engines, and the ends of runs.

use super::{Run, Simulation, Work};

impl Simulation<'_> {
    /// Starts an interactive request at random, at the plan's rate.
    pub(super) fn generate_interactive(&mut self) {
        let arrival_chance = (self.plan.interactive_per_s * 1000.0) as u64;
        if self.rng.below(1_000_000) < arrival_chance {
            self.start_interactive(self.now);
        }
    }

    pub(super) fn end_due_runs(&mut self) {
        let now = self.now;
        for engine in 0..self.engines.len() {
            while let Some(run) = self.engines[engine].running.iter().position(|run| run.ends_at <= now) {
                let run = self.engines[engine].running.swap_remove(run);
                self.end_run(run.work, true);
            }
        }
    }

    fn start_interactive(&mut self, received_at: u64) {
        let available = self.engines.iter().enumerate().filter(|(_, engine)| engine.is_up);
        let Some((index, _)) = available.min_by_key(|(_, engine)| engine.running.len()) else { return };
        // Interactive requests are always admitted; they slow jobs much more than jobs slow them.
        let interactive =
            self.engines[index].running.iter().filter(|run| matches!(run.work, Work::Interactive { .. })).count();
        let jobs = self.engines[index].running.len() - interactive;
        let slowdown = (interactive as f64 + 0.1 * jobs as f64) / self.plan.slots_per_engine as f64;
        let ends_at = self.now + (self.plan.interactive_ms as f64 * (1.0 + slowdown)) as u64;
        self.engines[index].running.push(Run { ends_at, work: Work::Interactive { received_at } });
    }

    pub(super) fn end_run(&mut self, work: Work, is_answered: bool) {
        match work {
            Work::Interactive { received_at } if is_answered => self.latencies_ms.push(self.now - received_at),
            Work::Interactive { received_at } => self.start_interactive(received_at),
            Work::Job { job, owner } => {
                let owner = &mut self.owners[owner];
                if !owner.is_crashed {
                    owner.results.push((job, is_answered));
                }
            }
        }
    }
}
