//! A controller's end, in virtual time.

use std::future;
use std::time::Duration;

use tokio::time::{self, Instant};

use super::{last_moment, Shutdown};

#[tokio::test(start_paused = true)]
async fn work_under_way_is_finished_first() {
    let shutdown = Shutdown::default();
    shutdown.spawn(time::sleep(Duration::from_millis(1200)));
    let begun = Instant::now();
    assert!(shutdown.run(last_moment(8.0)).await);
    assert_eq!(begun.elapsed().as_millis(), 1200);
    assert!(shutdown.is_closing());
}

#[tokio::test(start_paused = true)]
async fn work_that_does_not_end_does_not_outlast_the_grace() {
    let shutdown = Shutdown::default();
    shutdown.spawn(future::pending());
    let begun = Instant::now();
    assert!(!shutdown.run(last_moment(8.0)).await);
    assert_eq!(begun.elapsed().as_millis(), 7700);
}

#[tokio::test(start_paused = true)]
async fn without_work_it_ends_at_once() {
    let begun = Instant::now();
    assert!(Shutdown::default().run(last_moment(8.0)).await);
    assert_eq!(begun.elapsed().as_millis(), 0);
}
