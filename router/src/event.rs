//! Numbered log events of the router; the catalogue is docs/events.md.
use kernel::log::Event;

pub const ROUTER_STARTED: Event = Event { code: 201, text: "router started" };
pub const READY: Event = Event { code: 202, text: "ready" };
pub const CONFIG_ACTIVATED: Event = Event { code: 210, text: "configuration in force" };
pub const CONFIG_UNREADABLE: Event = Event { code: 211, text: "configuration from a controller could not be read" };
pub const EVACUATION_ACTIVATED: Event = Event { code: 212, text: "evacuation in force" };
pub const FIRST_REQUEST: Event = Event { code: 213, text: "first request under a configuration" };
pub const STALENESS_LIMIT_ACTIVATED: Event = Event { code: 214, text: "limit on stale weights in force" };
pub const STALENESS_LIMIT_UNMET: Event = Event { code: 215, text: "no replica inside the limit on stale weights" };
pub const VERSION_ROLLOUT_ACTIVATED: Event = Event { code: 216, text: "version rollout in force" };
pub const HOME_CONTROLLER_CHANGED: Event = Event { code: 220, text: "following another controller" };
pub const CATALOG_OWNER_CHANGED: Event = Event { code: 221, text: "catalog changed hands" };
pub const ENGINE_UNRESPONSIVE: Event = Event { code: 230, text: "engine gave no answer" };
pub const SHUTDOWN_STARTED: Event = Event { code: 240, text: "leaving" };
pub const SHUTDOWN_FINISHED: Event = Event { code: 241, text: "left" };
pub const PREFIX_LOOKUP_COUNTS: Event = Event { code: 250, text: "counts" };
pub const RESPONSE_MISMATCHED: Event = Event { code: 231, text: "answer of another request dropped" };
