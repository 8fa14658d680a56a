//! Limits on the size and the numbers of a configuration.

/// Maximum length of the text of a whole configuration in bytes. A longer one could not be stored and delivered.
pub const MAX_TEXT_BYTES: usize = 8 * 1024 * 1024;

/// Maximum nesting depth of objects and arrays: far more than any configuration needs, far less than the stack allows.
pub(super) const MAX_DEPTH: usize = 64;
/// Maximum number of JSON values in one text. A configuration of [`MAX_TEXT_BYTES`] has fewer, and more would not fit
/// into the memory of a small machine.
pub(super) const MAX_VALUES: usize = 1_000_000;

/// Maximum duration in milliseconds: ten years. A longer one would have the same effect; sums never overflow.
pub(super) const MAX_DURATION_MS: u64 = 10 * 365 * 24 * 3600 * 1000;
