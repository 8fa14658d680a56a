//! The `trace` command: follows one configuration change through all daemons, from its commit to the first request
//! under it.

use std::fs;

use serde_json::Value;

use crate::error::CommandError;
use crate::flags::Trace;
use crate::http_client;

/// A log event of a daemon about the traced change.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceEvent {
    /// The daemon's name, or the log file's name or the controller's address if the line has none.
    pub daemon: String,
    /// Time in milliseconds, by the clock of the log.
    pub time_ms: f64,
    /// The event code, such as `E0110`.
    pub code: String,
    /// The rest of the line after the code.
    pub text: String,
}

/// Codes of the traced events: committed, learned, in force, first request under it.
const TRACED_CODES: [&str; 4] = ["E0110", "E0112", "E0210", "E0213"];

/// Parses one line of the form `[time daemon] ms LEVEL Ennnn text key=value`. The optional time in seconds and the
/// daemon's name are prefixed by a log collector; `ms` is the daemon's own timestamp.
pub fn parse_line(daemon: &str, line: &str, revision: u64) -> Option<TraceEvent> {
    let tokens: Vec<&str> = line.split_whitespace().collect();
    let code_index = tokens.iter().position(|token| TRACED_CODES.contains(token))?;
    if !tokens.contains(&format!("revision={revision}").as_str()) || code_index < 2 {
        return None;
    }
    let (daemon, time_ms) = match code_index {
        2 => (daemon.to_string(), tokens[0].parse().ok()?),
        _ => (tokens[code_index - 3].to_string(), tokens[0].parse::<f64>().ok()? * 1000.0),
    };
    let text = tokens[code_index + 1..].join(" ");
    Some(TraceEvent { daemon, time_ms, code: tokens[code_index].into(), text })
}

/// Renders the events in order of time, each with its offset from the first.
pub fn render_timeline(mut events: Vec<TraceEvent>) -> String {
    events.sort_by(|left, right| left.time_ms.total_cmp(&right.time_ms));
    let Some(first) = events.first().map(|event| event.time_ms) else {
        return "no daemon logged this revision\n".into();
    };
    let mut text = String::new();
    for event in &events {
        let line = format!("{:>9.1} ms  {:<28} {} {}\n", event.time_ms - first, event.daemon, event.code, event.text);
        text.push_str(&line);
    }
    let count = |code: &str| events.iter().filter(|event| event.code == code).count();
    let summary = format!("in force at {} routers, first requests at {}\n", count("E0210"), count("E0213"));
    text.push_str(&summary);
    text
}

/// Prints how far a change has propagated, from log files and live controllers.
pub fn run(flags: &Trace) -> Result<(), CommandError> {
    let mut events = Vec::new();
    for path in &flags.logs {
        let text =
            fs::read_to_string(path).map_err(|source| CommandError::UnreadableFile { path: path.clone(), source })?;
        events.extend(text.lines().filter_map(|line| parse_line(path, line, flags.revision)));
    }
    for at in &flags.at {
        let value: Value = serde_json::from_str(&http_client::get(at, "/journal")?)?;
        let lines = value["events"].as_array().cloned().unwrap_or_default();
        events.extend(lines.iter().filter_map(|line| parse_line(at, line.as_str()?, flags.revision)));
        let fleet: Value = serde_json::from_str(&http_client::get(at, "/fleet")?)?;
        for (node, revision) in fleet["routers"].as_object().into_iter().flatten() {
            let state = if revision.as_u64() >= Some(flags.revision) { "up to date" } else { "not yet up to date" };
            println!("{node}: {state} (revision {revision}, according to {at})");
        }
    }
    print!("{}", render_timeline(events));
    Ok(())
}

#[cfg(test)]
#[path = "trace_change_tests.rs"]
mod tests;
