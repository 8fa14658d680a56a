//! The totals of tallies, and numeric ids for their names.

use indexmap::IndexMap;

/// Identifies a tally within this process; not stable across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TallyId(u32);

/// Totals by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Totals(IndexMap<String, u128>);

impl Totals {
    /// Returns the id of a tally; a new one starts with a total of 0.
    pub fn id(&mut self, tally: &str) -> TallyId {
        let index = self.0.get_index_of(tally).unwrap_or_else(|| self.0.insert_full(tally.into(), 0).0);
        TallyId(index as u32)
    }

    /// Returns the name of a tally, or an empty string for an unknown id.
    pub fn name(&self, id: TallyId) -> &str {
        self.0.get_index(id.0 as usize).map_or("", |(name, _)| name)
    }

    /// Returns the total of a tally, 0 if it is unknown.
    pub fn get(&self, tally: &str) -> u128 {
        self.0.get(tally).copied().unwrap_or(0)
    }

    /// Adds an amount to a total.
    pub fn add(&mut self, id: TallyId, amount: u64) {
        self.0[id.0 as usize] += u128::from(amount);
    }

    /// Subtracts an amount that was added before.
    pub fn subtract(&mut self, id: TallyId, amount: u64) {
        self.0[id.0 as usize] -= u128::from(amount);
    }

    /// Returns the number of tallies.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns all totals, sorted by name.
    pub fn sorted(&self) -> Vec<(&str, u128)> {
        let mut all: Vec<(&str, u128)> = self.0.iter().map(|(name, total)| (name.as_str(), *total)).collect();
        all.sort_unstable();
        all
    }
}
