//! A real daemon as a process, and what it costs by its own account of the system.
use std::fs::File;
use std::path::Path;
use std::process::{Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};
use std::{fs, process};

pub struct Child {
    child: process::Child,
    from: Mutex<(Instant, Cost)>,
}

/// Processor ms, bytes written to disk and log, memory held in MB.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    cpu_ms: f64,
    written: f64,
    memory_mb: f64,
}

impl Cost {
    pub fn most(self, other: Cost) -> Cost {
        Cost {
            cpu_ms: self.cpu_ms.max(other.cpu_ms),
            written: self.written.max(other.written),
            memory_mb: self.memory_mb.max(other.memory_mb),
        }
    }

    /// A second's worth.
    pub fn words(&self) -> String {
        format!("{:6.1} ms/s, disk and log {:6.1} KB/s, {:5.1} MB", self.cpu_ms, self.written / 1000.0, self.memory_mb)
    }
}

impl Child {
    pub fn start(program: &Path, settings: &Path) -> Child {
        Child::spawn(program, settings, Stdio::null(), Stdio::null())
    }

    /// Starts a daemon that appends its log and its errors to a file.
    pub fn start_logged(program: &Path, settings: &Path, log: &Path) -> Child {
        let file = File::options().create(true).append(true).open(log).expect("a log file");
        let errors = file.try_clone().expect("a second handle");
        Child::spawn(program, settings, file.into(), errors.into())
    }

    fn spawn(program: &Path, settings: &Path, output: Stdio, errors: Stdio) -> Child {
        let child = Command::new(program)
            .env("TIDEPOINT_CONFIG", settings)
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}; build the programs first", program.display()));
        let from = Mutex::new((Instant::now(), Cost::default()));
        Child { child, from }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().expect("the program `kill`");
        assert!(sent.success(), "SIGTERM could not be sent to process {id}");
    }

    /// Waits for the end of the process. None: it still runs after `limit`.
    pub fn ended_within(&mut self, limit: Duration) -> Option<ExitStatus> {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if let Some(status) = self.child.try_wait().expect("a process of ours") {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Sends SIGKILL and does not wait.
    pub fn kill(&mut self) {
        self.child.kill().expect("a process of ours");
    }

    /// Has the process ended by itself?
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a process of ours").is_some()
    }

    fn field(&self, file: &str, name: &str) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("");
        line.trim_start_matches(':').split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0.0)
    }

    fn now(&self) -> Cost {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let rest = text.rsplit(')').next().unwrap_or("");
        let tick = |at: usize| rest.split_whitespace().nth(at).and_then(|word| word.parse::<f64>().ok()).unwrap_or(0.0);
        // User and system time, in hundredths of a second.
        let cpu_ms = (tick(11) + tick(12)) * 10.0;
        let written = self.field("io", "wchar");
        Cost { cpu_ms, written, memory_mb: self.field("status", "VmRSS") / 1000.0 }
    }

    /// Counting begins here.
    pub fn mark(&self) {
        *self.from.lock().expect("from") = (Instant::now(), self.now());
    }

    pub fn cost(&self) -> Cost {
        let (from, old) = *self.from.lock().expect("from");
        let (now, spent) = (self.now(), from.elapsed().as_secs_f64().max(0.001));
        Cost {
            cpu_ms: (now.cpu_ms - old.cpu_ms) / spent,
            written: (now.written - old.written) / spent,
            memory_mb: now.memory_mb,
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
