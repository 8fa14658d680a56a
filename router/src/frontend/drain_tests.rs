//! Tests of the graceful shutdown phases, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{self, Instant};

use super::{Drain, DrainPhase, DrainSchedule};

async fn sleep_ms(duration_ms: u64) {
    time::sleep(Duration::from_millis(duration_ms)).await;
}

/// Starts a shutdown with a grace period of eight seconds. The task returns how long it took, in milliseconds.
fn start_shutdown(drain: &Arc<Drain>) -> JoinHandle<u128> {
    let drain = drain.clone();
    let started = Instant::now();
    tokio::spawn(async move {
        drain.run(&DrainSchedule::for_grace(8.0)).await;
        started.elapsed().as_millis()
    })
}

/// Tracks a connection that ends after `duration_ms`.
fn connect(drain: &Arc<Drain>, duration_ms: u64) {
    let drain = drain.clone();
    tokio::spawn(async move { drain.track_connection(sleep_ms(duration_ms)).await });
}

#[test]
fn a_grace_period_is_split_into_accepting_finishing_and_a_reserve() {
    let split_ms = |grace_s: f64| {
        let schedule = DrainSchedule::for_grace(grace_s);
        (schedule.accept_for.as_millis(), schedule.finish_within.as_millis())
    };
    assert_eq!(split_ms(8.0), (3000, 7700));
    assert_eq!(split_ms(30.0), (3000, 29_700));
    assert_eq!(split_ms(3.0), (1125, 2875));
    assert_eq!(split_ms(0.0), (0, 0));
}

#[test]
fn requests_in_flight_get_at_least_five_sixths_of_any_grace_period() {
    for tenths in 1..600 {
        let grace_s = f64::from(tenths) / 10.0;
        let schedule = DrainSchedule::for_grace(grace_s);
        assert!(schedule.finish_within.as_secs_f64() >= grace_s * 5.0 / 6.0 - 0.001, "{grace_s} {schedule:?}");
        assert!(schedule.accept_for < schedule.finish_within, "{grace_s} {schedule:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_remaining_time_is_known_once_a_shutdown_has_started() {
    let drain = Arc::new(Drain::default());
    assert_eq!(drain.remaining_ms(), None);
    let shutdown = start_shutdown(&drain);
    sleep_ms(1000).await;
    assert_eq!(drain.remaining_ms(), Some(6700));
    shutdown.await.expect("shutdown task");
}

#[tokio::test(start_paused = true)]
async fn a_shutdown_without_connections_ends_after_the_unready_detection_time() {
    let drain = Arc::new(Drain::default());
    assert_eq!(drain.phase(), DrainPhase::Serving);
    let shutdown = start_shutdown(&drain);
    sleep_ms(2999).await;
    assert_eq!(drain.phase(), DrainPhase::Draining);
    sleep_ms(2).await;
    assert_eq!((drain.phase(), shutdown.await.expect("shutdown task")), (DrainPhase::Closing, 3000));
}

#[tokio::test(start_paused = true)]
async fn a_shutdown_ends_when_the_last_connection_ends() {
    let drain = Arc::new(Drain::default());
    connect(&drain, 4200);
    let shutdown = start_shutdown(&drain);
    sleep_ms(1000).await;
    connect(&drain, 4000);
    assert_eq!(shutdown.await.expect("shutdown task"), 5000);
}

#[tokio::test(start_paused = true)]
async fn a_shutdown_stops_waiting_for_open_connections_at_its_deadline() {
    let drain = Arc::new(Drain::default());
    connect(&drain, 60_000);
    assert_eq!(start_shutdown(&drain).await.expect("shutdown task"), 7700);
}

#[tokio::test(start_paused = true)]
async fn a_task_that_waits_for_closing_is_woken_when_closing_begins() {
    let drain = Arc::new(Drain::default());
    let shutdown = start_shutdown(&drain);
    drain.wait_for_closing().await;
    assert_eq!(drain.phase(), DrainPhase::Closing);
    shutdown.await.expect("shutdown task");
}
