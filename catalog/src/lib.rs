//! Which engines hold which prompt memory. Keys are hashes chained over the segments of a prompt in
//! their order, so that a key stands for a whole prefix.

use kernel::clock;

mod load_table;
mod owner_cache;
mod prefix_index;

pub use load_table::LoadTable;
pub use owner_cache::OwnerCache;
pub use prefix_index::PrefixIndex;

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
        let id = u64::from_str_radix(id, 16).ok().unwrap_or_else(|| clock::hash(id.as_bytes()));
        list.push(PromptSegment { id, tokens: tokens.parse().ok()? });
    }
    Some(list)
}

/// The keys of all prefixes, shortest first. `seed` tells models and services apart.
pub fn prefix_keys(seed: u64, segments: &[PromptSegment]) -> Vec<u64> {
    let mut key = seed;
    let mut list = Vec::with_capacity(segments.len());
    for segment in segments {
        key = clock::combine_hashes(key, clock::combine_hashes(segment.id, u64::from(segment.tokens)));
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
