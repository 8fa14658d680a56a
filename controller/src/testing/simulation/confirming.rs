//! Heartbeats, and the confirmation at a quorum that a simulated controller knows what is committed.

use consensus::{quorum, Confirmation, Decision, StaleKey};
use membership::Peer;
use protocol::message::{ConsensusOperation, ConsensusResponse, Entry, PROTOCOL_VERSION};

use super::changes::Purpose;
use super::network::{Address, Heartbeat, Packet};
use super::Cluster;
use crate::controller::HEARTBEAT_INTERVAL_MS;

const READ_MS: u64 = 600;
const FETCH_MS: u64 = 60;
const RENEW_MS: u64 = 600;
const CATCH_UP_MS: u64 = 600;
const ON_ITS_WAY_MS: u64 = 60;
const INCOMPLETE_AFTER_MS: u64 = 100;

/// One key that is behind, and the reads of it at the members.
struct CatchUp {
    behind: StaleKey,
    since: u64,
    next_try: u64,
    id: u64,
    fetched: Vec<(String, Entry)>,
}

/// The confirmation under way. Invariant: `confirmed` is set to `begun` only once nothing is behind.
#[derive(Default)]
pub struct Confirming {
    next_tick: u64,
    begun: u64,
    read: Option<(u64, Confirmation)>,
    behind: Vec<CatchUp>,
}

impl Confirming {
    fn is_at_work(&self) -> bool {
        self.read.is_some() || !self.behind.is_empty()
    }

    fn give_up(&mut self) {
        self.read = None;
        self.behind.clear();
    }
}

impl Cluster {
    pub fn run_confirmation(&mut self, at: usize) {
        let now = self.now;
        let confirming = &mut self.nodes[at].confirming;
        if now >= confirming.next_tick && !confirming.is_at_work() {
            confirming.next_tick = now + HEARTBEAT_INTERVAL_MS;
            self.broadcast(at);
            self.begin_confirmation(at);
            return;
        }
        let late_read = confirming.read.is_some() && now > confirming.begun + READ_MS;
        if late_read || confirming.behind.iter().any(|one| now > one.since + CATCH_UP_MS) {
            confirming.give_up();
        }
        for number in 0..confirming.behind.len() {
            self.try_to_catch_up(at, number);
        }
    }

    pub fn broadcast(&mut self, at: usize) {
        let node = &self.nodes[at];
        let live = |ip: &&String| node.view.is_live(ip, self.now);
        let heartbeat = Heartbeat {
            address: node.acceptor.ip.clone(),
            eligible: node.acceptor.may_vote,
            leaving: node.leaving.is_some(),
            core: node.acceptor.membership.clone(),
            peers: node.view.controllers.keys().filter(live).cloned().collect(),
        };
        for to in node.known_peers().iter().filter_map(|ip| self.node_at(ip)).collect::<Vec<_>>() {
            self.send(Address::Node(at), Address::Node(to), Packet::Heartbeat(heartbeat.clone()));
        }
    }

    pub fn receive_heartbeat(&mut self, at: usize, heartbeat: Heartbeat) {
        self.adopt(at, &heartbeat.core);
        let peer = Peer {
            last_seen: self.now,
            eligible: heartbeat.eligible,
            shutting_down: heartbeat.leaving,
            protocol_version: PROTOCOL_VERSION,
            ..Default::default()
        };
        let view = &mut self.nodes[at].view;
        view.observe(&heartbeat.address, peer);
        for ip in heartbeat.peers {
            if ip != view.own_ip {
                view.controllers.entry(ip).or_default();
            }
        }
    }

    fn begin_confirmation(&mut self, at: usize) {
        let core = self.nodes[at].acceptor.membership.clone();
        if core.members.is_empty() {
            return;
        }
        let members = quorum::addresses(&core);
        let id = self.poll(at, &core, &ConsensusOperation::Positions, &members);
        let confirming = &mut self.nodes[at].confirming;
        confirming.begun = self.now;
        confirming.read = Some((id, Confirmation::new(&core)));
    }

