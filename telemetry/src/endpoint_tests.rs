//! Tests the metrics endpoint over TCP connections, and the buckets of the latency histogram.

use std::net::TcpListener;

use kernel::settings::MetricsEndpoint;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task;

use crate::{encode, latency_histogram, start};

async fn request(port: u16, request_line: &str) -> String {
    let address = format!("127.0.0.1:{port}");
    let mut stream = loop {
        match TcpStream::connect(&address).await {
            Ok(stream) => break stream,
            Err(_) => task::yield_now().await,
        }
    };
    let head = format!("{request_line} HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("the request is sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("the response is read");
    response
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener has an address").port()
}

#[tokio::test]
async fn metrics_are_served_only_for_get_at_the_configured_path() {
    let counter = Counter::<u64>::default();
    let mut registry = Registry::with_prefix("test");
    registry.register("requests", "Requests", counter.clone());
    let endpoint = MetricsEndpoint { port: free_port(), path: "/figures".into() };
    start("127.0.0.1", Some(&endpoint), move || encode(&registry));
    counter.inc_by(3);
    let text = request(endpoint.port, "GET /figures").await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.contains("test_requests_total 3\n"), "{text}");
    assert!(text.trim_end().ends_with("# EOF"), "{text}");
    assert!(request(endpoint.port, "GET /metrics").await.starts_with("HTTP/1.1 404"));
    assert!(request(endpoint.port, "POST /figures").await.starts_with("HTTP/1.1 405"));
}

#[test]
fn latency_histogram_covers_1_ms_to_16_s() {
    let histogram = latency_histogram();
    histogram.observe(0.0005);
    histogram.observe(16.0);
    let mut registry = Registry::default();
    registry.register("seconds", "Times", histogram);
    let text = encode(&registry);
    assert!(text.contains("seconds_bucket{le=\"0.001\"} 1\n"), "{text}");
    assert!(text.contains("seconds_bucket{le=\"16.384\"} 2\n"), "{text}");
}
