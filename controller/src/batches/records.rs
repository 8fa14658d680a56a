//! Keys and lookups of committed batches and of the pages that store their job states.

use batch::{Batch, JobPage, JOBS_PER_PAGE};
use kernel::settings::Settings;

use crate::replication::committed_state::CommittedState;

/// The prefix of the keys of all batches and pages.
pub const KEY_PREFIX: &str = "batch/";

/// Converts MiB to bytes and takes an eighth of them, the share of the machine's memory or disk that batches may use.
const CAPACITY_SHIFT: u32 = 20 - 3;

/// Returns the key of one page of a batch's jobs.
pub fn page_key(id: &str, page: usize) -> String {
    format!("{KEY_PREFIX}{id}/{page}")
}

/// Returns the key of a batch.
pub fn batch_key(id: &str) -> String {
    format!("{KEY_PREFIX}{id}")
}

/// Returns the committed state of a batch.
pub fn batch(state: &CommittedState, id: &str) -> Option<Batch> {
    Batch::from_bytes(&state.entries.get(&batch_key(id))?.body)
}

/// Returns the committed state of a page. In a page that was never written all jobs are waiting.
pub fn page(state: &CommittedState, id: &str, batch: &Batch, number: usize) -> JobPage {
    let stored = state.entries.get(&page_key(id, number)).and_then(|entry| JobPage::from_bytes(&entry.body));
    stored.unwrap_or_else(|| blank_page(batch, number))
}

/// Returns the committed states of all pages of a batch.
pub fn pages<'a>(state: &'a CommittedState, id: &'a str, batch: &'a Batch) -> impl Iterator<Item = JobPage> + 'a {
    (0..batch.page_count()).map(move |number| page(state, id, batch, number))
}

/// Returns a page in which all jobs are waiting.
pub fn blank_page(batch: &Batch, number: usize) -> JobPage {
    JobPage::new(batch.jobs.len().saturating_sub(number * JOBS_PER_PAGE).min(JOBS_PER_PAGE))
}

/// Returns the ids of all batches that have not expired.
pub fn ids(state: &CommittedState) -> Vec<String> {
    let keys = state.entries.keys().filter_map(|key| key.strip_prefix(KEY_PREFIX));
    let ids = keys.filter(|rest| !rest.contains('/')).map(str::to_string);
    ids.filter(|id| batch(state, id).is_some_and(|batch| !batch.expired)).collect()
}

/// Returns how many bytes batches may use, on disk as well as in memory: a share of the smaller limit of the two.
pub fn capacity_bytes(settings: &Settings) -> usize {
    let memory_mb = settings.limits.memory_mb;
    let disk_mb = if settings.limits.disk_mb == 0 { memory_mb / 2 } else { settings.limits.disk_mb };
    (disk_mb.min(memory_mb) as usize) << CAPACITY_SHIFT
}
