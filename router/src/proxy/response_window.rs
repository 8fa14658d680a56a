//! The part of a response that its client has not read yet, and the memory for it.
//!
//! A client that reads as fast as the engine sends leaves next to nothing here, and is never charged. One that falls
//! behind is charged for the window and for the buffers that fill up behind it. Without memory for that, the response
//! waits until the client has read everything so far, and breaks off if it reads nothing for a while.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ingress::{Reservation, UNCHARGED_BYTES};
use kernel::clock;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time;

/// The number of unread bytes beyond which no more are taken from the engine.
const WINDOW_BYTES: usize = 32 * 1024;
/// The memory of a response whose client has fallen behind, in bytes: the window, and the buffers of the connections to
/// the client and to the engine.
const CHARGE_BYTES: usize = 160 * 1024;
/// How long a client may read nothing while there is no memory for its response.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(1);

/// The client read too slowly, and there is no memory for its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooSlow;

/// Counts the bytes of a response between the engine and the client. It is shared by the two ends of the body.
#[derive(Debug)]
pub struct ResponseWindow {
    unread_bytes: AtomicUsize,
    /// Notified when the client has read something.
    was_read: Notify,
    reservation: Mutex<Reservation>,
}

impl ResponseWindow {
    /// Returns an empty window, which is charged to `reservation` once it is needed.
    pub fn new(reservation: Reservation) -> ResponseWindow {
        ResponseWindow {
            unread_bytes: AtomicUsize::new(0),
            was_read: Notify::new(),
            reservation: Mutex::new(reservation),
        }
    }

    /// Waits until there is room for bytes of the engine, and counts them as unread.
    ///
    /// # Errors
    ///
    /// If the client read nothing for a while and there is no memory to wait for it.
    pub async fn acquire(&self, bytes: usize) -> Result<(), TooSlow> {
        loop {
            let unread = self.unread_bytes.load(Ordering::Relaxed);
            let is_caught_up = unread == 0 || unread + bytes <= UNCHARGED_BYTES;
            let is_charged = is_caught_up || self.try_charge();
            if is_caught_up || (is_charged && unread < WINDOW_BYTES) {
                self.unread_bytes.fetch_add(bytes, Ordering::Relaxed);
                return Ok(());
            }
            match is_charged {
                true => self.was_read.notified().await,
                false => time::timeout(UNREAD_TIMEOUT, self.was_read.notified()).await.map_err(|_| TooSlow)?,
            }
        }
    }

    /// Counts bytes as read by the client's connection.
    pub fn release(&self, bytes: usize) {
        self.unread_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.was_read.notify_one();
    }

    /// Charges the response, if it has not been charged yet. Returns whether it is charged.
    fn try_charge(&self) -> bool {
        self.reservation.lock().try_grow_to(CHARGE_BYTES, clock::now()).is_ok()
    }
}

#[cfg(test)]
#[path = "response_window_tests.rs"]
mod tests;
