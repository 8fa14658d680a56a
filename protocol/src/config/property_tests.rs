//! Property tests of configurations. A valid one is accepted with its text unchanged. A corrupted one is rejected without
//! a panic, by an error that names the item and contains no API key. Text and value of an accepted one agree.

use kernel::Rng;
use proptest::prelude::*;
use serde_json::{json, Value};

use super::{read, ConfigDocument, ConfigError, ConfigPatch};
use crate::config_update::ConfigUpdate;
use crate::testing::corruptions::CORRUPTIONS;
use crate::testing::samples::{self, KEY};

/// Reference implementation: applies a patch to JSON values in the simplest way.
fn reference_patch(base: &Value, change: &Value) -> Value {
    let mut next = base.clone();
    next["revision"] = change["revision"].clone();
    for (table, names) in change["withdraw"].as_object().into_iter().flatten() {
        if let Some(list) = next.get_mut(table).and_then(Value::as_array_mut) {
            list.retain(|item| !names.as_array().expect("names").contains(&item["name"]));
        }
    }
    for (table, items) in change["upsert"].as_object().into_iter().flatten() {
        if let Some(fields) = items.as_object() {
            for (field, value) in fields {
                next[table][field] = value.clone();
            }
            continue;
        }
        for item in items.as_array().expect("items") {
            if next[table].is_null() {
                next[table] = json!([]);
            }
            let list = next[table].as_array_mut().expect("a table");
            match list.iter_mut().find(|existing| existing["name"] == item["name"]) {
                Some(existing) => *existing = item.clone(),
                None => list.push(item.clone()),
            }
        }
    }
    next
}

/// Draws a well-formed patch, whose result may be invalid.
fn random_patch(rng: &mut Rng, revision: u64) -> Value {
    let mut change = json!({"revision": revision});
    let mut numbers = |limit: u64| -> Vec<u64> { (0..limit).filter(|_| rng.below(4) == 0).collect() };
    let (routes, services, tenants) = (numbers(9), numbers(5), numbers(5));
    let (removed_routes, removed_services, removed_tenants) = (numbers(9), numbers(6), numbers(5));
    let service_count = 1 + rng.below(6);
    change["upsert"] = json!({
        "route_table": routes.iter().map(|number| samples::route(rng, *number, service_count)).collect::<Vec<_>>(),
        "service_table": services.iter().map(|number| samples::service(rng, *number)).collect::<Vec<_>>(),
    });
    if rng.below(2) == 0 {
        change["upsert"]["tenant_table"] = tenants.iter().map(|number| samples::tenant(rng, *number)).collect();
    }
    if rng.below(3) == 0 {
        change["upsert"]["limits"] =
            json!({"max_body_bytes": rng.below(9), "idle_timeout_ms": null, "later": {"x": 1}});
    }
    if rng.below(3) == 0 {
        change["upsert"]["later_table"] = json!([{"name": "x", "z": [1.50]}]);
    }
    let names =
        |letter: &str, numbers: &[u64]| -> Value { numbers.iter().map(|number| format!("{letter}{number}")).collect() };
    let routes = names("r", &removed_routes);
    change["withdraw"] = json!({"route_table": routes});
    if rng.below(4) == 0 {
        change["withdraw"]["service_table"] = names("s", &removed_services);
    }
    if rng.below(2) == 0 {
        change["withdraw"]["tenant_table"] = names("t", &removed_tenants);
    }
    change
}

/// Asserts that an error contains no API key and has a 4xx status.
fn assert_error_hides_key(error: &ConfigError) {
    assert!(!error.to_string().contains(KEY), "{error}");
    assert!((400..500).contains(&error.status()));
}

