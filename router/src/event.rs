//! The numbered log events of the router. The catalogue, with the meaning of their fields, is `docs/events.md`; a test
//! compares the two.

use kernel::log::Event;

/// A router process has started.
pub const ROUTER_STARTED: Event = Event { code: 201, text: "router started" };
/// Readiness checks get a 200 from now on.
pub const READY: Event = Event { code: 202, text: "ready" };
/// A configuration is in force.
pub const CONFIG_ACTIVATED: Event = Event { code: 210, text: "configuration in force" };
/// A configuration from a controller could not be read; the one before stays in force.
pub const CONFIG_UNREADABLE: Event = Event { code: 211, text: "configuration from a controller could not be read" };
/// An evacuation of a zone is in force.
pub const EVACUATION_ACTIVATED: Event = Event { code: 212, text: "evacuation in force" };
/// The first request under a configuration was read.
pub const FIRST_REQUEST: Event = Event { code: 213, text: "first request under a configuration" };
/// A limit on stale weights is in force.
pub const STALENESS_LIMIT_ACTIVATED: Event = Event { code: 214, text: "limit on stale weights in force" };
/// No replica is inside the limit on stale weights, so requests are rejected.
pub const STALENESS_LIMIT_UNMET: Event = Event { code: 215, text: "no replica inside the limit on stale weights" };
/// A version gets another share of the requests of its service, or its rollout has ended.
pub const VERSION_ROLLOUT_ACTIVATED: Event = Event { code: 216, text: "version rollout in force" };
/// The router subscribes to another controller.
pub const HOME_CONTROLLER_CHANGED: Event = Event { code: 220, text: "following another controller" };
/// Another controller runs the catalog.
pub const CATALOG_OWNER_CHANGED: Event = Event { code: 221, text: "catalog changed hands" };
/// An engine did not respond.
pub const ENGINE_UNRESPONSIVE: Event = Event { code: 230, text: "engine gave no answer" };
/// A response that belongs to another request was dropped with its connection.
pub const RESPONSE_MISMATCHED: Event = Event { code: 231, text: "answer of another request dropped" };
/// A graceful shutdown has begun.
pub const SHUTDOWN_STARTED: Event = Event { code: 240, text: "leaving" };
/// A graceful shutdown is over; what is unfinished is abandoned.
pub const SHUTDOWN_FINISHED: Event = Event { code: 241, text: "left" };
/// Totals of prefix look-ups and transfers, logged at shutdown.
pub const PREFIX_LOOKUP_COUNTS: Event = Event { code: 250, text: "counts" };
