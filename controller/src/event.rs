//! Numbered log events of the controller. `docs/events.md` catalogues them with the meaning of their fields; a test
//! compares the two.

use kernel::log::Event;

/// The controller process has started.
pub const CONTROLLER_STARTED: Event = Event { code: 101, text: "controller started" };
/// The data directory cannot be used; the process exits.
pub const DISK_UNUSABLE: Event = Event { code: 102, text: "data directory unusable" };
/// A disk operation failed. Writes are retried until they succeed.
pub const DISK_FAILED: Event = Event { code: 103, text: "disk write failed, retrying" };
/// A change of the configuration is committed.
pub const CONFIG_COMMITTED: Event = Event { code: 110, text: "configuration committed" };
/// An evacuation, or its end, is committed.
pub const EVACUATION_COMMITTED: Event = Event { code: 111, text: "evacuation committed" };
/// This controller learned a committed entry.
pub const ENTRY_LEARNED: Event = Event { code: 112, text: "key learned" };
/// An operator request was rejected.
pub const REQUEST_REJECTED: Event = Event { code: 113, text: "operator request rejected" };
/// The outcome of an operator request is unknown: it may have been executed, or may still be.
pub const REQUEST_OUTCOME_UNKNOWN: Event = Event { code: 114, text: "operator request outcome unknown" };
/// A committed entry has a format that this version does not support.
pub const ENTRY_UNREADABLE: Event = Event { code: 115, text: "committed entry cannot be read" };
/// This controller adopted a newer core membership.
pub const CORE_CHANGED: Event = Event { code: 120, text: "core membership changed" };
/// An acceptor that lost its disk has recovered its state and may vote.
pub const RECOVERED: Event = Event { code: 121, text: "acceptor state recovered from other acceptors" };
/// An acceptor that was never a core member may become one.
pub const VOTING_ENABLED: Event = Event { code: 122, text: "new acceptor may join the core" };
/// An endpoint list changed.
pub const ENDPOINT_LIST_CHANGED: Event = Event { code: 130, text: "endpoint list changed" };
/// A graceful shutdown has started.
pub const SHUTDOWN_STARTED: Event = Event { code: 140, text: "graceful shutdown started" };
/// A graceful shutdown has finished; work that is unfinished after the grace period is abandoned.
pub const SHUTDOWN_FINISHED: Event = Event { code: 141, text: "graceful shutdown finished" };
/// This controller acquired a singleton role.
pub const ROLE_ACQUIRED: Event = Event { code: 150, text: "singleton role acquired" };
/// An engine was ordered to switch between prefill and decode.
pub const PHASE_ORDER: Event = Event { code: 151, text: "engine ordered to switch between prefill and decode" };
/// A batch was accepted.
pub const BATCH_ACCEPTED: Event = Event { code: 160, text: "batch accepted" };
/// A batch job has a final outcome.
pub const JOB_FINISHED: Event = Event { code: 161, text: "batch job finished" };
/// A staleness limit is in force on all routers: none of them can send work past it any more.
pub const STALENESS_LIMIT_ENFORCED: Event = Event { code: 170, text: "staleness limit in force on all routers" };
/// A router renews its lease without confirming a staleness limit.
pub const STALENESS_LIMIT_UNCONFIRMED: Event =
    Event { code: 171, text: "a router renews its lease without confirming a staleness limit" };
/// The request counts of a metering window are committed.
pub const USAGE_COMMITTED: Event = Event { code: 192, text: "usage of a window committed" };
/// The platform acknowledged the request counts of a metering window.
pub const USAGE_ACKNOWLEDGED: Event = Event { code: 193, text: "usage of a window acknowledged" };
/// The platform did not acknowledge the request counts of a metering window; they are sent again.
pub const USAGE_REFUSED: Event = Event { code: 194, text: "usage of a window not acknowledged" };
/// The tally replica of this controller has caught up and serves requests.
pub const TALLIES_CAUGHT_UP: Event = Event { code: 190, text: "tally replica caught up" };
/// The tally replica of this controller is full and accepts no new keys.
pub const TALLIES_FULL: Event = Event { code: 191, text: "tally replica full, no new keys accepted" };
/// The tally replica of this controller is nearly full.
pub const TALLIES_FILLING: Event = Event { code: 195, text: "tally replica nearly full" };
/// A network partition separates this tally replica from others: adds are acknowledged by the replicas in reach.
pub const TALLIES_PARTITIONED: Event = Event { code: 196, text: "tally replica partitioned, fewer disks acknowledge" };
/// Too few tally replicas respond, and there is no partition: adds are rejected.
pub const TALLIES_LACK_REPLICAS: Event = Event { code: 197, text: "too few tally replicas, no adds accepted" };
/// Adds to tallies are acknowledged with the full redundancy again.
pub const TALLIES_REDUNDANT: Event = Event { code: 198, text: "tally replicas in reach again" };
/// The version of a service was recorded without a rollout.
pub const STABLE_VERSION_RECORDED: Event = Event { code: 181, text: "version of a service recorded" };
/// A version rollout advanced, completed or was reverted.
pub const VERSION_STEP: Event = Event { code: 180, text: "version rollout changed" };
