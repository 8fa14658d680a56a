//! A single health probe of an engine, on a separate connection. Only the head of the response is used; its body may break
//! off.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HOST};
use http::{HeaderValue, Method, Request, Uri};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use protocol::headers::{INSTANCE_ID, WARMUP_REMAINING};
use protocol::response_framing::BodyFraming;
use protocol::socket::IO_TIMEOUT_MS;
use protocol::Dialer;
use tokio::time;

use crate::frontend::request;

/// Timeout of a probe, in milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 250;

/// The longest remaining cold time that a response may state, in milliseconds.
const MAX_COLD_MS: u64 = 600_000;

/// The response of an engine to a probe.
pub struct ProbeResponse {
    engine_id: Option<String>,
    /// How long the engine says that it stays cold, in milliseconds; 0 if it says nothing.
    pub cold_ms: u64,
}

impl ProbeResponse {
    /// Returns whether the engine with this id may have sent the response: it names that id, or none.
    pub fn may_be_from(&self, id: &str) -> bool {
        self.engine_id.as_ref().is_none_or(|engine_id| engine_id == id)
    }
}

/// Probes the engine at an address. Returns `None` without a valid response in time.
pub async fn probe(dialer: Dialer, addr: &str) -> Option<ProbeResponse> {
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    time::timeout(timeout, request_report(dialer, addr)).await.ok()?
}

/// Requests `GET /report` on a new connection.
async fn request_report(dialer: Dialer, addr: &str) -> Option<ProbeResponse> {
    let stream = dialer.connect(addr, PROBE_TIMEOUT_MS, IO_TIMEOUT_MS).await.ok()?;
    let io = TokioIo::new(stream);
    let (mut sender, driver) = http1::handshake(io).await.ok()?;
    tokio::spawn(async move {
        let _ = driver.await;
    });
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.uri_mut() = Uri::from_static("/report");
    request.headers_mut().insert(HOST, HeaderValue::from_str(addr).ok()?);
    request.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    let response = sender.send_request(request).await.ok()?;
    BodyFraming::of(&Method::GET, response.status(), response.version(), response.headers()).ok()?;
    let engine_id = response.headers().get(INSTANCE_ID).and_then(|value| value.to_str().ok());
    let cold_ms = request::parse_number(response.headers(), WARMUP_REMAINING).unwrap_or(0).min(MAX_COLD_MS);
    Some(ProbeResponse { engine_id: engine_id.map(str::to_string), cold_ms })
}

#[cfg(test)]
#[path = "probe_tests.rs"]
mod tests;
