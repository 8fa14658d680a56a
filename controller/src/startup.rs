//! Startup and shutdown of the process: reads the acceptor from disk, starts the components in order, and on SIGTERM
//! finishes the work in progress.

use std::path::Path;
use std::process;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use consensus::{Acceptor, Store, StoreError};
use ingress::{ConnectionLimits, MemoryBudget};
use kernel::plugin::{self, Plugin};
use kernel::settings::Settings;
use kernel::signal::{self, Signals};
use kernel::{log_event, new_incarnation};
use membership::MembershipView;
use protocol::link::{self, Handler, ServerLimits};
use protocol::message::{CoreMembership, Member};
use protocol::socket;
use protocol::Dialer;
use tokio::time;

use crate::api::routes;
use crate::batches::runner;
use crate::controller::{Controller, LIVENESS_TIMEOUT_MS};
use crate::discovery::poller;
use crate::event::{CONTROLLER_STARTED, DISK_UNUSABLE, SHUTDOWN_FINISHED, SHUTDOWN_STARTED};
use crate::metering::{exporter, relay, Metering};
use crate::metrics::Metrics;
use crate::peers::directory::Peers;
use crate::peers::{dispatch, gossip, pause};
use crate::quota_shards::QuotaShards;
use crate::replication::disk::{self, Disk};
use crate::replication::reconfiguration;
use crate::replication::replica::Replica;
use crate::rollout::version_rollouts;
use crate::tallies::{exchange, zone_probes, ReplicaDirectory, Tallies, TallyReplica};
use crate::{balancing, roles, shutdown};

/// The components of the controller. Each is registered here and started in the given order.
#[kernel::plugin::linkme::distributed_slice]
#[linkme(crate = kernel::plugin::linkme)]
pub static CONTROLLER_COMPONENTS: [Plugin<Arc<Controller>>];

macro_rules! component {
    ($label:ident, $name:literal, $order:literal, $start:path) => {
        #[kernel::plugin::linkme::distributed_slice(CONTROLLER_COMPONENTS)]
        #[linkme(crate = kernel::plugin::linkme)]
        static $label: Plugin<Arc<Controller>> = Plugin { name: $name, order: $order, start: $start };
    };
}

component!(GOSSIP, "gossip", 2, gossip::start);
component!(PAUSE_MONITOR, "pauses", 1, pause::start);
component!(RECONFIGURATION, "membership", 3, reconfiguration::start);
component!(DISCOVERY, "platform", 4, poller::start);
component!(ROLES, "duty", 5, roles::start);
component!(BATCHES, "batches", 8, runner::start);
component!(BALANCING, "balance", 7, balancing::start);
component!(VERSION_ROLLOUTS, "versions", 9, version_rollouts::start);
component!(OPERATOR_API, "control", 6, routes::start);
component!(METERING_COPIES, "metering copies", 12, relay::start);
component!(METERING, "metering", 11, exporter::start);
component!(TALLIES, "tallies", 10, start_tally_exchange);
component!(PEERS, "peers", 1, start_peer_listener);

/// The delay before a failed listen on the peer socket is retried.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long messages that are queued for peers get to be sent before the process exits.
const NOTIFICATION_FLUSH_DELAY: Duration = Duration::from_millis(300);
/// The exit code if the data directory is unusable.
const EXIT_DISK_UNUSABLE: u8 = 4;

/// Starts the exchange of tallies, if this controller has a replica of them.
fn start_tally_exchange(controller: &Arc<Controller>) {
    if let Tallies::Replica(replica) = &controller.tallies {
        exchange::start(replica.clone(), controller.clone());
        zone_probes::start(replica.clone(), controller.clone());
    }
}

/// Starts the task that listens for peers and routers. It runs until the process ends.
fn start_peer_listener(controller: &Arc<Controller>) {
    let address = format!("{}:{}", controller.settings.listen_ip(), controller.settings.peer_port());
    let limits = ServerLimits {
        max_connections: ConnectionLimits::new(&controller.settings.limits).peers,
        memory: controller.memory.clone(),
    };
    let controller = controller.clone();
    let handler: Handler =
        Arc::new(move |responder, id, message| dispatch::dispatch(&controller, responder, id, message));
    tokio::spawn(async move {
        loop {
            match socket::listen(&address) {
                Ok(listener) => link::serve(listener, limits.clone(), handler.clone()).await,
                Err(_) => time::sleep(LISTEN_RETRY_DELAY).await,
            }
        }
    });
}

/// Returns the initial core membership: the seeds, which are the same in all settings files at the first start.
fn initial_membership(settings: &Settings) -> CoreMembership {
    let mut ips = settings.seed_ips();
    ips.sort();
    ips.dedup();
    let members = ips.into_iter().map(|ip| Member { ip, zone: String::new() }).collect();
    CoreMembership { version: 1, members, previous_members: Vec::new(), stable: true }
}

/// The acceptor as it was read from disk.
struct OpenedAcceptor {
    acceptor: Acceptor,
    /// `None` if everything is kept in memory only.
    store: Option<Store>,
    is_disk_empty: bool,
}