fn config_with_a_route(rng: &mut Rng) -> Value {
    let mut value = samples::full_config(rng, 7);
    if value["route_table"].as_array().is_some_and(Vec::is_empty) {
        value["route_table"] = json!([samples::route(rng, 0, 1)]);
    }
    value
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_valid_configuration_is_accepted_with_its_text_unchanged(seed: u64) {
        let mut rng = Rng::new(seed);
        let value = samples::full_config(&mut rng, 1 + seed % 1000);
        let text = samples::with_whitespace(&mut rng, &value);
        let document = ConfigDocument::parse(&text).unwrap_or_else(|error| panic!("{error} in {text}"));
        prop_assert_eq!(document.text(), &text);
        prop_assert_eq!(Some(document.revision()), value["revision"].as_u64());
        prop_assert_eq!(ConfigDocument::parse_committed(&text), Ok(document.clone()), "reads the same when committed");
        let encoded = ConfigUpdate::full(document.config()).encode();
        prop_assert_eq!(ConfigUpdate::decode(&encoded), Some(ConfigUpdate::full(document.config())));
    }

    #[test]
    fn a_corrupted_configuration_is_rejected_with_the_item_named(seed: u64, corruption in 0..CORRUPTIONS.len()) {
        let mut rng = Rng::new(seed);
        let mut value = config_with_a_route(&mut rng);
        let item = CORRUPTIONS[corruption](&mut rng, &mut value);
        let error = read(&samples::with_whitespace(&mut rng, &value)).expect_err("must be rejected");
        assert_error_hides_key(&error);
        prop_assert!(error.to_string().starts_with(&item), "{} does not name {}", error, item);
    }

    #[test]
    fn a_truncated_text_or_one_with_trailing_characters_is_rejected(seed: u64, cut in 0.0..1.0f64, suffix in "[^ \\t\\r\\n]{1,3}") {
        let mut rng = Rng::new(seed);
        let text = samples::with_whitespace(&mut rng, &samples::full_config(&mut Rng::new(seed), 7));
        let text = text.trim();
        let at = (0..text.len()).rev().find(|at| *at as f64 <= cut * text.len() as f64 && text.is_char_boundary(*at));
        assert_error_hides_key(&read(&text[..at.unwrap_or(0)]).expect_err("truncated"));
        assert_error_hides_key(&read(&format!("{text}{suffix}")).expect_err("trailing characters"));
    }

    #[test]
    fn a_duplicate_field_anywhere_is_rejected(seed: u64, position: usize) {
        let mut rng = Rng::new(seed);
        let text = config_with_a_route(&mut rng).to_string();
        // Inserts a second field with the same name before an arbitrary field.
        let name_ends: Vec<usize> = text.match_indices("\":").map(|(at, _)| at).collect();
        let end = name_ends[position % name_ends.len()];
        let begin = text[..end].rfind('"').expect("a field name");
        let name = &text[begin + 1..end];
        let doubled = format!("{}\"{name}\":null,{}", &text[..begin], &text[begin..]);
        let error = read(&doubled).expect_err("must be rejected");
        prop_assert!(error.to_string().ends_with("duplicate field"), "{} for {}", error, name);
    }

    /// A patch is accepted if and only if the resulting whole configuration would be, with the same value or error.
    #[test]
    fn a_patch_equals_the_whole_configuration_that_it_results_in(seed: u64, steps in 1..4usize) {
        let mut rng = Rng::new(seed);
        let mut expected = samples::full_config(&mut rng, 1);
        let mut current = ConfigDocument::parse(&samples::with_whitespace(&mut rng, &expected)).expect("valid");
        for step in 0..steps {
            let change = random_patch(&mut rng, 2 + step as u64);
            let patch = ConfigPatch::parse(&samples::with_whitespace(&mut rng, &change)).unwrap_or_else(|error| panic!("{error}"));
            let next = reference_patch(&expected, &change);
            match (current.apply(&patch), ConfigDocument::parse(&next.to_string())) {
                (Ok(patched), Ok(whole)) => {
                    prop_assert_eq!(patched.config(), whole.config());
                    prop_assert_eq!(serde_json::from_str::<Value>(patched.text()).expect("JSON"), next.clone());
                    prop_assert_eq!(ConfigDocument::parse(patched.text()), Ok(patched.clone()), "text and value agree");
                    prop_assert_eq!(current.apply_committed(&patch), Ok(patched.clone()), "the same when committed");
                    (expected, current) = (next, patched);
                }
                (Err(patch_error), Err(whole_error)) => {
                    assert_error_hides_key(&patch_error);
                    prop_assert_eq!(patch_error, whole_error);
                }
                (patched, whole) => prop_assert!(false, "patch: {:?}, whole: {:?}", patched, whole),
            }
        }
    }

    /// Any text is either rejected or accepted without a panic, and an accepted one reads the same when parsed again.
    #[test]
    fn no_text_makes_the_parser_panic(seed: u64, edits in 1..6usize, noise in "\\PC{0,12}") {
        let mut rng = Rng::new(seed);
        let mut text = samples::full_config(&mut rng, 7).to_string();
        let pieces = ["{", "}", "[", "]", ",", ":", "\"", "null", "0", "-1", "1e999", "\\u0000", "\\ud800", "true", &noise];
        for _ in 0..edits {
            let mut at = rng.below(text.len() as u64) as usize;
            while !text.is_char_boundary(at) {
                at -= 1;
            }
            let piece = pieces[rng.below(pieces.len() as u64) as usize];
            match rng.below(3) {
                0 => text.insert_str(at, piece),
                1 => drop(text.remove(at)),
                _ => {
                    let end = text[at..].char_indices().nth(1).map_or(text.len(), |(step, _)| at + step);
                    text.replace_range(at..end, piece);
                }
            }
            if text.is_empty() {
                text.push(' ');
            }
        }
        if let Ok(document) = ConfigDocument::parse(&text) {
            prop_assert_eq!(ConfigDocument::parse_committed(&text), Ok(document));
        }
        let base = ConfigDocument::parse(&samples::valid().to_string()).expect("a valid configuration");
        if let Ok(patched) = ConfigPatch::parse(&text).and_then(|patch| base.apply(&patch)) {
            prop_assert_eq!(ConfigDocument::parse(patched.text()), Ok(patched));
        }
    }
}
