//! What the command line takes.

xflags::xflags! {
    /// Checks, traces and batches for a tidepoint fleet.
    cmd tidepoint {
        /// Print the version.
        optional --version

        /// Check a settings file (TIDEPOINT_CONFIG without a path).
        cmd check {
            optional path: String
        }

        /// Follow one configuration through all daemons, from logs and live controllers.
        cmd trace {
            /// The revision to follow.
            required revision: u64
            /// Log files, one a daemon; lines may begin with a time and a name.
            repeated logs: String
            /// A controller's control address (IP:PORT), to ask it as it runs.
            repeated --at at: String
        }

        /// Show the fleet as a controller sees it.
        cmd fleet {
            required --at at: String
        }

        /// Show what tenants have used of their limits, over all routers: the busiest first.
        cmd tenants {
            required --at at: String
        }

        /// Submit a batch of jobs from a JSON file.
        cmd submit {
            required --at at: String
            required --key key: String
            required file: String
        }

        /// Show a batch's state.
        cmd status {
            required --at at: String
            required batch: String
        }

        /// Fetch a batch's receipts.
        cmd results {
            required --at at: String
            required batch: String
        }

        /// Cancel what of a batch is not yet sent.
        cmd cancel {
            required --at at: String
            required batch: String
        }

        /// The limit on how far behind the trainer's latest weights a replica may fall.
        cmd rollout {
            /// Show one rule and how far it holds, or all rules.
            cmd show {
                required --at at: String
                optional --service service: String
                optional --model model: String
            }
            /// Make or replace a rule.
            cmd set {
                required --at at: String
                required --service service: String
                required --model model: String
                /// The trainer's latest version.
                required --latest latest: u64
                /// How many versions a replica may be behind it.
                required --lag lag: u64
                /// A route that the rule binds.
                repeated --route route: String
                /// The version it builds on; 0 for a new rule.
                optional --base base: u64
            }
            /// Report the trainer's latest version.
            cmd latest {
                required --at at: String
                required --service service: String
                required --model model: String
                required version: u64
            }
            /// Serve an older version again, and say why.
            cmd rollback {
                required --at at: String
                required --service service: String
                required --model model: String
                required --reason reason: String
                required version: u64
            }
            /// Remove a rule.
            cmd remove {
                required --at at: String
                required --service service: String
                required --model model: String
                required --base base: u64
            }
        }

        /// Simulate decisions of routers and controllers in virtual time.
        cmd experiment {
            /// What: `rollout`, good and faulty versions beside engines that fail by themselves.
            required subject: String
            /// Terms of each scenario (100).
            optional --terms terms: u64
            /// The seed of all draws (1).
            optional --seed seed: u64
            /// The length of a term (12).
            optional --duration-s duration_s: f64
            /// Decode engines of each version (36).
            optional --engines engines: usize
            /// Slots of an engine (64).
            optional --slots slots: u32
            /// Requests a second (310).
            optional --per-s per_s: f64
            /// A part of the design that is switched off: baseline, engines or load.
            optional --without part: String
            /// Print one JSON object a line.
            optional --json
        }

        /// Bringing in a new version of a service.
        cmd version {
            /// Start it: engines of the new version run beside the old ones.
            cmd start {
                required --at at: String
                required --service service: String
                required --version version: String
                /// By then it is to be complete or reverted.
                required --duration-s duration_s: f64
            }
            /// Show where it stands.
            cmd state {
                required --at at: String
                required --service service: String
            }
        }

        /// Show which windows of usage are agreed on, and which the platform has acknowledged.
        cmd usage {
            required --at at: String
        }

        /// Tallies: counters that every controller with a disk goes on with while zones are cut off.
        cmd tally {
            /// Show one tally's total.
            cmd get {
                required --at at: String
                required name: String
            }
            /// Add to a tally, once for each key.
            cmd add {
                required --at at: String
                /// The key under which it counts once, however often it is sent.
                required --key key: String
                /// A whole number.
                required --amount amount: u64
                required name: String
            }
            /// Show how much room tallies take at a controller, and how many replicas it reaches.
            cmd room {
                required --at at: String
            }
            /// Show all tallies with their totals.
            cmd list {
                required --at at: String
            }
        }

        /// Play an off-peak run in the simulation: halls leave, the owner crashes and freezes.
        cmd rehearse {
            optional --jobs jobs: usize
            optional --seed seed: u64
        }
    }
}
