//! The messages on operators' requests.

use rkyv::{Archive, Deserialize, Serialize};

use crate::message::ProposalNumber;

/// An operator's request. Invariant: no later variant is larger than `Change` in its archived form, or requests of earlier
/// versions would not be read.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Changes the configuration.
    Change(ConfigChange),
    /// Begins or withdraws the evacuation of a zone.
    Evacuate {
        /// The zone.
        zone: String,
        /// Whether the evacuation begins.
        on: bool,
    },
    /// Reads the configuration.
    ReadConfig,
    /// As `Evacuate`, but only on top of this version of the zone's evacuation, so that a request that is relayed late
    /// undoes nothing. Since version 4.
    EvacuateFrom {
        /// The zone.
        zone: String,
        /// Whether the evacuation begins.
        on: bool,
        /// The version that it must build on.
        version: u64,
    },
}

/// A whole configuration or a patch, as an operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The version that it builds on.
    pub base: u64,
    /// The JSON text.
    pub text: String,
    /// Whether it is a patch of named items, which leaves the rest as it is.
    pub partial: bool,
}

/// The outcome of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum OperatorResponse {
    /// It was carried out.
    Done,
    /// What the key holds.
    Found {
        /// The body as it was committed.
        body: Vec<u8>,
    },
    /// It was rejected.
    Rejected {
        /// The HTTP status for the operator.
        status: u16,
        /// The reason, as the operator reads it.
        reason: String,
    },
    /// It may have been carried out, or may yet be.
    OutcomeUnknown,
}

/// Notifies controllers that hold a key's entry of the next committed one. Invariant: whoever holds a body with the digest
/// `before` gets one with the digest `after` by applying the change.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CommittedDelta {
    /// The key.
    pub key: String,
    /// The proposal number of the newer entry.
    pub proposal_number: ProposalNumber,
    /// The index of the newer entry under that number.
    pub index: u64,
    /// The digest of the body before.
    pub before: u64,
    /// The digest of the newer body.
    pub after: u64,
    /// What changed; `None` if the same body was committed again.
    pub change: Option<ConfigChange>,
    /// The version of the configuration after the change.
    pub revision: u64,
    /// Whether a long body is stored compressed.
    pub pack: bool,
}

#[cfg(test)]
#[path = "messages_tests.rs"]
mod tests;
