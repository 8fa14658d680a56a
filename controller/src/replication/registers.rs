//! Carrying rounds of the ledger out: to all members at once, each vote fed to the round.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use consensus::Ownership;
use consensus::{quorum, ROUND_TIMEOUT_MS};
use consensus::{Progress, Proposal};
use kernel::{clock, Rng};
use protocol::message::{ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Message};
use tokio::sync::mpsc::{self, Receiver};
use tokio::sync::Mutex;
use tokio::time::{self, Instant};

use crate::controller::Controller;

/// One key's owner state in this controller. Invariant: a change is made only while it is locked, so
/// two changes of one owner never share a place.
pub type OwnershipLock = Mutex<Option<Ownership>>;

/// What this controller owns of each key. Two keys are changed independently.
#[derive(Default)]
pub struct Ownerships(parking_lot::Mutex<HashMap<String, Arc<OwnershipLock>>>);

impl Ownerships {
    /// Returns the lock of one key's ownership. It may be held over an await.
    fn lock_of(&self, key: &str) -> Arc<OwnershipLock> {
        self.0.lock().entry(key.into()).or_default().clone()
    }
}

pub use consensus::Decision;

/// None: no clear outcome.
pub type ChangeOutcome<T> = Option<T>;

/// The longest pause after the first try that was overtaken, and after the last ones.
const FIRST_PAUSE_MS: u64 = 20;
const LAST_PAUSE_MS: u64 = 200;

type Responses = Receiver<(String, ConsensusResponse)>;

impl Controller {
    /// Asks some members; the votes come in as they are given.
    pub fn ask(&self, core: &CoreMembership, ask: ConsensusOperation, ips: &[String]) -> Responses {
        let (send, votes) = mpsc::channel(ips.len().max(1));
        for ip in ips {
            let poll = ConsensusRequest { membership: core.clone(), operation: ask.clone() };
            let (send, from) = (send.clone(), ip.clone());
            if ip == self.own_ip() {
                self.replica.handle(poll, move |vote| {
                    let _ = send.try_send((from, vote));
                });
                continue;
            }
            let peer = self.peers.client(ip);
            tokio::spawn(async move {
                let msg = Message::ConsensusRequest(Box::new(poll));
                let Some(Message::ConsensusResponse(vote)) = peer.call(msg, ROUND_TIMEOUT_MS).await else { return };
                let _ = send.try_send((from, *vote));
            });
        }
        votes
    }

    /// One try: from what is held of the key to an outcome. None: no outcome in time, or overtaken.
    async fn propose<T>(
        &self,
        key: &str,
        held: Option<Ownership>,
        judge: &mut impl FnMut(&[u8]) -> Decision<T>,
    ) -> Option<(T, Ownership, bool)> {
        let core = self.replica.membership();
        if core.members.is_empty() {
            return None;
        }
        let members = quorum::addresses(&core);
        let ballot = self.committed.next_proposal_number(&core, self.replica_id);
        let (mut proposal, ask) = Proposal::start(key, &core, held, ballot, judge, clock::now());
        let mut votes = self.ask(&core, ask, &members);
        loop {
            let span = Duration::from_millis(ROUND_TIMEOUT_MS);
            let Ok(Some((from, vote))) = time::timeout(span, votes.recv()).await else { return None };
            match proposal.handle_response(&from, vote, judge, clock::now()) {
                Progress::Wait => {}
                Progress::Send(ask) => votes = self.ask(&core, ask, &members),
                Progress::Finished { answer, ownership, written } => return Some((answer, ownership, written)),
                Progress::Superseded(ballot) => {
                    self.committed.observe_term(ballot.term);
                    return None;
                }
                Progress::NewerMembership(core) => {
                    self.replica.adopt_membership(&core);
                    return None;
                }
            }
        }
    }

    /// The same, and nobody is told of the committed entry: that is left to the caller, who gets it, and
    /// whether a change was written.
    pub async fn change_unannounced<T>(
        &self,
        key: &str,
        wait_ms: u64,
        mut judge: impl FnMut(&[u8]) -> Decision<T>,
    ) -> ChangeOutcome<(T, Ownership, bool)> {
        let own = self.ownerships.lock_of(key);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut held = time::timeout_at(end, own.lock()).await.ok()?;
        let mut dice = Rng::new(self.incarnation ^ clock::now());
        let mut pause = FIRST_PAUSE_MS;
        while Instant::now() < end {
            if let Some(done) = self.propose(key, held.take(), &mut judge).await {
                *held = Some(done.1.clone());
                return Some(done);
            }
            let rest = dice.below(pause) + 2;
            time::sleep(Duration::from_millis(rest)).await;
            pause = (pause * 2).min(LAST_PAUSE_MS);
        }
        None
    }

    /// Commits again what a key holds, under the core of now.
    pub async fn recommit(&self, key: &str, wait_ms: u64) -> ChangeOutcome<()> {
        let own = self.ownerships.lock_of(key);
        *own.lock().await = None;
        self.change(key, wait_ms, |_| Decision::Answer(())).await
    }
}
