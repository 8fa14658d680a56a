//! The limit on stale weights from the command line.

use crate::call;
use crate::flags::RolloutCmd;

fn path(service: &str, model: &str) -> String {
    format!("/rollouts/{service}/{model}")
}

pub fn run(cmd: &RolloutCmd) -> Result<(), String> {
    let text = match cmd {
        RolloutCmd::Show(show) => match (&show.service, &show.model) {
            (Some(service), Some(model)) => call::text(&show.at, &path(service, model))?,
            (None, None) => call::text(&show.at, "/rollouts")?,
            _ => return Err("show: --service and --model go together".into()),
        },
        RolloutCmd::Set(set) => {
            let body = serde_json::json!({"latest": set.latest, "lag": set.lag, "routes": set.route});
            let url = format!("http://{}{}", set.at, path(&set.service, &set.model));
            let base = set.base.unwrap_or(0).to_string();
            call::send(|client| client.put(url).header("if-match", base).body(body.to_string()))?
        }
        RolloutCmd::Latest(latest) => {
            let body = serde_json::json!({"latest": latest.version}).to_string();
            let url = format!("http://{}{}/latest", latest.at, path(&latest.service, &latest.model));
            call::send(|client| client.post(url).body(body))?
        }
        RolloutCmd::Rollback(back) => {
            let body = serde_json::json!({"latest": back.version, "reason": back.reason}).to_string();
            let url = format!("http://{}{}/rollback", back.at, path(&back.service, &back.model));
            call::send(|client| client.post(url).body(body))?
        }
        RolloutCmd::Remove(remove) => {
            let url = format!("http://{}{}", remove.at, path(&remove.service, &remove.model));
            call::send(|client| client.delete(url).header("if-match", remove.base.to_string()))?
        }
    };
    println!("{text}");
    Ok(())
}
