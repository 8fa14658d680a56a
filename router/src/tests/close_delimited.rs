//! Clients of HTTP/1.0 understand no chunks: a body without a length is complete for them when its connection is closed.
//! A response that breaks off must therefore end with a reset.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use protocol::socket;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;
use tokio::time;

use crate::frontend::listener;
use crate::state::State;
use crate::testing::client_response::ClientResponse;
use crate::testing::engine::{engine_response, engines, events, waiting_engine, Engine, EngineAction, ReceivedRequest};
use crate::testing::router::{self, post, router, Client};

/// One route of each type.
const ROUTES: [&str; 4] = ["once", "again", "stream", "resume"];
/// Limit on the time until a client has its response, far below the timeout of the routes.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the socket buffers of slow clients, in bytes.
const SOCKET_BUFFER_BYTES: usize = 8 << 10;
/// Size of a body in bytes that exceeds the buffers of the sockets and fits into those of the connection.
const UNWRITTEN_BODY_BYTES: usize = 100 << 10;
/// Size of a body in bytes that exceeds all buffers.
const LONG_BODY_BYTES: usize = 4 << 20;
/// How long a slow client does not read.
const CLIENT_PAUSE: Duration = Duration::from_millis(200);
/// The body of `without_length`.
const BODY: &str = "id: 1\ndata: token-1\n\n";

/// Returns the request of a client of HTTP/1.0.
fn request(route: &str, extra_headers: &str) -> String {
    post(route, "1", extra_headers).replace("HTTP/1.1", "HTTP/1.0")
}

async fn respond(client: &mut Client, request: &str) -> ClientResponse {
    client.write(request).await;
    time::timeout(RESPONSE_TIMEOUT, client.read_response()).await.expect("a response in time")
}

/// Returns a response whose body ends with the connection.
fn without_length(request: &ReceivedRequest) -> String {
    engine_response(request, "200 OK", BODY).replace("Content-Length: 21\r\n", "")
}

/// Returns a response in chunks that also states a length.
fn chunked_with_length(request: &ReceivedRequest, length: u64) -> String {
    let lines = format!("Transfer-Encoding: chunked\r\nContent-Length: {length}");
    events(request, 1, 3, true).replace("Transfer-Encoding: chunked", &lines)
}

#[tokio::test]
async fn response_that_breaks_off_is_reset() {
    let faults: [fn(&ReceivedRequest) -> EngineAction; 8] = [
        |request| EngineAction::SendAndClose(events(request, 1, 3, false)),
        |request| EngineAction::SendAndReset(events(request, 1, 3, false)),
        |request| EngineAction::SendAndClose(format!("{}5\r\nid: ", events(request, 1, 3, false))),
        |request| EngineAction::SendAndClose(format!("{}x\r\n", events(request, 1, 3, false))),
        |request| EngineAction::SendAndClose(chunked_with_length(request, 21)),
        |request| EngineAction::Send(chunked_with_length(request, 500)),
        |request| EngineAction::SendAndReset(without_length(request)),
        |request| EngineAction::SendAndClose(engine_response(request, "200 OK", BODY).replace(": 21", ": 22")),
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        for extra_headers in ["", "Connection: keep-alive\r\n"] {
            let fleet = engines("decode", 2, move |request, _| fault(request)).await;
            let address = router::serve(&router(&fleet));
            for route in ROUTES {
                let response = respond(&mut Client::connect_to(address).await, &request(route, extra_headers)).await;
                assert!(!response.is_complete_success(), "fault {index} on {route}: {response:?}");
            }
        }
    }
}

#[tokio::test]
async fn response_without_a_length_that_ends_in_order_is_closed() {
    let fleet = engines("decode", 1, |request, _| EngineAction::SendAndClose(without_length(request))).await;
    let state = router(&fleet);
    for route in ROUTES {
        let response = respond(&mut Client::connect(&state).await, &request(route, "")).await;
        assert_eq!(response.text(), Some(BODY), "{route}: {response:?}");
    }
}

#[tokio::test]
async fn response_without_a_body_is_closed() {
    let fleet = engines("decode", 1, |request, _| {
        let status = if request.head.starts_with("HEAD") { "200 OK" } else { "204 No Content" };
        EngineAction::Send(engine_response(request, status, "").replace("Content-Length: 0\r\n", ""))
    })
    .await;
    let state = router(&fleet);
    for method in ["HEAD", "POST"] {
        let mut client = Client::connect(&state).await;
        client.write(&request("once", "").replace("POST", method)).await;
        let mut received = Vec::new();
        client.0.read_to_end(&mut received).await.expect("the connection is closed, not reset");
        assert!(received.ends_with(b"\r\n\r\n"), "{method}");
    }
}

/// Connects a client with small buffers on both sides, and returns it with the task that serves its connection.
async fn connect_with_task(state: &Arc<State>) -> (Client, JoinHandle<()>) {
    let listener = socket::listen("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let client = TcpSocket::new_v4().expect("a socket");
    client.set_recv_buffer_size(SOCKET_BUFFER_BYTES as u32).expect("a buffer");
    let client = Client(client.connect(address).await.expect("connected"));
    let (stream, _) = listener.accept().await.expect("a client");
    SockRef::from(&stream).set_send_buffer_size(SOCKET_BUFFER_BYTES).expect("a buffer");
    (client, tokio::spawn(listener::serve_client(state.clone(), stream)))
}

#[tokio::test]
async fn response_is_reset_if_its_connection_is_dropped() {
    let (fleet, _resume) = waiting_engine().await;
    let (mut client, connection) = connect_with_task(&router(&fleet)).await;
    client.write(&request("stream", "")).await;
    client.read_until("\r\n\r\n").await;
    connection.abort();
    let error = client.0.read(&mut [0; 16]).await.expect_err("a reset");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}

/// Starts an engine with a response in chunks, with a body of this size.
async fn engine_with_long_response(body_bytes: usize) -> Vec<Engine> {
    engines("decode", 1, move |request, _| {
        let head = events(request, 0, 0, false);
        let data = "x".repeat(body_bytes);
        EngineAction::Send(format!("{head}{body_bytes:x}\r\n{data}\r\n0\r\n\r\n"))
    })
    .await
}

#[tokio::test]
async fn slow_client_gets_the_complete_response() {
    for body_bytes in [UNWRITTEN_BODY_BYTES, LONG_BODY_BYTES] {
        let fleet = engine_with_long_response(body_bytes).await;
        let (mut client, _connection) = connect_with_task(&router(&fleet)).await;
        client.write(&request("once", "")).await;
        time::sleep(CLIENT_PAUSE).await;
        let response = time::timeout(RESPONSE_TIMEOUT, client.read_response()).await.expect("a response in time");
        assert_eq!(response.body.map(|body| body.len()), Some(body_bytes));
    }
}

#[tokio::test]
async fn response_is_reset_if_its_connection_is_dropped_before_all_of_it_was_written() {
    let fleet = engine_with_long_response(UNWRITTEN_BODY_BYTES).await;
    let (mut client, connection) = connect_with_task(&router(&fleet)).await;
    client.write(&request("once", "")).await;
    time::sleep(CLIENT_PAUSE).await;
    assert!(!connection.is_finished(), "a part of the response is not written yet");
    connection.abort();
    let _ = connection.await;
    let mut received = Vec::new();
    let end = client.0.read_to_end(&mut received).await;
    assert!(received.len() < UNWRITTEN_BODY_BYTES);
    assert_eq!(end.expect_err("a reset").kind(), io::ErrorKind::ConnectionReset);
}
