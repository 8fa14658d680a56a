//! The one state of the process, put together from the states of its parts. It is passed by reference; nothing else is
//! global.
//!
//! Lock order, for the few places that hold two: a key's ownership, the acceptor, the committed state, the acquired roles, the
//! membership view, the endpoint lists, the weight versions, the subscribers, the catalog, the quota shards. No lock but an
//! ownership is held over an await.

use std::sync::atomic::AtomicBool;

use kernel::clock;
use kernel::settings::Settings;
use protocol::message::Message;

use crate::batches::runner::Tallies;
use crate::config::body::BodyForm;
use crate::delivery::subscribers::Subscribers;
use crate::discovery::engine_directory::EngineDirectory;
use crate::metrics::Metrics;
use crate::peers::directory::Peers;
use crate::prefix_catalog::PrefixCatalog;
use crate::quota_shards::QuotaShards;
use crate::replication::registers::Ownerships;
use crate::replication::replica::Replica;
use crate::replication::shared_state::SharedCommittedState;
use crate::roles::AcquiredRoles;
use crate::rollout::version_rollouts::Trials;
use crate::shutdown::Shutdown;

/// The parts of this process. Each keeps its own state behind its own lock.
pub struct Controller {
    pub settings: Settings,
    pub life: u64,
    pub seat: u64,
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
    /// The prefix catalog.
    pub catalog: PrefixCatalog,
    /// The singleton roles acquired here.
    pub acquired_roles: AcquiredRoles,
    /// Time spent on batches that is not yet written.
    pub tallies: Tallies,
    /// Trials of new versions.
    pub trials: Trials,
    /// Shards of tenants' quotas.
    pub quotas: QuotaShards,
    /// The process is about to end.
    pub leaving: AtomicBool,
    pub shutdown: Shutdown,
    pub metrics: Metrics,
}

/// A controller counts as live while heard within this.
pub const LIVE_MS: u64 = 1100;
pub const BEAT_MS: u64 = 350;
/// A confirmation older than this no longer makes the news sure.
pub const SURE_MS: u64 = 1100;
/// How long a router's lease lasts after each renewal.
pub const ROUTER_LEASE_MS: u64 = 1600;

impl Controller {
    /// Returns the address of this controller.
    pub fn me(&self) -> &str {
        &self.settings.ip
    }

    /// Controllers that are known: the core, the seeds, whoever was heard.
    pub fn known(&self) -> Vec<String> {
        let mut list = self.settings.seed_ips();
        list.extend(self.replica.membership().members.into_iter().map(|member| member.ip));
        list.extend(self.peers.known_ips());
        list.sort();
        list.dedup();
        list.retain(|ip| ip != self.me());
        list
    }

    /// Sends a message without a response to all controllers that are known.
    pub fn notify_peers(&self, message: &Message) {
        for ip in self.known() {
            self.peers.client(&ip).notify(message.clone());
        }
    }

    /// The form of the configuration's body for the members of the core and all controllers that live.
    pub fn body_form(&self) -> BodyForm {
        let now = clock::now();
        let core = self.replica.membership();
        self.peers.read(|view| {
            let reads = |ip: &str| view.controllers.get(ip).map_or(0, |peer| peer.protocol_version);
            let members = core.members.iter().map(|member| member.ip.as_str()).filter(|ip| *ip != self.me());
            let live = view.controllers.keys().map(String::as_str).filter(|ip| view.is_live(ip, now));
            BodyForm::for_readers(members.chain(live).map(reads))
        })
    }
}
