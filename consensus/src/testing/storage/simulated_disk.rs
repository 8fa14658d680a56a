//! A simulated disk for tests of the store. What was not synced may be kept, lost or torn block by
//! block at a power loss; names that were not synced are kept or lost one by one; a failed sync drops
//! what it should have written, while reads still give it.

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::mem;
use std::sync::{Arc, Mutex};

use kernel::{hashing, Rng};

const BLOCK_BYTES: usize = 64;
const LOST_PROCESS: &str = "the process is gone";

#[derive(Clone)]
pub enum FileChange {
    Write(usize, Vec<u8>),
    Truncate(usize),
}

/// A change of the names, with the file that it concerns: it does nothing to another file of that name.
#[derive(Clone)]
pub enum NameChange {
    Create(String, usize),
    Rename(String, String, usize),
    Remove(String, usize),
}

/// Invariant: `cached` is what reads give; `stored` with all of `pending` done would be the same,
/// unless a sync failed.
#[derive(Default)]
pub struct Inode {
    pub cached: Vec<u8>,
    stored: Vec<u8>,
    pub pending: Vec<FileChange>,
}

/// What goes wrong, and guards of the store that are made to do nothing.
#[derive(Clone, Default)]
pub struct Faults {
    /// Out of a thousand writes, syncs and name changes.
    pub errors: u64,
    pub capacity: usize,
    /// The process ends in the middle of the operation this many ahead.
    pub crash_in: Option<u64>,
    pub directory_sync_ignored: bool,
    pub file_sync_ignored: Option<&'static str>,
    /// Bytes written over the same bytes do not reach the disk.
    pub rewrites_ignored: bool,
    pub truncations_ignored: bool,
    /// Names become durable only by a sync of the directory, not by a sync of the new file.
    pub strict_names: bool,
}

/// A disk with the names and files on it, in memory and stored.
pub struct Disk {
    pub inodes: Vec<Inode>,
    pub names: BTreeMap<String, usize>,
    stored_names: BTreeMap<String, usize>,
    pending_names: Vec<NameChange>,
    rng: Rng,
    pub faults: Faults,
    pub crashed: bool,
}

/// A disk as the test and the store share it.
pub type SharedDisk = Arc<Mutex<Disk>>;

fn apply_write(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    if content.len() < offset + bytes.len() {
        content.resize(offset + bytes.len(), 0);
    }
    content[offset..offset + bytes.len()].copy_from_slice(bytes);
}

fn apply_name(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
        NameChange::Create(name, inode) => drop(names.insert(name.clone(), *inode)),
        NameChange::Remove(name, inode) => remove_name(names, name, *inode),
        NameChange::Rename(from, to, inode) => {
            remove_name(names, from, *inode);
            names.insert(to.clone(), *inode);
        }
    }
}

fn remove_name(names: &mut BTreeMap<String, usize>, name: &str, inode: usize) {
    if names.get(name) == Some(&inode) {
        names.remove(name);
    }
}

impl Inode {
    fn store(&mut self, change: &FileChange) {
        match change {
            FileChange::Write(offset, bytes) => apply_write(&mut self.stored, *offset, bytes),
            FileChange::Truncate(size) => self.stored.resize(*size, 0),
        }
    }

    /// Some blocks of each write reach the disk, others do not.
    fn store_in_part(&mut self, change: &FileChange, rng: &mut Rng, kept_of_ten: u64) {
        let FileChange::Write(offset, bytes) = change else { return };
        for (index, block) in bytes.chunks(BLOCK_BYTES).enumerate() {
            if rng.below(10) < kept_of_ten {
                let size = if rng.below(8) == 0 { rng.below(block.len() as u64) as usize } else { block.len() };
                apply_write(&mut self.stored, offset + index * BLOCK_BYTES, &block[..size]);
            }
        }
    }
}

impl Disk {
    /// Creates an empty disk without faults.
    pub fn new(seed: u64) -> SharedDisk {
        let rng = Rng::new(hashing::combine(seed, 77));
        Arc::new(Mutex::new(Disk {
            inodes: Vec::new(),
            names: BTreeMap::new(),
            stored_names: BTreeMap::new(),
            pending_names: Vec::new(),
            rng,
            faults: Faults { capacity: usize::MAX, ..Faults::default() },
            crashed: false,
        }))
    }

    /// Bytes that files with a name take.
    pub fn used(&self) -> usize {
        self.names.values().map(|inode| self.inodes[*inode].cached.len()).sum()
    }

