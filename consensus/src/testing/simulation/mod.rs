//! A deterministic world for the ledger: virtual time, a seed, messages that are lost, doubled and
//! reordered, crashes that lose what was not synced, wiped disks, cuts. It checks that nothing
//! acknowledged is lost and that the history of a key is one line.

use std::collections::BTreeMap;
use std::{mem, str};

use kernel::clock::Rng;
use protocol::message::{
    ConsensusOperation, ConsensusRequest, ConsensusResponse, CoreMembership, Member, ProposalNumber, RegisterState,
};

use crate::acceptor::{Acceptor, LogRecord};
use crate::round::{self, Ownership, Round, RoundProgress};
use crate::{quorum, RECOVERY_DELAY_MS};

const KEY: &str = "k";

enum Mail {
    Poll { round: u64, poll: ConsensusRequest },
    Vote { round: u64, vote: ConsensusResponse },
}

struct Letter {
    at: u64,
    from: usize,
    to: usize,
    life: u64,
    mail: Mail,
}

struct Work {
    id: u64,
    round: Round,
    /// The body this round carries, when it is a change.
    body: Option<Vec<u8>>,
}

/// Invariant: `disk` is what was synced; `voter` may be ahead of it by what waits in `wet`.
struct Seat {
    voter: Acceptor,
    disk: Acceptor,
    wet: Vec<(u64, Vec<LogRecord>, Option<Letter>)>,
    ownership: Option<Ownership>,
    work: Option<Work>,
    up: bool,
    life: u64,
    born: u64,
    turn: u64,
    reads: BTreeMap<usize, Vec<RegisterState>>,
}

pub struct World {
    now: u64,
    dice: Rng,
    seats: Vec<Seat>,
    mail: Vec<Letter>,
    cut: Vec<(usize, usize)>,
    next: u64,
    /// Acknowledged bodies, in the order of their acknowledgement.
    pub acked: Vec<Vec<u8>>,
    /// With it, a wiped voter votes at once: the fault that the rule prevents.
    pub hasty: bool,
}

fn ip(at: usize) -> String {
    format!("10.0.0.{at}")
}

fn count(body: &[u8]) -> u64 {
    str::from_utf8(body).ok().and_then(|text| text.split('/').next()?.parse().ok()).unwrap_or(0)
}

impl Seat {
    /// An empty machine that may vote where the core names it.
    fn fresh(at: usize, core: CoreMembership, born: u64) -> Seat {
        let mut voter = Acceptor::new(&ip(at));
        (voter.membership, voter.may_vote) = (core, true);
        Seat {
            disk: voter.clone(),
            voter,
            wet: Vec::new(),
            ownership: None,
            work: None,
            up: true,
            life: 1,
            born,
            turn: 0,
            reads: Default::default(),
        }
    }
}

