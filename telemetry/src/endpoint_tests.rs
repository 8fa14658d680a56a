//! The endpoint over a real connection.
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn call(port: u16, line: &str) -> String {
    let address = format!("127.0.0.1:{port}");
    let mut stream = loop {
        match tokio::net::TcpStream::connect(&address).await {
            Ok(stream) => break stream,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let request = format!("{line} HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("read");
    text
}

fn free_port() -> u16 {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address").port()
}

#[tokio::test]
async fn figures_stand_at_the_path_and_nowhere_else() {
    let counter = prometheus_client::metrics::counter::Counter::<u64>::default();
    let mut registry = prometheus_client::registry::Registry::with_prefix("test");
    registry.register("requests", "Requests", counter.clone());
    let endpoint = kernel::env::MetricsEndpoint { port: free_port(), path: "/figures".into() };
    super::start("127.0.0.1", Some(&endpoint), move || super::encode(&registry));
    counter.inc_by(3);
    let text = call(endpoint.port, "GET /figures").await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.contains("test_requests_total 3\n"), "{text}");
    assert!(text.trim_end().ends_with("# EOF"), "{text}");
    assert!(call(endpoint.port, "GET /metrics").await.starts_with("HTTP/1.1 404"));
    assert!(call(endpoint.port, "POST /figures").await.starts_with("HTTP/1.1 405"));
}

#[test]
fn a_histogram_of_times_covers_a_millisecond_to_sixteen_seconds() {
    let histogram = super::latency_histogram();
    histogram.observe(0.0005);
    histogram.observe(16.0);
    let mut registry = prometheus_client::registry::Registry::default();
    registry.register("seconds", "Times", histogram);
    let text = super::encode(&registry);
    assert!(text.contains("seconds_bucket{le=\"0.001\"} 1\n"), "{text}");
    assert!(text.contains("seconds_bucket{le=\"16.384\"} 2\n"), "{text}");
}
