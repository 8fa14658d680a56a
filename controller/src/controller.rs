//! The state of the controller process, composed of the states of its components. It is passed by reference; the
//! process has no other global state.
//!
//! Lock order, for the few places that hold two locks: ownership of a key, acceptor, committed state, acquired roles,
//! membership view, endpoint lists, weight versions, subscribers, catalog, quota shards. Only the ownership lock may be
//! held across an await.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use consensus::{Decision, MEMBERSHIP_KEY};
use ingress::MemoryBudget;
use kernel::settings::Settings;
use kernel::{clock, log_event};
use protocol::config::ConfigDocument;
use protocol::frame::{self, Kind};
use protocol::link::PeerClient;
use protocol::message::{Entry, Member, Message};
use protocol::Dialer;

use crate::balancing::usage_reports::UsageReports;
use crate::batches::runner::ElapsedTimes;
use crate::config::body::BodyFormat;
use crate::config::execution;
use crate::delivery::subscribers::Subscribers;
use crate::discovery::engine_directory::EngineDirectory;
use crate::event::{ENTRY_LEARNED, ENTRY_UNREADABLE};
use crate::metering::Metering;
use crate::metrics::Metrics;
use crate::peers::directory::Peers;
use crate::peers::network::PeerNetwork;
use crate::prefix_catalog::PrefixCatalog;
use crate::quota_shards::QuotaShards;
use crate::replication::committed_state::{decode_membership, Learned, CONFIG_KEY};
use crate::replication::registers::{ChangeOutcome, CompletedChange, Ownerships};
use crate::replication::replica::Replica;
use crate::replication::shared_state::SharedCommittedState;
use crate::roles::AcquiredRoles;
use crate::rollout::rollout_analyses::RolloutAnalyses;
use crate::shutdown::Shutdown;
use crate::tallies::Tallies;

/// The components of the controller. Each keeps its state behind its own lock.
pub struct Controller {
    /// The contents of the settings file.
    pub settings: Settings,
    /// Identifies this run of the process; it differs between two runs.
    pub incarnation: u64,
    /// Identifies this incarnation in proposal numbers.
    pub replica_id: u64,
    /// The acceptor of this controller and its disk.
    pub replica: Replica,
    /// The newest committed state that is known here.
    pub committed: SharedCommittedState,
    /// The keys that this controller owns as a proposer.
    pub ownerships: Ownerships,
    /// The other controllers.
    pub peers: Peers,
    /// The engines of the fleet.
    pub engines: EngineDirectory,
    /// The routers that renew their leases with this controller.
    pub subscribers: Subscribers,
    /// Engine loads reported by the other controllers.
    pub usage_reports: UsageReports,
    /// The prefix catalog.
    pub catalog: PrefixCatalog,
    /// The singleton roles that this controller has acquired.
    pub acquired_roles: AcquiredRoles,
    /// Time spent on batches that has not been committed yet.
    pub elapsed_times: ElapsedTimes,
    /// Analyses of the versions that are being rolled out.
    pub rollout_analyses: RolloutAnalyses,
    /// The shards of tenant quotas that are held here.
    pub quotas: QuotaShards,
    /// Request counts reported by routers.
    pub metering: Metering,
    /// The replica of the tallies, or the directory of the replicas on other controllers.
    pub tallies: Tallies,
    /// Whether the process is shutting down.
    pub shutting_down: AtomicBool,
    /// Tracks the work that must finish before the process exits.
    pub shutdown: Shutdown,
    /// The memory held for operators and other daemons.
    pub memory: Arc<MemoryBudget>,
    /// The metrics of this process.
    pub metrics: Metrics,
}

