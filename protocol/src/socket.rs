//! Sockets with the options shared by all connections between daemons and to engines.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;

/// Timeout in milliseconds after which unacknowledged sent data makes a connection count as broken.
pub const IO_TIMEOUT_MS: u64 = 2500;

/// Sets the options of a connection: `TCP_NODELAY`, and a `TCP_USER_TIMEOUT` of `ack_timeout_ms` milliseconds.
pub fn configure(stream: &TcpStream, ack_timeout_ms: u64) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(Duration::from_millis(ack_timeout_ms)));
}

/// Listens on an IPv4 address, even while connections of an earlier listener are still closing.
///
/// # Errors
///
/// If the text is not a socket address, or another socket listens there.
pub fn listen(addr: &str) -> io::Result<TcpListener> {
    let addr: SocketAddr = addr.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Delay before a failed listen or accept is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Listens on an address and runs `handler` for every connection, forever. While `max_connections` are open, further
/// ones wait in the kernel's queue.
pub async fn accept_each<F: Future<Output = ()> + Send + 'static>(
    addr: &str,
    max_connections: usize,
    handler: impl Fn(TcpStream) -> F,
) {
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(listener) = listen(addr) else {
            time::sleep(RETRY_DELAY).await;
            continue;
        };
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                time::sleep(RETRY_DELAY).await;
                continue;
            };
            let task = handler(stream);
            tokio::spawn(async move {
                task.await;
                drop(permit);
            });
        }
    }
}
