//! An HTTP server that answers with fixed replies.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use protocol::socket;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What the test server does after it has read a request.
#[derive(Clone, Copy)]
pub enum Reply {
    /// It sends this text and keeps the connection open.
    Send(&'static str),
    /// It sends this text and closes the connection.
    SendAndClose(&'static str),
    /// It closes the connection.
    Close,
}

/// A server that uses its replies in order across all connections, and counts the requests that it reads and the
/// connections that it accepts.
pub struct Server {
    /// Its address, `ip:port`.
    pub address: String,
    /// The number of requests that it has read.
    pub requests: Arc<AtomicUsize>,
    /// The number of connections that it has accepted.
    pub connections: Arc<AtomicUsize>,
}

/// Starts a server.
pub async fn server(replies: &'static [Reply]) -> Server {
    let listener = socket::listen("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address").to_string();
    let (requests, connections) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (request_count, connection_count) = (requests.clone(), connections.clone());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            connection_count.fetch_add(1, Ordering::SeqCst);
            let request_count = request_count.clone();
            tokio::spawn(async move {
                while read_request(&mut stream).await {
                    let index = request_count.fetch_add(1, Ordering::SeqCst);
                    let (text, keep_open) = match replies.get(index) {
                        Some(Reply::Send(text)) => (text, true),
                        Some(Reply::SendAndClose(text)) => (text, false),
                        Some(Reply::Close) | None => return,
                    };
                    if stream.write_all(text.as_bytes()).await.is_err() || !keep_open {
                        return;
                    }
                }
            });
        }
    });
    Server { address, requests, connections }
}

/// Reads to the end of a request's headers. That is enough here, since the bodies have at most one byte.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) => text.extend_from_slice(&buffer[..count]),
            _ => return false,
        }
        if text.windows(4).any(|window| window == b"\r\n\r\n") {
            return true;
        }
    }
}

/// Responses whose head is invalid or whose body is incomplete. Each body is a complete JSON text all the same, and would
/// be used if nobody checked.
pub const BROKEN: [Reply; 6] = [
    Reply::SendAndClose("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n{\"instance_list\":[]}"),
    Reply::SendAndClose("HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\n{\"instance_list\":[]}"),
    Reply::SendAndClose(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n14\r\n{\"instance_list\":[]}\r\n0\r\n\r\n",
    ),
    Reply::SendAndClose(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2x\r\n\r\n14\r\n{\"instance_list\":[]}\r\n0\r\n\r\n",
    ),
    Reply::SendAndClose("HTTP/1.1 999 OK\r\ncontent-length: 20\r\n\r\n{\"instance_list\":[]}"),
    Reply::SendAndClose("HTTP/1.1 000 OK\r\ncontent-length: 20\r\n\r\n{\"instance_list\":[]}"),
];
