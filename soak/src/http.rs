//! The little of HTTP/1.1 that the stand-ins need: reading one message, writing one with a length.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A message as it was read: the first line, the header fields, and the body, of which `complete` tells whether all came.
#[derive(Debug, Default)]
pub struct HttpMessage {
    /// The request line or the status line.
    pub first_line: String,
    fields: Vec<(String, String)>,
    /// The body without its framing.
    pub body: Vec<u8>,
    /// Whether the message came to its end.
    pub complete: bool,
}

impl HttpMessage {
    /// Returns the value of a header field, empty where there is none.
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(held, _)| held.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the status of a response, 0 where the first line has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a line without its end. `None` at the end of the connection.
async fn read_line(stream: &mut (impl AsyncRead + Unpin)) -> Option<String> {
    let mut line = Vec::new();
    loop {
        match stream.read_u8().await.ok()? {
            b'\n' => return Some(String::from_utf8_lossy(&line).trim_end().to_string()),
            byte => line.push(byte),
        }
    }
}

/// Reads a message. `None`: the connection ended before its head was there. A body that breaks off leaves `complete` false.
pub async fn read_message(stream: &mut (impl AsyncRead + Unpin)) -> Option<HttpMessage> {
    let mut message = HttpMessage { first_line: read_line(stream).await?, ..HttpMessage::default() };
    loop {
        let line = read_line(stream).await?;
        let Some((name, value)) = line.split_once(':') else { break };
        message.fields.push((name.to_string(), value.trim().to_string()));
    }
    message.complete = read_body(stream, &mut message).await.is_some();
    Some(message)
}

async fn read_body(stream: &mut (impl AsyncRead + Unpin), message: &mut HttpMessage) -> Option<()> {
    if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
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
    let size = message.field("content-length").parse().unwrap_or(0);
    message.body.resize(size, 0);
    stream.read_exact(&mut message.body).await.ok()?;
    Some(())
}

/// Returns a request as text. `fields` are complete header lines.
pub fn request(method: &str, path: &str, fields: &str, body: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Writes a response with a length.
pub async fn respond(stream: &mut TcpStream, status: &str, fields: &str, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).await
}

/// Sends one request on a connection of its own. `None`: no complete response came.
pub async fn call(address: &str, text: &str) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    read_message(&mut stream).await.filter(|message| message.complete)
}
