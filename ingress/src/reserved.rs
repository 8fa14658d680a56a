//! Bytes in memory, together with the reservation for them.

use std::sync::Arc;

use bytes::Bytes;
use kernel::clock;

use crate::memory_budget::{MemoryBudget, OutOfMemory, Purpose, Reservation, UNCHARGED_BYTES};

/// A buffer and the reservation that covers it. The reservation is returned when both are dropped.
#[derive(Debug)]
pub struct ReservedBytes<T> {
    /// The bytes.
    pub content: T,
    /// The reservation.
    pub reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for ReservedBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.content.as_ref()
    }
}

impl<T: AsRef<[u8]> + Send + 'static> From<ReservedBytes<T>> for Bytes {
    /// Returns bytes that hold the reservation until their last copy is dropped.
    fn from(reserved: ReservedBytes<T>) -> Bytes {
        Bytes::from_owner(reserved)
    }
}

impl MemoryBudget {
    /// Charges bytes that are in memory already, if they are more than [`UNCHARGED_BYTES`].
    ///
    /// # Errors
    ///
    /// If the limit of the purpose does not allow it.
    pub fn charge(self: &Arc<Self>, content: Bytes, purpose: Purpose) -> Result<Bytes, OutOfMemory> {
        if content.len() <= UNCHARGED_BYTES {
            return Ok(content);
        }
        let mut reservation = self.reservation(purpose);
        reservation.try_hold_buffer(content.len(), clock::now())?;
        Ok(ReservedBytes { content, reservation }.into())
    }
}
