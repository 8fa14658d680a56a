//! The interface through which a component talks to other controllers, independent of the rest of the process.

use std::sync::Arc;

use protocol::link::PeerClient;
use protocol::message::Member;
use protocol::Dialer;

/// The other controllers, and the connections to them.
pub trait PeerNetwork: Send + Sync + 'static {
    /// Returns the addresses of all known controllers except this one.
    fn known_peers(&self) -> Vec<String>;

    /// Returns the newest protocol version that a controller supports, 0 if it is unknown.
    fn protocol_version(&self, ip: &str) -> u64;

    /// Returns the zone of a controller, empty if it is unknown.
    fn zone_of(&self, ip: &str) -> String;

    /// Returns the other core members.
    fn core_members(&self) -> Vec<Member>;

    /// Returns the addresses of a few processes of a zone other than controllers, which answer HTTP requests: engines
    /// and routers. Consecutive calls return different ones.
    fn probe_targets_in(&self, zone: &str) -> Vec<String>;

    /// Returns the dialer for connections from this process.
    fn dialer(&self) -> Dialer;

    /// Returns the connection to a controller for consensus and replication, dialled on first use.
    fn consensus_client(&self, ip: &str) -> Arc<PeerClient>;
}
