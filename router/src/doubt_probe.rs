//! One question to an engine, on a connection of its own.

/// How long the answer may take.
pub const WAIT_MS: u64 = 250;

/// Some: it answered, with its id where it gave one.
pub async fn probe(addr: &str) -> Option<Option<String>> {
    let wait = std::time::Duration::from_millis(WAIT_MS);
    tokio::time::timeout(wait, report(addr)).await.ok()?
}

async fn report(addr: &str) -> Option<Option<String>> {
    let stream = protocol::sock::dial(addr, WAIT_MS, protocol::sock::SILENCE_MS).await.ok()?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut link, conn) = hyper::client::conn::http1::handshake(io).await.ok()?;
    tokio::spawn(async move {
        let _ = conn.await;
    });
    let mut request = http::Request::new(http_body_util::Empty::<bytes::Bytes>::new());
    *request.uri_mut() = http::Uri::from_static("/report");
    request.headers_mut().insert(http::header::HOST, http::HeaderValue::from_str(addr).ok()?);
    request.headers_mut().insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
    let reply = link.send_request(request).await.ok()?;
    let name = reply.headers().get(protocol::word::INSTANCE).and_then(|value| value.to_str().ok());
    Some(name.map(str::to_string))
}
