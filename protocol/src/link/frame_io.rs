//! Reads and writes single frames, with timeouts.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time;

use crate::frame::{self, Header, HEADER_BYTES};
use crate::message::Message;
use crate::socket::IO_TIMEOUT_MS;
use crate::traffic::{self, Direction};

/// Timeout for writing one frame.
const WRITE_TIMEOUT: Duration = Duration::from_millis(IO_TIMEOUT_MS);
/// Timeout for receiving a frame's body after its header.
const BODY_TIMEOUT: Duration = Duration::from_millis(2 * IO_TIMEOUT_MS);

/// Writes one frame. Returns `None` if the write failed or timed out: the connection is then unusable.
pub(super) async fn write_frame(write: &mut OwnedWriteHalf, frame: &[u8]) -> Option<()> {
    time::timeout(WRITE_TIMEOUT, write.write_all(frame)).await.ok()?.ok()?;
    traffic::record(Direction::Sent, frame);
    Some(())
}

/// Reads one frame, without a timeout for its header. Returns `None` if the connection ended, the body timed out, or
/// the bytes are not a valid frame: the connection is then unusable.
pub(super) async fn read_frame(read: &mut OwnedReadHalf) -> Option<(Header, Message)> {
    let mut encoded_header = [0; HEADER_BYTES];
    read.read_exact(&mut encoded_header).await.ok()?;
    let header = frame::decode_header(&encoded_header).ok()?;
    let mut frame = vec![0; HEADER_BYTES + header.len];
    time::timeout(BODY_TIMEOUT, read.read_exact(&mut frame[HEADER_BYTES..])).await.ok()?.ok()?;
    let message = frame::decode_body(&frame[HEADER_BYTES..]).ok()?;
    traffic::record(Direction::Received, &frame);
    Some((header, message))
}
