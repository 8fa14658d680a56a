//! A router and controllers on real connections. How long things take is shown in virtual time (`scheduler_tests.rs`);
//! here each test fails where something comes only with a later call or not at all.

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
use crate::testing::controller::{controllers, Controller, Manner};
use crate::testing::router::{ask, status, SETTINGS};

/// Large enough that a proof does not become too old merely because the machine is busy.
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
    read(&text.to_string()).expect("good")
}

/// Starts a router that subscribes to these controllers.
fn follow(controllers: &[Controller], port: u16, converge_ms: u64) -> Arc<State> {
    let seeds: Vec<String> = controllers.iter().map(|controller| format!("\"{}:{port}\"", controller.ip)).collect();
    let text = SETTINGS
        .replace("[7300, 7315]", &format!("[{port}, {port}]\nseed_peers = [{}]", seeds.join(", ")))
        .replace("retry_budget = 1.0", &format!("converge_ms = {converge_ms}, retry_budget = 1.0"));
    let state = State::new(settings::parse(&text).expect("good settings"));
    tokio::spawn(run(state.clone()));
    state
}

/// Waits until a condition holds, for at most 20 s.
async fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        task::yield_now().await;
    }
}

async fn ready(state: &State) {
    until("ready", || state.ready.load(Ordering::Relaxed)).await;
}

async fn in_force(state: &State, revision: u64) {
    until("in force", || state.table().revision >= revision).await;
}

/// Waits until the proof is too old.
async fn unproved(state: &State) {
    until("no proof", || !state.freshness.is_proved(clock::now())).await;
}

#[tokio::test]
async fn a_router_is_ready_once_it_has_a_proof() {
    let (controllers, port) = controllers(3, &config(7, &["x"]));
    controllers.iter().for_each(|controller| controller.set(Manner::Unconfirmed));
    let state = follow(&controllers, port, CONVERGE_MS);
    in_force(&state, 7).await;
    controllers[0].called(controllers[0].calls() + 2).await;
    assert!(!state.ready.load(Ordering::Relaxed), "it has all, but nothing is confirmed");
    controllers[1].set(Manner::Confirming);
    ready(&state).await;
}

#[tokio::test]
async fn a_change_comes_from_others_while_the_home_is_frozen() {
    let (controllers, port) = controllers(3, &config(7, &["x"]));
    let state = follow(&controllers, port, 600);
    ready(&state).await;
    let home = controllers.iter().find(|controller| controller.calls() > 0).expect("a home");
    home.set(Manner::Frozen);
    home.called(home.calls() + 1).await;
    let begun = Instant::now();
    for controller in controllers.iter().filter(|controller| controller.ip != home.ip) {
        controller.commit(&config(8, &["x", "y"]));
    }
    in_force(&state, 8).await;
    // The call at the home is still open; formerly a home was left after 1,800 ms.
    let elapsed_ms = begun.elapsed().as_millis();
    assert!(elapsed_ms < 1500, "{elapsed_ms} ms");
}

#[tokio::test]
async fn a_lost_frame_is_requested_again_without_waiting_for_the_renewal_interval() {
    let (controllers, port) = controllers(1, &config(7, &["x"]));
    // A renewal interval of 400 ms.
    let state = follow(&controllers, port, 4000);
    ready(&state).await;
    controllers[0].called(controllers[0].calls() + 2).await;
    controllers[0].set(Manner::LosingFrames);
    controllers[0].commit(&config(8, &["x", "y"]));
    let calls = controllers[0].calls();
    controllers[0].called(calls + 1).await;
    let begun = Instant::now();
    controllers[0].called(calls + 2).await;
    let elapsed_ms = begun.elapsed().as_millis();
    assert!(elapsed_ms < 350, "{elapsed_ms} ms");
    controllers[0].set(Manner::Confirming);
    in_force(&state, 8).await;
}

