//! Names of the fields of configurations and patches.

/// The table of routes.
pub const ROUTES: &str = "route_table";
/// The table of services.
pub const SERVICES: &str = "service_table";
/// The table of tenants.
pub const TENANTS: &str = "tenant_table";
/// The limits for client connections.
pub const LIMITS: &str = "limits";
/// The revision of a configuration or a patch.
pub const REVISION: &str = "revision";

/// The part of a patch that lists the items to add or replace.
pub const UPSERT: &str = "upsert";
/// The part of a patch that lists the names of the items to remove.
pub const WITHDRAW: &str = "withdraw";

/// Field names that error messages may contain.
pub const KNOWN_FIELDS: &[&str] = &[
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

/// Returns a field name for use in an error message. An unknown name becomes `?`, because it may be an API key.
pub fn redact_unknown(name: &str) -> &str {
    if KNOWN_FIELDS.contains(&name) {
        name
    } else {
        "?"
    }
}
