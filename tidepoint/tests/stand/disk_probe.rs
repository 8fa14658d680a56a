//! Measures the latency of disk syncs during a test, because acknowledgements and leases of controllers wait for them.
use std::fs::{remove_file, File};
use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Pause between two syncs.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// A thread that repeatedly writes a small block and syncs it.
pub struct DiskProbe {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Duration>,
}

impl DiskProbe {
    /// Starts measuring with a file at `path`, which is removed at the end.
    pub fn start(path: PathBuf) -> DiskProbe {
        let stop = Arc::new(AtomicBool::new(false));
        let probe_stop = stop.clone();
        DiskProbe { stop, thread: thread::spawn(move || measure(path, &probe_stop)) }
    }

    /// Stops the probe and returns the duration of the longest sync.
    pub fn finish(self) -> Duration {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the disk probe succeeded")
    }
}

fn measure(path: PathBuf, stop: &AtomicBool) -> Duration {
    let mut file = File::create(&path).expect("the probe file is created");
    let mut longest = Duration::ZERO;
    while !stop.load(Ordering::Relaxed) {
        let sync_started = Instant::now();
        file.write_all(&[0; 128]).and_then(|()| file.sync_data()).expect("the disk has space");
        longest = longest.max(sync_started.elapsed());
        thread::sleep(PROBE_INTERVAL);
    }
    let _ = remove_file(path);
    longest
}
