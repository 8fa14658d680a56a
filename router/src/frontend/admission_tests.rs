//! Rejection of unknown keys and routes while the configuration may be stale.

use std::time::Duration;

use ingress::Purpose;
use tokio::{task, time};

use crate::state::State;
use crate::testing::engine::{engine_response, engines, received_requests, Engine, EngineAction};
use crate::testing::router::{configure, post, router, send_request, status, unproved_router, Client};

const AUTHORIZATION: &str = "Authorization: Bearer k1\r\n";

async fn succeeding_engines() -> Vec<Engine> {
    engines("decode", 1, |request, _| EngineAction::Send(engine_response(request, "200 OK", "hello"))).await
}

/// Applies a configuration with one tenant that has these API keys.
fn configure_api_keys(state: &State, keys: &[&str]) {
    let revision = state.table().revision + 1;
    configure(state, revision, serde_json::json!({"tenant_table": [{"name": "one", "api_keys": keys}]}));
}

#[tokio::test]
async fn an_unknown_key_or_route_is_rejected_with_retry_after_while_the_table_may_be_stale() {
    let engines = succeeding_engines().await;
    let state = unproved_router(&engines, 5.0);
    configure_api_keys(&state, &["k2"]);
    for route in ["once", "gone"] {
        let text = send_request(&state, route, "1", &format!("Time-Budget: 60\r\n{AUTHORIZATION}")).await;
        assert_eq!(status(&text), "503", "{route}: {text}");
        assert!(text.to_lowercase().contains("retry-after"), "{text}");
    }
    state.freshness.prove(i64::MAX);
    for (route, expected) in [("once", "401"), ("gone", "404")] {
        assert_eq!(status(&send_request(&state, route, "1", AUTHORIZATION).await), expected);
    }
    assert_eq!(received_requests(&engines).len(), 0);
}

#[tokio::test]
async fn a_request_that_waits_for_a_current_table_is_served_once_its_key_is_configured() {
    let engines = succeeding_engines().await;
    let state = unproved_router(&engines, 5.0);
    configure_api_keys(&state, &["k2"]);
    let mut client = Client::connect(&state).await;
    client.write(&post("once", "1", &format!("Connection: close\r\n{AUTHORIZATION}"))).await;
    let timeout = Duration::from_secs(10);
    time::timeout(timeout, state.freshness.proof_wanted()).await.expect("a freshness proof is requested");
    configure_api_keys(&state, &["k1"]);
    let text = client.read_to_end().await;
    assert_eq!((status(&text), received_requests(&engines).len()), ("200", 1), "{text}");
}

#[tokio::test]
async fn a_known_key_is_accepted_without_a_freshness_proof() {
    let engines = succeeding_engines().await;
    let state = unproved_router(&engines, 5.0);
    configure_api_keys(&state, &["k1"]);
    assert_eq!(status(&send_request(&state, "once", "1", AUTHORIZATION).await), "200");
}

/// Waits until no memory is reserved for bodies any more.
async fn wait_until_returned(state: &State) {
    let returned = async {
        while state.memory.used_bytes(Purpose::RequestBodies) > 0 {
            task::yield_now().await;
        }
    };
    time::timeout(Duration::from_secs(10), returned).await.expect("the memory is returned");
}

#[tokio::test]
async fn memory_of_bodies_is_returned_however_their_request_ends() {
    let engines = succeeding_engines().await;
    let state = router(&engines);
    let head = |framing: &str| format!("POST /again/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: 1\r\n{framing}\r\n");
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    let in_chunks = head("Transfer-Encoding: chunked\r\n") + &chunk;
    let brief = head("Transfer-Encoding: chunked\r\nTime-Budget: 50\r\n") + &chunk;
    for (text, expected) in [
        (format!("{in_chunks}0\r\n\r\n"), "200"),
        (format!("{in_chunks}no chunk\r\n"), "400"),
        (format!("{in_chunks}{chunk}{chunk}"), "413"),
        (brief, "408"),
    ] {
        let mut client = Client::connect(&state).await;
        client.write(&text).await;
        assert_eq!(status(&client.read_until("\r\n\r\n").await), expected);
        drop(client);
        wait_until_returned(&state).await;
    }
    let mut client = Client::connect(&state).await;
    client.write(&in_chunks).await;
    while state.memory.used_bytes(Purpose::RequestBodies) == 0 {
        task::yield_now().await;
    }
    drop(client);
    wait_until_returned(&state).await;
}

#[tokio::test]
async fn a_large_body_without_memory_for_it_is_refused_unrun_and_a_small_one_is_served() {
    let engines = succeeding_engines().await;
    let state = router(&engines);
    let mut other = state.memory.reservation(Purpose::RequestBodies);
    other.try_grow_to(256_000_000, 0).expect("it is alone");
    let large = format!("POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n{}", "x".repeat(40_000));
    let mut client = Client::connect(&state).await;
    client.write(&large).await;
    let text = client.read_until("\r\n\r\n").await.to_lowercase();
    assert_eq!((status(&text), received_requests(&engines).len()), ("503", 0), "{text}");
    assert!(text.contains("retry-after") && text.contains("connection: close"), "{text}");
    assert_eq!(status(&send_request(&state, "once", "1", "").await), "200");
}
