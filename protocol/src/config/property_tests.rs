//! Properties of all configurations: valid ones are accepted and kept as they are; each corruption is rejected, names its item,
//! shows no key and never panics; text and value of whatever is accepted agree.

use kernel::Rng;
use proptest::prelude::*;
use serde_json::{json, Value};

use super::{read, ConfigDocument, ConfigError, ConfigPatch};
use crate::config_update::ConfigUpdate;
use crate::testing::corruptions::CORRUPTIONS;
use crate::testing::samples::{self, KEY};

/// A change of named items on JSON values, as plain as it can be written: what the real one is held against.
fn plain_patch(base: &Value, change: &Value) -> Value {
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
            match list.iter_mut().find(|held| held["name"] == item["name"]) {
                Some(held) => *held = item.clone(),
                None => list.push(item.clone()),
            }
        }
    }
    next
}

/// A change that is well-formed; its result may be invalid.
fn change(rng: &mut Rng, revision: u64) -> Value {
    let mut change = json!({"revision": revision});
    let mut numbers = |most: u64| -> Vec<u64> { (0..most).filter(|_| rng.below(4) == 0).collect() };
    let (routes, services, tenants) = (numbers(9), numbers(5), numbers(5));
    let (gone_routes, gone_services, gone_tenants) = (numbers(9), numbers(6), numbers(5));
    let known = 1 + rng.below(6);
    change["upsert"] = json!({
        "route_table": routes.iter().map(|number| samples::route(rng, *number, known)).collect::<Vec<_>>(),
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
    let names = |letter: &str, numbers: &[u64]| -> Value { numbers.iter().map(|at| format!("{letter}{at}")).collect() };
    let routes = names("r", &gone_routes);
    change["withdraw"] = json!({"route_table": routes});
    if rng.below(4) == 0 {
        change["withdraw"]["service_table"] = names("s", &gone_services);
    }
    if rng.below(2) == 0 {
        change["withdraw"]["tenant_table"] = names("t", &gone_tenants);
    }
    change
}

fn shows_no_key(error: &ConfigError) {
    assert!(!error.to_string().contains(KEY), "{error}");
    assert!((400..500).contains(&error.status()));
}

fn valid_with_a_route(rng: &mut Rng) -> Value {
    let mut value = samples::full_config(rng, 7);
    if value["route_table"].as_array().is_some_and(Vec::is_empty) {
        value["route_table"] = json!([samples::route(rng, 0, 1)]);
    }
    value
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn valid_configurations_are_accepted_and_kept_as_they_were_sent(seed: u64) {
        let mut rng = Rng::new(seed);
        let value = samples::full_config(&mut rng, 1 + seed % 1000);
        let text = samples::with_whitespace(&mut rng, &value);
        let checked = ConfigDocument::parse(&text).unwrap_or_else(|error| panic!("{error} in {text}"));
        prop_assert_eq!(checked.text(), &text);
        prop_assert_eq!(Some(checked.revision()), value["revision"].as_u64());
        prop_assert_eq!(ConfigDocument::parse_committed(&text), Ok(checked.clone()), "a controller reads what was judged");
        let packed = ConfigUpdate::full(checked.config()).encode();
        prop_assert_eq!(ConfigUpdate::decode(&packed), Some(ConfigUpdate::full(checked.config())));
    }

    #[test]
    fn each_corruption_is_rejected_and_names_the_item(seed: u64, way in 0..CORRUPTIONS.len()) {
        let mut rng = Rng::new(seed);
        let mut value = valid_with_a_route(&mut rng);
        let item = CORRUPTIONS[way](&mut rng, &mut value);
        let error = read(&samples::with_whitespace(&mut rng, &value)).expect_err("must be refused");
        shows_no_key(&error);
        prop_assert!(error.to_string().starts_with(&item), "{} names not {}", error, item);
    }

    #[test]
    fn a_text_that_is_cut_or_followed_by_more_is_rejected(seed: u64, cut in 0.0..1.0f64, behind in "[^ \\t\\r\\n]{1,3}") {
        let mut rng = Rng::new(seed);
        let text = samples::with_whitespace(&mut rng, &samples::full_config(&mut Rng::new(seed), 7));
        let text = text.trim();
        let at = (0..text.len()).rev().find(|at| *at as f64 <= cut * text.len() as f64 && text.is_char_boundary(*at));
        shows_no_key(&read(&text[..at.unwrap_or(0)]).expect_err("cut"));
        shows_no_key(&read(&format!("{text}{behind}")).expect_err("followed"));
    }

    #[test]
    fn a_duplicate_field_is_rejected_wherever_it_is(seed: u64, position: usize) {
        let mut rng = Rng::new(seed);
        let text = valid_with_a_route(&mut rng).to_string();
        // Before some field of some object stands the same field once more.
        let starts: Vec<usize> = text.match_indices("\":").map(|(at, _)| at).collect();
        let end = starts[position % starts.len()];
        let begin = text[..end].rfind('"').expect("the name of a field");
        let name = &text[begin + 1..end];
        let doubled = format!("{}\"{name}\":null,{}", &text[..begin], &text[begin..]);
        let error = read(&doubled).expect_err("must be refused");
        prop_assert!(error.to_string().ends_with("is there twice"), "{} for {}", error, name);
    }

    /// A patch is accepted just where the whole configuration that it leads to would be, and comes to the same.
    #[test]
    fn a_patch_leads_to_what_the_full_configuration_would(seed: u64, steps in 1..4usize) {
        let mut rng = Rng::new(seed);
        let mut plain = samples::full_config(&mut rng, 1);
        let mut held = ConfigDocument::parse(&samples::with_whitespace(&mut rng, &plain)).expect("valid");
        for step in 0..steps {
            let change = change(&mut rng, 2 + step as u64);
            let patch = ConfigPatch::parse(&samples::with_whitespace(&mut rng, &change)).unwrap_or_else(|error| panic!("{error}"));
            let next = plain_patch(&plain, &change);
            match (held.apply(&patch), ConfigDocument::parse(&next.to_string())) {
                (Ok(patched), Ok(whole)) => {
                    prop_assert_eq!(patched.config(), whole.config());
                    prop_assert_eq!(serde_json::from_str::<Value>(patched.text()).expect("JSON"), next.clone());
                    prop_assert_eq!(ConfigDocument::parse(patched.text()), Ok(patched.clone()), "text and value agree");
                    prop_assert_eq!(held.apply_committed(&patch), Ok(patched.clone()), "others make the same of it");
                    (plain, held) = (next, patched);
                }
                (Err(one), Err(two)) => {
                    shows_no_key(&one);
                    prop_assert_eq!(one, two);
                }
                (patched, whole) => prop_assert!(false, "change: {:?}, whole: {:?}", patched, whole),
            }
        }
    }

    /// Anything at all: an answer, never a panic, and what is taken reads the same again.
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
        if let Ok(checked) = ConfigDocument::parse(&text) {
            prop_assert_eq!(ConfigDocument::parse_committed(&text), Ok(checked));
        }
        let base = ConfigDocument::parse(&samples::valid().to_string()).expect("good");
        if let Ok(patched) = ConfigPatch::parse(&text).and_then(|patch| base.apply(&patch)) {
            prop_assert_eq!(ConfigDocument::parse(patched.text()), Ok(patched));
        }
    }
}
