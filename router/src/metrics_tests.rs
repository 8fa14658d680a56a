//! Tests of the request counts, and that documentation and code list the same metrics.

use std::time::Duration;

use tokio::{task, time};

use crate::frontend::drain::DrainPhase;
use crate::limits::quota_gate::Decision;
use crate::metrics::{Outcome, OutcomeLabels, QuotaLabels, Stage};
use crate::state::State;
use crate::testing::engine::{engine_response, engines, events, waiting_engine, EngineAction};
use crate::testing::router::{post, router, send_request, Client};

/// Returns how many requests that arrived in normal operation ended with `outcome`.
fn ended_requests(state: &State, outcome: Outcome) -> u64 {
    state.metrics.requests_ended.get_or_create(&OutcomeLabels { phase: DrainPhase::Serving, outcome }).get()
}

fn unfinished_requests(state: &State) -> i64 {
    let stages = [Stage::Reading, Stage::Forwarding, Stage::Answering];
    stages.into_iter().map(|stage| state.metrics.requests_in_stage(DrainPhase::Serving, stage)).sum()
}

/// Waits until a condition on the metrics holds.
async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            task::yield_now().await;
        }
    };
    time::timeout(Duration::from_secs(10), wait).await.expect("the condition holds in time");
}

#[tokio::test]
async fn each_request_is_counted_once_by_its_outcome() {
    let engines = engines("decode", 1, |request, _| match request.attempt() {
        "broken" => EngineAction::SendAndClose(events(request, 1, 3, false)),
        "failed" => EngineAction::Send(engine_response(request, "500 Internal Server Error", "no")),
        _ => EngineAction::Send(engine_response(request, "200 OK", "hello")),
    })
    .await;
    let state = router(&engines);
    send_request(&state, "once", "good", "").await;
    send_request(&state, "once", "failed", "").await;
    send_request(&state, "none", "nowhere", "").await;
    send_request(&state, "stream", "broken", "").await;
    wait_until(|| unfinished_requests(&state) == 0).await;
    let outcomes = [Outcome::Success, Outcome::EngineFailure, Outcome::NoRoute, Outcome::Cut, Outcome::Lost];
    assert_eq!(outcomes.map(|outcome| ended_requests(&state, outcome)), [1, 1, 1, 1, 0]);
    let text = state.metrics.render(&state);
    assert!(text.contains("tidepoint_router_request_duration_seconds_count 4\n"), "{text}");
}

#[tokio::test]
async fn a_request_is_in_flight_from_its_head_to_the_end_of_its_response() {
    let (engines, resume) = waiting_engine().await;
    let state = router(&engines);
    let mut client = Client::connect(&state).await;
    let request = post("stream", "1", "");
    let (head, body) = request.split_at(request.len() - 2);
    client.write(head).await;
    wait_until(|| state.metrics.requests_in_stage(DrainPhase::Serving, Stage::Reading) == 1).await;
    client.write(body).await;
    wait_until(|| state.metrics.requests_in_stage(DrainPhase::Serving, Stage::Answering) == 1).await;
    assert_eq!(unfinished_requests(&state), 1);
    resume.notify_one();
    client.read_until("0\r\n\r\n").await;
    wait_until(|| unfinished_requests(&state) == 0).await;
    assert_eq!(ended_requests(&state, Outcome::Success), 1);
}

#[tokio::test]
async fn the_documentation_lists_exactly_the_exported_metrics() {
    let engines =
        engines("decode", 1, |request, _| EngineAction::Send(engine_response(request, "200 OK", "hello"))).await;
    let state = router(&engines);
    // A family without a series is not exported.
    send_request(&state, "once", "1", "").await;
    let decision = Decision::Granted;
    state.metrics.quota_decisions.get_or_create(&QuotaLabels { decision }).inc();
    let page = include_str!("../../docs/metrics.md");
    assert_eq!(
        telemetry::testing::metric_names(&state.metrics.render(&state)),
        telemetry::testing::documented_names(page, "tidepoint_router_")
    );
}
