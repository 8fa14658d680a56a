//! An engine that answers before it has read a long body, keeps the connection and reads on later: it never gets other bytes where
//! the rest of that body is due.

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

use crate::testing::engine::{header, sealed};
use crate::testing::router::{configure, router, Client};

/// Longer than what the buffers of a connection take.
const BODY_BYTES: usize = 6 << 20;
/// What the engine's connections take into their buffers.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// How long the engine reads nothing after its answer.
const PAUSE: Duration = Duration::from_millis(300);
/// The byte that bodies are made of; no head begins with it.
const FILLING: u8 = b'x';

/// What one connection of the engine carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Carried {
    /// Whole requests alone.
    Whole,
    /// It ended within a body, and carried nothing else in it.
    CutBody,
    /// Other bytes came where the rest of a body was due.
    OtherBytes,
}

/// Listens with buffers that are small.
fn listen() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a buffer");
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).expect("a free port");
    socket.listen(16).expect("listening");
    socket.set_nonblocking(true).expect("nonblocking");
    TcpListener::from_std(socket.into()).expect("a listener")
}

/// Answers each request as soon as its head is there, and reads its body after a pause.
async fn serve(mut stream: TcpStream) -> Carried {
    let mut unread = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = unread.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            if stream.read_buf(&mut unread).await.unwrap_or(0) == 0 {
                return Carried::Whole;
            }
        };
        let head = String::from_utf8_lossy(&unread[..end]).into_owned();
        unread.drain(..end);
        let attempt = header(&head, "attempt-id").unwrap_or("").to_string();
        let length: usize = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let text = sealed(&attempt, "200 OK", &format!("for-{attempt}"));
        if stream.write_all(text.as_bytes()).await.is_err() {
            return Carried::CutBody;
        }
        time::sleep(PAUSE).await;
        let mut left = length;
        while left > 0 {
            if unread.is_empty() && stream.read_buf(&mut unread).await.unwrap_or(0) == 0 {
                return Carried::CutBody;
            }
            let part = left.min(unread.len());
            if unread.drain(..part).any(|byte| byte != FILLING) {
                return Carried::OtherBytes;
            }
            left -= part;
        }
    }
}

fn request(attempt: &str, body_bytes: usize) -> String {
    let body = char::from(FILLING).to_string().repeat(body_bytes);
    format!(
        "POST /once/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {attempt}\r\nConnection: close\r\nContent-Length: {body_bytes}\r\n\r\n{body}"
    )
}

#[tokio::test]
async fn an_engine_that_answers_before_it_has_read_the_body_gets_no_other_bytes_in_it() {
    let listener = listen();
    let addr = listener.local_addr().expect("its address").to_string();
    let carried = Arc::<Mutex<Vec<Carried>>>::default();
    let seen = carried.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let seen = seen.clone();
            tokio::spawn(async move {
                let outcome = serve(stream).await;
                seen.lock().push(outcome);
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
    let list = EndpointList { zone: "a".into(), term: 1, sequence: 2, engines: vec![engine] };
    state.engines().update(&list, clock::now());

    for attempt in 1..=4 {
        let body_bytes = if attempt % 2 == 1 { BODY_BYTES } else { 4 };
        let mut client = Client::connect(&state).await;
        client.write(&request(&attempt.to_string(), body_bytes)).await;
        let text = client.rest().await;
        assert!(text.ends_with(&format!("for-{attempt}")), "attempt {attempt}: {text:.200}");
    }
    // Connections that are still open end with the pools of this router.
    time::sleep(2 * PAUSE).await;
    drop(state);
    time::sleep(2 * PAUSE).await;
    let outcomes = carried.lock().clone();
    assert!(!outcomes.is_empty(), "some connections have ended");
    assert!(!outcomes.contains(&Carried::OtherBytes), "{outcomes:?}");
}

#[tokio::test]
async fn the_engine_of_these_tests_notices_other_bytes() {
    let listener = listen();
    let mut client = TcpStream::connect(listener.local_addr().expect("its address")).await.expect("connected");
    let (stream, _) = listener.accept().await.expect("a client");
    let engine = tokio::spawn(serve(stream));
    let start = "POST /once/x HTTP/1.1\r\nAttempt-Id: 1\r\nContent-Length: 10\r\n\r\nxxx";
    client.write_all(format!("{start}{}", request("2", 4)).as_bytes()).await.expect("written");
    assert_eq!(engine.await.expect("it ends"), Carried::OtherBytes);
}
