//! Reading the body of a request into memory that was reserved before.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use kernel::clock;
use thiserror::Error;
use tokio::time;

use crate::body_progress::BodyProgress;
use crate::memory_budget::{OutOfMemory, Reservation};
use crate::reserved::ReservedBytes;

/// The initial capacity for a body of unknown length, in bytes.
const INITIAL_CAPACITY: usize = 4 * 1024;
/// The initial capacity for a body of known length, in bytes, unless it is shorter.
const MAX_INITIAL_CAPACITY: usize = 64 * 1024;

/// What a body may take.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The largest length in bytes.
    pub max_bytes: usize,
    /// The longest time without any byte, in milliseconds.
    pub idle_ms: u64,
    /// When the body must be complete, in milliseconds of the steady clock.
    pub deadline_ms: u64,
}

/// Why a body could not be read. Nothing of its request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLarge,
    /// It stalled, or did not arrive in time.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// The process has no memory left for it.
    #[error(transparent)]
    OutOfMemory(#[from] OutOfMemory),
    /// The connection ended, or the framing is invalid.
    #[error("the body is incomplete or malformed")]
    Malformed,
}

/// A body in memory, together with its reservation.
type ReservedBuffer = ReservedBytes<Vec<u8>>;

impl ReservedBuffer {
    /// Appends data; the capacity doubles as needed, up to `max_capacity`, and is reserved before it is allocated.
    fn append(&mut self, data: &[u8], max_capacity: usize) -> Result<(), OutOfMemory> {
        let needed = self.content.len() + data.len();
        if needed > self.content.capacity() {
            let doubled = (2 * self.content.capacity()).clamp(INITIAL_CAPACITY, max_capacity.max(INITIAL_CAPACITY));
            self.allocate(needed.max(doubled))?;
        }
        self.content.extend_from_slice(data);
        Ok(())
    }

    fn allocate(&mut self, capacity: usize) -> Result<(), OutOfMemory> {
        self.reservation.try_hold_buffer(capacity, clock::now())?;
        self.content.reserve_exact(capacity - self.content.len());
        Ok(())
    }
}

/// Reads a body to its end. The returned bytes hold the reservation until the last copy of them is dropped.
///
/// # Errors
///
/// The body is not read any further, and its memory has been returned.
pub async fn read_body(
    body: impl Body<Data = Bytes>,
    limits: &BodyLimits,
    reservation: Reservation,
) -> Result<Bytes, BodyError> {
    read_buffer(body, limits, reservation).await.map(Bytes::from)
}

/// Reads a body to its end, into a buffer that can be changed.
///
/// # Errors
///
/// As [`read_body`].
pub async fn read_buffer(
    body: impl Body<Data = Bytes>,
    limits: &BodyLimits,
    reservation: Reservation,
) -> Result<ReservedBytes<Vec<u8>>, BodyError> {
    let mut body = pin!(body);
    let declared_bytes = body.size_hint().exact();
    if declared_bytes.is_some_and(|bytes| bytes > limits.max_bytes as u64) {
        return Err(BodyError::TooLarge);
    }
    let max_capacity = declared_bytes.map_or(limits.max_bytes, |bytes| bytes as usize);
    let mut buffer = ReservedBuffer { content: Vec::new(), reservation };
    if declared_bytes.is_some() {
        buffer.allocate(max_capacity.min(MAX_INITIAL_CAPACITY))?;
    }
    let mut progress = BodyProgress::start(clock::now());
    while let Some(frame) = next_frame(&mut body, limits, &mut progress, &buffer.reservation).await? {
        let Ok(data) = frame.into_data() else { continue };
        if buffer.content.len() + data.len() > limits.max_bytes {
            return Err(BodyError::TooLarge);
        }
        buffer.append(&data, max_capacity)?;
        progress.record_frame(data.len(), clock::now());
    }
    Ok(buffer)
}

/// Waits for the next frame of a body, `None` at its end.
async fn next_frame<B: Body<Data = Bytes> + Unpin>(
    body: &mut B,
    limits: &BodyLimits,
    progress: &mut BodyProgress,
    reservation: &Reservation,
) -> Result<Option<Frame<Bytes>>, BodyError> {
    loop {
        let wait = Duration::from_millis(progress.wait_ms(limits, clock::now()));
        if let Ok(frame) = time::timeout(wait, body.frame()).await {
            return frame.transpose().map_err(|_| BodyError::Malformed);
        }
        let now = clock::now();
        let others_wait = reservation.bytes() > 0 && reservation.is_contended(now);
        if progress.has_timed_out(limits, now, others_wait) {
            return Err(BodyError::TimedOut);
        }
    }
}

#[cfg(test)]
#[path = "body_tests.rs"]
mod tests;
