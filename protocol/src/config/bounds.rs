//! How large a configuration may be.

/// The longest text of a whole configuration: what is longer could not be stored and delivered.
pub const MAX_TEXT_BYTES: usize = 8 * 1024 * 1024;

/// How deep objects and lists may be nested: far more than any configuration, and far less than a stack holds.
pub(super) const MAX_DEPTH: usize = 64;
/// How many values one text may hold: a configuration of the longest text has fewer, and more would not fit into the
/// memory of a small machine.
pub(super) const MAX_VALUES: usize = 1_000_000;

/// The longest time, ten years: what is longer can't be told from it, and sums of times never overflow.
pub(super) const LONGEST_MS: u64 = 10 * 365 * 24 * 3600 * 1000;
