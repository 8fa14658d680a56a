//! A scale run of this repository's own: real controllers and routers as processes, beside hollow routers that share
//! this one and speak the same messages, and a platform with many engines. It prints what each real daemon costs
//! as one size grows and the others stay.
//!
//!     cargo build --release
//!     cargo test --release -p tidepoint --test scale -- --ignored --nocapture

use std::path::{Path, PathBuf};
use std::{env, fs, process};

use hollow::{Fleet, Size};
use protocol::message::{self, Gossip};
use tokio::runtime::Builder;

#[path = "stand/hollow.rs"]
mod hollow;
#[allow(dead_code)] // Each test uses a part of what a process can do.
#[path = "stand/proc.rs"]
mod proc;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn settings(net: u8, part: &str, zone: usize, dir: &Path) -> PathBuf {
    let ip = format!("127.0.{net}.{}", if part == "k" { zone + 1 } else { zone + 11 });
    let seeds: Vec<String> = (1..=3).map(|at| format!("127.0.{net}.{at}:7803")).collect();
    let own = dir.join(format!("{part}-{zone}"));
    fs::create_dir_all(&own).expect("a folder");
    let (binds, data) = match part {
        "k" => (format!("control_plane = \"{ip}:7803\"\n"), format!("data_dir = {:?}\n", own.display().to_string())),
        _ => (format!("frontend = \"{ip}:7801\"\nreadiness = \"{ip}:7802\"\n"), String::new()),
    };
    let text = format!(
        "node_name = \"{part}-{zone}\"\nip = \"{ip}\"\nzone = \"{}\"\ninternal_ports = [7810, 7815]\n\
         seed_peers = {seeds:?}\nbootstrap = true\nquorum_member = {}\n{data}[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n\
         [bind_addresses]\n{binds}[limits]\nmemory_mb = 4000\nfd_limit = 9000\ndisk_mb = 512\n\
         [cloud_api]\naddress = \"127.0.{net}.99:7800\"\nrate_per_s = 5000.0\n",
        ZONES[zone],
        part == "k"
    );
    let path = dir.join(format!("{part}-{zone}.toml"));
    fs::write(&path, text).expect("written");
    path
}

/// What a run came to, by kind of daemon: the most of each.
struct Cost {
    size: Size,
    controller: proc::Cost,
    router: proc::Cost,
    /// ms until a change was everywhere; bytes a second that a router sent and got.
    played: (u64, u64, u64),
}

