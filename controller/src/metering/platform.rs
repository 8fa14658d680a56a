//! The call that reports the counts of a window to the platform.

use std::time::Duration;

use metering::ExportWindow;
use reqwest::{Client, StatusCode};
use serde_json::{Map, Value};

use crate::http_client;
use std::net::Ipv4Addr;

/// Connect timeout for the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent bytes of a call may stay unacknowledged. Together with `CONNECT_TIMEOUT` it is shorter than the time
/// for which an owner may act on its last confirmation: the next owner waits twice that time before it acts.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call, including its response.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Why a call failed. The platform may have accepted the counts nevertheless; a retry sends identical bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// There was no response, or one whose head is invalid.
    Unanswered,
    /// The platform rejected the call because of its rate limit.
    RateLimited,
    /// The platform responded with this status.
    Status(u16),
}

/// The role owner on whose behalf a call is made.
pub struct RoleOwner<'a> {
    /// The name of this machine.
    pub node: &'a str,
    /// The epoch of the role, used as the fencing token.
    pub epoch: u64,
}

/// A client of the platform's usage API.
pub struct Platform {
    client: Client,
    url: String,
}

impl Platform {
    /// Creates a client for the platform at `address`; `None` if the HTTP client cannot be built.
    pub fn new(source: Option<Ipv4Addr>, address: &str) -> Option<Platform> {
        let client =
            http_client::at_most_once(source, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).timeout(CALL_TIMEOUT).build();
        Some(Platform { client: client.ok()?, url: format!("http://{address}/usage") })
    }

    /// Reports the counts of a window.
    ///
    /// # Errors
    ///
    /// Fails if there was no response or its status was not a success.
    pub async fn report(&self, role_owner: &RoleOwner<'_>, window: &ExportWindow) -> Result<(), ReportError> {
        let request = self
            .client
            .post(&self.url)
            .header("duty-holder", role_owner.node)
            .header("fence-token", role_owner.epoch.to_string())
            .header("content-type", "application/json")
            .body(body(window));
        let response = http_calls::send(request).await.map_err(|_| ReportError::Unanswered)?;
        match response.status() {
            status if status.is_success() => Ok(()),
            StatusCode::TOO_MANY_REQUESTS => Err(ReportError::RateLimited),
            status => Err(ReportError::Status(status.as_u16())),
        }
    }
}

/// Returns the body of the call. It contains the same bytes regardless of the sender.
pub fn body(window: &ExportWindow) -> String {
    let counts: Map<String, Value> =
        window.counts.iter().map(|entry| (entry.tenant.clone(), Value::from(entry.count))).collect();
    serde_json::json!({ "window_id": window.window, "count_table": counts }).to_string()
}

#[cfg(test)]
#[path = "platform_tests.rs"]
mod tests;
