//! One job as a request to a router: what came of it, as a value.

pub enum Outcome {
    /// Status and body: the receipt.
    Done(u16, String),
    /// It has not run; come back after so many ms, where that was said.
    Unrun(Option<u64>),
    /// It may have run.
    Lost,
}

pub async fn send(
    client: &reqwest::Client,
    door: &str,
    job: &batch::sheet::Job,
    press: batch::turn::Press,
    left_ms: u64,
) -> Outcome {
    let Ok(method) = reqwest::Method::from_bytes(job.method.as_bytes()) else {
        return Outcome::Done(400, String::new());
    };
    let attempt = format!("{:016x}", kernel::clock::life());
    let mut call = client
        .request(method, format!("http://{door}{}", job.path))
        .timeout(std::time::Duration::from_millis(left_ms.max(1)))
        .header("host", &job.host)
        .header(wire::word::ATTEMPT, attempt)
        .header(wire::word::BUDGET, left_ms.max(1).to_string())
        .header(crate::runner::MARK, if press == batch::turn::Press::Near { "near" } else { "idle" });
    for (name, value) in &job.head {
        call = call.header(name, value);
    }
    let mut reply = match call.body(job.body.clone()).send().await {
        Ok(reply) => reply,
        Err(error) if error.is_connect() => return Outcome::Unrun(None),
        Err(_) => return Outcome::Lost,
    };
    let status = reply.status().as_u16();
    if matches!(status, 408 | 421 | 429 | 503) {
        let wait = reply.headers().get("retry-after").and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
        return Outcome::Unrun(wait.map(|wait| (wait * 1000.0) as u64));
    }
    if matches!(status, 500 | 502 | 504) {
        return Outcome::Lost;
    }
    let mut body = Vec::new();
    loop {
        match reply.chunk().await {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break,
            Err(_) => return Outcome::Lost,
        }
        if body.len() > batch::ANSWER {
            // Told plainly rather than cut: the answer is larger than a receipt may be.
            return Outcome::Done(507, format!("answer over {} bytes", batch::ANSWER));
        }
    }
    Outcome::Done(status, String::from_utf8_lossy(&body).into_owned())
}
