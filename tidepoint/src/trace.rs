//! One change through all daemons: from the operator's call to the first request that saw it.

use std::fs;

use serde_json::Value;

use crate::call;
use crate::flags::Trace;

/// A line of a daemon's log that bears on the change.
#[derive(Clone, Debug, PartialEq)]
pub struct Mark {
    pub daemon: String,
    /// Milliseconds, by the clock of the log it stands in.
    pub time: f64,
    pub code: String,
    pub text: String,
}

/// The events of a change: committed, learned, in force, first request under it.
const CODES: [&str; 4] = ["E0110", "E0112", "E0210", "E0213"];

/// Reads one line. `[time daemon] ms LEVEL Ennnn words key=value`: what stands before the level is
/// the writer's own, a collector may put a time in seconds and a name in front.
pub fn read(daemon: &str, line: &str, revision: u64) -> Option<Mark> {
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
    Some(Mark { daemon, time, code: words[at].into(), text })
}

/// The view: in order of time, with the distance from the first.
pub fn show(mut marks: Vec<Mark>) -> String {
    marks.sort_by(|one, two| one.time.total_cmp(&two.time));
    let Some(first) = marks.first().map(|mark| mark.time) else { return "no daemon tells of this revision\n".into() };
    let mut text = String::new();
    for mark in &marks {
        let line = format!("{:>9.1} ms  {:<28} {} {}\n", mark.time - first, mark.daemon, mark.code, mark.text);
        text.push_str(&line);
    }
    let count = |code: &str| marks.iter().filter(|mark| mark.code == code).count();
    let forced = format!("in force at {} routers, first requests at {}\n", count("E0210"), count("E0213"));
    text.push_str(&forced);
    text
}

pub fn run(flags: &Trace) -> Result<(), String> {
    let mut marks = Vec::new();
    for path in &flags.logs {
        let text = fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
        marks.extend(text.lines().filter_map(|line| read(path, line, flags.revision)));
    }
    for at in &flags.at {
        let value: Value = serde_json::from_str(&call::text(at, "/journal")?).map_err(|error| error.to_string())?;
        let lines = value["events"].as_array().cloned().unwrap_or_default();
        marks.extend(lines.iter().filter_map(|line| read(at, line.as_str()?, flags.revision)));
        let fleet: Value = serde_json::from_str(&call::text(at, "/fleet")?).map_err(|error| error.to_string())?;
        for (node, held) in fleet["routers"].as_object().into_iter().flatten() {
            let word = if held.as_u64() >= Some(flags.revision) { "has it" } else { "does not have it yet" };
            println!("{node}: {word} (revision {held}, as {at} sees it)");
        }
    }
    print!("{}", show(marks));
    Ok(())
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_change_is_followed_in_order_of_time() {
        let lines = [
            "  3.0203 edge-2/router 12000 INFO E0210 configuration in force revision=9",
            "  3.0181 edge-1/keeper 11998 INFO E0110 configuration committed revision=9 base=7",
            "  3.0190 edge-2/keeper 11990 INFO E0112 key learned step=1 turn=4 revision=9 key=config",
            "  3.1007 edge-2/router 12080 INFO E0213 first request under a configuration revision=9",
            "  3.1007 edge-2/router 12080 INFO E0210 configuration in force revision=7",
        ];
        let marks = lines.iter().filter_map(|line| super::read("log", line, 9)).collect();
        expect_test::expect![[r#"
                  0.0 ms  edge-1/keeper                E0110 configuration committed revision=9 base=7
                  0.9 ms  edge-2/keeper                E0112 key learned step=1 turn=4 revision=9 key=config
                  2.2 ms  edge-2/router                E0210 configuration in force revision=9
                 82.6 ms  edge-2/router                E0213 first request under a configuration revision=9
            in force at 1 routers, first requests at 1
        "#]]
        .assert_eq(&super::show(marks));
    }

    #[test]
    fn a_bare_log_takes_its_name_from_the_file() {
        let mark = super::read("k.log", "77 INFO E0110 configuration committed revision=3 base=1", 3).expect("read");
        assert_eq!((mark.daemon.as_str(), mark.time), ("k.log", 77.0));
        assert!(super::show(Vec::new()).contains("no daemon"));
    }
}