fn open_acceptor(settings: &Settings) -> Result<OpenedAcceptor, StoreError> {
    let blank = || Acceptor::new(&settings.ip);
    let Some(dir) = &settings.data_dir else {
        return Ok(OpenedAcceptor { acceptor: blank(), store: None, is_disk_empty: true });
    };
    let opened = disk::open(Path::new(dir), blank)?;
    Ok(OpenedAcceptor { acceptor: opened.state, store: Some(opened.store), is_disk_empty: opened.is_empty })
}

/// Starts the acceptor on its disk. With `bootstrap` set and an empty disk, it starts with the initial core membership.
fn start_replica(settings: &Settings, opened: OpenedAcceptor, metrics: &Metrics) -> Replica {
    let OpenedAcceptor { mut acceptor, store, is_disk_empty } = opened;
    let mut first_records = Vec::new();
    if is_disk_empty && settings.bootstrap {
        acceptor.membership = initial_membership(settings);
        acceptor.may_vote = true;
        first_records = acceptor.snapshot();
    }
    log_event!(CONTROLLER_STARTED, "node" => settings.node_name.clone(), "ip" => settings.ip.clone(), "empty" => is_disk_empty,
        "bootstrap" => settings.bootstrap, "may_vote" => acceptor.may_vote, "core" => acceptor.membership.version);
    let disk = Disk::start(store, acceptor.clone(), metrics.disk_write.clone());
    disk.write(first_records);
    Replica::new(acceptor, disk)
}

/// Opens the replica of the tallies if there is a data directory.
fn open_tallies(settings: &Settings, incarnation: u64, metrics: &Metrics) -> Result<Tallies, StoreError> {
    let Some(dir) = &settings.data_dir else { return Ok(Tallies::Redirect(ReplicaDirectory::default())) };
    let replica_id = consensus::replica_id(&settings.ip, incarnation);
    TallyReplica::open(settings, dir, replica_id, metrics.disk_write.clone()).map(Tallies::Replica)
}

/// Builds the controller from its components.
fn assemble(settings: Settings, opened: OpenedAcceptor, incarnation: u64) -> Result<Arc<Controller>, StoreError> {
    let metrics = Metrics::default();
    let tallies = open_tallies(&settings, incarnation, &metrics)?;
    let view = MembershipView::new(&settings.ip, &settings.zone, LIVENESS_TIMEOUT_MS);
    Ok(Arc::new(Controller {
        incarnation,
        replica_id: consensus::replica_id(&settings.ip, incarnation),
        replica: start_replica(&settings, opened, &metrics),
        committed: Default::default(),
        ownerships: Default::default(),
        peers: Peers::new(Dialer::new(settings.source_ip()), settings.peer_port(), view),
        engines: Default::default(),
        subscribers: Default::default(),
        usage_reports: Default::default(),
        catalog: Default::default(),
        acquired_roles: Default::default(),
        elapsed_times: Default::default(),
        rollout_analyses: Default::default(),
        quotas: QuotaShards::new(&settings.ip),
        metering: Metering::new(&settings),
        tallies,
        shutting_down: Default::default(),
        shutdown: Default::default(),
        memory: MemoryBudget::new(settings.limits.memory_mb),
        metrics,
        settings,
    }))
}

/// Runs a controller until it receives SIGTERM and has finished its accepted work, and returns the exit code.
pub async fn run(settings: Settings, mut signals: Signals) -> process::ExitCode {
    let incarnation = new_incarnation();
    let assembled = open_acceptor(&settings).and_then(|opened| assemble(settings, opened, incarnation));
    let controller = match assembled {
        Ok(controller) => controller,
        Err(error) => {
            log_event!(DISK_UNUSABLE, "cause" => error.to_string());
            eprintln!("controller: {error}");
            return process::ExitCode::from(EXIT_DISK_UNUSABLE);
        }
    };
    let observed = controller.clone();
    telemetry::start(controller.settings.listen_ip(), controller.settings.metrics.as_ref(), move || {
        observed.metrics.render(&observed)
    });
    plugin::start(&CONTROLLER_COMPONENTS, &controller);
    signal::wait_for_termination(&mut signals).await;
    terminate(&controller).await;
    process::ExitCode::SUCCESS
}

/// Leaves the core if possible, then finishes the work in progress. Heartbeats tell the peers meanwhile that this
/// controller is shutting down.
async fn terminate(controller: &Arc<Controller>) {
    log_event!(SHUTDOWN_STARTED);
    let deadline = shutdown::shutdown_deadline(controller.settings.bounds.grace_s);
    controller.shutting_down.store(true, Ordering::Relaxed);
    gossip::broadcast(controller);
    tokio::join!(relay::hand_over(controller), reconfiguration::leave(controller));
    let (finished, ()) = tokio::join!(controller.shutdown.run(deadline), time::sleep(NOTIFICATION_FLUSH_DELAY));
    log_event!(SHUTDOWN_FINISHED, "finished" => finished, "orders" => controller.metrics.requests_in_flight.get());
}