    /// A vote on the confirmation. False: it was for something else.
    pub fn response_to_confirmation(&mut self, at: usize, from: &str, id: u64, response: &ConsensusResponse) -> bool {
        if let ConsensusResponse::NewerMembership { membership } = response {
            self.adopt(at, membership);
            let confirming = &mut self.nodes[at].confirming;
            let stale = confirming.read.as_ref().is_some_and(|(read, _)| *read == id);
            if stale || confirming.behind.iter().any(|one| one.id == id) {
                confirming.give_up();
                return true;
            }
            return false;
        }
        if let ConsensusResponse::Fetched { entry } = response {
            self.receive_fetched(at, from, id, entry.clone());
            return true;
        }
        let confirming = &mut self.nodes[at].confirming;
        let Some((read, confirmation)) = confirming.read.as_mut() else { return false };
        if *read != id {
            return false;
        }
        let ConsensusResponse::Positions { positions } = response else { return true };
        confirmation.record(from, positions.clone());
        if confirmation.is_quorum() {
            let (_, confirmation) = confirming.read.take().expect("a read");
            self.catch_up(at, &confirmation);
        }
        true
    }

    fn catch_up(&mut self, at: usize, confirmation: &Confirmation) {
        let (now, behind) = (self.now, confirmation.stale_keys(|key| self.nodes[at].place(key)));
        let wait = |committed: bool| if committed { 0 } else { ON_ITS_WAY_MS };
        let one = |behind: StaleKey| {
            let next_try = now + wait(behind.is_committed);
            CatchUp { behind, since: now, next_try, id: 0, fetched: Vec::new() }
        };
        self.nodes[at].confirming.behind = behind.into_iter().map(one).collect();
        self.finish_confirmation(at);
    }

    /// Looks whether a key is known by now, else reads it at the members once more.
    fn try_to_catch_up(&mut self, at: usize, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let core = node.acceptor.membership.clone();
        let Some(one) = node.confirming.behind.get_mut(number).filter(|one| now >= one.next_try) else { return };
        one.next_try = now + FETCH_MS;
        one.fetched.clear();
        let (key, place, half_done) =
            (one.behind.key.clone(), one.behind.position, now > one.since + INCOMPLETE_AFTER_MS);
        if node.place(&key) >= Some(place) {
            return self.caught_up(at, &key);
        }
        let first = node.view.first_live("", &key, now) == node.acceptor.ip;
        let members = quorum::addresses(&core);
        let id = self.poll(at, &core, &ConsensusOperation::Fetch { key: key.clone() }, &members);
        self.nodes[at].confirming.behind[number].id = id;
        if half_done && first && !self.is_changing(at, &Purpose::Repair) {
            self.nodes[at].owned.remove(&key);
            self.begin_change(at, &key, Purpose::Repair, RENEW_MS, Box::new(|_: &[u8]| Decision::Answer(None)));
        }
    }

    fn receive_fetched(&mut self, at: usize, from: &str, id: u64, entry: Option<Entry>) {
        let takes_newer = self.guards.newer_entries;
        let node = &mut self.nodes[at];
        let Some(one) = node.confirming.behind.iter_mut().find(|one| one.id == id) else { return };
        let Some(entry) = entry else { return };
        let (key, place) = (one.behind.key.clone(), one.behind.position);
        one.fetched.push((from.into(), entry.clone()));
        let newer = consensus::newest_committed(&node.acceptor.membership, &one.fetched);
        let newer = newer.filter(|newer| takes_newer && newer.position() >= place);
        let looked_for = Some(entry).filter(|entry| one.behind.is_committed && entry.position() == place);
        let Some(entry) = looked_for.or(newer) else { return };
        self.learn(at, &key, &entry, false);
        self.caught_up(at, &key);
    }

    fn caught_up(&mut self, at: usize, key: &str) {
        self.nodes[at].confirming.behind.retain(|one| one.behind.key != key);
        self.finish_confirmation(at);
    }

    fn finish_confirmation(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.confirming.is_at_work() {
            return;
        }
        let begun = node.confirming.begun;
        node.confirmed = Some(begun);
        let (config, evacuated) = (node.config(), node.is_evacuated());
        self.history.check_confirmed(at, begun, &config, evacuated);
    }
}
