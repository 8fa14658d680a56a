//! A stub of the platform API: lists all engines on one page and records usage reports.

use std::sync::Arc;

use parking_lot::Mutex;
use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::http::{self, read_message};
use crate::usage::UsageLog;

/// The list of engines, which may change during a run.
#[derive(Default)]
pub struct EngineList(Mutex<Vec<Value>>);

impl EngineList {
    /// Changes the list.
    pub fn update(&self, update: impl FnOnce(&mut Vec<Value>)) {
        update(&mut self.0.lock());
    }

    /// Returns the engines of a zone, or all if none is given.
    fn in_zone(&self, zone: Option<&str>) -> Vec<Value> {
        let is_in_zone = |engine: &&Value| zone.is_none_or(|zone| engine["zone"] == zone);
        self.0.lock().iter().filter(is_in_zone).cloned().collect()
    }
}

/// Serves the list of engines and records usage reports until the task is aborted.
pub async fn serve(listener: TcpListener, engines: Arc<EngineList>, usage: Arc<UsageLog>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (engines, usage) = (engines.clone(), usage.clone());
        tokio::spawn(async move {
            while let Some(request) = read_message(&mut stream).await {
                if request.start_line.starts_with("POST /usage") {
                    usage.record(request.header("duty-holder"), request.header("fence-token"), &request.body);
                    let _ = http::respond(&mut stream, "200 OK", "", "").await;
                    continue;
                }
                let zone = request.path().split("zone=").nth(1).and_then(|rest| rest.split('&').next());
                let body = json!({ "instance_list": engines.in_zone(zone), "next_token": null }).to_string();
                if http::respond(&mut stream, "200 OK", "Content-Type: application/json\r\n", &body).await.is_err() {
                    return;
                }
            }
        });
    }
}
