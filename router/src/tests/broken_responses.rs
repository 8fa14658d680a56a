//! A response whose head is invalid, or can be read in two ways, never reaches a client.
//!
//! HTTP libraries read a body with an unknown transfer coding up to the end of the connection, so that a part of a
//! body, or its chunk sizes too, would look like a complete body.

use std::time::Duration;

use tokio::time;

use crate::testing::client_response::ClientResponse;
use crate::testing::engine::{
    engine_response, engines, events, header, received_requests, EngineAction, ReceivedRequest, PROMPT,
};
use crate::testing::router::{self, post, router, Client};

/// One route of each type.
const ROUTES: [&str; 4] = ["once", "again", "stream", "resume"];
/// One route of each type, each with the version of HTTP that its client uses.
const REQUESTS: [(&str, &str); 4] =
    [("once", "HTTP/1.1"), ("again", "HTTP/1.0"), ("stream", "HTTP/1.0"), ("resume", "HTTP/1.1")];
/// How engines end their connections after a response.
const ENDINGS: [fn(String) -> EngineAction; 3] =
    [EngineAction::SendAndClose, EngineAction::SendAndReset, EngineAction::Send];
/// Limit on the time until a client has its response, far below the timeout of the routes.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// The body of `sized`.
const BODY: &str = "id: 1\ndata: token-1\n\n";

/// Returns a response in whose head a line is replaced.
type Spoil = fn(&ReceivedRequest, &str) -> String;

/// Returns a response in chunks with `lines` in place of its `Transfer-Encoding`.
fn chunked(request: &ReceivedRequest, lines: &str) -> String {
    events(request, 1, 2, true).replace("Transfer-Encoding: chunked", lines)
}

/// Returns a response with a length, and with `lines` in place of its `Content-Length`.
fn sized(request: &ReceivedRequest, lines: &str) -> String {
    engine_response(request, "200 OK", BODY).replace("Content-Length: 21", lines)
}

/// Returns a response with a length and another status line.
fn with_status_line(request: &ReceivedRequest, status_line: &str) -> String {
    engine_response(request, "200 OK", BODY).replace("HTTP/1.1 200 OK", status_line)
}

/// Sends one request on a connection that may be kept open, and returns the response to it.
async fn send(client: &mut Client, route: &str, version: &str, extra_headers: &str) -> ClientResponse {
    client.write(&post(route, "1", extra_headers).replace("HTTP/1.1", version)).await;
    time::timeout(RESPONSE_TIMEOUT, client.read_response()).await.expect("a response in time")
}

