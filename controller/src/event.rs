//! Numbered log events of the controller; the catalogue is docs/events.md.
use kernel::log::Event;

pub const START: Event = Event { code: 101, text: "controller started" };
pub const BAD_DISK: Event = Event { code: 102, text: "disk refused" };
pub const DISK_WAIT: Event = Event { code: 103, text: "disk write failed, trying again" };
pub const CONFIG: Event = Event { code: 110, text: "configuration committed" };
pub const EVACUATION: Event = Event { code: 111, text: "evacuation committed" };
pub const LEARNED: Event = Event { code: 112, text: "key learned" };
pub const REFUSED: Event = Event { code: 113, text: "operator's call refused" };
pub const UNCLEAR: Event = Event { code: 114, text: "operator's call without clear outcome" };
pub const UNREADABLE: Event = Event { code: 115, text: "committed entry cannot be read" };
pub const CORE: Event = Event { code: 120, text: "core changed" };
pub const RECALLED: Event = Event { code: 121, text: "memory read back from the other voters" };
pub const FRESH: Event = Event { code: 122, text: "empty disk, never a voter: may be added" };
pub const LIST: Event = Event { code: 130, text: "engine list changed" };
pub const LEAVE: Event = Event { code: 140, text: "leaving" };
pub const VERSION_STEP: Event = Event { code: 180, text: "step of a version rollout" };
pub const GONE: Event = Event { code: 141, text: "left" };
pub const DUTY: Event = Event { code: 150, text: "duty taken" };
pub const ORDER: Event = Event { code: 151, text: "engine ordered to change its part" };
pub const BATCH: Event = Event { code: 160, text: "batch taken" };
pub const JOB: Event = Event { code: 161, text: "job answered" };
pub const RULE: Event = Event { code: 170, text: "limit on stale weights binds everywhere" };
pub const UNSETTLED: Event = Event { code: 171, text: "a router keeps its lease without confirming a limit" };
