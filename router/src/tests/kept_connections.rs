//! Keep-alive connections of clients: whatever happens to a request at its engine, the client gets a response and can
//! send the next request.

use std::time::Duration;

use tokio::time;

use crate::testing::engine::{engine_response, engines, received_requests, waiting_engine, EngineAction};
use crate::testing::router::{configure, post, router, status, Client};

#[tokio::test]
async fn failed_request_gets_a_response_and_keeps_the_client_connection_open() {
    let fleet = engines("decode", 1, |request, _| match request.attempt().chars().next() {
        Some('r') => EngineAction::SendAndReset(String::new()),
        Some('c') => EngineAction::SendAndClose(String::new()),
        Some('f') => EngineAction::SendAndClose("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n".into()),
        _ => EngineAction::Send(engine_response(request, "200 OK", "hello")),
    })
    .await;
    let state = router(&fleet);
    let mut client = Client::connect(&state).await;
    for (attempt, expected) in
        [("g1", "200"), ("r2", "502"), ("g3", "200"), ("c4", "502"), ("f5", "502"), ("g6", "200")]
    {
        client.write(&post("once", attempt, "")).await;
        let end = if expected == "200" { "hello" } else { "\r\n\r\n" };
        let text = client.read_until(end).await;
        assert_eq!(status(&text), expected, "{attempt}: {text}");
        assert!(!text.to_lowercase().contains("connection: close"), "{attempt}: {text}");
    }
    assert_eq!(received_requests(&fleet).len(), 6);
}

#[tokio::test]
async fn changed_limits_do_not_abort_a_response_on_a_keep_alive_connection() {
    let (fleet, resume) = waiting_engine().await;
    let state = router(&fleet);
    let mut client = Client::connect(&state).await;
    client.write(&post("stream", "1", "")).await;
    client.read_until("\r\n\r\n").await;
    let limits = serde_json::json!({"max_header_bytes": 4096, "max_body_bytes": 1000, "header_timeout_ms": 1,
        "idle_timeout_ms": 1});
    configure(&state, 2, serde_json::json!({"limits": limits, "route_table": []}));
    time::sleep(Duration::from_millis(50)).await;
    resume.notify_one();
    let text = client.read_until("0\r\n\r\n").await;
    assert!(text.contains("token-2"), "{text}");
}
