//! Rejection of unknown keys and routes while the configuration may be stale.

use std::time::Duration;

use tokio::time;

use crate::state::State;
use crate::testing::engine::{engine_response, engines, received_requests, Engine, EngineAction};
use crate::testing::router::{configure, post, send_request, status, unproved_router, Client};

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
