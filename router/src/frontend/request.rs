//! A client's request: reading it, and what is kept of it while it is forwarded.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
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
use crate::frontend::error_response::Failure;

/// A request that was admitted, as engines are to get it.
///
/// Invariants: `headers` has no hop-by-hop header, no key, and none that only the router may set; `body` is complete.
pub struct Request {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The client's id of this attempt, which a response has to repeat.
    pub attempt_id: Option<HeaderValue>,
    /// The name of the model; empty if the request names none.
    pub model: String,
    /// The hash of the model's name, by which engines' weight versions are kept.
    pub model_key: u64,
    /// When the client or the operator no longer wants it, in milliseconds of the steady clock.
    pub deadline_ms: u64,
    /// When its head was read, in milliseconds of the steady clock.
    pub received_at_ms: u64,
    /// The segments of its prompt; empty if the request names none.
    pub prompt_segments: Vec<PromptSegment>,
    /// The keys of the prompt's prefixes, shortest first.
    pub prefix_keys: Vec<u64>,
    /// The event behind which the client wants its stream to go on.
    pub last_event_id: Option<HeaderValue>,
    /// What it was admitted with.
    pub authorization: Authorization,
    /// Set for deferrable work: the share of an engine's slots up to which it is admitted.
    pub deferrable_share: Option<f64>,
}

/// Headers that concern one connection only.
const HOP_BY_HOP_HEADERS: [&str; 8] =
    ["connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer", "upgrade", "content-length"];

/// The header of deferrable work; its value `near` means that the end of the work's window is near.
pub const DEFERRABLE: &str = "deferrable";
/// The share of an engine's slots up to which deferrable work is admitted; interactive work has the rest.
const IDLE_SHARE: f64 = 0.3;
/// The same when the end of the work's window is near.
const NEAR_DEADLINE_SHARE: f64 = 0.5;

/// Headers that only the router may set. From a client they could name another request's KV cache, or have its own
/// request only prefilled.
const INTERNAL_HEADERS: [&str; 5] =
    [TARGET_INSTANCE, SERVING_PHASE, KV_SOURCE, URGENCY_CLASS, headers::EXPECTED_VERSION];

/// Removes the headers that concern one connection only, and those that `Connection` names.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().copied().chain(connection_options.iter().map(String::as_str)) {
        if !name.is_empty() {
            headers.remove(name);
        }
    }
}

/// Returns the value of a numeric header; `None` if it is absent or not a number.
pub fn parse_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Returns whether a head has one meaning only: one host, one framing, at most one attempt id. Any other head could hide
/// a second request, and is rejected before anything else is done.
pub fn has_unambiguous_framing(headers: &HeaderMap) -> bool {
    let count = |name: HeaderName| headers.get_all(name).iter().count();
    let transfer_encodings = count(TRANSFER_ENCODING);
    let content_lengths = count(CONTENT_LENGTH);
    let attempt_ids = headers.get_all(ATTEMPT_ID).iter().count();
    transfer_encodings <= 1
        && content_lengths <= 1
        && transfer_encodings + content_lengths <= 1
        && count(HOST) == 1
        && attempt_ids <= 1
}

/// Reads a body to its end.
///
/// # Errors
/// `BodyTooLarge` beyond `max_bytes`, `BodyTimeout` after a pause of `idle_ms` between two frames, `Malformed` if the
/// connection or the framing breaks.
pub async fn read_body(mut body: Incoming, max_bytes: usize, idle_ms: u64) -> Result<Bytes, Failure> {
    let hint = body.size_hint().exact().unwrap_or(0) as usize;
    if hint > max_bytes {
        return Err(Failure::BodyTooLarge);
    }
    let wait = Duration::from_millis(idle_ms.max(1));
    let mut buffer = BytesMut::with_capacity(hint);
    loop {
        let frame = match time::timeout(wait, body.frame()).await {
            Err(_) => return Err(Failure::BodyTimeout),
            Ok(None) => return Ok(buffer.freeze()),
            Ok(Some(Err(_))) => return Err(Failure::Malformed),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(Failure::BodyTooLarge);
        }
        buffer.extend_from_slice(&data);
    }
}

