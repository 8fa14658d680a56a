//! Carrying rounds of the ledger out: to all members at once, each vote fed to the round.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use consensus::Ownership;
use consensus::{quorum, ROUND_TIMEOUT_MS};
use consensus::{Progress, Proposal};
use kernel::clock;
use kernel::Rng;
use protocol::message::{ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Message};
use tokio::sync::mpsc::{self, Receiver};
use tokio::sync::Mutex;
use tokio::time::{self, Instant};

use crate::config::execution;
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
pub type Outcome<T> = Option<T>;

/// The longest pause after the first try that was overtaken, and after the last ones.
const FIRST_PAUSE_MS: u64 = 20;
const LAST_PAUSE_MS: u64 = 200;
/// Bodies from this length on are not told again to those that hold them.
const LONG_BODY: usize = 1024;

type Votes = Receiver<(String, ConsensusResponse)>;

impl Controller {
    /// Asks some members; the votes come in as they are given.
    pub fn ask(&self, core: &CoreMembership, ask: ConsensusOperation, ips: &[String]) -> Votes {
        let (send, votes) = mpsc::channel(ips.len().max(1));
        for ip in ips {
            let poll = ConsensusRequest { membership: core.clone(), operation: ask.clone() };
            let (send, from) = (send.clone(), ip.clone());
            if ip == self.me() {
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
        let ballot = self.committed.next_proposal_number(&core, self.seat);
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

    /// Changes a key. `judge` sees what is committed and says what to do; it may be asked again, and
    /// an answer without a write is only given on what a quorum was just seen to hold.
    pub async fn change<T>(&self, key: &str, wait_ms: u64, judge: impl FnMut(&[u8]) -> Decision<T>) -> Outcome<T> {
        let (answer, owner, wrote) = self.change_untold(key, wait_ms, judge).await?;
        if !wrote && owner.entry.body.len() > LONG_BODY {
            execution::tell_again(self, key, &owner.entry);
        } else if !owner.is_blank() {
            self.learn(key, &owner.entry, true);
        }
        Some(answer)
    }

    /// The same, and nobody is told of the committed entry: that is left to the caller, who gets it, and
    /// whether a change was written.
    pub async fn change_untold<T>(
        &self,
        key: &str,
        wait_ms: u64,
        mut judge: impl FnMut(&[u8]) -> Decision<T>,
    ) -> Outcome<(T, Ownership, bool)> {
        let own = self.ownerships.lock_of(key);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut held = time::timeout_at(end, own.lock()).await.ok()?;
        let mut dice = Rng::new(self.life ^ clock::now());
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
    pub async fn renew(&self, key: &str, wait_ms: u64) -> Outcome<()> {
        let own = self.ownerships.lock_of(key);
        *own.lock().await = None;
        self.change(key, wait_ms, |_| Decision::Answer(())).await
    }
}
