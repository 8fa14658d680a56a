//! What happens in a run, drawn from a seed.

use std::time::Duration;

use kernel::Rng;

/// The size of a run and its seed.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The same seed gives the same schedule.
    pub seed: u64,
    /// How many routers there are.
    pub routers: usize,
    /// How many controllers there are, all with a disk.
    pub controllers: usize,
    /// How many engines there are, half of them for prefill.
    pub engines: usize,
    /// How many clients send requests, each one after the other.
    pub clients: usize,
    /// How many applications add to tallies and read them.
    pub applications: usize,
    /// The grace period of a process in seconds.
    pub grace_s: f64,
    /// How long signals and changes come, counted from the moment at which all daemons serve.
    pub duration: Duration,
}

impl Scenario {
    /// Returns a run that takes about a quarter of a minute.
    pub fn short(seed: u64) -> Scenario {
        Scenario {
            seed,
            routers: 4,
            controllers: 3,
            engines: 4,
            clients: 40,
            applications: 4,
            grace_s: 4.0,
            duration: Duration::from_secs(14),
        }
    }
}

/// A daemon by its place among those of its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A router.
    Router(usize),
    /// A controller.
    Controller(usize),
}

/// One thing that happens to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// SIGTERM; the process is started again once it has ended.
    Terminate,
    /// SIGHUP.
    Reload,
}

/// An action with its time from the beginning of the run.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// When it happens.
    pub at: Duration,
    /// To whom.
    pub target: Target,
    /// What.
    pub action: Action,
}

/// Gaps between two events of a series, in milliseconds.
const GAPS_MS: [u64; 5] = [50, 200, 600, 1300, 2500];
/// The mean time between the beginnings of two series, in milliseconds.
const SERIES_MS: u64 = 1800;

/// Returns a number below `limit`.
pub fn below(rng: &mut Rng, limit: u64) -> u64 {
    rng.next_u64() % limit.max(1)
}

impl Scenario {
    /// Draws the events: series over a part of the daemons, at one pace each, which overlap.
    pub fn events(&self) -> Vec<Event> {
        let mut rng = Rng::new(self.seed);
        let end_ms = self.duration.as_millis() as u64;
        let mut events = Vec::new();
        let mut start_ms = 200;
        while start_ms < end_ms {
            self.add_series(&mut events, &mut rng, start_ms);
            start_ms += SERIES_MS / 2 + below(&mut rng, SERIES_MS);
        }
        events.retain(|event| event.at <= self.duration);
        events.sort_by_key(|event| event.at);
        events
    }

    fn add_series(&self, events: &mut Vec<Event>, rng: &mut Rng, start_ms: u64) {
        let gap_ms = GAPS_MS[below(rng, GAPS_MS.len() as u64) as usize];
        let length = 1 + below(rng, self.routers as u64);
        let is_on_controllers = below(rng, 4) == 0;
        let is_reload = below(rng, 3) == 0;
        let first = below(rng, (self.routers + self.controllers) as u64) as usize;
        for step in 0..length {
            let place = first + step as usize;
            let target = match is_on_controllers {
                true => Target::Controller(place % self.controllers),
                false => Target::Router(place % self.routers),
            };
            let at = Duration::from_millis(start_ms + step * gap_ms);
            // A reload is followed by SIGTERM in half of the cases, and SIGTERM by a second one or a reload in a few.
            let actions: &[Action] = match (is_reload, below(rng, 8)) {
                (true, 0..4) => &[Action::Reload, Action::Terminate],
                (true, _) => &[Action::Reload],
                (false, 0) => &[Action::Terminate, Action::Reload],
                (false, 1) => &[Action::Terminate, Action::Terminate],
                (false, _) => &[Action::Terminate],
            };
            for (index, action) in actions.iter().enumerate() {
                let at = at + Duration::from_millis(index as u64 * below(rng, 400));
                events.push(Event { at, target, action: *action });
            }
        }
    }
}

#[cfg(test)]
#[path = "scenario_tests.rs"]
mod tests;
