//! Which controllers own the shards of a tenant's bucket: rendezvous hashing, spread over zones.

use kernel::hashing;

/// Shards of a bucket where there are as many controllers. When one is lost, two thirds of the rate remain at once.
pub const SHARDS: usize = 3;

/// A controller that may own shards.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EligibleOwner {
    /// Its IP address.
    pub ip: String,
    /// The zone it runs in.
    pub zone: String,
}

/// Returns the owners of a tenant's shards among the eligible controllers, in different zones where there are enough zones.
///
/// The choice is by rendezvous hashing: every caller with the same set finds the same owners, and a controller that is added
/// or removed moves only its own shards.
pub fn shard_owners<'a>(tenant: &str, eligible: &'a [EligibleOwner]) -> Vec<&'a EligibleOwner> {
    let seed = hashing::hash(tenant.as_bytes());
    let mut order: Vec<&EligibleOwner> = eligible.iter().collect();
    order.sort_by_cached_key(|owner| hashing::combine(seed, hashing::hash(owner.ip.as_bytes())));
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