impl World {
    pub fn new(seed: u64, size: usize) -> World {
        let list = (0..size).map(|at| Member { ip: ip(at), zone: String::new() }).collect();
        let core = CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true };
        World {
            now: 0,
            dice: Rng::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            seats: (0..size).map(|at| Seat::fresh(at, core.clone(), 0)).collect(),
            mail: Vec::new(),
            cut: Vec::new(),
            next: 1,
            acked: Vec::new(),
            hasty: false,
        }
    }

    fn post(&mut self, from: usize, to: usize, mail: Mail) {
        if self.cut.contains(&(from, to)) || (from != to && self.dice.below(100) < 4) {
            return;
        }
        let far = if self.dice.below(20) == 0 { 400 } else { 12 };
        let late = if from == to { 0 } else { 1 + self.dice.below(far) };
        self.mail.push(Letter { at: self.now + late, from, to, life: self.seats[to].life, mail });
    }

    fn ask(&mut self, from: usize, round: u64, core: &CoreMembership, ask: &ConsensusOperation) {
        for to in 0..self.seats.len() {
            if quorum::is_member(core, &ip(to)) {
                self.post(
                    from,
                    to,
                    Mail::Poll { round, poll: ConsensusRequest { membership: core.clone(), operation: ask.clone() } },
                );
            }
        }
    }

    /// A controller begins what its state calls for: a change by a ownership, or a take-over.
    pub fn propose(&mut self, at: usize) {
        let seat = &mut self.seats[at];
        if !seat.up || seat.work.as_ref().is_some_and(|work| !work.round.is_expired(self.now)) {
            return;
        }
        let core = seat.voter.membership.clone();
        let (id, now) = (self.next, self.now);
        self.next += 1;
        let (round, ask, body) = match &seat.ownership {
            Some(ownership) => {
                let body = format!("{}/{at}.{id}", count(&ownership.entry.body) + 1).into_bytes();
                let (round, ask) = Round::change(KEY, core.clone(), ownership, body.clone(), now);
                (round, ask, Some(body))
            }
            None => {
                seat.turn = round::next_term(seat.turn, &core);
                let ballot = ProposalNumber { term: seat.turn, replica_id: crate::replica_id(&ip(at), seat.life) };
                let (round, ask) = Round::claim(KEY, core.clone(), ballot, now);
                (round, ask, None)
            }
        };
        seat.ownership = None;
        seat.work = Some(Work { id, round, body });
        self.ask(at, id, &core, &ask);
    }

    fn vote(&mut self, at: usize, from: usize, id: u64, vote: ConsensusResponse) {
        let now = self.now;
        let seat = &mut self.seats[at];
        if let ConsensusResponse::Snapshot { registers } = &vote {
            if !seat.voter.may_vote {
                seat.reads.insert(from, registers.clone());
                let read: Vec<String> = seat.reads.keys().map(|at| ip(*at)).collect();
                if seat.voter.has_enough_reads(&read) {
                    let records = seat.voter.recover(seat.reads.values().cloned().collect());
                    seat.wet.push((now + 2, records.unwrap_or_default(), None));
                }
            }
            return;
        }
        let Some(work) = seat.work.as_mut().filter(|work| work.id == id) else { return };
        match work.round.handle_response(&ip(from), vote, now) {
            RoundProgress::Wait => {}
            RoundProgress::NewerMembership(core) => {
                seat.work = None;
                let record = seat.voter.adopt_membership(&core);
                seat.wet.push((now + 2, record.into_iter().collect(), None));
            }
            RoundProgress::Send(ask) => {
                // The second half counts under a new number: votes of the first are not for it.
                work.id = self.next;
                self.next += 1;
                let (id, core) = (work.id, work.round.membership().clone());
                self.ask(at, id, &core, &ask);
            }
            RoundProgress::Superseded(ballot) => {
                seat.turn = seat.turn.max(ballot.term);
                seat.work = None;
            }
            RoundProgress::Chosen(ownership) => {
                let body = work.body.take();
                seat.work = None;
                if let Some(body) = body {
                    self.acked.push(body);
                }
                seat.ownership = Some(ownership);
            }
        }
    }

    fn deliver(&mut self, letter: Letter) {
        let Letter { from, to, life, mail, .. } = letter;
        if !self.seats[to].up || self.seats[to].life != life {
            return;
        }
        match mail {
            Mail::Vote { round, vote } => self.vote(to, from, round, vote),
            Mail::Poll { round, poll } => {
                let (vote, records) = self.seats[to].voter.handle(poll);
                let slow = if self.dice.below(30) == 0 { 700 } else { 6 };
                let late = 1 + self.dice.below(slow);
                let reply = Letter { at: 0, from: to, to: from, life: 0, mail: Mail::Vote { round, vote } };
                let seat = &mut self.seats[to];
                // The disk works in order: nothing is answered before what came before it is synced.
                let due = seat.wet.last().map_or(0, |wet| wet.0).max(self.now + late);
                seat.wet.push((due, records, Some(reply)));
            }
        }
    }

    pub fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        for at in 0..self.seats.len() {
            while self.seats[at].up && self.seats[at].wet.first().is_some_and(|wet| wet.0 <= now) {
                let (_, records, reply) = self.seats[at].wet.remove(0);
                records.into_iter().for_each(|record| self.seats[at].disk.replay(record));
                if let Some(reply) = reply {
                    self.post(reply.from, reply.to, reply.mail);
                }
            }
            let seat = &self.seats[at];
            if seat.up && !seat.voter.may_vote && now >= seat.born + RECOVERY_DELAY_MS && now.is_multiple_of(50) {
                let (core, others) = (seat.voter.membership.clone(), seat.voter.recovery_peers());
                self.seats[at].reads.clear();
                for to in 0..self.seats.len() {
                    if others.contains(&ip(to)) {
                        let poll =
                            ConsensusRequest { membership: core.clone(), operation: ConsensusOperation::Snapshot };
                        self.post(at, to, Mail::Poll { round: 0, poll });
                    }
                }
            }
        }
        let due: Vec<Letter> = {
            let (due, rest) = mem::take(&mut self.mail).into_iter().partition(|letter| letter.at <= now);
            self.mail = rest;
            due
        };
        due.into_iter().for_each(|letter| self.deliver(letter));
    }
}

mod faults;

#[cfg(test)]
mod tests;

#[cfg(test)]
mod membership_tests;