/// Longest body that is read only to be discarded.
const DISCARD_BYTES: usize = 256 * 1024;
/// How long such a body may take.
const DISCARD_MS: u64 = 1000;

/// Reads and discards a body, so that its connection can be used again. Returns false if it is too long, too slow or
/// broken.
pub async fn discard_body(mut body: Incoming) -> bool {
    if body.size_hint().lower() > DISCARD_BYTES as u64 {
        return false;
    }
    let read_to_end = async {
        let mut left = DISCARD_BYTES;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            let size = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(size) else { return false };
            left = rest;
        }
        true
    };
    time::timeout(Duration::from_millis(DISCARD_MS), read_to_end).await.unwrap_or(false)
}

/// Removes the header of deferrable work and returns the share of an engine's slots that it admits the request to.
fn take_deferrable_share(headers: &mut HeaderMap) -> Option<f64> {
    let urgency = headers.remove(DEFERRABLE)?;
    Some(if urgency == "near" { NEAR_DEADLINE_SHARE } else { IDLE_SHARE })
}

/// Returns the segments of the prompt that the headers describe.
fn prompt_segments(headers: &HeaderMap) -> Vec<PromptSegment> {
    let text = headers.get(PROMPT_PREFIX).and_then(|value| value.to_str().ok());
    text.and_then(catalog::parse_prompt_prefix).unwrap_or_default()
}

impl Request {
    /// Returns the request that is forwarded for an admitted one. `seed` separates the prefixes of different services.
    pub fn new(parts: Parts, body: Bytes, authorization: Authorization, seed: u64, received_at_ms: u64) -> Request {
        let mut headers = parts.headers;
        remove_hop_by_hop_headers(&mut headers);
        headers.remove(EXPECT);
        for name in INTERNAL_HEADERS {
            headers.remove(name);
        }
        authorization.rewrite_headers(&mut headers);
        let deferrable_share = take_deferrable_share(&mut headers);
        let max_timeout_ms = authorization.route().timeout_ms;
        let timeout_ms = parse_number(&headers, TIME_BUDGET).unwrap_or(max_timeout_ms).min(max_timeout_ms);
        let prompt_segments = prompt_segments(&headers);
        let model = headers.get(MODEL).map_or(&b""[..], HeaderValue::as_bytes);
        let model_key = hashing::hash(model);
        let prefix_keys = catalog::prefix_keys(hashing::combine(seed, model_key), &prompt_segments);
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).parse().unwrap_or_default();
        Request {
            method: parts.method,
            path,
            attempt_id: headers.get(ATTEMPT_ID).cloned(),
            model_key,
            model: String::from_utf8_lossy(model).into_owned(),
            last_event_id: headers.get(LAST_EVENT_ID).cloned(),
            headers,
            body,
            deadline_ms: received_at_ms + timeout_ms,
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

    /// Returns the number of tokens that the request puts out at most; 0 where it does not say.
    pub fn max_output_tokens(&self) -> u32 {
        let text = self.headers.get(TOKEN_COUNT).and_then(|value| value.to_str().ok()).unwrap_or_default();
        text.split(',').nth(1).and_then(|number| number.trim().parse().ok()).unwrap_or(0)
    }

    /// Returns the number of tokens of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt_segments.iter().fold(0, |sum, segment| segment.tokens.saturating_add(sum))
    }

    /// Returns the number of tokens of the segments that other requests may share: all but the last.
    pub fn shared_tokens(&self) -> u32 {
        self.prompt_tokens() - self.prompt_segments.last().map_or(0, |segment| segment.tokens)
    }
}

#[cfg(test)]
#[path = "request_tests.rs"]
mod tests;
