//! Controllers in the test's own process, each at an address of its own on the loopback interface.

use std::iter;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use protocol::config::Config;
use protocol::config_update::ConfigUpdate;
use protocol::link::{self, Handler, Responder};
use protocol::message::{EndpointList, Message, StateUpdate, SubscriptionRenewal};
use protocol::renewal::{Confirmation, SubscriptionRenewed};
use protocol::socket;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{self, Instant};

/// What a controller does with the calls of routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Sends what is missing and confirms it.
    Confirming,
    /// As confirming, but each frame with a change is lost.
    LosingFrames,
    /// Sends what is missing and confirms nothing.
    Unconfirmed,
    /// As controllers of version 3: confirms without an age.
    Older,
    /// Accepts calls and never responds.
    Frozen,
}

/// The state that the connections of a controller share.
struct Inner {
    manner: Manner,
    config: Config,
    calls: usize,
    routers: Vec<Responder>,
}

/// A controller with a configuration of its own.
pub struct Controller {
    /// Its address.
    pub ip: String,
    inner: Arc<Mutex<Inner>>,
    called: Arc<Notify>,
}

/// Starts controllers that listen on one port, as those of a deployment do, and returns them with that port.
///
/// # Panics
/// If no port is free.
pub fn controllers(count: u8, config: &Config) -> (Vec<Controller>, u16) {
    let ips: Vec<String> = (1..=count).map(|number| format!("127.0.0.{number}")).collect();
    loop {
        let first = socket::listen("127.0.0.1:0").expect("a free port");
        let port = first.local_addr().expect("its address").port();
        let others = ips[1..].iter().map(|ip| socket::listen(&format!("{ip}:{port}")));
        // Somebody else may have the port at another address.
        let Ok(others) = others.collect::<Result<Vec<_>, _>>() else { continue };
        let listeners = iter::once(first).chain(others);
        let controllers = ips.iter().zip(listeners).map(|(ip, listener)| Controller::start(ip, &ips, listener, config));
        return (controllers.collect(), port);
    }
}

impl Controller {
    /// Starts to serve on a listener; `all` are the controllers it reports.
    fn start(ip: &str, all: &[String], listener: TcpListener, config: &Config) -> Controller {
        let inner = Inner { manner: Manner::Confirming, config: config.clone(), calls: 0, routers: Vec::new() };
        let inner = Arc::new(Mutex::new(inner));
        let called = Arc::new(Notify::new());
        let (controller, on_call, all) = (inner.clone(), called.clone(), all.to_vec());
        let handler: Handler = Arc::new(move |responder, id, msg| {
            if let Message::SubscriptionRenewal(renewal) = msg {
                controller.lock().answer(&responder, id, &renewal, &all);
                on_call.notify_waiters();
            }
        });
        tokio::spawn(link::serve(listener, handler));
        Controller { ip: ip.into(), inner, called }
    }

    /// Changes what it does with calls.
    pub fn set(&self, manner: Manner) {
        self.inner.lock().manner = manner;
    }

    /// Returns how many calls it got.
    pub fn calls(&self) -> usize {
        self.inner.lock().calls
    }

    /// Commits a newer configuration; nothing is pushed.
    pub fn commit(&self, config: &Config) {
        self.inner.lock().config = config.clone();
    }

    /// Pushes a message to every router that called.
    pub fn push(&self, msg: &Message) {
        for router in &self.inner.lock().routers {
            router.notify(msg);
        }
    }

    /// Waits until it got so many calls.
    ///
    /// # Panics
    /// If that takes longer than 20 s.
    pub async fn called(&self, times: usize) {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let called = self.called.notified();
            if self.calls() >= times {
                return;
            }
            time::timeout_at(end, called).await.expect("called in time");
        }
    }
}

impl Inner {
    /// Handles a renewal.
    fn answer(&mut self, responder: &Responder, id: u64, renewal: &SubscriptionRenewal, all: &[String]) {
        self.calls += 1;
        self.routers.push(responder.clone());
        if self.manner == Manner::Frozen {
            return;
        }
        let change = ConfigUpdate::full(&self.config);
        if renewal.config_revision < change.to && self.manner != Manner::LosingFrames {
            responder.notify(&Message::ConfigUpdate(Box::new(change.encode())));
        }
        let list = EndpointList { zone: "a".into(), term: 1, ..Default::default() };
        let confirmed = matches!(self.manner, Manner::Confirming | Manner::Older | Manner::LosingFrames);
        let update = StateUpdate { confirmed, peers: all.to_vec(), endpoint_lists: vec![list], ..Default::default() };
        if self.manner == Manner::Older {
            responder.reply(id, &Message::StateUpdate(Box::new(update)));
            return;
        }
        let confirmation = Confirmation { age_ms: 0, config_revision: self.config.revision };
        let confirmation = confirmed.then_some(confirmation);
        let members = all.iter().skip(1).cloned().collect();
        responder.reply(
            id,
            &Message::SubscriptionRenewed(Box::new(SubscriptionRenewed {
                update,
                confirmation,
                core_members: members,
            })),
        );
    }
}
