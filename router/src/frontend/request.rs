//! Client requests: reading them, and the data kept while they are forwarded.

use std::time::Duration;

use bytes::Bytes;
use catalog::PromptSegment;
use http::header::{HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Uri};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use kernel::hashing;
use protocol::headers::{
    self, ATTEMPT_ID, KV_SOURCE, LAST_EVENT_ID, MODEL, PROMPT_PREFIX, SERVING_PHASE, TARGET_INSTANCE, TIME_BUDGET,
    TOKEN_COUNT, URGENCY_CLASS,
};
use tokio::time;

use crate::frontend::authorization::Authorization;

/// An admitted request in the form that is sent to engines.
///
/// Invariants: `headers` contains no hop-by-hop header, no API key, and no header that only the router may set; `body`
/// is complete.
pub struct Request {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: Uri,
    /// The forwarded headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The client's id of this attempt, which the response must repeat.
    pub attempt_id: Option<HeaderValue>,
    /// The name of the model; empty if the request names none.
    pub model: String,
    /// The hash of the model name, which keys the weight versions of engines.
    pub model_key: u64,
    /// The deadline set by the client's time budget or the route's timeout, in milliseconds of the steady clock.
    pub deadline_ms: u64,
    /// When the head was read, in milliseconds of the steady clock.
    pub received_at_ms: u64,
    /// The segments of the prompt; empty if the request describes none.
    pub prompt_segments: Vec<PromptSegment>,
    /// The keys of the prompt's prefixes, shortest first.
    pub prefix_keys: Vec<u64>,
    /// The last event that the client received; the stream resumes after it.
    pub last_event_id: Option<HeaderValue>,
    /// The authorization granted at admission.
    pub authorization: Authorization,
    /// For deferrable requests, the share of an engine's slots up to which they are admitted.
    pub deferrable_share: Option<f64>,
}

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] =
    ["connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer", "upgrade", "content-length"];

/// The header that marks a request as deferrable. The value `near` means that the end of its time window is near.
pub const DEFERRABLE: &str = "deferrable";
/// The share of an engine's slots up to which deferrable requests are admitted; the rest is left to interactive ones.
const DEFERRABLE_SHARE: f64 = 0.3;
/// The same share when the end of the time window is near.
const NEAR_DEADLINE_SHARE: f64 = 0.5;

/// Headers that only the router may set. A client could use them to read the KV cache of another request, or to have
/// its own request only prefilled.
const INTERNAL_HEADERS: [&str; 5] =
    [TARGET_INSTANCE, SERVING_PHASE, KV_SOURCE, URGENCY_CLASS, headers::EXPECTED_VERSION];

/// Headers that describe the request to engines. `Connection` must not list them, since they are for all recipients.
const END_TO_END_HEADERS: [&str; 7] =
    ["host", "content-type", ATTEMPT_ID, LAST_EVENT_ID, MODEL, PROMPT_PREFIX, TOKEN_COUNT];

/// Returns the names listed in `Connection`, in lower case.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = String> + '_ {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|text| text.split(',').map(|name| name.trim().to_ascii_lowercase()))
}

/// Returns whether `Connection` lists a header without which engines would run another request.
pub fn hides_end_to_end_header(headers: &HeaderMap) -> bool {
    connection_options(headers).any(|name| END_TO_END_HEADERS.contains(&name.as_str()))
}

/// Removes the hop-by-hop headers, including those listed in `Connection`.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let options: Vec<String> = connection_options(headers).collect();
    for name in HOP_BY_HOP_HEADERS.iter().copied().chain(options.iter().map(String::as_str)) {
        if !name.is_empty() {
            headers.remove(name);
        }
    }
}

/// Returns the value of a numeric header; `None` if it is absent or not a number.
pub fn parse_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Returns the deadline of a request in milliseconds of the steady clock: the end of its time budget, or of
/// `max_timeout_ms` if that is shorter.
pub fn deadline_ms(headers: &HeaderMap, received_at_ms: u64, max_timeout_ms: u64) -> u64 {
    received_at_ms + parse_number(headers, TIME_BUDGET).unwrap_or(max_timeout_ms).min(max_timeout_ms)
}

/// The only transfer coding that is decoded. A body with another one beside it would not be the client's.
const CHUNKED: &str = "chunked";

