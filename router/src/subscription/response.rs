//! What the response of a controller proves about the configuration that the router holds.

use protocol::message::StateUpdate;
use protocol::renewal::SubscriptionRenewed;

/// The assumed age, in milliseconds, of a confirmation by a controller of an older version: the maximum, because the
/// confirmation states no age.
pub const OLDER_CONTROLLER_CONFIRMATION_AGE_MS: u64 = 1100;

/// What a controller confirms about its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// It confirms nothing.
    Absent,
    /// Some time before it responded, it had confirmed everything up to a revision.
    Confirmed {
        /// The age of the confirmation when it responded, in milliseconds.
        age_ms: u64,
        /// The revision that was confirmed.
        config_revision: u64,
    },
    /// The controller is of an older version and confirms what it sent, without an age.
    ConfirmedByOlderVersion,
}

/// A response whose state update has been applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalResponse {
    /// What the controller confirms.
    pub proof: Proof,
    /// The configuration revision that the router holds after the update.
    pub applied_revision: u64,
    /// The controllers in this router's order, nearest first.
    pub controllers: Vec<String>,
    /// The members of the core, which are the controllers that vote.
    pub core_members: Vec<String>,
}

/// The assessment of a response. Times are of the router's steady clock; times before its start are negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// It proves nothing.
    Unproved,
    /// The controller confirms a newer state than has arrived: a frame was lost on the way.
    FrameLost,
    /// The router holds every change that was acknowledged before this time.
    CurrentAsOf(i64),
}

impl RenewalResponse {
    /// Converts the response of a controller of the current version.
    pub fn from_renewal(renewed: &SubscriptionRenewed, applied_revision: u64) -> RenewalResponse {
        let proof = renewed.confirmation.as_ref().map_or(Proof::Absent, |confirmation| Proof::Confirmed {
            age_ms: confirmation.age_ms,
            config_revision: confirmation.config_revision,
        });
        RenewalResponse {
            proof,
            applied_revision,
            controllers: renewed.update.peers.clone(),
            core_members: renewed.core_members.clone(),
        }
    }

    /// Converts the response of a controller of an older version.
    pub fn from_state_update(update: &StateUpdate, applied_revision: u64) -> RenewalResponse {
        let proof = if update.confirmed { Proof::ConfirmedByOlderVersion } else { Proof::Absent };
        RenewalResponse { proof, applied_revision, controllers: update.peers.clone(), core_members: Vec::new() }
    }

    /// Assesses the response to a call sent at `sent_at`. `frames_lost_at` is when frames were last lost on this side.
    pub fn assess(&self, sent_at: u64, frames_lost_at: Option<u64>) -> Assessment {
        let as_of = |age_ms: u64| sent_at as i64 - age_ms as i64;
        match self.proof {
            Proof::Absent => Assessment::Unproved,
            Proof::Confirmed { config_revision, .. } if config_revision > self.applied_revision => {
                Assessment::FrameLost
            }
            Proof::Confirmed { age_ms, .. } => Assessment::CurrentAsOf(as_of(age_ms)),
            Proof::ConfirmedByOlderVersion if frames_lost_at.is_some_and(|lost_at| lost_at >= sent_at) => {
                Assessment::FrameLost
            }
            Proof::ConfirmedByOlderVersion => Assessment::CurrentAsOf(as_of(OLDER_CONTROLLER_CONFIRMATION_AGE_MS)),
        }
    }

    /// Returns whether the response was sent by a controller of an older version.
    pub fn is_from_older_version(&self) -> bool {
        self.proof == Proof::ConfirmedByOlderVersion
    }
}
