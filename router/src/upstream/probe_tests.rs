//! Which responses to a probe show that an engine responds.

use protocol::{socket, Dialer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::{probe, ProbeResponse};

/// Probes an engine that responds with this text and closes the connection.
async fn probe_with(response: &'static str) -> Option<ProbeResponse> {
    let listener = socket::listen("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a probe");
        let _ = stream.read(&mut [0; 1024]).await;
        let _ = stream.write_all(response.as_bytes()).await;
    });
    probe(Dialer::default(), &address).await
}

#[tokio::test]
async fn response_with_an_invalid_head_is_none() {
    let invalid = [
        "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nTransfer-Encoding: gzip\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nTransfer-Encoding: identity\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nTransfer-Encoding: chunked\r\nContent-Length: 2x\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 2x\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nInstance Id: i-1\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nInstance-Id\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 000 OK\r\nInstance-Id: i-1\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 999 OK\r\nInstance-Id: i-1\r\nContent-Length: 2\r\n\r\n{}",
    ];
    for response in invalid {
        assert!(probe_with(response).await.is_none(), "{response:?}");
    }
}

/// Guards against a cold spell that the response to a probe tells before the list does (FAILBACK).
#[tokio::test]
async fn the_remaining_cold_time_is_read() {
    for (response, cold_ms) in [
        ("HTTP/1.1 200 OK\r\nWarmup-Remaining: 2500\r\nContent-Length: 2\r\n\r\n{}", 2500),
        ("HTTP/1.1 200 OK\r\nWarmup-Remaining: soon\r\nContent-Length: 2\r\n\r\n{}", 0),
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 0),
    ] {
        assert_eq!(probe_with(response).await.expect("a response").cold_ms, cold_ms, "{response:?}");
    }
}

#[tokio::test]
async fn valid_response_of_any_status_shows_the_engine() {
    let valid = [
        "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 2, 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 503 Service Unavailable\r\nInstance-Id: i-1\r\n\r\n",
    ];
    for response in valid {
        let found = probe_with(response).await.expect("a response");
        assert!(found.may_be_from("i-1") && !found.may_be_from("i-2"), "{response:?}");
    }
}
