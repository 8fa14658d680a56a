//! Numbered log events of the router; the catalogue is docs/events.md.
use kernel::log::Event;

pub const START: Event = Event { code: 201, text: "router started" };
pub const READY: Event = Event { code: 202, text: "ready" };
pub const CONFIG: Event = Event { code: 210, text: "configuration in force" };
pub const BAD_CONFIG: Event = Event { code: 211, text: "configuration from a controller could not be read" };
pub const CLOSED: Event = Event { code: 212, text: "evacuation in force" };
pub const FIRST: Event = Event { code: 213, text: "first request under a configuration" };
pub const RULE: Event = Event { code: 214, text: "limit on stale weights in force" };
pub const FEW: Event = Event { code: 215, text: "no replica inside the limit on stale weights" };
pub const VERSION: Event = Event { code: 216, text: "version rollout in force" };
pub const HOME: Event = Event { code: 220, text: "following another controller" };
pub const CATALOG: Event = Event { code: 221, text: "catalog changed hands" };
pub const STRIKE: Event = Event { code: 230, text: "engine gave no answer" };
pub const LEAVE: Event = Event { code: 240, text: "leaving" };
pub const GONE: Event = Event { code: 241, text: "left" };
pub const COUNTS: Event = Event { code: 250, text: "counts" };
pub const MISFIT: Event = Event { code: 231, text: "answer of another request dropped" };
