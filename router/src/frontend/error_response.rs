//! Responses that the router itself gives: `Failure` names the condition, `build` alone turns it into HTTP.

use std::io;

use bytes::Bytes;
use http::header::{CONNECTION, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty};

const MS_PER_S: u64 = 1000;

/// The body of any response to a client.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Why a request gets no response of an engine.
///
/// 429 and 503 promise that the request has not run and never will, so that a client may send it again; 502 and 504
/// promise nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// 400: the request violates the protocol. Ends the connection.
    Malformed,
    /// 404: no route matches the host and path.
    RouteNotFound,
    /// 401: the route needs a key, and the request has none that is known.
    Unauthorized,
    /// 408: the body paused for longer than the configured limit. Ends the connection.
    BodyTimeout,
    /// 413: the body exceeds the configured limit. Ends the connection.
    BodyTooLarge,
    /// 503: the request was shed. It has not run and never will; retry after so many milliseconds.
    Unavailable(u64),
    /// 429: the tenant is over its rate limit. It has not run and never will; retry after so many milliseconds.
    QuotaExceeded(u64),
    /// 502: the request may have run, and the response is lost.
    ResponseLost,
    /// 504: the request may have run, and its time is up.
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

    /// Returns the value of `Retry-After`: seconds with three decimals.
    fn retry_after(self) -> Option<HeaderValue> {
        let (Failure::Unavailable(retry_after_ms) | Failure::QuotaExceeded(retry_after_ms)) = self else {
            return None;
        };
        let text = format!("{}.{:03}", retry_after_ms / MS_PER_S, retry_after_ms % MS_PER_S);
        HeaderValue::from_str(&text).ok()
    }
}

/// Returns the response for a failure. With `close_connection` the connection ends with it, whatever the failure.
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
    let ends_connection = matches!(failure, Failure::Malformed | Failure::BodyTimeout | Failure::BodyTooLarge);
    if ends_connection || close_connection {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
