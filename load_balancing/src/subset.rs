//! What a router samples from: a subset of its own of the engines of one phase, and a consistent-hash ring on which all
//! routers find the same home engines of a prefix.
//!
//! Both are built anew only when the list changes, so that a selection costs the same however many engines there are.
//! Routers and engines are matched by rendezvous hashing: one engine more or less moves only its own place
//! (`docs/design.md`, "Decisions from samples").

use std::collections::BTreeMap;

use kernel::hashing;

/// The fewest engines sampled of the own zone: a zone that has no more is sampled whole.
const MIN_SAMPLED_OWN_ZONE: usize = 12;
/// The engines sampled of each other zone.
const SAMPLED_OTHER_ZONE: usize = 4;
/// How many routers of its zone an engine should be sampled by, on average: by chance none is then left out (e^-12 is six
/// in a million).
const ROUTERS_PER_ENGINE: f64 = 12.0;
/// The points of each engine on the ring: its share of the prefixes then stays near the average.
const VIRTUAL_NODES: u64 = 64;
/// How many points of the ring are looked at for the homes of a prefix. An engine comes again and again on the way round,
/// so the walk is bounded and not the whole ring.
const MAX_RING_STEPS: usize = 512;

/// An engine as a subset sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SubsetMember {
    /// Its index in the table.
    pub(crate) engine: usize,
    pub(crate) zone: u32,
    pub(crate) id_hash: u64,
}

/// The router that samples, and how many routers and zones share the engines.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SubsetParams {
    pub(crate) router_hash: u64,
    pub(crate) zone: u32,
    pub(crate) router_count: u32,
    pub(crate) zone_count: u32,
}

/// An engine with the hash by which it is ordered, by the hash first.
type HashedEngine = (u64, usize);

/// The engines of one phase, by their indices in the table.
///
/// Invariants: `sampled` is a part of `engines`, the same as long as the list and the fleet stay the same; `ring` is
/// sorted.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    /// All engines listed up for this phase.
    pub engines: Vec<usize>,
    /// Those that this router samples.
    pub sampled: Vec<usize>,
    /// All of them in an order that every router finds.
    by_id_hash: Vec<usize>,
    ring: Vec<HashedEngine>,
}

impl SubsetParams {
    /// Returns how many of `count` engines of a zone are sampled.
    fn sample_size(&self, zone: u32, count: usize) -> usize {
        if zone != self.zone {
            return SAMPLED_OTHER_ZONE.min(count);
        }
        let routers = f64::from(self.router_count.max(1)) / f64::from(self.zone_count.max(1));
        let cover = (ROUTERS_PER_ENGINE * count as f64 / routers.max(1.0)).ceil() as usize;
        cover.max(MIN_SAMPLED_OWN_ZONE).min(count)
    }
}

impl Subset {
    pub(crate) fn build(params: SubsetParams, members: &[SubsetMember]) -> Subset {
        let mut by_id_hash: Vec<HashedEngine> = members.iter().map(|member| (member.id_hash, member.engine)).collect();
        by_id_hash.sort_unstable();
        Subset {
            engines: members.iter().map(|member| member.engine).collect(),
            sampled: Subset::sample(params, members),
            by_id_hash: by_id_hash.into_iter().map(|(_, engine)| engine).collect(),
            ring: Subset::build_ring(members),
        }
    }

    fn build_ring(members: &[SubsetMember]) -> Vec<HashedEngine> {
        let points = |member: &SubsetMember| {
            let (engine, id_hash) = (member.engine, member.id_hash);
            (0..VIRTUAL_NODES).map(move |node| (hashing::combine(id_hash, node), engine))
        };
        let mut ring: Vec<HashedEngine> = members.iter().flat_map(points).collect();
        ring.sort_unstable();
        ring
    }

    fn sample(params: SubsetParams, members: &[SubsetMember]) -> Vec<usize> {
        let mut zones: BTreeMap<u32, Vec<HashedEngine>> = BTreeMap::new();
        for member in members {
            let hash = hashing::combine(params.router_hash, member.id_hash);
            zones.entry(member.zone).or_default().push((hash, member.engine));
        }
        let sample_zone = |(zone, mut engines): (u32, Vec<HashedEngine>)| {
            engines.sort_unstable();
            engines.truncate(params.sample_size(zone, engines.len()));
            engines.into_iter().map(|(_, engine)| engine)
        };
        zones.into_iter().flat_map(sample_zone).collect()
    }

    /// Returns a share of all engines in thousandths, one at least: the same ones at all routers.
    pub(crate) fn leading_share(&self, share: u32) -> &[usize] {
        let count = (self.by_id_hash.len() as u64 * u64::from(share)).div_ceil(1000).max(1) as usize;
        &self.by_id_hash[..count.min(self.by_id_hash.len())]
    }

    /// Returns at most `limit` sampled engines that follow one another, from a random `offset` on.
    pub fn sampled_run(&self, offset: u64, limit: usize) -> Vec<usize> {
        let count = self.sampled.len();
        let from = offset.checked_rem(count as u64).unwrap_or(0) as usize;
        (0..limit.min(count)).map(|step| self.sampled[(from + step) % count]).collect()
    }

    /// Returns the first `limit` usable engines on the ring from a key on: the same at all routers that see the same list.
    pub fn home_engines(&self, key: u64, limit: usize, is_usable: impl Fn(usize) -> bool) -> Vec<usize> {
        let from = self.ring.partition_point(|(point, _)| *point < key);
        let (before, after) = self.ring.split_at(from);
        let mut found: Vec<usize> = Vec::with_capacity(limit);
        for (_, engine) in after.iter().chain(before).take(MAX_RING_STEPS) {
            if !found.contains(engine) && is_usable(*engine) {
                found.push(*engine);
                if found.len() == limit {
                    break;
                }
            }
        }
        found
    }
}

#[cfg(test)]
#[path = "subset_tests.rs"]
mod tests;
