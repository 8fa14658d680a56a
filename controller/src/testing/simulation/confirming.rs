//! Heartbeats of a simulated controller, and confirmation at a quorum that its committed state is current.

use consensus::{quorum, Confirmation, Decision, StaleKey};
use membership::Peer;
use protocol::message::{ConsensusOperation, ConsensusResponse, Entry, PROTOCOL_VERSION};

use super::changes::Purpose;
use super::network::{Address, Heartbeat, Packet};
use super::Cluster;
use crate::controller::HEARTBEAT_INTERVAL_MS;

const READ_TIMEOUT_MS: u64 = 600;
const FETCH_INTERVAL_MS: u64 = 60;
const RECOMMIT_TIMEOUT_MS: u64 = 600;
const CATCH_UP_TIMEOUT_MS: u64 = 600;
const IN_TRANSIT_DELAY_MS: u64 = 60;
const ABANDONED_AFTER_MS: u64 = 100;

/// A stale key, and the entries of it that were fetched from the members.
struct CatchUp {
    stale: StaleKey,
    since: u64,
    next_try: u64,
    id: u64,
    fetched: Vec<(String, Entry)>,
}

/// The state of the current confirmation. Invariant: [`super::node::Node::confirmed`] is set to `started` only once no
/// key is stale.
#[derive(Default)]
pub struct ConfirmationState {
    next_tick: u64,
    started: u64,
    read: Option<(u64, Confirmation)>,
    pending: Vec<CatchUp>,
}

impl ConfirmationState {
    fn is_in_progress(&self) -> bool {
        self.read.is_some() || !self.pending.is_empty()
    }

    fn abort(&mut self) {
        self.read = None;
        self.pending.clear();
    }
}

impl Cluster {
    pub fn run_confirmation(&mut self, index: usize) {
        let now = self.now;
        let confirming = &mut self.nodes[index].confirming;
        if now >= confirming.next_tick && !confirming.is_in_progress() {
            confirming.next_tick = now + HEARTBEAT_INTERVAL_MS;
            self.broadcast(index);
            self.begin_confirmation(index);
            return;
        }
        let read_timed_out = confirming.read.is_some() && now > confirming.started + READ_TIMEOUT_MS;
        if read_timed_out || confirming.pending.iter().any(|catch_up| now > catch_up.since + CATCH_UP_TIMEOUT_MS) {
            confirming.abort();
        }
        for number in 0..confirming.pending.len() {
            self.try_to_catch_up(index, number);
        }
    }

    pub fn broadcast(&mut self, index: usize) {
        let node = &self.nodes[index];
        let live = |ip: &&String| node.view.is_live(ip, self.now);
        let heartbeat = Heartbeat {
            address: node.acceptor.ip.clone(),
            eligible: node.acceptor.may_vote,
            leaving: node.leaving.is_some(),
            core: node.acceptor.membership.clone(),
            peers: node.view.controllers.keys().filter(live).cloned().collect(),
        };
        for to in node.known_peers().iter().filter_map(|ip| self.node_at(ip)).collect::<Vec<_>>() {
            self.send(Address::Node(index), Address::Node(to), Packet::Heartbeat(heartbeat.clone()));
        }
    }

    pub fn receive_heartbeat(&mut self, index: usize, heartbeat: Heartbeat) {
        self.adopt(index, &heartbeat.core);
        let peer = Peer {
            last_seen: self.now,
            eligible: heartbeat.eligible,
            shutting_down: heartbeat.leaving,
            protocol_version: PROTOCOL_VERSION,
            ..Default::default()
        };
        let view = &mut self.nodes[index].view;
        view.observe(&heartbeat.address, peer);
        for ip in heartbeat.peers {
            if ip != view.own_ip {
                view.controllers.entry(ip).or_default();
            }
        }
    }

    fn begin_confirmation(&mut self, index: usize) {
        let core = self.nodes[index].acceptor.membership.clone();
        if core.members.is_empty() {
            return;
        }
        let members = quorum::addresses(&core);
        let id = self.send_requests(index, &core, &ConsensusOperation::Positions, &members);
        let confirming = &mut self.nodes[index].confirming;
        confirming.started = self.now;
        confirming.read = Some((id, Confirmation::new(&core)));
    }

