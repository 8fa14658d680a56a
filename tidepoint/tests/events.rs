//! The catalogue of events and the code say the same.

use std::collections::HashSet;
use std::fs;

fn codes(program: &str) -> Vec<(String, String)> {
    let path = format!("{}/../{program}/src/event.rs", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(path).expect("the program's events");
    let mut list = Vec::new();
    for part in text.split("code: ").skip(1) {
        let (code, rest) = part.split_once(',').expect("a number");
        let words = rest.split('"').nth(1).expect("words");
        list.push((format!("E{:04}", code.trim().parse::<u16>().expect("a number")), words.to_string()));
    }
    list
}

#[test]
fn every_event_stands_in_the_catalogue_and_none_besides() {
    let path = format!("{}/../docs/events.md", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(path).expect("the catalogue");
    let rows: Vec<Vec<&str>> = text.lines().map(|line| line.split('|').map(str::trim).collect()).collect();
    let mut listed: Vec<(String, String)> = rows
        .iter()
        .filter(|row| row.len() > 4 && row[1].starts_with('E'))
        .map(|row| (row[1].into(), row[3].into()))
        .collect();
    let mut known = codes("controller");
    known.extend(codes("router"));
    known.sort();
    listed.sort();
    assert_eq!(known, listed);
    let unique: HashSet<&String> = known.iter().map(|(code, _)| code).collect();
    assert_eq!(unique.len(), known.len(), "a number is used once");
}
