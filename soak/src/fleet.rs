//! The daemons of a run: addresses, settings and processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::{fs, io};

use tokio::task::JoinHandle;

use crate::engine::EngineLog;
use crate::evacuations::EVACUATION_BOUND;
use crate::process::{Daemon, LaunchSpec};
use crate::relay::{self, ActivePartition, Partition};
use crate::scenario::{Action, Scenario, Target};
use crate::usage::{LEASE, WINDOW};

/// Zones of daemons and engines, assigned round robin by index.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Lowest second octet of the loopback networks 127.N.0.0/16 that runs use.
const FIRST_NETWORK: u64 = 130;
/// Number of loopback networks; the seed selects one.
const NETWORKS: u64 = 100;

/// Number of disks that may be lost at once, as in the settings of the daemons.
pub const TOLERATED_DISKS: usize = 1;
/// Lowest port on which a router accepts client requests.
const FIRST_FRONTEND_PORT: u64 = 20_000;
/// Maximum number of routers in a run.
const MAX_ROUTERS: u64 = 64;

/// Port on which controllers listen for other daemons.
const PEER_PORT: u16 = 7810;

/// The addresses of a run, all in one loopback network 127.N.0.0/16.
#[derive(Clone, Copy, Debug)]
pub struct Network(u64);

impl Network {
    /// Returns the network that a seed selects.
    pub fn from_seed(seed: u64) -> Network {
        Network(FIRST_NETWORK + seed % NETWORKS)
    }

    fn host(self, group: u32, index: usize) -> String {
        format!("127.{}.{group}.{}", self.0, index + 1)
    }

    fn controller_ip(self, index: usize) -> String {
        self.host(0, index)
    }

    fn router_ip(self, index: usize) -> String {
        self.host(1, index)
    }

    /// Returns the IP address on which a controller behind a relay listens for other daemons.
    fn controller_listen_ip(self, index: usize) -> String {
        self.host(4, index)
    }

    /// Returns the zone index of the daemon that connects from an address.
    pub fn zone_of(self, from: SocketAddr) -> usize {
        relay::zone_of_address(from, ZONES.len())
    }

    /// Returns the address of a controller's operator API.
    pub fn control(self, index: usize) -> String {
        format!("{}:7803", self.controller_ip(index))
    }

    /// Returns the address on which a router accepts client requests.
    pub fn frontend(self, index: usize) -> String {
        format!("{}:{}", self.router_ip(index), self.frontend_port(index))
    }

    /// Returns the port on which a router accepts client requests, different for all routers of runs side by side.
    fn frontend_port(self, index: usize) -> u64 {
        FIRST_FRONTEND_PORT + (self.0 - FIRST_NETWORK) * MAX_ROUTERS + index as u64
    }

    /// Returns the address of a router's readiness endpoint.
    pub fn readiness(self, index: usize) -> String {
        format!("{}:7802", self.router_ip(index))
    }

    /// Returns the address of an engine.
    pub fn engine(self, index: usize) -> String {
        format!("{}:7820", self.host(2, index))
    }

    /// Returns the address on which an engine behind a relay listens.
    pub fn engine_listen(self, index: usize) -> String {
        format!("{}:7820", self.host(5, index))
    }

    /// Returns whether a connection comes from a controller.
    pub fn is_controller(self, from: SocketAddr) -> bool {
        from.ip().to_string().starts_with(&format!("127.{}.0.", self.0))
    }

    /// Returns the address of the platform API.
    pub fn platform(self) -> String {
        format!("{}:7800", self.host(3, 0))
    }
}

/// Which executables a run starts.
#[derive(Clone, Debug)]
pub enum Programs {
    /// The soak executable at this path, started as `soak daemon NAME`.
    Own(PathBuf),
    /// The executables `router` and `controller` of another build in this directory.
    Folder(PathBuf),
}

impl Programs {
    fn launch_spec(&self, role: &str, dir: &Path, name: &str) -> LaunchSpec {
        let (program, arguments) = match self {
            Programs::Own(program) => (program.clone(), vec!["daemon".to_string(), role.to_string()]),
            Programs::Folder(folder) => (folder.join(role), Vec::new()),
        };
        let [settings, log] = ["toml", "log"].map(|ending| dir.join(format!("{name}.{ending}")));
        LaunchSpec { program, arguments, settings, log, disk: None }
    }
}

