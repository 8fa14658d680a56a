//! The HTTP endpoint at which a process tells its metrics.

use std::sync::Arc;

/// Scrapers that may be connected at once.
const MAX_SCRAPERS: usize = 8;
/// How long a scraper may take to send the head of a request.
const HEADER_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type Body = http_body_util::Full<bytes::Bytes>;

/// Serves `render()` at the address, if there is one, for as long as the process runs.
pub fn start(
    ip: &str,
    endpoint: Option<&kernel::env::MetricsEndpoint>,
    render: impl Fn() -> String + Send + Sync + 'static,
) {
    let Some(endpoint) = endpoint else { return };
    let address = format!("{ip}:{}", endpoint.port);
    let path: Arc<str> = endpoint.path.as_str().into();
    let render = Arc::new(render);
    tokio::spawn(async move {
        let serve = |stream| serve_connection(stream, path.clone(), render.clone());
        protocol::sock::accept_each(&address, MAX_SCRAPERS, serve).await;
    });
}

async fn serve_connection<R>(stream: tokio::net::TcpStream, path: Arc<str>, render: Arc<R>)
where
    R: Fn() -> String + Send + Sync + 'static,
{
    let service = hyper::service::service_fn(move |request: http::Request<hyper::body::Incoming>| {
        let response = respond(&request, &path, render.as_ref());
        async move { Ok::<_, std::convert::Infallible>(response) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(hyper_util::rt::TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    let _ = builder.serve_connection(hyper_util::rt::TokioIo::new(stream), service).await;
}

fn respond<B>(request: &http::Request<B>, path: &str, render: &impl Fn() -> String) -> http::Response<Body> {
    if request.uri().path() != path {
        return status(http::StatusCode::NOT_FOUND);
    }
    if request.method() != http::Method::GET {
        return status(http::StatusCode::METHOD_NOT_ALLOWED);
    }
    let mut response = http::Response::new(Body::from(render()));
    let content_type = http::HeaderValue::from_static(CONTENT_TYPE);
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}

fn status(status: http::StatusCode) -> http::Response<Body> {
    let mut response = http::Response::new(Body::default());
    *response.status_mut() = status;
    response
}
