//! Reads and writes single frames, with timeouts.

use std::time::Duration;

use ingress::Reservation;
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
/// The initial capacity for a frame that is being received, in bytes.
const INITIAL_CAPACITY: usize = 64 * 1024;
/// How often a body is in memory at once: as it was received, aligned, and as the message that is decoded from it.
const COPIES: usize = 3;

/// Writes one frame. Returns `None` if the write failed or timed out: the connection is then unusable.
pub(super) async fn write_frame(write: &mut OwnedWriteHalf, frame: &[u8]) -> Option<()> {
    time::timeout(WRITE_TIMEOUT, write.write_all(frame)).await.ok()?.ok()?;
    traffic::record(Direction::Sent, frame);
    Some(())
}

/// A frame that was received.
pub(super) struct ReceivedFrame {
    /// Its header.
    pub(super) header: Header,
    /// Its message.
    pub(super) message: Message,
    /// The memory for a long message, if it is charged.
    pub(super) reservation: Option<Reservation>,
}

/// Reads one frame, whose header may take any time to begin. Its memory is charged to `reservation`, if there is one,
/// before the bytes are taken.
///
/// Returns `None` if the connection ended, the frame timed out, also because it waited for memory, or the bytes are not a
/// valid frame: the connection is then unusable.
pub(super) async fn read_frame(read: &mut OwnedReadHalf, reservation: Option<Reservation>) -> Option<ReceivedFrame> {
    let encoded_header = read_header(read).await?;
    read_rest(read, encoded_header, reservation).await
}

/// Does the same for the first frame on a connection, whose header must arrive within `timeout`.
pub(super) async fn read_first_frame(
    read: &mut OwnedReadHalf,
    reservation: Option<Reservation>,
    timeout: Duration,
) -> Option<ReceivedFrame> {
    let encoded_header = time::timeout(timeout, read_header(read)).await.ok()??;
    read_rest(read, encoded_header, reservation).await
}

/// Reads the body of a frame, and decodes it.
async fn read_rest(
    read: &mut OwnedReadHalf,
    encoded_header: [u8; HEADER_BYTES],
    mut reservation: Option<Reservation>,
) -> Option<ReceivedFrame> {
    let header = frame::decode_header(&encoded_header).ok()?;
    let mut frame = encoded_header.to_vec();
    time::timeout(BODY_TIMEOUT, read_body(read, &mut frame, header.len, &mut reservation)).await.ok()??;
    let message = frame::decode_body(&frame[HEADER_BYTES..]).ok()?;
    traffic::record(Direction::Received, &frame);
    Some(ReceivedFrame { header, message, reservation })
}

async fn read_header(read: &mut OwnedReadHalf) -> Option<[u8; HEADER_BYTES]> {
    let mut header = [0; HEADER_BYTES];
    let received = read.read(&mut header).await.ok().filter(|received| *received > 0)?;
    if received < HEADER_BYTES {
        time::timeout(BODY_TIMEOUT, read.read_exact(&mut header[received..])).await.ok()?.ok()?;
    }
    Some(header)
}

/// Appends a body of `len` bytes to `frame`, which grows as the bytes arrive. While there is no memory for it, the peer is
/// held up.
async fn read_body(
    read: &mut OwnedReadHalf,
    frame: &mut Vec<u8>,
    len: usize,
    reservation: &mut Option<Reservation>,
) -> Option<()> {
    let end = HEADER_BYTES + len;
    while frame.len() < end {
        let start = frame.len();
        let next = end.min((2 * start).max(INITIAL_CAPACITY));
        if let Some(reservation) = reservation {
            reservation.hold_buffer(COPIES * next).await;
        }
        frame.reserve_exact(next - start);
        frame.resize(next, 0);
        read.read_exact(&mut frame[start..]).await.ok()?;
    }
    Some(())
}
