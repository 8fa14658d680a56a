//! Opens TCP connections to daemons and engines, from a configured local address if one is set.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::net::{TcpSocket, TcpStream};
use tokio::time;

use crate::socket;

/// Opens TCP connections, all from the same local address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dialer {
    /// The local address to connect from. `None`: the system chooses one by its routes.
    source: Option<Ipv4Addr>,
}

impl Dialer {
    /// Returns a dialer that connects from this local address. `None`: the system chooses one.
    pub fn new(source: Option<Ipv4Addr>) -> Dialer {
        Dialer { source }
    }

    /// Connects within `connect_timeout_ms` milliseconds. The connection counts as broken once sent data has stayed
    /// unacknowledged for `ack_timeout_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// If the peer can't be reached in time, the source address is not a local one, or `addr` is not a valid address.
    pub async fn connect(self, addr: &str, connect_timeout_ms: u64, ack_timeout_ms: u64) -> io::Result<TcpStream> {
        let stream = match time::timeout(Duration::from_millis(connect_timeout_ms), self.open(addr)).await {
            Ok(stream) => stream?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        socket::configure(&stream, ack_timeout_ms);
        Ok(stream)
    }

    async fn open(self, addr: &str) -> io::Result<TcpStream> {
        let Some(source) = self.source else { return TcpStream::connect(addr).await };
        let addr: SocketAddr = addr.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(IpAddr::V4(source), 0))?;
        socket.connect(addr).await
    }
}

#[cfg(test)]
#[path = "dialer_tests.rs"]
mod tests;
