//! Sends a job to a router as one HTTP request and maps the response to an outcome.

use std::time::Duration;

use batch::{AttemptOutcome, Job, Urgency, MAX_RESPONSE_BYTES};
use http_calls::{CallError, Response};
use kernel::new_incarnation;
use protocol::headers::{ATTEMPT_ID, TIME_BUDGET};
use reqwest::{Client, Method, RequestBuilder};

/// The header that marks a request as deferrable for the router; it is not forwarded to engines.
const DEFERRABLE: &str = "deferrable";

/// Statuses of a router's response to a request that was not executed and never will be.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Statuses that do not tell whether the request was executed.
const UNKNOWN_OUTCOME_STATUSES: [u16; 3] = [500, 502, 504];

/// Sends a job to a router and returns the outcome. `remaining_ms` is the request timeout.
pub async fn send(client: &Client, router: &str, job: &Job, urgency: Urgency, remaining_ms: u64) -> AttemptOutcome {
    let Ok(method) = Method::from_bytes(job.method.as_bytes()) else {
        return AttemptOutcome::Completed { status: 400, body: String::new() };
    };
    let request = build_request(client, method, router, job, urgency, remaining_ms.max(1));
    let response = match http_calls::send(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return AttemptOutcome::NotExecuted { retry_after_ms: None },
        Err(_) => return AttemptOutcome::Unknown,
    };
    let status = response.status().as_u16();
    if NOT_EXECUTED_STATUSES.contains(&status) {
        return AttemptOutcome::NotExecuted { retry_after_ms: retry_after_ms(&response) };
    }
    if UNKNOWN_OUTCOME_STATUSES.contains(&status) {
        return AttemptOutcome::Unknown;
    }
    read_body(response).await
}

fn build_request(
    client: &Client,
    method: Method,
    router: &str,
    job: &Job,
    urgency: Urgency,
    remaining_ms: u64,
) -> RequestBuilder {
    let mut request = client
        .request(method, format!("http://{router}{}", job.path))
        .timeout(Duration::from_millis(remaining_ms))
        .header("host", &job.host)
        .header(ATTEMPT_ID, format!("{:016x}", new_incarnation()))
        .header(TIME_BUDGET, remaining_ms.to_string())
        .header(DEFERRABLE, if urgency == Urgency::DeadlineNear { "near" } else { "idle" });
    for (name, value) in &job.headers {
        request = request.header(name, value);
    }
    request.body(job.body.clone())
}

fn retry_after_ms(response: &Response) -> Option<u64> {
    let seconds: f64 = response.headers().get("retry-after")?.to_str().ok()?.parse().ok()?;
    Some((seconds * 1000.0) as u64)
}

async fn read_body(response: Response) -> AttemptOutcome {
    let status = response.status().as_u16();
    match response.read_body(MAX_RESPONSE_BYTES).await {
        Ok(body) => AttemptOutcome::Completed { status, body: String::from_utf8_lossy(&body).into_owned() },
        // A response that is too large to store is reported as such, since a truncated one would look complete.
        Err(CallError::BodyTooLarge { max_bytes }) => {
            AttemptOutcome::Completed { status: 507, body: format!("answer over {max_bytes} bytes") }
        }
        Err(_) => AttemptOutcome::Unknown,
    }
}
