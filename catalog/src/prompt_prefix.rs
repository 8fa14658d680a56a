//! The segments of a prompt and the keys of its prefixes.

use kernel::hashing;

/// A segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the text of the segment.
    pub id: u64,
    /// The length of the segment in tokens.
    pub tokens: u32,
}

/// Parses the value of a `Prompt-Prefix` header: comma-separated `ID:TOKENS` pairs. An id that is not a 64-bit
/// hexadecimal number is hashed. Returns `None` if the value is malformed.
pub fn parse_prompt_prefix(text: &str) -> Option<Vec<PromptSegment>> {
    let mut segments = Vec::new();
    for pair in text.split(',') {
        let (id, tokens) = pair.trim().split_once(':')?;
        let id = u64::from_str_radix(id, 16).ok().unwrap_or_else(|| hashing::hash(id.as_bytes()));
        segments.push(PromptSegment { id, tokens: tokens.parse().ok()? });
    }
    Some(segments)
}

/// Returns the keys of all prefixes, shortest first. Different seeds keep models and services apart.
pub fn prefix_keys(seed: u64, segments: &[PromptSegment]) -> Vec<u64> {
    let mut key = seed;
    let mut keys = Vec::with_capacity(segments.len());
    for segment in segments {
        key = hashing::combine(key, hashing::combine(segment.id, u64::from(segment.tokens)));
        keys.push(key);
    }
    keys
}

/// Returns the length in tokens of each prefix, shortest first.
pub fn prefix_token_counts(segments: &[PromptSegment]) -> Vec<u32> {
    let mut total = 0u32;
    let add = |segment: &PromptSegment| {
        total = total.saturating_add(segment.tokens);
        total
    };
    segments.iter().map(add).collect()
}

#[cfg(test)]
#[path = "prompt_prefix_tests.rs"]
mod tests;
