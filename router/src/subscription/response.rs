//! What a controller's answer proves of the configuration that is held here.

use protocol::message::StateUpdate;
use protocol::renewal::SubscriptionRenewed;

/// How old a confirmation may be behind a controller of an older version, which says no more than that it is sure.
pub const OLDER_CONTROLLER_CONFIRMATION_AGE_MS: u64 = 1100;

/// What a controller says of its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    Absent,
    /// It had confirmed all up to a revision so long before it answered.
    Confirmed {
        age_ms: u64,
        config_revision: u64,
    },
    /// One of an older version is sure of what it sent.
    ConfirmedByOlderVersion,
}

/// An answer that was taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalResponse {
    pub proof: Proof,
    /// The revision held here after it.
    pub held_revision: u64,
    /// Controllers in the router's order, nearest first.
    pub controllers: Vec<String>,
    /// Members of the core.
    pub core_members: Vec<String>,
}

/// What an answer is worth. Times are of the router's steady clock; before its begin they are negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    Unproved,
    /// The controller knows more than has come here: a frame was lost on the way.
    FrameLost,
    /// All that was acknowledged before this time is held here.
    CurrentAsOf(i64),
}

impl RenewalResponse {
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

    /// Of a controller of an older version.
    pub fn from_state_update(update: &StateUpdate, held_revision: u64) -> RenewalResponse {
        let proof = if update.confirmed { Proof::ConfirmedByOlderVersion } else { Proof::Absent };
        RenewalResponse { proof, held_revision, controllers: update.peers.clone(), core_members: Vec::new() }
    }

    /// Of the answer to a call sent at `sent`. `frames_lost_at`: when frames were last lost on this side.
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

    /// Was it given by a controller of an older version?
    pub fn is_older(&self) -> bool {
        self.proof == Proof::ConfirmedByOlderVersion
    }
}
