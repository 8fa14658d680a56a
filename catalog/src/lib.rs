//! The prefix catalog: which engines hold the KV cache of which prompt prefixes.
//!
//! A prompt arrives as a list of segments. Each prefix of that list has a key, a hash chained over its segments in
//! order, so that one key identifies a whole prefix (`prompt_prefix`). One controller keeps the [`PrefixIndex`] of all
//! routers and the [`LoadTable`]; each router keeps an [`OwnerCache`] of the owners that it learned itself, searches it
//! first and asks the index only for the missing suffix.
//!
//! Nothing here is replicated or stored on disk: after a loss, the index is rebuilt from the registrations of routers.
//! The crate does no I/O and reads no clock; callers pass the time in milliseconds of their own clock.
#![deny(missing_docs)]

mod load_table;
mod owner_cache;
mod owner_map;
mod prefix_index;
mod prompt_prefix;

pub use load_table::LoadTable;
pub use owner_cache::{LookupCounts, OwnerCache};
pub use prefix_index::PrefixIndex;
pub use prompt_prefix::{parse_prompt_prefix, prefix_keys, prefix_token_counts, PromptSegment};

#[cfg(test)]
mod sent_by_5_tests;
