//! Stand-in controllers in the test's own process, each at its own address on the loopback interface.

use std::iter;
use std::sync::Arc;
use std::time::Duration;

use ingress::MemoryBudget;
use parking_lot::Mutex;
use protocol::config::Config;
use protocol::config_update::ConfigUpdate;
use protocol::link::{self, Handler, Responder, ServerLimits};
use protocol::message::{EndpointList, Message, StateUpdate, SubscriptionRenewal};
use protocol::renewal::{Confirmation, SubscriptionRenewed};
use protocol::socket;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{self, Instant};

/// How a controller responds to the calls of routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// Sends what is missing and confirms it.
    Confirming,
    /// As `Confirming`, but each frame with a configuration update is lost.
    LosingFrames,
    /// Sends what is missing and confirms nothing.
    Unconfirmed,
    /// Responds as controllers of version 3 do, which confirm without an age.
    Older,
    /// Accepts calls and never responds.
    Frozen,
}

/// The state of a controller, shared by its connections.
struct Inner {
    mode: ResponseMode,
    config: Config,
    calls: usize,
    routers: Vec<Responder>,
}

/// A stand-in controller with its own configuration.
pub struct Controller {
    /// Its address.
    pub ip: String,
    inner: Arc<Mutex<Inner>>,
    called: Arc<Notify>,
}

/// Starts controllers that all listen on one port, as in a deployment, and returns them with that port.
///
/// # Panics
/// If no port is free.
pub fn controllers(count: u8, config: &Config) -> (Vec<Controller>, u16) {
    let ips: Vec<String> = (1..=count).map(|number| format!("127.0.0.{number}")).collect();
    loop {
        let first = socket::listen("127.0.0.1:0").expect("a free port");
        let port = first.local_addr().expect("its address").port();
        let others = ips[1..].iter().map(|ip| socket::listen(&format!("{ip}:{port}")));
        // The port may be in use at another address.
        let Ok(others) = others.collect::<Result<Vec<_>, _>>() else { continue };
        let listeners = iter::once(first).chain(others);
        let controllers = ips.iter().zip(listeners).map(|(ip, listener)| Controller::start(ip, &ips, listener, config));
        return (controllers.collect(), port);
    }
}

impl Controller {
    /// Serves on a listener; `all_ips` are the controllers that it reports.
    fn start(ip: &str, all_ips: &[String], listener: TcpListener, config: &Config) -> Controller {
        let inner = Inner { mode: ResponseMode::Confirming, config: config.clone(), calls: 0, routers: Vec::new() };
        let inner = Arc::new(Mutex::new(inner));
        let called = Arc::new(Notify::new());
        let (controller, on_call, all_ips) = (inner.clone(), called.clone(), all_ips.to_vec());
        let handler: Handler = Arc::new(move |responder, id, msg| {
            if let Message::SubscriptionRenewal(renewal) = msg {
                controller.lock().respond(&responder, id, &renewal, &all_ips);
                on_call.notify_waiters();
            }
        });
        let limits = ServerLimits { max_connections: 64, memory: MemoryBudget::new(64) };
        tokio::spawn(link::serve(listener, limits, handler));
        Controller { ip: ip.into(), inner, called }
    }

    /// Changes how it responds to calls.
    pub fn set_mode(&self, mode: ResponseMode) {
        self.inner.lock().mode = mode;
    }

    /// Returns how many calls it has received.
    pub fn calls(&self) -> usize {
        self.inner.lock().calls
    }

    /// Commits a newer configuration without pushing it.
    pub fn commit(&self, config: &Config) {
        self.inner.lock().config = config.clone();
    }

    /// Pushes a message to every router that has called.
    pub fn push(&self, msg: &Message) {
        for router in &self.inner.lock().routers {
            router.notify(msg);
        }
    }

    /// Waits until it has received `calls` calls.
    ///
    /// # Panics
    /// If that takes longer than 20 s.
    pub async fn wait_for_calls(&self, calls: usize) {
        let deadline = Instant::now() + Duration::from_secs(20);
        loop {
            let called = self.called.notified();
            if self.calls() >= calls {
                return;
            }
            time::timeout_at(deadline, called).await.expect("too few calls in 20 s");
        }
    }
}

impl Inner {
    /// Responds to a renewal.
    fn respond(&mut self, responder: &Responder, id: u64, renewal: &SubscriptionRenewal, all_ips: &[String]) {
        self.calls += 1;
        self.routers.push(responder.clone());
        if self.mode == ResponseMode::Frozen {
            return;
        }
        let config_update = ConfigUpdate::full(&self.config);
        if renewal.config_revision < config_update.to && self.mode != ResponseMode::LosingFrames {
            responder.notify(&Message::ConfigUpdate(Box::new(config_update.encode())));
        }
        let list = EndpointList { zone: "a".into(), term: 1, ..Default::default() };
        let confirmed =
            matches!(self.mode, ResponseMode::Confirming | ResponseMode::Older | ResponseMode::LosingFrames);
        let update =
            StateUpdate { confirmed, peers: all_ips.to_vec(), endpoint_lists: vec![list], ..Default::default() };
        if self.mode == ResponseMode::Older {
            responder.reply(id, &Message::StateUpdate(Box::new(update)));
            return;
        }
        let confirmation = Confirmation { age_ms: 0, config_revision: self.config.revision };
        let confirmation = confirmed.then_some(confirmation);
        let members = all_ips.iter().skip(1).cloned().collect();
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
