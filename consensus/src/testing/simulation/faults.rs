//! Trouble in the simulated world: falls, wipes, returns, and the reading at the end.

use super::{ip, ConsensusOperation, ConsensusRequest, CoreMembership, Mail, Member, Seat, World};
use crate::acceptor::Acceptor;
use crate::quorum;

impl World {
    /// Power loss: what is not synced is gone. `wipe`: the disk too.
    pub fn fall(&mut self, at: usize, wipe: bool) {
        let now = self.now;
        let seat = &mut self.seats[at];
        seat.up = false;
        seat.wet.clear();
        (seat.ownership, seat.work) = (None, None);
        seat.reads.clear();
        if wipe {
            let core = seat.disk.membership.clone();
            seat.disk = Acceptor::new(&ip(at));
            seat.disk.membership = core;
            seat.disk.may_vote = self.hasty;
        }
        seat.born = now;
    }

    pub fn rise(&mut self, at: usize) {
        let now = self.now;
        let seat = &mut self.seats[at];
        if seat.up {
            return;
        }
        seat.up = true;
        seat.life += 1;
        seat.born = now;
        seat.turn = 0;
        seat.voter = seat.disk.clone();
    }

    pub fn all_able(&self) -> bool {
        self.seats.iter().all(|seat| seat.voter.may_vote)
    }

    /// What a majority read says at the end, with all up and whole.
    pub fn settle(&mut self) -> Vec<u8> {
        self.cut.clear();
        (0..self.seats.len()).for_each(|at| self.rise(at));
        for seat in &mut self.seats {
            (seat.ownership, seat.work) = (None, None);
        }
        for _ in 0..60_000 {
            self.step();
            if let Some(ownership) = &self.seats[0].ownership {
                return ownership.entry.body.clone();
            }
            if self.now.is_multiple_of(40) {
                self.propose(0);
            }
        }
        panic!("no reader became owner within a minute of virtual time");
    }

    /// An empty machine at a new address: never a voter, so it may be added.
    pub fn join(&mut self) -> usize {
        let at = self.seats.len();
        let core = self.seats[0].voter.membership.clone();
        self.seats.push(Seat::fresh(at, core, self.now));
        at
    }

    /// The next core, known at first to one seat only. `joint`: until it is settled, quorums of the members
    /// before it are needed too.
    pub fn change(&mut self, list: Vec<usize>, joint: bool) -> CoreMembership {
        let old = self.seats[0].voter.membership.clone();
        let list = list.into_iter().map(|at| Member { ip: ip(at), zone: String::new() }).collect();
        let core =
            CoreMembership { version: old.version + 1, members: list, previous_members: old.members, stable: !joint };
        let record = self.seats[0].voter.adopt_membership(&core);
        (self.seats[0].ownership, self.seats[0].work) = (None, None);
        self.seats[0].wet.push((self.now + 2, record.into_iter().collect(), None));
        core
    }

    /// Tells the members old and new of a core; true once majorities of both have it on disk.
    pub fn spread(&mut self, core: &CoreMembership) -> bool {
        let ask = ConsensusOperation::Positions;
        for to in 0..self.seats.len() {
            let poll = ConsensusRequest { membership: core.clone(), operation: ask.clone() };
            self.post(0, to, Mail::Poll { round: 0, poll });
        }
        let knows = |ip: &str| {
            self.seats.iter().any(|seat| seat.up && seat.voter.ip == ip && seat.disk.membership.version >= core.version)
        };
        let most =
            |list: &[Member]| list.iter().filter(|member| knows(&member.ip)).count() >= quorum::majority(list.len());
        most(&core.members) && most(&core.previous_members)
    }

    /// Commits the key again under the core of now; true once done.
    pub fn renewed(&mut self, version: u64) -> bool {
        if self.seats[0].ownership.as_ref().is_some_and(|ownership| ownership.membership_version >= version) {
            return true;
        }
        self.propose(0);
        false
    }
}
