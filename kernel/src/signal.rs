//! Unix signals as values: a daemon reads the latest one from a watch channel.

use tokio::signal::unix::{self, Signal as SignalStream, SignalKind};
use tokio::sync::watch::{self, Receiver, Sender};

/// The last signal that the process received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// No signal yet.
    None,
    /// SIGHUP, with the number received so far.
    Reload(u32),
    /// SIGTERM; no further signal is reported after it.
    Terminate,
}

/// The receiver from which a daemon reads its signals.
pub type Signals = Receiver<Signal>;

/// Installs handlers for SIGTERM and SIGHUP, whose default action would terminate the process.
///
/// Call it before any other start-up work. If a handler can't be installed, no signal is ever reported.
///
/// # Panics
///
/// Panics outside a Tokio runtime.
pub fn watch() -> Signals {
    let (sender, signals) = watch::channel(Signal::None);
    let terminate = unix::signal(SignalKind::terminate());
    let hang_up = unix::signal(SignalKind::hangup());
    if let (Ok(terminate), Ok(hang_up)) = (terminate, hang_up) {
        tokio::spawn(forward_signals(terminate, hang_up, sender));
    }
    signals
}

async fn forward_signals(mut terminate: SignalStream, mut hang_up: SignalStream, sender: Sender<Signal>) {
    let mut reload_count = 0;
    loop {
        tokio::select! {
            _ = terminate.recv() => {
                let _ = sender.send(Signal::Terminate);
                // Keeps the handlers installed, which live as long as this task: a second SIGTERM must not end the
                // process.
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

/// Waits until SIGTERM arrives, or until no further signal can arrive.
pub async fn wait_for_termination(signals: &mut Signals) {
    let _ = signals.wait_for(|signal| *signal == Signal::Terminate).await;
}
