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

/// A client that has long.
const LEFT_MS: u64 = 60_000;

fn unproved() -> Arc<State> {
    State::new(settings::parse(SETTINGS).expect("good settings"))
}

fn put_in_force(state: &State, revision: u64) {
    let config = serde_json::json!({"revision": revision, "route_table": [], "service_table": []});
    activation::apply_document(state, revision, config.to_string().as_bytes());
}

/// What a request looks for: something that is there from a revision on.
fn since(revision: u64) -> impl Fn(&RoutingTable) -> bool {
    move |table| table.revision >= revision
}

async fn find_table(state: &State, revision: u64) -> Result<u64, LookupMiss> {
    wait_for_table(state, LEFT_MS, since(revision)).await.map(|table| table.revision)
}

#[tokio::test(start_paused = true)]
async fn what_is_there_needs_no_proof_and_a_miss_under_proof_is_certain_at_once() {
    let state = unproved();
    put_in_force(&state, 5);
    assert_eq!(find_table(&state, 5).await, Ok(5));
    state.freshness.prove(clock::now() as i64);
    let begun = Instant::now();
    assert_eq!(find_table(&state, 6).await, Err(LookupMiss::Certain));
    assert_eq!(begun.elapsed().as_millis(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_proof_that_is_too_old_proves_nothing() {
    let state = unproved();
    let age = state.freshness.budget().refusal_age_ms() as i64;
    state.freshness.prove(clock::now() as i64 - age - 1);
    assert_eq!(find_table(&state, 6).await, Err(LookupMiss::Unproved));
    state.freshness.prove(clock::now() as i64 - age / 2);
    assert_eq!(find_table(&state, 6).await, Err(LookupMiss::Certain));
}

#[tokio::test(start_paused = true)]
async fn a_miss_that_is_not_proved_waits_for_a_bounded_time() {
    let state = unproved();
    let begun = Instant::now();
    assert_eq!(find_table(&state, 6).await, Err(LookupMiss::Unproved));
    let waited = begun.elapsed().as_millis() as u64;
    let most = state.freshness.budget().refusal_wait_ms();
    assert!((most..most + 10).contains(&waited), "{waited}");
    let begun = Instant::now();
    assert!(wait_for_table(&state, 90, since(6)).await.is_err());
    assert!(begun.elapsed().as_millis() <= 31, "a third of what the client has left");
}

#[tokio::test(start_paused = true)]
async fn who_waits_gets_what_comes_meanwhile() {
    let state = unproved();
    let waiting = |revision| {
        let state = state.clone();
        tokio::spawn(async move { find_table(&state, revision).await })
    };
    let (added, never) = (waiting(6), waiting(7));
    state.freshness.wanted().await;
    put_in_force(&state, 6);
    assert_eq!(added.await.expect("it ends"), Ok(6), "the route was only late");
    assert!(!never.is_finished());
    state.freshness.prove(clock::now() as i64);
    assert_eq!(never.await.expect("it ends"), Err(LookupMiss::Certain));
}

#[tokio::test(start_paused = true)]
async fn any_number_that_wait_ask_once_and_no_more_than_a_bound_wait() {
    let state = unproved();
    let asked = Arc::new(AtomicUsize::new(0));
    let (count, follower) = (asked.clone(), state.clone());
    tokio::spawn(async move {
        loop {
            follower.freshness.wanted().await;
            count.fetch_add(1, Ordering::Relaxed);
        }
    });
    let begun = Instant::now();
    let all = (0..MAX_WAITING + 50).map(|_| async {
        assert_eq!(find_table(&state, 6).await, Err(LookupMiss::Unproved));
        begun.elapsed().as_millis()
    });
    let waited: Vec<u128> = future::join_all(all).await;
    assert_eq!(waited.iter().filter(|waited| **waited == 0).count(), 50);
    assert_eq!(asked.load(Ordering::Relaxed), 1);
    let begun = Instant::now();
    assert_eq!(find_table(&state, 6).await, Err(LookupMiss::Unproved));
    assert!(begun.elapsed().as_millis() > 0, "those that are through are not counted any more");
}
