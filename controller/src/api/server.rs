//! The HTTP server of the operators' interface: limits its connections and the memory of its responses.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service;
use hyper_util::rt::TokioIo;
use ingress::{http_server, ConnectionLimits, MemoryBudget, Purpose};
use poem::http::uri::Scheme;
use poem::http::{Request, Response};
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, IntoResponse, Route};
use protocol::socket::{self, IO_TIMEOUT_MS};
use tokio::net::TcpStream;

use crate::api::response::ApiError;
use crate::controller::Controller;

/// The body of a response.
type Body = BoxBody<Bytes, io::Error>;

/// Serves requests until the process shuts down; it waits for the requests in flight.
pub async fn run(address: &str, routes: Arc<Route>, controller: Arc<Controller>) {
    let max_connections = ConnectionLimits::new(&controller.settings.limits).operators;
    let serve = |stream| {
        let (routes, controller) = (routes.clone(), controller.clone());
        async move { controller.shutdown.track(serve_connection(stream, routes, &controller)).await }
    };
    tokio::select! {
        () = socket::accept_each(address, max_connections, serve) => {}
        () = controller.shutdown.closing() => {}
    }
}

async fn serve_connection(stream: TcpStream, routes: Arc<Route>, controller: &Controller) {
    socket::configure(&stream, IO_TIMEOUT_MS);
    let service = service::service_fn(|request: Request<Incoming>| {
        let routes = routes.clone();
        async move { Ok::<_, Infallible>(respond(&routes, request, &controller.memory).await) }
    });
    let connection = http_server::default_builder().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = controller.shutdown.closing() => connection.as_mut().graceful_shutdown(),
    }
    // A request in flight is finished; an idle connection is closed at once.
    let _ = connection.await;
}

async fn respond(routes: &Route, request: Request<Incoming>, memory: &Arc<MemoryBudget>) -> Response<Body> {
    let origin = (LocalAddr::default(), RemoteAddr::default(), Scheme::HTTP);
    let request = poem::Request::from((request, origin.0, origin.1, origin.2));
    let response: Response<Body> = routes.get_response(request).await.into();
    charge(response, memory).await
}

/// Charges the body of a response, which stays in memory until the operator has read it. Without memory for it, the
/// response is 503.
async fn charge(response: Response<Body>, memory: &Arc<MemoryBudget>) -> Response<Body> {
    let (head, body) = response.into_parts();
    let Ok(content) = body.collect().await else { return unavailable() };
    let Ok(content) = memory.charge(content.to_bytes(), Purpose::Responses) else { return unavailable() };
    Response::from_parts(head, Full::new(content).map_err(|never| match never {}).boxed())
}

fn unavailable() -> Response<Body> {
    ApiError::unavailable("no memory for the response now").into_response().into()
}
