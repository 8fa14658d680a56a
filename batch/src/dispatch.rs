//! Which jobs an owner sends next, and how urgent they are.

/// How urgent the jobs of a batch are. Interactive requests always go first at the engines; the urgency decides only how much
/// idle capacity an engine must have before a job is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Only engines with much idle capacity get jobs.
    Background,
    /// The end of the window is near: engines with less idle capacity get jobs too.
    DeadlineNear,
}

/// Share of a window, at its end, in which its jobs are urgent.
const DEADLINE_NEAR_SHARE: f64 = 0.25;

/// One batch as its owner sees it.
pub struct BatchView<'a> {
    /// The batch's id.
    pub batch_id: &'a str,
    /// What is left of the window, in milliseconds.
    pub remaining_ms: u64,
    /// The window, in milliseconds.
    pub window_ms: u64,
    /// Indices of the jobs that wait and are not in flight.
    pub waiting: Vec<usize>,
}

/// A job to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The batch's id.
    pub batch_id: String,
    /// The job's index in the batch.
    pub job: usize,
    /// How urgent it is.
    pub urgency: Urgency,
}

/// Returns the urgency of a batch's jobs from its remaining time and its window, in milliseconds.
pub fn urgency(remaining_ms: u64, window_ms: u64) -> Urgency {
    if (remaining_ms as f64) < DEADLINE_NEAR_SHARE * window_ms as f64 {
        return Urgency::DeadlineNear;
    }
    Urgency::Background
}

/// Returns at most `free` jobs to send: those of the batch whose window ends first come first, then by id.
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
