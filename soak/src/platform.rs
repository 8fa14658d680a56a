//! A stand-in for the platform: the list of engines, all on one page, and what it is told of usage.

use std::sync::Arc;

use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::http::{self, read_message};
use crate::usage::UsageLog;

/// Serves the list of engines, and takes reports of usage, for ever.
pub async fn serve(listener: TcpListener, engines: Arc<Vec<Value>>, usage: Arc<UsageLog>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (engines, usage) = (engines.clone(), usage.clone());
        tokio::spawn(async move {
            while let Some(request) = read_message(&mut stream).await {
                if request.first_line.starts_with("POST /usage") {
                    usage.record(request.field("duty-holder"), request.field("fence-token"), &request.body);
                    let _ = http::respond(&mut stream, "200 OK", "", "").await;
                    continue;
                }
                let zone = request.path().split("zone=").nth(1).and_then(|rest| rest.split('&').next());
                let is_asked = |engine: &&Value| zone.is_none_or(|zone| engine["zone"] == zone);
                let list: Vec<&Value> = engines.iter().filter(is_asked).collect();
                let body = json!({ "instance_list": list, "next_token": null }).to_string();
                if http::respond(&mut stream, "200 OK", "Content-Type: application/json\r\n", &body).await.is_err() {
                    return;
                }
            }
        });
    }
}
