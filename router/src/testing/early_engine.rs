//! Fake engines that respond as soon as a request's head has arrived, and reset the connection at a chosen moment.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use protocol::message::{self, EndpointList};
use socket2::{Domain, SockRef, Socket, Type};

use crate::testing::engine::header;

/// Size of the receive buffers of an engine's connections in bytes, so small that a long upload has to wait.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Bytes of the body that are read before a reset during the upload.
const BYTES_BEFORE_RESET: u64 = 256 << 10;
/// Delay between the response and a reset after a pause.
const PAUSE: Duration = Duration::from_millis(5);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 16;

/// How an engine ends a connection after its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It resets the connection at once; nothing of the body has been read.
    ResetAtOnce,
    /// It resets the connection while the sender waits for buffer space.
    ResetAfterPause,
    /// It resets the connection after it has read a part of the body.
    ResetDuringUpload,
    /// It resets the connection after it has read the complete body.
    ResetAfterUpload,
    /// It reads the complete body and closes the connection.
    CloseAfterUpload,
    /// It ends its side of the connection, then reads the complete body.
    CloseBeforeUpload,
}

/// Returns a listener whose connections have small receive buffers.
pub fn listen_with_small_buffers() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a buffer");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&address.into()).expect("a free port");
    socket.listen(BACKLOG).expect("listening");
    socket.into()
}

/// Returns the response to a request with this attempt id, with this body.
pub type Respond = fn(&str, &str) -> String;

/// Starts an engine that responds to each request before it reads the body, and ends the connection. The body of the
/// response is `event`, or empty where a stream is resumed after that event. The engine runs in threads of its own, so
/// that a reset can fall between any two steps of the router. Returns its address.
pub fn start(respond: Respond, event: &'static str, end: ConnectionEnd) -> String {
    let listener = listen_with_small_buffers();
    let address = listener.local_addr().expect("a local address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || serve(stream, respond, event, end));
        }
    });
    address
}

/// Returns an endpoint list with one decode engine at each address.
pub fn endpoint_list(sequence: u64, addresses: &[String]) -> EndpointList {
    let entry = |(index, addr): (usize, &String)| message::Engine {
        id: format!("early-{index}"),
        service: "s".into(),
        addr: addr.clone(),
        zone: "a".into(),
        phase: "decode".into(),
        model: String::new(),
        slots: 8,
        up: true,
        cold_ms: 0,
    };
    EndpointList { zone: "a".into(), term: 1, sequence, engines: addresses.iter().enumerate().map(entry).collect() }
}

/// Serves one request.
fn serve(mut stream: TcpStream, respond: Respond, event: &str, end: ConnectionEnd) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head)? == 0 {
            return Ok(());
        }
    }
    let mut unread_bytes: u64 = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    unread_bytes -= (reader.buffer().len() as u64).min(unread_bytes);
    let body = if header(&head, "last-event-id").is_some() { "" } else { event };
    stream.write_all(respond(header(&head, "attempt-id").unwrap_or(""), body).as_bytes())?;
    let read_bytes = match end {
        ConnectionEnd::ResetAtOnce | ConnectionEnd::ResetAfterPause => 0,
        ConnectionEnd::ResetDuringUpload => unread_bytes.min(BYTES_BEFORE_RESET),
        ConnectionEnd::ResetAfterUpload | ConnectionEnd::CloseAfterUpload | ConnectionEnd::CloseBeforeUpload => {
            unread_bytes
        }
    };
    match end {
        ConnectionEnd::ResetAfterPause => thread::sleep(PAUSE),
        ConnectionEnd::CloseBeforeUpload => stream.shutdown(Shutdown::Write)?,
        _ => {}
    }
    io::copy(&mut stream.try_clone()?.take(read_bytes), &mut io::sink())?;
    match end {
        ConnectionEnd::CloseAfterUpload | ConnectionEnd::CloseBeforeUpload => Ok(()),
        _ => SockRef::from(&stream).set_linger(Some(Duration::ZERO)),
    }
}