/// Returns whether a head is unambiguous: one host, at most one framing header, no transfer coding but `chunked`, and
/// at most one attempt id. Any other head could smuggle a second request, and is rejected before any other step.
pub fn has_unambiguous_framing(headers: &HeaderMap) -> bool {
    let count = |name: HeaderName| headers.get_all(name).iter().count();
    let transfer_encodings = count(TRANSFER_ENCODING);
    let content_lengths = count(CONTENT_LENGTH);
    let attempt_ids = headers.get_all(ATTEMPT_ID).iter().count();
    let coding = headers.get(TRANSFER_ENCODING).map(HeaderValue::as_bytes);
    coding.is_none_or(|coding| coding.trim_ascii().eq_ignore_ascii_case(CHUNKED.as_bytes()))
        && transfer_encodings <= 1
        && content_lengths <= 1
        && transfer_encodings + content_lengths <= 1
        && count(HOST) == 1
        && attempt_ids <= 1
}

/// Maximum size of a body that is read only to be discarded.
const MAX_DISCARD_BYTES: usize = 256 * 1024;
/// Timeout for reading such a body, in milliseconds.
const DISCARD_TIMEOUT_MS: u64 = 1000;

/// Reads and discards a body, so that its connection can be reused. Returns false if the body is too large, too slow or
/// broken.
pub async fn discard_body(mut body: Incoming) -> bool {
    if body.size_hint().lower() > MAX_DISCARD_BYTES as u64 {
        return false;
    }
    let read_to_end = async {
        let mut remaining_bytes = MAX_DISCARD_BYTES;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            let size = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = remaining_bytes.checked_sub(size) else { return false };
            remaining_bytes = rest;
        }
        true
    };
    time::timeout(Duration::from_millis(DISCARD_TIMEOUT_MS), read_to_end).await.unwrap_or(false)
}

/// Removes the `DEFERRABLE` header, and returns the share of an engine's slots up to which the request is admitted.
fn take_deferrable_share(headers: &mut HeaderMap) -> Option<f64> {
    let urgency = headers.remove(DEFERRABLE)?;
    Some(if urgency == "near" { NEAR_DEADLINE_SHARE } else { DEFERRABLE_SHARE })
}

/// Returns the prompt segments that the headers describe.
fn prompt_segments(headers: &HeaderMap) -> Vec<PromptSegment> {
    let text = headers.get(PROMPT_PREFIX).and_then(|value| value.to_str().ok());
    text.and_then(catalog::parse_prompt_prefix).unwrap_or_default()
}

impl Request {
    /// Builds the request to forward, whose target is in origin form. `seed` keeps the prefix keys of different services
    /// apart.
    pub fn new(parts: Parts, body: Bytes, authorization: Authorization, seed: u64, received_at_ms: u64) -> Request {
        let mut headers = parts.headers;
        remove_hop_by_hop_headers(&mut headers);
        headers.remove(EXPECT);
        for name in INTERNAL_HEADERS {
            headers.remove(name);
        }
        authorization.rewrite_headers(&mut headers);
        let deferrable_share = take_deferrable_share(&mut headers);
        let deadline_ms = deadline_ms(&headers, received_at_ms, authorization.route().timeout_ms);
        let prompt_segments = prompt_segments(&headers);
        let model = headers.get(MODEL).map_or(&b""[..], HeaderValue::as_bytes);
        let model_key = hashing::hash(model);
        let prefix_keys = catalog::prefix_keys(hashing::combine(seed, model_key), &prompt_segments);
        Request {
            method: parts.method,
            path: parts.uri,
            attempt_id: headers.get(ATTEMPT_ID).cloned(),
            model_key,
            model: String::from_utf8_lossy(model).into_owned(),
            last_event_id: headers.get(LAST_EVENT_ID).cloned(),
            headers,
            body,
            deadline_ms,
            received_at_ms,
            prompt_segments,
            prefix_keys,
            authorization,
            deferrable_share,
        }
    }

    /// Returns the time left until the deadline, in milliseconds.
    pub fn remaining_ms(&self, now: u64) -> u64 {
        self.deadline_ms.saturating_sub(now)
    }

    /// Returns the maximum number of output tokens of the request; 0 if it states none.
    pub fn max_output_tokens(&self) -> u32 {
        let text = self.headers.get(TOKEN_COUNT).and_then(|value| value.to_str().ok()).unwrap_or_default();
        text.split(',').nth(1).and_then(|number| number.trim().parse().ok()).unwrap_or(0)
    }

    /// Returns the number of prompt tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt_segments.iter().fold(0, |sum, segment| segment.tokens.saturating_add(sum))
    }

    /// Returns the number of prompt tokens that other requests may share: those of all segments but the last.
    pub fn shared_tokens(&self) -> u32 {
        self.prompt_tokens() - self.prompt_segments.last().map_or(0, |segment| segment.tokens)
    }
}

#[cfg(test)]
#[path = "request_tests.rs"]
mod tests;
