//! A client's request, read and checked at the door.

/// Invariants: `head` carries no header that concerns one connection only; `body` is whole.
pub struct Request {
    pub method: http::Method,
    pub path: http::Uri,
    pub head: http::HeaderMap,
    pub body: bytes::Bytes,
    pub attempt: Option<http::HeaderValue>,
    pub model: String,
    /// The hash of its name, by which engines' weight versions are kept.
    pub model_key: u64,
    /// Steady time at which the client or the operator no longer wants it.
    pub deadline: u64,
    pub born: u64,
    pub parts: Vec<catalog::Part>,
    pub keys: Vec<u64>,
    pub last: Option<http::HeaderValue>,
    pub authorization: crate::authorization::Authorization,
    /// Deferrable work: it only fills what is idle. The share of places it leaves free.
    pub spare: Option<f64>,
}

const HOP: [&str; 8] =
    ["connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer", "upgrade", "content-length"];

/// The mark of deferrable work, and the share of an engine's places up to which it is let in: little
/// by day, more when its window comes near; interactive work has the rest.
pub const DEFER: &str = "deferrable";
const IDLE: f64 = 0.3;
const NEAR: f64 = 0.5;

/// What the system alone tells engines. From a client these would lead to another request's memory, or have its
/// own request only read.
const SYSTEM: [&str; 5] = [
    protocol::word::TARGET,
    protocol::word::STAGE,
    protocol::word::SOURCE,
    protocol::word::URGENCY,
    protocol::word::EXPECT,
];

/// Removes what concerns one connection, and what `Connection` names.
pub fn strip(head: &mut http::HeaderMap) {
    let named: Vec<String> = head
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    for name in HOP.iter().copied().chain(named.iter().map(String::as_str)) {
        if !name.is_empty() {
            head.remove(name);
        }
    }
}

pub fn number(head: &http::HeaderMap, name: &str) -> Option<u64> {
    head.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Shapes that could hide another request: refused before anything is done.
pub fn sound(head: &http::HeaderMap) -> bool {
    let count = |name: http::header::HeaderName| head.get_all(name).iter().count();
    let framed = count(http::header::TRANSFER_ENCODING);
    let sized = count(http::header::CONTENT_LENGTH);
    let ids = head.get_all(protocol::word::ATTEMPT).iter().count();
    framed <= 1 && sized <= 1 && framed + sized <= 1 && count(http::header::HOST) == 1 && ids <= 1
}

/// Reads a body within the limit; the pause between pieces is bounded by `idle_ms`.
pub async fn body(
    mut body: hyper::body::Incoming,
    most: usize,
    idle_ms: u64,
) -> Result<bytes::Bytes, crate::failure::Failure> {
    use http_body_util::BodyExt;
    use hyper::body::Body;
    let hint = body.size_hint().exact().unwrap_or(0) as usize;
    if hint > most {
        return Err(crate::failure::Failure::TooLarge);
    }
    let wait = std::time::Duration::from_millis(idle_ms.max(1));
    let mut whole = bytes::BytesMut::with_capacity(hint);
    loop {
        let frame = match tokio::time::timeout(wait, body.frame()).await {
            Err(_) => return Err(crate::failure::Failure::Late),
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(_))) => return Err(crate::failure::Failure::Malformed),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > most {
            return Err(crate::failure::Failure::TooLarge);
        }
        whole.extend_from_slice(&data);
    }
}

/// What of a body that nobody needs is read, and for how long.
const DISCARD_BYTES: usize = 256 * 1024;
const DISCARD_MS: u64 = 1000;

/// Reads a body that nobody needs to its end, so that its connection can be used again. False: it is too long,
/// too slow or broken.
pub async fn discard(mut body: hyper::body::Incoming) -> bool {
    use http_body_util::BodyExt;
    use hyper::body::Body;
    if body.size_hint().lower() > DISCARD_BYTES as u64 {
        return false;
    }
    let whole = async {
        let mut left = DISCARD_BYTES;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            let size = frame.data_ref().map_or(0, bytes::Bytes::len);
            let Some(rest) = left.checked_sub(size) else { return false };
            left = rest;
        }
        true
    };
    tokio::time::timeout(std::time::Duration::from_millis(DISCARD_MS), whole).await.unwrap_or(false)
}

impl Request {
    pub fn make(
        parts: http::request::Parts,
        body: bytes::Bytes,
        authorization: crate::authorization::Authorization,
        seed: u64,
        born: u64,
    ) -> Request {
        let mut head = parts.headers;
        strip(&mut head);
        head.remove(http::header::EXPECT);
        for name in SYSTEM {
            head.remove(name);
        }
        authorization.rewrite(&mut head);
        let spare = head.remove(DEFER).map(|press| if press == "near" { NEAR } else { IDLE });
        let most = authorization.route().timeout_ms;
        let wait = number(&head, protocol::word::BUDGET).unwrap_or(most).min(most);
        let text = head.get(protocol::word::PREFIX).and_then(|value| value.to_str().ok());
        let list = text.and_then(catalog::parts).unwrap_or_default();
        let model = head.get(protocol::word::MODEL).map_or(&b""[..], http::HeaderValue::as_bytes);
        let model_key = kernel::clock::hash(model);
        let keys = catalog::keys(kernel::clock::blend(seed, model_key), &list);
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).parse().unwrap_or_default();
        Request {
            method: parts.method,
            path,
            attempt: head.get(protocol::word::ATTEMPT).cloned(),
            model_key,
            model: String::from_utf8_lossy(model).into_owned(),
            last: head.get(protocol::word::LAST).cloned(),
            head,
            body,
            deadline: born + wait,
            born,
            parts: list,
            keys,
            authorization,
            spare,
        }
    }

    pub fn left(&self, now: u64) -> u64 {
        self.deadline.saturating_sub(now)
    }

    pub fn tokens(&self) -> u32 {
        self.parts.iter().fold(0, |sum, part| part.tokens.saturating_add(sum))
    }

    /// Tokens of the parts that others may share: all but the last.
    pub fn shared(&self) -> u32 {
        self.tokens() - self.parts.last().map_or(0, |part| part.tokens)
    }
}

#[cfg(test)]
#[path = "request_tests.rs"]
mod tests;
