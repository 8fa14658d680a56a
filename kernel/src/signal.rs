//! Signals as values: a daemon reads the current word from a watch channel.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Serve,
    /// SIGHUP; the number counts how many came.
    Reload(u32),
    Leave,
}

/// Must be called inside a runtime. Leave is final.
pub fn watch() -> tokio::sync::watch::Receiver<Word> {
    let (tell, word) = tokio::sync::watch::channel(Word::Serve);
    let kinds = (tokio::signal::unix::SignalKind::terminate(), tokio::signal::unix::SignalKind::hangup());
    let (Ok(mut term), Ok(mut hup)) = (tokio::signal::unix::signal(kinds.0), tokio::signal::unix::signal(kinds.1))
    else {
        return word;
    };
    tokio::spawn(async move {
        let mut count = 0;
        loop {
            tokio::select! {
                _ = term.recv() => {
                    let _ = tell.send(Word::Leave);
                    tell.closed().await;
                    return;
                }
                _ = hup.recv() => {
                    count += 1;
                    let _ = tell.send(Word::Reload(count));
                }
            }
        }
    });
    word
}
