//! The one state of the process, put together from the states of its parts. It is passed by reference; nothing else is
//! global.
//!
//! Lock order, for the few places that hold two: a key's ownership, the acceptor, the committed state, the acquired roles, the
//! membership view, the endpoint lists, the weight versions, the subscribers, the catalog, the quota shards. No lock but an
//! ownership is held over an await.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use consensus::{Decision, MEMBERSHIP_KEY};
use kernel::settings::Settings;
use kernel::{clock, log_event};
use protocol::config::ConfigDocument;
use protocol::frame::{self, Kind};
use protocol::link::PeerClient;
use protocol::message::{Entry, Message};

use crate::balancing::usage_reports::UsageReports;
use crate::batches::runner::ElapsedTimes;
use crate::config::body::BodyFormat;
use crate::config::execution;
use crate::delivery::subscribers::Subscribers;
use crate::discovery::engine_directory::EngineDirectory;
use crate::event::{LEARNED, UNREADABLE};
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

/// The parts of this process. Each keeps its own state behind its own lock.
pub struct Controller {
    /// What the settings file says.
    pub settings: Settings,
    /// Differs between two runs of this daemon.
    pub incarnation: u64,
    /// Identifies this incarnation in proposal numbers.
    pub replica_id: u64,
    /// The acceptor and its disk.
    pub replica: Replica,
    /// What is known to be committed.
    pub committed: SharedCommittedState,
    /// Which keys this controller owns as a proposer.
    pub ownerships: Ownerships,
    /// The other controllers.
    pub peers: Peers,
    /// The engines of the fleet.
    pub engines: EngineDirectory,
    /// The routers that renew their leases here.
    pub subscribers: Subscribers,
    /// Loads of engines, as the other controllers report them.
    pub usage_reports: UsageReports,
    /// The prefix catalog.
    pub catalog: PrefixCatalog,
    /// The singleton roles acquired here.
    pub acquired_roles: AcquiredRoles,
    /// Time spent on batches that is not yet written.
    pub elapsed_times: ElapsedTimes,
    /// Analyses of new versions under rollout.
    pub rollout_analyses: RolloutAnalyses,
    /// Shards of tenants' quotas.
    pub quotas: QuotaShards,
    /// Counts of requests that routers report.
    pub metering: Metering,
    /// Tallies, or the way to them.
    pub tallies: Tallies,
    /// The process is about to end.
    pub shutting_down: AtomicBool,
    /// The work that is finished before the process ends.
    pub shutdown: Shutdown,
    /// What is counted.
    pub metrics: Metrics,
}

/// A controller counts as live for so long after its last heartbeat.
pub const LIVENESS_TIMEOUT_MS: u64 = 1100;
/// The pause between two heartbeats.
pub const HEARTBEAT_INTERVAL_MS: u64 = 350;
/// How long the committed state counts as confirmed after the beginning of the read that confirmed it.
pub const CONFIRMATION_TTL_MS: u64 = 1100;
/// How long a router's lease lasts after each renewal.
pub const ROUTER_LEASE_MS: u64 = 1600;
/// Longer bodies are not sent again to controllers that have them.
const LONG_BODY_BYTES: usize = 1024;

impl Controller {
    /// Returns the address of this controller.
    pub fn own_ip(&self) -> &str {
        &self.settings.ip
    }

    /// Returns whether the process is about to end.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// Returns the other controllers that are known: members of the core, seeds, and whoever sent a heartbeat.
    pub fn known_peers(&self) -> Vec<String> {
        let mut list = self.settings.seed_ips();
        list.extend(self.replica.membership().members.into_iter().map(|member| member.ip));
        list.extend(self.peers.known_ips());
        list.sort();
        list.dedup();
        list.retain(|ip| ip != self.own_ip());
        list
    }

    /// Sends a message without a response to all controllers that are known.
    pub fn notify_peers(&self, message: &Message) {
        self.notify_each(message, |ip| self.peers.client(ip));
    }

