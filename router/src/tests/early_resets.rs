//! An engine responds before it has read a long upload, and resets the connection. A reset that falls between any two
//! steps of the router must not make a part of the body look complete.

use std::time::Duration;

use kernel::clock;
use serde_json::json;
use tokio::time;

use crate::testing::client_response::ClientResponse;
use crate::testing::early_engine::{self, ConnectionEnd, Respond};
use crate::testing::router::{self, configure, router, Client};

/// Size of the upload in bytes, larger than the buffers of a connection.
const UPLOAD_BYTES: usize = 4 << 20;
/// How often each case is repeated.
const REPETITIONS: usize = 6;
/// Limit on the time until a client has its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The body that engines send, or a part of it.
const BODY: &str = "id: 1\n\n";
const RESETS: [ConnectionEnd; 4] = [
    ConnectionEnd::ResetAtOnce,
    ConnectionEnd::ResetAfterPause,
    ConnectionEnd::ResetDuringUpload,
    ConnectionEnd::ResetAfterUpload,
];
const VERSIONS: [&str; 2] = ["HTTP/1.1", "HTTP/1.0"];
const ROUTES: [&str; 3] = ["once", "stream", "resume"];

/// Returns a response with these header lines and this body.
fn response(attempt: &str, lines: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n{lines}\r\n{body}")
}

/// Returns a chunk with these bytes; none without bytes, since that would be the end of the body.
fn chunk(bytes: &str) -> String {
    match bytes.is_empty() {
        true => String::new(),
        false => format!("{:x}\r\n{bytes}\r\n", bytes.len()),
    }
}

/// Uploads a long body to a router with these engines, and returns the response.
async fn upload(addresses: &[String], route: &str, version: &str) -> ClientResponse {
    let state = router(&[]);
    configure(
        &state,
        2,
        json!({"limits": {"max_header_bytes": 16384, "max_body_bytes": UPLOAD_BYTES, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}),
    );
    state.engines().update(&early_engine::endpoint_list(2, addresses), clock::now());
    let mut client = Client::connect_to(router::serve(&state)).await;
    let head =
        format!("POST /{route}/x {version}\r\nHost: h\r\nAttempt-Id: 1\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n");
    client.write(&(head + &"x".repeat(UPLOAD_BYTES))).await;
    time::timeout(RESPONSE_TIMEOUT, client.read_response()).await.expect("a response in time")
}

/// Runs `check` on the responses of `engine_count` engines to uploads on each route for clients of each version.
async fn check_uploads(
    engine_count: usize,
    respond: Respond,
    end: ConnectionEnd,
    check: impl Fn(&str, &ClientResponse) -> bool,
) {
    let addresses: Vec<String> = (0..engine_count).map(|_| early_engine::start(respond, BODY, end)).collect();
    for version in VERSIONS {
        for route in ROUTES {
            for _ in 0..REPETITIONS {
                let response = upload(&addresses, route, version).await;
                assert!(check(version, &response), "{end:?}, {route}, {version}: {response:?}");
            }
        }
    }
}

#[tokio::test]
async fn early_response_that_is_reset_is_not_complete() {
    let truncated: [Respond; 4] = [
        |attempt, body| response(attempt, "", body),
        |attempt, body| response(attempt, "Transfer-Encoding: gzip\r\n", body),
        |attempt, body| response(attempt, &format!("Content-Length: {}\r\n", body.len() + 1), body),
        |attempt, body| response(attempt, "Transfer-Encoding: chunked\r\n", &chunk(body)),
    ];
    for respond in truncated {
        for end in RESETS {
            check_uploads(2, respond, end, |_, response| !response.is_complete_success()).await;
        }
    }
}

#[tokio::test]
async fn early_response_that_is_complete_is_forwarded_complete() {
    let complete: [Respond; 2] = [
        |attempt, body| response(attempt, &format!("Content-Length: {}\r\n", body.len()), body),
        |attempt, body| response(attempt, "Transfer-Encoding: chunked\r\n", &format!("{}0\r\n\r\n", chunk(body))),
    ];
    for respond in complete {
        for end in [ConnectionEnd::CloseBeforeUpload, ConnectionEnd::CloseAfterUpload, ConnectionEnd::ResetAfterUpload]
        {
            check_uploads(2, respond, end, |_, response| response.text() == Some(BODY)).await;
        }
        for end in RESETS {
            let is_sound =
                |_: &str, response: &ClientResponse| !response.is_complete_success() || response.text() == Some(BODY);
            check_uploads(2, respond, end, is_sound).await;
        }
    }
}

#[tokio::test]
async fn early_response_without_a_length_that_ends_in_order_is_closed_for_clients_of_http_1_0() {
    for end in [ConnectionEnd::CloseBeforeUpload, ConnectionEnd::CloseAfterUpload] {
        let check = |version: &str, response: &ClientResponse| match version {
            "HTTP/1.0" => response.text() == Some(BODY),
            _ => !response.is_complete_success(),
        };
        check_uploads(1, |attempt, body| response(attempt, "", body), end, check).await;
    }
}
