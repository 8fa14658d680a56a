//! Tests which settings are accepted and which field the error for an invalid text names.

use super::{parse, SettingsError};

const VALID: &str = r#"
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

fn error_of(text: &str) -> SettingsError {
    let report = parse(text).expect_err("the settings are invalid");
    let error = report.current_context();
    SettingsError { field: error.field.clone(), found: error.found.clone(), allowed: error.allowed.clone() }
}

#[test]
fn unknown_fields_are_ignored() {
    let settings = parse(VALID).expect("the settings are valid");
    assert_eq!(settings.seed_ips(), ["10.1.0.12"]);
    assert_eq!(settings.peer_port(), 7300);
}

#[test]
fn error_names_a_missing_field() {
    let error = error_of(&VALID.replace("ip = \"10.1.0.12\"\n", ""));
    assert_eq!(error.field, "ip");
}

#[test]
fn error_names_an_invalid_field_and_the_allowed_values() {
    let cases = [
        (VALID.replace("[7300,7315]", "[7315,7300]"), "internal_ports"),
        (VALID.replace("zone = \"a\"", "zone = \"b\""), "zone"),
        (VALID.replace("10.1.0.12:8263", "here"), "bind_addresses.frontend"),
        (VALID.replace("rate_per_s = 40.0", "rate_per_s = 0.0"), "cloud_api.rate_per_s"),
        (VALID.replace("memory_mb = 260", "memory_mb = 1"), "limits.memory_mb"),
    ];
    for (text, field) in cases {
        let error = error_of(&text);
        assert_eq!(error.field, field);
        assert!(!error.allowed.is_empty());
    }
}

#[test]
fn error_names_the_path_of_a_field_of_the_wrong_type() {
    let cases = [
        (VALID.replace("node_name = \"edge-1\"", "node_name = 3"), "node_name"),
        (VALID.replace("memory_mb = 260", "memory_mb = \"much\""), "limits.memory_mb"),
        (VALID.replace("[7300,7315]", "[7300,\"7315\"]"), "internal_ports[1]"),
        (VALID.replace("a = \"r\"", "a = 1"), "zones.a"),
        (VALID.replace("fd_limit = 4100\n", ""), "limits.fd_limit"),
        (VALID.replace("zone = \"a\"", "zone = "), "(text)"),
    ];
    for (text, field) in cases {
        assert_eq!(error_of(&text).field, field, "{text}");
    }
}

#[test]
fn metrics_endpoint_must_be_a_port_and_a_path() {
    let with_metrics = |endpoint: &str| VALID.replace("new_field", &format!("metrics = {endpoint:?}\nnew_field"));
    let metrics =
        parse(&with_metrics("9464/metrics")).expect("the settings are valid").metrics.expect("the endpoint is set");
    assert_eq!((metrics.port, metrics.path.as_str()), (9464, "/metrics"));
    assert_eq!(parse(VALID).expect("the settings are valid").metrics, None);
    for invalid in ["9464", "metrics", "0/metrics", "70000/metrics", "9464/two words"] {
        let error = error_of(&with_metrics(invalid));
        assert_eq!(error.field, "metrics");
    }
}

#[test]
fn listen_ip_defaults_to_ip_and_source_ip_to_none() {
    let settings = parse(VALID).expect("the settings are valid");
    assert_eq!((settings.listen_ip(), settings.source_ip()), ("10.1.0.12", None));
    let text = VALID.replace("new_field", "listen_ip = \"192.168.1.4\"\nsource_ip = \"192.168.1.5\"\nnew_field");
    let settings = parse(&text).expect("the settings are valid");
    assert_eq!((settings.ip.as_str(), settings.listen_ip()), ("10.1.0.12", "192.168.1.4"));
    assert_eq!(settings.source_ip(), Some([192, 168, 1, 5].into()));
    for field in ["listen_ip", "source_ip"] {
        let error = error_of(&VALID.replace("new_field", &format!("{field} = \"here\"\nnew_field")));
        assert_eq!(error.field, field);
        assert!(error.allowed.contains("IP"), "{}", error.allowed);
    }
}
