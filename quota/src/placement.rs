//! Which controllers hold the shards of a tenant's bucket.

use kernel::clock;

/// How many shards a bucket has where there are as many controllers: when one is lost, two thirds of the rate remain at once.
pub const SHARDS: usize = 3;

/// A controller that may hold shards.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EligibleOwner {
    /// Its address.
    pub ip: String,
    /// Its zone.
    pub zone: String,
}

/// The controllers that hold the shards of a tenant, of those that live: by rendezvous, in different zones where there are so
/// many. Whoever has the same list finds the same ones, and one more or less moves only its own shards.
pub fn shard_owners<'a>(tenant: &str, eligible: &'a [EligibleOwner]) -> Vec<&'a EligibleOwner> {
    let seed = clock::hash(tenant.as_bytes());
    let mut order: Vec<&EligibleOwner> = eligible.iter().collect();
    order.sort_by_cached_key(|owner| clock::combine_hashes(seed, clock::hash(owner.ip.as_bytes())));
    let mut chosen: Vec<&EligibleOwner> = Vec::with_capacity(SHARDS);
    for owner in &order {
        if chosen.len() < SHARDS && !chosen.iter().any(|other| other.zone == owner.zone) {
            chosen.push(owner);
        }
    }
    for owner in &order {
        if chosen.len() < SHARDS && !chosen.contains(owner) {
            chosen.push(owner);
        }
    }
    chosen
}

#[cfg(test)]
#[path = "placement_tests.rs"]
mod tests;
