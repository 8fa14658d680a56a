//! How long the disk takes to sync while a test runs: acknowledgements and leases of controllers wait for it.
use std::fs::{remove_file, File};
use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(50);

/// A thread that writes a little and syncs it, again and again.
pub struct DiskProbe {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Duration>,
}

impl DiskProbe {
    /// Measures with a file at this path, which is removed at the end.
    pub fn start(path: PathBuf) -> DiskProbe {
        let stop = Arc::new(AtomicBool::new(false));
        let told = stop.clone();
        DiskProbe { stop, thread: thread::spawn(move || measure(path, &told)) }
    }

    /// The longest sync.
    pub fn finish(self) -> Duration {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("a probe of the disk")
    }
}

fn measure(path: PathBuf, stop: &AtomicBool) -> Duration {
    let mut file = File::create(&path).expect("a file");
    let mut longest = Duration::ZERO;
    while !stop.load(Ordering::Relaxed) {
        let begun = Instant::now();
        file.write_all(&[0; 128]).and_then(|()| file.sync_data()).expect("a disk with room");
        longest = longest.max(begun.elapsed());
        thread::sleep(INTERVAL);
    }
    let _ = remove_file(path);
    longest
}
