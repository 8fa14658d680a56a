//! Reading requests to the operators' interface.

use std::ops::Deref;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use ingress::{read_buffer, BodyError, BodyLimits, MemoryBudget, Purpose, Reservation};
use kernel::clock;
use poem::Request;

use crate::api::response::ApiError;

/// The longest pause within a body, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 5000;
/// The timeout for a complete body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 30_000;
/// How often a text may be in memory while its request is executed: as text, as message to another controller, and as
/// the value that is parsed from it.
const COPIES: usize = 3;

/// The text of a request, with the memory for it and for what is made of it.
#[derive(Debug)]
pub struct ReceivedText {
    text: String,
    reservation: Reservation,
}

impl ReceivedText {
    /// Returns the text, and the reservation that is to be held until the request has been executed.
    pub fn into_parts(self) -> (String, Reservation) {
        (self.text, self.reservation)
    }
}

impl Deref for ReceivedText {
    type Target = str;

    fn deref(&self) -> &str {
        &self.text
    }
}

/// Reads the body of a request as text.
///
/// # Errors
///
/// Returns the error response if the body is incomplete, longer than `max_bytes`, too slow or not UTF-8, or if there is
/// no memory for it.
pub async fn read_text(
    request: &mut Request,
    max_bytes: usize,
    memory: &Arc<MemoryBudget>,
) -> Result<ReceivedText, ApiError> {
    let body: BoxBody<Bytes, _> = request.take_body().into();
    let limits = BodyLimits { max_bytes, idle_ms: IDLE_TIMEOUT_MS, deadline_ms: clock::now() + BODY_TIMEOUT_MS };
    let received = read_buffer(body, &limits, memory.reservation(Purpose::RequestBodies)).await;
    let mut received = received.map_err(|error| body_error(error, max_bytes))?;
    let copies = received.reservation.try_hold_buffer(COPIES * received.content.len(), clock::now());
    copies.map_err(|error| body_error(error.into(), max_bytes))?;
    let text = String::from_utf8(received.content).map_err(|_| ApiError::bad_request("body: not UTF-8"))?;
    Ok(ReceivedText { text, reservation: received.reservation })
}

/// Returns the response for a body that could not be read.
fn body_error(error: BodyError, max_bytes: usize) -> ApiError {
    match error {
        BodyError::TooLarge => ApiError::payload_too_large(format!("body: over {max_bytes} bytes")),
        BodyError::TimedOut => ApiError::request_timeout("body: not complete in time"),
        BodyError::OutOfMemory(_) => ApiError::unavailable("no memory for this body now"),
        BodyError::Malformed => ApiError::bad_request("body: incomplete"),
    }
}

/// Returns the version in the `If-Match` header, if it is present and valid.
pub fn if_match(request: &Request) -> Option<u64> {
    request.header("if-match")?.trim().trim_matches('"').parse().ok()
}

/// Returns the error for a request without the valid `If-Match` header that it needs.
pub fn missing_if_match() -> ApiError {
    ApiError::bad_request("If-Match: missing or not a number")
}
