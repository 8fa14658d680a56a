use super::{parse, SettingsError};

const GOOD: &str = r#"
node_name = "edge-1"
ip = "10.1.0.12"
zone = "a"
internal_ports = [7300,7315]
seed_peers = ["10.1.0.12:8262"]
new_field = "passed over"
[zones]
a = "r"
[bind_addresses]
frontend = "10.1.0.12:8263"
[limits]
memory_mb = 260
fd_limit = 4100
new_limit = 3
[cloud_api]
address = "10.200.0.4:8266"
rate_per_s = 40.0
"#;

fn fault(text: &str) -> SettingsError {
    let report = parse(text).expect_err("must be refused");
    let bad = report.current_context();
    SettingsError { field: bad.field.clone(), found: bad.found.clone(), allowed: bad.allowed.clone() }
}

#[test]
fn unknown_fields_are_passed_over() {
    let settings = parse(GOOD).expect("good settings");
    assert_eq!(settings.seed_ips(), ["10.1.0.12"]);
    assert_eq!(settings.peer_port(), 7300);
}

#[test]
fn a_missing_field_is_named() {
    let bad = fault(&GOOD.replace("ip = \"10.1.0.12\"\n", ""));
    assert_eq!(bad.field, "ip");
}

#[test]
fn unusable_fields_are_named_with_what_is_allowed() {
    let cases = [
        (GOOD.replace("[7300,7315]", "[7315,7300]"), "internal_ports"),
        (GOOD.replace("zone = \"a\"", "zone = \"b\""), "zone"),
        (GOOD.replace("10.1.0.12:8263", "here"), "bind_addresses.frontend"),
        (GOOD.replace("rate_per_s = 40.0", "rate_per_s = 0.0"), "cloud_api.rate_per_s"),
        (GOOD.replace("memory_mb = 260", "memory_mb = 1"), "limits.memory_mb"),
    ];
    for (text, field) in cases {
        let bad = fault(&text);
        assert_eq!(bad.field, field);
        assert!(!bad.allowed.is_empty());
    }
}

#[test]
fn a_field_of_the_wrong_type_is_named_by_its_path() {
    let cases = [
        (GOOD.replace("node_name = \"edge-1\"", "node_name = 3"), "node_name"),
        (GOOD.replace("memory_mb = 260", "memory_mb = \"much\""), "limits.memory_mb"),
        (GOOD.replace("[7300,7315]", "[7300,\"7315\"]"), "internal_ports[1]"),
        (GOOD.replace("a = \"r\"", "a = 1"), "zones.a"),
        (GOOD.replace("fd_limit = 4100\n", ""), "limits.fd_limit"),
        (GOOD.replace("zone = \"a\"", "zone = "), "(text)"),
    ];
    for (text, field) in cases {
        assert_eq!(fault(&text).field, field, "{text}");
    }
}

#[test]
fn a_metrics_endpoint_is_a_port_and_a_path() {
    let with = |text: &str| GOOD.replace("new_field", &format!("metrics = {text:?}\nnew_field"));
    let metrics = parse(&with("9464/metrics")).expect("good settings").metrics.expect("given");
    assert_eq!((metrics.port, metrics.path.as_str()), (9464, "/metrics"));
    assert_eq!(parse(GOOD).expect("good settings").metrics, None);
    for bad in ["9464", "metrics", "0/metrics", "70000/metrics", "9464/two words"] {
        let bad = fault(&with(bad));
        assert_eq!(bad.field, "metrics");
    }
}