/// How long a controller counts as live after its last heartbeat, in milliseconds.
pub const LIVENESS_TIMEOUT_MS: u64 = 1100;
/// The interval between heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 350;
/// How long the committed state stays confirmed, counted from the start of the read that confirmed it, in milliseconds.
pub const CONFIRMATION_TTL_MS: u64 = 1100;
/// How long a router's lease lasts after a renewal, in milliseconds.
pub const ROUTER_LEASE_MS: u64 = 1600;
/// How many engines of a zone are probed to tell whether the zone can be reached.
const PROBED_ENGINES: usize = 2;
/// How many routers of a zone are probed to tell whether the zone can be reached, and how many of the own zone are
/// announced in each heartbeat for that.
const PROBED_ROUTERS: usize = 2;
/// Unchanged bodies above this size are not sent again to controllers that already have them.
const LONG_BODY_BYTES: usize = 1024;

impl Controller {
    /// Returns the address of this controller.
    pub fn own_ip(&self) -> &str {
        &self.settings.ip
    }

    /// Returns whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// Returns the addresses of all other known controllers: seeds, core members, and senders of heartbeats.
    pub fn known_peers(&self) -> Vec<String> {
        let mut list = self.settings.seed_ips();
        list.extend(self.replica.membership().members.into_iter().map(|member| member.ip));
        list.extend(self.peers.known_ips());
        list.sort();
        list.dedup();
        list.retain(|ip| ip != self.own_ip());
        list
    }

    /// Sends a notification, which has no response, to all known controllers.
    pub fn notify_peers(&self, message: &Message) {
        self.notify_each(message, |ip| self.peers.client(ip));
    }

    /// Sends `current` to the known controllers that support protocol `version`, and `legacy` to the others.
    pub fn notify_peers_since(&self, version: u64, current: &Message, legacy: &Message) {
        let encode = |message| frame::encode(Kind::Notification, 0, message).map(Bytes::from);
        let (Ok(current), Ok(legacy)) = (encode(current), encode(legacy)) else { return };
        for ip in self.known_peers() {
            let frame = if self.peers.protocol_version(&ip) >= version { &current } else { &legacy };
            self.peers.client(&ip).notify_frame(frame.clone());
        }
    }

    /// Encodes a notification once and sends it to all known controllers.
    fn notify_each(&self, message: &Message, client: impl Fn(&str) -> Arc<PeerClient>) {
        let Ok(frame) = frame::encode(Kind::Notification, 0, message).map(Bytes::from) else { return };
        for ip in self.known_peers() {
            client(&ip).notify_frame(frame.clone());
        }
    }

    /// Applies a committed entry and pushes updates to subscribers. With `announce`, a new entry is also sent to the
    /// other controllers.
    pub fn learn(&self, key: &str, entry: &Entry, announce: bool) {
        let is_new = self.learn_entry(key, entry, None);
        if is_new && announce {
            let committed = Message::Committed(Box::new((key.into(), entry.clone())));
            self.notify_each(&committed, |ip| self.peers.consensus_client(ip));
        }
    }

    /// Applies a committed configuration that is already parsed.
    pub fn learn_config(&self, entry: &Entry, config: Arc<ConfigDocument>) {
        self.learn_entry(CONFIG_KEY, entry, Some(config));
    }

    /// Applies a committed entry. Returns `false` if this entry or a newer one was already known.
    fn learn_entry(&self, key: &str, entry: &Entry, config: Option<Arc<ConfigDocument>>) -> bool {
        match self.committed.learn(key, entry, config) {
            Learned::AlreadyKnown => return false,
            Learned::Unreadable { error, first } => {
                if first {
                    log_event!(ENTRY_UNREADABLE, "key" => key, "turn" => entry.proposal_number.term, "step" => entry.index,
                        "error" => error.to_string());
                }
                return true;
            }
            Learned::Recommitted => {}
            Learned::New { revision } => {
                log_event!(ENTRY_LEARNED, "key" => key, "revision" => revision, "turn" => entry.proposal_number.term,
                    "step" => entry.index);
            }
        }
        if key == MEMBERSHIP_KEY {
            if let Some(membership) = decode_membership(&entry.body) {
                self.replica.adopt_membership(&membership);
            }
        }
        self.push_updates();
        true
    }

