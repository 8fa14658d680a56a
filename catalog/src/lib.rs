//! The prefix catalog: which engines hold the KV cache of which prompt prefixes.
//!
//! A prompt arrives as a list of segments. Each prefix of that list has a key, a hash chained over the segments in their
//! order, so that one key stands for a whole prefix (`prompt_prefix`). One controller keeps the [`PrefixIndex`] of all
//! routers and the [`LoadTable`] beside it; each router keeps an [`OwnerCache`] of what it learned itself, scans that
//! first and asks the index for the missing suffix only.
//!
//! Nothing here is replicated or stored: after a loss the index fills again from what routers register. All functions are
//! pure; times are milliseconds of the caller's clock.
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
