//! Placement of the shards of a tenant's bucket on controllers: rendezvous hashing, spread over zones.

use kernel::hashing;

/// Number of shards of a bucket, if there are as many controllers. When an owner fails, two thirds of the rate remain
/// available.
pub const SHARDS: usize = 3;

/// A controller that may own shards.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EligibleOwner {
    /// Its IP address.
    pub ip: String,
    /// The zone it runs in.
    pub zone: String,
}

/// Returns the owners of a tenant's shards among the eligible controllers, in different zones if there are enough.
///
/// Rendezvous hashing gives every caller with the same set the same owners, and a controller that is added or removed
/// moves only its own shards.
pub fn shard_owners<'a>(tenant: &str, eligible: &'a [EligibleOwner]) -> Vec<&'a EligibleOwner> {
    let seed = hashing::hash(tenant.as_bytes());
    let mut ranked: Vec<&EligibleOwner> = eligible.iter().collect();
    ranked.sort_by_cached_key(|owner| hashing::combine(seed, hashing::hash(owner.ip.as_bytes())));
    let mut chosen: Vec<&EligibleOwner> = Vec::with_capacity(SHARDS);
    for owner in &ranked {
        if chosen.len() < SHARDS && !chosen.iter().any(|other| other.zone == owner.zone) {
            chosen.push(owner);
        }
    }
    for owner in &ranked {
        if chosen.len() < SHARDS && !chosen.contains(owner) {
            chosen.push(owner);
        }
    }
    chosen
}

#[cfg(test)]
#[path = "placement_tests.rs"]
mod tests;
