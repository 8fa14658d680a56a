//! Start and end of the process.

/// The parts of the controller that announce themselves.
#[kernel::plug::linkme::distributed_slice]
#[linkme(crate = kernel::plug::linkme)]
pub static CONTROLLER_PARTS: [kernel::plug::Plug<std::sync::Arc<crate::controller::Controller>>];

macro_rules! part {
    ($label:ident, $name:literal, $order:literal, $start:path) => {
        #[kernel::plug::linkme::distributed_slice(CONTROLLER_PARTS)]
        #[linkme(crate = kernel::plug::linkme)]
        static $label: kernel::plug::Plug<std::sync::Arc<crate::controller::Controller>> =
            kernel::plug::Plug { name: $name, order: $order, start: $start };
    };
}

part!(GOSSIP, "gossip", 2, crate::gossip::start);
part!(PAUSES, "pauses", 1, crate::pause::start);
part!(MEMBERSHIP, "membership", 3, crate::reconfiguration::start);
part!(PLATFORM, "platform", 4, crate::platform::start);
part!(DUTY, "duty", 5, crate::duty::start);
part!(BATCHES, "batches", 8, crate::runner::start);
part!(BALANCE, "balance", 7, crate::balance::start);
part!(VERSIONS, "versions", 9, crate::versions::start);
part!(CONTROL, "control", 6, crate::control::start);
part!(FELLOWS, "peers", 1, peers);

fn peers(controller: &std::sync::Arc<crate::controller::Controller>) {
    let addr = format!("{}:{}", controller.env.ip, controller.env.peer_port());
    let controller = controller.clone();
    let handler: protocol::link::Handler =
        std::sync::Arc::new(move |mouth, id, msg| crate::message::take(&controller, mouth, id, msg));
    tokio::spawn(async move {
        loop {
            match protocol::sock::listen(&addr) {
                Ok(listener) => protocol::link::serve(listener, handler.clone()).await,
                Err(_) => tokio::time::sleep(std::time::Duration::from_millis(200)).await,
            }
        }
    });
}

/// The first core is the seeds: at the first start all daemons are told the same.
fn found(env: &kernel::env::Env) -> protocol::msg::Core {
    let mut ips = env.seed_ips();
    ips.sort();
    ips.dedup();
    let list = ips.into_iter().map(|ip| protocol::msg::Member { ip, zone: String::new() }).collect();
    protocol::msg::Core { version: 1, list, prev: Vec::new(), settled: true }
}

/// Messages to peers that were handed over get so long to leave.
const FAREWELL: std::time::Duration = std::time::Duration::from_millis(300);

/// Runs a controller until it is told to end and has finished what it took.
pub async fn run(env: kernel::env::Env, mut signals: kernel::signal::Signals) -> std::process::ExitCode {
    let life = kernel::clock::life();
    let mut voter = consensus::voter::Voter::new(&env.ip);
    let mut store = None;
    let mut empty = true;
    if let Some(dir) = &env.data_dir {
        match crate::disk::open(std::path::Path::new(dir), &mut voter) {
            Ok((open, found_empty)) => (store, empty) = (Some(open), found_empty),
            Err(error) => {
                kernel::say!(crate::event::BAD_DISK, "cause" => error.to_string());
                eprintln!("controller: {error}");
                return std::process::ExitCode::from(4);
            }
        }
    }
    let mut first = Vec::new();
    if empty && env.bootstrap {
        voter.core = found(&env);
        voter.may_vote = true;
        first = voter.whole();
    }
    kernel::say!(crate::event::START, "node" => env.node_name.clone(), "ip" => env.ip.clone(), "empty" => empty,
        "bootstrap" => env.bootstrap, "may_vote" => voter.may_vote, "core" => voter.core.version);
    let mirror = voter.clone();
    let metrics = crate::metrics::Metrics::default();
    let disk = crate::disk::Disk::start(store, mirror, metrics.disk_write.clone());
    disk.write(first);
    let prefix_index = catalog::prefix_index::PrefixIndex::new(200_000, 30_000);
    let controller = std::sync::Arc::new(crate::controller::Controller {
        life,
        seat: consensus::seat(&env.ip, life),
        voter: std::sync::Mutex::new(voter),
        disk,
        committed_state: Default::default(),
        roster: std::sync::Mutex::new(membership::Roster::new(&env.ip, &env.zone, crate::controller::LIVE_MS)),
        sheets: Default::default(),
        weights: Default::default(),
        followers: Default::default(),
        catalog: std::sync::Mutex::new(crate::controller::Catalog {
            prefix_index,
            gauge: Default::default(),
            epoch: 0,
            last: 0,
            drops: 0,
        }),
        ownerships: Default::default(),
        calls: Default::default(),
        taken: Default::default(),
        tallies: Default::default(),
        polls: tokio::sync::Semaphore::new(1),
        trials: Default::default(),
        first_versions: Default::default(),
        quotas: std::sync::Mutex::new(crate::quota::HeldShards::new(&env.ip)),
        pauses: Default::default(),
        leaving: Default::default(),
        shutdown: Default::default(),
        metrics,
        env,
    });
    let observed = controller.clone();
    telemetry::start(&controller.env.ip, controller.env.metrics.as_ref(), move || observed.metrics.render(&observed));
    kernel::plug::start(&CONTROLLER_PARTS, &controller);
    kernel::signal::until_leave(&mut signals).await;
    kernel::say!(crate::event::LEAVE);
    let end = crate::shutdown::last_moment(controller.env.bounds.grace_s);
    crate::reconfiguration::leave(&controller).await;
    // What was answered is on disk; what is under way is finished. Meanwhile peers hear that this controller ends.
    let (finished, ()) = tokio::join!(controller.shutdown.run(end), tokio::time::sleep(FAREWELL));
    kernel::say!(crate::event::GONE, "finished" => finished, "orders" => controller.metrics.orders_under_way.get());
    std::process::ExitCode::SUCCESS
}
