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

use kernel::hashing;

pub mod load_table;
pub mod owner_cache;
pub mod prefix_index;

/// A segment of a prompt: its id and its tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    pub id: u64,
    pub tokens: u32,
}

/// Reads `Prompt-Prefix`; None when it is not as published.
pub fn parse_prompt_prefix(text: &str) -> Option<Vec<PromptSegment>> {
    let mut list = Vec::new();
    for piece in text.split(',') {
        let (id, tokens) = piece.trim().split_once(':')?;
        let id = u64::from_str_radix(id, 16).ok().unwrap_or_else(|| hashing::hash(id.as_bytes()));
        list.push(PromptSegment { id, tokens: tokens.parse().ok()? });
    }
    Some(list)
}

/// The keys of all prefixes, shortest first. `seed` tells models and services apart.
pub fn prefix_keys(seed: u64, segments: &[PromptSegment]) -> Vec<u64> {
    let mut key = seed;
    let mut list = Vec::with_capacity(segments.len());
    for segment in segments {
        key = hashing::combine(key, hashing::combine(segment.id, u64::from(segment.tokens)));
        list.push(key);
    }
    list
}

/// Tokens covered by each prefix.
pub fn prefix_token_counts(segments: &[PromptSegment]) -> Vec<u32> {
    let mut sum = 0u32;
    let step = |segment: &PromptSegment| {
        sum = sum.saturating_add(segment.tokens);
        sum
    };
    segments.iter().map(step).collect()
}

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

#[cfg(test)]
mod tests {
    #[test]
    fn a_key_stands_for_all_segments_before_it() {
        let segments = super::parse_prompt_prefix("5c1e07a2:800,91bd3f06:410,e4402b7d:250").expect("segments");
        assert_eq!(super::prefix_token_counts(&segments), [800, 1210, 1460]);
        let keys = super::prefix_keys(1, &segments);
        assert_eq!(super::prefix_keys(1, &segments[..2]), keys[..2]);
        let turned = [segments[1], segments[0], segments[2]];
        assert_ne!(super::prefix_keys(1, &turned)[2], keys[2]);
        assert_ne!(super::prefix_keys(2, &segments)[0], keys[0]);
        assert!(super::parse_prompt_prefix("5c1e07a2").is_none());
        assert!(super::parse_prompt_prefix("").is_none());
    }
}

#[cfg(test)]
mod sent_by_5_tests;
