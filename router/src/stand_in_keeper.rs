//! Keepers in the test's own process, each at an address of its own on the loopback.

/// What a keeper does with the calls of routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Sends what is missing and confirms it.
    Confirming,
    /// As confirming, but each frame with a change is lost.
    LosingFrames,
    /// Sends what is missing and confirms nothing.
    Unconfirmed,
    /// As keepers of version 3: it says that it is sure.
    Older,
    /// Takes calls and says nothing.
    Frozen,
}

struct Inner {
    manner: Manner,
    config: wire::config::Config,
    calls: usize,
    routers: Vec<wire::link::Mouth>,
}

/// A keeper with a configuration of its own.
pub struct Keeper {
    pub ip: String,
    inner: std::sync::Arc<std::sync::Mutex<Inner>>,
    called: std::sync::Arc<tokio::sync::Notify>,
}

/// Keepers that listen on one port, as those of a deployment do, and that port.
pub fn keepers(count: u8, config: &wire::config::Config) -> (Vec<Keeper>, u16) {
    let ips: Vec<String> = (1..=count).map(|number| format!("127.0.0.{number}")).collect();
    loop {
        let first = wire::sock::listen("127.0.0.1:0").expect("a free port");
        let port = first.local_addr().expect("its address").port();
        let others = ips[1..].iter().map(|ip| wire::sock::listen(&format!("{ip}:{port}")));
        // Somebody else may have the port at another address.
        let Ok(others) = others.collect::<Result<Vec<_>, _>>() else { continue };
        let listeners = std::iter::once(first).chain(others);
        let keepers = ips.iter().zip(listeners).map(|(ip, listener)| Keeper::start(ip, &ips, listener, config));
        return (keepers.collect(), port);
    }
}

impl Keeper {
    fn start(ip: &str, all: &[String], listener: tokio::net::TcpListener, config: &wire::config::Config) -> Keeper {
        let inner = Inner { manner: Manner::Confirming, config: config.clone(), calls: 0, routers: Vec::new() };
        let inner = std::sync::Arc::new(std::sync::Mutex::new(inner));
        let called = std::sync::Arc::new(tokio::sync::Notify::new());
        let (held, told, all) = (inner.clone(), called.clone(), all.to_vec());
        let handler: wire::link::Handler = std::sync::Arc::new(move |mouth, id, msg| {
            if let wire::msg::Msg::Follow(follow) = msg {
                held.lock().expect("inner").answer(&mouth, id, &follow, &all);
                told.notify_waiters();
            }
        });
        tokio::spawn(wire::link::serve(listener, handler));
        Keeper { ip: ip.into(), inner, called }
    }

    pub fn set(&self, manner: Manner) {
        self.inner.lock().expect("inner").manner = manner;
    }

    pub fn calls(&self) -> usize {
        self.inner.lock().expect("inner").calls
    }

    /// A newer configuration is committed; nothing is pushed.
    pub fn commit(&self, config: &wire::config::Config) {
        self.inner.lock().expect("inner").config = config.clone();
    }

    /// Pushes a message to every router that called.
    pub fn push(&self, msg: &wire::msg::Msg) {
        for router in &self.inner.lock().expect("inner").routers {
            router.cast(msg);
        }
    }

    /// Waits until it was called so often, but not without end.
    pub async fn called(&self, times: usize) {
        let end = tokio::time::Instant::now() + std::time::Duration::from_secs(20);
        loop {
            let called = self.called.notified();
            if self.calls() >= times {
                return;
            }
            tokio::time::timeout_at(end, called).await.expect("called in time");
        }
    }
}

impl Inner {
    fn answer(&mut self, mouth: &wire::link::Mouth, id: u64, follow: &wire::msg::Follow, all: &[String]) {
        self.calls += 1;
        self.routers.push(mouth.clone());
        if self.manner == Manner::Frozen {
            return;
        }
        let change = wire::change::Change::whole(&self.config);
        if follow.config < change.to && self.manner != Manner::LosingFrames {
            mouth.cast(&wire::msg::Msg::Change(Box::new(change.write())));
        }
        let sheet = wire::msg::Sheet { zone: "a".into(), turn: 1, ..Default::default() };
        let sure = matches!(self.manner, Manner::Confirming | Manner::Older | Manner::LosingFrames);
        let news = wire::msg::News { sure, peers: all.to_vec(), sheets: vec![sheet], ..Default::default() };
        if self.manner == Manner::Older {
            mouth.reply(id, &wire::msg::Msg::News(Box::new(news)));
            return;
        }
        let confirmation = wire::renewal::Confirmation { age_ms: 0, config: self.config.revision };
        let confirmation = sure.then_some(confirmation);
        let members = all.iter().skip(1).cloned().collect();
        mouth.reply(id, &wire::msg::Msg::Renewed(Box::new(wire::renewal::Renewed { news, confirmation, members })));
    }
}
