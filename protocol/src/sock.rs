//! Sockets with the options that every connection of ours carries.

pub const SILENCE_MS: u64 = 2500;

pub fn tune(stream: &tokio::net::TcpStream, silence_ms: u64) {
    let _ = stream.set_nodelay(true);
    let sock = socket2::SockRef::from(stream);
    let _ = sock.set_tcp_user_timeout(Some(std::time::Duration::from_millis(silence_ms)));
}

pub async fn dial(addr: &str, wait_ms: u64, silence_ms: u64) -> std::io::Result<tokio::net::TcpStream> {
    let wait = std::time::Duration::from_millis(wait_ms);
    let stream = match tokio::time::timeout(wait, tokio::net::TcpStream::connect(addr)).await {
        Ok(stream) => stream?,
        Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
    };
    tune(&stream, silence_ms);
    Ok(stream)
}

pub fn listen(addr: &str) -> std::io::Result<tokio::net::TcpListener> {
    let addr: std::net::SocketAddr =
        addr.parse().map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidInput))?;
    let sock = tokio::net::TcpSocket::new_v4()?;
    sock.set_reuseaddr(true)?;
    sock.bind(addr)?;
    sock.listen(1024)
}

/// The pause before a socket that can't be had is tried again.
const RETRY: std::time::Duration = std::time::Duration::from_millis(100);

/// Accepts for ever; over `room` connections at once the next waits in the kernel's queue.
pub async fn accept_each<F: std::future::Future<Output = ()> + Send + 'static>(
    addr: &str,
    room: usize,
    each: impl Fn(tokio::net::TcpStream) -> F,
) {
    let places = std::sync::Arc::new(tokio::sync::Semaphore::new(room));
    loop {
        let Ok(listener) = listen(addr) else {
            tokio::time::sleep(RETRY).await;
            continue;
        };
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(RETRY).await;
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
