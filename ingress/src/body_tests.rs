//! Guards against memory that is not charged while a body is being read, or not returned after it.

use std::convert::Infallible;
use std::future::{pending, poll_fn};
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;

use bytes::Bytes;
use futures_util::{stream, FutureExt, StreamExt};
use http_body::Frame;
use http_body_util::{Full, StreamBody};
use kernel::clock;

use super::{read_body, BodyError, BodyLimits};
use crate::memory_budget::{MemoryBudget, OutOfMemory, Purpose};

/// A quarter of these 4 MB may be taken by bodies.
const MEMORY_MB: u64 = 4;
const PIECE: &[u8] = &[b'x'; 64 * 1024];

fn limits(max_bytes: usize) -> BodyLimits {
    BodyLimits { max_bytes, idle_ms: 60_000, deadline_ms: clock::now() + 60_000 }
}

fn used(budget: &MemoryBudget) -> usize {
    budget.used_bytes(Purpose::RequestBodies)
}

/// Returns a body of this many pieces that never ends.
fn unfinished(pieces: usize) -> impl http_body::Body<Data = Bytes, Error = Infallible> {
    let frames = stream::repeat(Bytes::from_static(PIECE)).take(pieces).map(|piece| Ok(Frame::data(piece)));
    StreamBody::new(frames.chain(stream::once(pending())))
}

async fn read(budget: &Arc<MemoryBudget>, body: impl http_body::Body<Data = Bytes>) -> Result<Bytes, BodyError> {
    read_body(body, &limits(1 << 20), budget.reservation(Purpose::RequestBodies)).await
}

#[tokio::test]
async fn a_body_is_charged_until_its_last_copy_is_dropped() {
    let budget = MemoryBudget::new(MEMORY_MB);
    let body = Bytes::from(PIECE.repeat(2));
    let content = read(&budget, Full::new(body.clone())).await.expect("it is within the limits");
    let copy = content.clone();
    drop(content);
    assert!(copy == body && used(&budget) > PIECE.len());
    drop(copy);
    assert_eq!(used(&budget), 0);
}

#[tokio::test]
async fn bytes_are_charged_while_the_body_is_being_read_and_returned_when_the_future_is_dropped() {
    let budget = MemoryBudget::new(MEMORY_MB);
    {
        let mut reading = pin!(read(&budget, unfinished(4)));
        poll_fn(|context| {
            assert!(reading.poll_unpin(context).is_pending());
            Poll::Ready(())
        })
        .await;
        assert!(used(&budget) >= 3 * PIECE.len());
    }
    assert_eq!(used(&budget), 0);
}

#[tokio::test]
async fn a_body_that_does_not_fit_is_refused_and_its_memory_returned() {
    let budget = MemoryBudget::new(MEMORY_MB);
    let mut other = budget.reservation(Purpose::RequestBodies);
    other.try_grow_to(700_000, 0).expect("there is room");
    assert_eq!(read(&budget, unfinished(8)).await, Err(BodyError::OutOfMemory(OutOfMemory)));
    assert_eq!(used(&budget), 700_000);
    assert!(read(&budget, Full::new(Bytes::from_static(b"small"))).await.is_ok());
}

#[tokio::test]
async fn a_body_beyond_the_limit_is_too_large_whatever_it_announces() {
    let budget = MemoryBudget::new(MEMORY_MB);
    assert_eq!(read(&budget, unfinished(17)).await, Err(BodyError::TooLarge));
    assert_eq!(read(&budget, Full::new(Bytes::from(PIECE.repeat(17)))).await, Err(BodyError::TooLarge));
    assert_eq!(used(&budget), 0);
}

#[tokio::test]
async fn a_body_past_its_deadline_has_timed_out() {
    let budget = MemoryBudget::new(MEMORY_MB);
    let limits = BodyLimits { deadline_ms: clock::now() + 20, ..limits(1 << 20) };
    let result = read_body(unfinished(2), &limits, budget.reservation(Purpose::RequestBodies)).await;
    assert_eq!((result, used(&budget)), (Err(BodyError::TimedOut), 0));
}
