//! A real daemon inside a test, on a thread and runtime of its own.

use std::future::Future;
use std::sync::mpsc;
use std::thread;

use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// A daemon in a thread of its own, which can be killed or frozen.
pub struct Daemon {
    kill: Option<oneshot::Sender<()>>,
    handle: Handle,
}

impl Daemon {
    pub fn start<F: Future + 'static>(run: impl FnOnce() -> F + Send + 'static) -> Daemon {
        let (kill, killed) = oneshot::channel::<()>();
        let (send, handle) = mpsc::channel();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
            send.send(runtime.handle().clone()).expect("told");
            runtime.block_on(async {
                tokio::select! {
                    _ = run() => {}
                    _ = killed => {}
                }
            });
            // All its tasks and sockets go with it, as when a process is killed.
            runtime.shutdown_background();
        });
        Daemon { kill: Some(kill), handle: handle.recv().expect("started") }
    }

    pub fn kill(&mut self) {
        self.kill.take().map(|kill| kill.send(()));
    }

    /// Nothing of it runs until the returned end is dropped.
    pub fn freeze(&self) -> mpsc::Sender<()> {
        let (thaw, wait) = mpsc::channel::<()>();
        self.handle.spawn(async move {
            let _ = wait.recv();
        });
        thaw
    }
}
