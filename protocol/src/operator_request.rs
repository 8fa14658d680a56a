//! Operators' orders as controllers relay them to the one that is home to their key, and how what became of
//! them reaches the others.
use crate::message::ProposalNumber;

/// Invariant: no later variant is larger than `Change` in its archived form, or orders of earlier versions would not be read.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum OperatorRequest {
    Change(ConfigChange),
    Evacuate {
        zone: String,
        on: bool,
    },
    ReadConfig,
    /// As `Evacuate`, relayed: only on top of this version of the zone's evacuation, so that one that arrives late undoes
    /// nothing. Since version 4.
    EvacuateFrom {
        zone: String,
        on: bool,
        version: u64,
    },
}

/// A whole configuration or a change of named items, as an operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ConfigChange {
    /// The version that it builds on.
    pub base: u64,
    pub text: String,
    /// Named items only: the rest stays as it is.
    pub partial: bool,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum OperatorResponse {
    Done,
    /// What the key holds, as it was committed.
    Found {
        body: Vec<u8>,
    },
    Rejected {
        status: u16,
        reason: String,
    },
    /// It may have been carried out, or may yet be.
    OutcomeUnknown,
}

/// A key has a newer committed entry, told to controllers that hold the one before it. Invariant: whoever holds
/// a body with the digest `before` gets one with the digest `after` by making the change.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct CommittedDelta {
    pub key: String,
    pub proposal_number: ProposalNumber,
    pub index: u64,
    pub before: u64,
    pub after: u64,
    /// None: the same body was committed again.
    pub change: Option<ConfigChange>,
    /// The version of the configuration after the change.
    pub revision: u64,
    /// Whether the body is packed when it is long.
    pub pack: bool,
}

#[cfg(test)]
#[path = "operator_request_tests.rs"]
mod tests;
