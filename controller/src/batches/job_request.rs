//! One job as a request to a router, sent once: what came of it, as a value.

use std::time::Duration;

use batch::attempt::Outcome;
use batch::sheet::Job;
use batch::turn::Press;
use batch::ANSWER;
use kernel::new_incarnation;
use protocol::headers::{ATTEMPT_ID, TIME_BUDGET};
use reqwest::{Client, Method, Response};

/// Header by which a router knows deferrable work; it never reaches an engine.
const DEFERRABLE: &str = "deferrable";

/// What a router answers when a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Answers that leave open whether it has run.
const UNCLEAR: [u16; 3] = [500, 502, 504];

pub async fn send(client: &Client, router: &str, job: &Job, press: Press, left_ms: u64) -> Outcome {
    let Ok(method) = Method::from_bytes(job.method.as_bytes()) else {
        return Outcome::Answered { status: 400, body: String::new() };
    };
    let left_ms = left_ms.max(1);
    let mut call = client
        .request(method, format!("http://{router}{}", job.path))
        .timeout(Duration::from_millis(left_ms))
        .header("host", &job.host)
        .header(ATTEMPT_ID, format!("{:016x}", new_incarnation()))
        .header(TIME_BUDGET, left_ms.to_string())
        .header(DEFERRABLE, if press == Press::Near { "near" } else { "idle" });
    for (name, value) in &job.head {
        call = call.header(name, value);
    }
    let reply = match call.body(job.body.clone()).send().await {
        Ok(reply) => reply,
        Err(error) if error.is_connect() => return Outcome::NotRun { retry_after_ms: None },
        Err(_) => return Outcome::Lost,
    };
    let status = reply.status().as_u16();
    if PROMISES.contains(&status) {
        return Outcome::NotRun { retry_after_ms: retry_after_ms(&reply) };
    }
    if UNCLEAR.contains(&status) {
        return Outcome::Lost;
    }
    read_body(reply).await
}

fn retry_after_ms(reply: &Response) -> Option<u64> {
    let seconds: f64 = reply.headers().get("retry-after")?.to_str().ok()?.parse().ok()?;
    Some((seconds * 1000.0) as u64)
}

async fn read_body(mut reply: Response) -> Outcome {
    let status = reply.status().as_u16();
    let mut body = Vec::new();
    loop {
        match reply.chunk().await {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break,
            Err(_) => return Outcome::Lost,
        }
        if body.len() > ANSWER {
            // Told plainly rather than cut: the answer is larger than a receipt may be.
            return Outcome::Answered { status: 507, body: format!("answer over {} bytes", ANSWER) };
        }
    }
    Outcome::Answered { status, body: String::from_utf8_lossy(&body).into_owned() }
}
