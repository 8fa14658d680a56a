//! A response as an HTTP client understands it: its status, and whether its body is complete.

use std::str;

use tokio::io::AsyncReadExt;

use crate::testing::engine::header;
use crate::testing::router::Client;

/// A response as a client received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// The status line and the header lines; empty if the connection ended before them.
    pub head: String,
    /// The body; `None` if the client can tell that it is incomplete.
    pub body: Option<Vec<u8>>,
}

impl ClientResponse {
    /// Returns the status code.
    pub fn status(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("none")
    }

    /// Returns whether the client takes it for a complete success.
    pub fn is_complete_success(&self) -> bool {
        self.status().starts_with('2') && self.body.is_some()
    }

    /// Returns the complete body as text.
    pub fn text(&self) -> Option<&str> {
        str::from_utf8(self.body.as_deref()?).ok()
    }
}

/// How the bytes that a client has so far are to be understood.
enum Progress {
    /// More bytes are needed.
    Partial,
    /// The response is complete, with this body.
    Complete(Vec<u8>),
    /// The body ends where the connection ends; this is the body so far.
    UntilClose(Vec<u8>),
}

impl Client {
    /// Reads one response by the rules of HTTP. A body without a length is complete only if the connection is closed
    /// rather than reset.
    pub async fn read_response(&mut self) -> ClientResponse {
        let mut received = Vec::new();
        loop {
            let progress = interpret(&received);
            if let Progress::Complete(body) = progress {
                return ClientResponse { head: head_of(&received).unwrap_or_default(), body: Some(body) };
            }
            let was_closed = match self.0.read_buf(&mut received).await {
                Ok(1..) => continue,
                Ok(0) => true,
                Err(_) => false,
            };
            let body = match progress {
                Progress::UntilClose(body) if was_closed => Some(body),
                _ => None,
            };
            return ClientResponse { head: head_of(&received).unwrap_or_default(), body };
        }
    }
}

/// Returns the head of a response once it is complete.
fn head_of(received: &[u8]) -> Option<String> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(String::from_utf8_lossy(&received[..end]).into_owned())
}

fn interpret(received: &[u8]) -> Progress {
    let Some(head) = head_of(received) else { return Progress::Partial };
    let body = &received[received.windows(4).position(|window| window == b"\r\n\r\n").unwrap_or(0) + 4..];
    let status = head.split(' ').nth(1).unwrap_or("none");
    if status == "204" || status == "304" {
        return Progress::Complete(Vec::new());
    }
    if header(&head, "transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return decode_chunked(body).map_or(Progress::Partial, Progress::Complete);
    }
    match header(&head, "content-length").and_then(|length| length.parse::<usize>().ok()) {
        Some(length) if body.len() >= length => Progress::Complete(body[..length].to_vec()),
        Some(_) => Progress::Partial,
        None => Progress::UntilClose(body.to_vec()),
    }
}

/// Returns the decoded body, or `None` before its last chunk has arrived.
fn decode_chunked(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line_end = rest.windows(2).position(|window| window == b"\r\n")?;
        let size = usize::from_str_radix(str::from_utf8(&rest[..line_end]).ok()?, 16).ok()?;
        let data = rest.get(line_end + 2..)?;
        if data.get(size..size + 2)? != b"\r\n" {
            return None;
        }
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&data[..size]);
        rest = &data[size + 2..];
    }
}
