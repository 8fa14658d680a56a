//! A client's request, read and checked at the door.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use catalog::PromptSegment;
use http::header::{HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Uri};
use hyper::body::Incoming;
use kernel::hashing;
use protocol::headers::{
    self, ATTEMPT_ID, KV_SOURCE, LAST_EVENT_ID, MODEL, PROMPT_PREFIX, SERVING_PHASE, TARGET_INSTANCE, TIME_BUDGET,
    URGENCY_CLASS,
};
use tokio::time;

use crate::frontend::authorization::Authorization;
use crate::frontend::error_response::Failure;

/// Invariants: `head` carries no header that concerns one connection only; `body` is whole.
pub struct Request {
    pub method: Method,
    pub path: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub attempt_id: Option<HeaderValue>,
    pub model: String,
    /// The hash of its name, by which engines' weight versions are kept.
    pub model_key: u64,
    /// Steady time at which the client or the operator no longer wants it.
    pub deadline_ms: u64,
    pub received_at_ms: u64,
    pub prompt_segments: Vec<PromptSegment>,
    pub prefix_keys: Vec<u64>,
    pub last_event_id: Option<HeaderValue>,
    pub authorization: Authorization,
    /// Deferrable work: it only fills what is idle. The share of places it leaves free.
    pub deferrable_share: Option<f64>,
}

const HOP_BY_HOP_HEADERS: [&str; 8] =
    ["connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer", "upgrade", "content-length"];

/// The mark of deferrable work, and the share of an engine's places up to which it is let in: little
/// by day, more when its window comes near; interactive work has the rest.
pub const DEFERRABLE: &str = "deferrable";
const IDLE_SHARE: f64 = 0.3;
const NEAR_DEADLINE_SHARE: f64 = 0.5;

/// What the system alone tells engines. From a client these would lead to another request's memory, or have its
/// own request only read.
const INTERNAL_HEADERS: [&str; 5] =
    [TARGET_INSTANCE, SERVING_PHASE, KV_SOURCE, URGENCY_CLASS, headers::EXPECTED_VERSION];

/// Removes what concerns one connection, and what `Connection` names.
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

pub fn parse_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Shapes that could hide another request: refused before anything is done.
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

/// Reads a body within the limit; the pause between pieces is bounded by `idle_ms`.
pub async fn read_body(mut body: Incoming, max_bytes: usize, idle_ms: u64) -> Result<Bytes, Failure> {
    use http_body_util::BodyExt;
    use hyper::body::Body;
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

/// What of a body that nobody needs is read, and for how long.
const DISCARD_BYTES: usize = 256 * 1024;
const DISCARD_MS: u64 = 1000;

/// Reads a body that nobody needs to its end, so that its connection can be used again. False: it is too long,
/// too slow or broken.
pub async fn discard_body(mut body: Incoming) -> bool {
    use http_body_util::BodyExt;
    use hyper::body::Body;
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

impl Request {
    pub fn new(parts: Parts, body: Bytes, authorization: Authorization, seed: u64, received_at_ms: u64) -> Request {
        let mut headers = parts.headers;
        remove_hop_by_hop_headers(&mut headers);
        headers.remove(EXPECT);
        for name in INTERNAL_HEADERS {
            headers.remove(name);
        }
        authorization.rewrite_headers(&mut headers);
        let deferrable_share =
            headers.remove(DEFERRABLE).map(|urgency| if urgency == "near" { NEAR_DEADLINE_SHARE } else { IDLE_SHARE });
        let max_timeout_ms = authorization.route().timeout_ms;
        let timeout_ms = parse_number(&headers, TIME_BUDGET).unwrap_or(max_timeout_ms).min(max_timeout_ms);
        let text = headers.get(PROMPT_PREFIX).and_then(|value| value.to_str().ok());
        let list = text.and_then(catalog::parse_prompt_prefix).unwrap_or_default();
        let model = headers.get(MODEL).map_or(&b""[..], HeaderValue::as_bytes);
        let model_key = hashing::hash(model);
        let keys = catalog::prefix_keys(hashing::combine(seed, model_key), &list);
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
            prompt_segments: list,
            prefix_keys: keys,
            authorization,
            deferrable_share,
        }
    }

    pub fn remaining_ms(&self, now: u64) -> u64 {
        self.deadline_ms.saturating_sub(now)
    }

    pub fn prompt_tokens(&self) -> u32 {
        self.prompt_segments.iter().fold(0, |sum, part| part.tokens.saturating_add(sum))
    }

    /// Tokens of the parts that others may share: all but the last.
    pub fn shared_tokens(&self) -> u32 {
        self.prompt_tokens() - self.prompt_segments.last().map_or(0, |part| part.tokens)
    }
}

#[cfg(test)]
#[path = "request_tests.rs"]
mod tests;
