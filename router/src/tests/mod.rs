//! Tests of a complete router with test engines, controllers and clients.

mod broken_responses;
mod close_delimited;
mod connection_reuse;
mod early_answer;
mod early_resets;
mod evacuation;
mod exchange;
mod graceful_shutdown;
mod kept_connections;
mod phases;
mod request_forms;
mod revocation;
mod stream_end;
mod subscription_storm;
mod tenant_requests;
