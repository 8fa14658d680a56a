use std::sync::atomic::Ordering;
use std::time::Duration;

use batch::{AttemptOutcome, Job, Urgency};
use reqwest::Client;

use super::{at_most_once, reads};
use crate::batches::job_request;
use crate::testing::http_server::{server, Reply, Server, BROKEN};

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

#[tokio::test]
async fn outcome_of_a_job_with_a_broken_response_is_unknown() {
    let server = server(&BROKEN).await;
    let client = client();
    for index in 0..BROKEN.len() {
        let outcome = send(&server, &client).await;
        assert!(matches!(outcome, AttemptOutcome::Unknown), "response {index}: {outcome:?}");
    }
    assert_eq!(server.requests.load(Ordering::SeqCst), BROKEN.len());
}
