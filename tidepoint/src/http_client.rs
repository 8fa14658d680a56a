//! HTTP requests to a controller's control address.

use std::fs;
use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use tokio::runtime::Builder;

use crate::error::CommandError;
use crate::flags::{Submit, VersionCmd};

/// Timeout of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// Sends one request and returns the response body if the status is a success.
pub fn send(build: impl FnOnce(Client) -> RequestBuilder) -> Result<String, CommandError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(CommandError::Runtime)?;
    let client = Client::builder().timeout(CALL_TIMEOUT).no_proxy().build()?;
    runtime.block_on(async {
        let response = http_calls::send(build(client)).await?;
        let status = response.status();
        let body = String::from_utf8_lossy(&response.read_body(MAX_RESPONSE_BYTES).await?).into_owned();
        match status.is_success() {
            true => Ok(body),
            false => Err(CommandError::Rejected { status, body }),
        }
    })
}

/// Returns the body of a controller's response to a `GET`.
pub fn get(controller: &str, path: &str) -> Result<String, CommandError> {
    send(|client| client.get(format!("http://{controller}{path}")))
}

/// Prints the body of a controller's response to a `GET`.
pub fn get_and_print(controller: &str, path: &str) -> Result<(), CommandError> {
    println!("{}", get(controller, path)?);
    Ok(())
}

/// Submits a batch of jobs from a file and prints the response.
pub fn submit_batch(flags: &Submit) -> Result<(), CommandError> {
    let unreadable = |source| CommandError::UnreadableFile { path: flags.file.clone(), source };
    let body = fs::read_to_string(&flags.file).map_err(unreadable)?;
    let url = format!("http://{}/batches", flags.at);
    println!("{}", send(|client| client.post(url).header("idempotency-key", &flags.key).body(body))?);
    Ok(())
}

/// Cancels the jobs of a batch that are not yet sent, and prints the response.
pub fn cancel_batch(controller: &str, batch: &str) -> Result<(), CommandError> {
    println!("{}", send(|client| client.delete(format!("http://{controller}/batches/{batch}")))?);
    Ok(())
}

/// Starts a version rollout of a service or shows its state.
pub fn version_rollout(command: &VersionCmd) -> Result<(), CommandError> {
    match command {
        VersionCmd::State(state) => get_and_print(&state.at, &format!("/rollouts/{}", state.service)),
        VersionCmd::Start(start) => {
            let body = serde_json::json!({"service": start.service, "target_version": start.version,
                "duration_s": start.duration_s});
            let url = format!("http://{}/rollouts", start.at);
            println!("{}", send(|client| client.post(url).body(body.to_string()))?);
            Ok(())
        }
    }
}

#[cfg(test)]
#[path = "http_client_tests.rs"]
mod tests;
