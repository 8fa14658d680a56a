//! The one state of the process. It is passed by reference; nothing else is global.
//!
//! Lock order: ownerships, voter, committed, taken, roster, sheets, weights, followers, catalog, quotas. No lock but an ownership is held over an
//! await.

pub struct Controller {
    pub env: kernel::env::Env,
    pub life: u64,
    pub seat: u64,
    pub voter: std::sync::Mutex<consensus::voter::Voter>,
    pub disk: crate::disk::Disk,
    pub committed_state: std::sync::Mutex<CommittedState>,
    pub roster: std::sync::Mutex<membership::Roster>,
    pub sheets: std::sync::Mutex<load_balancing::sheet::Sheets>,
    /// Weight versions by zone, kept only while there are rules.
    pub weights: std::sync::Mutex<std::collections::BTreeMap<String, protocol::msg::Versions>>,
    pub followers: std::sync::Mutex<crate::followers::Followers>,
    pub catalog: std::sync::Mutex<Catalog>,
    pub ownerships: std::sync::Mutex<std::collections::HashMap<String, std::sync::Arc<crate::register::OwnershipLock>>>,
    pub calls: std::sync::Mutex<std::collections::HashMap<String, std::sync::Arc<protocol::link::Caller>>>,
    pub taken: std::sync::Mutex<crate::duty::Taken>,
    pub tallies: std::sync::Mutex<crate::runner::Tallies>,
    pub polls: tokio::sync::Semaphore,
    /// Trials of new versions. Taken without another.
    pub trials: std::sync::Mutex<crate::versions::Trials>,
    /// The version of each service that was there before any rollout. Taken last.
    pub first_versions: std::sync::Mutex<crate::version_lists::FirstVersions>,
    /// Shards of tenants' limits. Taken last.
    pub quotas: std::sync::Mutex<crate::quota::HeldShards>,
    pub pauses: std::sync::Mutex<crate::pause::PauseMonitor>,
    /// The process is about to end.
    pub leaving: std::sync::atomic::AtomicBool,
    pub shutdown: crate::shutdown::Shutdown,
    pub metrics: crate::metrics::Metrics,
}

/// What is known to be committed. Invariant: the place of an entry never goes back.
#[derive(Default)]
pub struct CommittedState {
    pub entries: std::collections::BTreeMap<String, protocol::msg::Entry>,
    /// When the read began that last confirmed these at a majority; None before the first.
    pub sure: Option<u64>,
    /// The highest turn seen in any ballot.
    pub turn: u64,
    /// The configuration in the entry of its key, as a value and as routers take it.
    pub history: crate::config_history::ConfigHistory,
    /// The place of a committed entry that could not be read: it is not known here, so nothing newer than what it was
    /// committed on top of counts as confirmed.
    pub unreadable: Option<(protocol::msg::Ballot, u64)>,
    /// The evacuations with their versions.
    pub closed: std::collections::BTreeMap<String, (u64, bool)>,
    /// Limits on stale weights, removed ones too: their versions must not start anew.
    pub rules: std::collections::BTreeMap<String, protocol::msg::Rule>,
    /// The newest rollout of each service.
    pub rollouts: std::collections::BTreeMap<String, protocol::version_rollout::VersionRollout>,
    /// By key: epoch, holder, and whether it has waited.
    pub duties: std::collections::BTreeMap<String, (u64, String, bool)>,
}

/// The catalog as held here. Invariant: it answers only under `epoch`, and only while this controller
/// holds the duty.
pub struct Catalog {
    pub prefix_index: catalog::prefix_index::PrefixIndex,
    pub gauge: catalog::gauge::Gauge,
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
        &self.env.ip
    }

    pub fn peer(&self, ip: &str) -> std::sync::Arc<protocol::link::Caller> {
        let mut calls = self.calls.lock().expect("calls");
        let addr = format!("{ip}:{}", self.env.peer_port());
        calls.entry(ip.into()).or_insert_with(|| std::sync::Arc::new(protocol::link::Caller::start(addr, None))).clone()
    }

    pub fn core(&self) -> protocol::msg::Core {
        self.voter.lock().expect("voter").core.clone()
    }

    /// Controllers that are known: the core, the seeds, whoever was heard.
    pub fn known(&self) -> Vec<String> {
        let mut list = self.env.seed_ips();
        list.extend(self.core().list.into_iter().map(|member| member.ip));
        list.extend(self.roster.lock().expect("roster").controllers.keys().cloned());
        list.sort();
        list.dedup();
        list.retain(|ip| ip != self.me());
        list
    }

    /// The form of the configuration's body for the members of the core and all controllers that live.
    pub fn body_form(&self) -> crate::config_body::BodyForm {
        let now = kernel::clock::now();
        let core = self.core();
        let roster = self.roster.lock().expect("roster");
        let reads = |ip: &str| roster.controllers.get(ip).map_or(0, |peer| peer.reads);
        let members = core.list.iter().map(|member| member.ip.as_str()).filter(|ip| *ip != self.me());
        let live = roster.controllers.keys().map(String::as_str).filter(|ip| roster.live(ip, now));
        crate::config_body::BodyForm::for_readers(members.chain(live).map(reads))
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
        self.pauses.lock().expect("pauses").orders_may_be_stale(kernel::clock::now())
    }

    /// Takes over a committed core.
    pub fn adopt(&self, core: &protocol::msg::Core) {
        let record = self.voter.lock().expect("voter").adopt(core);
        let Some(record) = record else { return };
        kernel::say!(crate::event::CORE, "version" => core.version, "settled" => core.settled,
            "members" => core.list.iter().map(|member| member.ip.as_str()).collect::<Vec<_>>().join(","));
        self.disk.write(vec![record]);
    }
}
