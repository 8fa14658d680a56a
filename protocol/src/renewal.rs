//! The response to a router that renews its lease: what is new, and how far it is known to be current.

use rkyv::{Archive, Deserialize, Serialize};

use crate::message::StateUpdate;

/// How current a controller knows its state to be. Invariant: everything that was acknowledged `age_ms` before this was
/// written is contained in the configuration `config`, in the evacuations sent so far, or in newer ones.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Confirmation {
    /// Milliseconds since the start of the read that confirmed the controller's state at a quorum.
    pub age_ms: u64,
    /// The revision of the configuration confirmed so; 0 for none yet.
    pub config_revision: u64,
}

/// The response to [`SubscriptionRenewal`](crate::message::SubscriptionRenewal). Since version 4.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SubscriptionRenewed {
    /// What the subscriber lacks.
    pub update: StateUpdate,
    /// How current that is; `None` if the controller has not confirmed its state since it started.
    pub confirmation: Option<Confirmation>,
    /// The addresses of the voting controllers, which confirm their state without another one in between.
    pub core_members: Vec<String>,
}
