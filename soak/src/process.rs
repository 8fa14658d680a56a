//! One daemon as a process of the system, started again each time after it has ended.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::process::{Child, Command};
use tokio::task::JoinHandle;
use tokio::time;

/// The pause before a process that ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// What the log of a process and its settings are called, and how it is started.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// The path of its settings.
    pub settings: PathBuf,
    /// Where its output goes.
    pub log: PathBuf,
    /// Its disk, if it has one.
    pub disk: Option<PathBuf>,
}

impl Launch {
    /// Empties the disk. Only the first start of the whole system may call itself one.
    fn lose_disk(&self) -> io::Result<()> {
        let Some(disk) = &self.disk else { return Ok(()) };
        fs::remove_dir_all(disk)?;
        fs::create_dir_all(disk)?;
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace("bootstrap = true", "bootstrap = false"))
    }
}

/// One incarnation of the process.
#[derive(Clone, Copy, Debug)]
pub struct Incarnation {
    /// When it was started.
    pub started: Instant,
    /// When it got its first SIGTERM.
    pub terminated: Option<Instant>,
    /// When it got its first SIGHUP.
    pub reloaded: Option<Instant>,
    /// It got SIGKILL.
    pub killed: bool,
    /// When it had ended, and whether with success.
    pub ended: Option<(Instant, bool)>,
}

/// A daemon and the incarnations of its process. The last one is the present one.
pub struct Daemon {
    pid: Mutex<Option<u32>>,
    incarnations: Mutex<Vec<Incarnation>>,
    /// The next process starts on an empty disk.
    loses_disk: AtomicBool,
}

impl Daemon {
    /// Starts the process and keeps it running until the returned daemon's task is aborted.
    pub fn start(launch: Launch) -> (Arc<Daemon>, JoinHandle<()>) {
        let daemon = Arc::new(Daemon {
            pid: Mutex::new(None),
            incarnations: Mutex::default(),
            loses_disk: AtomicBool::new(false),
        });
        let task = tokio::spawn(keep_running(daemon.clone(), launch));
        (daemon, task)
    }

    /// Returns all incarnations so far.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.incarnations.lock().clone()
    }

    /// Sends SIGTERM to the present process, if there is one.
    pub fn terminate(&self) {
        if !self.signal(libc::SIGTERM) {
            return;
        }
        if let Some(present) = self.incarnations.lock().last_mut() {
            present.terminated.get_or_insert(Instant::now());
        }
    }

    /// Sends SIGHUP to the present process, if there is one.
    pub fn reload(&self) {
        if !self.signal(libc::SIGHUP) {
            return;
        }
        if let Some(present) = self.incarnations.lock().last_mut() {
            present.reloaded.get_or_insert(Instant::now());
        }
    }

    /// Sends SIGKILL to the present process, if there is one, and empties its disk before the next one.
    pub fn kill(&self, loses_disk: bool) {
        if !self.signal(libc::SIGKILL) {
            return;
        }
        self.loses_disk.fetch_or(loses_disk, Ordering::Relaxed);
        if let Some(present) = self.incarnations.lock().last_mut() {
            present.killed = true;
        }
    }

    /// Lets the present process stand still, if there is one, until [`thaw`](Self::thaw).
    pub fn freeze(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets a process that stands still go on.
    pub fn thaw(&self) {
        self.signal(libc::SIGCONT);
    }

    fn signal(&self, signal: i32) -> bool {
        let pid = *self.pid.lock();
        // SAFETY: a signal to a process that this daemon started and has not yet reaped.
        pid.is_some_and(|pid| unsafe { libc::kill(pid as i32, signal) } == 0)
    }

    fn began(&self, child: &Child) {
        *self.pid.lock() = child.id();
        let incarnation =
            Incarnation { started: Instant::now(), terminated: None, reloaded: None, killed: false, ended: None };
        self.incarnations.lock().push(incarnation);
    }

    fn ended(&self, status: ExitStatus) {
        *self.pid.lock() = None;
        if let Some(present) = self.incarnations.lock().last_mut() {
            present.ended = Some((Instant::now(), status.success()));
        }
    }
}

async fn keep_running(daemon: Arc<Daemon>, launch: Launch) {
    loop {
        let mut child = spawn(&launch).expect("the program starts");
        daemon.began(&child);
        let status = child.wait().await.expect("a child process");
        daemon.ended(status);
        if daemon.loses_disk.swap(false, Ordering::Relaxed) {
            launch.lose_disk().expect("the disk can be emptied");
        }
        time::sleep(RESTART_PAUSE).await;
    }
}

fn open_log(path: &Path) -> io::Result<File> {
    File::options().create(true).append(true).open(path)
}

fn spawn(launch: &Launch) -> io::Result<Child> {
    let log = open_log(&launch.log)?;
    Command::new(&launch.program)
        .args(&launch.arguments)
        .env("TIDEPOINT_CONFIG", &launch.settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
}
