//! One run: starts the stubs and the daemons, executes the schedule and evaluates the observations.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time;

use crate::application::{verify_totals, Application, PartitionedZone, TallyHistory};
use crate::client::{Attempt, Client};
use crate::engine::{self, EngineLog};
use crate::evacuations::{Evacuation, Evacuator};
use crate::fleet::{Fleet, Network, Programs, ZONES};
use crate::http;
use crate::operator::Operator;
use crate::platform::{self, EngineList};
use crate::process::Daemon;
use crate::relay::{self, ActivePartition};
use crate::report::{DaemonHistory, Observations, Report};
use crate::scenario::{Action, Scenario, Target};
use crate::usage::UsageLog;
use crate::versions;

/// Timeout for all routers to become ready, for a configuration change to be acknowledged and for the final read.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a scenario with these executables; `dir` holds settings, logs and data directories.
///
/// # Errors
///
/// When an address is in use, a file can't be written, or a router doesn't become ready in time.
pub async fn run(scenario: &Scenario, programs: &Programs, dir: &Path) -> io::Result<Report> {
    let engines = Arc::new(EngineLog::default());
    let usage = Arc::new(UsageLog::default());
    let active_partition = ActivePartition::default();
    let list = Arc::<EngineList>::default();
    let stubs = start_stubs(scenario, &engines, &list, &usage, &active_partition).await?;
    let fleet = Fleet::start(scenario, programs, dir, engines.clone(), active_partition).await?;
    let mut operator = Operator::new(scenario);
    operator.change(START_TIMEOUT).await;
    wait_until_ready(scenario).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(scenario, &stop);
    let tallies = Arc::<Mutex<TallyHistory>>::default();
    let applications = start_applications(scenario, &tallies, &stop);
    let (operator, evacuations, partitions, ()) = tokio::join!(
        operator.run(&stop, START_TIMEOUT),
        evacuate(scenario, &stop),
        run_schedule(scenario, &fleet, &stop),
        versions::change_list(scenario, &list)
    );
    let attempts: Vec<Attempt> = clients.join_all().await.into_iter().flatten().collect();
    applications.join_all().await;
    let operator = operator.finish(START_TIMEOUT).await;
    verify_totals(scenario, &tallies).await;
    tallies.lock().check_partitions(&partitions);
    let observations = Observations {
        attempts: &attempts,
        engines: &engines,
        operator: &operator,
        tallies: &tallies.lock(),
        evacuations: &evacuations,
        first_version_engines: scenario.engines,
        checks_usage_counts: !scenario.has_overlapping_faults,
        usage: &usage,
    };
    let report = Report::evaluate(scenario.grace_s, &histories(&fleet), &observations);
    drop((fleet, stubs));
    Ok(report)
}

fn start_clients(scenario: &Scenario, stop: &Arc<AtomicBool>) -> JoinSet<Vec<Attempt>> {
    let mut clients = JoinSet::new();
    for index in 0..scenario.clients {
        clients.spawn(Client::new(scenario, index).run(stop.clone()));
    }
    clients
}

fn start_applications(scenario: &Scenario, tallies: &Arc<Mutex<TallyHistory>>, stop: &Arc<AtomicBool>) -> JoinSet<()> {
    let mut applications = JoinSet::new();
    for index in 0..scenario.applications {
        applications.spawn(Application::new(scenario, index, tallies.clone()).run(stop.clone()));
    }
    applications
}

/// Evacuates zones until `stop` is set, if the scenario has evacuations.
async fn evacuate(scenario: &Scenario, stop: &AtomicBool) -> Vec<Evacuation> {
    match scenario.has_evacuations {
        true => Evacuator::new(scenario).run(stop).await,
        false => Vec::new(),
    }
}

/// Applies the scheduled events, waits for one grace period after the schedule, so that terminated processes can exit,
/// and stops the clients, the applications and the operator. Returns the partitions.
async fn run_schedule(scenario: &Scenario, fleet: &Fleet, stop: &AtomicBool) -> Vec<PartitionedZone> {
    let started = time::Instant::now();
    let mut partitions = Vec::new();
    for event in scenario.events() {
        time::sleep_until(started + event.at).await;
        fleet.apply(event.target, event.action);
        match (event.target, event.action) {
            (Target::Zone(zone), Action::Partition(_)) => {
                partitions.push(PartitionedZone { zone, began: Instant::now(), healed: None });
            }
            (Target::Zone(_), Action::Heal) => {
                let open = partitions.iter_mut().filter(|partition| partition.healed.is_none());
                open.for_each(|partition| partition.healed = Some(Instant::now()));
            }
            _ => {}
        }
    }
    time::sleep_until(started + scenario.duration + Duration::from_secs_f64(scenario.grace_s)).await;
    stop.store(true, Ordering::Relaxed);
    partitions
}

fn histories(fleet: &Fleet) -> Vec<DaemonHistory> {
    let routers = fleet.routers.iter().enumerate().map(|(index, daemon)| (Target::Router(index), daemon));
    let controllers = fleet.controllers.iter().enumerate().map(|(index, daemon)| (Target::Controller(index), daemon));
    let history =
        |(target, daemon): (Target, &Arc<Daemon>)| DaemonHistory { target, incarnations: daemon.incarnations() };
    routers.chain(controllers).map(history).collect()
}

/// Starts the stub engines and the stub platform that lists them.
///
/// In a scenario with partitions, relays stand before the engines. They affect only controllers: clients' requests are to be
/// served all along.
async fn start_stubs(
    scenario: &Scenario,
    log: &Arc<EngineLog>,
    list: &Arc<EngineList>,
    usage: &Arc<UsageLog>,
    active_partition: &ActivePartition,
) -> io::Result<JoinSet<()>> {
    let network = Network::from_seed(scenario.seed);
    let mut tasks = JoinSet::new();
    list.update(|engines| engines.extend((0..scenario.engines).map(|index| versions::entry(scenario, index))));
    for index in 0..versions::engine_count(scenario) {
        let address = network.engine(index);
        let mut listen_address = address.clone();
        if scenario.has_partitions {
            listen_address = network.engine_listen(index);
            let is_subject = move |from| network.is_controller(from);
            let (zone, partition) = (index % ZONES.len(), active_partition.clone());
            tasks.spawn(relay::serve(network, &address, listen_address.clone(), zone, partition, is_subject).await?);
        }
        tasks.spawn(engine::serve(TcpListener::bind(&listen_address).await?, index, log.clone()));
    }
    tasks.spawn(platform::serve(TcpListener::bind(network.platform()).await?, list.clone(), usage.clone()));
    Ok(tasks)
}

/// Waits until all routers are ready.
async fn wait_until_ready(scenario: &Scenario) -> io::Result<()> {
    let network = Network::from_seed(scenario.seed);
    let started = Instant::now();
    for index in 0..scenario.routers {
        while !is_ready(&network.readiness(index)).await {
            if started.elapsed() > START_TIMEOUT {
                return Err(io::Error::new(io::ErrorKind::TimedOut, format!("router {index} did not become ready")));
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn is_ready(address: &str) -> bool {
    if TcpStream::connect(address).await.is_err() {
        return false;
    }
    let response = http::call(address, &http::request("GET", "/ready", "Host: r\r\n", "")).await;
    response.is_some_and(|response| response.status() == 200)
}
