//! Signals as values: a daemon reads the latest from a watch channel.

use tokio::signal::unix::{self, SignalKind};
use tokio::sync::watch::{channel, Receiver};

/// What the process was told last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Nothing yet.
    None,
    /// SIGHUP; the number counts how many came.
    Reload(u32),
    /// SIGTERM; final.
    Terminate,
}

/// Where a daemon reads its signals.
pub type Signals = Receiver<Signal>;

/// Takes SIGTERM and SIGHUP over from the system, which would end the process on either. To be called inside a runtime,
/// before anything else is done.
pub fn watch() -> Signals {
    let (sender, signals) = channel(Signal::None);
    let kinds = (SignalKind::terminate(), SignalKind::hangup());
    let (Ok(mut terminate), Ok(mut hang_up)) = (unix::signal(kinds.0), unix::signal(kinds.1)) else {
        return signals;
    };
    tokio::spawn(async move {
        let mut count = 0;
        loop {
            tokio::select! {
                _ = terminate.recv() => {
                    let _ = sender.send(Signal::Terminate);
                    sender.closed().await;
                    return;
                }
                _ = hang_up.recv() => {
                    count += 1;
                    let _ = sender.send(Signal::Reload(count));
                }
            }
        }
    });
    signals
}

/// Until SIGTERM comes, or nothing can come any more.
pub async fn wait_for_termination(signals: &mut Signals) {
    let _ = signals.wait_for(|signal| *signal == Signal::Terminate).await;
}
