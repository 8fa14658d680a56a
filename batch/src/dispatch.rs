//! What an owner does next: which jobs to send, how many at once, and how urgent they are.

/// How urgent the jobs of a batch are. Interactive work always goes first at the engines; `DeadlineNear` only means
/// that less spare room is asked for before a job is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    Background,
    DeadlineNear,
}

/// The last part of a window, in which its jobs are urgent.
const DEADLINE_NEAR_SHARE: f64 = 0.25;

/// One batch as its owner sees it.
pub struct BatchView<'a> {
    pub batch_id: &'a str,
    pub remaining_ms: u64,
    pub window_ms: u64,
    /// Jobs that wait, by number; those under way are not among them.
    pub waiting: Vec<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    pub batch_id: String,
    pub job: usize,
    pub urgency: Urgency,
}

pub fn urgency(remaining_ms: u64, window_ms: u64) -> Urgency {
    if (remaining_ms as f64) < DEADLINE_NEAR_SHARE * window_ms as f64 {
        return Urgency::DeadlineNear;
    }
    Urgency::Background
}

/// Fills the free slots: earliest end of window first, then by id.
pub fn next_dispatches(views: &[BatchView], free: usize) -> Vec<Dispatch> {
    let mut order: Vec<&BatchView> = views.iter().filter(|view| view.remaining_ms > 0).collect();
    order.sort_by_key(|view| (view.remaining_ms, view.batch_id.to_string()));
    let all = order.iter().flat_map(|view| {
        let urgency = urgency(view.remaining_ms, view.window_ms);
        view.waiting.iter().map(move |job| Dispatch { batch_id: view.batch_id.to_string(), job: *job, urgency })
    });
    all.take(free).collect()
}

/// How many jobs may be under way: one more for each that found room, fewer by a quarter after one that
/// was turned away; above what was left then, one more for each round only.
/// Invariant: 1 <= `limit` <= `max`.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    slow_growth_above: f64,
    max: f64,
    pub paused_until: u64,
}

/// How long nothing is sent after a refusal, unless the refusal says longer.
const MIN_PAUSE_MS: u64 = 300;
/// What is left of the limit after a refusal: enough to stand back, not to start anew.
const DECREASE_FACTOR: f64 = 0.75;

impl ConcurrencyLimit {
    pub fn new(max: usize) -> ConcurrencyLimit {
        ConcurrencyLimit { limit: 2.0, slow_growth_above: max as f64, max: max.max(1) as f64, paused_until: 0 }
    }

    pub fn available(&self, in_flight: usize, now: u64) -> usize {
        if now < self.paused_until {
            return 0;
        }
        (self.limit as usize).saturating_sub(in_flight)
    }

    pub fn on_success(&mut self) {
        let step = if self.limit < self.slow_growth_above { 1.0 } else { 1.0 / self.limit };
        self.limit = (self.limit + step).min(self.max);
    }

    pub fn on_rejection(&mut self, retry_after_ms: Option<u64>, now: u64) {
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
        self.slow_growth_above = self.limit;
        self.paused_until = self.paused_until.max(now + retry_after_ms.unwrap_or(MIN_PAUSE_MS).max(MIN_PAUSE_MS));
    }
}

#[cfg(test)]
#[path = "dispatch_tests.rs"]
mod tests;
