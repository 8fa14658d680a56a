//! The totals of tallies, and numbers that stand for their names.

use indexmap::IndexMap;

/// Stands for the name of a tally at this replica, until its process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TallyId(u32);

/// Totals by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Totals(IndexMap<String, u128>);

impl Totals {
    /// Returns the number of a tally, which has total 0 if it is new.
    pub fn id(&mut self, tally: &str) -> TallyId {
        let index = self.0.get_index_of(tally).unwrap_or_else(|| self.0.insert_full(tally.into(), 0).0);
        TallyId(index as u32)
    }

    /// Returns the name that a number stands for.
    pub fn name(&self, id: TallyId) -> &str {
        self.0.get_index(id.0 as usize).map_or("", |(name, _)| name)
    }

    /// Returns a total, 0 for a tally that is not known.
    pub fn get(&self, tally: &str) -> u128 {
        self.0.get(tally).copied().unwrap_or(0)
    }

    /// Adds an amount.
    pub fn add(&mut self, id: TallyId, amount: u64) {
        self.0[id.0 as usize] += u128::from(amount);
    }

    /// Takes an amount back that was added.
    pub fn subtract(&mut self, id: TallyId, amount: u64) {
        self.0[id.0 as usize] -= u128::from(amount);
    }

    /// Returns how many tallies there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns all totals, by name.
    pub fn sorted(&self) -> Vec<(&str, u128)> {
        let mut all: Vec<(&str, u128)> = self.0.iter().map(|(name, total)| (name.as_str(), *total)).collect();
        all.sort_unstable();
        all
    }
}
