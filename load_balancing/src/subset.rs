//! What a router samples from: a subset of its own of the engines of one phase, and a consistent-hash ring on which all
//! routers find the same home engines of a prefix.
//!
//! Each engine has one point on the ring, and a key probes it at several places ("Multi-probe consistent hashing", Appleton
//! and O'Reilly, 2015): shares are as even as with many virtual nodes, and the ring is no larger than the list.
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
/// At how many places a key probes the ring: the busiest engine's share of the prefixes then stays within a tenth of the
/// average.
const PROBES: u64 = 21;
/// How many engines that can't be used are passed over at each probe.
const MAX_PASSED_OVER: usize = 64;

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
/// sorted, and holds each engine once at the hash of its id.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    /// All engines listed up for this phase.
    pub engines: Vec<usize>,
    /// Those that this router samples.
    pub sampled: Vec<usize>,
    /// All of them, in an order that every router finds.
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

    /// Returns all engines, in an order that every router finds.
    pub(crate) fn ordered(&self) -> impl Iterator<Item = usize> + '_ {
        self.ring.iter().map(|(_, engine)| *engine)
    }

    /// Returns at most `limit` sampled engines that follow one another, from a random `offset` on.
    pub fn sampled_run(&self, offset: u64, limit: usize) -> Vec<usize> {
        let count = self.sampled.len();
        let from = offset.checked_rem(count as u64).unwrap_or(0) as usize;
        (0..limit.min(count)).map(|step| self.sampled[(from + step) % count]).collect()
    }

    /// Returns the `limit` usable engines that are nearest to the key's probes on the ring, the nearest first: the same at all
    /// routers that see the same list.
    pub fn home_engines(&self, key: u64, limit: usize, is_usable: impl Fn(usize) -> bool) -> Vec<usize> {
        let mut found: Vec<(u64, usize)> = Vec::with_capacity(PROBES as usize * limit);
        for probe in (0..PROBES).map(|number| hashing::combine(key, number)) {
            let behind = self.ring_from(probe).take(MAX_PASSED_OVER);
            let usable = behind.filter(|(_, engine)| is_usable(*engine)).take(limit);
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

    /// Returns all engines once, from the first one behind a place on the ring on.
    fn ring_from(&self, place: u64) -> impl Iterator<Item = HashedEngine> + '_ {
        let from = self.ring.partition_point(|(point, _)| *point < place);
        let (before, after) = self.ring.split_at(from);
        after.iter().chain(before).copied()
    }
}

#[cfg(test)]
#[path = "subset_tests.rs"]
mod tests;
