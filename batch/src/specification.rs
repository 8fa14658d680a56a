//! Parsing and validation of batch submissions, and the errors that operators see.

use std::collections::{BTreeMap, HashSet};

use kernel::hashing;
use serde::Deserialize;
use thiserror::Error;

use crate::{Batch, Job, MAX_BATCH_BYTES, MAX_JOBS, MAX_JOB_NAME_BYTES, MAX_WINDOW_S};

/// A submission in JSON. serde puts the type's name into error messages that operators see, so the name is part of the
/// interface.
#[derive(Deserialize)]
struct Sent {
    window_s: Option<f64>,
    #[serde(default)]
    jobs: Vec<SentJob>,
}

/// A job of a submission. Like [`Sent`], its name is part of the interface.
#[derive(Deserialize)]
struct SentJob {
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

/// Headers that the system sets; a job may not set them.
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

/// HTTP methods that a job may use.
const METHODS: [&str; 3] = ["GET", "POST", "PUT"];
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// Why a submission is rejected. Operators see the message.
#[derive(Debug, Error)]
pub enum SpecificationError {
    /// The idempotency key is missing, too long or not printable ASCII.
    #[error("Idempotency-Key: missing, over {MAX_KEY_BYTES} bytes or not plain text")]
    InvalidIdempotencyKey,
    /// The body is not valid JSON or has fields of the wrong type.
    #[error("batch: {0}")]
    Json(#[from] serde_json::Error),
    /// The window is not positive or too long.
    #[error("window_s: found {found_s}, allowed: above 0, up to {MAX_WINDOW_S}")]
    WindowOutOfRange {
        /// The submitted window in seconds; 0 if it is missing.
        found_s: f64,
    },
    /// There are no jobs or too many.
    #[error("jobs: found {found}, allowed: 1 to {MAX_JOBS}")]
    JobCountOutOfRange {
        /// Number of jobs submitted.
        found: usize,
    },
    /// One job violates a rule.
    #[error("job `{name}` (number {index}): {error}")]
    InvalidJob {
        /// The job's name, as submitted.
        name: String,
        /// The job's index, from 0.
        index: usize,
        /// The rule that the job violates.
        error: JobError,
    },
}

/// The rule that a job violates.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JobError {
    /// The name is empty or too long.
    #[error("name missing or over {MAX_JOB_NAME_BYTES} bytes")]
    NameLength,
    /// An earlier job has the same name.
    #[error("name used twice")]
    DuplicateName,
    /// The path is not absolute, or the method is not allowed.
    #[error("path not from a slash on, or method not GET, POST or PUT")]
    PathOrMethod,
    /// The job sets a header that only the system may set.
    #[error("header `{name}` is set by the system")]
    ReservedHeader {
        /// The header's name, as submitted.
        name: String,
    },
    /// No route has this hostname and path.
    #[error("no route for {hostname}{path}")]
    NoRoute {
        /// The job's hostname.
        hostname: String,
        /// The job's path.
        path: String,
    },
    /// The batch exceeds its maximum size with this job.
    #[error("the batch is over {MAX_BATCH_BYTES} bytes here")]
    BatchTooLarge,
}

/// Looks up the route for a hostname and path. Returns `None` if there is no route, else whether its requests may be
/// repeated.
pub type RouteLookup<'a> = &'a dyn Fn(&str, &str) -> Option<bool>;

/// Parses and validates the batch that an operator submitted under an idempotency key.
///
/// # Errors
///
/// The first rule that the submission violates.
pub fn parse(key: &str, text: &str, route: RouteLookup) -> Result<Batch, SpecificationError> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(SpecificationError::InvalidIdempotencyKey);
    }
    let submission: Sent = serde_json::from_str(text)?;
    let window_s = submission.window_s.unwrap_or(0.0);
    if !(window_s > 0.0 && window_s <= MAX_WINDOW_S as f64) {
        return Err(SpecificationError::WindowOutOfRange { found_s: window_s });
    }
    let jobs = check_jobs(submission.jobs, route)?;
    let digest = hashing::hash(text.as_bytes());
    Ok(Batch { idempotency_key: key.into(), digest, window_ms: (window_s * MS_PER_S) as u64, jobs, ..Batch::default() })
}

fn check_jobs(submitted_jobs: Vec<SentJob>, route: RouteLookup) -> Result<Vec<Job>, SpecificationError> {
    if submitted_jobs.is_empty() || submitted_jobs.len() > MAX_JOBS {
        return Err(SpecificationError::JobCountOutOfRange { found: submitted_jobs.len() });
    }
    let mut checker = JobChecker { route, seen_names: HashSet::new(), size_bytes: 0 };
    let mut jobs = Vec::with_capacity(submitted_jobs.len());
    for (index, job) in submitted_jobs.into_iter().enumerate() {
        match checker.check(&job) {
            Ok(repeatable) => jobs.push(job.into_job(repeatable)),
            Err(error) => return Err(SpecificationError::InvalidJob { name: job.name, index, error }),
        }
    }
    Ok(jobs)
}

/// Validates jobs one after another, with the names and total size of those checked so far.
struct JobChecker<'a> {
    route: RouteLookup<'a>,
    seen_names: HashSet<String>,
    size_bytes: usize,
}

impl JobChecker<'_> {
    /// Returns whether the job may be repeated, or the first rule that it violates.
    fn check(&mut self, job: &SentJob) -> Result<bool, JobError> {
        if job.name.is_empty() || job.name.len() > MAX_JOB_NAME_BYTES {
            return Err(JobError::NameLength);
        }
        if !self.seen_names.insert(job.name.clone()) {
            return Err(JobError::DuplicateName);
        }
        if !job.path.starts_with('/') || !METHODS.contains(&job.method.as_str()) {
            return Err(JobError::PathOrMethod);
        }
        if let Some(name) = job.reserved_header() {
            return Err(JobError::ReservedHeader { name: name.into() });
        }
        let Some(repeatable) = (self.route)(&job.hostname, &job.path) else {
            return Err(JobError::NoRoute { hostname: job.hostname.clone(), path: job.path.clone() });
        };
        self.size_bytes += job.size_bytes();
        if self.size_bytes > MAX_BATCH_BYTES {
            return Err(JobError::BatchTooLarge);
        }
        Ok(repeatable)
    }
}

impl SentJob {
    fn reserved_header(&self) -> Option<&str> {
        let mut names = self.headers.keys();
        names.find(|name| RESERVED_HEADERS.contains(&name.to_ascii_lowercase().as_str())).map(String::as_str)
    }

    fn size_bytes(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len()).sum::<usize>();
        self.body.len() + self.path.len() + headers
    }

    fn into_job(self, repeatable: bool) -> Job {
        Job {
            name: self.name,
            method: self.method,
            host: self.hostname,
            path: self.path,
            headers: self.headers.into_iter().collect(),
            body: self.body,
            repeatable,
        }
    }
}

#[cfg(test)]
#[path = "specification_tests.rs"]
mod tests;
