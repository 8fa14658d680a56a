//! Selection of the jobs that an owner sends next, and their urgency.

/// The urgency of a batch's jobs. Engines always serve interactive requests first; the urgency decides only how much
/// idle capacity an engine must have before a job is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Jobs are sent only to engines with much idle capacity.
    Background,
    /// The end of the window is near: jobs are also sent to engines with less idle capacity.
    DeadlineNear,
}

/// Share of the window, at its end, in which the urgency is [`Urgency::DeadlineNear`].
const DEADLINE_NEAR_SHARE: f64 = 0.25;

/// The owner's view of one batch.
pub struct BatchView<'a> {
    /// The batch's id.
    pub batch_id: &'a str,
    /// Remaining time of the window, in milliseconds.
    pub remaining_ms: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Indices of the waiting jobs that are not in flight.
    pub waiting: Vec<usize>,
}

/// A job to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The batch's id.
    pub batch_id: String,
    /// The job's index in the batch.
    pub job: usize,
    /// The job's urgency.
    pub urgency: Urgency,
}

/// Returns the urgency of a batch's jobs, given its remaining time and its window in milliseconds.
pub fn urgency(remaining_ms: u64, window_ms: u64) -> Urgency {
    if (remaining_ms as f64) < DEADLINE_NEAR_SHARE * window_ms as f64 {
        return Urgency::DeadlineNear;
    }
    Urgency::Background
}

/// Returns at most `free` jobs to send, ordered by the end of their batch's window, then by its id. Batches whose
/// window has ended are skipped.
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
