//! The resources of batches: submission, state, results and cancellation. Reads return committed state.

use std::collections::BTreeMap;
use std::sync::Arc;

use batch::{
    batch_id, parse, Batch, Job, JobPage, JobState, JOBS_PER_PAGE, MAX_BATCHES, MAX_BATCH_BYTES, MAX_RESPONSE_BYTES,
};
use poem::{Endpoint, Request};
use protocol::config::{self, Config, Route};
use serde_json::Value;

use crate::api::operator_requests::request_timeout_ms;
use crate::api::request::read_text;
use crate::api::response::{ApiError, ApiResponse};
use crate::batches::records;
use crate::controller::Controller;
use crate::event::BATCH_ACCEPTED;
use crate::replication::committed_state::CommittedState;
use crate::replication::registers::Decision;

/// The largest body of a submission, in bytes: a parsed batch is smaller than its text.
const MAX_BODY_BYTES: usize = 2 * MAX_BATCH_BYTES;
/// The retry delay reported for a batch that exceeds the capacity, in ms.
const OVERLOAD_RETRY_AFTER_MS: u64 = 60_000;

/// The collection of batches: list all of them or submit one.
pub struct BatchCollection(pub Arc<Controller>);
/// One batch: read its state or cancel it.
pub struct BatchResource(pub Arc<Controller>);
/// The outcomes of a batch's jobs.
pub struct BatchResults(pub Arc<Controller>);

impl BatchCollection {
    async fn submit(&self, request: &mut Request) -> Result<ApiResponse, ApiError> {
        let controller = &self.0;
        let key = request.header("idempotency-key").unwrap_or("").to_string();
        let text = read_text(request, MAX_BODY_BYTES, &controller.memory).await?;
        let config = controller.committed.current_config();
        let config = config.ok_or_else(|| ApiError::conflict("no configuration yet, so there are no routes"))?;
        let route = |host: &str, path: &str| is_repeatable_route(config.config(), host, path);
        let batch = parse(&key, &text, &route).map_err(|error| ApiError::bad_request(error.to_string()))?;
        let id = batch_id(&key);
        if !has_capacity(controller, &id, &batch) {
            return Ok(ApiResponse::Overloaded { retry_after_ms: OVERLOAD_RETRY_AFTER_MS });
        }
        match commit(controller, &id, &batch).await {
            ApiResponse::Done => {
                kernel::log_event!(BATCH_ACCEPTED, "batch" => id.clone(), "jobs" => batch.jobs.len());
                Ok(ApiResponse::json(&serde_json::json!({ "batch": id, "jobs": batch.jobs.len() })))
            }
            response => Ok(response),
        }
    }

    fn list(&self) -> ApiResponse {
        let ids = self.0.committed.read(records::ids);
        ApiResponse::json(&serde_json::json!({ "batches": ids }))
    }
}

/// Returns whether requests on the route for a path may be repeated, or `None` if there is no route.
fn is_repeatable_route(config: &Config, host: &str, path: &str) -> Option<bool> {
    let host = config::without_port(host);
    let matches = |route: &&Route| route.hostname.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix);
    let route = config.route_table.iter().filter(matches).max_by_key(|route| route.path_prefix.len())?;
    let is_resumable = route.route_type == "streaming" && route.resumable;
    Some(route.route_type == "idempotent" || is_resumable)
}

/// Returns whether there is capacity for a batch. A batch that is already stored needs none.
fn has_capacity(controller: &Controller, id: &str, batch: &Batch) -> bool {
    let response_bytes = batch.jobs.len() * MAX_RESPONSE_BYTES;
    controller.committed.read(|state| {
        let ids = records::ids(state);
        if ids.iter().any(|stored_id| stored_id == id) {
            return true;
        }
        let stored = ids.iter().filter_map(|id| records::batch(state, id));
        let stored_bytes: usize = stored.map(|batch| batch.size_bytes()).sum();
        let needed_bytes = stored_bytes + batch.size_bytes() + response_bytes;
        ids.len() < MAX_BATCHES && needed_bytes <= records::capacity_bytes(&controller.settings)
    })
}

