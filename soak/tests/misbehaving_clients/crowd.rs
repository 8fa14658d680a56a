//! A crowd of clients that all send the same bytes at once and then keep their connections open.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Weak};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// After this time without progress a client stops to send and keeps its connection open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a client that reads its answer waits for it.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval between two bytes of a client that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(200);
const THREAD_STACK_BYTES: usize = 64 * 1024;

/// What a client does once it has sent its bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Then {
    /// It neither reads nor closes its connection.
    StaysSilent,
    /// It reads until its connection ends or has been silent for a while.
    Reads,
    /// It sends a byte now and then.
    Trickles,
}

/// The connections of a crowd; they are closed when it is dropped.
pub struct Crowd {
    connections: Arc<Vec<TcpStream>>,
    trickle: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Lets `size` clients connect and send `message`. Returns once each has sent it, was cut off or is held up.
    pub fn gather(size: usize, address: &str, message: Vec<u8>, then: Then) -> Crowd {
        let message = Arc::new(message);
        let clients: Vec<_> = (0..size)
            .map(|_| {
                let (address, message) = (address.to_string(), message.clone());
                let builder = thread::Builder::new().stack_size(THREAD_STACK_BYTES);
                builder.spawn(move || send(&address, &message, then)).expect("a thread")
            })
            .collect();
        let connections = clients.into_iter().filter_map(|client| client.join().expect("the client did not panic"));
        let connections: Arc<Vec<TcpStream>> = Arc::new(connections.collect());
        let trickle = (then == Then::Trickles).then(|| {
            let connections = Arc::downgrade(&connections);
            thread::spawn(move || trickle(&connections))
        });
        Crowd { connections, trickle }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.connections = Arc::default();
        if let Some(trickle) = self.trickle.take() {
            let _ = trickle.join();
        }
    }
}

/// Sends a byte on each connection at intervals, until the crowd is dropped.
fn trickle(connections: &Weak<Vec<TcpStream>>) {
    while let Some(connections) = connections.upgrade() {
        for mut stream in connections.iter() {
            let _ = stream.write(b"b");
        }
        drop(connections);
        thread::sleep(TRICKLE_INTERVAL);
    }
}

fn send(address: &str, message: &[u8], then: Then) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let was_sent = stream.write_all(message).is_ok();
    if was_sent && then == Then::Reads {
        let mut buffer = [0; 16 * 1024];
        while stream.read(&mut buffer).is_ok_and(|length| length > 0) {}
    }
    Some(stream)
}

/// Returns a request with a body of `sent` bytes, announced as `announced` bytes.
pub fn with_length(start: &str, fields: &str, announced: usize, sent: usize) -> Vec<u8> {
    let head = format!("{start} HTTP/1.1\r\n{fields}Content-Length: {announced}\r\n\r\n");
    [head.into_bytes(), vec![b'b'; sent]].concat()
}

/// Returns a request whose body of `sent` bytes comes in chunks of `size` bytes and does not end.
pub fn in_chunks(start: &str, fields: &str, size: usize, sent: usize) -> Vec<u8> {
    let mut message = chunked_head(start, fields);
    let chunk = format!("{size:x}\r\n{}\r\n", "b".repeat(size));
    for _ in 0..sent / size {
        message.extend_from_slice(chunk.as_bytes());
    }
    message
}

/// Returns a request with the beginning of one chunk, of which `sent` bytes of `announced` are sent.
pub fn in_one_chunk(start: &str, fields: &str, announced: usize, sent: usize) -> Vec<u8> {
    let mut message = chunked_head(start, fields);
    message.extend_from_slice(format!("{announced:x}\r\n").as_bytes());
    message.resize(message.len() + sent, b'b');
    message
}

fn chunked_head(start: &str, fields: &str) -> Vec<u8> {
    format!("{start} HTTP/1.1\r\n{fields}Transfer-Encoding: chunked\r\n\r\n").into_bytes()
}

/// Returns the first `length` bytes of a head that does not end.
pub fn unfinished_head(start: &str, length: usize) -> Vec<u8> {
    let mut head = format!("{start} HTTP/1.1\r\nHost: one.example\r\nX-Filler: ").into_bytes();
    head.resize(length.max(head.len()), b'h');
    head
}
