//! The command line's subcommands and flags.

xflags::xflags! {
    /// Inspect and operate a tidepoint fleet.
    cmd tidepoint {
        /// Print the version.
        optional --version

        /// Check a settings file (default: the file that TIDEPOINT_CONFIG names).
        cmd check {
            optional path: String
        }

        /// Trace one configuration revision through all daemons, from log files and live controllers.
        cmd trace {
            /// The revision to trace.
            required revision: u64
            /// Log files, one per daemon; each line may start with a time in seconds and a daemon's name.
            repeated logs: String
            /// The control address (IP:PORT) of a live controller to query.
            repeated --at at: String
        }

        /// Show the fleet as a controller sees it.
        cmd fleet {
            required --at at: String
        }

        /// Show how much of their limits tenants have used across all routers, busiest first.
        cmd tenants {
            required --at at: String
        }

        /// Submit a batch of jobs from a JSON file.
        cmd submit {
            required --at at: String
            required --key key: String
            required file: String
        }

        /// Show the state of a batch.
        cmd status {
            required --at at: String
            required batch: String
        }

        /// Fetch the receipts of a batch.
        cmd results {
            required --at at: String
            required batch: String
        }

        /// Cancel the jobs of a batch that are not yet sent.
        cmd cancel {
            required --at at: String
            required batch: String
        }

        /// Manage staleness limits: how far a replica's weights may lag behind the trainer's latest version.
        cmd rollout {
            /// Show one limit and where it is in force, or all limits.
            cmd show {
                required --at at: String
                optional --service service: String
                optional --model model: String
            }
            /// Create or replace a limit.
            cmd set {
                required --at at: String
                required --service service: String
                required --model model: String
                /// The trainer's latest version.
                required --latest latest: u64
                /// How many versions a replica may lag behind the latest.
                required --lag lag: u64
                /// A route that the limit applies to.
                repeated --route route: String
                /// The current version of the limit that this replaces; 0 for a new limit.
                optional --base base: u64
            }
            /// Report the trainer's latest version.
            cmd latest {
                required --at at: String
                required --service service: String
                required --model model: String
                required version: u64
            }
            /// Return to an older version, with a reason.
            cmd rollback {
                required --at at: String
                required --service service: String
                required --model model: String
                required --reason reason: String
                required version: u64
            }
            /// Remove a limit.
            cmd remove {
                required --at at: String
                required --service service: String
                required --model model: String
                required --base base: u64
            }
        }

        /// Simulate the decisions of routers and controllers in virtual time.
        cmd experiment {
            /// The experiment: `rollout` simulates good and faulty versions while other engines fail independently.
            required subject: String
            /// Number of rollout terms per scenario (default 100).
            optional --terms terms: u64
            /// Seed of the random number generator (default 1).
            optional --seed seed: u64
            /// Duration of a term in seconds (default 12).
            optional --duration-s duration_s: f64
            /// Decode engines per version (default 36).
            optional --engines engines: usize
            /// Slots per engine (default 64).
            optional --slots slots: u32
            /// Requests per second (default 310).
            optional --per-s per_s: f64
            /// The part of the design to disable: baseline, engines or load.
            optional --without part: String
            /// Print one JSON object per line.
            optional --json
        }

        /// Roll out a new version of a service.
        cmd version {
            /// Start a rollout: engines of the new version run beside the old ones.
            cmd start {
                required --at at: String
                required --service service: String
                required --version version: String
                /// Seconds within which the rollout must complete or be reverted.
                required --duration-s duration_s: f64
            }
            /// Show the state of a rollout.
            cmd state {
                required --at at: String
                required --service service: String
            }
        }

        /// Show which usage windows are agreed on and which the platform has acknowledged.
        cmd usage {
            required --at at: String
        }

        /// Manage tallies: counters that every controller with a disk keeps updating while zones are partitioned.
        cmd tally {
            /// Show the total of one tally.
            cmd get {
                required --at at: String
                required name: String
            }
            /// Add to a tally, at most once per key.
            cmd add {
                required --at at: String
                /// Idempotency key: repeated adds with the same key count once.
                required --key key: String
                /// The amount to add, a whole number.
                required --amount amount: u64
                required name: String
            }
            /// Show how much capacity tallies use at a controller, and how many replicas it reaches.
            cmd room {
                required --at at: String
            }
            /// Show the totals of all tallies.
            cmd list {
                required --at at: String
            }
        }

        /// Simulate a batch during which zones are evacuated and the owner crashes and freezes.
        cmd rehearse {
            optional --jobs jobs: usize
            optional --seed seed: u64
        }
    }
}
