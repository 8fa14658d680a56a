use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use futures_util::future;
use kernel::{clock, settings};
use tokio::time::Instant;

use super::{wait_for_table, LookupMiss, MAX_WAITING};
use crate::config::activation;
use crate::config::routing_table::RoutingTable;
use crate::state::State;
use crate::testing::router::SETTINGS;

/// The time that a request has left, in milliseconds: too long to shorten its wait.
const LEFT_MS: u64 = 60_000;

fn router_without_proof() -> Arc<State> {
    State::new(settings::parse(SETTINGS).expect("valid settings"))
}

fn activate(state: &State, revision: u64) {
    let config = serde_json::json!({"revision": revision, "route_table": [], "service_table": []});
    activation::apply_document(state, revision, config.to_string().as_bytes());
}

/// Returns a look-up of an entry that exists from a revision on.
fn exists_since(revision: u64) -> impl Fn(&RoutingTable) -> bool {
    move |table| table.revision >= revision
}

async fn find_table(state: &State, revision: u64) -> Result<u64, LookupMiss> {
    wait_for_table(state, LEFT_MS, exists_since(revision)).await.map(|table| table.revision)
}

#[tokio::test(start_paused = true)]
async fn a_hit_needs_no_proof_and_a_miss_with_a_proof_is_certain_at_once() {
    let state = router_without_proof();
    activate(&state, 5);
    assert_eq!(find_table(&state, 5).await, Ok(5));
    state.freshness.prove(clock::now() as i64);
    let started_at = Instant::now();
    assert_eq!(find_table(&state, 6).await, Err(LookupMiss::Certain));
    assert_eq!(started_at.elapsed().as_millis(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_miss_with_a_proof_that_is_too_old_is_unproved() {
    let state = router_without_proof();
    let max_age = state.freshness.budget().refusal_age_ms() as i64;
    state.freshness.prove(clock::now() as i64 - max_age - 1);
    assert_eq!(find_table(&state, 6).await, Err(LookupMiss::Unproved));
    state.freshness.prove(clock::now() as i64 - max_age / 2);
    assert_eq!(find_table(&state, 6).await, Err(LookupMiss::Certain));
}

#[tokio::test(start_paused = true)]
async fn an_unproved_miss_waits_for_a_bounded_time() {
    let state = router_without_proof();
    let started_at = Instant::now();
    assert_eq!(find_table(&state, 6).await, Err(LookupMiss::Unproved));
    let waited = started_at.elapsed().as_millis() as u64;
    let max_wait = state.freshness.budget().refusal_wait_ms();
    assert!((max_wait..max_wait + 10).contains(&waited), "{waited}");
    let started_at = Instant::now();
    assert!(wait_for_table(&state, 90, exists_since(6)).await.is_err());
    assert!(started_at.elapsed().as_millis() <= 31, "longer than a third of the time left");
}

#[tokio::test(start_paused = true)]
async fn a_waiting_request_gets_a_table_that_arrives_in_time() {
    let state = router_without_proof();
    let request = |revision| {
        let state = state.clone();
        tokio::spawn(async move { find_table(&state, revision).await })
    };
    let (found, missed) = (request(6), request(7));
    state.freshness.proof_wanted().await;
    activate(&state, 6);
    assert_eq!(found.await.expect("the request ends"), Ok(6), "the entry arrived late");
    assert!(!missed.is_finished());
    state.freshness.prove(clock::now() as i64);
    assert_eq!(missed.await.expect("the request ends"), Err(LookupMiss::Certain));
}

#[tokio::test(start_paused = true)]
async fn waiting_requests_wake_the_subscription_once_and_their_number_is_bounded() {
    let state = router_without_proof();
    let wakeups = Arc::new(AtomicUsize::new(0));
    let (count, subscriber) = (wakeups.clone(), state.clone());
    tokio::spawn(async move {
        loop {
            subscriber.freshness.proof_wanted().await;
            count.fetch_add(1, Ordering::Relaxed);
        }
    });
    let started_at = Instant::now();
    let requests = (0..MAX_WAITING + 50).map(|_| async {
        assert_eq!(find_table(&state, 6).await, Err(LookupMiss::Unproved));
        started_at.elapsed().as_millis()
    });
    let waited: Vec<u128> = future::join_all(requests).await;
    assert_eq!(waited.iter().filter(|waited| **waited == 0).count(), 50);
    assert_eq!(wakeups.load(Ordering::Relaxed), 1);
    let started_at = Instant::now();
    assert_eq!(find_table(&state, 6).await, Err(LookupMiss::Unproved));
    assert!(started_at.elapsed().as_millis() > 0, "finished requests still count as waiting");
}
