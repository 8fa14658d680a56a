//! Reads the platform's list of engines, page by page, within the rate limit that all daemons share.

use std::time::Duration;

use kernel::clock;
use reqwest::{Client, StatusCode};
use tokio::time;

use crate::controller::Controller;
use crate::discovery::listing::{Listing, Page};
use crate::discovery::version_lists::ListedEngine;
use crate::metrics::PollOutcome;

/// Why a poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollError {
    /// No valid response: the platform is down or not reachable from here.
    Unreachable,
    /// The shared rate limit was exceeded, or the response was not a list.
    Refused,
    /// The process was suspended during the poll, so what was read before is too old to be published.
    Stalled,
}

impl From<PollError> for PollOutcome {
    fn from(error: PollError) -> PollOutcome {
        match error {
            PollError::Unreachable => PollOutcome::Unreachable,
            PollError::Refused => PollOutcome::Refused,
            PollError::Stalled => PollOutcome::Stalled,
        }
    }
}

/// Timeout of one call to the platform, in ms.
pub const CALL_TIMEOUT_MS: u64 = 1500;
/// A step that exceeds its time limit by more than this shows that the process was suspended, in ms.
const STALL_TOLERANCE_MS: u64 = 500;
/// The number of refused calls that a poll tolerates before it fails.
const MAX_REFUSALS: u32 = 4;
/// The maximum number of pages read in one poll.
const MAX_PAGES: usize = 1000;
/// The maximum size of one page, in bytes.
const MAX_PAGE_BYTES: usize = 16 << 20;

/// Reads all pages of a zone's list. `wants_weights` tells whether to keep the weight versions.
///
/// # Errors
///
/// Returns why the list could not be read, or is too old by now.
pub async fn read(
    controller: &Controller,
    client: &Client,
    zone: &str,
    wants_weights: bool,
) -> Result<Listing, PollError> {
    let _permit = controller.engines.poll_permit().await.ok_or(PollError::Refused)?;
    let known = controller.engines.known_list(zone);
    let mut listing = Listing::new(known);
    let mut token: Option<String> = None;
    let mut refusals = 0;
    let call_interval_ms = call_interval_ms(controller);
    loop {
        let Some(page) = fetch_page(client, &url(controller, zone, token.as_deref())).await? else {
            // Over the shared rate limit: requests the same page again and keeps the pages read so far.
            refusals += 1;
            if refusals > MAX_REFUSALS {
                return Err(PollError::Refused);
            }
            pause_between_calls(call_interval_ms * u64::from(refusals) * 2).await?;
            continue;
        };
        token = page.next_token.clone().filter(|token| !token.is_empty());
        listing.add(page, wants_weights, clock::now());
        if token.is_none() || listing.pages >= MAX_PAGES {
            return Ok(listing);
        }
        pause_between_calls(call_interval_ms).await?;
    }
}

/// Returns the interval between two calls to the platform at its shared rate limit, in ms.
fn call_interval_ms(controller: &Controller) -> u64 {
    (1000.0 / controller.settings.cloud_api.rate_per_s) as u64
}

fn url(controller: &Controller, zone: &str, token: Option<&str>) -> String {
    let address = &controller.settings.cloud_api.address;
    let page = token.map(|token| format!("&page_token={token}")).unwrap_or_default();
    format!("http://{address}/instances?zone={zone}{page}")
}

/// Fetches one page. Returns `Ok(None)` if the call was refused because of the shared rate limit.
async fn fetch_page(client: &Client, url: &str) -> Result<Option<Page>, PollError> {
    let started_at = clock::now();
    let reply = http_calls::send(client.get(url)).await.map_err(|_| PollError::Unreachable)?;
    if reply.status() == StatusCode::TOO_MANY_REQUESTS {
        return Ok(None);
    }
    if reply.status() != StatusCode::OK {
        return Err(PollError::Refused);
    }
    let body = reply.read_body(MAX_PAGE_BYTES).await.map_err(|_| PollError::Unreachable)?;
    let page = serde_json::from_slice(&body).map_err(|_| PollError::Refused)?;
    match stalled(started_at, CALL_TIMEOUT_MS, clock::now()) {
        true => Err(PollError::Stalled),
        false => Ok(Some(page)),
    }
}

async fn pause_between_calls(wait_ms: u64) -> Result<(), PollError> {
    let started_at = clock::now();
    time::sleep(Duration::from_millis(wait_ms)).await;
    match stalled(started_at, wait_ms, clock::now()) {
        true => Err(PollError::Stalled),
        false => Ok(()),
    }
}

/// Reads the engines of one zone. Returns `None` if that fails.
pub async fn read_engines(controller: &Controller, client: &Client, zone: &str) -> Option<Vec<ListedEngine>> {
    let mut listing = read(controller, client, zone, false).await.ok()?;
    pause_between_calls(call_interval_ms(controller)).await.ok()?;
    Some(listing.engines_as_of(clock::now()))
}

/// Returns whether a step with the time limit `allowed_ms` took so long that the process must have been suspended.
fn stalled(started_at: u64, allowed_ms: u64, now: u64) -> bool {
    now > started_at + allowed_ms + STALL_TOLERANCE_MS
}

#[cfg(test)]
#[path = "platform_list_tests.rs"]
mod tests;
