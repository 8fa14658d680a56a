//! What a router samples from: a subset of its own of the engines of one half, and a ring on which all
//! routers find the same home for a prefix. Both are made anew only when the list changes, so that a
//! choice costs the same however many engines there are.

use std::collections::BTreeMap;

use kernel::hashing;

/// Invariants: `all` are the engines listed up for this half; `picks` is a part of them, the same as
/// long as the list and the fleet stay the same; `ring` is sorted.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    pub all: Vec<usize>,
    pub picks: Vec<usize>,
    /// All of them in an order that every router finds.
    by_name: Vec<usize>,
    ring: Vec<(u64, usize)>,
}

/// Index, zone and the hash of the name of an engine.
pub type Named = (usize, u32, u64);

/// Where a subset is made: this router's mark and zone, and how many routers and zones share the engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seat {
    pub mark: u64,
    pub zone: u32,
    pub routers: u32,
    pub zones: u32,
}

/// The fewest taken of the own zone and of each other one: a zone that has no more is taken whole.
const NEAR: usize = 12;
const FAR: usize = 4;
/// How many routers of its zone an engine should be sampled by, on average: by chance none is then
/// left out (e^-12 is six in a million).
const COVER: f64 = 12.0;
/// Places of each engine on the ring.
const PLACES: u64 = 64;

impl Seat {
    /// How many engines of a zone with `count` of them are taken.
    pub fn share(&self, zone: u32, count: usize) -> usize {
        if zone != self.zone {
            return FAR.min(count);
        }
        let routers = f64::from(self.routers.max(1)) / f64::from(self.zones.max(1));
        let cover = (COVER * count as f64 / routers.max(1.0)).ceil() as usize;
        cover.max(NEAR).min(count)
    }
}

impl Subset {
    pub fn make(seat: Seat, list: &[Named]) -> Subset {
        let mut ring: Vec<(u64, usize)> = list
            .iter()
            .flat_map(|(at, _, name)| (0..PLACES).map(|place| (hashing::combine(*name, place), *at)))
            .collect();
        ring.sort_unstable();
        let mut names: Vec<(u64, usize)> = list.iter().map(|(at, _, name)| (*name, *at)).collect();
        names.sort_unstable();
        let by_name = names.into_iter().map(|(_, at)| at).collect();
        Subset { all: list.iter().map(|(at, _, _)| *at).collect(), picks: Subset::picks(seat, list), by_name, ring }
    }

    fn picks(seat: Seat, list: &[Named]) -> Vec<usize> {
        let mut zones: BTreeMap<u32, Vec<(u64, usize)>> = Default::default();
        for (at, zone, name) in list {
            zones.entry(*zone).or_default().push((hashing::combine(seat.mark, *name), *at));
        }
        let part = |(zone, mut part): (u32, Vec<(u64, usize)>)| {
            part.sort_unstable();
            part.truncate(seat.share(zone, part.len()));
            part.into_iter().map(|(_, at)| at)
        };
        zones.into_iter().flat_map(part).collect()
    }

    /// A share of all engines in thousandths, one at least: the same ones for all routers.
    pub fn first_share(&self, share: u32) -> &[usize] {
        let count = (self.by_name.len() as u64 * u64::from(share)).div_ceil(1000).max(1) as usize;
        &self.by_name[..count.min(self.by_name.len())]
    }

    /// A few picks, another run of them for each roll.
    pub fn draw(&self, roll: u64, most: usize) -> Vec<usize> {
        let count = self.picks.len();
        let from = roll.checked_rem(count as u64).unwrap_or(0) as usize;
        (0..most.min(count)).map(|step| self.picks[(from + step) % count]).collect()
    }

    /// The first engines from a key's place on that are usable: the same for all routers that see the
    /// same list.
    pub fn homes(&self, key: u64, most: usize, usable: impl Fn(usize) -> bool) -> Vec<usize> {
        let from = self.ring.partition_point(|(place, _)| *place < key);
        let (left, right) = self.ring.split_at(from);
        let mut found: Vec<usize> = Vec::with_capacity(most);
        // An engine comes again and again on the way round: the walk is bounded, not the whole ring.
        for (_, at) in right.iter().chain(left).take(WALK) {
            if !found.contains(at) && usable(*at) {
                found.push(*at);
                if found.len() == most {
                    break;
                }
            }
        }
        found
    }
}

const WALK: usize = 512;

#[cfg(test)]
#[path = "subset_tests.rs"]
mod tests;