    /// Sends `current` to all controllers that read messages of a version, and `legacy` to the others that are known.
    pub fn notify_peers_since(&self, version: u64, current: &Message, legacy: &Message) {
        let encode = |message| frame::encode(Kind::Notification, 0, message).map(Bytes::from);
        let (Ok(current), Ok(legacy)) = (encode(current), encode(legacy)) else { return };
        for ip in self.known_peers() {
            let frame = if self.peers.protocol_version(&ip) >= version { &current } else { &legacy };
            self.peers.client(&ip).notify_frame(frame.clone());
        }
    }

    /// Sends a message, encoded once, to all controllers that are known.
    fn notify_each(&self, message: &Message, client: impl Fn(&str) -> Arc<PeerClient>) {
        let Ok(frame) = frame::encode(Kind::Notification, 0, message).map(Bytes::from) else { return };
        for ip in self.known_peers() {
            client(&ip).notify_frame(frame.clone());
        }
    }

    /// Takes over a committed entry, and sends subscribers what is new to them. With `announce` it also goes to the other
    /// controllers.
    pub fn learn(&self, key: &str, entry: &Entry, announce: bool) {
        let is_new = self.learn_entry(key, entry, None);
        if is_new && announce {
            let committed = Message::Committed(Box::new((key.into(), entry.clone())));
            self.notify_each(&committed, |ip| self.peers.consensus_client(ip));
        }
    }

    /// Takes over a committed configuration that was read already.
    pub fn learn_config(&self, entry: &Entry, config: Arc<ConfigDocument>) {
        self.learn_entry(CONFIG_KEY, entry, Some(config));
    }

    /// Returns false where this entry, or a newer one, was known.
    fn learn_entry(&self, key: &str, entry: &Entry, config: Option<Arc<ConfigDocument>>) -> bool {
        match self.committed.learn(key, entry, config) {
            Learned::AlreadyKnown => return false,
            Learned::Unreadable { error, first } => {
                if first {
                    log_event!(UNREADABLE, "key" => key, "turn" => entry.proposal_number.term, "step" => entry.index,
                        "error" => error.to_string());
                }
                return true;
            }
            Learned::Recommitted => {}
            Learned::New { revision } => {
                log_event!(LEARNED, "key" => key, "revision" => revision, "turn" => entry.proposal_number.term,
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

    /// Changes a key and announces the committed entry. `decide` sees what is committed and says what to do; it may be asked
    /// again, and an answer without a write is only given on what a quorum was just seen to hold.
    pub async fn change<T>(
        &self,
        key: &str,
        wait_ms: u64,
        decide: impl FnMut(&[u8]) -> Decision<T>,
    ) -> ChangeOutcome<T> {
        let CompletedChange { answer, ownership, written } = self.change_unannounced(key, wait_ms, decide).await?;
        if !written && ownership.entry.body.len() > LONG_BODY_BYTES {
            execution::publish_unchanged(self, key, &ownership.entry);
        } else if !ownership.is_blank() {
            self.learn(key, &ownership.entry, true);
        }
        Some(answer)
    }

    /// Returns the form of the configuration's body that the members of the core and all live controllers read.
    pub fn body_format(&self) -> BodyFormat {
        let now = clock::now();
        let core = self.replica.membership();
        self.peers.read(|view| {
            let reads = |ip: &str| view.controllers.get(ip).map_or(0, |peer| peer.protocol_version);
            let members = core.members.iter().map(|member| member.ip.as_str()).filter(|ip| *ip != self.own_ip());
            let live = view.controllers.keys().map(String::as_str).filter(|ip| view.is_live(ip, now));
            BodyFormat::for_readers(members.chain(live).map(reads))
        })
    }
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

    fn consensus_client(&self, ip: &str) -> Arc<PeerClient> {
        self.peers.consensus_client(ip)
    }
}
