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

/// Delay before a failed listen is retried.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay before a failed accept is retried.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Listens on an address, which may take some tries, and runs `handler` for every connection, forever. While
/// `max_connections` are open, further ones wait in the kernel's queue.
pub async fn accept_each<F: Future<Output = ()> + Send + 'static>(
    addr: &str,
    max_connections: usize,
    handler: impl Fn(TcpStream) -> F,
) {
    let listener = loop {
        match listen(addr) {
            Ok(listener) => break listener,
            Err(_) => time::sleep(LISTEN_RETRY_DELAY).await,
        }
    };
    accept_from(listener, max_connections, handler).await;
}

/// Does the same for a listener.
pub async fn accept_from<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    max_connections: usize,
    handler: impl Fn(TcpStream) -> F,
) {
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            // Most often, the process is out of file descriptors.
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let task = handler(stream);
        tokio::spawn(async move {
            task.await;
            drop(permit);
        });
    }
}
