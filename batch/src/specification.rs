//! A batch as submitted: read, checked, and named by its idempotency key.

use std::collections::{BTreeMap, HashSet};

use kernel::clock;

use crate::{JOBS_PER_PAGE, MAX_BATCH_BYTES, MAX_JOBS, MAX_JOB_NAME_BYTES, MAX_WINDOW_S, RETENTION_MS};

#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Job {
    pub name: String,
    pub method: String,
    pub host: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// May it run more than once? Taken from its route when the batch was submitted.
    pub repeatable: bool,
}

/// What the key of a batch holds. Invariants: `jobs` and `digest` never change once written; a batch
/// that was cancelled or has expired never becomes live again; `elapsed_ms` never falls.
#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Batch {
    pub idempotency_key: String,
    pub digest: u64,
    pub window_ms: u64,
    /// Steady time spent so far, as the owners counted it.
    pub elapsed_ms: u64,
    pub cancelled: bool,
    pub expired: bool,
    pub jobs: Vec<Job>,
}

#[derive(serde::Deserialize)]
#[serde(expecting = "struct Sent")]
struct BatchSpecification {
    window_s: Option<f64>,
    #[serde(default)]
    jobs: Vec<JobSpecification>,
}

#[derive(serde::Deserialize)]
#[serde(expecting = "struct SentJob")]
struct JobSpecification {
    #[serde(default)]
    name: String,
    #[serde(default = "default_method")]
    method: String,
    #[serde(default)]
    hostname: String,
    #[serde(default)]
    path: String,
    #[serde(default)]
    headers: BTreeMap<String, String>,
    #[serde(default)]
    body: String,
}

fn default_method() -> String {
    "POST".into()
}

/// Headers that the system sets itself.
const RESERVED_HEADERS: [&str; 10] = [
    "host",
    "attempt-id",
    "time-budget",
    "content-length",
    "transfer-encoding",
    "connection",
    "target-instance",
    "kv-source",
    "serving-phase",
    "urgency-class",
];

/// What a route says about a job: None without a route, else whether it may be repeated.
pub type RouteLookup<'a> = &'a dyn Fn(&str, &str) -> Option<bool>;

/// Reads a submission. Nothing of it is taken on an error, which names the job.
pub fn parse(key: &str, text: &str, route: RouteLookup) -> Result<Batch, String> {
    if key.is_empty() || key.len() > 128 || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("Idempotency-Key: missing, over 128 bytes or not plain text".into());
    }
    let specification: BatchSpecification = serde_json::from_str(text).map_err(|error| format!("batch: {error}"))?;
    let window_s = specification.window_s.unwrap_or(0.0);
    if !(window_s > 0.0 && window_s <= MAX_WINDOW_S as f64) {
        return Err(format!("window_s: found {window_s}, allowed: above 0, up to {}", MAX_WINDOW_S));
    }
    if specification.jobs.is_empty() || specification.jobs.len() > MAX_JOBS {
        return Err(format!("jobs: found {}, allowed: 1 to {}", specification.jobs.len(), MAX_JOBS));
    }
    let mut seen_names = HashSet::new();
    let mut jobs = Vec::with_capacity(specification.jobs.len());
    let mut size_bytes = 0;
    for (at, job) in specification.jobs.into_iter().enumerate() {
        let invalid = |message: String| Err(format!("job `{}` (number {at}): {message}", job.name));
        if job.name.is_empty() || job.name.len() > MAX_JOB_NAME_BYTES {
            return invalid(format!("name missing or over {} bytes", MAX_JOB_NAME_BYTES));
        }
        if !seen_names.insert(job.name.clone()) {
            return invalid("name used twice".into());
        }
        if !job.path.starts_with('/') || !["GET", "POST", "PUT"].contains(&job.method.as_str()) {
            return invalid("path not from a slash on, or method not GET, POST or PUT".into());
        }
        if let Some((name, _)) =
            job.headers.iter().find(|(name, _)| RESERVED_HEADERS.contains(&name.to_ascii_lowercase().as_str()))
        {
            return invalid(format!("header `{name}` is set by the system"));
        }
        let Some(repeatable) = route(&job.hostname, &job.path) else {
            return invalid(format!("no route for {}{}", job.hostname, job.path));
        };
        size_bytes += job.body.len() + job.path.len();
        size_bytes += job.headers.iter().map(|(name, value)| name.len() + value.len()).sum::<usize>();
        if size_bytes > MAX_BATCH_BYTES {
            return invalid(format!("the batch is over {} bytes here", MAX_BATCH_BYTES));
        }
        jobs.push(Job {
            name: job.name,
            method: job.method,
            host: job.hostname,
            path: job.path,
            headers: job.headers.into_iter().collect(),
            body: job.body,
            repeatable,
        });
    }
    let digest = clock::hash(text.as_bytes());
    Ok(Batch { idempotency_key: key.into(), digest, window_ms: (window_s * 1000.0) as u64, jobs, ..Batch::default() })
}

/// The id of a batch: from its key alone, so that one key is one batch.
pub fn batch_id(key: &str) -> String {
    format!("{:016x}", clock::hash(key.as_bytes()))
}

impl Batch {
    pub fn page_count(&self) -> usize {
        self.jobs.len().div_ceil(JOBS_PER_PAGE)
    }

    pub fn remaining_ms(&self) -> u64 {
        self.window_ms.saturating_sub(self.elapsed_ms)
    }

    /// Counts steady time on top of what its owner saw; a batch that has all its receipts expires once it
    /// was kept long enough. Only its key stays, so that it is never used for other content. False: what
    /// the owner saw is out of date, as when a change without clear outcome had been carried out: the
    /// same time must not count twice.
    pub fn add_elapsed(&mut self, expected_ms: u64, additional_ms: u64, is_finished: bool) -> bool {
        if expected_ms != self.elapsed_ms {
            return false;
        }
        self.elapsed_ms += additional_ms;
        if is_finished && self.elapsed_ms >= self.window_ms + RETENTION_MS {
            self.expired = true;
            self.jobs.clear();
        }
        true
    }

    pub fn size_bytes(&self) -> usize {
        self.jobs.iter().map(|job| job.body.len() + job.path.len() + job.name.len()).sum()
    }
}

#[cfg(test)]
#[path = "specification_tests.rs"]
mod tests;
