//! A minimal HTTP/1.1 implementation for clients and stub servers: reads one message, writes one with `Content-Length`.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request or a response that was received.
#[derive(Debug, Default)]
pub struct HttpMessage {
    /// The request line or the status line.
    pub start_line: String,
    headers: Vec<(String, String)>,
    /// The body without chunked framing.
    pub body: Vec<u8>,
    /// Whether the whole body was received.
    pub complete: bool,
}

impl HttpMessage {
    /// Returns the value of a header, or an empty string if the message has no such header.
    pub fn header(&self, name: &str) -> &str {
        let matching = self.headers.iter().find(|(field_name, _)| field_name.eq_ignore_ascii_case(name));
        matching.map_or("", |(_, value)| value)
    }

    /// Returns the status code of a response, or 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a line and strips its line ending. `None`: the connection ended.
async fn read_line(stream: &mut (impl AsyncRead + Unpin)) -> Option<String> {
    let mut line = Vec::new();
    loop {
        match stream.read_u8().await.ok()? {
            b'\n' => return Some(String::from_utf8_lossy(&line).trim_end().to_string()),
            byte => line.push(byte),
        }
    }
}

/// Reads a message. `None`: the connection ended within the headers. A truncated body leaves `complete` false.
pub async fn read_message(stream: &mut (impl AsyncRead + Unpin)) -> Option<HttpMessage> {
    let mut message = HttpMessage { start_line: read_line(stream).await?, ..HttpMessage::default() };
    loop {
        let line = read_line(stream).await?;
        let Some((name, value)) = line.split_once(':') else { break };
        message.headers.push((name.to_string(), value.trim().to_string()));
    }
    message.complete = read_body(stream, &mut message).await.is_some();
    Some(message)
}

async fn read_body(stream: &mut (impl AsyncRead + Unpin), message: &mut HttpMessage) -> Option<()> {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let size = usize::from_str_radix(read_line(stream).await?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            stream.read_exact(&mut chunk).await.ok()?;
            message.body.extend_from_slice(&chunk);
            read_line(stream).await?;
            if size == 0 {
                return Some(());
            }
        }
    }
    let size = message.header("content-length").parse().unwrap_or(0);
    message.body.resize(size, 0);
    stream.read_exact(&mut message.body).await.ok()?;
    Some(())
}

/// Formats a request. `headers` holds header lines, each with its line ending.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Writes a response with `Content-Length`. `headers` is as in [`request`].
pub async fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).await
}

/// Sends a request on a new connection. `None`: no complete response was received.
pub async fn call(address: &str, request: &str) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    read_message(&mut stream).await.filter(|message| message.complete)
}
