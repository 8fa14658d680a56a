//! The known zones, their regions, and the distances between them.

use std::collections::HashMap;

/// The distance between two zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// Assigns indices to names, in the order in which they are first seen.
#[derive(Default)]
pub(crate) struct NameIndex(HashMap<String, u32>);

impl NameIndex {
    /// Returns the index of a name, and assigns one to a new name.
    pub(crate) fn index_of(&mut self, name: &str) -> u32 {
        let next = self.0.len() as u32;
        *self.0.entry(name.to_string()).or_insert(next)
    }

    /// Returns the name that has an index.
    fn name_of(&self, index: u32) -> Option<&str> {
        self.0.iter().find(|(_, known)| **known == index).map(|(name, _)| name.as_str())
    }
}

/// The zones that are known, and their regions.
#[derive(Default)]
pub(crate) struct Topology {
    zones: NameIndex,
    /// By zone: its region. A zone without an entry is a region of its own.
    regions: HashMap<u32, String>,
}

impl Topology {
    pub(crate) fn zone_index(&mut self, name: &str) -> u32 {
        self.zones.index_of(name)
    }

    pub(crate) fn zone_name(&self, zone: u32) -> Option<&str> {
        self.zones.name_of(zone)
    }

    pub(crate) fn set_region(&mut self, zone: &str, region: &str) {
        let zone = self.zone_index(zone);
        self.regions.insert(zone, region.into());
    }

    /// Returns the number of zones whose region is configured.
    pub(crate) fn configured_zone_count(&self) -> usize {
        self.regions.len()
    }

    pub(crate) fn distance(&self, from: u32, to: u32) -> Distance {
        if from == to {
            return Distance::SameZone;
        }
        let region = self.regions.get(&from);
        match region.is_some_and(|region| self.regions.get(&to) == Some(region)) {
            true => Distance::SameRegion,
            false => Distance::OtherRegion,
        }
    }
}
