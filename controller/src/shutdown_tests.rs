//! Graceful shutdown in virtual time.

use std::future;
use std::time::Duration;

use tokio::time::{self, Instant};

use super::{shutdown_deadline, Shutdown};

#[tokio::test(start_paused = true)]
async fn shutdown_waits_for_work_in_progress() {
    let shutdown = Shutdown::default();
    shutdown.spawn(time::sleep(Duration::from_millis(1200)));
    let started = Instant::now();
    assert!(shutdown.run(shutdown_deadline(8.0)).await);
    assert_eq!(started.elapsed().as_millis(), 1200);
    assert!(shutdown.is_closing());
}

#[tokio::test(start_paused = true)]
async fn shutdown_abandons_unfinished_work_before_the_grace_period_ends() {
    let shutdown = Shutdown::default();
    shutdown.spawn(future::pending());
    let started = Instant::now();
    assert!(!shutdown.run(shutdown_deadline(8.0)).await);
    assert_eq!(started.elapsed().as_millis(), 7700);
}

#[tokio::test(start_paused = true)]
async fn shutdown_without_work_ends_at_once() {
    let started = Instant::now();
    assert!(Shutdown::default().run(shutdown_deadline(8.0)).await);
    assert_eq!(started.elapsed().as_millis(), 0);
}
