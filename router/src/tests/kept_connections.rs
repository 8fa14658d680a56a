//! Kept-alive connections of clients: whatever becomes of a request at its engine, it is answered, and the next is served.

use std::time::Duration;

use tokio::time;

use crate::testing::engine::{answer, engines, seen, waiting_engine, Act};
use crate::testing::router::{configure, post, router, status, Client};

#[tokio::test]
async fn a_request_that_an_engine_has_is_answered_on_its_kept_connection() {
    let list = engines("decode", 1, |seen, _| match seen.attempt().chars().next() {
        Some('r') => Act::SendAndReset(String::new()),
        Some('c') => Act::SendAndClose(String::new()),
        Some('f') => Act::SendAndClose("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n".into()),
        _ => Act::Send(answer(seen, "200 OK", "hello")),
    })
    .await;
    let state = router(&list);
    let mut client = Client::connect(&state).await;
    for (attempt, expected) in
        [("g1", "200"), ("r2", "502"), ("g3", "200"), ("c4", "502"), ("f5", "502"), ("g6", "200")]
    {
        client.write(&post("once", attempt, "")).await;
        let end = if expected == "200" { "hello" } else { "\r\n\r\n" };
        let text = client.until(end).await;
        assert_eq!(status(&text), expected, "{attempt}: {text}");
        assert!(!text.to_lowercase().contains("connection: close"), "{attempt}: {text}");
    }
    assert_eq!(seen(&list).len(), 6);
}

#[tokio::test]
async fn a_change_of_the_limits_ends_no_answer_on_a_kept_connection() {
    let (list, go_on) = waiting_engine().await;
    let state = router(&list);
    let mut client = Client::connect(&state).await;
    client.write(&post("stream", "1", "")).await;
    client.until("\r\n\r\n").await;
    let limits = serde_json::json!({"max_header_bytes": 4096, "max_body_bytes": 1000, "header_timeout_ms": 1,
        "idle_timeout_ms": 1});
    configure(&state, 2, serde_json::json!({"limits": limits, "route_table": []}));
    time::sleep(Duration::from_millis(50)).await;
    go_on.notify_one();
    let text = client.until("0\r\n\r\n").await;
    assert!(text.contains("token-2"), "{text}");
}