    /// Loses what is in memory only; the next process finds what the disk holds.
    pub fn lose_power(&mut self) {
        // At some losses all that was not synced is gone, at some all is there.
        let kept_of_ten = [0, 2, 5, 8, 10][self.rng.below(5) as usize];
        let changes = mem::take(&mut self.pending_names);
        for change in changes {
            if self.rng.below(10) < kept_of_ten {
                apply_name(&mut self.stored_names, &change);
            }
        }
        for inode in &mut self.inodes {
            for change in mem::take(&mut inode.pending) {
                match change {
                    FileChange::Truncate(_) if self.rng.below(10) < kept_of_ten => inode.store(&change),
                    _ => inode.store_in_part(&change, &mut self.rng, kept_of_ten),
                }
            }
            inode.cached = inode.stored.clone();
        }
        self.names = self.stored_names.clone();
        self.restart();
    }

    /// A process ends and the next begins; what the kernel holds stays.
    pub fn restart(&mut self) {
        (self.crashed, self.faults.crash_in) = (false, None);
    }

    /// Returns an error where the process has ended, ends here, or the disk fails.
    pub fn operate(&mut self) -> Result<()> {
        if self.crashed {
            return Err(Error::other(LOST_PROCESS));
        }
        if let Some(left) = &mut self.faults.crash_in {
            if *left == 0 {
                self.crashed = true;
                return Err(Error::other(LOST_PROCESS));
            }
            *left -= 1;
        }
        if self.rng.below(1000) < self.faults.errors {
            return Err(Error::other("the disk refuses"));
        }
        Ok(())
    }

    /// Changes the names in memory.
    pub fn change_name(&mut self, change: NameChange) {
        apply_name(&mut self.names, &change);
        self.pending_names.push(change);
    }

    fn name_of(&self, inode: usize) -> String {
        self.names.iter().find(|(_, number)| **number == inode).map(|(name, _)| name.clone()).unwrap_or_default()
    }

    /// Writes to a file in memory, in part where that fails.
    pub fn write(&mut self, inode: usize, offset: usize, bytes: &[u8]) -> Result<()> {
        let outcome = self.operate();
        let cached = &self.inodes[inode].cached;
        let growth = (offset + bytes.len()).saturating_sub(cached.len());
        let free = self.faults.capacity.saturating_sub(self.used());
        let full = growth > free;
        // A write that fails may have been done in part.
        let size = match outcome.is_err() || full {
            true => {
                self.rng.below((bytes.len() + 1).min(bytes.len().saturating_sub(growth) + free + 1) as u64) as usize
            }
            false => bytes.len(),
        };
        let inode_state = &mut self.inodes[inode];
        let same = inode_state.cached.get(offset..offset + size) == Some(&bytes[..size]);
        apply_write(&mut inode_state.cached, offset, &bytes[..size]);
        if !(same && self.faults.rewrites_ignored) {
            inode_state.pending.push(FileChange::Write(offset, bytes[..size].to_vec()));
        }
        outcome?;
        match full {
            true => Err(Error::new(ErrorKind::StorageFull, "the disk is full")),
            false => Ok(()),
        }
    }

    /// Stores what was written to a file; a failed sync drops part of it.
    pub fn sync_file(&mut self, inode: usize) -> Result<()> {
        let outcome = self.operate();
        let name = self.name_of(inode);
        if outcome.is_ok() && self.faults.file_sync_ignored.is_some_and(|prefix| name.starts_with(prefix)) {
            return Ok(());
        }
        if outcome.is_err() && self.crashed {
            return outcome;
        }
        let inode_state = &mut self.inodes[inode];
        for change in mem::take(&mut inode_state.pending) {
            match (&outcome, &change) {
                (Ok(()), _) => inode_state.store(&change),
                // The length of a file is in the journal of the file system, which is written again.
                (Err(_), FileChange::Truncate(_)) => inode_state.pending.push(change),
                (Err(_), FileChange::Write(..)) => inode_state.store_in_part(&change, &mut self.rng, 5),
            }
        }
        if outcome.is_ok() && !self.faults.strict_names {
            let is_creation =
                |change: &NameChange| matches!(change, NameChange::Create(_, created) if *created == inode);
            if let Some(index) = self.pending_names.iter().position(is_creation) {
                let change = self.pending_names.remove(index);
                apply_name(&mut self.stored_names, &change);
            }
        }
        outcome
    }

    /// Stores all names.
    pub fn sync_names(&mut self) -> Result<()> {
        self.operate()?;
        if self.faults.directory_sync_ignored {
            return Ok(());
        }
        for change in mem::take(&mut self.pending_names) {
            apply_name(&mut self.stored_names, &change);
        }
        Ok(())
    }
}
