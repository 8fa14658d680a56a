//! Answers of our own: a small value says which, one place writes it.

use std::io;

use bytes::Bytes;
use http::header::{CONNECTION, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty};

pub type Body = UnsyncBoxBody<Bytes, io::Error>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Not as the protocol has it; the connection ends.
    Malformed,
    RouteNotFound,
    /// The route needs a key that is known.
    Unauthorized,
    BodyTimeout,
    BodyTooLarge,
    /// It has not run and never will; come back after so many milliseconds.
    Unavailable(u64),
    /// Its tenant is over its limit; it has not run and never will. Come back after so many milliseconds.
    QuotaExceeded(u64),
    /// It may have run and its answer is lost.
    ResponseLost,
    /// It may have run and time is up.
    DeadlineExceeded,
}

/// `last`: the connection ends with this answer, whatever it says.
pub fn build(failure: Failure, close_connection: bool) -> Response<Body> {
    let status = match failure {
        Failure::Malformed => 400,
        Failure::Unauthorized => 401,
        Failure::RouteNotFound => 404,
        Failure::BodyTimeout => 408,
        Failure::BodyTooLarge => 413,
        Failure::QuotaExceeded(_) => 429,
        Failure::Unavailable(_) => 503,
        Failure::ResponseLost => 502,
        Failure::DeadlineExceeded => 504,
    };
    let mut response =
        Response::new(Body::new(UnsyncBoxBody::new(BodyExt::map_err(Empty::new(), |never| match never {}))));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    if let Failure::Unavailable(retry_after_ms) | Failure::QuotaExceeded(retry_after_ms) = failure {
        let text = format!("{}.{:03}", retry_after_ms / 1000, retry_after_ms % 1000);
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
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
