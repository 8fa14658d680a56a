//! A router and controllers on real connections. Time limits are tested in virtual time (`scheduler_tests.rs`); the
//! tests here fail if an update arrives only with a later call or not at all.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future;
use kernel::{clock, settings};
use protocol::config::{read, Config};
use protocol::message::{Message, StalenessLimit};
use tokio::task;

use super::run;
use crate::state::State;
use crate::testing::controller::{controllers, Controller, ResponseMode};
use crate::testing::router::{send_request, status, SETTINGS};

/// The convergence bound, in milliseconds: large enough that a proof stays fresh on a busy machine.
const CONVERGE_MS: u64 = 2000;

fn config(revision: u64, routes: &[&str]) -> Config {
    let route = |name: &&str| {
        serde_json::json!({"name": name, "hostname": "h", "path_prefix": format!("/{name}/"),
            "route_type": "idempotent", "timeout_ms": 20000, "retry_count": 1, "service": "s"})
    };
    let text = serde_json::json!({"revision": revision, "service_table": [{"name": "s"}],
        "route_table": routes.iter().map(route).collect::<Vec<_>>(),
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000}});
    read(&text.to_string()).expect("valid configuration")
}

/// Starts a router that subscribes to these controllers.
fn start_router(controllers: &[Controller], port: u16, converge_ms: u64) -> Arc<State> {
    let seeds: Vec<String> = controllers.iter().map(|controller| format!("\"{}:{port}\"", controller.ip)).collect();
    let text = SETTINGS
        .replace("[7300, 7315]", &format!("[{port}, {port}]\nseed_peers = [{}]", seeds.join(", ")))
        .replace("retry_budget = 1.0", &format!("converge_ms = {converge_ms}, retry_budget = 1.0"));
    let state = State::new(settings::parse(&text).expect("valid settings"));
    tokio::spawn(run(state.clone()));
    state
}

/// Waits until a condition holds, for at most 20 s.
async fn wait_until(condition: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < deadline, "timed out: {condition}");
        task::yield_now().await;
    }
}

async fn wait_until_ready(state: &State) {
    wait_until("ready", || state.ready.load(Ordering::Relaxed)).await;
}

async fn wait_for_revision(state: &State, revision: u64) {
    wait_until("revision in force", || state.table().revision >= revision).await;
}

/// Waits until the proof is too old.
async fn wait_until_unproved(state: &State) {
    wait_until("proof too old", || !state.freshness.is_proved(clock::now())).await;
}

#[tokio::test]
async fn a_router_is_ready_once_it_has_a_proof() {
    let (controllers, port) = controllers(3, &config(7, &["x"]));
    controllers.iter().for_each(|controller| controller.set_mode(ResponseMode::Unconfirmed));
    let state = start_router(&controllers, port, CONVERGE_MS);
    wait_for_revision(&state, 7).await;
    controllers[0].wait_for_calls(controllers[0].calls() + 2).await;
    assert!(!state.ready.load(Ordering::Relaxed), "it holds the whole configuration, but nothing is confirmed");
    controllers[1].set_mode(ResponseMode::Confirming);
    wait_until_ready(&state).await;
}

#[tokio::test]
async fn a_change_arrives_from_another_controller_while_the_home_is_frozen() {
    let (controllers, port) = controllers(3, &config(7, &["x"]));
    let state = start_router(&controllers, port, 600);
    wait_until_ready(&state).await;
    let home = controllers.iter().find(|controller| controller.calls() > 0).expect("one controller was called");
    home.set_mode(ResponseMode::Frozen);
    home.wait_for_calls(home.calls() + 1).await;
    let started_at = Instant::now();
    for controller in controllers.iter().filter(|controller| controller.ip != home.ip) {
        controller.commit(&config(8, &["x", "y"]));
    }
    wait_for_revision(&state, 8).await;
    // The call to the home is still open. Without hedged calls a home was abandoned only after 1,800 ms.
    let elapsed_ms = started_at.elapsed().as_millis();
    assert!(elapsed_ms < 1500, "{elapsed_ms} ms");
}

#[tokio::test]
async fn a_lost_frame_is_requested_again_before_the_renewal_interval_ends() {
    let (controllers, port) = controllers(1, &config(7, &["x"]));
    // A renewal interval of 400 ms.
    let state = start_router(&controllers, port, 4000);
    wait_until_ready(&state).await;
    controllers[0].wait_for_calls(controllers[0].calls() + 2).await;
    controllers[0].set_mode(ResponseMode::LosingFrames);
    controllers[0].commit(&config(8, &["x", "y"]));
    let calls = controllers[0].calls();
    controllers[0].wait_for_calls(calls + 1).await;
    let started_at = Instant::now();
    controllers[0].wait_for_calls(calls + 2).await;
    let elapsed_ms = started_at.elapsed().as_millis();
    assert!(elapsed_ms < 350, "{elapsed_ms} ms");
    controllers[0].set_mode(ResponseMode::Confirming);
    wait_for_revision(&state, 8).await;
}