/// All daemons of a run.
pub struct Fleet {
    /// The routers by index.
    pub routers: Vec<Arc<Daemon>>,
    /// The controllers by index.
    pub controllers: Vec<Arc<Daemon>>,
    active_partition: ActivePartition,
    engines: Arc<EngineLog>,
    tasks: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Writes the settings files to `dir` and starts all daemons.
    ///
    /// # Errors
    ///
    /// When a file can't be written or an address is in use.
    pub async fn start(
        scenario: &Scenario,
        programs: &Programs,
        dir: &Path,
        engines: Arc<EngineLog>,
        active_partition: ActivePartition,
    ) -> io::Result<Fleet> {
        let network = Network::from_seed(scenario.seed);
        let mut fleet =
            Fleet { routers: Vec::new(), controllers: Vec::new(), active_partition, engines, tasks: Vec::new() };
        for index in 0..scenario.controllers {
            let name = format!("controller-{index}");
            let disk = dir.join(&name);
            fs::create_dir_all(&disk)?;
            let binds = format!("control_plane = \"{}\"", network.control(index));
            let ip = network.controller_ip(index);
            let mut text = settings(scenario, &ip, &name, index, &binds, Some(&disk));
            if scenario.has_partitions {
                text.insert_str(0, &format!("listen_ip = \"{}\"\n", network.controller_listen_ip(index)));
                fleet.start_relay(network, index).await?;
            }
            fs::write(dir.join(format!("{name}.toml")), text)?;
            let spec = LaunchSpec { disk: Some(disk), ..programs.launch_spec("controller", dir, &name) };
            let daemon = fleet.launch(spec);
            fleet.controllers.push(daemon);
        }
        for index in 0..scenario.routers {
            let name = format!("router-{index}");
            // A partition must also separate controllers from routers, which have no relays. An address without a host is
            // of no use to other machines, so that controllers don't connect to it.
            let frontend = match scenario.has_partitions {
                true => format!("0.0.0.0:{}", network.frontend_port(index)),
                false => network.frontend(index),
            };
            let binds = format!("frontend = \"{frontend}\"\nreadiness = \"{}\"", network.readiness(index));
            let text = settings(scenario, &network.router_ip(index), &name, index, &binds, None);
            fs::write(dir.join(format!("{name}.toml")), text)?;
            let daemon = fleet.launch(programs.launch_spec("router", dir, &name));
            fleet.routers.push(daemon);
        }
        Ok(fleet)
    }

    /// Starts the relay on a controller's advertised address.
    async fn start_relay(&mut self, network: Network, index: usize) -> io::Result<()> {
        let advertised = format!("{}:{PEER_PORT}", network.controller_ip(index));
        let listen_address = format!("{}:{PEER_PORT}", network.controller_listen_ip(index));
        let relay = relay::serve(
            network,
            &advertised,
            listen_address,
            index % ZONES.len(),
            self.active_partition.clone(),
            |_| true,
        )
        .await?;
        self.tasks.push(tokio::spawn(relay));
        Ok(())
    }

    fn launch(&mut self, spec: LaunchSpec) -> Arc<Daemon> {
        let (daemon, task) = Daemon::start(spec);
        self.tasks.push(task);
        daemon
    }

    /// Applies an action to a daemon or to the network of a zone.
    pub fn apply(&self, target: Target, action: Action) {
        let daemon = match target {
            Target::Router(index) => &self.routers[index],
            Target::Controller(index) => &self.controllers[index],
            Target::Zone(zone) => return self.apply_to_zone(zone, action),
            Target::Engine(engine) => return self.engines.set_slow(engine, action == Action::SlowDown),
        };
        match action {
            Action::Terminate => daemon.terminate(),
            Action::Reload => daemon.reload(),
            Action::Kill => daemon.kill(false),
            Action::LoseDisk => daemon.kill(true),
            Action::Freeze => daemon.freeze(),
            Action::Thaw => daemon.thaw(),
            Action::TakeDown { loses_disk } => daemon.take_down(loses_disk),
            Action::StartAgain => daemon.start_again(),
            Action::Partition(_) | Action::Heal | Action::SlowDown | Action::SpeedUp => {}
        }
    }

    fn apply_to_zone(&self, zone: usize, action: Action) {
        match action {
            Action::Partition(kind) => self.active_partition.set(Partition { zone, kind }),
            Action::Heal => self.active_partition.heal(),
            _ => {}
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The tasks own the child processes, which are killed on drop.
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn settings(scenario: &Scenario, ip: &str, name: &str, index: usize, binds: &str, disk: Option<&Path>) -> String {
    let network = Network::from_seed(scenario.seed);
    let seeds: Vec<String> = (0..scenario.controllers.min(3)).map(|index| network.control(index)).collect();
    let data = disk.map_or(String::new(), |disk| format!("data_dir = {:?}\n", disk.display().to_string()));
    let contracts: &[&str] = if scenario.has_unnamed_version { &["rollout"] } else { &[] };
    format!(
        "node_name = \"{name}\"\nip = \"{ip}\"\nsource_ip = \"{ip}\"\nzone = \"{}\"\ninternal_ports = [{PEER_PORT}, 7815]\n\
         seed_peers = {seeds:?}\nbootstrap = true\nquorum_member = {}\n{data}contracts = {contracts:?}\n[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n\
         [bind_addresses]\n{binds}\n[limits]\nmemory_mb = 260\nfd_limit = 4000\ndisk_mb = 64\n\
         [fault_tolerance]\nmachine_loss = {TOLERATED_DISKS}\nzones = 1\n\
         [bounds]\nconverge_ms = 2000\ngrace_s = {:?}\nbudget_slack = 20.0\nretry_budget = 0.2\nevacuate_ms = {}\n\
         report_window_s = {:?}\nusage_delay_s = 8.0\nlease_ms = {}\n\
         [cloud_api]\naddress = \"{}\"\nrate_per_s = 300.0\nduty_list = [\"usage_export\"]\n",
        ZONES[index % ZONES.len()],
        disk.is_some(),
        scenario.grace_s,
        EVACUATION_BOUND.as_millis(),
        WINDOW.as_secs_f64(),
        LEASE.as_millis(),
        network.platform()
    )
}
