//! Calls to a controller's control address.

pub fn send(call: impl FnOnce(reqwest::Client) -> reqwest::RequestBuilder) -> Result<String, String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|error| error.to_string())?;
    let wait = std::time::Duration::from_secs(10);
    let client = reqwest::Client::builder().timeout(wait).no_proxy().build().map_err(|error| error.to_string())?;
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

pub fn submit(flags: &crate::flags::Submit) -> Result<(), String> {
    let body = std::fs::read_to_string(&flags.file).map_err(|error| format!("{}: {error}", flags.file))?;
    let url = format!("http://{}/batches", flags.at);
    println!("{}", send(|client| client.post(url).header("idempotency-key", &flags.key).body(body))?);
    Ok(())
}

pub fn cancel(at: &str, batch: &str) -> Result<(), String> {
    println!("{}", send(|client| client.delete(format!("http://{at}/batches/{batch}")))?);
    Ok(())
}

pub fn version(command: &crate::flags::VersionCmd) -> Result<(), String> {
    match command {
        crate::flags::VersionCmd::State(state) => get(&state.at, &format!("/rollouts/{}", state.service)),
        crate::flags::VersionCmd::Start(start) => {
            let body = serde_json::json!({"service": start.service, "target_version": start.version,
                "duration_s": start.duration_s});
            let url = format!("http://{}/rollouts", start.at);
            println!("{}", send(|client| client.post(url).body(body.to_string()))?);
            Ok(())
        }
    }
}