async fn commit(controller: &Controller, id: &str, batch: &Batch) -> ApiResponse {
    let body = batch.to_bytes();
    let decide = |stored: &[u8]| match Batch::from_bytes(stored) {
        Some(stored) if stored.expired => Decision::Answer(
            ApiError::conflict("Idempotency-Key: the batch with this key has expired; use another key").into(),
        ),
        Some(stored) if stored.digest == batch.digest => Decision::Answer(ApiResponse::Done),
        Some(_) => Decision::Answer(
            ApiError::conflict("Idempotency-Key: already used for a batch with different content").into(),
        ),
        None => Decision::Write(body.clone(), ApiResponse::Done),
    };
    let result = controller.change(&records::batch_key(id), request_timeout_ms(controller), decide).await;
    result.unwrap_or(ApiResponse::OutcomeUnknown)
}

fn unknown_batch(id: &str) -> ApiError {
    ApiError::not_found(format!("batch `{id}`: not found"))
}

impl BatchResource {
    fn state(&self, id: &str) -> Result<ApiResponse, ApiError> {
        self.0.committed.read(|state| {
            let batch = records::batch(state, id).ok_or_else(|| unknown_batch(id))?;
            Ok(ApiResponse::json(&batch_state(state, id, &batch)))
        })
    }

    async fn cancel(&self, id: &str) -> ApiResponse {
        let decide = |body: &[u8]| match Batch::from_bytes(body) {
            None => Decision::Answer(unknown_batch(id).into()),
            Some(batch) if batch.cancelled || batch.expired => Decision::Answer(ApiResponse::Done),
            Some(batch) => {
                let next = Batch { cancelled: true, ..batch };
                Decision::Write(next.to_bytes(), ApiResponse::Done)
            }
        };
        let result = self.0.change(&records::batch_key(id), request_timeout_ms(&self.0), decide).await;
        result.unwrap_or(ApiResponse::OutcomeUnknown)
    }
}

fn batch_state(state: &CommittedState, id: &str, batch: &Batch) -> Value {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for job in records::pages(state, id, batch).flat_map(|page| page.states) {
        *counts.entry(job.as_str()).or_default() += 1;
    }
    let unfinished = counts.get("waiting").unwrap_or(&0) + counts.get("running").unwrap_or(&0);
    let name = match (batch.expired, batch.cancelled, unfinished) {
        (true, _, _) => "expired",
        (_, true, _) => "cancelled",
        (_, _, 0) => "finished",
        _ => "open",
    };
    serde_json::json!({
        "batch": id, "state": name, "jobs": batch.jobs.len(), "counts": counts,
        "window_ms": batch.window_ms, "left_ms": batch.remaining_ms(),
    })
}

impl BatchResults {
    /// Returns the outcomes of the finished jobs.
    fn read(&self, id: &str) -> Result<ApiResponse, ApiError> {
        self.0.committed.read(|state| {
            let batch = records::batch(state, id).ok_or_else(|| unknown_batch(id))?;
            let pages = batch.jobs.chunks(JOBS_PER_PAGE).zip(records::pages(state, id, &batch));
            let outcomes: Vec<Value> = pages.flat_map(|(jobs, page)| page_outcomes(jobs, &page)).collect();
            Ok(ApiResponse::json(&serde_json::json!({ "batch": id, "receipts": outcomes })))
        })
    }
}

fn page_outcomes(jobs: &[Job], page: &JobPage) -> Vec<Value> {
    let finished = jobs.iter().zip(&page.states).filter(|(_, state)| state.is_final());
    finished.map(|(job, state)| job_outcome(&job.name, state)).collect()
}

fn job_outcome(name: &str, state: &JobState) -> Value {
    let mut outcome = serde_json::json!({ "name": name, "outcome": state.as_str() });
    if let JobState::Completed { status, body } = state {
        outcome["status"] = (*status).into();
        outcome["body"] = body.as_str().into();
    }
    outcome
}

impl Endpoint for BatchCollection {
    type Output = ApiResponse;

    async fn call(&self, mut request: Request) -> poem::Result<ApiResponse> {
        let response = match request.method().as_str() {
            "GET" => self.list(),
            "POST" => self.submit(&mut request).await.into(),
            _ => ApiError::method_not_allowed("method: GET or POST").into(),
        };
        Ok(response)
    }
}

impl Endpoint for BatchResource {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        let id = request.path_params::<String>().unwrap_or_default();
        let response = match request.method().as_str() {
            "GET" => self.state(&id).into(),
            "DELETE" => self.cancel(&id).await,
            _ => ApiError::method_not_allowed("method: GET or DELETE").into(),
        };
        Ok(response)
    }
}

impl Endpoint for BatchResults {
    type Output = ApiResponse;

    async fn call(&self, request: Request) -> poem::Result<ApiResponse> {
        let id = request.path_params::<String>().unwrap_or_default();
        Ok(self.read(&id).into())
    }
}
