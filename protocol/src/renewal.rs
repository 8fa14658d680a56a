//! The answer to a router that renews its lease: what is new, and how far it is known to be current.

use crate::message::StateUpdate;

/// What a controller knows to be current. Invariant: everything that was acknowledged `age_ms` before this was
/// written is contained in the configuration `config`, in the evacuations sent so far, or in newer ones.
#[derive(Clone, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Confirmation {
    /// Milliseconds since the begin of the read that confirmed the controller's state at a quorum.
    pub age_ms: u64,
    /// The revision of the configuration confirmed so; 0 for none yet.
    pub config_revision: u64,
}

/// The answer to `SubscriptionRenewal`. Since version 4.
#[derive(Clone, Debug, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct SubscriptionRenewed {
    pub update: StateUpdate,
    /// None: the controller has not confirmed its state since it started.
    pub confirmation: Option<Confirmation>,
    /// The addresses of the members of the core, which confirm without a relay between.
    pub core_members: Vec<String>,
}
