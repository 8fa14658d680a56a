//! What a part needs that talks to other controllers, without the rest of the process.

use std::sync::Arc;

use protocol::link::PeerClient;

/// The other controllers, and the connections to them.
pub trait PeerNetwork: Send + Sync + 'static {
    /// Returns the addresses of all controllers that are known, but for the own one.
    fn known_peers(&self) -> Vec<String>;

    /// Returns the newest protocol version that a controller reads, 0 if it was never heard.
    fn protocol_version(&self, ip: &str) -> u64;

    /// Returns the zone of a controller, empty if it is not known.
    fn zone_of(&self, ip: &str) -> String;

    /// Returns the connection that is kept for consensus and replication, dialled at the first use.
    fn consensus_client(&self, ip: &str) -> Arc<PeerClient>;
}
