//! A real daemon as a child process, with its resource usage as the kernel reports it under `/proc`.
use std::fs::File;
use std::path::Path;
use std::process::{Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};
use std::{fs, process};

/// A child process; it is killed when dropped.
pub struct Child {
    child: process::Child,
    /// When measuring started, and the counters at that time.
    baseline: Mutex<(Instant, Cost)>,
}

/// CPU time in ms, bytes written to disk and log, and resident memory in MB; totals, or rates per second from `cost`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    cpu_ms: f64,
    written: f64,
    memory_mb: f64,
}

impl Cost {
    /// Returns the larger of the two values, field by field.
    pub fn max(self, other: Cost) -> Cost {
        Cost {
            cpu_ms: self.cpu_ms.max(other.cpu_ms),
            written: self.written.max(other.written),
            memory_mb: self.memory_mb.max(other.memory_mb),
        }
    }

    /// Formats rates per second.
    pub fn describe_rates(&self) -> String {
        format!("{:6.1} ms/s, disk and log {:6.1} KB/s, {:5.1} MB", self.cpu_ms, self.written / 1000.0, self.memory_mb)
    }
}

impl Child {
    pub fn start(program: &Path, settings: &Path) -> Child {
        Child::spawn(program, &[], settings, Stdio::null(), Stdio::null())
    }

    /// Starts a daemon and appends its standard output and error to a file.
    pub fn start_logged(program: &Path, settings: &Path, log: &Path) -> Child {
        Child::start_logged_with(program, &[], settings, log)
    }

    /// Does the same with arguments on the command line.
    pub fn start_logged_with(program: &Path, arguments: &[&str], settings: &Path, log: &Path) -> Child {
        let file = File::options().create(true).append(true).open(log).expect("the log file opens");
        let errors = file.try_clone().expect("the log file handle is duplicated");
        Child::spawn(program, arguments, settings, file.into(), errors.into())
    }

    fn spawn(program: &Path, arguments: &[&str], settings: &Path, output: Stdio, errors: Stdio) -> Child {
        let child = Command::new(program)
            .args(arguments)
            .env("TIDEPOINT_CONFIG", settings)
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}; build the programs first", program.display()));
        let baseline = Mutex::new((Instant::now(), Cost::default()));
        Child { child, baseline }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().expect("the `kill` program runs");
        assert!(sent.success(), "SIGTERM could not be sent to process {id}");
    }

    /// Waits for the process to exit. Returns `None` if it still runs after `limit`.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(status) = self.child.try_wait().expect("the process is a child of the test") {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Sends SIGKILL without waiting for the exit.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is a child of the test");
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("the process is a child of the test").is_some()
    }

    /// Reads a numeric field of a file under `/proc`; 0 if it is missing.
    fn proc_field(&self, file: &str, name: &str) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("");
        line.trim_start_matches(':').split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0.0)
    }

    /// Returns the highest resident memory of the process so far, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        self.proc_field("status", "VmHWM") as u64 * 1024
    }

    /// Returns the number of open file descriptors.
    pub fn open_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    fn read_cost(&self) -> Cost {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let rest = text.rsplit(')').next().unwrap_or("");
        let ticks =
            |at: usize| rest.split_whitespace().nth(at).and_then(|word| word.parse::<f64>().ok()).unwrap_or(0.0);
        // User and system time, in hundredths of a second.
        let cpu_ms = (ticks(11) + ticks(12)) * 10.0;
        let written = self.proc_field("io", "wchar");
        Cost { cpu_ms, written, memory_mb: self.proc_field("status", "VmRSS") / 1000.0 }
    }

    /// Starts the interval that `cost` measures.
    pub fn start_measuring(&self) {
        *self.baseline.lock().expect("baseline") = (Instant::now(), self.read_cost());
    }

    /// Returns CPU time and bytes written per second since `start_measuring`, and the current memory.
    pub fn cost(&self) -> Cost {
        let (baseline, old) = *self.baseline.lock().expect("baseline");
        let (now, elapsed_s) = (self.read_cost(), baseline.elapsed().as_secs_f64().max(0.001));
        Cost {
            cpu_ms: (now.cpu_ms - old.cpu_ms) / elapsed_s,
            written: (now.written - old.written) / elapsed_s,
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
