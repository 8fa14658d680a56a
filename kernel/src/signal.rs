//! Signals as values: a daemon reads the latest one from a watch channel.

use tokio::signal::unix::{self, Signal as SignalStream, SignalKind};
use tokio::sync::watch::{self, Receiver, Sender};

/// The last signal that the process got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// None yet.
    None,
    /// SIGHUP; the number counts how many came.
    Reload(u32),
    /// SIGTERM; no other signal follows.
    Terminate,
}

/// Where a daemon reads its signals.
pub type Signals = Receiver<Signal>;

/// Handles SIGTERM and SIGHUP in place of the system, which would end the process on either.
///
/// Call it before anything else is done. If the system refuses a handler, no signal ever comes.
///
/// # Panics
///
/// Panics outside a runtime.
pub fn watch() -> Signals {
    let (sender, signals) = watch::channel(Signal::None);
    let terminate = unix::signal(SignalKind::terminate());
    let hang_up = unix::signal(SignalKind::hangup());
    if let (Ok(terminate), Ok(hang_up)) = (terminate, hang_up) {
        tokio::spawn(forward(terminate, hang_up, sender));
    }
    signals
}

async fn forward(mut terminate: SignalStream, mut hang_up: SignalStream, sender: Sender<Signal>) {
    let mut reload_count = 0;
    loop {
        tokio::select! {
            _ = terminate.recv() => {
                let _ = sender.send(Signal::Terminate);
                // The handlers live as long as this task: a second SIGTERM must not end the process either.
                sender.closed().await;
                return;
            }
            _ = hang_up.recv() => {
                reload_count += 1;
                let _ = sender.send(Signal::Reload(reload_count));
            }
        }
    }
}

/// Waits until SIGTERM comes, or no signal can come any more.
pub async fn wait_for_termination(signals: &mut Signals) {
    let _ = signals.wait_for(|signal| *signal == Signal::Terminate).await;
}
