use std::time::Duration;

use super::{fetch_page, stalled, CALL_TIMEOUT_MS, STALL_TOLERANCE_MS};
use crate::http_client;
use crate::testing::http_server::{server, Reply, BROKEN};

#[test]
fn a_step_is_stalled_only_beyond_its_limit_and_the_tolerance() {
    assert!(!stalled(1000, CALL_TIMEOUT_MS, 1000));
    assert!(!stalled(1000, CALL_TIMEOUT_MS, 1000 + CALL_TIMEOUT_MS + STALL_TOLERANCE_MS));
    assert!(stalled(1000, CALL_TIMEOUT_MS, 1001 + CALL_TIMEOUT_MS + STALL_TOLERANCE_MS));
    assert!(stalled(1000, 100, 21_000), "the process was suspended for 20 s between two pages");
}

#[tokio::test]
async fn broken_response_is_no_page() {
    let client = http_client::reads(None, Duration::from_secs(10)).build().expect("a valid client");
    let platform = server(&BROKEN).await;
    for index in 0..BROKEN.len() {
        let page = fetch_page(&client, &format!("http://{}/instances", platform.address)).await;
        assert!(page.is_err(), "response {index}");
    }
    const COMPLETE: [Reply; 1] = [Reply::Send(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n26\r\n{\"instance_list\":[],\"next_token\":null}\r\n0\r\n\r\n",
    )];
    let platform = server(&COMPLETE).await;
    let page = fetch_page(&client, &format!("http://{}/instances", platform.address)).await;
    assert!(matches!(page, Ok(Some(_))));
}
