//! The `tally` command against two real controllers: one with a disk, which stores tallies, and one without, which
//! redirects callers to the first.

use std::path::Path;
use std::process::{self, Command, Output};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

use controller::startup;
use kernel::settings::{parse, Settings};
use kernel::signal;
use serde_json::json;
use tokio::runtime::Builder;

const WITH_DISK: &str = "127.0.77.1";
const WITHOUT_DISK: &str = "127.0.77.2";
/// Timeout until the controllers carry out a command.
const START_TIMEOUT: Duration = Duration::from_secs(20);

fn control(ip: &str) -> String {
    format!("{ip}:7803")
}

fn settings(ip: &str, data: Option<&Path>) -> Settings {
    let data = data.map_or(String::new(), |dir| format!("data_dir = {dir:?}\n"));
    let text = format!(
        "node_name = \"{ip}\"\nip = \"{ip}\"\nzone = \"a\"\ninternal_ports = [7810, 7815]\n\
         seed_peers = [\"{}\"]\nbootstrap = true\nquorum_member = {}\n{data}[zones]\na = \"r\"\n\
         [bind_addresses]\ncontrol_plane = \"{}\"\n[limits]\nmemory_mb = 260\nfd_limit = 4000\n\
         [cloud_api]\naddress = \"127.0.77.9:7800\"\nrate_per_s = 200.0\n",
        control(WITH_DISK),
        !data.is_empty(),
        control(ip)
    );
    parse(&text).expect("valid settings")
}

fn start(settings: Settings) {
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async { startup::run(settings, signal::watch()).await });
    });
}

fn run_tally(arguments: &[&str], ip: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tidepoint"));
    command.arg("tally").args(arguments).args(["--at", &control(ip)]);
    command.output().expect("the `tidepoint` program runs")
}

/// Repeats a command until it succeeds and returns its output.
fn run_until_success(arguments: &[&str], ip: &str) -> String {
    let started = Instant::now();
    loop {
        let output = run_tally(arguments, ip);
        if output.status.success() {
            return String::from_utf8_lossy(&output.stdout).trim().to_string();
        }
        assert!(started.elapsed() < START_TIMEOUT, "{arguments:?}: {}", String::from_utf8_lossy(&output.stderr));
    }
}

#[test]
fn adds_count_once_at_either_controller_and_invalid_ones_are_rejected_with_a_reason() {
    let dir = env::temp_dir().join(format!("tidepoint-tally-{}", process::id()));
    let _ = fs::remove_dir_all(&dir);
    start(settings(WITH_DISK, Some(&dir)));
    start(settings(WITHOUT_DISK, None));

    assert_eq!(run_until_success(&["get", "new"], WITH_DISK), r#"{"total":0}"#);
    run_until_success(&["add", "jobs", "--key", "a", "--amount", "4"], WITH_DISK);
    run_until_success(&["add", "jobs", "--key", "a", "--amount", "4"], WITHOUT_DISK);
    run_until_success(&["add", "jobs", "--key", "b", "--amount", "3"], WITHOUT_DISK);
    for ip in [WITH_DISK, WITHOUT_DISK] {
        assert_eq!(run_until_success(&["get", "jobs"], ip), r#"{"total":7}"#);
        assert_eq!(run_until_success(&["list"], ip), r#"{"tallies":{"jobs":7}}"#);
    }
    for ip in [WITH_DISK, WITHOUT_DISK] {
        let usage: serde_json::Value = serde_json::from_str(&run_until_success(&["room"], ip)).expect("JSON");
        let counts = ["sealed_entries", "unsealed_entries", "tallies", "used_share"].map(|field| usage[field].clone());
        assert_eq!(counts, [json!(0), json!(2), json!(1), json!(0.0)], "{usage}");
    }
    let refused = run_tally(&["add", "jobs", "--key", "c", "--amount", "9007199254740992"], WITH_DISK);
    assert_eq!(refused.status.code(), Some(2));
    let reason = String::from_utf8_lossy(&refused.stderr).to_string();
    assert!(reason.contains("400") && reason.contains("actor: found 9007199254740992"), "{reason}");
    assert_eq!(run_until_success(&["get", "jobs"], WITH_DISK), r#"{"total":7}"#);
    let _ = fs::remove_dir_all(dir);
}
