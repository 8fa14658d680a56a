//! The other controllers as this one knows them: the membership view, the connections, and pauses of this process.

use std::collections::HashMap;
use std::sync::Arc;

use kernel::clock;
use membership::MembershipView;
use parking_lot::Mutex;
use protocol::link::PeerClient;
use protocol::Dialer;

use crate::peers::address_announcements::AddressAnnouncements;
use crate::peers::pause::PauseMonitor;

/// This controller's knowledge of its peers. Each method takes a single lock.
pub struct Peers {
    dialer: Dialer,
    port: u16,
    view: Mutex<MembershipView>,
    clients: Mutex<HashMap<String, Arc<PeerClient>>>,
    consensus_clients: Mutex<HashMap<String, Arc<PeerClient>>>,
    pause_monitor: Mutex<PauseMonitor>,
    announcements: Mutex<AddressAnnouncements>,
}

impl Peers {
    /// Returns the peers of a controller that has no connections yet. `port` is the port on which all of them listen
    /// for peers.
    pub fn new(dialer: Dialer, port: u16, view: MembershipView) -> Peers {
        Peers {
            dialer,
            port,
            view: Mutex::new(view),
            clients: Mutex::default(),
            consensus_clients: Mutex::default(),
            pause_monitor: Mutex::default(),
            announcements: Mutex::default(),
        }
    }

    /// Returns the dialer for connections from this process.
    pub fn dialer(&self) -> Dialer {
        self.dialer
    }

    /// Returns the result of `read` on the locked membership view.
    pub fn read<T>(&self, read: impl FnOnce(&MembershipView) -> T) -> T {
        read(&self.view.lock())
    }

    /// Updates the membership view under its lock.
    pub fn update<T>(&self, update: impl FnOnce(&mut MembershipView) -> T) -> T {
        update(&mut self.view.lock())
    }

    /// Returns the connection to a controller for heartbeats, endpoint lists and other messages that are not urgent.
    pub fn client(&self, ip: &str) -> Arc<PeerClient> {
        self.client_among(&self.clients, ip)
    }

    /// Returns the connection to a controller for consensus, operator requests and committed entries. It has its own
    /// queue, so that no message that an operator waits for is queued behind an endpoint list.
    pub fn consensus_client(&self, ip: &str) -> Arc<PeerClient> {
        self.client_among(&self.consensus_clients, ip)
    }

    /// Returns the connection to a controller, dialled on first use.
    fn client_among(&self, clients: &Mutex<HashMap<String, Arc<PeerClient>>>, ip: &str) -> Arc<PeerClient> {
        let start = || Arc::new(PeerClient::start(self.dialer, format!("{ip}:{}", self.port), None));
        clients.lock().entry(ip.into()).or_insert_with(start).clone()
    }

    /// Returns the addresses of all controllers in the view, live or not.
    pub fn known_ips(&self) -> Vec<String> {
        self.view.lock().controllers.keys().cloned().collect()
    }

    /// Returns the addresses of the live controllers, including this one if the view contains it.
    pub fn live_ips(&self, now: u64) -> Vec<String> {
        let view = self.view.lock();
        view.controllers.keys().filter(|ip| view.is_live(ip, now)).cloned().collect()
    }

    /// Returns the newest protocol version that a controller supports, 0 if it is unknown.
    pub fn protocol_version(&self, ip: &str) -> u64 {
        self.view.lock().controllers.get(ip).map_or(0, |peer| peer.protocol_version)
    }

    /// Returns whether this controller is the first confirmed one in the agreed order for a name.
    pub fn is_first_confirmed(&self, name: &str, now: u64) -> bool {
        let view = self.view.lock();
        view.first_confirmed(name, now).as_deref() == Some(view.own_ip.as_str())
    }

    /// Returns whether the next heartbeat must carry these addresses of controllers. To be called once per heartbeat.
    pub fn are_addresses_due(&self, addresses: &[String]) -> bool {
        self.announcements.lock().is_due(addresses)
    }

    /// Records a tick, by which pauses of the process are detected. To be called several times per second.
    pub fn record_tick(&self) {
        self.pause_monitor.lock().record_tick(clock::now());
    }

    /// Returns whether an operator request that was just read may have been sent before a pause of this process.
    pub fn requests_may_be_stale(&self) -> bool {
        self.pause_monitor.lock().requests_may_be_stale(clock::now())
    }
}
