//! What a controller's answer proves of the configuration that is held here.

use protocol::message::StateUpdate;
use protocol::renewal::SubscriptionRenewed;

/// How old a confirmation may be behind a controller of an older version, which says no more than that it is sure.
pub const OLDER_CONTROLLER_SURE_MS: u64 = 1100;

/// What a controller says of its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    Nothing,
    /// It had confirmed all up to a revision so long before it answered.
    Confirmed {
        age_ms: u64,
        config: u64,
    },
    /// One of an older version is sure of what it sent.
    Sure,
}

/// An answer that was taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub proof: Proof,
    /// The revision held here after it.
    pub held: u64,
    /// Controllers in the router's order, nearest first.
    pub controllers: Vec<String>,
    /// Members of the core.
    pub members: Vec<String>,
}

/// What an answer is worth. Times are of the router's steady clock; before its begin they are negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Worth {
    Nothing,
    /// The controller knows more than has come here: a frame was lost on the way.
    FrameLost,
    /// All that was acknowledged before this time is held here.
    CurrentAsOf(i64),
}

impl Answer {
    pub fn renewed(renewed: &SubscriptionRenewed, held: u64) -> Answer {
        let proof = renewed.confirmation.as_ref().map_or(Proof::Nothing, |confirmation| Proof::Confirmed {
            age_ms: confirmation.age_ms,
            config: confirmation.config_revision,
        });
        Answer { proof, held, controllers: renewed.update.peers.clone(), members: renewed.core_members.clone() }
    }

    /// Of a controller of an older version.
    pub fn news(news: &StateUpdate, held: u64) -> Answer {
        let proof = if news.confirmed { Proof::Sure } else { Proof::Nothing };
        Answer { proof, held, controllers: news.peers.clone(), members: Vec::new() }
    }

    /// Of the answer to a call sent at `sent`. `frames_lost_at`: when frames were last lost on this side.
    pub fn worth(&self, sent: u64, frames_lost_at: Option<u64>) -> Worth {
        let before = |age_ms: u64| sent as i64 - age_ms as i64;
        match self.proof {
            Proof::Nothing => Worth::Nothing,
            Proof::Confirmed { config, .. } if config > self.held => Worth::FrameLost,
            Proof::Confirmed { age_ms, .. } => Worth::CurrentAsOf(before(age_ms)),
            Proof::Sure if frames_lost_at.is_some_and(|lost| lost >= sent) => Worth::FrameLost,
            Proof::Sure => Worth::CurrentAsOf(before(OLDER_CONTROLLER_SURE_MS)),
        }
    }

    /// Was it given by a controller of an older version?
    pub fn is_older(&self) -> bool {
        self.proof == Proof::Sure
    }
}
