//! A batch as submitted: read, checked, and named by its idempotency key.

use std::collections::{BTreeMap, HashSet};

use kernel::hashing;

use crate::{BYTES, JOBS, KEEP_MS, NAME, PAGE, WINDOW_MAX_S};

#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Job {
    pub name: String,
    pub method: String,
    pub host: String,
    pub path: String,
    pub head: Vec<(String, String)>,
    pub body: String,
    /// May it run more than once? Taken from its route when the batch was submitted.
    pub repeatable: bool,
}

/// What the key of a batch holds. Invariants: `jobs` and `digest` never change once written; a batch
/// that was cancelled or has expired never becomes live again; `spent_ms` never falls.
#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Batch {
    pub key: String,
    pub digest: u64,
    pub window_ms: u64,
    /// Steady time spent so far, as the owners counted it.
    pub spent_ms: u64,
    pub cancelled: bool,
    pub expired: bool,
    pub jobs: Vec<Job>,
}

#[derive(serde::Deserialize)]
struct Sent {
    window_s: Option<f64>,
    #[serde(default)]
    jobs: Vec<SentJob>,
}

#[derive(serde::Deserialize)]
struct SentJob {
    #[serde(default)]
    name: String,
    #[serde(default = "post")]
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

fn post() -> String {
    "POST".into()
}

/// Headers that the system sets itself.
const OWN: [&str; 10] = [
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
pub type Route<'a> = &'a dyn Fn(&str, &str) -> Option<bool>;

/// Reads a submission. Nothing of it is taken on an error, which names the job.
pub fn read(key: &str, text: &str, route: Route) -> Result<Batch, String> {
    if key.is_empty() || key.len() > 128 || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("Idempotency-Key: missing, over 128 bytes or not plain text".into());
    }
    let sent: Sent = serde_json::from_str(text).map_err(|error| format!("batch: {error}"))?;
    let window = sent.window_s.unwrap_or(0.0);
    if !(window > 0.0 && window <= WINDOW_MAX_S as f64) {
        return Err(format!("window_s: found {window}, allowed: above 0, up to {}", WINDOW_MAX_S));
    }
    if sent.jobs.is_empty() || sent.jobs.len() > JOBS {
        return Err(format!("jobs: found {}, allowed: 1 to {}", sent.jobs.len(), JOBS));
    }
    let mut names = HashSet::new();
    let mut jobs = Vec::with_capacity(sent.jobs.len());
    let mut bytes = 0;
    for (at, job) in sent.jobs.into_iter().enumerate() {
        let flaw = |words: String| Err(format!("job `{}` (number {at}): {words}", job.name));
        if job.name.is_empty() || job.name.len() > NAME {
            return flaw(format!("name missing or over {} bytes", NAME));
        }
        if !names.insert(job.name.clone()) {
            return flaw("name used twice".into());
        }
        if !job.path.starts_with('/') || !["GET", "POST", "PUT"].contains(&job.method.as_str()) {
            return flaw("path not from a slash on, or method not GET, POST or PUT".into());
        }
        if let Some((name, _)) = job.headers.iter().find(|(name, _)| OWN.contains(&name.to_ascii_lowercase().as_str()))
        {
            return flaw(format!("header `{name}` is set by the system"));
        }
        let Some(repeatable) = route(&job.hostname, &job.path) else {
            return flaw(format!("no route for {}{}", job.hostname, job.path));
        };
        bytes += job.body.len() + job.path.len();
        bytes += job.headers.iter().map(|(name, value)| name.len() + value.len()).sum::<usize>();
        if bytes > BYTES {
            return flaw(format!("the batch is over {} bytes here", BYTES));
        }
        jobs.push(Job {
            name: job.name,
            method: job.method,
            host: job.hostname,
            path: job.path,
            head: job.headers.into_iter().collect(),
            body: job.body,
            repeatable,
        });
    }
    let digest = hashing::hash(text.as_bytes());
    Ok(Batch { key: key.into(), digest, window_ms: (window * 1000.0) as u64, jobs, ..Batch::default() })
}

/// The id of a batch: from its key alone, so that one key is one batch.
pub fn id(key: &str) -> String {
    format!("{:016x}", hashing::hash(key.as_bytes()))
}

impl Batch {
    pub fn pages(&self) -> usize {
        self.jobs.len().div_ceil(PAGE)
    }

    pub fn left_ms(&self) -> u64 {
        self.window_ms.saturating_sub(self.spent_ms)
    }

    /// Counts steady time on top of what its owner saw; a batch that has all its receipts expires once it
    /// was kept long enough. Only its key stays, so that it is never used for other content. False: what
    /// the owner saw is out of date, as when a change without clear outcome had been carried out: the
    /// same time must not count twice.
    pub fn tick(&mut self, seen_ms: u64, spent_ms: u64, done: bool) -> bool {
        if seen_ms != self.spent_ms {
            return false;
        }
        self.spent_ms += spent_ms;
        if done && self.spent_ms >= self.window_ms + KEEP_MS {
            self.expired = true;
            self.jobs.clear();
        }
        true
    }

    pub fn bytes(&self) -> usize {
        self.jobs.iter().map(|job| job.body.len() + job.path.len() + job.name.len()).sum()
    }
}

#[cfg(test)]
#[path = "sheet_tests.rs"]
mod tests;
