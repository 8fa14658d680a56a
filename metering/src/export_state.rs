//! What is agreed on about the export of windows: it stands in a register, on a quorum of disks, before anything is told.

use protocol::metering::TenantCount;
use rkyv::{Archive, Deserialize, Serialize};

use crate::WindowId;

/// How many windows are kept as told, so that they are never agreed on anew.
pub const RETAINED_WINDOWS: usize = 64;

/// One window whose counts are agreed on. The stored bytes depend on the order of the fields.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ExportWindow {
    /// The window.
    pub window: WindowId,
    /// The platform has acknowledged it: the counts are no longer kept.
    pub told: bool,
    /// The counts by tenant, in order of the names.
    pub counts: Vec<TenantCount>,
}

/// The windows that are agreed on, ascending.
///
/// Invariants: the counts of a window never change; a window that was told is never open again, and none below the oldest
/// one that is kept can be agreed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ExportState {
    /// No window below this one can be agreed on any more.
    pub first: WindowId,
    /// The windows in their order.
    pub windows: Vec<ExportWindow>,
}

kernel::impl_archive_bytes!(ExportState);

impl ExportState {
    /// Returns the state in a register's body, the initial one where it is empty. `None`: the body is of another form.
    pub fn open(body: &[u8]) -> Option<ExportState> {
        match body.is_empty() {
            true => Some(ExportState::default()),
            false => ExportState::from_bytes(body),
        }
    }

    /// Returns whether a window may still be agreed on.
    pub fn is_open(&self, window: WindowId) -> bool {
        window >= self.first && self.find(window).is_none()
    }

    fn find(&self, window: WindowId) -> Option<&ExportWindow> {
        self.windows.iter().find(|known| known.window == window)
    }

    /// Returns the state in which the counts of a window are agreed on; `None` where that window is not open.
    pub fn with_agreed(&self, window: WindowId, counts: Vec<TenantCount>) -> Option<ExportState> {
        if !self.is_open(window) {
            return None;
        }
        let mut next = self.clone();
        next.windows.push(ExportWindow { window, told: false, counts });
        next.windows.sort_by_key(|known| known.window);
        next.forget_told();
        Some(next)
    }

    /// Returns the state in which a window was told; `None` where it was before, or is not agreed on.
    pub fn with_told(&self, window: WindowId) -> Option<ExportState> {
        let position = self.windows.iter().position(|known| known.window == window && !known.told)?;
        let mut next = self.clone();
        next.windows[position] = ExportWindow { window, told: true, counts: Vec::new() };
        Some(next)
    }

    /// Forgets the oldest windows that were told, and closes what is below them.
    fn forget_told(&mut self) {
        while self.windows.len() > RETAINED_WINDOWS && self.windows[0].told {
            let forgotten = self.windows.remove(0);
            self.first = self.first.max(forgotten.window + 1);
        }
    }

    /// Returns the oldest window that is agreed on and was not told.
    pub fn next_to_tell(&self) -> Option<&ExportWindow> {
        self.windows.iter().find(|known| !known.told)
    }
}

#[cfg(test)]
#[path = "export_state_tests.rs"]
mod tests;
