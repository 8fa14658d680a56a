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

#[cfg(test)]
#[path = "dispatch_tests.rs"]
mod tests;
