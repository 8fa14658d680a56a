//! An engine that responds before it has read a long body, keeps the connection open and reads the body later must
//! never get other bytes in place of the rest of that body.

use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use parking_lot::Mutex;
use protocol::message::{self, EndpointList};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::testing::engine::{header, sealed_response};
use crate::testing::router::{configure, router, Client};

/// Size of a long body in bytes, larger than the buffers of a connection.
const BODY_BYTES: usize = 6 << 20;
/// Size of the receive buffers of the engine's connections, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Delay between the engine's response and its reading of the body.
const READ_DELAY: Duration = Duration::from_millis(300);
/// The byte of which bodies consist; no request head begins with it.
const FILL_BYTE: u8 = b'x';

/// What a connection of the engine carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionContent {
    /// Only complete requests.
    CompleteRequests,
    /// It ended within a body, and no other bytes arrived in its place.
    TruncatedBody,
    /// Other bytes arrived in place of the rest of a body.
    OtherBytes,
}

/// Returns a listener with small receive buffers.
fn listen() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a buffer");
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&address.into()).expect("a free port");
    socket.listen(16).expect("listening");
    socket.set_nonblocking(true).expect("nonblocking");
    TcpListener::from_std(socket.into()).expect("a listener")
}

/// Responds to each request as soon as its head has arrived, and reads its body after `READ_DELAY`.
async fn serve(mut stream: TcpStream) -> ConnectionContent {
    let mut unread = Vec::new();
    loop {
        let end = loop {
            if let Some(position) = unread.windows(4).position(|window| window == b"\r\n\r\n") {
                break position + 4;
            }
            if stream.read_buf(&mut unread).await.unwrap_or(0) == 0 {
                return ConnectionContent::CompleteRequests;
            }
        };
        let head = String::from_utf8_lossy(&unread[..end]).into_owned();
        unread.drain(..end);
        let attempt = header(&head, "attempt-id").unwrap_or("").to_string();
        let length: usize = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let text = sealed_response(&attempt, "200 OK", &format!("for-{attempt}"));
        if stream.write_all(text.as_bytes()).await.is_err() {
            return ConnectionContent::TruncatedBody;
        }
        time::sleep(READ_DELAY).await;
        let mut remaining = length;
        while remaining > 0 {
            if unread.is_empty() && stream.read_buf(&mut unread).await.unwrap_or(0) == 0 {
                return ConnectionContent::TruncatedBody;
            }
            let part = remaining.min(unread.len());
            if unread.drain(..part).any(|byte| byte != FILL_BYTE) {
                return ConnectionContent::OtherBytes;
            }
            remaining -= part;
        }
    }
}

fn request(attempt: &str, body_bytes: usize) -> String {
    let body = char::from(FILL_BYTE).to_string().repeat(body_bytes);
    format!(
        "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt}\r\nConnection: close\r\nContent-Length: {body_bytes}\r\n\r\n{body}"
    )
}

#[tokio::test]
async fn engine_that_responds_before_reading_the_body_gets_no_other_bytes_in_its_place() {
    let listener = listen();
    let addr = listener.local_addr().expect("a local address").to_string();
    let shared_outcomes = Arc::<Mutex<Vec<ConnectionContent>>>::default();
    let recorder = shared_outcomes.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let recorder = recorder.clone();
            tokio::spawn(async move {
                let outcome = serve(stream).await;
                recorder.lock().push(outcome);
            });
        }
    });
    let state = router(&[]);
    configure(
        &state,
        2,
        json!({"limits": {"max_header_bytes": 16384, "max_body_bytes": 2 * BODY_BYTES, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}),
    );
    let engine = message::Engine {
        id: "i-1".into(),
        service: "s".into(),
        addr,
        zone: "a".into(),
        phase: "decode".into(),
        model: String::new(),
        slots: 8,
        up: true,
        cold_ms: 0,
    };
    let endpoint_list = EndpointList { zone: "a".into(), term: 1, sequence: 2, engines: vec![engine] };
    state.engines().update(&endpoint_list, clock::now());

    for attempt in 1..=4 {
        let body_bytes = if attempt % 2 == 1 { BODY_BYTES } else { 4 };
        let mut client = Client::connect(&state).await;
        client.write(&request(&attempt.to_string(), body_bytes)).await;
        let text = client.read_to_end().await;
        assert!(text.ends_with(&format!("for-{attempt}")), "attempt {attempt}: {text:.200}");
    }
    // Connections that are still open end when the pools of this router are dropped.
    time::sleep(2 * READ_DELAY).await;
    drop(state);
    time::sleep(2 * READ_DELAY).await;
    let outcomes = shared_outcomes.lock().clone();
    assert!(!outcomes.is_empty(), "some connections have ended");
    assert!(!outcomes.contains(&ConnectionContent::OtherBytes), "{outcomes:?}");
}

#[tokio::test]
async fn fake_engine_detects_other_bytes_in_place_of_a_body() {
    let listener = listen();
    let mut client = TcpStream::connect(listener.local_addr().expect("a local address")).await.expect("connected");
    let (stream, _) = listener.accept().await.expect("a client");
    let engine = tokio::spawn(serve(stream));
    let start = "POST /once/x HTTP/1.1\r\nAttempt-Id: 1\r\nContent-Length: 10\r\n\r\nxxx";
    client.write_all(format!("{start}{}", request("2", 4)).as_bytes()).await.expect("written");
    assert_eq!(engine.await.expect("the engine finishes"), ConnectionContent::OtherBytes);
}
