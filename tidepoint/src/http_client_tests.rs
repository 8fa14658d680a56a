//! A broken response of a controller is an error, a complete one is printed.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use super::get;

/// Serves one request with `response`, and closes the connection. Returns the server's address.
fn respond_once(response: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address").to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]);
        let _ = stream.write_all(response.as_bytes());
    });
    address
}

#[test]
fn broken_response_is_an_error() {
    let broken = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{}",
        "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\n{}",
    ];
    for response in broken {
        assert!(get(&respond_once(response), "/fleet").is_err(), "{response:?}");
    }
}

#[test]
fn complete_response_is_returned() {
    let complete = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2, 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\n\r\n{}",
    ];
    for response in complete {
        assert_eq!(get(&respond_once(response), "/fleet").ok().as_deref(), Some("{}"), "{response:?}");
    }
}
