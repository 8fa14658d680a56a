//! Carrying rounds of the ledger out: to all members at once, each vote fed to the round.

/// One key's owner state in this keeper. Invariant: a change is made only while it is locked, so
/// two changes of one owner never share a place.
pub type Helms = tokio::sync::Mutex<Option<ledger::round::Helm>>;

pub enum Verdict<T> {
    /// Nothing to change.
    Answer(T),
    Write(Vec<u8>, T),
}

/// None: no clear outcome.
pub type Outcome<T> = Option<T>;

type Votes = tokio::sync::mpsc::Receiver<(String, wire::msg::Vote)>;

impl crate::hall::Hall {
    /// The own vote, given once it is on disk.
    pub fn vote(&self, poll: wire::msg::Poll, give: impl FnOnce(wire::msg::Vote) + Send + 'static) {
        let mut voter = self.voter.lock().expect("voter");
        let (vote, deeds) = voter.poll(poll);
        // Still under the lock: the order on disk is the order of the votes.
        self.disk.then(deeds, move || give(vote));
    }

    /// Asks some members; the votes come in as they are given.
    pub fn ask(&self, core: &wire::msg::Core, ask: wire::msg::Ask, ips: &[String]) -> Votes {
        let (send, votes) = tokio::sync::mpsc::channel(ips.len().max(1));
        for ip in ips {
            let poll = wire::msg::Poll { core: core.clone(), ask: ask.clone() };
            let (send, from) = (send.clone(), ip.clone());
            if ip == self.me() {
                self.vote(poll, move |vote| {
                    let _ = send.try_send((from, vote));
                });
                continue;
            }
            let fellow = self.fellow(ip);
            tokio::spawn(async move {
                let msg = wire::msg::Msg::Poll(Box::new(poll));
                let Some(wire::msg::Msg::Vote(vote)) = fellow.call(msg, ledger::ROUND_MS).await else { return };
                let _ = send.try_send((from, *vote));
            });
        }
        votes
    }

    async fn round(&self, mut round: ledger::round::Round, first: wire::msg::Ask) -> ledger::round::Step {
        let members: Vec<String> = round.core().list.iter().map(|member| member.ip.clone()).collect();
        let core = round.core().clone();
        let mut votes = self.ask(&core, first, &members);
        let end = tokio::time::Instant::now() + std::time::Duration::from_millis(ledger::ROUND_MS);
        loop {
            let Ok(Some((from, vote))) = tokio::time::timeout_at(end, votes.recv()).await else {
                return ledger::round::Step::Wait;
            };
            match round.hear(&from, vote, kernel::clock::now()) {
                ledger::round::Step::Wait => {}
                ledger::round::Step::Send(ask) => votes = self.ask(&core, ask, &members),
                over => return over,
            }
        }
    }

    fn seen(&self, turn: u64) {
        let mut board = self.board.lock().expect("board");
        board.turn = board.turn.max(turn);
    }

    /// Becomes a key's owner: reads a majority under a new ballot and commits again what it finds.
    async fn take(&self, key: &str) -> Option<ledger::round::Helm> {
        let turn = {
            let mut board = self.board.lock().expect("board");
            board.turn += 1;
            board.turn
        };
        let core = self.core();
        if core.list.is_empty() {
            return None;
        }
        let ballot = wire::msg::Ballot { turn, seat: self.seat };
        let (round, ask) = ledger::round::Round::take(key, core, ballot, kernel::clock::now());
        match self.round(round, ask).await {
            ledger::round::Step::Done(helm) => {
                if helm.entry.step > 0 || !helm.entry.body.is_empty() {
                    self.learn(key, &helm.entry, true);
                }
                Some(helm)
            }
            ledger::round::Step::Lost(ballot) => {
                self.seen(ballot.turn);
                None
            }
            ledger::round::Step::Core(core) => {
                self.adopt(&core);
                None
            }
            _ => None,
        }
    }

    /// Changes a key. `judge` sees what is committed and says what to do; it may be asked again, and
    /// an answer without a write is only given on what a majority was just seen to hold.
    pub async fn change<T>(&self, key: &str, wait_ms: u64, mut judge: impl FnMut(&[u8]) -> Verdict<T>) -> Outcome<T> {
        let own = self.helms.lock().expect("helms").entry(key.into()).or_default().clone();
        let end = tokio::time::Instant::now() + std::time::Duration::from_millis(wait_ms);
        let mut held = tokio::time::timeout_at(end, own.lock()).await.ok()?;
        let mut dice = kernel::clock::Dice::new(self.life ^ kernel::clock::now());
        let mut pause = 0;
        while tokio::time::Instant::now() < end {
            if pause > 0 {
                let rest = dice.below(pause) + 2;
                tokio::time::sleep(std::time::Duration::from_millis(rest)).await;
            }
            pause = (pause * 2).clamp(20, 200);
            let core = self.core();
            let cached = held.take().filter(|helm| helm.core == core.stamp);
            let fresh = cached.is_none();
            let helm = match cached {
                Some(helm) => helm,
                None => match self.take(key).await {
                    Some(helm) => helm,
                    None => continue,
                },
            };
            let (body, answer) = match judge(&helm.entry.body) {
                Verdict::Answer(answer) if fresh => {
                    *held = Some(helm);
                    return Some(answer);
                }
                Verdict::Answer(_) => {
                    pause = 0;
                    continue;
                }
                Verdict::Write(body, answer) => (body, answer),
            };
            let (round, ask) = ledger::round::Round::change(key, core, &helm, body, kernel::clock::now());
            match self.round(round, ask).await {
                ledger::round::Step::Done(helm) => {
                    self.learn(key, &helm.entry, true);
                    *held = Some(helm);
                    return Some(answer);
                }
                ledger::round::Step::Lost(ballot) => self.seen(ballot.turn),
                ledger::round::Step::Core(core) => self.adopt(&core),
                _ => {}
            }
        }
        None
    }

    /// Commits again what a key holds, under the core of now.
    pub async fn renew(&self, key: &str, wait_ms: u64) -> Outcome<()> {
        let own = self.helms.lock().expect("helms").entry(key.into()).or_default().clone();
        *own.lock().await = None;
        self.change(key, wait_ms, |_| Verdict::Answer(())).await
    }
}
