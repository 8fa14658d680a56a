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

const MISDIRECTED: u16 = 421;
/// By these a client is promised that its request has not run and never will.
const PROMISES: [u16; 3] = [408, 429, 503];

/// The version of the weights that an answer names.
pub fn version(head: &HeaderMap) -> Option<u64> {
    let text = head.get(WEIGHT_VERSIONS)?.to_str().ok()?;
    text.split(|sign: char| !sign.is_ascii_digit()).find(|part| !part.is_empty())?.parse().ok()
}

/// Does an answer bear the id of the request, once, or none where that has none?
pub fn answers(head: &HeaderMap, attempt: Option<&HeaderValue>) -> bool {
    let mut ids = head.get_all(ATTEMPT_ID).iter();
    ids.next() == attempt && ids.next().is_none()
}

pub fn classify(head: &Parts, asked: &Expectation) -> Classification {
    if head.status.is_informational() || !answers(&head.headers, asked.attempt) {
        return Classification::Mismatched;
    }
    let status = head.status.as_u16();
    if status == MISDIRECTED {
        return misdirected(&head.headers, asked);
    }
    if head.headers.contains_key(NOT_EXECUTED) {
        // A success contradicts that word, and nothing is repeated on it.
        return if head.status.is_success() { Classification::Unconfirmed } else { Classification::NotExecuted };
    }
    if PROMISES.contains(&status) {
        return Classification::Unconfirmed;
    }
    Classification::Executed
}

/// Why an engine turned away a request that it did not run.
fn misdirected(head: &HeaderMap, asked: &Expectation) -> Classification {
    let name = head.get(INSTANCE_ID).and_then(|value| value.to_str().ok());
    if name.is_some_and(|name| name != asked.target) {
        return Classification::OtherEngine;
    }
    let found = version(head);
    if asked.version.is_some() && found != asked.version {
        return Classification::OtherVersion(found);
    }
    Classification::NotExecuted
}
