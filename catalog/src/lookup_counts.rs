//! Counters of look-ups.

/// Why a query found nothing to use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LookupCounts {
    pub queries: u64,
    pub hits: u64,
    pub no_owner: u64,
    pub stale_owner: u64,
    pub transfer_error: u64,
    pub unanswered: u64,
    pub dropped: u64,
}