fn run(net: u8, size: Size, seconds: u64) -> Cost {
    let dir = env::temp_dir().join(format!("tidepoint-scale-{net}-{}", process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("a folder");
    let bins = env::current_exe().expect("a path");
    let bins = bins.ancestors().nth(2).expect("the folder of programs").to_path_buf();
    let runtime = Builder::new_multi_thread().worker_threads(3).enable_all().build().expect("a runtime");
    let fleet = runtime.block_on(Fleet::start(net, size, &ZONES));
    let start =
        |name: &str, part: &str, zone: usize| proc::Child::start(&bins.join(name), &settings(net, part, zone, &dir));
    let controllers: Vec<proc::Child> = (0..3).map(|zone| start("controller", "k", zone)).collect();
    let routers: Vec<proc::Child> = (0..2).map(|zone| start("router", "e", zone)).collect();
    let played = runtime.block_on(async {
        fleet.configure().await;
        fleet.settle().await;
        controllers.iter().chain(&routers).for_each(proc::Child::mark);
        fleet.play(seconds).await
    });
    let worst = |list: &[proc::Child]| list.iter().map(proc::Child::cost).reduce(proc::Cost::most).expect("one");
    let cost = Cost { size, controller: worst(&controllers), router: worst(&routers), played };
    drop((controllers, routers));
    runtime.shutdown_background();
    let _ = fs::remove_dir_all(dir);
    cost
}

fn tell(cost: &Cost) {
    let Size { routers, engines, routes, seeks, changes } = cost.size;
    println!(
        "R {routers:5} E {engines:5} routes {routes:5} seeks/s {seeks:5} changes/s {changes:.1} | controller {} | router {} | \
         a router's news: out {} B/s, in {} B/s | change everywhere after {} ms",
        cost.controller.words(),
        cost.router.words(),
        cost.played.1,
        cost.played.2,
        cost.played.0
    );
}

const BASE: Size = Size { routers: 200, engines: 400, routes: 1500, seeks: 0, changes: 0.5 };

#[test]
#[ignore = "minutes of load; the documented command runs it"]
fn what_each_daemon_costs_as_one_size_grows() {
    let sizes = [
        BASE,
        Size { routers: 400, ..BASE },
        Size { routers: 800, ..BASE },
        Size { engines: 1600, ..BASE },
        Size { engines: 6400, ..BASE },
        Size { routes: 5300, ..BASE },
        Size { changes: 2.0, ..BASE },
        Size { seeks: 2000, ..BASE },
        Size { seeks: 8000, ..BASE },
    ];
    for (at, size) in sizes.into_iter().enumerate() {
        tell(&run(100 + at as u8, size, 8));
    }
}

/// The size of a controller's beat when its routers have requests at so many engines.
fn beat(engines: usize) -> u64 {
    let gossip = Gossip {
        ip: "10.0.0.1".into(),
        zone: "a".into(),
        incarnation: 1,
        eligible: true,
        membership: Default::default(),
        peers: Vec::new(),
        router_count: 67,
        in_flight: (0..engines).map(|at| (format!("i-{at:010}"), 3)).collect(),
        reassigning: Vec::new(),
        frontend_addresses: (0..67).map(|at| format!("10.0.1.{at}:8000")).collect(),
        list_versions: Vec::new(),
        observed_list_versions: Vec::new(),
    };
    hollow::size(&message::Message::Gossip(Box::new(gossip)))
}

#[test]
fn what_messages_weigh() {
    use protocol::message::{EngineLoad, Message, PrefixLookup, PrefixLookupResponse, PrefixRegistration, Record};
    let told =
        |count: u64| (0..count).map(|name| EngineLoad { engine_hash: name, load: 3, age_ms: 90 }).collect::<Vec<_>>();
    let record = |key| Record { key, engine: "i-0123456789".into() };
    let note = PrefixRegistration { epoch: 1, owners: (0..3).map(record).collect(), loads: told(1) };
    let owners = vec![vec!["i-0123456789".to_string(); 2]; 2];
    let parts = [
        Message::PrefixLookup(Box::new(PrefixLookup { epoch: 1, keys: vec![1, 2], sample: (0..10).collect() })),
        Message::PrefixLookupResponse(Box::new(PrefixLookupResponse { epoch: 1, owners, list: told(12) })),
        Message::PrefixRegistration(Box::new(note.clone())),
        Message::Flush(Box::new((1, 3))),
        Message::Flushed(Box::new((1, 0))),
        Message::PrefixRegistration(Box::new(note)),
    ];
    let sizes: Vec<u64> = parts.iter().map(hollow::size).collect();
    println!("of one request at the catalog: {sizes:?}, {} B", sizes.iter().sum::<u64>());
    // What does not depend on the fleet's size must not come to depend on it.
    assert!(sizes.iter().sum::<u64>() < 2000, "{sizes:?}");
    let beats = [400, 1600, 6400].map(beat);
    println!("a controller's beat with 400, 1600, 6400 engines in use: {beats:?} B");
    assert!(beats[2] > beats[0]);
}

#[test]
fn a_change_reaches_a_small_hollow_fleet_and_costs_little() {
    // Real daemons only where they are built; the hollow fleet and its platform are tried in any case.
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let size = Size { routers: 3, engines: 30, routes: 40, seeks: 0, changes: 0.0 };
    let list = runtime.block_on(async {
        let fleet = Fleet::start(90, size, &ZONES).await;
        fleet.listed().await
    });
    assert_eq!(list, 30, "the platform's stand-in lists every engine once");
}
