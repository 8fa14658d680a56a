//! The HTTP endpoint at which a process serves its metrics.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{header, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service;
use hyper_util::rt::TokioIo;
use ingress::http_server;
use kernel::settings::MetricsEndpoint;
use protocol::socket;
use tokio::net::TcpStream;

/// The maximum number of concurrent scraper connections.
const MAX_SCRAPERS: usize = 8;
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

type Body = Full<Bytes>;

/// Serves the text that `render` returns at the port and path of `endpoint` for as long as the process runs; does
/// nothing without an endpoint.
///
/// Requests for other paths are answered with 404, and methods other than GET with 405.
///
/// # Panics
///
/// Panics outside a Tokio runtime.
pub fn start(ip: &str, endpoint: Option<&MetricsEndpoint>, render: impl Fn() -> String + Send + Sync + 'static) {
    let Some(endpoint) = endpoint else { return };
    let address = format!("{ip}:{}", endpoint.port);
    let path: Arc<str> = endpoint.path.as_str().into();
    let render = Arc::new(render);
    tokio::spawn(async move {
        let serve = |stream| serve_connection(stream, path.clone(), render.clone());
        socket::accept_each(&address, MAX_SCRAPERS, serve).await;
    });
}

async fn serve_connection<R>(stream: TcpStream, path: Arc<str>, render: Arc<R>)
where
    R: Fn() -> String + Send + Sync + 'static,
{
    let service = service::service_fn(move |request: Request<Incoming>| {
        let response = respond(&request, &path, render.as_ref());
        async move { Ok::<_, Infallible>(response) }
    });
    socket::configure(&stream, socket::IO_TIMEOUT_MS);
    let _ = http_server::default_builder().serve_connection(TokioIo::new(stream), service).await;
}

fn respond<B>(request: &Request<B>, path: &str, render: &impl Fn() -> String) -> Response<Body> {
    if request.uri().path() != path {
        return empty_response(StatusCode::NOT_FOUND);
    }
    if request.method() != Method::GET {
        return empty_response(StatusCode::METHOD_NOT_ALLOWED);
    }
    let mut response = Response::new(Body::from(render()));
    let content_type = HeaderValue::from_static(CONTENT_TYPE);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::default());
    *response.status_mut() = status;
    response
}

#[cfg(test)]
#[path = "endpoint_tests.rs"]
mod tests;