    /// Handles a response to the confirmation. Returns `false` if the response belongs to another operation.
    pub fn handle_confirmation_response(
        &mut self,
        index: usize,
        from: &str,
        id: u64,
        response: &ConsensusResponse,
    ) -> bool {
        if let ConsensusResponse::NewerMembership { membership } = response {
            self.adopt(index, membership);
            let confirming = &mut self.nodes[index].confirming;
            let stale = confirming.read.as_ref().is_some_and(|(read, _)| *read == id);
            if stale || confirming.pending.iter().any(|catch_up| catch_up.id == id) {
                confirming.abort();
                return true;
            }
            return false;
        }
        if let ConsensusResponse::Fetched { entry } = response {
            self.receive_fetched(index, from, id, entry.clone());
            return true;
        }
        let confirming = &mut self.nodes[index].confirming;
        let Some((read, confirmation)) = confirming.read.as_mut() else { return false };
        if *read != id {
            return false;
        }
        let ConsensusResponse::Positions { positions } = response else { return true };
        confirmation.record(from, positions.clone());
        if confirmation.is_quorum() {
            let (_, confirmation) = confirming.read.take().expect("a read");
            self.catch_up(index, &confirmation);
        }
        true
    }

    fn catch_up(&mut self, index: usize, confirmation: &Confirmation) {
        let (now, stale_keys) = (self.now, confirmation.stale_keys(|key| self.nodes[index].position(key)));
        let delay = |committed: bool| if committed { 0 } else { IN_TRANSIT_DELAY_MS };
        let catch_up = |stale: StaleKey| {
            let next_try = now + delay(stale.is_committed);
            CatchUp { stale, since: now, next_try, id: 0, fetched: Vec::new() }
        };
        self.nodes[index].confirming.pending = stale_keys.into_iter().map(catch_up).collect();
        self.finish_confirmation(index);
    }

    /// Checks whether a stale key is known by now; otherwise fetches it from the members again.
    fn try_to_catch_up(&mut self, index: usize, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let core = node.acceptor.membership.clone();
        let Some(catch_up) = node.confirming.pending.get_mut(number).filter(|due| now >= due.next_try) else { return };
        catch_up.next_try = now + FETCH_INTERVAL_MS;
        catch_up.fetched.clear();
        let (key, position, is_abandoned) =
            (catch_up.stale.key.clone(), catch_up.stale.position, now > catch_up.since + ABANDONED_AFTER_MS);
        if node.position(&key) >= Some(position) {
            return self.caught_up(index, &key);
        }
        let first = node.view.first_live("", &key, now) == node.acceptor.ip;
        let members = quorum::addresses(&core);
        let id = self.send_requests(index, &core, &ConsensusOperation::Fetch { key: key.clone() }, &members);
        self.nodes[index].confirming.pending[number].id = id;
        if is_abandoned && first && !self.has_change(index, &Purpose::RecommitAbandoned) {
            self.nodes[index].owned.remove(&key);
            self.begin_change(
                index,
                &key,
                Purpose::RecommitAbandoned,
                RECOMMIT_TIMEOUT_MS,
                Box::new(|_: &[u8]| Decision::Answer(None)),
            );
        }
    }

    fn receive_fetched(&mut self, index: usize, from: &str, id: u64, entry: Option<Entry>) {
        let accepts_newer = self.guards.newer_entries;
        let node = &mut self.nodes[index];
        let Some(catch_up) = node.confirming.pending.iter_mut().find(|catch_up| catch_up.id == id) else { return };
        let Some(entry) = entry else { return };
        let (key, position) = (catch_up.stale.key.clone(), catch_up.stale.position);
        catch_up.fetched.push((from.into(), entry.clone()));
        let newer = consensus::newest_committed(&node.acceptor.membership, &catch_up.fetched);
        let newer = newer.filter(|newer| accepts_newer && newer.position() >= position);
        let requested = Some(entry).filter(|entry| catch_up.stale.is_committed && entry.position() == position);
        let Some(entry) = requested.or(newer) else { return };
        self.learn(index, &key, &entry, false);
        self.caught_up(index, &key);
    }

    fn caught_up(&mut self, index: usize, key: &str) {
        self.nodes[index].confirming.pending.retain(|catch_up| catch_up.stale.key != key);
        self.finish_confirmation(index);
    }

    fn finish_confirmation(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.confirming.is_in_progress() {
            return;
        }
        let started = node.confirming.started;
        node.confirmed = Some(started);
        let (config, evacuated) = (node.config(), node.is_evacuated());
        self.history.check_confirmed(index, started, &config, evacuated);
    }
}
