//! The engines of one phase that a router samples, and a consistent-hash ring on which all routers find the same home
//! engines of a prefix.
//!
//! Each engine has one point on the ring, and a key probes the ring at several positions ("Multi-probe consistent
//! hashing", Appleton and O'Reilly, 2015): load is spread as evenly as with many virtual nodes, and the ring is no
//! larger than the list.
//!
//! Both are rebuilt only when the list changes, so that the cost of a selection does not depend on the number of
//! engines. Rendezvous hashing picks each router's engines, so that adding or removing an engine affects only the
//! places of that engine (`docs/design.md`, "Decisions from samples").

use std::collections::BTreeMap;

use kernel::hashing;

/// The minimum number of engines sampled in the router's own zone; a zone with no more than that is sampled whole.
const MIN_SAMPLED_OWN_ZONE: usize = 12;
/// The number of engines sampled in each other zone.
const SAMPLED_OTHER_ZONE: usize = 4;
/// The target mean number of routers of its zone that sample an engine: the probability that none does is e^-12, six in
/// a million.
const ROUTERS_PER_ENGINE: f64 = 12.0;
/// The number of positions at which a key probes the ring. It keeps the busiest engine's share of the prefixes within a
/// tenth of the average.
const PROBES: u64 = 21;
/// The maximum number of engines examined at each probe to find usable ones.
const MAX_EXAMINED_PER_PROBE: usize = 64;

/// The attributes of an engine that a subset needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SubsetMember {
    /// Its index in the engine table.
    pub(crate) engine: usize,
    pub(crate) zone: u32,
    pub(crate) id_hash: u64,
}

/// The router that samples, and the number of routers and zones that share the engines.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SubsetParams {
    pub(crate) router_hash: u64,
    pub(crate) zone: u32,
    pub(crate) router_count: u32,
    pub(crate) zone_count: u32,
}

/// The hash that an engine is sorted by, and its index.
type HashedEngine = (u64, usize);

/// The engines of one phase, by their indices in the engine table.
///
/// Invariants: `sampled` is a subset of `engines` and changes only with the list or the subset parameters; `ring` is
/// sorted and holds each engine once, at the hash of its id.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    /// All engines of this phase that are listed as up.
    pub engines: Vec<usize>,
    /// The engines that this router samples.
    pub sampled: Vec<usize>,
    /// All engines, in the same order at every router.
    ring: Vec<HashedEngine>,
}

impl SubsetParams {
    /// Returns how many of the `count` engines of a zone are sampled.
    fn sample_size(&self, zone: u32, count: usize) -> usize {
        if zone != self.zone {
            return SAMPLED_OTHER_ZONE.min(count);
        }
        let routers = f64::from(self.router_count.max(1)) / f64::from(self.zone_count.max(1));
        let size_for_coverage = (ROUTERS_PER_ENGINE * count as f64 / routers.max(1.0)).ceil() as usize;
        size_for_coverage.max(MIN_SAMPLED_OWN_ZONE).min(count)
    }
}

impl Subset {
    pub(crate) fn build(params: SubsetParams, members: &[SubsetMember]) -> Subset {
        let mut ring: Vec<HashedEngine> = members.iter().map(|member| (member.id_hash, member.engine)).collect();
        ring.sort_unstable();
        Subset {
            engines: members.iter().map(|member| member.engine).collect(),
            sampled: Subset::sample(params, members),
            ring,
        }
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

    /// Returns all engines, in the same order at every router.
    pub(crate) fn ordered(&self) -> impl Iterator<Item = usize> + '_ {
        self.ring.iter().map(|(_, engine)| *engine)
    }

    /// Returns up to `limit` consecutive sampled engines, starting at a random `offset` and wrapping around.
    pub fn sampled_run(&self, offset: u64, limit: usize) -> Vec<usize> {
        let count = self.sampled.len();
        let start = offset.checked_rem(count as u64).unwrap_or(0) as usize;
        (0..limit.min(count)).map(|step| self.sampled[(start + step) % count]).collect()
    }

    /// Returns the `limit` usable engines that follow the key's probes on the ring most closely, nearest first. The
    /// result is the same at all routers that have the same list.
    pub fn home_engines(&self, key: u64, limit: usize, is_usable: impl Fn(usize) -> bool) -> Vec<usize> {
        let mut found: Vec<(u64, usize)> = Vec::with_capacity(PROBES as usize * limit);
        for probe in (0..PROBES).map(|number| hashing::combine(key, number)) {
            let successors = self.successors_of(probe).take(MAX_EXAMINED_PER_PROBE);
            let usable = successors.filter(|(_, engine)| is_usable(*engine)).take(limit);
            found.extend(usable.map(|(point, engine)| (point.wrapping_sub(probe), engine)));
        }
        found.sort_unstable();
        let mut homes: Vec<usize> = Vec::with_capacity(limit);
        for (_, engine) in found {
            if homes.len() < limit && !homes.contains(&engine) {
                homes.push(engine);
            }
        }
        homes
    }

    /// Returns all engines once in ring order, starting at the first one at or after a position.
    fn successors_of(&self, position: u64) -> impl Iterator<Item = HashedEngine> + '_ {
        let start = self.ring.partition_point(|(point, _)| *point < position);
        let (before, after) = self.ring.split_at(start);
        after.iter().chain(before).copied()
    }
}

#[cfg(test)]
#[path = "subset_tests.rs"]
mod tests;
