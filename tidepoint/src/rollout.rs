//! The limit on stale weights from the command line.

fn path(service: &str, model: &str) -> String {
    format!("/rollouts/{service}/{model}")
}

pub fn run(cmd: &crate::flags::RolloutCmd) -> Result<(), String> {
    let text = match cmd {
        crate::flags::RolloutCmd::Show(show) => match (&show.service, &show.model) {
            (Some(service), Some(model)) => crate::call::text(&show.at, &path(service, model))?,
            (None, None) => crate::call::text(&show.at, "/rollouts")?,
            _ => return Err("show: --service and --model go together".into()),
        },
        crate::flags::RolloutCmd::Set(set) => {
            let body = serde_json::json!({"latest": set.latest, "lag": set.lag, "routes": set.route});
            let url = format!("http://{}{}", set.at, path(&set.service, &set.model));
            let base = set.base.unwrap_or(0).to_string();
            crate::call::send(|client| client.put(url).header("if-match", base).body(body.to_string()))?
        }
        crate::flags::RolloutCmd::Latest(latest) => {
            let body = serde_json::json!({"latest": latest.version}).to_string();
            let url = format!("http://{}{}/latest", latest.at, path(&latest.service, &latest.model));
            crate::call::send(|client| client.post(url).body(body))?
        }
        crate::flags::RolloutCmd::Rollback(back) => {
            let body = serde_json::json!({"latest": back.version, "reason": back.reason}).to_string();
            let url = format!("http://{}{}/rollback", back.at, path(&back.service, &back.model));
            crate::call::send(|client| client.post(url).body(body))?
        }
        crate::flags::RolloutCmd::Remove(remove) => {
            let url = format!("http://{}{}", remove.at, path(&remove.service, &remove.model));
            crate::call::send(|client| client.delete(url).header("if-match", remove.base.to_string()))?
        }
    };
    println!("{text}");
    Ok(())
}
