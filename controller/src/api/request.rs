//! Reading requests to the operators' interface.

use poem::Request;

use crate::api::response::ApiError;

/// Reads the body of a request as text.
///
/// # Errors
///
/// Returns the error response if the body is incomplete, longer than `max_bytes` or not UTF-8.
pub async fn read_text(request: &mut Request, max_bytes: usize) -> Result<String, ApiError> {
    let body = request.take_body().into_bytes_limit(max_bytes).await;
    let body = body.map_err(|_| ApiError::payload_too_large(format!("body: incomplete or over {max_bytes} bytes")))?;
    into_text(body.to_vec())
}

/// Converts a body to text.
///
/// # Errors
///
/// Returns the error response if the body is not UTF-8.
pub fn into_text(body: Vec<u8>) -> Result<String, ApiError> {
    String::from_utf8(body).map_err(|_| ApiError::bad_request("body: not UTF-8"))
}

/// Returns the version in the `If-Match` header, if it is present and valid.
pub fn if_match(request: &Request) -> Option<u64> {
    request.header("if-match")?.trim().trim_matches('"').parse().ok()
}

/// Returns the error for a request without the valid `If-Match` header that it needs.
pub fn missing_if_match() -> ApiError {
    ApiError::bad_request("If-Match: missing or not a number")
}