#[tokio::test]
async fn a_pushed_limit_is_confirmed_without_waiting_for_the_renewal_interval() {
    let (controllers, port) = controllers(1, &config(7, &["x"]));
    // A renewal interval of 400 ms.
    let state = follow(&controllers, port, 4000);
    ready(&state).await;
    controllers[0].called(controllers[0].calls() + 1).await;
    let begun = Instant::now();
    let rule = StalenessLimit { service: "s".into(), model: "m".into(), version: 1, ..Default::default() };
    controllers[0].push(&Message::StalenessLimit(Box::new(rule)));
    controllers[0].called(controllers[0].calls() + 1).await;
    let elapsed_ms = begun.elapsed().as_millis();
    assert!(elapsed_ms < 350, "{elapsed_ms} ms");
}

#[tokio::test]
async fn controllers_of_version_three_are_followed() {
    let (controllers, port) = controllers(2, &config(7, &["x"]));
    controllers.iter().for_each(|controller| controller.set(Manner::Older));
    let state = follow(&controllers, port, CONVERGE_MS);
    ready(&state).await;
    assert_eq!(status(&ask(&state, "nowhere", "1", "Time-Budget: 9000\r\n").await), "404");
}

#[tokio::test]
async fn an_unknown_route_is_refused_only_with_a_proof() {
    let (controllers, port) = controllers(2, &config(7, &["x"]));
    let state = follow(&controllers, port, 600);
    ready(&state).await;
    assert_eq!(status(&ask(&state, "nowhere", "1", "Time-Budget: 9000\r\n").await), "404");
    controllers.iter().for_each(|controller| controller.set(Manner::Frozen));
    unproved(&state).await;
    let text = ask(&state, "nowhere", "2", "Time-Budget: 9000\r\n").await;
    assert_eq!(status(&text), "503", "{text}");
    assert!(text.to_lowercase().contains("retry-after: "), "{text}");
}

#[tokio::test]
async fn a_request_on_a_route_that_has_not_arrived_yet_waits_for_it() {
    let (controllers, port) = controllers(2, &config(7, &["x"]));
    let state = follow(&controllers, port, CONVERGE_MS);
    ready(&state).await;
    controllers.iter().for_each(|controller| controller.set(Manner::Unconfirmed));
    unproved(&state).await;
    let calls: usize = controllers.iter().map(Controller::calls).sum();
    let asking = state.clone();
    let answer = tokio::spawn(async move { ask(&asking, "y", "1", "Time-Budget: 9000\r\n").await });
    for controller in &controllers {
        controller.commit(&config(8, &["x", "y"]));
        controller.set(Manner::Confirming);
    }
    let text = answer.await.expect("it ends");
    // No engine serves it here; what counts is that the route is not reported as unknown.
    assert_ne!(status(&text), "404", "{text}");
    assert_eq!(state.table().revision, 8, "{text}");
    assert!(controllers.iter().map(Controller::calls).sum::<usize>() > calls);
}

#[tokio::test]
async fn a_flood_of_unknown_routes_causes_no_more_calls_than_one() {
    let (controllers, port) = controllers(3, &config(7, &["x"]));
    let state = follow(&controllers, port, CONVERGE_MS);
    ready(&state).await;
    controllers.iter().for_each(|controller| controller.set(Manner::Unconfirmed));
    unproved(&state).await;
    let total = || controllers.iter().map(Controller::calls).sum::<usize>();
    let mut cost = Vec::new();
    for requests in [1, 150] {
        let before = total();
        let names: Vec<String> = (0..requests).map(|number| format!("nowhere-{number}")).collect();
        let each = names.iter().map(|name| ask(&state, name, name, "Time-Budget: 9000\r\n"));
        for text in future::join_all(each).await {
            assert_eq!(status(&text), "503", "{text}");
        }
        cost.push(total() - before);
    }
    // Renewals and hedged calls go on meanwhile, and reading many requests takes a moment.
    assert!(cost[1] <= cost[0] + 4, "{cost:?}");
}
