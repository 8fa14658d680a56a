//! Proposing changes of registers: requests go to all members at once, each response is fed to the proposal ("Paxos Made
//! Simple", one instance a key).

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

/// What this controller owns of one key. Invariant: a change is made only while it is locked, so two changes of one owner never
/// share a position.
pub type OwnershipLock = Mutex<Option<Ownership>>;

/// What this controller owns of each key. Two keys are changed independently.
#[derive(Default)]
pub struct Ownerships(parking_lot::Mutex<HashMap<String, Arc<OwnershipLock>>>);

impl Ownerships {
    /// Returns the lock of one key's ownership. It may be owned over an await.
    fn lock_of(&self, key: &str) -> Arc<OwnershipLock> {
        self.0.lock().entry(key.into()).or_default().clone()
    }
}

pub use consensus::Decision;

/// What a change came to.
pub struct CompletedChange<T> {
    /// What `decide` answered.
    pub answer: T,
    /// The key's ownership with the committed entry.
    pub ownership: Ownership,
    /// Whether a change was written; otherwise the entry was committed before.
    pub written: bool,
}

/// The result of a change. None: the outcome is unknown.
pub type ChangeOutcome<T> = Option<T>;

/// The longest pause after the first attempt that was superseded.
const FIRST_PAUSE_MS: u64 = 20;
/// The longest pause after later attempts.
const LAST_PAUSE_MS: u64 = 200;

type Responses = Receiver<(String, ConsensusResponse)>;

impl Controller {
    /// Sends an operation to some acceptors; their responses come in as they are given.
    pub fn ask(&self, core: &CoreMembership, ask: ConsensusOperation, ips: &[String]) -> Responses {
        let (send, responses) = mpsc::channel(ips.len().max(1));
        for ip in ips {
            let request = ConsensusRequest { membership: core.clone(), operation: ask.clone() };
            let (send, from) = (send.clone(), ip.clone());
            if ip == self.own_ip() {
                self.replica.handle(request, move |response| {
                    let _ = send.try_send((from, response));
                });
                continue;
            }
            let peer = self.peers.consensus_client(ip);
            tokio::spawn(async move {
                let msg = Message::ConsensusRequest(Box::new(request));
                let Some(Message::ConsensusResponse(response)) = peer.call(msg, ROUND_TIMEOUT_MS).await else { return };
                let _ = send.try_send((from, *response));
            });
        }
        responses
    }

    /// Makes one attempt, from what is owned of the key to an outcome. None: no outcome in time, or superseded.
    async fn propose<T>(
        &self,
        key: &str,
        owned: Option<Ownership>,
        decide: &mut impl FnMut(&[u8]) -> Decision<T>,
    ) -> Option<CompletedChange<T>> {
        let core = self.replica.membership();
        if core.members.is_empty() {
            return None;
        }
        let members = quorum::addresses(&core);
        let proposal_number = self.committed.next_proposal_number(&core, self.replica_id);
        let (mut proposal, ask) = Proposal::start(key, &core, owned, proposal_number, decide, clock::now());
        let mut responses = self.ask(&core, ask, &members);
        loop {
            let span = Duration::from_millis(ROUND_TIMEOUT_MS);
            let Ok(Some((from, response))) = time::timeout(span, responses.recv()).await else { return None };
            match proposal.handle_response(&from, response, decide, clock::now()) {
                Progress::Wait => {}
                Progress::Send(ask) => responses = self.ask(&core, ask, &members),
                Progress::Finished { answer, ownership, written } => {
                    return Some(CompletedChange { answer, ownership, written })
                }
                Progress::Superseded(proposal_number) => {
                    self.committed.observe_term(proposal_number.term);
                    return None;
                }
                Progress::NewerMembership(core) => {
                    self.replica.adopt_membership(&core);
                    return None;
                }
            }
        }
    }

    /// Changes a key without announcing the committed entry: that is left to the caller. `decide` sees what is committed and says what to do; it may be asked again.
    pub async fn change_unannounced<T>(
        &self,
        key: &str,
        wait_ms: u64,
        mut decide: impl FnMut(&[u8]) -> Decision<T>,
    ) -> ChangeOutcome<CompletedChange<T>> {
        let own = self.ownerships.lock_of(key);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut owned = time::timeout_at(end, own.lock()).await.ok()?;
        let mut random = Rng::new(self.incarnation ^ clock::now());
        let mut pause = FIRST_PAUSE_MS;
        while Instant::now() < end {
            if let Some(done) = self.propose(key, owned.take(), &mut decide).await {
                *owned = Some(done.ownership.clone());
                return Some(done);
            }
            let pause_ms = random.below(pause) + 2;
            time::sleep(Duration::from_millis(pause_ms)).await;
            pause = (pause * 2).min(LAST_PAUSE_MS);
        }
        None
    }

    /// Commits again what a key holds, under the current core membership.
    pub async fn recommit(&self, key: &str, wait_ms: u64) -> ChangeOutcome<()> {
        let own = self.ownerships.lock_of(key);
        *own.lock().await = None;
        self.change(key, wait_ms, |_| Decision::Answer(())).await
    }
}
