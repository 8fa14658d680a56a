//! The responses of the operators' interface as values. This module alone converts them to HTTP and logs failures.

use poem::http::header::{HeaderName, LOCATION, RETRY_AFTER};
use poem::http::{HeaderValue, StatusCode};
use poem::{IntoResponse, Response};
use protocol::operator_request::OperatorResponse;
use serde_json::Value;
use thiserror::Error;

use crate::event::{REQUEST_OUTCOME_UNKNOWN, REQUEST_REJECTED};

/// The status of a request for which there is no memory now.
const UNAVAILABLE_STATUS: u16 = 503;
/// The `Retry-After` of such a request, in seconds.
const UNAVAILABLE_RETRY_AFTER_S: &str = "0.3";
/// The `Retry-After` of a request of unknown outcome, in seconds.
const OUTCOME_UNKNOWN_RETRY_AFTER_S: &str = "0.3";

/// Why a request was not executed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{status} {message}")]
pub struct ApiError {
    /// The HTTP status.
    pub status: u16,
    /// Where the error is, what was found and what was expected.
    pub message: String,
}

impl ApiError {
    /// Returns an error with the given status.
    pub fn new(status: u16, message: impl Into<String>) -> ApiError {
        ApiError { status, message: message.into() }
    }

    /// Returns the error for a request that is malformed or asks for something invalid (400).
    pub fn bad_request(message: impl Into<String>) -> ApiError {
        ApiError::new(400, message)
    }

    /// Returns the error for a resource that does not exist (404).
    pub fn not_found(message: impl Into<String>) -> ApiError {
        ApiError::new(404, message)
    }

    /// Returns the error for a method that a resource does not support (405).
    pub fn method_not_allowed(message: impl Into<String>) -> ApiError {
        ApiError::new(405, message)
    }

    /// Returns the error for a request that the current state does not allow (409).
    pub fn conflict(message: impl Into<String>) -> ApiError {
        ApiError::new(409, message)
    }

    /// Returns the error for a request that does not build on the current version (412).
    pub fn precondition_failed(message: impl Into<String>) -> ApiError {
        ApiError::new(412, message)
    }

    /// Returns the error for a body that did not arrive in time (408).
    pub fn request_timeout(message: impl Into<String>) -> ApiError {
        ApiError::new(408, message)
    }

    /// Returns the error for a request for which there is no memory now (503).
    pub fn unavailable(message: impl Into<String>) -> ApiError {
        ApiError::new(UNAVAILABLE_STATUS, message)
    }

    /// Returns the error for a body that is too long (413).
    pub fn payload_too_large(message: impl Into<String>) -> ApiError {
        ApiError::new(413, message)
    }
}

/// The response to a request to the operators' interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiResponse {
    /// The request was executed; there is no further information.
    Done,
    /// A JSON text.
    Json(Vec<u8>),
    /// The request was not executed.
    Rejected(ApiError),
    /// There is currently no capacity for the request.
    Overloaded {
        /// The delay after which it may be retried, in ms.
        retry_after_ms: u64,
    },
    /// The request may have been executed, or may still be; the caller should retry it.
    OutcomeUnknown,
    /// The request must be sent to another controller.
    Redirect {
        /// The host and port of that controller.
        address: String,
        /// The path of the request there.
        path: String,
    },
}

impl ApiResponse {
    /// Returns a response with a JSON value as its body.
    pub fn json(value: &Value) -> ApiResponse {
        ApiResponse::Json(value.to_string().into_bytes())
    }
}

impl From<ApiError> for ApiResponse {
    fn from(error: ApiError) -> ApiResponse {
        ApiResponse::Rejected(error)
    }
}

impl From<Result<ApiResponse, ApiError>> for ApiResponse {
    fn from(result: Result<ApiResponse, ApiError>) -> ApiResponse {
        result.unwrap_or_else(ApiResponse::Rejected)
    }
}

impl From<OperatorResponse> for ApiResponse {
    /// Converts the outcome of an operation. `Found` is converted by the resource, which knows the format of the value.
    fn from(response: OperatorResponse) -> ApiResponse {
        match response {
            OperatorResponse::Done => ApiResponse::Done,
            OperatorResponse::Rejected { status, reason } => ApiError::new(status, reason).into(),
            OperatorResponse::Found { .. } | OperatorResponse::OutcomeUnknown => ApiResponse::OutcomeUnknown,
        }
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        ApiResponse::Rejected(self).into_response()
    }
}

impl IntoResponse for ApiResponse {
    fn into_response(self) -> Response {
        match self {
            ApiResponse::Done => json_response(200, b"{}".to_vec()),
            ApiResponse::Json(body) => json_response(200, body),
            ApiResponse::Rejected(error) => {
                kernel::log_event!(REQUEST_REJECTED, "status" => error.status, "error" => error.message.clone());
                let response = error_response(error.status, &error.message);
                match error.status {
                    UNAVAILABLE_STATUS => with_header(response, RETRY_AFTER, UNAVAILABLE_RETRY_AFTER_S),
                    _ => response,
                }
            }
            ApiResponse::Overloaded { retry_after_ms } => {
                let seconds = format!("{:.1}", retry_after_ms as f64 / 1000.0);
                with_header(error_response(503, "no capacity for this request now"), RETRY_AFTER, &seconds)
            }
            ApiResponse::Redirect { address, path } => {
                with_header(json_response(307, b"{}".to_vec()), LOCATION, &format!("http://{address}{path}"))
            }
            ApiResponse::OutcomeUnknown => {
                kernel::log_event!(REQUEST_OUTCOME_UNKNOWN);
                let response = error_response(503, "no quorum responded in time");
                with_header(response, RETRY_AFTER, OUTCOME_UNKNOWN_RETRY_AFTER_S)
            }
        }
    }
}

fn json_response(status: u16, body: Vec<u8>) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::builder().status(status).content_type("application/json").body(body)
}

fn error_response(status: u16, message: &str) -> Response {
    json_response(status, serde_json::json!({ "error": message }).to_string().into_bytes())
}

/// Adds a header, or leaves it out if HTTP does not allow its value.
fn with_header(mut response: Response, name: HeaderName, value: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
    response
}

#[cfg(test)]
#[path = "response_tests.rs"]
mod tests;
