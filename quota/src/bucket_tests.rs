//! Refills and limits of a token bucket.

use super::{Quota, TokenBucket};

const QUOTA: Quota = Quota { rate_per_s: 10.0, burst: 5.0 };

fn acquire(bucket: &mut TokenBucket, attempts: usize) -> usize {
    (0..attempts).filter(|_| bucket.try_acquire()).count()
}

#[test]
fn a_bucket_fills_at_its_rate_up_to_its_burst() {
    let mut bucket = TokenBucket::empty(1000);
    bucket.refill(&QUOTA, 1000);
    assert_eq!(acquire(&mut bucket, 10), 0);
    bucket.refill(&QUOTA, 1250);
    assert_eq!(acquire(&mut bucket, 10), 2);
    bucket.refill(&QUOTA, 60_000);
    assert_eq!(acquire(&mut bucket, 10), 5);
}

#[test]
fn a_lower_limit_removes_the_tokens_above_its_burst() {
    let mut bucket = TokenBucket::empty(0);
    bucket.refill(&QUOTA, 1000);
    bucket.refill(&Quota { rate_per_s: 1.0, burst: 2.0 }, 1000);
    assert_eq!(acquire(&mut bucket, 10), 2);
}

#[test]
fn time_that_goes_backwards_issues_no_token_twice() {
    let mut bucket = TokenBucket::empty(0);
    bucket.refill(&QUOTA, 300);
    bucket.refill(&QUOTA, 100);
    bucket.refill(&QUOTA, 300);
    assert_eq!(acquire(&mut bucket, 10), 3);
}

#[test]
fn the_time_to_the_next_token_follows_from_the_rate() {
    let mut bucket = TokenBucket::empty(0);
    bucket.refill(&QUOTA, 50);
    assert_eq!(bucket.next_token_ms(&QUOTA), 50);
}

#[test]
fn a_rate_of_zero_is_no_limit_and_a_shard_has_a_burst_of_at_least_one() {
    assert_eq!(Quota::new(0.0, 9.0), None);
    let shard = Quota::new(6.0, 0.0).expect("a limit").shard(3);
    assert_eq!((shard.rate_per_s, shard.burst), (2.0, 1.0));
}
