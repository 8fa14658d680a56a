//! A deployment of three controllers with disks and two routers. Each is a process whose build can be replaced.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{array, env, fs, process, thread};

use serde_json::Value;

use crate::builds::Build;
use crate::proc::Child;
use crate::stand::{self, HttpMessage};

pub const CONTROLLERS: usize = 3;
pub const ROUTERS: usize = 2;
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// The setting `converge_ms` of each daemon.
pub const CONVERGE_MS: u64 = 2000;
/// Grace period for shutdown, the setting `grace_s` of each daemon, in seconds.
pub const GRACE_S: u64 = 8;
/// Allowance for the exit of a process beyond its grace period.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(1);
/// Interval between two checks whether a daemon is in service.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout until a started daemon is in service.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Addresses of a deployment, all in the loopback network `127.0.N.0/24` with this N.
#[derive(Clone, Copy, Debug)]
pub struct Net(pub u8);

impl Net {
    pub fn control(self, at: usize) -> String {
        format!("127.0.{}.{}:7803", self.0, at + 1)
    }

    pub fn frontend(self, at: usize) -> String {
        format!("127.0.{}.{}:7801", self.0, at + 11)
    }

    pub fn readiness(self, at: usize) -> String {
        format!("127.0.{}.{}:7802", self.0, at + 11)
    }

    pub fn platform(self) -> String {
        format!("127.0.{}.99:7800", self.0)
    }

    pub fn engine(self, at: usize) -> String {
        format!("127.0.{}.{}:7820", self.0, at + 21)
    }
}

/// One daemon of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Controller(usize),
    Router(usize),
}

impl Role {
    fn program(self, build: &Build) -> &Path {
        match self {
            Role::Controller(_) => &build.controller,
            Role::Router(_) => &build.router,
        }
    }

    fn name(self) -> String {
        match self {
            Role::Controller(at) => format!("controller-{at}"),
            Role::Router(at) => format!("router-{at}"),
        }
    }
}

/// Whether a router is in service, and since when. It is out of service from SIGTERM until it is ready again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    Out,
    In(Instant),
}

/// The service state of each router.
pub struct Services([Mutex<Service>; ROUTERS]);

impl Services {
    pub fn of(&self, router: usize) -> Service {
        *self.0[router].lock().expect("service")
    }

    fn set(&self, role: Role, service: Service) {
        if let Role::Router(at) = role {
            *self.0[at].lock().expect("service") = service;
        }
    }
}

/// The shutdown of a daemon: when it got SIGTERM and when it exited.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    pub role: Role,
    pub signaled_at: Instant,
    pub exited_at: Instant,
}

/// A running deployment. Invariant: `daemons` holds the controllers in order, then the routers.
pub struct Deployment {
    pub net: Net,
    dir: PathBuf,
    daemons: Vec<(Role, Child)>,
    pub services: Arc<Services>,
}

