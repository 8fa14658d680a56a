//! Names of fields of configurations.

/// The table of routes.
pub const ROUTES: &str = "route_table";
/// The table of services.
pub const SERVICES: &str = "service_table";
/// The table of tenants.
pub const TENANTS: &str = "tenant_table";
/// The limits on what clients may send.
pub const LIMITS: &str = "limits";
/// The revision of a configuration.
pub const REVISION: &str = "revision";

/// The part of a patch with the items that are added or replaced.
pub const UPSERT: &str = "upsert";
/// The part of a patch with the names of the items that are removed.
pub const WITHDRAW: &str = "withdraw";

/// Names of fields, which may be shown in errors.
pub const FIELDS: &[&str] = &[
    "adapter_list",
    "allowed_regions",
    "anonymous",
    "api_keys",
    "burst_size",
    "engine",
    "gap_target_ms",
    "header_timeout_ms",
    "health_path",
    "hostname",
    "idle_timeout_ms",
    "kv_capacity",
    "kv_hold_s",
    "kv_token_bytes",
    "limits",
    "link_mbps",
    "max_body_bytes",
    "max_connections",
    "max_header_bytes",
    "model_list",
    "name",
    "path_prefix",
    "persistent",
    "priority",
    "protocol",
    "ramp_per_s",
    "rate_per_s",
    "resumable",
    "retry_count",
    "revision",
    "role_switch_s",
    "route_table",
    "route_type",
    "service",
    "service_table",
    "slot_count",
    "stride",
    "target_ms",
    "tenant_table",
    "timeout_ms",
    "traffic_split",
    "upsert",
    "weight",
    "withdraw",
];

/// Returns the name of a field as errors show it: a name that no configuration has may be a key, and is not shown.
pub fn shown(name: &str) -> &str {
    if FIELDS.contains(&name) {
        name
    } else {
        "?"
    }
}
