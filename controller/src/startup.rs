//! Start and end of the process.

use kernel::new_incarnation;
use std::path::Path;
use std::process;
use std::sync::Arc;
use std::time::Duration;

use consensus::Acceptor;
use kernel::plugin::{self, Plugin};
use kernel::settings::Settings;
use kernel::signal::{self, Signals};
use membership::MembershipView;
use protocol::link::{self, Handler};
use protocol::message::{CoreMembership, Member};
use protocol::socket;
use tokio::time;

use crate::api::routes;
use crate::batches::runner;
use crate::controller::{Controller, LIVE_MS};
use crate::discovery::poller;
use crate::event::{BAD_DISK, GONE, LEAVE, START};
use crate::metrics::Metrics;
use crate::peers::directory::Peers;
use crate::peers::{dispatch, gossip, pause};
use crate::quota_shards::QuotaShards;
use crate::replication::disk::{self, Disk};
use crate::replication::reconfiguration;
use crate::replication::replica::Replica;
use crate::{balancing, roles, shutdown};

/// The parts of the controller that announce themselves.
#[kernel::plugin::linkme::distributed_slice]
#[linkme(crate = kernel::plugin::linkme)]
pub static CONTROLLER_PARTS: [Plugin<Arc<Controller>>];

macro_rules! part {
    ($label:ident, $name:literal, $order:literal, $start:path) => {
        #[kernel::plugin::linkme::distributed_slice(CONTROLLER_PARTS)]
        #[linkme(crate = kernel::plugin::linkme)]
        static $label: kernel::plugin::Plugin<std::sync::Arc<crate::controller::Controller>> =
            kernel::plugin::Plugin { name: $name, order: $order, start: $start };
    };
}

part!(GOSSIP, "gossip", 2, gossip::start);
part!(PAUSES, "pauses", 1, pause::start);
part!(MEMBERSHIP, "membership", 3, reconfiguration::start);
part!(PLATFORM, "platform", 4, poller::start);
part!(DUTY, "duty", 5, roles::start);
part!(BATCHES, "batches", 8, runner::start);
part!(BALANCE, "balance", 7, balancing::start);
part!(VERSIONS, "versions", 9, crate::rollout::version_rollouts::start);
part!(CONTROL, "control", 6, routes::start);
part!(FELLOWS, "peers", 1, peers);

fn peers(controller: &Arc<Controller>) {
    let addr = format!("{}:{}", controller.settings.ip, controller.settings.peer_port());
    let controller = controller.clone();
    let handler: Handler = Arc::new(move |mouth, id, msg| dispatch::take(&controller, mouth, id, msg));
    tokio::spawn(async move {
        loop {
            match socket::listen(&addr) {
                Ok(listener) => link::serve(listener, handler.clone()).await,
                Err(_) => time::sleep(Duration::from_millis(200)).await,
            }
        }
    });
}

/// The first core is the seeds: at the first start all daemons are told the same.
fn found(settings: &Settings) -> CoreMembership {
    let mut ips = settings.seed_ips();
    ips.sort();
    ips.dedup();
    let list = ips.into_iter().map(|ip| Member { ip, zone: String::new() }).collect();
    CoreMembership { version: 1, members: list, previous_members: Vec::new(), stable: true }
}

/// Messages to peers that were handed over get so long to leave.
const FAREWELL: Duration = Duration::from_millis(300);

/// Runs a controller until it is told to end and has finished what it took.
pub async fn run(settings: Settings, mut signals: Signals) -> process::ExitCode {
    let life = new_incarnation();
    let mut voter = Acceptor::new(&settings.ip);
    let mut store = None;
    let mut empty = true;
    if let Some(dir) = &settings.data_dir {
        match disk::open(Path::new(dir), &mut voter) {
            Ok((open, found_empty)) => (store, empty) = (Some(open), found_empty),
            Err(error) => {
                kernel::log_event!(BAD_DISK, "cause" => error.to_string());
                eprintln!("controller: {error}");
                return process::ExitCode::from(4);
            }
        }
    }
    let mut first = Vec::new();
    if empty && settings.bootstrap {
        voter.membership = found(&settings);
        voter.may_vote = true;
        first = voter.snapshot();
    }
    kernel::log_event!(START, "node" => settings.node_name.clone(), "ip" => settings.ip.clone(), "empty" => empty,
        "bootstrap" => settings.bootstrap, "may_vote" => voter.may_vote, "core" => voter.membership.version);
    let mirror = voter.clone();
    let metrics = Metrics::default();
    let disk = Disk::start(store, mirror, metrics.disk_write.clone());
    disk.write(first);
    let controller = Arc::new(Controller {
        life,
        seat: consensus::replica_id(&settings.ip, life),
        replica: Replica::new(voter, disk),
        committed: Default::default(),
        ownerships: Default::default(),
        peers: Peers::new(settings.peer_port(), MembershipView::new(&settings.ip, &settings.zone, LIVE_MS)),
        engines: Default::default(),
        subscribers: Default::default(),
        catalog: Default::default(),
        acquired_roles: Default::default(),
        tallies: Default::default(),
        trials: Default::default(),
        quotas: QuotaShards::new(&settings.ip),
        leaving: Default::default(),
        shutdown: Default::default(),
        metrics,
        settings,
    });
    let observed = controller.clone();
    telemetry::start(&controller.settings.ip, controller.settings.metrics.as_ref(), move || {
        observed.metrics.render(&observed)
    });
    plugin::start(&CONTROLLER_PARTS, &controller);
    signal::wait_for_termination(&mut signals).await;
    kernel::log_event!(LEAVE);
    let end = shutdown::last_moment(controller.settings.bounds.grace_s);
    reconfiguration::leave(&controller).await;
    // What was answered is on disk; what is under way is finished. Meanwhile peers hear that this controller ends.
    let (finished, ()) = tokio::join!(controller.shutdown.run(end), time::sleep(FAREWELL));
    kernel::log_event!(GONE, "finished" => finished, "orders" => controller.metrics.orders_under_way.get());
    process::ExitCode::SUCCESS
}
