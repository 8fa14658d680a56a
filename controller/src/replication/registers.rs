//! Proposes changes of registers. Requests are sent to all members at once, and each response is fed to the proposal.
//! Each key is its own Paxos instance, as in Lamport's "Paxos Made Simple".

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

/// This controller's ownership of one key, if any. Invariant: a change is made only while it is locked, so two changes
/// of one owner never share a position.
pub type OwnershipLock = Mutex<Option<Ownership>>;

/// This controller's ownerships by key. Different keys are changed independently.
#[derive(Default)]
pub struct Ownerships(parking_lot::Mutex<HashMap<String, Arc<OwnershipLock>>>);

impl Ownerships {
    /// Returns the lock of one key's ownership. It may be held across an await.
    fn lock_of(&self, key: &str) -> Arc<OwnershipLock> {
        self.0.lock().entry(key.into()).or_default().clone()
    }
}

pub use consensus::Decision;

/// The result of a completed change.
pub struct CompletedChange<T> {
    /// The answer that `decide` gave.
    pub answer: T,
    /// The ownership of the key, with the committed entry.
    pub ownership: Ownership,
    /// Whether a new body was written. Otherwise the entry had been committed before.
    pub written: bool,
}

/// The result of a change, `None` if the outcome is unknown.
pub type ChangeOutcome<T> = Option<T>;

/// Upper bound of the random backoff after the first failed attempt, in milliseconds. It doubles with each attempt.
const INITIAL_BACKOFF_MS: u64 = 20;
/// Limit of the upper bound of the backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 200;

type Responses = Receiver<(String, ConsensusResponse)>;

impl Controller {
    /// Sends an operation to the acceptors at `ips` and returns a channel that receives each response with the address
    /// of its sender.
    pub fn send_requests(&self, core: &CoreMembership, operation: ConsensusOperation, ips: &[String]) -> Responses {
        let (send, responses) = mpsc::channel(ips.len().max(1));
        for ip in ips {
            let request = ConsensusRequest { membership: core.clone(), operation: operation.clone() };
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

    /// Makes one attempt at a change, starting from the ownership of the key, if any. Returns `None` if the attempt
    /// timed out, was superseded, or used an outdated membership.
    async fn propose<T>(
        &self,
        key: &str,
        ownership: Option<Ownership>,
        decide: &mut impl FnMut(&[u8]) -> Decision<T>,
    ) -> Option<CompletedChange<T>> {
        let core = self.replica.membership();
        if core.members.is_empty() {
            return None;
        }
        let members = quorum::addresses(&core);
        let proposal_number = self.committed.next_proposal_number(&core, self.replica_id);
        let (mut proposal, operation) = Proposal::start(key, &core, ownership, proposal_number, decide, clock::now());
        let mut responses = self.send_requests(&core, operation, &members);
        loop {
            let timeout = Duration::from_millis(ROUND_TIMEOUT_MS);
            let Ok(Some((from, response))) = time::timeout(timeout, responses.recv()).await else { return None };
            match proposal.handle_response(&from, response, decide, clock::now()) {
                Progress::Wait => {}
                Progress::Send(operation) => responses = self.send_requests(&core, operation, &members),
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

    /// Changes a key without announcing the committed entry, which is left to the caller. `decide` gets the committed
    /// body and returns what to do; it may be called more than once.
    pub async fn change_unannounced<T>(
        &self,
        key: &str,
        timeout_ms: u64,
        mut decide: impl FnMut(&[u8]) -> Decision<T>,
    ) -> ChangeOutcome<CompletedChange<T>> {
        let lock = self.ownerships.lock_of(key);
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        let mut ownership = time::timeout_at(deadline, lock.lock()).await.ok()?;
        let mut random = Rng::new(self.incarnation ^ clock::now());
        let mut backoff = INITIAL_BACKOFF_MS;
        while Instant::now() < deadline {
            if let Some(completed) = self.propose(key, ownership.take(), &mut decide).await {
                *ownership = Some(completed.ownership.clone());
                return Some(completed);
            }
            let delay_ms = random.below(backoff) + 2;
            time::sleep(Duration::from_millis(delay_ms)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF_MS);
        }
        None
    }

    /// Commits the body of a key again, unchanged, under the current core membership.
    pub async fn recommit(&self, key: &str, timeout_ms: u64) -> ChangeOutcome<()> {
        let lock = self.ownerships.lock_of(key);
        *lock.lock().await = None;
        self.change(key, timeout_ms, |_| Decision::Answer(())).await
    }
}
