//! Classifies the head of an engine's response: whether the engine executed the request.
//!
//! A request is only repeated where the engine itself says that it was not executed; a status alone proves nothing.

use http::response::Parts;
use http::{HeaderMap, HeaderValue};
use protocol::headers::{ATTEMPT_ID, INSTANCE_ID, NOT_EXECUTED, WEIGHT_VERSIONS};

/// What became of a request, as far as the head of the response shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// The response belongs to another request, or is not final: the connection can't be trusted any more.
    Mismatched,
    /// The engine executed the request, and this is its response.
    Executed,
    /// A status that promises that nothing was executed, without the engine's confirmation.
    Unconfirmed,
    /// The engine says that the request was not executed.
    NotExecuted,
    /// Not executed: the address belongs to another engine.
    OtherEngine,
    /// Not executed: its weights have another version, this one where it said so.
    OtherVersion(Option<u64>),
}

/// What the request said that its response is checked against.
pub struct Expectation<'a> {
    /// The client's id of the attempt.
    pub attempt: Option<&'a HeaderValue>,
    /// Name of the engine that it was sent to.
    pub target: &'a str,
    /// The weight version that was required.
    pub version: Option<u64>,
}

/// Status of a request that the engine is not the right one for.
const MISDIRECTED_STATUS: u16 = 421;
/// Statuses that promise a client that its request was not executed and never will be.
const NOT_EXECUTED_STATUSES: [u16; 3] = [408, 429, 503];

/// Returns the weight version that a response names.
pub fn weight_version(head: &HeaderMap) -> Option<u64> {
    let versions = head.get(WEIGHT_VERSIONS)?.to_str().ok()?;
    versions.split(|character: char| !character.is_ascii_digit()).find(|part| !part.is_empty())?.parse().ok()
}

/// Returns whether a response has the id of the attempt exactly once, or none where the request has none.
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

/// Returns why an engine rejected a request that it did not execute.
fn classify_misdirected(head: &HeaderMap, expected: &Expectation) -> Classification {
    let name = head.get(INSTANCE_ID).and_then(|value| value.to_str().ok());
    if name.is_some_and(|name| name != expected.target) {
        return Classification::OtherEngine;
    }
    let found = weight_version(head);
    if expected.version.is_some() && found != expected.version {
        return Classification::OtherVersion(found);
    }
    Classification::NotExecuted
}
