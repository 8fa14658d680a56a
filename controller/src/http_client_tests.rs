use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use batch::{AttemptOutcome, Job, Urgency};
use protocol::socket;
use reqwest::Client;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{at_most_once, reads};
use crate::batches::job_request;

/// What the test server does after it has read a request.
#[derive(Clone, Copy)]
enum Reply {
    Send(&'static str),
    Close,
}

/// A server that uses its replies in order across all connections, and counts the requests that it reads and the
/// connections that it accepts.
struct Server {
    address: String,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

async fn server(replies: &'static [Reply]) -> Server {
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
                    let Some(Reply::Send(text)) = replies.get(index) else { return };
                    if stream.write_all(text.as_bytes()).await.is_err() {
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

const OK: Reply = Reply::Send("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx");
/// A redirect without a host, which leads to the same server.
const REDIRECT: Reply =
    Reply::Send("HTTP/1.1 307 Temporary Redirect\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n");

fn job(repeatable: bool) -> Job {
    Job {
        name: "j".into(),
        method: "POST".into(),
        host: "h.example".into(),
        path: "/x".into(),
        headers: Vec::new(),
        body: "b".into(),
        repeatable,
    }
}

async fn send(server: &Server, client: &Client) -> AttemptOutcome {
    job_request::send(client, &server.address, &job(false), Urgency::Background, 10_000).await
}

fn client() -> Client {
    at_most_once(None, Duration::from_secs(10), Duration::from_secs(10)).build().expect("a valid client")
}

#[tokio::test]
async fn at_most_once_client_does_not_follow_a_redirect() {
    let server = server(&[REDIRECT, OK]).await;
    let outcome = send(&server, &client()).await;
    assert!(matches!(outcome, AttemptOutcome::Completed { status: 307, .. }));
    assert_eq!(server.requests.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn at_most_once_client_does_not_retry_after_a_closed_connection() {
    let server = server(&[Reply::Close, OK]).await;
    assert!(matches!(send(&server, &client()).await, AttemptOutcome::Unknown));
    assert_eq!(server.requests.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn at_most_once_client_opens_a_connection_for_each_job() {
    let server = server(&[OK, OK, Reply::Close, OK]).await;
    let client = client();
    for _ in 0..2 {
        assert!(matches!(send(&server, &client).await, AttemptOutcome::Completed { status: 200, .. }));
    }
    assert!(matches!(send(&server, &client).await, AttemptOutcome::Unknown));
    assert_eq!(server.requests.load(Ordering::SeqCst), 3);
    assert_eq!(server.connections.load(Ordering::SeqCst), 3);
}

#[tokio::test]
async fn reads_client_does_not_follow_a_redirect() {
    let server = server(&[REDIRECT, OK]).await;
    let client = reads(None, Duration::from_secs(10)).build().expect("a valid client");
    let response = client.get(format!("http://{}/instances", server.address)).send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 307);
    assert_eq!(server.requests.load(Ordering::SeqCst), 1);
}
