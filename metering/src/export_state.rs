//! The committed state of the export. It is in a register, stored by a quorum, before any of its counts are sent to the
//! platform.

use protocol::metering::TenantCount;
use rkyv::{Archive, Deserialize, Serialize};

use crate::WindowId;

/// How many committed windows are kept, so that acknowledged ones are not committed again. Unacknowledged windows are
/// always kept.
pub const RETAINED_WINDOWS: usize = 64;

/// A window whose counts are committed. The stored bytes depend on the order of the fields.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ExportWindow {
    /// Number of the window.
    pub window: WindowId,
    /// Whether the platform has acknowledged the window. Its counts are then dropped.
    pub told: bool,
    /// Counts by tenant, sorted by tenant name.
    pub counts: Vec<TenantCount>,
}

/// The committed windows.
///
/// Invariants: the counts of a window never change before the platform acknowledges it; an acknowledged window never
/// becomes open again; no window below `first` can be committed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ExportState {
    /// First window that may still be committed; all earlier ones are closed.
    pub first: WindowId,
    /// Committed windows in ascending order.
    pub windows: Vec<ExportWindow>,
}

kernel::impl_archive_bytes!(ExportState);

impl ExportState {
    /// Decodes the body of a register; an empty body is the initial state. Returns `None` if the body is malformed.
    pub fn open(body: &[u8]) -> Option<ExportState> {
        match body.is_empty() {
            true => Some(ExportState::default()),
            false => ExportState::from_bytes(body),
        }
    }

    /// Returns whether a window may still be committed.
    pub fn is_open(&self, window: WindowId) -> bool {
        window >= self.first && self.find(window).is_none()
    }

    fn find(&self, window: WindowId) -> Option<&ExportWindow> {
        self.windows.iter().find(|known| known.window == window)
    }

    /// Returns the state with the counts of a window added, or `None` if the window is not open.
    pub fn with_committed(&self, window: WindowId, counts: Vec<TenantCount>) -> Option<ExportState> {
        if !self.is_open(window) {
            return None;
        }
        let mut next = self.clone();
        next.windows.push(ExportWindow { window, told: false, counts });
        next.windows.sort_by_key(|known| known.window);
        next.remove_acknowledged();
        Some(next)
    }

    /// Returns the state with a window marked as acknowledged, or `None` if it already is or is not committed.
    pub fn with_acknowledged(&self, window: WindowId) -> Option<ExportState> {
        let position = self.windows.iter().position(|known| known.window == window && !known.told)?;
        let mut next = self.clone();
        next.windows[position] = ExportWindow { window, told: true, counts: Vec::new() };
        Some(next)
    }

    /// Removes the oldest windows beyond `RETAINED_WINDOWS` while they are acknowledged, and closes all windows up to
    /// them.
    fn remove_acknowledged(&mut self) {
        while self.windows.len() > RETAINED_WINDOWS && self.windows[0].told {
            let removed = self.windows.remove(0);
            self.first = self.first.max(removed.window + 1);
        }
    }

    /// Returns the oldest committed window that is not acknowledged, which is the next to send to the platform.
    pub fn next_unacknowledged(&self) -> Option<&ExportWindow> {
        self.windows.iter().find(|known| !known.told)
    }
}

#[cfg(test)]
#[path = "export_state_tests.rs"]
mod tests;
