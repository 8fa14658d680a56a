//! One change through all daemons: from the operator's call to the first request that saw it.

use std::fs;

use serde_json::Value;

use crate::error::CommandError;
use crate::flags::Trace;
use crate::http_client;

/// A line of a daemon's log that bears on the change.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The daemon's name, or the name of the log's file.
    pub daemon: String,
    /// Milliseconds, by the clock of the log it stands in.
    pub time: f64,
    /// The number of the event, as `E0110`.
    pub code: String,
    /// What stands behind the number.
    pub text: String,
}

/// The events of a change: committed, learned, in force, first request under it.
const CODES: [&str; 4] = ["E0110", "E0112", "E0210", "E0213"];

/// Reads one line. `[time daemon] ms LEVEL Ennnn words key=value`: what stands before the level is
/// the writer's own, a collector may put a time in seconds and a name in front.
pub fn read_line(daemon: &str, line: &str, revision: u64) -> Option<Step> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let at = words.iter().position(|word| CODES.contains(word))?;
    if !words.contains(&format!("revision={revision}").as_str()) || at < 2 {
        return None;
    }
    let (daemon, time) = match at {
        2 => (daemon.to_string(), words[0].parse().ok()?),
        _ => (words[at - 3].to_string(), words[0].parse::<f64>().ok()? * 1000.0),
    };
    let text = words[at + 1..].join(" ");
    Some(Step { daemon, time, code: words[at].into(), text })
}

/// Renders the steps in order of time, with the distance from the first.
pub fn render(mut steps: Vec<Step>) -> String {
    steps.sort_by(|one, two| one.time.total_cmp(&two.time));
    let Some(first) = steps.first().map(|step| step.time) else { return "no daemon tells of this revision\n".into() };
    let mut text = String::new();
    for step in &steps {
        let line = format!("{:>9.1} ms  {:<28} {} {}\n", step.time - first, step.daemon, step.code, step.text);
        text.push_str(&line);
    }
    let count = |code: &str| steps.iter().filter(|step| step.code == code).count();
    let forced = format!("in force at {} routers, first requests at {}\n", count("E0210"), count("E0213"));
    text.push_str(&forced);
    text
}

/// Prints how far a change has come, from logs and from controllers that are asked.
pub fn run(flags: &Trace) -> Result<(), CommandError> {
    let mut steps = Vec::new();
    for path in &flags.logs {
        let text =
            fs::read_to_string(path).map_err(|source| CommandError::UnreadableFile { path: path.clone(), source })?;
        steps.extend(text.lines().filter_map(|line| read_line(path, line, flags.revision)));
    }
    for at in &flags.at {
        let value: Value = serde_json::from_str(&http_client::get(at, "/journal")?)?;
        let lines = value["events"].as_array().cloned().unwrap_or_default();
        steps.extend(lines.iter().filter_map(|line| read_line(at, line.as_str()?, flags.revision)));
        let fleet: Value = serde_json::from_str(&http_client::get(at, "/fleet")?)?;
        for (node, held) in fleet["routers"].as_object().into_iter().flatten() {
            let word = if held.as_u64() >= Some(flags.revision) { "has it" } else { "does not have it yet" };
            println!("{node}: {word} (revision {held}, as {at} sees it)");
        }
    }
    print!("{}", render(steps));
    Ok(())
}

#[cfg(test)]
#[path = "trace_change_tests.rs"]
mod tests;
