//! Broken responses are errors, whenever the connection ends; complete ones are returned.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use reqwest::Client;
use socket2::SockRef;

use super::{send, CallError};

/// Size of the upload in bytes, larger than the buffers of a connection.
const UPLOAD_BYTES: usize = 8 << 20;
/// Bytes of the upload that are read before a reset during it.
const BYTES_BEFORE_RESET: u64 = 64 << 10;
/// How often each reset is repeated.
const REPETITIONS: usize = 40;
/// Limit on the size of responses.
const MAX_RESPONSE_BYTES: usize = 1 << 10;

/// How a server ends a connection after its response.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    /// It reads the request and closes the connection.
    Close,
    /// It resets the connection after it has read this many bytes of the request's body.
    ResetAfter(u64),
}

/// Starts a server in threads of its own that sends `response` once it has read the head of a request. Returns its URL.
fn start_server(response: String, end: ConnectionEnd) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let response = response.clone();
            thread::spawn(move || serve(stream, &response, end));
        }
    });
    format!("http://{address}/")
}

fn serve(mut stream: TcpStream, response: &str, end: ConnectionEnd) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::from("head");
    while !line.trim().is_empty() {
        line.clear();
        reader.read_line(&mut line)?;
    }
    stream.write_all(response.as_bytes())?;
    match end {
        ConnectionEnd::Close => {
            stream.shutdown(Shutdown::Write)?;
            io::copy(&mut reader, &mut io::sink()).map(drop)
        }
        ConnectionEnd::ResetAfter(bytes) => {
            io::copy(&mut reader.take(bytes), &mut io::sink())?;
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))
        }
    }
}

/// Uploads `bytes` and returns the body of the response.
async fn upload(url: &str, bytes: usize) -> Result<Vec<u8>, CallError> {
    let client = Client::builder().no_proxy().build().expect("a client");
    let response = send(client.post(url).body("x".repeat(bytes))).await?;
    response.read_body(MAX_RESPONSE_BYTES).await
}

fn response(status: &str, lines: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{lines}\r\n{body}")
}

#[tokio::test]
async fn broken_response_is_an_error() {
    let chunks = "4\r\nbody\r\n0\r\n\r\n";
    let broken = [
        response("200 OK", "Transfer-Encoding: gzip\r\n", "body"),
        response("200 OK", "Transfer-Encoding: identity\r\n", "body"),
        response("200 OK", "Transfer-Encoding: chunkee\r\n", chunks),
        response("200 OK", "Transfer-Encoding: gzip, chunked\r\n", chunks),
        response("200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", chunks),
        response("200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", chunks),
        response("200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 4x\r\n", chunks),
        response("200 OK", "Content-Length: 4x\r\n", "body"),
        response("200 OK", "Content-Length: 4\r\nContent-Length: 3\r\n", "body"),
        response("200 OK", "Content-Length: 5\r\n", "body"),
        response("200 OK", "Content-Length : 4\r\n", "body"),
        response("200 OK", "Content-L\u{1}ngth: 4\r\n", "body"),
        response("200 OK", "Content-Length 4\r\n", "body"),
        response("200 OK", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n"),
        response("000 OK", "Content-Length: 4\r\n", "body"),
        response("600 OK", "Content-Length: 4\r\n", "body"),
        response("204 OK", "Content-Length: 4\r\n", "body"),
    ];
    for response in broken {
        let result = upload(&start_server(response.clone(), ConnectionEnd::Close), 1).await;
        assert!(result.is_err(), "{response:?}: {result:?}");
    }
}

#[tokio::test]
async fn complete_response_is_returned() {
    let chunks = "4\r\nbody\r\n0\r\n\r\n";
    let complete = [
        response("200 OK", "Transfer-Encoding: Chunked\r\n", chunks),
        response("200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", chunks),
        response("200 OK", "Content-Length: 4\r\n", "body"),
        response("200 OK", "Content-Length: 4, 4\r\n", "body"),
        response("503 OK", "Content-Length: 4\r\nContent-Length: 4\r\n", "body"),
        response("200 OK", "", "body"),
    ];
    for response in complete {
        let result = upload(&start_server(response.clone(), ConnectionEnd::Close), 1).await;
        assert_eq!(result.ok().as_deref(), Some(&b"body"[..]), "{response:?}");
    }
}

#[tokio::test]
async fn response_that_is_too_large_is_an_error() {
    let body = "x".repeat(MAX_RESPONSE_BYTES + 1);
    let url = start_server(response("200 OK", "", &body), ConnectionEnd::Close);
    assert!(matches!(upload(&url, 1).await, Err(CallError::BodyTooLarge { .. })));
}

#[tokio::test]
async fn response_that_is_reset_is_an_error() {
    let truncated = [
        response("200 OK", "", "body"),
        response("200 OK", "Content-Length: 5\r\n", "body"),
        response("200 OK", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n"),
    ];
    for response in truncated {
        for read_bytes in [0, BYTES_BEFORE_RESET, UPLOAD_BYTES as u64] {
            let url = start_server(response.clone(), ConnectionEnd::ResetAfter(read_bytes));
            for _ in 0..REPETITIONS {
                let result = upload(&url, UPLOAD_BYTES).await;
                assert!(result.is_err(), "{response:?}, reset after {read_bytes}: {result:?}");
            }
        }
    }
}