#[tokio::test]
async fn a_pushed_limit_is_confirmed_before_the_renewal_interval_ends() {
    let (controllers, port) = controllers(1, &config(7, &["x"]));
    // A renewal interval of 400 ms.
    let state = start_router(&controllers, port, 4000);
    wait_until_ready(&state).await;
    controllers[0].wait_for_calls(controllers[0].calls() + 1).await;
    let started_at = Instant::now();
    let limit = StalenessLimit { service: "s".into(), model: "m".into(), version: 1, ..Default::default() };
    controllers[0].push(&Message::StalenessLimit(Box::new(limit)));
    controllers[0].wait_for_calls(controllers[0].calls() + 1).await;
    let elapsed_ms = started_at.elapsed().as_millis();
    assert!(elapsed_ms < 350, "{elapsed_ms} ms");
}

#[tokio::test]
async fn a_router_becomes_ready_with_controllers_of_version_3() {
    let (controllers, port) = controllers(2, &config(7, &["x"]));
    controllers.iter().for_each(|controller| controller.set_mode(ResponseMode::Older));
    let state = start_router(&controllers, port, CONVERGE_MS);
    wait_until_ready(&state).await;
    assert_eq!(status(&send_request(&state, "nowhere", "1", "Time-Budget: 9000\r\n").await), "404");
}

#[tokio::test]
async fn an_unknown_route_gets_404_with_a_proof_and_503_without_one() {
    let (controllers, port) = controllers(2, &config(7, &["x"]));
    let state = start_router(&controllers, port, 600);
    wait_until_ready(&state).await;
    assert_eq!(status(&send_request(&state, "nowhere", "1", "Time-Budget: 9000\r\n").await), "404");
    controllers.iter().for_each(|controller| controller.set_mode(ResponseMode::Frozen));
    wait_until_unproved(&state).await;
    let text = send_request(&state, "nowhere", "2", "Time-Budget: 9000\r\n").await;
    assert_eq!(status(&text), "503", "{text}");
    assert!(text.to_lowercase().contains("retry-after: "), "{text}");
}

#[tokio::test]
async fn a_request_for_a_route_that_has_not_arrived_yet_waits_for_it() {
    let (controllers, port) = controllers(2, &config(7, &["x"]));
    let state = start_router(&controllers, port, CONVERGE_MS);
    wait_until_ready(&state).await;
    controllers.iter().for_each(|controller| controller.set_mode(ResponseMode::Unconfirmed));
    wait_until_unproved(&state).await;
    let calls: usize = controllers.iter().map(Controller::calls).sum();
    let router = state.clone();
    let request = tokio::spawn(async move { send_request(&router, "y", "1", "Time-Budget: 9000\r\n").await });
    for controller in &controllers {
        controller.commit(&config(8, &["x", "y"]));
        controller.set_mode(ResponseMode::Confirming);
    }
    let text = request.await.expect("the request ends");
    // There is no engine to serve it: only the status of an unknown route must not be returned.
    assert_ne!(status(&text), "404", "{text}");
    assert_eq!(state.table().revision, 8, "{text}");
    assert!(controllers.iter().map(Controller::calls).sum::<usize>() > calls);
}

#[tokio::test]
async fn many_requests_for_unknown_routes_cause_no_more_calls_than_one() {
    let (controllers, port) = controllers(3, &config(7, &["x"]));
    let state = start_router(&controllers, port, CONVERGE_MS);
    wait_until_ready(&state).await;
    controllers.iter().for_each(|controller| controller.set_mode(ResponseMode::Unconfirmed));
    wait_until_unproved(&state).await;
    let total_calls = || controllers.iter().map(Controller::calls).sum::<usize>();
    let mut calls = Vec::new();
    for requests in [1, 150] {
        let before = total_calls();
        let names: Vec<String> = (0..requests).map(|number| format!("nowhere-{number}")).collect();
        let responses = names.iter().map(|name| send_request(&state, name, name, "Time-Budget: 9000\r\n"));
        for text in future::join_all(responses).await {
            assert_eq!(status(&text), "503", "{text}");
        }
        calls.push(total_calls() - before);
    }
    // Renewals and hedged calls continue while the many requests are read.
    assert!(calls[1] <= calls[0] + 4, "{calls:?}");
}
