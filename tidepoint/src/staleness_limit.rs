//! The limit on stale weights from the command line.

use crate::error::CommandError;
use crate::flags::RolloutCmd;
use crate::http_client;

fn path(service: &str, model: &str) -> String {
    format!("/rollouts/{service}/{model}")
}

/// Shows, sets or removes a staleness limit, or reports a version to it, and prints the answer.
pub fn run(command: &RolloutCmd) -> Result<(), CommandError> {
    let answer = match command {
        RolloutCmd::Show(show) => match (&show.service, &show.model) {
            (Some(service), Some(model)) => http_client::get(&show.at, &path(service, model))?,
            (None, None) => http_client::get(&show.at, "/rollouts")?,
            _ => return Err(CommandError::IncompleteName),
        },
        RolloutCmd::Set(set) => {
            let body = serde_json::json!({"latest": set.latest, "lag": set.lag, "routes": set.route});
            let url = format!("http://{}{}", set.at, path(&set.service, &set.model));
            let base = set.base.unwrap_or(0).to_string();
            http_client::send(|client| client.put(url).header("if-match", base).body(body.to_string()))?
        }
        RolloutCmd::Latest(latest) => {
            let body = serde_json::json!({"latest": latest.version}).to_string();
            let url = format!("http://{}{}/latest", latest.at, path(&latest.service, &latest.model));
            http_client::send(|client| client.post(url).body(body))?
        }
        RolloutCmd::Rollback(back) => {
            let body = serde_json::json!({"latest": back.version, "reason": back.reason}).to_string();
            let url = format!("http://{}{}/rollback", back.at, path(&back.service, &back.model));
            http_client::send(|client| client.post(url).body(body))?
        }
        RolloutCmd::Remove(remove) => {
            let url = format!("http://{}{}", remove.at, path(&remove.service, &remove.model));
            http_client::send(|client| client.delete(url).header("if-match", remove.base.to_string()))?
        }
    };
    println!("{answer}");
    Ok(())
}
