//! A deployment of three controllers with disks and two routers, each a process whose build can be exchanged.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{array, env, fs, process, thread};

use serde_json::Value;

use crate::builds::Build;
use crate::proc::Child;
use crate::stand::{self, Head};

pub const CONTROLLERS: usize = 3;
pub const ROUTERS: usize = 2;
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Both are written into the settings of each daemon.
pub const CONVERGE_MS: u64 = 2000;
pub const GRACE_S: u64 = 8;
/// What the end of a process may take beyond its grace.
const END_MARGIN: Duration = Duration::from_secs(1);
const POLL: Duration = Duration::from_millis(20);
const START_LIMIT: Duration = Duration::from_secs(20);

/// Addresses of a deployment, all in one network of the loopback interface.
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

/// Is a router in service, and since when? It is out from its SIGTERM until it is ready again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    Out,
    In(Instant),
}

/// Which routers are in service.
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

/// A daemon that was told to end, and when it had.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    pub role: Role,
    pub told: Instant,
    pub ended: Instant,
}

/// Invariant: `slots` holds the controllers in order and then the routers.
pub struct Deployment {
    pub net: Net,
    dir: PathBuf,
    slots: Vec<(Role, Child)>,
    pub services: Arc<Services>,
}

impl Deployment {
    /// Starts all daemons of one build on empty disks.
    pub fn start(net: Net, build: &Build) -> Deployment {
        let dir = env::temp_dir().join(format!("tidepoint-mixed-{}-{}", net.0, process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("a folder");
        let slots = roles().map(|role| (role, launch(net, &dir, role, build))).collect();
        let services = Arc::new(Services(array::from_fn(|_| Mutex::new(Service::Out))));
        Deployment { net, dir, slots, services }
    }

    /// Where settings, logs and disks of the daemons lie.
    pub fn folder(&self) -> &Path {
        &self.dir
    }

    /// Waits until a daemon answers as one that is in service.
    pub fn await_service(&self, role: Role) {
        let begun = Instant::now();
        while !self.is_in_service(role) {
            assert!(begun.elapsed() < START_LIMIT, "{role:?} is not in service, see {}", self.dir.display());
            thread::sleep(POLL);
        }
        self.services.set(role, Service::In(Instant::now()));
    }

    fn is_in_service(&self, role: Role) -> bool {
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

/// Daemons stopped and started.
impl Deployment {
    /// Ends one daemon by SIGTERM and starts another build of it with the same settings and the same disk.
    pub fn replace(&mut self, role: Role, build: &Build) -> Departure {
        self.assert_all_run();
        self.services.set(role, Service::Out);
        let told = Instant::now();
        let at = self.slots.iter().position(|slot| slot.0 == role).expect("a daemon of this deployment");
        let child = &mut self.slots[at].1;
        child.terminate();
        let status = child.ended_within(Duration::from_secs(GRACE_S) + END_MARGIN);
        let status = status.unwrap_or_else(|| panic!("{role:?} runs on beyond its grace"));
        assert!(status.success(), "{role:?} ended with {status}");
        let ended = Instant::now();
        self.slots[at].1 = launch(self.net, &self.dir, role, build);
        self.await_service(role);
        Departure { role, told, ended }
    }

    /// A loss of power: all daemons are killed at once, and then all are started again on their disks. Gives when
    /// the power went; all daemons are in service again then.
    pub fn lose_power(&mut self, build: &Build) -> Instant {
        self.assert_all_run();
        let lost = Instant::now();
        self.slots.iter().for_each(|slot| self.services.set(slot.0, Service::Out));
        self.slots.iter_mut().for_each(|slot| slot.1.kill());
        let limit = Duration::from_secs(5);
        let ended = self.slots.iter_mut().all(|slot| slot.1.ended_within(limit).is_some());
        assert!(ended, "a killed process runs on");
        for slot in &mut self.slots {
            slot.1 = launch(self.net, &self.dir, slot.0, build);
        }
        self.await_all();
        lost
    }

    /// No daemon ends without being told to.
    pub fn assert_all_run(&mut self) {
        for (role, child) in &mut self.slots {
            assert!(!child.has_ended(), "{role:?} ended by itself, see {}", self.dir.display());
        }
    }

    /// To be called when all went well; else logs and disks are left for a look.
    pub fn clear(self) {
        drop(self.slots);
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

/// Writes the settings of a daemon: the same text at each of its starts.
fn settings(net: Net, dir: &Path, role: Role) -> PathBuf {
    let (name, base) = (role.name(), format!("127.0.{}", net.0));
    let seeds: Vec<String> = (0..CONTROLLERS).map(|at| net.control(at)).collect();
    let (at, ip, binds, data) = match role {
        Role::Controller(at) => {
            let own = dir.join(&name);
            fs::create_dir_all(&own).expect("a folder");
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
    fs::write(&path, text).expect("written");
    path
}

fn is_settled(head: &Head) -> bool {
    let value: Value = serde_json::from_slice(&head.body).unwrap_or_default();
    value["core_settled"] == true && value["sure"] == true
}

pub fn get(addr: &str, path: &str) -> Option<Head> {
    stand::call(addr, &stand::request("GET", path, "Host: c\r\n", ""))
}

pub fn status(head: &Head) -> &str {
    head.first.split(' ').nth(1).unwrap_or("")
}
