//! The response to a router's lease renewal: new state, and how current it is known to be.

use rkyv::{Archive, Deserialize, Serialize};

use crate::message::StateUpdate;

/// How current a controller's state is known to be. Invariant: every change that was acknowledged `age_ms` or more
/// before this was written is contained in the configuration `config_revision`, in the evacuations sent so far, or in
/// newer ones.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Confirmation {
    /// Milliseconds since the start of the read that confirmed the controller's state at a quorum.
    pub age_ms: u64,
    /// The configuration revision that this read confirmed; 0 for none yet.
    pub config_revision: u64,
}

/// The response to [`SubscriptionRenewal`](crate::message::SubscriptionRenewal). Since version 4.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SubscriptionRenewed {
    /// State that the subscriber lacks.
    pub update: StateUpdate,
    /// How current the update is; `None` if the controller has not confirmed its state since it started.
    pub confirmation: Option<Confirmation>,
    /// The addresses of the voting controllers, which confirm their state without an intermediate controller.
    pub core_members: Vec<String>,
}
