//! What the response of a controller proves about the configuration that is held here.

use protocol::message::StateUpdate;
use protocol::renewal::SubscriptionRenewed;

/// The greatest age, in milliseconds, of a confirmation by a controller of an older version, which states no age.
pub const OLDER_CONTROLLER_CONFIRMATION_AGE_MS: u64 = 1100;

/// What a controller states about its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// It confirms nothing.
    Absent,
    /// It had confirmed everything up to a revision some time before it responded.
    Confirmed {
        /// The age of the confirmation when it responded, in milliseconds.
        age_ms: u64,
        /// The revision that was confirmed.
        config_revision: u64,
    },
    /// A controller of an older version confirms what it sent, without an age.
    ConfirmedByOlderVersion,
}

/// A response whose state update has been applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalResponse {
    /// What the controller confirms.
    pub proof: Proof,
    /// The configuration revision that is held here afterwards.
    pub held_revision: u64,
    /// Controllers in this router's order, nearest first.
    pub controllers: Vec<String>,
    /// Members of the core, the controllers that vote.
    pub core_members: Vec<String>,
}

/// What a response is worth. Times are of the router's steady clock; those before its start are negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// It proves nothing.
    Unproved,
    /// The controller knows more than has arrived here: a frame was lost on the way.
    FrameLost,
    /// All that was acknowledged before this time is held here.
    CurrentAsOf(i64),
}

impl RenewalResponse {
    /// Builds the response of a controller of the current version.
    pub fn from_renewal(renewed: &SubscriptionRenewed, held_revision: u64) -> RenewalResponse {
        let proof = renewed.confirmation.as_ref().map_or(Proof::Absent, |confirmation| Proof::Confirmed {
            age_ms: confirmation.age_ms,
            config_revision: confirmation.config_revision,
        });
        RenewalResponse {
            proof,
            held_revision,
            controllers: renewed.update.peers.clone(),
            core_members: renewed.core_members.clone(),
        }
    }

    /// Builds the response of a controller of an older version.
    pub fn from_state_update(update: &StateUpdate, held_revision: u64) -> RenewalResponse {
        let proof = if update.confirmed { Proof::ConfirmedByOlderVersion } else { Proof::Absent };
        RenewalResponse { proof, held_revision, controllers: update.peers.clone(), core_members: Vec::new() }
    }

    /// Assesses the response to a call sent at `sent`. `frames_lost_at`: when frames were last lost on this side.
    pub fn assess(&self, sent: u64, frames_lost_at: Option<u64>) -> Assessment {
        let before = |age_ms: u64| sent as i64 - age_ms as i64;
        match self.proof {
            Proof::Absent => Assessment::Unproved,
            Proof::Confirmed { config_revision, .. } if config_revision > self.held_revision => Assessment::FrameLost,
            Proof::Confirmed { age_ms, .. } => Assessment::CurrentAsOf(before(age_ms)),
            Proof::ConfirmedByOlderVersion if frames_lost_at.is_some_and(|lost| lost >= sent) => Assessment::FrameLost,
            Proof::ConfirmedByOlderVersion => Assessment::CurrentAsOf(before(OLDER_CONTROLLER_CONFIRMATION_AGE_MS)),
        }
    }

    /// Returns whether a controller of an older version sent it.
    pub fn is_older(&self) -> bool {
        self.proof == Proof::ConfirmedByOlderVersion
    }
}
