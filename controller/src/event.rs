//! Numbered log events of the controller; the catalogue is docs/events.md.

use kernel::log::Event;

/// The process started.
pub const START: Event = Event { code: 101, text: "controller started" };
/// The data folder cannot be used; the process ends.
pub const DISK_UNUSABLE: Event = Event { code: 102, text: "disk refused" };
/// A write failed and is tried again.
pub const DISK_WAIT: Event = Event { code: 103, text: "disk write failed, trying again" };
/// A change of the configuration is committed.
pub const CONFIG: Event = Event { code: 110, text: "configuration committed" };
/// An evacuation, or its end, is committed.
pub const EVACUATION: Event = Event { code: 111, text: "evacuation committed" };
/// A committed entry became known here.
pub const LEARNED: Event = Event { code: 112, text: "key learned" };
/// An operator's request was rejected.
pub const REFUSED: Event = Event { code: 113, text: "operator's call refused" };
/// An operator's request may have been carried out, or may yet be.
pub const UNCLEAR: Event = Event { code: 114, text: "operator's call without clear outcome" };
/// A committed entry is of no form that this version knows.
pub const UNREADABLE: Event = Event { code: 115, text: "committed entry cannot be read" };
/// Another core membership is known.
pub const CORE_CHANGED: Event = Event { code: 120, text: "core changed" };
/// An acceptor without memory has recovered and may vote.
pub const RECOVERED: Event = Event { code: 121, text: "memory read back from the other voters" };
/// An acceptor that never was a member may be made one.
pub const VOTING_ENABLED: Event = Event { code: 122, text: "empty disk, never a voter: may be added" };
/// An endpoint list changed.
pub const LIST: Event = Event { code: 130, text: "engine list changed" };
/// SIGTERM came.
pub const SHUTDOWN_BEGUN: Event = Event { code: 140, text: "leaving" };
/// What was under way is finished, or the grace is over.
pub const SHUTDOWN_FINISHED: Event = Event { code: 141, text: "left" };
/// This controller acquired a singleton role.
pub const ROLE_ACQUIRED: Event = Event { code: 150, text: "duty taken" };
/// An engine was told to change between prefill and decode.
pub const PHASE_ORDER: Event = Event { code: 151, text: "engine ordered to change its part" };
/// A batch was accepted.
pub const BATCH: Event = Event { code: 160, text: "batch taken" };
/// A job of a batch has its outcome.
pub const JOB: Event = Event { code: 161, text: "job answered" };
/// No router can send work past a staleness limit any more.
pub const RULE: Event = Event { code: 170, text: "limit on stale weights binds everywhere" };
/// A router keeps its lease without confirming a staleness limit.
pub const UNSETTLED: Event = Event { code: 171, text: "a router keeps its lease without confirming a limit" };
/// The counts of a window are agreed on.
pub const USAGE_AGREED: Event = Event { code: 192, text: "usage of a window agreed on" };
/// The platform acknowledged the counts of a window.
pub const USAGE_TOLD: Event = Event { code: 193, text: "usage of a window told" };
/// The platform did not acknowledge the counts of a window; they are sent again.
pub const USAGE_REFUSED: Event = Event { code: 194, text: "usage of a window not acknowledged" };
/// The replica of tallies here answers from now on.
pub const TALLIES_CAUGHT_UP: Event = Event { code: 190, text: "tallies caught up" };
/// The replica of tallies here takes no new keys.
pub const TALLIES_FULL: Event = Event { code: 191, text: "no room for more keys of tallies" };
/// The replica of tallies here is nearly full.
pub const TALLIES_FILLING: Event = Event { code: 195, text: "tallies are filling up" };
/// A version rollout took a step.
pub const VERSION_STEP: Event = Event { code: 180, text: "step of a version rollout" };