impl Deployment {
    /// Starts all daemons from one build on empty disks.
    pub fn start(net: Net, build: &Build) -> Deployment {
        let dir = env::temp_dir().join(format!("tidepoint-mixed-{}-{}", net.0, process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("the folder is created");
        let daemons = roles().map(|role| (role, launch(net, &dir, role, build))).collect();
        let services = Arc::new(Services(array::from_fn(|_| Mutex::new(Service::Out))));
        Deployment { net, dir, daemons, services }
    }

    /// Returns the folder with the settings, logs and disks of the daemons.
    pub fn folder(&self) -> &Path {
        &self.dir
    }

    /// Waits until a daemon is in service, and records the time for a router.
    pub fn await_service(&self, role: Role) {
        let started = Instant::now();
        while !self.answers_as_in_service(role) {
            assert!(started.elapsed() < START_TIMEOUT, "{role:?} is not in service, see {}", self.dir.display());
            thread::sleep(POLL_INTERVAL);
        }
        self.services.set(role, Service::In(Instant::now()));
    }

    fn answers_as_in_service(&self, role: Role) -> bool {
        match role {
            Role::Controller(at) => {
                let control = self.net.control(at);
                let settled = get(&control, "/fleet").is_some_and(|head| is_settled(&head));
                settled && get(&control, "/config").is_some_and(|head| status(&head) == "200")
            }
            Role::Router(at) => get(&self.net.readiness(at), "/ready").is_some_and(|head| status(&head) == "200"),
        }
    }

    pub fn await_all(&self) {
        roles().for_each(|role| self.await_service(role));
    }
}

/// Stopping and restarting daemons.
impl Deployment {
    /// Stops one daemon by SIGTERM and starts `build` in its place with the same settings and disk.
    pub fn replace(&mut self, role: Role, build: &Build) -> Shutdown {
        self.assert_all_running();
        self.services.set(role, Service::Out);
        let signaled_at = Instant::now();
        let at = self.daemons.iter().position(|daemon| daemon.0 == role).expect("a daemon of this deployment");
        let child = &mut self.daemons[at].1;
        child.terminate();
        let status = child.wait_exit(Duration::from_secs(GRACE_S) + SHUTDOWN_MARGIN);
        let status = status.unwrap_or_else(|| panic!("{role:?} still runs after its grace period"));
        assert!(status.success(), "{role:?} exited with {status}");
        let exited_at = Instant::now();
        self.daemons[at].1 = launch(self.net, &self.dir, role, build);
        self.await_service(role);
        Shutdown { role, signaled_at, exited_at }
    }

    /// Simulates a power failure: kills all daemons at once, restarts them on their disks and waits until all are in
    /// service again. Returns the time of the failure.
    pub fn fail_power(&mut self, build: &Build) -> Instant {
        self.assert_all_running();
        let power_failed_at = Instant::now();
        self.daemons.iter().for_each(|daemon| self.services.set(daemon.0, Service::Out));
        self.daemons.iter_mut().for_each(|daemon| daemon.1.kill());
        let limit = Duration::from_secs(5);
        let all_exited = self.daemons.iter_mut().all(|daemon| daemon.1.wait_exit(limit).is_some());
        assert!(all_exited, "a killed process still runs");
        for daemon in &mut self.daemons {
            daemon.1 = launch(self.net, &self.dir, daemon.0, build);
        }
        self.await_all();
        power_failed_at
    }

    /// Asserts that no daemon has exited by itself.
    pub fn assert_all_running(&mut self) {
        for (role, child) in &mut self.daemons {
            assert!(!child.has_exited(), "{role:?} exited by itself, see {}", self.dir.display());
        }
    }

    /// Kills all daemons and removes logs and disks. Not called after a failure, so that they can be inspected.
    pub fn remove_files(self) {
        drop(self.daemons);
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn roles() -> impl Iterator<Item = Role> {
    (0..CONTROLLERS).map(Role::Controller).chain((0..ROUTERS).map(Role::Router))
}

fn launch(net: Net, dir: &Path, role: Role, build: &Build) -> Child {
    let settings = settings(net, dir, role);
    Child::start_logged(role.program(build), &settings, &dir.join(format!("{}.log", role.name())))
}

/// Writes the settings of a daemon, with the same text at each start.
fn settings(net: Net, dir: &Path, role: Role) -> PathBuf {
    let (name, base) = (role.name(), format!("127.0.{}", net.0));
    let seeds: Vec<String> = (0..CONTROLLERS).map(|at| net.control(at)).collect();
    let (at, ip, binds, data) = match role {
        Role::Controller(at) => {
            let own = dir.join(&name);
            fs::create_dir_all(&own).expect("the folder is created");
            let data = format!("data_dir = {:?}\n", own.display().to_string());
            (at, format!("{base}.{}", at + 1), format!("control_plane = \"{}\"\n", net.control(at)), data)
        }
        Role::Router(at) => {
            let binds = format!("frontend = \"{}\"\nreadiness = \"{}\"\n", net.frontend(at), net.readiness(at));
            (at, format!("{base}.{}", at + 11), binds, String::new())
        }
    };
    let text = format!(
        "node_name = \"{name}\"\nip = \"{ip}\"\nzone = \"{}\"\ninternal_ports = [7810, 7815]\n\
         seed_peers = {seeds:?}\nbootstrap = true\nquorum_member = {}\n{data}[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n\
         [bind_addresses]\n{binds}[limits]\nmemory_mb = 260\nfd_limit = 4000\ndisk_mb = 64\n\
         [bounds]\nconverge_ms = {CONVERGE_MS}\ngrace_s = {GRACE_S}.0\nbudget_slack = 20.0\n\
         [cloud_api]\naddress = \"{}\"\nrate_per_s = 300.0\n",
        ZONES[at],
        matches!(role, Role::Controller(_)),
        net.platform()
    );
    let path = dir.join(format!("{name}.toml"));
    fs::write(&path, text).expect("the settings are written");
    path
}

fn is_settled(head: &HttpMessage) -> bool {
    let value: Value = serde_json::from_slice(&head.body).unwrap_or_default();
    value["core_settled"] == true && value["sure"] == true
}

pub fn get(addr: &str, path: &str) -> Option<HttpMessage> {
    stand::call(addr, &stand::request("GET", path, "Host: c\r\n", ""))
}

pub fn status(head: &HttpMessage) -> &str {
    head.start_line.split(' ').nth(1).unwrap_or("")
}
