//! Source addresses of connections.

use std::io;
use std::net::Ipv4Addr;

use tokio::net::TcpListener;

use super::Dialer;
use crate::socket::IO_TIMEOUT_MS;

const CONNECT_TIMEOUT_MS: u64 = 500;

/// Returns the source address that a listener sees for a connection of the dialer.
async fn observed_source(dialer: Dialer) -> io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let _stream = dialer.connect(&address, CONNECT_TIMEOUT_MS, IO_TIMEOUT_MS).await?;
    let (_, from) = listener.accept().await?;
    Ok(from.ip().to_string())
}

#[tokio::test]
async fn connect_uses_the_source_address_if_one_is_set() {
    assert_eq!(
        observed_source(Dialer::new(Some(Ipv4Addr::new(127, 0, 0, 77)))).await.expect("connected"),
        "127.0.0.77"
    );
    assert_eq!(observed_source(Dialer::default()).await.expect("connected"), "127.0.0.1");
}

#[tokio::test]
async fn connect_fails_if_the_source_address_is_not_local() {
    let dialer = Dialer::new(Some(Ipv4Addr::new(192, 0, 2, 1)));
    let error = observed_source(dialer).await.expect_err("the source address is not local");
    assert_eq!(error.kind(), io::ErrorKind::AddrNotAvailable);
}

#[tokio::test]
async fn connect_fails_if_the_target_is_not_an_address() {
    let dialer = Dialer::new(Some(Ipv4Addr::LOCALHOST));
    let error =
        dialer.connect("nowhere", CONNECT_TIMEOUT_MS, IO_TIMEOUT_MS).await.expect_err("the target is not an address");
    assert_eq!(error.kind(), io::ErrorKind::InvalidInput);
}
