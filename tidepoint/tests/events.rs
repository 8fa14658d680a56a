//! Compares the log events in the code with the catalogue `docs/events.md`.

use std::collections::HashSet;
use std::fs;

fn read_events(daemon: &str) -> Vec<(String, String)> {
    let path = format!("{}/../{daemon}/src/event.rs", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(path).expect("the source of the events is readable");
    let mut events = Vec::new();
    for part in text.split("code: ").skip(1) {
        let (code, rest) = part.split_once(',').expect("a comma follows the code");
        let event_text = rest.split('"').nth(1).expect("a text follows the code");
        events.push((
            format!("E{:04}", code.trim().parse::<u16>().expect("the code is a number")),
            event_text.to_string(),
        ));
    }
    events
}

#[test]
fn catalogue_lists_exactly_the_events_of_the_code() {
    let path = format!("{}/../docs/events.md", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(path).expect("the catalogue is readable");
    let rows: Vec<Vec<&str>> = text.lines().map(|line| line.split('|').map(str::trim).collect()).collect();
    let mut in_catalogue: Vec<(String, String)> = rows
        .iter()
        .filter(|row| row.len() > 4 && row[1].starts_with('E'))
        .map(|row| (row[1].into(), row[3].into()))
        .collect();
    let mut in_code = read_events("controller");
    in_code.extend(read_events("router"));
    in_code.sort();
    in_catalogue.sort();
    assert_eq!(in_code, in_catalogue);
    let unique: HashSet<&String> = in_code.iter().map(|(code, _)| code).collect();
    assert_eq!(unique.len(), in_code.len(), "a code is used twice");
}
