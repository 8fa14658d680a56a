//! Sockets with the options that every connection of ours carries.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time;

pub const IO_TIMEOUT_MS: u64 = 2500;

pub fn configure(stream: &TcpStream, silence_ms: u64) {
    let _ = stream.set_nodelay(true);
    let sock = SockRef::from(stream);
    let _ = sock.set_tcp_user_timeout(Some(Duration::from_millis(silence_ms)));
}

pub async fn connect(addr: &str, wait_ms: u64, silence_ms: u64) -> io::Result<TcpStream> {
    let wait = Duration::from_millis(wait_ms);
    let stream = match time::timeout(wait, TcpStream::connect(addr)).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    configure(&stream, silence_ms);
    Ok(stream)
}

pub fn listen(addr: &str) -> io::Result<TcpListener> {
    let addr: SocketAddr = addr.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidInput))?;
    let sock = TcpSocket::new_v4()?;
    sock.set_reuseaddr(true)?;
    sock.bind(addr)?;
    sock.listen(1024)
}

/// The pause before a socket that can't be had is tried again.
const RETRY: Duration = Duration::from_millis(100);

/// Accepts for ever; over `room` connections at once the next waits in the kernel's queue.
pub async fn accept_each<F: Future<Output = ()> + Send + 'static>(
    addr: &str,
    room: usize,
    each: impl Fn(TcpStream) -> F,
) {
    let places = Arc::new(Semaphore::new(room));
    loop {
        let Ok(listener) = listen(addr) else {
            time::sleep(RETRY).await;
            continue;
        };
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                time::sleep(RETRY).await;
                continue;
            };
            let work = each(stream);
            tokio::spawn(async move {
                work.await;
                drop(place);
            });
        }
    }
}
