//! TCP relays on the advertised addresses of daemons, which simulate network partitions between zones.
//!
//! A daemon behind a relay listens on a separate address. All daemons connect from their advertised addresses, so that
//! a relay knows the zones of both ends of a connection.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch::{self, Receiver, Sender};

use crate::fleet::Network;

/// Capacity of the buffer for one direction of a connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// How a partition affects connections between the zone and the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionKind {
    /// Bytes in both directions are delayed until the partition heals.
    Silent,
    /// Bytes that leave the zone are delayed until the partition heals; bytes that enter it pass.
    OneWay,
    /// Open and new connections are reset.
    Reset,
    /// Open connections continue; new ones are reset.
    Refused,
}

/// All kinds, for random selection.
pub const PARTITION_KINDS: [PartitionKind; 4] =
    [PartitionKind::Silent, PartitionKind::OneWay, PartitionKind::Reset, PartitionKind::Refused];

/// A zone that is partitioned from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partition {
    /// The index of the zone.
    pub zone: usize,
    /// The effect on connections to other zones.
    pub kind: PartitionKind,
}

impl Partition {
    /// Returns whether bytes from one zone to another are delayed.
    fn delays(self, from: usize, to: usize) -> bool {
        let crosses = from != to && (from == self.zone || to == self.zone);
        match self.kind {
            PartitionKind::Silent => crosses,
            PartitionKind::OneWay => crosses && from == self.zone,
            PartitionKind::Reset | PartitionKind::Refused => false,
        }
    }

    /// Returns whether open connections between two zones are reset.
    fn resets(self, one: usize, other: usize) -> bool {
        self.kind == PartitionKind::Reset && one != other && (one == self.zone || other == self.zone)
    }

    /// Returns whether new connections between two zones are reset.
    fn rejects(self, one: usize, other: usize) -> bool {
        let is_rejecting = matches!(self.kind, PartitionKind::Reset | PartitionKind::Refused);
        is_rejecting && one != other && (one == self.zone || other == self.zone)
    }
}

/// The partition in effect, if any, shared by all relays.
#[derive(Clone)]
pub struct ActivePartition(Sender<Option<Partition>>);

impl Default for ActivePartition {
    fn default() -> Self {
        ActivePartition(watch::channel(None).0)
    }
}

impl ActivePartition {
    /// Starts a partition, which replaces the one in effect.
    pub fn set(&self, partition: Partition) {
        self.0.send_replace(Some(partition));
    }

    /// Ends the partition.
    pub fn heal(&self) {
        self.0.send_replace(None);
    }
}

/// Relays connections from `advertised` to `listen_address`, where a process in the zone `zone` listens, until the task
/// is aborted. Partitions affect the connections of those clients whose addresses satisfy `is_subject`.
///
/// # Errors
///
/// When the advertised address is in use.
pub async fn serve(
    network: Network,
    advertised: &str,
    listen_address: String,
    zone: usize,
    active_partition: ActivePartition,
    is_subject: impl Fn(SocketAddr) -> bool + Send + 'static,
) -> io::Result<impl Future<Output = ()> + Send + 'static> {
    let listener = TcpListener::bind(advertised).await?;
    Ok(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else { continue };
            // The connection of a client that is not subject to partitions counts as one within the zone.
            let client = if is_subject(from) { network.zone_of(from) } else { zone };
            let zones = ConnectionZones { client, server: zone };
            tokio::spawn(relay(stream, listen_address.clone(), zones, active_partition.0.subscribe()));
        }
    })
}

/// The zones of both ends of a connection.
#[derive(Clone, Copy, Debug)]
struct ConnectionZones {
    client: usize,
    server: usize,
}

/// Relays one connection until either end closes it or a partition resets it.
async fn relay(
    mut stream: TcpStream,
    listen_address: String,
    zones: ConnectionZones,
    mut partitions: Receiver<Option<Partition>>,
) {
    let ConnectionZones { client, server } = zones;
    let is_rejected = partitions.borrow().is_some_and(|partition| partition.rejects(client, server));
    if is_rejected {
        let _ = stream.set_zero_linger();
        return;
    }
    if wait_until_passable(&mut partitions, client, server).await.is_none() {
        return;
    }
    let Ok(mut target) = TcpStream::connect(listen_address).await else { return };
    let _ = (stream.set_nodelay(true), target.set_nodelay(true));
    let is_reset = {
        let (from_client, to_client) = stream.split();
        let (from_server, to_server) = target.split();
        let forward = Direction { from: client, to: server, partitions: partitions.clone() };
        let backward = Direction { from: server, to: client, partitions: partitions.clone() };
        tokio::select! {
            () = forward.pump(from_client, to_server) => false,
            () = backward.pump(from_server, to_client) => false,
            _ = partitions.wait_for(|partition| partition.is_some_and(|partition| partition.resets(client, server))) => true,
        }
    };
    if is_reset {
        let _ = (stream.set_zero_linger(), target.set_zero_linger());
    }
}

/// Waits until no partition delays bytes from one zone to another. `None`: the run is over.
async fn wait_until_passable(partitions: &mut Receiver<Option<Partition>>, from: usize, to: usize) -> Option<()> {
    partitions
        .wait_for(|partition| !partition.is_some_and(|partition| partition.delays(from, to)))
        .await
        .ok()
        .map(|_| ())
}

/// One direction of a relayed connection, from one zone to another.
struct Direction {
    from: usize,
    to: usize,
    partitions: Receiver<Option<Partition>>,
}

impl Direction {
    /// Copies bytes until either side closes.
    async fn pump(mut self, mut reader: ReadHalf<'_>, mut writer: WriteHalf<'_>) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = match reader.read(&mut buffer).await {
                Ok(count) if count > 0 => count,
                _ => return,
            };
            if wait_until_passable(&mut self.partitions, self.from, self.to).await.is_none() {
                return;
            }
            if writer.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }
}

/// Returns the zone index of the daemon that connects from an address. The last octet is the daemon's index plus one,
/// and zones are assigned round robin by index.
pub fn zone_of_address(from: SocketAddr, zones: usize) -> usize {
    let index = match from {
        SocketAddr::V4(from) => usize::from(from.ip().octets()[3]).saturating_sub(1),
        SocketAddr::V6(_) => 0,
    };
    index % zones
}

/// Possible durations of a partition.
pub const PARTITION_DURATIONS: [Duration; 3] =
    [Duration::from_secs(8), Duration::from_secs(10), Duration::from_secs(14)];
/// Minimum time between two partitions, in which both sides merge what they counted and changed.
pub const PARTITION_GAP: Duration = Duration::from_secs(6);

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
