//! How the body of an HTTP/1 response is delimited, and whether the response's head is valid at all.
//!
//! HTTP libraries are lenient here: where `Transfer-Encoding` names an unknown coding they take everything up to the end
//! of the connection for the body, and where a response has both framing headers they ignore one of them. A client that
//! gets such a response would take a part of it, or bytes that are no body, for the complete body. So every reader of
//! responses asks [`BodyFraming::of`] first, treats a response with an invalid head as none at all, and takes a body for
//! complete only if [`BodyFraming::is_complete_after`] says so.

use std::str;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode, Version};
use thiserror::Error;

/// The greatest valid status code.
const MAX_STATUS: u16 = 599;

/// How the body of a response is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body, whatever the headers say: the response to a `HEAD` request, or one with status 204 or 304. The
    /// length is the one that the body of the response to a `GET` request would have, if the head states it.
    NoBody(Option<u64>),
    /// The body has this length in bytes.
    Length(u64),
    /// The body is sent in chunks, the last of which marks its end. The length is one that the head states all the same:
    /// the chunks take precedence, but a body of another length is not complete.
    Chunked(Option<u64>),
    /// The body ends where the connection ends, so that an aborted body cannot be told from a complete one.
    UntilClose,
}

/// Why the head of a response is invalid. The response must not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidResponseHead {
    /// The status is greater than 599. HTTP libraries reject those below 100.
    #[error("status: greater than {MAX_STATUS}")]
    Status,
    /// `Transfer-Encoding` is something else than `chunked`, which is the only coding that senders may apply unasked.
    #[error("transfer-encoding: not `chunked`")]
    TransferEncoding,
    /// `Transfer-Encoding` is in a response of HTTP/1.0, which does not define it.
    #[error("transfer-encoding: in a response of HTTP/1.0")]
    OutdatedVersion,
    /// `Content-Length` is not a number, or has values that differ.
    #[error("content-length: not one number")]
    ContentLength,
    /// The status excludes a body, and the head announces one.
    #[error("a body announced with status 204")]
    ExcludedBody,
}

impl BodyFraming {
    /// Returns the framing of the response to a request with `method`.
    ///
    /// # Errors
    ///
    /// If the head is invalid or can be read in two ways.
    pub fn of(
        method: &Method,
        status: StatusCode,
        version: Version,
        headers: &HeaderMap,
    ) -> Result<BodyFraming, InvalidResponseHead> {
        if status.as_u16() > MAX_STATUS {
            return Err(InvalidResponseHead::Status);
        }
        let is_chunked = is_chunked(version, headers)?;
        let length = content_length(headers)?;
        if status == StatusCode::NO_CONTENT && (is_chunked || length.is_some_and(|length| length > 0)) {
            return Err(InvalidResponseHead::ExcludedBody);
        }
        if method == Method::HEAD || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
            return Ok(BodyFraming::NoBody(length));
        }
        Ok(match length {
            _ if is_chunked => BodyFraming::Chunked(length),
            Some(length) => BodyFraming::Length(length),
            None => BodyFraming::UntilClose,
        })
    }

    /// Returns whether a body that ended after `received_bytes` is certain to be complete.
    pub fn is_complete_after(self, received_bytes: u64) -> bool {
        match self {
            BodyFraming::NoBody(_) => received_bytes == 0,
            BodyFraming::Length(length) | BodyFraming::Chunked(Some(length)) => received_bytes == length,
            BodyFraming::Chunked(None) => true,
            BodyFraming::UntilClose => false,
        }
    }

    /// Returns the length in bytes with which the response is forwarded, if it is not forwarded in chunks.
    pub fn content_length(self) -> Option<u64> {
        match self {
            BodyFraming::NoBody(length) => length,
            BodyFraming::Length(length) => Some(length),
            BodyFraming::Chunked(_) | BodyFraming::UntilClose => None,
        }
    }
}

/// Returns whether the body is sent in chunks; fails on any other transfer coding.
fn is_chunked(version: Version, headers: &HeaderMap) -> Result<bool, InvalidResponseHead> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(false) };
    if version < Version::HTTP_11 {
        return Err(InvalidResponseHead::OutdatedVersion);
    }
    let is_chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
    match is_chunked && codings.next().is_none() {
        true => Ok(true),
        false => Err(InvalidResponseHead::TransferEncoding),
    }
}

/// Returns the stated length; fails unless all values are the same number. A value may be a list, since intermediaries
/// may join repeated headers.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, InvalidResponseHead> {
    let mut stated = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        for number in value.as_bytes().split(|byte| *byte == b',') {
            let length = parse_length(number).ok_or(InvalidResponseHead::ContentLength)?;
            if stated.is_some_and(|stated| stated != length) {
                return Err(InvalidResponseHead::ContentLength);
            }
            stated = Some(length);
        }
    }
    Ok(stated)
}

/// Parses a number that consists of digits only.
fn parse_length(text: &[u8]) -> Option<u64> {
    let digits = text.trim_ascii();
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    str::from_utf8(digits).ok()?.parse().ok()
}

#[cfg(test)]
#[path = "response_framing_tests.rs"]
mod tests;
