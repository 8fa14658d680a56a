//! Classifies the head of an engine's response: whether the engine executed the request.
//!
//! Only the engine's own statement shows that a request was not executed; a status alone proves nothing.

use http::response::Parts;
use http::{HeaderMap, HeaderValue};
use protocol::headers::{ATTEMPT_ID, INSTANCE_ID, NOT_EXECUTED, WEIGHT_VERSIONS};

/// What the head of a response shows about the execution of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// The response belongs to another request, or is not final: the connection can no longer be trusted.
    Mismatched,
    /// The engine executed the request, and this is its response.
    Executed,
    /// The status promises that nothing was executed, but the engine does not confirm it.
    Unconfirmed,
    /// The engine confirms that the request was not executed.
    NotExecuted,
    /// Not executed: the address belongs to another engine.
    OtherEngine,
    /// Not executed: the engine's weights have another version, included if the engine reported it.
    OtherVersion(Option<u64>),
}

/// Values of the request against which its response is checked.
pub struct Expectation<'a> {
    /// The client's attempt id.
    pub attempt: Option<&'a HeaderValue>,
    /// Id of the engine that it was sent to.
    pub target: &'a str,
    /// The weight version that was required.
    pub version: Option<u64>,
}

/// Status of a request that was sent to the wrong engine.
const MISDIRECTED_STATUS: u16 = 421;
/// Statuses that promise a client that its request was not executed and never will be.
const NOT_EXECUTED_STATUSES: [u16; 3] = [408, 429, 503];

/// Returns the first weight version that a response names.
pub fn weight_version(head: &HeaderMap) -> Option<u64> {
    let versions = head.get(WEIGHT_VERSIONS)?.to_str().ok()?;
    versions.split(|character: char| !character.is_ascii_digit()).find(|part| !part.is_empty())?.parse().ok()
}

/// Returns whether a response has the attempt id exactly once, or none if the request has none.
pub fn matches_attempt(head: &HeaderMap, attempt: Option<&HeaderValue>) -> bool {
    let mut ids = head.get_all(ATTEMPT_ID).iter();
    ids.next() == attempt && ids.next().is_none()
}

/// Classifies the head of a response.
pub fn classify(head: &Parts, expected: &Expectation) -> Classification {
    if head.status.is_informational() || !matches_attempt(&head.headers, expected.attempt) {
        return Classification::Mismatched;
    }
    let status = head.status.as_u16();
    if status == MISDIRECTED_STATUS {
        return classify_misdirected(&head.headers, expected);
    }
    if head.headers.contains_key(NOT_EXECUTED) {
        // A success contradicts that header, so the request is not repeated.
        return if head.status.is_success() { Classification::Unconfirmed } else { Classification::NotExecuted };
    }
    if NOT_EXECUTED_STATUSES.contains(&status) {
        return Classification::Unconfirmed;
    }
    Classification::Executed
}

/// Classifies a response with `MISDIRECTED_STATUS` by the reason of the rejection.
fn classify_misdirected(head: &HeaderMap, expected: &Expectation) -> Classification {
    let engine_id = head.get(INSTANCE_ID).and_then(|value| value.to_str().ok());
    if engine_id.is_some_and(|engine_id| engine_id != expected.target) {
        return Classification::OtherEngine;
    }
    let found = weight_version(head);
    if expected.version.is_some() && found != expected.version {
        return Classification::OtherVersion(found);
    }
    Classification::NotExecuted
}
