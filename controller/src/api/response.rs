//! What the operators' interface answers, as values. One place writes them as HTTP responses and logs the failures.

use poem::http::header::{HeaderName, LOCATION, RETRY_AFTER};
use poem::http::{HeaderValue, StatusCode};
use poem::{IntoResponse, Response};
use protocol::operator_request::OperatorResponse;
use serde_json::Value;
use thiserror::Error;

use crate::event::{REFUSED, UNCLEAR};

/// Seconds after which a caller is to send a request of unknown outcome again.
const OUTCOME_UNKNOWN_RETRY_AFTER_S: &str = "0.3";

/// Why a request is rejected for good.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{status} {message}")]
pub struct ApiError {
    /// The HTTP status.
    pub status: u16,
    /// What was expected, what was found, and where.
    pub message: String,
}

impl ApiError {
    /// Returns an error of any status.
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

    /// Returns the error for a method that a resource does not have (405).
    pub fn method_not_allowed(message: impl Into<String>) -> ApiError {
        ApiError::new(405, message)
    }

    /// Returns the error for a request that the present state does not allow (409).
    pub fn conflict(message: impl Into<String>) -> ApiError {
        ApiError::new(409, message)
    }

    /// Returns the error for a request that builds on another version than the current one (412).
    pub fn precondition_failed(message: impl Into<String>) -> ApiError {
        ApiError::new(412, message)
    }

    /// Returns the error for a body that is too long (413).
    pub fn payload_too_large(message: impl Into<String>) -> ApiError {
        ApiError::new(413, message)
    }
}

/// The response to a call of the operators' interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiResponse {
    /// The request was carried out; there is nothing more to say.
    Done,
    /// A JSON text.
    Json(Vec<u8>),
    /// The request is rejected for good.
    Rejected(ApiError),
    /// There is no capacity for the request now.
    Overloaded {
        /// When it may be sent again, in ms.
        retry_after_ms: u64,
    },
    /// The request may have been carried out, or may yet be; it is to be sent again.
    OutcomeUnknown,
    /// Another controller is to be asked.
    Redirect {
        /// Host and port of that controller.
        address: String,
        /// The path to ask for.
        path: String,
    },
}

impl ApiResponse {
    /// Returns a response that consists of a JSON value.
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
    /// Converts the outcome of an operation. What a read found is converted by the resource, which knows its format.
    fn from(response: OperatorResponse) -> ApiResponse {
        match response {
            OperatorResponse::Done => ApiResponse::Done,
            OperatorResponse::Rejected { status, reason } => ApiError::new(status, reason).into(),
            OperatorResponse::Found { .. } | OperatorResponse::OutcomeUnknown => ApiResponse::OutcomeUnknown,
        }
    }
}

impl IntoResponse for ApiResponse {
    fn into_response(self) -> Response {
        match self {
            ApiResponse::Done => json_response(200, b"{}".to_vec()),
            ApiResponse::Json(body) => json_response(200, body),
            ApiResponse::Rejected(error) => {
                kernel::log_event!(REFUSED, "status" => error.status, "error" => error.message.clone());
                error_response(error.status, &error.message)
            }
            ApiResponse::Overloaded { retry_after_ms } => {
                let seconds = format!("{:.1}", retry_after_ms as f64 / 1000.0);
                with_header(error_response(503, "no room for it now"), RETRY_AFTER, &seconds)
            }
            ApiResponse::Redirect { address, path } => {
                with_header(json_response(307, b"{}".to_vec()), LOCATION, &format!("http://{address}{path}"))
            }
            ApiResponse::OutcomeUnknown => {
                kernel::log_event!(UNCLEAR);
                let response = error_response(503, "no majority answered in time");
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

/// Adds a header; a value that HTTP does not allow is left out.
fn with_header(mut response: Response, name: HeaderName, value: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
    response
}

#[cfg(test)]
#[path = "response_tests.rs"]
mod tests;
