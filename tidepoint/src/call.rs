//! Calls to a controller's control address.

use std::fs;
use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use tokio::runtime::Builder;

use crate::flags::{Submit, VersionCmd};

pub fn send(call: impl FnOnce(Client) -> RequestBuilder) -> Result<String, String> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|error| error.to_string())?;
    let wait = Duration::from_secs(10);
    let client = Client::builder().timeout(wait).no_proxy().build().map_err(|error| error.to_string())?;
    runtime.block_on(async {
        let reply = call(client).send().await.map_err(|error| error.to_string())?;
        let status = reply.status();
        let text = reply.text().await.map_err(|error| error.to_string())?;
        if status.is_success() {
            return Ok(text);
        }
        Err(format!("{status}: {text}"))
    })
}

pub fn text(at: &str, path: &str) -> Result<String, String> {
    send(|client| client.get(format!("http://{at}{path}")))
}

pub fn get(at: &str, path: &str) -> Result<(), String> {
    println!("{}", text(at, path)?);
    Ok(())
}

pub fn submit(flags: &Submit) -> Result<(), String> {
    let body = fs::read_to_string(&flags.file).map_err(|error| format!("{}: {error}", flags.file))?;
    let url = format!("http://{}/batches", flags.at);
    println!("{}", send(|client| client.post(url).header("idempotency-key", &flags.key).body(body))?);
    Ok(())
}

pub fn cancel(at: &str, batch: &str) -> Result<(), String> {
    println!("{}", send(|client| client.delete(format!("http://{at}/batches/{batch}")))?);
    Ok(())
}

pub fn version(command: &VersionCmd) -> Result<(), String> {
    match command {
        VersionCmd::State(state) => get(&state.at, &format!("/rollouts/{}", state.service)),
        VersionCmd::Start(start) => {
            let body = serde_json::json!({"service": start.service, "target_version": start.version,
                "duration_s": start.duration_s});
            let url = format!("http://{}/rollouts", start.at);
            println!("{}", send(|client| client.post(url).body(body.to_string()))?);
            Ok(())
        }
    }
}
