//! Carrying rounds of the ledger out: to all members at once, each vote fed to the round.

/// One key's owner state in this controller. Invariant: a change is made only while it is locked, so
/// two changes of one owner never share a place.
pub type OwnershipLock = tokio::sync::Mutex<Option<consensus::round::Ownership>>;

pub use consensus::proposal::Verdict;

/// None: no clear outcome.
pub type Outcome<T> = Option<T>;

/// The longest pause after the first try that was overtaken, and after the last ones.
const FIRST_PAUSE_MS: u64 = 20;
const LAST_PAUSE_MS: u64 = 200;
/// Bodies from this length on are not told again to those that hold them.
const LONG_BODY: usize = 1024;

type Votes = tokio::sync::mpsc::Receiver<(String, protocol::msg::Vote)>;

impl crate::controller::Controller {
    /// The own vote, given once it is on disk.
    pub fn vote(&self, poll: protocol::msg::Poll, give: impl FnOnce(protocol::msg::Vote) + Send + 'static) {
        let mut voter = self.voter.lock().expect("voter");
        let (vote, records) = voter.poll(poll);
        // Still under the lock: the order on disk is the order of the votes.
        self.disk.then(records, move || give(vote));
    }

    /// Asks some members; the votes come in as they are given.
    pub fn ask(&self, core: &protocol::msg::Core, ask: protocol::msg::Ask, ips: &[String]) -> Votes {
        let (send, votes) = tokio::sync::mpsc::channel(ips.len().max(1));
        for ip in ips {
            let poll = protocol::msg::Poll { core: core.clone(), ask: ask.clone() };
            let (send, from) = (send.clone(), ip.clone());
            if ip == self.me() {
                self.vote(poll, move |vote| {
                    let _ = send.try_send((from, vote));
                });
                continue;
            }
            let peer = self.peer(ip);
            tokio::spawn(async move {
                let msg = protocol::msg::Msg::Poll(Box::new(poll));
                let Some(protocol::msg::Msg::Vote(vote)) = peer.call(msg, consensus::ROUND_MS).await else { return };
                let _ = send.try_send((from, *vote));
            });
        }
        votes
    }

    fn seen(&self, turn: u64) {
        let mut committed_state = self.committed_state.lock().expect("committed_state");
        committed_state.turn = committed_state.turn.max(turn);
    }

    /// A ballot that no one used before.
    fn next_ballot(&self, core: &protocol::msg::Core) -> protocol::msg::Ballot {
        let mut committed_state = self.committed_state.lock().expect("committed_state");
        committed_state.turn = consensus::round::next_turn(committed_state.turn, core);
        protocol::msg::Ballot { turn: committed_state.turn, seat: self.seat }
    }

    /// One try: from what is held of the key to an outcome. None: no outcome in time, or overtaken.
    async fn propose<T>(
        &self,
        key: &str,
        held: Option<consensus::round::Ownership>,
        judge: &mut impl FnMut(&[u8]) -> Verdict<T>,
    ) -> Option<(T, consensus::round::Ownership, bool)> {
        let core = self.core();
        if core.list.is_empty() {
            return None;
        }
        let members = consensus::quorum::addresses(&core);
        let ballot = self.next_ballot(&core);
        let (mut proposal, ask) =
            consensus::proposal::Proposal::begin(key, &core, held, ballot, judge, kernel::clock::now());
        let mut votes = self.ask(&core, ask, &members);
        loop {
            let span = std::time::Duration::from_millis(consensus::ROUND_MS);
            let Ok(Some((from, vote))) = tokio::time::timeout(span, votes.recv()).await else { return None };
            match proposal.hear(&from, vote, judge, kernel::clock::now()) {
                consensus::proposal::Progress::Wait => {}
                consensus::proposal::Progress::Send(ask) => votes = self.ask(&core, ask, &members),
                consensus::proposal::Progress::Finished { answer, owner, wrote } => {
                    return Some((answer, owner, wrote))
                }
                consensus::proposal::Progress::Outbid(ballot) => {
                    self.seen(ballot.turn);
                    return None;
                }
                consensus::proposal::Progress::NewerCore(core) => {
                    self.adopt(&core);
                    return None;
                }
            }
        }
    }

    /// Changes a key. `judge` sees what is committed and says what to do; it may be asked again, and
    /// an answer without a write is only given on what a quorum was just seen to hold.
    pub async fn change<T>(&self, key: &str, wait_ms: u64, judge: impl FnMut(&[u8]) -> Verdict<T>) -> Outcome<T> {
        let (answer, owner, wrote) = self.change_untold(key, wait_ms, judge).await?;
        if !wrote && owner.entry.body.len() > LONG_BODY {
            crate::config_orders::tell_again(self, key, &owner.entry);
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
        mut judge: impl FnMut(&[u8]) -> Verdict<T>,
    ) -> Outcome<(T, consensus::round::Ownership, bool)> {
        let own = self.ownerships.lock().expect("ownerships").entry(key.into()).or_default().clone();
        let end = tokio::time::Instant::now() + std::time::Duration::from_millis(wait_ms);
        let mut held = tokio::time::timeout_at(end, own.lock()).await.ok()?;
        let mut dice = kernel::clock::Dice::new(self.life ^ kernel::clock::now());
        let mut pause = FIRST_PAUSE_MS;
        while tokio::time::Instant::now() < end {
            if let Some(done) = self.propose(key, held.take(), &mut judge).await {
                *held = Some(done.1.clone());
                return Some(done);
            }
            let rest = dice.below(pause) + 2;
            tokio::time::sleep(std::time::Duration::from_millis(rest)).await;
            pause = (pause * 2).min(LAST_PAUSE_MS);
        }
        None
    }

    /// Commits again what a key holds, under the core of now.
    pub async fn renew(&self, key: &str, wait_ms: u64) -> Outcome<()> {
        let own = self.ownerships.lock().expect("ownerships").entry(key.into()).or_default().clone();
        *own.lock().await = None;
        self.change(key, wait_ms, |_| Verdict::Answer(())).await
    }
}
