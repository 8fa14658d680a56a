//! The `rollout` command: staleness limits on model weights.

use crate::error::CommandError;
use crate::flags::RolloutCmd;
use crate::http_client;

fn rule_path(service: &str, model: &str) -> String {
    format!("/rollouts/{service}/{model}")
}

/// Shows, sets or removes a staleness limit, reports the latest version or rolls it back, and prints the response.
pub fn run(command: &RolloutCmd) -> Result<(), CommandError> {
    let response = match command {
        RolloutCmd::Show(show) => match (&show.service, &show.model) {
            (Some(service), Some(model)) => http_client::get(&show.at, &rule_path(service, model))?,
            (None, None) => http_client::get(&show.at, "/rollouts")?,
            _ => return Err(CommandError::IncompleteRuleName),
        },
        RolloutCmd::Set(set) => {
            let body = serde_json::json!({"latest": set.latest, "lag": set.lag, "routes": set.route});
            let url = format!("http://{}{}", set.at, rule_path(&set.service, &set.model));
            let base = set.base.unwrap_or(0).to_string();
            http_client::send(|client| client.put(url).header("if-match", base).body(body.to_string()))?
        }
        RolloutCmd::Latest(latest) => {
            let body = serde_json::json!({"latest": latest.version}).to_string();
            let url = format!("http://{}{}/latest", latest.at, rule_path(&latest.service, &latest.model));
            http_client::send(|client| client.post(url).body(body))?
        }
        RolloutCmd::Rollback(rollback) => {
            let body = serde_json::json!({"latest": rollback.version, "reason": rollback.reason}).to_string();
            let url = format!("http://{}{}/rollback", rollback.at, rule_path(&rollback.service, &rollback.model));
            http_client::send(|client| client.post(url).body(body))?
        }
        RolloutCmd::Remove(remove) => {
            let url = format!("http://{}{}", remove.at, rule_path(&remove.service, &remove.model));
            http_client::send(|client| client.delete(url).header("if-match", remove.base.to_string()))?
        }
    };
    println!("{response}");
    Ok(())
}
