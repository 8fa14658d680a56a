//! Which controllers hold the shards of a tenant's bucket.

use kernel::hashing;

/// How many shards a bucket has where there are as many controllers: when one is lost, two thirds of the rate remain at once.
pub const SHARDS: usize = 3;

/// A controller that may hold shards.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// Its address.
    pub ip: String,
    /// Its zone.
    pub zone: String,
}

/// The controllers that hold the shards of a tenant, of those that live: by rendezvous, in different zones where there are so
/// many. Whoever has the same list finds the same ones, and one more or less moves only its own shards.
pub fn holders<'a>(tenant: &str, live: &'a [Holder]) -> Vec<&'a Holder> {
    let seed = hashing::hash(tenant.as_bytes());
    let mut order: Vec<&Holder> = live.iter().collect();
    order.sort_by_cached_key(|holder| hashing::combine(seed, hashing::hash(holder.ip.as_bytes())));
    let mut chosen: Vec<&Holder> = Vec::with_capacity(SHARDS);
    for holder in &order {
        if chosen.len() < SHARDS && !chosen.iter().any(|other| other.zone == holder.zone) {
            chosen.push(holder);
        }
    }
    for holder in &order {
        if chosen.len() < SHARDS && !chosen.contains(holder) {
            chosen.push(holder);
        }
    }
    chosen
}

#[cfg(test)]
#[path = "placement_tests.rs"]
mod tests;