/// Checks that no client gets a response whose head was spoilt with one of `lines`.
async fn assert_not_forwarded(spoil: Spoil, lines: &[&'static str]) {
    for lines in lines.iter().copied() {
        for ending in ENDINGS {
            let fleet = engines("decode", 2, move |request, _| ending(spoil(request, lines))).await;
            let address = router::serve(&router(&fleet));
            for (route, version) in REQUESTS {
                let response = send(&mut Client::connect_to(address).await, route, version, "").await;
                assert_eq!(response.status(), "502", "{lines:?} on {route} to {version}: {response:?}");
            }
        }
    }
}

#[tokio::test]
async fn response_with_another_transfer_coding_is_not_forwarded() {
    assert_not_forwarded(
        chunked,
        &[
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: identity",
            "Transfer-Encoding: deflate",
            "Transfer-Encoding: chunke",
            "Transfer-Encoding: chunkee",
            "Transfer-Encoding: xchunked",
            "Transfer-Encoding: chu nked",
            "Transfer-Encoding: chunk\u{e9}d",
            "Transfer-Encoding: chunk\u{1}d",
            "Transfer-Encoding: \"chunked\"",
            "Transfer-Encoding: chunked;q=1",
            "Transfer-Encoding: chunked,",
            "Transfer-Encoding: ",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: chunked, gzip",
            "Transfer-Encoding: chunked, chunked",
            "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
            "Transfer-Encoding: chunked\r\nContent-Length: 21x",
            "Transfer-Encoding: chunked\r\nContent-Length: 21, 9",
        ],
    )
    .await;
}

#[tokio::test]
async fn response_with_a_spoilt_length_is_not_forwarded() {
    assert_not_forwarded(
        sized,
        &[
            "Content-Length: ",
            "Content-Length: -21",
            "Content-Length: +21",
            "Content-Length: 0x15",
            "Content-Length: 2 1",
            "Content-Length: 21.0",
            "Content-Length: 2\u{661}",
            "Content-Length: 18446744073709551616",
            "Content-Length: 21,",
            "Content-Length: 21, 9",
            "Content-Length: 21\r\nContent-Length: 9",
            "Content-Length: 9\r\nContent-Length: 21",
        ],
    )
    .await;
}

#[tokio::test]
async fn response_with_a_line_that_is_no_field_is_not_forwarded() {
    assert_not_forwarded(
        sized,
        &[
            "Content-Length : 21",
            "Content Length: 21",
            "Content-Length\t: 21",
            "Content-Length\u{1}: 21",
            "Content-L\u{0}ngth: 21",
            "Content-Length\u{7f}: 21",
            "Content-L\u{e9}ngth: 21",
            "Content-Length 21",
            ": 21",
            " Content-Length: 21",
            "Content-Length: 21\r\n folded",
            "Content-Length: 21\r\nno field",
            "Content-Length: 21\r\nX(y): 1",
            "Content-Length: 21\r\nX: \u{1}",
            "Content-Length: 21\r\nX: a\rb",
        ],
    )
    .await;
}

#[tokio::test]
async fn response_with_a_spoilt_status_line_is_not_forwarded() {
    assert_not_forwarded(
        with_status_line,
        &[
            "HTTP/1.1 000 OK",
            "HTTP/1.1 099 OK",
            "HTTP/1.1 20 OK",
            "HTTP/1.1 2000 OK",
            "HTTP/1.1 2x0 OK",
            "HTTP/1.1 -20 OK",
            "HTTP/1.1 100 Continue",
            "HTTP/1.1 101 Switching Protocols",
            "HTTP/1.1 204 No Content",
            "HTTP/1.1 600 OK",
            "HTTP/1.1 999 OK",
            "HTTP/2.0 200 OK",
            "200 OK",
        ],
    )
    .await;
}

#[tokio::test]
async fn response_without_a_length_is_not_complete_for_a_client_of_http_1_1() {
    for lines in ["Content-Lengtg: 21", "X: 1"] {
        for ending in [EngineAction::SendAndClose, EngineAction::SendAndReset] {
            let fleet = engines("decode", 2, move |request, _| ending(sized(request, lines))).await;
            let address = router::serve(&router(&fleet));
            for route in ROUTES {
                let response = send(&mut Client::connect_to(address).await, route, "HTTP/1.1", "").await;
                assert!(!response.is_complete_success(), "{lines:?} on {route}: {response:?}");
            }
        }
    }
}

#[tokio::test]
async fn response_of_another_length_than_stated_is_not_complete() {
    for length in [0, 5, 20, 22, 500] {
        for ending in ENDINGS {
            let fleet = engines("decode", 2, move |request, _| {
                ending(chunked(request, &format!("Transfer-Encoding: chunked\r\nContent-Length: {length}")))
            })
            .await;
            let address = router::serve(&router(&fleet));
            for route in ROUTES {
                let response = send(&mut Client::connect_to(address).await, route, "HTTP/1.1", "").await;
                assert!(!response.is_complete_success(), "{length} on {route}: {response:?}");
            }
        }
    }
}

#[tokio::test]
async fn complete_response_is_forwarded_complete() {
    let valid: [(Spoil, &[&'static str]); 3] = [
        (
            chunked,
            &[
                "Transfer-Encoding: chunked",
                "Transfer-Encoding: Chunked",
                "transfer-encoding:CHUNKED",
                "Transfer-Encoding: \t chunked \t",
                "Transfer-Encoding: chunked\r\nContent-Length: 21",
            ],
        ),
        (
            sized,
            &[
                "content-length:21",
                "Content-Length: 021",
                "Content-Length: 21, 21",
                "Content-Length: 21\r\nContent-Length: 21",
            ],
        ),
        (with_status_line, &["HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 201 Created"]),
    ];
    for (spoil, lines) in valid.into_iter().flat_map(|(spoil, list)| list.iter().map(move |lines| (spoil, *lines))) {
        for ending in ENDINGS {
            let fleet = engines("decode", 1, move |request, _| ending(spoil(request, lines))).await;
            let address = router::serve(&router(&fleet));
            for route in ROUTES {
                let mut kept = Client::connect_to(address).await;
                for _ in 0..2 {
                    let response = send(&mut kept, route, "HTTP/1.1", "").await;
                    assert_eq!(response.text(), Some(BODY), "{lines:?} on {route}: {response:?}");
                }
                let response = send(&mut Client::connect_to(address).await, route, "HTTP/1.0", "").await;
                assert_eq!(response.text(), Some(BODY), "{lines:?} on {route} to HTTP/1.0: {response:?}");
            }
        }
    }
}

#[tokio::test]
async fn stream_is_not_resumed_with_a_response_whose_head_is_invalid() {
    let fleet = engines("decode", 2, |request, request_index| match request_index {
        0 => EngineAction::SendAndReset(events(request, 1, 2, false)),
        _ => EngineAction::SendAndClose(
            events(request, 2, 4, true).replace("Transfer-Encoding: chunked", "Transfer-Encoding: gzip"),
        ),
    })
    .await;
    let mut client = Client::connect(&router(&fleet)).await;
    client.write(&post("resume", "1", "Connection: close\r\n")).await;
    let text = client.read_to_end().await;
    assert!(text.contains("token-1") && !text.contains("token-2") && !text.ends_with("0\r\n\r\n"), "{text}");
}

#[tokio::test]
async fn prefill_response_with_an_invalid_head_holds_no_handle() {
    let body = r#"{"kv_handle":"h1","token_count":150,"revision":1}"#;
    for lines in ["Transfer-Encoding: gzip", "Transfer-Encoding: identity"] {
        let mut fleet = engines("prefill", 1, move |request, _| {
            EngineAction::SendAndClose(format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\n{lines}\r\n\r\n{body}",
                request.attempt()
            ))
        })
        .await;
        fleet.extend(engines("decode", 1, |request, _| EngineAction::Send(events(request, 1, 2, true))).await);
        let response = send(&mut Client::connect(&router(&fleet)).await, "stream", "HTTP/1.1", PROMPT).await;
        assert_eq!(response.text(), Some(BODY), "{lines}: {response:?}");
        let sources =
            received_requests(&fleet).iter().filter(|request| header(&request.head, "kv-source").is_some()).count();
        assert_eq!(sources, 0, "{lines}");
    }
}

#[tokio::test]
async fn refusal_with_an_invalid_head_does_not_prove_that_the_request_was_not_executed() {
    let fleet = engines("decode", 2, |request, _| {
        EngineAction::SendAndClose(format!(
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\nTransfer-Encoding: identity\r\n\r\n",
            request.attempt()
        ))
    })
    .await;
    let response = send(&mut Client::connect(&router(&fleet)).await, "once", "HTTP/1.1", "").await;
    assert_eq!(response.status(), "502", "{response:?}");
    assert_eq!(received_requests(&fleet).len(), 1);
}
