//! A daemon as an operating system process that is restarted whenever it exits.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

/// Delay before a process that exited is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// How to start a process, and the files that it uses.
#[derive(Clone, Debug)]
pub struct LaunchSpec {
    /// The executable.
    pub program: PathBuf,
    /// Command-line arguments.
    pub arguments: Vec<String>,
    /// The settings file.
    pub settings: PathBuf,
    /// The file that receives stdout and stderr.
    pub log: PathBuf,
    /// The data directory, if the daemon has one.
    pub disk: Option<PathBuf>,
}

impl LaunchSpec {
    /// Empties the data directory and turns off `bootstrap`, which is valid only for the first start of the system.
    fn wipe_disk(&self) -> io::Result<()> {
        let Some(disk) = &self.disk else { return Ok(()) };
        fs::remove_dir_all(disk)?;
        fs::create_dir_all(disk)?;
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace("bootstrap = true", "bootstrap = false"))
    }
}

/// One run of the daemon's process, from start to exit.
#[derive(Clone, Copy, Debug)]
pub struct Incarnation {
    /// When it was started.
    pub started: Instant,
    /// When it was first sent SIGTERM.
    pub terminated: Option<Instant>,
    /// When it was first sent SIGHUP.
    pub reloaded: Option<Instant>,
    /// Whether it was sent SIGKILL.
    pub killed: bool,
    /// When it exited, and whether with success.
    pub exited: Option<(Instant, bool)>,
}

/// A daemon and the incarnations of its process, the current one last.
pub struct Daemon {
    pid: Mutex<Option<u32>>,
    incarnations: Mutex<Vec<Incarnation>>,
    /// Whether to wipe the disk before the next start.
    wipes_disk: AtomicBool,
    /// Whether the machine is down, so that the process is not restarted.
    is_down: watch::Sender<bool>,
}

impl Daemon {
    /// Starts the process and restarts it whenever it exits, until the returned task is aborted.
    pub fn start(spec: LaunchSpec) -> (Arc<Daemon>, JoinHandle<()>) {
        let daemon = Arc::new(Daemon {
            pid: Mutex::new(None),
            incarnations: Mutex::default(),
            wipes_disk: AtomicBool::new(false),
            is_down: watch::channel(false).0,
        });
        let task = tokio::spawn(supervise(daemon.clone(), spec));
        (daemon, task)
    }

    /// Returns all incarnations up to now, the oldest first.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.incarnations.lock().clone()
    }

    /// Sends SIGTERM to the current process, if any.
    pub fn terminate(&self) {
        if !self.signal(libc::SIGTERM) {
            return;
        }
        if let Some(current) = self.incarnations.lock().last_mut() {
            current.terminated.get_or_insert(Instant::now());
        }
    }

    /// Sends SIGHUP to the current process, if any.
    pub fn reload(&self) {
        if !self.signal(libc::SIGHUP) {
            return;
        }
        if let Some(current) = self.incarnations.lock().last_mut() {
            current.reloaded.get_or_insert(Instant::now());
        }
    }

    /// Sends SIGKILL to the current process, if any. With `wipes_disk`, the next process starts with an empty disk.
    pub fn kill(&self, wipes_disk: bool) {
        if !self.signal(libc::SIGKILL) {
            return;
        }
        self.wipes_disk.fetch_or(wipes_disk, Ordering::Relaxed);
        if let Some(current) = self.incarnations.lock().last_mut() {
            current.killed = true;
        }
    }

    /// Kills the process, which stays down until [`start_again`](Self::start_again). With `wipes_disk`, it then starts
    /// with an empty disk.
    pub fn take_down(&self, wipes_disk: bool) {
        self.is_down.send_replace(true);
        self.wipes_disk.fetch_or(wipes_disk, Ordering::Relaxed);
        self.kill(false);
    }

    /// Restarts the process after [`take_down`](Self::take_down).
    pub fn start_again(&self) {
        self.is_down.send_replace(false);
    }

    /// Stops the current process, if any, with SIGSTOP until [`thaw`](Self::thaw).
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Continues a stopped process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    fn signal(&self, signal: i32) -> bool {
        let pid = *self.pid.lock();
        // SAFETY: `kill` accesses no memory, and the pid is that of a child that has not been reaped yet.
        pid.is_some_and(|pid| unsafe { libc::kill(pid as i32, signal) } == 0)
    }

    fn record_start(&self, child: &Child) {
        *self.pid.lock() = child.id();
        let incarnation =
            Incarnation { started: Instant::now(), terminated: None, reloaded: None, killed: false, exited: None };
        self.incarnations.lock().push(incarnation);
    }

    fn record_exit(&self, status: ExitStatus) {
        *self.pid.lock() = None;
        if let Some(current) = self.incarnations.lock().last_mut() {
            current.exited = Some((Instant::now(), status.success()));
        }
    }
}

async fn supervise(daemon: Arc<Daemon>, spec: LaunchSpec) {
    loop {
        let mut child = spawn(&spec).expect("failed to start the daemon");
        daemon.record_start(&child);
        if *daemon.is_down.borrow() {
            daemon.kill(false);
        }
        let status = child.wait().await.expect("failed to wait for the daemon");
        daemon.record_exit(status);
        time::sleep(RESTART_DELAY).await;
        let mut is_down = daemon.is_down.subscribe();
        let _ = is_down.wait_for(|is_down| !is_down).await;
        if daemon.wipes_disk.swap(false, Ordering::Relaxed) {
            spec.wipe_disk().expect("failed to wipe the disk");
        }
    }
}

fn open_log(path: &Path) -> io::Result<File> {
    File::options().create(true).append(true).open(path)
}

fn spawn(spec: &LaunchSpec) -> io::Result<Child> {
    let log = open_log(&spec.log)?;
    Command::new(&spec.program)
        .args(&spec.arguments)
        .env("TIDEPOINT_CONFIG", &spec.settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
}
