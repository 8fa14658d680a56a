//! Named versions and states that daemons exchange in lists.
//!
//! Each type replaced a tuple of the same fields. The order of the fields is part of the protocol: the archived bytes of
//! such a type are those of the tuple.

use rkyv::{Archive, Deserialize, Serialize};

/// The version of one named item that the sender holds: of a zone's endpoint list, or of what a hidden key names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct VersionEntry {
    /// A zone, or the text of a [`HiddenKey`](crate::hidden_key::HiddenKey).
    pub name: String,
    /// Rises whenever another sender takes the item over.
    pub term: u64,
    /// Counts the changes under one term.
    pub sequence: u64,
}

impl VersionEntry {
    /// Returns the entry of a named item.
    pub fn new(name: impl Into<String>, term: u64, sequence: u64) -> Self {
        VersionEntry { name: name.into(), term, sequence }
    }
}

/// Whether a zone is evacuated, as of one version of that decision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EvacuationState {
    /// The zone.
    pub zone: String,
    /// Rises with each change of the zone's state.
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
