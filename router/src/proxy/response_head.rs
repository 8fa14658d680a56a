//! What the head of an engine's answer says about the request that it came for.

use http::response::Parts;
use http::{HeaderMap, HeaderValue};
use protocol::headers::{ATTEMPT_ID, INSTANCE_ID, NOT_EXECUTED, WEIGHT_VERSIONS};

/// What became of a request, as far as the head of an answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// The answer belongs to another request, or is no final answer: the connection can't be trusted any more.
    Mismatched,
    /// The engine has taken the request up, and this is its answer.
    Executed,
    /// A status that would promise a client that nothing ran, without the engine's word for it.
    Unconfirmed,
    /// The engine says that the request was not run.
    NotExecuted,
    /// Not run: the address belongs to another engine.
    OtherEngine,
    /// Not run: its weights have another version, this one where it said so.
    OtherVersion(Option<u64>),
}

/// What was asked of the engine, as far as its answer may speak to it.
pub struct Expectation<'a> {
    pub attempt: Option<&'a HeaderValue>,
    pub target: &'a str,
    /// The version that its weights were to have.
    pub version: Option<u64>,
}

const MISDIRECTED_STATUS: u16 = 421;
/// By these a client is promised that its request has not run and never will.
const NOT_EXECUTED_STATUSES: [u16; 3] = [408, 429, 503];

/// The version of the weights that an answer names.
pub fn weight_version(head: &HeaderMap) -> Option<u64> {
    let versions = head.get(WEIGHT_VERSIONS)?.to_str().ok()?;
    versions.split(|character: char| !character.is_ascii_digit()).find(|part| !part.is_empty())?.parse().ok()
}

/// Does an answer bear the id of the request, once, or none where that has none?
pub fn matches_attempt(head: &HeaderMap, attempt: Option<&HeaderValue>) -> bool {
    let mut ids = head.get_all(ATTEMPT_ID).iter();
    ids.next() == attempt && ids.next().is_none()
}

pub fn classify(head: &Parts, expected: &Expectation) -> Classification {
    if head.status.is_informational() || !matches_attempt(&head.headers, expected.attempt) {
        return Classification::Mismatched;
    }
    let status = head.status.as_u16();
    if status == MISDIRECTED_STATUS {
        return classify_misdirected(&head.headers, expected);
    }
    if head.headers.contains_key(NOT_EXECUTED) {
        // A success contradicts that word, and nothing is repeated on it.
        return if head.status.is_success() { Classification::Unconfirmed } else { Classification::NotExecuted };
    }
    if NOT_EXECUTED_STATUSES.contains(&status) {
        return Classification::Unconfirmed;
    }
    Classification::Executed
}

/// Why an engine turned away a request that it did not run.
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
