//! Runs a real daemon inside a test, on its own thread and runtime.

use std::future::Future;
use std::sync::mpsc;
use std::thread;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// A daemon on its own thread that can be killed or frozen.
pub struct Daemon {
    kill_sender: Option<oneshot::Sender<()>>,
    handle: Handle,
}

impl Daemon {
    pub fn start<F: Future + 'static>(run: impl FnOnce() -> F + Send + 'static) -> Daemon {
        let (kill_sender, killed) = oneshot::channel::<()>();
        let (handle_sender, handle) = mpsc::channel();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
            handle_sender.send(runtime.handle().clone()).expect("the starting thread receives the handle");
            runtime.block_on(async {
                tokio::select! {
                    _ = run() => {}
                    _ = killed => {}
                }
            });
            // Drops all its tasks and sockets, as when a process is killed.
            runtime.shutdown_background();
        });
        Daemon { kill_sender: Some(kill_sender), handle: handle.recv().expect("the daemon's runtime started") }
    }

    pub fn kill(&mut self) {
        self.kill_sender.take().map(|sender| sender.send(()));
    }

    /// Blocks the daemon's runtime until the returned sender is dropped.
    pub fn freeze(&self) -> mpsc::Sender<()> {
        let (thaw, thawed) = mpsc::channel::<()>();
        self.handle.spawn(async move {
            let _ = thawed.recv();
        });
        thaw
    }
}
