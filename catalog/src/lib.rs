//! Which engines hold which prompt memory. Keys are hashes chained over the parts of a prompt in
//! their order, so that a key stands for a whole prefix.

use kernel::hashing;

pub mod gauge;
pub mod prefix_index;
pub mod record;

/// A part of a prompt: its id and its tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    pub id: u64,
    pub tokens: u32,
}

/// Reads `Prompt-Prefix`; None when it is not as published.
pub fn parts(text: &str) -> Option<Vec<Part>> {
    let mut list = Vec::new();
    for piece in text.split(',') {
        let (id, tokens) = piece.trim().split_once(':')?;
        let id = u64::from_str_radix(id, 16).ok().unwrap_or_else(|| hashing::hash(id.as_bytes()));
        list.push(Part { id, tokens: tokens.parse().ok()? });
    }
    Some(list)
}

/// The keys of all prefixes, shortest first. `seed` tells models and services apart.
pub fn keys(seed: u64, parts: &[Part]) -> Vec<u64> {
    let mut key = seed;
    let mut list = Vec::with_capacity(parts.len());
    for part in parts {
        key = hashing::combine(key, hashing::combine(part.id, u64::from(part.tokens)));
        list.push(key);
    }
    list
}

/// Tokens covered by each prefix.
pub fn depths(parts: &[Part]) -> Vec<u32> {
    let mut sum = 0u32;
    let step = |part: &Part| {
        sum = sum.saturating_add(part.tokens);
        sum
    };
    parts.iter().map(step).collect()
}

/// Why a query found nothing to use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
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
    fn a_key_stands_for_all_parts_before_it() {
        let parts = super::parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250").expect("parts");
        assert_eq!(super::depths(&parts), [800, 1210, 1460]);
        let keys = super::keys(1, &parts);
        assert_eq!(super::keys(1, &parts[..2]), keys[..2]);
        let turned = [parts[1], parts[0], parts[2]];
        assert_ne!(super::keys(1, &turned)[2], keys[2]);
        assert_ne!(super::keys(2, &parts)[0], keys[0]);
        assert!(super::parts("5c1e07a2").is_none());
        assert!(super::parts("").is_none());
    }
}
