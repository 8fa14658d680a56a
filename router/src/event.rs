//! Numbered log events of the router. `docs/events.md` catalogues them with the meaning of their fields; a test
//! compares the two.

use kernel::log::Event;

/// The router process has started.
pub const ROUTER_STARTED: Event = Event { code: 201, text: "router started" };
/// Readiness checks succeed from now on.
pub const READY: Event = Event { code: 202, text: "ready" };
/// A configuration is in force.
pub const CONFIG_ACTIVATED: Event = Event { code: 210, text: "configuration in force" };
/// A configuration from a controller could not be read; the previous one stays in force.
pub const CONFIG_UNREADABLE: Event = Event { code: 211, text: "configuration from a controller could not be read" };
/// An evacuation of a zone is in force.
pub const EVACUATION_ACTIVATED: Event = Event { code: 212, text: "evacuation in force" };
/// The first request under a configuration was read.
pub const FIRST_REQUEST: Event = Event { code: 213, text: "first request under a configuration" };
/// A staleness limit on weights is in force.
pub const STALENESS_LIMIT_ACTIVATED: Event = Event { code: 214, text: "staleness limit in force" };
/// No replica is within the staleness limit, so requests are rejected.
pub const STALENESS_LIMIT_UNMET: Event = Event { code: 215, text: "no replica within the staleness limit" };
/// The share of a service's requests that a version gets has changed, or its rollout has ended.
pub const VERSION_ROLLOUT_ACTIVATED: Event = Event { code: 216, text: "version rollout updated" };
/// The router has subscribed to another controller.
pub const HOME_CONTROLLER_CHANGED: Event = Event { code: 220, text: "home controller changed" };
/// Another controller runs the catalog.
pub const CATALOG_OWNER_CHANGED: Event = Event { code: 221, text: "catalog owner changed" };
/// An engine did not respond.
pub const ENGINE_UNRESPONSIVE: Event = Event { code: 230, text: "engine did not respond" };
/// A response that belongs to another request was dropped, and its connection closed.
pub const RESPONSE_MISMATCHED: Event = Event { code: 231, text: "response to another request dropped" };
/// A response whose head is invalid was dropped, and its connection closed.
pub const RESPONSE_INVALID: Event = Event { code: 232, text: "response with an invalid head dropped" };
/// A graceful shutdown has started.
pub const SHUTDOWN_STARTED: Event = Event { code: 240, text: "graceful shutdown started" };
/// A graceful shutdown has finished; requests still in flight are aborted.
pub const SHUTDOWN_FINISHED: Event = Event { code: 241, text: "graceful shutdown finished" };
/// Totals of prefix lookups and transfers, logged at shutdown.
pub const PREFIX_LOOKUP_COUNTS: Event = Event { code: 250, text: "prefix lookup counts" };
