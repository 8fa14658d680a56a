//! The memory that a process holds for its peers, by purpose.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use kernel::clock;
use thiserror::Error;
use tokio::time;

/// The number of bytes that a connection or an exchange may hold for one purpose without a charge, so that small ones
/// are served when the budget is used up. They belong to the memory that the limit on connections allows for.
pub const UNCHARGED_BYTES: usize = 8 * 1024;
/// The size in bytes beyond which a reservation is large.
const LARGE_BYTES: usize = 64 * 1024;
/// Large reservations share this part of the limit of their purpose; the rest is left to smaller ones.
const LARGE_SHARE: (usize, usize) = (3, 4);
/// How long after a refusal a purpose counts as contended, in milliseconds.
const CONTENTION_MS: u64 = 2000;
const BYTES_PER_MB: u64 = 1_000_000;
/// The interval at which a reservation that waits is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What memory is held for. Each purpose has a limit of its own, so that none can take the memory of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Heads of requests that are longer than usual.
    RequestHeads,
    /// Bodies of requests, from their first byte until the request has been served.
    RequestBodies,
    /// Responses that their clients have not read yet.
    Responses,
    /// Frames of other daemons that are being received.
    Frames,
}

/// All purposes, in the order of their discriminants.
pub const PURPOSES: [Purpose; 4] = [Purpose::RequestHeads, Purpose::RequestBodies, Purpose::Responses, Purpose::Frames];

impl Purpose {
    /// Returns the name of the purpose in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::RequestHeads => "RequestHeads",
            Purpose::RequestBodies => "RequestBodies",
            Purpose::Responses => "Responses",
            Purpose::Frames => "Frames",
        }
    }

    /// Returns the divisor of the process's memory that gives the limit of this purpose.
    fn memory_divisor(self) -> u64 {
        match self {
            Purpose::RequestBodies | Purpose::Frames => 4,
            Purpose::RequestHeads | Purpose::Responses => 8,
        }
    }
}

/// The reservation would exceed the limit of its purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the memory for this purpose is used up")]
pub struct OutOfMemory;

/// The account of one purpose. Invariant: `used` is the sum of its reservations.
#[derive(Debug)]
struct Account {
    limit: usize,
    used: AtomicUsize,
    refusals: AtomicU64,
    /// When a reservation was last refused, in milliseconds of the steady clock; 0 if never.
    refused_at: AtomicU64,
}

impl Account {
    /// Returns the sum up to which a reservation of `bytes` in total may grow.
    fn limit_for(&self, bytes: usize) -> usize {
        match bytes > LARGE_BYTES {
            true => self.limit / LARGE_SHARE.1 * LARGE_SHARE.0,
            false => self.limit,
        }
    }

    /// Adds `additional` bytes to a reservation of `reserved` bytes. One that is alone may exceed the limit: each legal
    /// request is served if there is nothing else.
    fn try_charge(&self, reserved: usize, additional: usize) -> bool {
        let limit = self.limit_for(reserved + additional);
        let charge = |used: usize| {
            let is_alone = used == reserved;
            (is_alone || used + additional <= limit).then_some(used + additional)
        };
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, charge).is_ok()
    }
}

/// The account of the memory that a process holds for its peers.
#[derive(Debug)]
pub struct MemoryBudget {
    accounts: [Account; PURPOSES.len()],
}

impl MemoryBudget {
    /// Returns the budget of a process with this limit on its memory, in megabytes.
    pub fn new(memory_mb: u64) -> Arc<MemoryBudget> {
        let accounts = PURPOSES.map(|purpose| Account {
            limit: (memory_mb * BYTES_PER_MB / purpose.memory_divisor()) as usize,
            used: AtomicUsize::new(0),
            refusals: AtomicU64::new(0),
            refused_at: AtomicU64::new(0),
        });
        Arc::new(MemoryBudget { accounts })
    }

    /// Returns an empty reservation.
    pub fn reservation(self: &Arc<Self>, purpose: Purpose) -> Reservation {
        Reservation { budget: self.clone(), purpose, bytes: 0 }
    }

    /// Returns the number of bytes that are reserved for a purpose.
    pub fn used_bytes(&self, purpose: Purpose) -> usize {
        self.account(purpose).used.load(Ordering::Relaxed)
    }

    /// Returns how many reservations for a purpose were refused.
    pub fn refusals(&self, purpose: Purpose) -> u64 {
        self.account(purpose).refusals.load(Ordering::Relaxed)
    }

    /// Returns whether a reservation for a purpose was refused a short time before `now`.
    pub fn is_contended(&self, purpose: Purpose, now: u64) -> bool {
        let account = self.account(purpose);
        let was_refused = account.refusals.load(Ordering::Relaxed) > 0;
        was_refused && now < account.refused_at.load(Ordering::Relaxed) + CONTENTION_MS
    }

    fn account(&self, purpose: Purpose) -> &Account {
        &self.accounts[purpose as usize]
    }
}

/// Memory reserved for one purpose; returned to the budget on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    purpose: Purpose,
    bytes: usize,
}

impl Reservation {
    /// Returns the reserved size in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether other reservations for the same purpose were refused a short time before `now`.
    pub fn is_contended(&self, now: u64) -> bool {
        self.budget.is_contended(self.purpose, now)
    }

    /// Grows to `bytes` if it is smaller. `now` is the time in milliseconds of the steady clock.
    ///
    /// # Errors
    ///
    /// If the limit of the purpose does not allow it: the reservation keeps its size.
    pub fn try_grow_to(&mut self, bytes: usize, now: u64) -> Result<(), OutOfMemory> {
        if self.charge_to(bytes) {
            return Ok(());
        }
        let account = self.budget.account(self.purpose);
        account.refusals.fetch_add(1, Ordering::Relaxed);
        account.refused_at.store(now, Ordering::Relaxed);
        Err(OutOfMemory)
    }

    /// Charges the difference to `bytes`. Returns whether the limit of the purpose allows it.
    fn charge_to(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let account = self.budget.account(self.purpose);
        let is_charged = additional == 0 || account.try_charge(self.bytes, additional);
        if is_charged {
            self.bytes += additional;
        }
        is_charged
    }

    /// Does the same as [`try_hold_buffer`](Self::try_hold_buffer), and waits until the limit allows it.
    pub async fn hold_buffer(&mut self, capacity: usize) {
        if self.try_hold_buffer(capacity, clock::now()).is_ok() {
            return;
        }
        while !self.charge_to(capacity.saturating_sub(UNCHARGED_BYTES)) {
            time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Grows as needed for a buffer of `capacity` bytes, of which the first [`UNCHARGED_BYTES`] are not charged.
    ///
    /// # Errors
    ///
    /// As [`try_grow_to`](Self::try_grow_to).
    pub fn try_hold_buffer(&mut self, capacity: usize, now: u64) -> Result<(), OutOfMemory> {
        self.try_grow_to(capacity.saturating_sub(UNCHARGED_BYTES), now)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.account(self.purpose).used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
#[path = "memory_budget_tests.rs"]
mod tests;
