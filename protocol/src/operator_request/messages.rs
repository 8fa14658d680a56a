//! Messages for operators' requests.

use rkyv::{Archive, Deserialize, Serialize};

use crate::message::ProposalNumber;

/// An operator's request. Invariant: no later variant is larger than `Change` in its archived form; otherwise requests
/// of earlier versions could not be decoded.
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
    /// Like `Evacuate`, but only if this version of the zone's evacuation is current, so that a request that is relayed
    /// late does not undo a newer one. Since version 4.
    EvacuateFrom {
        /// The zone.
        zone: String,
        /// Whether the evacuation begins.
        on: bool,
        /// The version that must be current.
        version: u64,
    },
}

/// A whole configuration or a patch, as an operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The version that it is based on.
    pub base: u64,
    /// The JSON text.
    pub text: String,
    /// Whether it is a patch of named items, which leaves the rest unchanged.
    pub partial: bool,
}

/// The outcome of an operator's request.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum OperatorResponse {
    /// The request was carried out.
    Done,
    /// The value of the key.
    Found {
        /// The body as it was committed.
        body: Vec<u8>,
    },
    /// The request was rejected.
    Rejected {
        /// The HTTP status for the operator.
        status: u16,
        /// The reason shown to the operator.
        reason: String,
    },
    /// The request may have been carried out, or may still be.
    OutcomeUnknown,
}

/// Notifies controllers that hold a key's entry of the next committed one. Invariant: applying the change to a body
/// with the digest `before` yields one with the digest `after`.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CommittedDelta {
    /// The key.
    pub key: String,
    /// The proposal number of the newer entry.
    pub proposal_number: ProposalNumber,
    /// The index of the newer entry under that number.
    pub index: u64,
    /// The digest of the previous body.
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
