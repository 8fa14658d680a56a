//! What a router samples from: a subset of its own of the engines of one half, and a ring on which all
//! routers find the same home for a prefix. Both are made anew only when the list changes, so that a
//! choice costs the same however many engines there are.

use std::collections::BTreeMap;

use kernel::hashing;

/// Invariants: `all` are the engines listed up for this half; `picks` is a part of them, the same as
/// long as the list and the fleet stay the same; `ring` is sorted.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    pub engines: Vec<usize>,
    pub sampled: Vec<usize>,
    /// All of them in an order that every router finds.
    by_id_hash: Vec<usize>,
    ring: Vec<(u64, usize)>,
}

/// Index, zone and the hash of the name of an engine.
pub type SubsetMember = (usize, u32, u64);

/// Where a subset is made: this router's mark and zone, and how many routers and zones share the engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct SubsetParams {
    pub router_hash: u64,
    pub zone: u32,
    pub router_count: u32,
    pub zone_count: u32,
}

/// The fewest taken of the own zone and of each other one: a zone that has no more is taken whole.
const MIN_SAMPLED_OWN_ZONE: usize = 12;
const MIN_SAMPLED_OTHER_ZONE: usize = 4;
/// How many routers of its zone an engine should be sampled by, on average: by chance none is then
/// left out (e^-12 is six in a million).
const ROUTERS_PER_ENGINE: f64 = 12.0;
/// Places of each engine on the ring.
const VIRTUAL_NODES: u64 = 64;

impl SubsetParams {
    /// How many engines of a zone with `count` of them are taken.
    pub fn sample_size(&self, zone: u32, count: usize) -> usize {
        if zone != self.zone {
            return MIN_SAMPLED_OTHER_ZONE.min(count);
        }
        let routers = f64::from(self.router_count.max(1)) / f64::from(self.zone_count.max(1));
        let cover = (ROUTERS_PER_ENGINE * count as f64 / routers.max(1.0)).ceil() as usize;
        cover.max(MIN_SAMPLED_OWN_ZONE).min(count)
    }
}

impl Subset {
    pub fn build(params: SubsetParams, list: &[SubsetMember]) -> Subset {
        let mut ring: Vec<(u64, usize)> = list
            .iter()
            .flat_map(|(at, _, id_hash)| (0..VIRTUAL_NODES).map(|point| (hashing::combine(*id_hash, point), *at)))
            .collect();
        ring.sort_unstable();
        let mut names: Vec<(u64, usize)> = list.iter().map(|(at, _, id_hash)| (*id_hash, *at)).collect();
        names.sort_unstable();
        let by_id_hash = names.into_iter().map(|(_, at)| at).collect();
        Subset {
            engines: list.iter().map(|(at, _, _)| *at).collect(),
            sampled: Subset::sample(params, list),
            by_id_hash,
            ring,
        }
    }

    fn sample(params: SubsetParams, list: &[SubsetMember]) -> Vec<usize> {
        let mut zones: BTreeMap<u32, Vec<(u64, usize)>> = Default::default();
        for (at, zone, id_hash) in list {
            zones.entry(*zone).or_default().push((hashing::combine(params.router_hash, *id_hash), *at));
        }
        let part = |(zone, mut part): (u32, Vec<(u64, usize)>)| {
            part.sort_unstable();
            part.truncate(params.sample_size(zone, part.len()));
            part.into_iter().map(|(_, at)| at)
        };
        zones.into_iter().flat_map(part).collect()
    }

    /// A share of all engines in thousandths, one at least: the same ones for all routers.
    pub fn leading_share(&self, share: u32) -> &[usize] {
        let count = (self.by_id_hash.len() as u64 * u64::from(share)).div_ceil(1000).max(1) as usize;
        &self.by_id_hash[..count.min(self.by_id_hash.len())]
    }

    /// A few picks, another run of them for each offset.
    pub fn sampled_run(&self, offset: u64, limit: usize) -> Vec<usize> {
        let count = self.sampled.len();
        let from = offset.checked_rem(count as u64).unwrap_or(0) as usize;
        (0..limit.min(count)).map(|step| self.sampled[(from + step) % count]).collect()
    }

    /// The first engines from a key's point on that are usable: the same for all routers that see the
    /// same list.
    pub fn home_engines(&self, key: u64, limit: usize, usable: impl Fn(usize) -> bool) -> Vec<usize> {
        let from = self.ring.partition_point(|(point, _)| *point < key);
        let (left, right) = self.ring.split_at(from);
        let mut found: Vec<usize> = Vec::with_capacity(limit);
        // An engine comes again and again on the way round: the walk is bounded, not the whole ring.
        for (_, at) in right.iter().chain(left).take(MAX_RING_STEPS) {
            if !found.contains(at) && usable(*at) {
                found.push(*at);
                if found.len() == limit {
                    break;
                }
            }
        }
        found
    }
}

const MAX_RING_STEPS: usize = 512;

#[cfg(test)]
#[path = "subset_tests.rs"]
mod tests;
