//! Named versions and states that daemons exchange in lists.
//!
//! Each type replaced a tuple of the same fields and has the same archived bytes, so the order of the fields is part of
//! the protocol.

use rkyv::{Archive, Deserialize, Serialize};

/// The sender's version of one named item: a zone's endpoint list, or the item of a hidden key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct VersionEntry {
    /// A zone, or the text of a [`HiddenKey`](crate::hidden_key::HiddenKey).
    pub name: String,
    /// Increases whenever another sender takes over the item.
    pub term: u64,
    /// Number of changes within the term.
    pub sequence: u64,
}

impl VersionEntry {
    /// Returns the entry of a named item.
    pub fn new(name: impl Into<String>, term: u64, sequence: u64) -> Self {
        VersionEntry { name: name.into(), term, sequence }
    }
}

/// Whether a zone is evacuated, as of one version of that state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EvacuationState {
    /// The zone.
    pub zone: String,
    /// Increases with each change of the zone's state.
    pub version: u64,
    /// Whether the zone is being evacuated; false after the evacuation was withdrawn.
    pub evacuated: bool,
}

/// The version of one model's weights on one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineWeights {
    /// The engine's id.
    pub engine: String,
    /// The model's name.
    pub model: String,
    /// The version of the weights.
    pub version: u64,
}

#[cfg(test)]
#[path = "version_entry_tests.rs"]
mod tests;
