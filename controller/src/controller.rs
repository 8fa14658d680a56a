//! The one state of the process. It is passed by reference; nothing else is global.
//!
//! Lock order: ownerships, voter, committed, taken, roster, sheets, weights, followers, catalog, quotas. No lock but an ownership is held over an
//! await.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

use catalog::{LoadTable, PrefixIndex};
use consensus::acceptor::Acceptor;
use kernel::clock;
use kernel::settings::Settings;
use load_balancing::EndpointLists;
use membership::MembershipView;
use protocol::link::PeerClient;
use protocol::message::{CoreMembership, Entry, ProposalNumber, StalenessLimit, WeightVersions};
use protocol::version_rollout::VersionRollout;
use tokio::sync::Semaphore;

use crate::config_body::BodyForm;
use crate::config_history::ConfigHistory;
use crate::disk::Disk;
use crate::duty::Taken;
use crate::event::CORE;
use crate::followers::Followers;
use crate::metrics::Metrics;
use crate::pause::PauseMonitor;
use crate::quota::HeldShards;
use crate::register::OwnershipLock;
use crate::runner::Tallies;
use crate::shutdown::Shutdown;
use crate::version_lists::FirstVersions;
use crate::versions::Trials;

pub struct Controller {
    pub settings: Settings,
    pub life: u64,
    pub seat: u64,
    pub voter: Mutex<Acceptor>,
    pub disk: Disk,
    pub committed_state: Mutex<CommittedState>,
    pub roster: Mutex<MembershipView>,
    pub sheets: Mutex<EndpointLists>,
    /// Weight versions by zone, kept only while there are rules.
    pub weights: Mutex<BTreeMap<String, WeightVersions>>,
    pub followers: Mutex<Followers>,
    pub catalog: Mutex<Catalog>,
    pub ownerships: Mutex<HashMap<String, Arc<OwnershipLock>>>,
    pub calls: Mutex<HashMap<String, Arc<PeerClient>>>,
    pub taken: Mutex<Taken>,
    pub tallies: Mutex<Tallies>,
    pub polls: Semaphore,
    /// Trials of new versions. Taken without another.
    pub trials: Mutex<Trials>,
    /// The version of each service that was there before any rollout. Taken last.
    pub first_versions: Mutex<FirstVersions>,
    /// Shards of tenants' limits. Taken last.
    pub quotas: Mutex<HeldShards>,
    pub pauses: Mutex<PauseMonitor>,
    /// The process is about to end.
    pub leaving: AtomicBool,
    pub shutdown: Shutdown,
    pub metrics: Metrics,
}

/// What is known to be committed. Invariant: the place of an entry never goes back.
#[derive(Default)]
pub struct CommittedState {
    pub entries: BTreeMap<String, Entry>,
    /// When the read began that last confirmed these at a majority; None before the first.
    pub sure: Option<u64>,
    /// The highest turn seen in any ballot.
    pub turn: u64,
    /// The configuration in the entry of its key, as a value and as routers take it.
    pub history: ConfigHistory,
    /// The place of a committed entry that could not be read: it is not known here, so nothing newer than what it was
    /// committed on top of counts as confirmed.
    pub unreadable: Option<(ProposalNumber, u64)>,
    /// The evacuations with their versions.
    pub closed: BTreeMap<String, (u64, bool)>,
    /// Limits on stale weights, removed ones too: their versions must not start anew.
    pub rules: BTreeMap<String, StalenessLimit>,
    /// The newest rollout of each service.
    pub rollouts: BTreeMap<String, VersionRollout>,
    /// By key: epoch, holder, and whether it has waited.
    pub duties: BTreeMap<String, (u64, String, bool)>,
}

/// The catalog as held here. Invariant: it answers only under `epoch`, and only while this controller
/// holds the duty.
pub struct Catalog {
    pub prefix_index: PrefixIndex,
    pub load_table: LoadTable,
    pub epoch: u64,
    /// The last epoch under which it answered.
    pub last: u64,
    pub drops: u32,
}

/// A controller counts as live while heard within this.
pub const LIVE_MS: u64 = 1100;
pub const BEAT_MS: u64 = 350;
/// A confirmation older than this no longer makes the news sure.
pub const SURE_MS: u64 = 1100;
/// How long a router's lease lasts after each renewal.
pub const ROUTER_LEASE_MS: u64 = 1600;

impl Controller {
    pub fn me(&self) -> &str {
        &self.settings.ip
    }

    pub fn peer(&self, ip: &str) -> Arc<PeerClient> {
        let mut calls = self.calls.lock().expect("calls");
        let addr = format!("{ip}:{}", self.settings.peer_port());
        calls.entry(ip.into()).or_insert_with(|| Arc::new(PeerClient::start(addr, None))).clone()
    }

    pub fn core(&self) -> CoreMembership {
        self.voter.lock().expect("voter").membership.clone()
    }

    /// Controllers that are known: the core, the seeds, whoever was heard.
    pub fn known(&self) -> Vec<String> {
        let mut list = self.settings.seed_ips();
        list.extend(self.core().members.into_iter().map(|member| member.ip));
        list.extend(self.roster.lock().expect("roster").controllers.keys().cloned());
        list.sort();
        list.dedup();
        list.retain(|ip| ip != self.me());
        list
    }

    /// The form of the configuration's body for the members of the core and all controllers that live.
    pub fn body_form(&self) -> BodyForm {
        let now = clock::now();
        let core = self.core();
        let roster = self.roster.lock().expect("roster");
        let reads = |ip: &str| roster.controllers.get(ip).map_or(0, |peer| peer.protocol_version);
        let members = core.members.iter().map(|member| member.ip.as_str()).filter(|ip| *ip != self.me());
        let live = roster.controllers.keys().map(String::as_str).filter(|ip| roster.is_live(ip, now));
        BodyForm::for_readers(members.chain(live).map(reads))
    }

    /// The version of the configuration known to be committed; 0: none yet.
    pub fn revision(&self) -> u64 {
        self.committed_state.lock().expect("committed_state").history.revision()
    }

    /// Has the configuration known to be committed any tenants?
    pub fn has_tenants(&self) -> bool {
        self.committed_state.lock().expect("committed_state").history.has_tenants()
    }

    pub fn sure(&self, now: u64) -> bool {
        self.committed_state.lock().expect("committed_state").sure.is_some_and(|time| now < time + SURE_MS)
    }

    /// May an order that was just read be one from before a pause of this process?
    pub fn orders_may_be_stale(&self) -> bool {
        self.pauses.lock().expect("pauses").orders_may_be_stale(clock::now())
    }

    /// Takes over a committed core.
    pub fn adopt(&self, core: &CoreMembership) {
        let record = self.voter.lock().expect("voter").adopt_membership(core);
        let Some(record) = record else { return };
        kernel::log_event!(CORE, "version" => core.version, "settled" => core.stable,
            "members" => core.members.iter().map(|member| member.ip.as_str()).collect::<Vec<_>>().join(","));
        self.disk.write(vec![record]);
    }
}
