//! Answers of our own: a small value says which, one place writes it.

pub type Body = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, std::io::Error>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Not as the protocol has it; the connection ends.
    Malformed,
    NoRoute,
    /// The route needs a key that is known.
    Unauthorized,
    Late,
    TooLarge,
    /// It has not run and never will; come back after so many milliseconds.
    Refused(u64),
    /// Its tenant is over its limit; it has not run and never will. Come back after so many milliseconds.
    OverQuota(u64),
    /// It may have run and its answer is lost.
    Lost,
    /// It may have run and time is up.
    TimedOut,
}

/// `last`: the connection ends with this answer, whatever it says.
pub fn write(failure: Failure, last: bool) -> http::Response<Body> {
    let status = match failure {
        Failure::Malformed => 400,
        Failure::Unauthorized => 401,
        Failure::NoRoute => 404,
        Failure::Late => 408,
        Failure::TooLarge => 413,
        Failure::OverQuota(_) => 429,
        Failure::Refused(_) => 503,
        Failure::Lost => 502,
        Failure::TimedOut => 504,
    };
    let mut reply = http::Response::new(Body::new(http_body_util::combinators::UnsyncBoxBody::new(
        http_body_util::BodyExt::map_err(http_body_util::Empty::new(), |never| match never {}),
    )));
    *reply.status_mut() = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let head = reply.headers_mut();
    if let Failure::Refused(wait) | Failure::OverQuota(wait) = failure {
        let text = format!("{}.{:03}", wait / 1000, wait % 1000);
        if let Ok(value) = http::HeaderValue::from_str(&text) {
            head.insert(http::header::RETRY_AFTER, value);
        }
    }
    if failure == Failure::Unauthorized {
        head.insert(http::header::WWW_AUTHENTICATE, http::HeaderValue::from_static("Bearer"));
    }
    let ends = matches!(failure, Failure::Malformed | Failure::Late | Failure::TooLarge);
    if ends || last {
        head.insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    reply
}
