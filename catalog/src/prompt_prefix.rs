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

/// Parses the value of a `Prompt-Prefix` header: `ID:TOKENS` pairs, separated by commas. An id that is not hexadecimal is
/// hashed. Returns `None` when the value does not have this form.
pub fn parse_prompt_prefix(text: &str) -> Option<Vec<PromptSegment>> {
    let mut segments = Vec::new();
    for piece in text.split(',') {
        let (id, tokens) = piece.trim().split_once(':')?;
        let id = u64::from_str_radix(id, 16).ok().unwrap_or_else(|| hashing::hash(id.as_bytes()));
        segments.push(PromptSegment { id, tokens: tokens.parse().ok()? });
    }
    Some(segments)
}

/// Returns the keys of all prefixes, the shortest first. `seed` separates models and services.
pub fn prefix_keys(seed: u64, segments: &[PromptSegment]) -> Vec<u64> {
    let mut key = seed;
    let mut keys = Vec::with_capacity(segments.len());
    for segment in segments {
        key = hashing::combine(key, hashing::combine(segment.id, u64::from(segment.tokens)));
        keys.push(key);
    }
    keys
}

/// Returns how many tokens each prefix covers, the shortest first.
pub fn prefix_token_counts(segments: &[PromptSegment]) -> Vec<u32> {
    let mut sum = 0u32;
    let add = |segment: &PromptSegment| {
        sum = sum.saturating_add(segment.tokens);
        sum
    };
    segments.iter().map(add).collect()
}

#[cfg(test)]
#[path = "prompt_prefix_tests.rs"]
mod tests;
