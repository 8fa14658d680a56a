//! Error responses of the router: `Failure` names the condition, and only `build` maps it to HTTP.

use std::io;

use bytes::Bytes;
use http::header::{CONNECTION, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty};

const MS_PER_S: u64 = 1000;

/// The body of any response to a client.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Why a request gets no response from an engine.
///
/// 429 and 503 guarantee that the request has not run and never will, so that a client can safely retry it; 502 and 504
/// guarantee nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// 400: the request violates the protocol. Closes the connection.
    Malformed,
    /// 404: no route matches the host and path.
    RouteNotFound,
    /// 401: the route requires an API key, and the request has no known one.
    Unauthorized,
    /// 408: the body stalled for longer than the configured idle timeout. Closes the connection.
    BodyTimeout,
    /// 413: the body exceeds the configured limit. Closes the connection.
    BodyTooLarge,
    /// 503: the request was shed; it has not run and never will. Holds the retry delay in milliseconds.
    Unavailable(u64),
    /// 429: the tenant is over its rate limit; the request has not run and never will. Holds the retry delay in
    /// milliseconds.
    QuotaExceeded(u64),
    /// 502: the request may have run, and the response is lost.
    ResponseLost,
    /// 504: the request may have run, and its deadline has passed.
    DeadlineExceeded,
}

impl Failure {
    /// Returns the HTTP status.
    fn status(self) -> StatusCode {
        match self {
            Failure::Malformed => StatusCode::BAD_REQUEST,
            Failure::Unauthorized => StatusCode::UNAUTHORIZED,
            Failure::RouteNotFound => StatusCode::NOT_FOUND,
            Failure::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Failure::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Failure::QuotaExceeded(_) => StatusCode::TOO_MANY_REQUESTS,
            Failure::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            Failure::ResponseLost => StatusCode::BAD_GATEWAY,
            Failure::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the value of `Retry-After` in seconds with three decimals; `None` if the failure has no retry delay.
    fn retry_after(self) -> Option<HeaderValue> {
        let (Failure::Unavailable(retry_after_ms) | Failure::QuotaExceeded(retry_after_ms)) = self else {
            return None;
        };
        let text = format!("{}.{:03}", retry_after_ms / MS_PER_S, retry_after_ms % MS_PER_S);
        HeaderValue::from_str(&text).ok()
    }
}

/// Returns the response for a failure. `close_connection` closes the connection after it, whatever the failure.
pub fn build(failure: Failure, close_connection: bool) -> Response<Body> {
    let empty = BodyExt::map_err(Empty::new(), |never| match never {});
    let mut response = Response::new(Body::new(UnsyncBoxBody::new(empty)));
    *response.status_mut() = failure.status();
    let headers = response.headers_mut();
    if let Some(value) = failure.retry_after() {
        headers.insert(RETRY_AFTER, value);
    }
    if failure == Failure::Unauthorized {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    let closes_connection = matches!(failure, Failure::Malformed | Failure::BodyTimeout | Failure::BodyTooLarge);
    if closes_connection || close_connection {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