    /// Changes a key and announces the committed entry. `decide` gets the committed body and returns what to do; it may
    /// be called more than once. An answer without a write is based on a body that a quorum was just seen to hold.
    pub async fn change<T>(
        &self,
        key: &str,
        timeout_ms: u64,
        decide: impl FnMut(&[u8]) -> Decision<T>,
    ) -> ChangeOutcome<T> {
        let CompletedChange { answer, ownership, written } = self.change_unannounced(key, timeout_ms, decide).await?;
        if !written && ownership.entry.body.len() > LONG_BODY_BYTES {
            execution::publish_unchanged(self, key, &ownership.entry);
        } else if !ownership.is_blank() {
            self.learn(key, &ownership.entry, true);
        }
        Some(answer)
    }

    /// Returns the newest format of the configuration's body that all core members and all live controllers can read.
    pub fn body_format(&self) -> BodyFormat {
        let now = clock::now();
        let core = self.replica.membership();
        self.peers.read(|view| {
            let version = |ip: &str| view.controllers.get(ip).map_or(0, |peer| peer.protocol_version);
            let members = core.members.iter().map(|member| member.ip.as_str()).filter(|ip| *ip != self.own_ip());
            let live = view.controllers.keys().map(String::as_str).filter(|ip| view.is_live(ip, now));
            BodyFormat::for_readers(members.chain(live).map(version))
        })
    }
}

/// Routers by zone.
impl Controller {
    /// Returns the addresses of a few routers of this controller's zone that hold a lease here.
    pub fn announced_routers(&self) -> Vec<String> {
        let nodes = self.subscribers.nodes_in(&self.settings.zone);
        sample(self.peers.read(|view| view.frontend_addresses_of(&nodes)), PROBED_ROUTERS)
    }

    /// Returns the known addresses of routers in a zone: those with a lease here, and those that its controllers
    /// announced.
    fn router_addresses_in(&self, zone: &str) -> Vec<String> {
        let nodes = self.subscribers.nodes_in(zone);
        self.peers.read(|view| {
            let announced = view.controllers.values().filter(|peer| peer.zone == zone);
            let mut addresses = view.frontend_addresses_of(&nodes);
            addresses.extend(announced.flat_map(|peer| peer.frontend_addresses.iter().cloned()));
            addresses.retain(|address| is_specific(address));
            addresses
        })
    }
}

/// Returns whether an address names a host, rather than all addresses of the machine that uses it.
fn is_specific(address: &str) -> bool {
    address.parse::<SocketAddr>().map_or(true, |address| !address.ip().is_unspecified())
}

/// Returns at most `limit` consecutive elements, starting at a different one over time.
fn sample(mut list: Vec<String>, limit: usize) -> Vec<String> {
    if list.is_empty() {
        return list;
    }
    let start = clock::now() as usize % list.len();
    list.rotate_left(start);
    list.truncate(limit);
    list
}

impl PeerNetwork for Controller {
    fn known_peers(&self) -> Vec<String> {
        self.known_peers()
    }

    fn protocol_version(&self, ip: &str) -> u64 {
        self.peers.protocol_version(ip)
    }

    fn zone_of(&self, ip: &str) -> String {
        self.peers.read(|view| view.zone_of(ip).to_string())
    }

    fn core_members(&self) -> Vec<Member> {
        let mut members = self.replica.membership().members;
        members.retain(|member| member.ip != self.own_ip());
        members
    }

    fn probe_targets_in(&self, zone: &str) -> Vec<String> {
        let engines = self.engines.read(|lists| {
            let list = lists.list(zone).map(|list| list.engines.iter().map(|engine| engine.addr.clone()));
            list.into_iter().flatten().collect()
        });
        let routers = self.router_addresses_in(zone);
        [sample(engines, PROBED_ENGINES), sample(routers, PROBED_ROUTERS)].concat()
    }

    fn dialer(&self) -> Dialer {
        self.peers.dialer()
    }

    fn consensus_client(&self, ip: &str) -> Arc<PeerClient> {
        self.peers.consensus_client(ip)
    }
}
