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

        /// Follow one configuration through all daemons, from logs and live keepers.
        cmd trace {
            /// The revision to follow.
            required revision: u64
            /// Log files, one a daemon; lines may begin with a time and a name.
            repeated logs: String
            /// A keeper's control address (IP:PORT), to ask it as it runs.
            repeated --at at: String
        }

        /// Show the fleet as a keeper sees it.
        cmd fleet {
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

        /// Play an off-peak run in the simulation: halls leave, the owner crashes and freezes.
        cmd rehearse {
            optional --jobs jobs: usize
            optional --seed seed: u64
        }
    }
}
