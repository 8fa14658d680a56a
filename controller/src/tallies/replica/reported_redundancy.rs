//! Logs when adds are acknowledged on fewer disks than required because of a network partition, or rejected because too
//! few replicas respond.

use kernel::log_event;

use super::State;
use crate::event::{TALLIES_LACK_REPLICAS, TALLIES_PARTITIONED, TALLIES_REDUNDANT};

/// How adds are treated, as last reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReportedRedundancy {
    /// They are acknowledged once enough disks have them.
    #[default]
    Full,
    /// A partition separates this replica from the others: the replicas in reach are enough.
    Partitioned,
    /// They are rejected.
    Lacking,
}

impl State {
    /// Logs an event if the treatment of adds has changed.
    pub(super) fn report_redundancy(&mut self, now: u64) {
        let (known, in_reach) = self.replicas.counts(now);
        let redundancy = if self.replicas.is_partitioned(now) {
            ReportedRedundancy::Partitioned
        } else if self.replicas.lacks_replicas(now) {
            ReportedRedundancy::Lacking
        } else {
            ReportedRedundancy::Full
        };
        if redundancy == self.reported_redundancy {
            return;
        }
        self.reported_redundancy = redundancy;
        let event = match redundancy {
            ReportedRedundancy::Full => TALLIES_REDUNDANT,
            ReportedRedundancy::Partitioned => TALLIES_PARTITIONED,
            ReportedRedundancy::Lacking => TALLIES_LACK_REPLICAS,
        };
        log_event!(event, "known" => known, "in_reach" => in_reach);
    }
}
