//! A simulated disk for tests of the store. At a power loss, writes that were not synced may be kept, lost or torn
//! block by block, and file names that were not synced are kept or lost one by one. A failed sync drops part of the
//! pending writes, while reads still return them.

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::mem;
use std::sync::{Arc, Mutex};

use kernel::{hashing, Rng};

const BLOCK_BYTES: usize = 64;
const PROCESS_ENDED: &str = "the process has ended";

/// A change of the content of a file.
#[derive(Clone)]
pub enum FileChange {
    Write(usize, Vec<u8>),
    Truncate(usize),
}

/// A change of the file names, with the inode of the affected file. It does not affect another file of the same name.
#[derive(Clone)]
pub enum NameChange {
    Create(String, usize),
    Rename(String, String, usize),
    Remove(String, usize),
}

/// The content of a file. Invariant: reads return `cached`, which equals `stored` with all `pending` changes applied,
/// unless a sync has failed.
#[derive(Default)]
pub struct Inode {
    pub cached: Vec<u8>,
    stored: Vec<u8>,
    pub pending: Vec<FileChange>,
}

/// The faults of a disk, and operations that it ignores in order to disable a safeguard of the store.
#[derive(Clone, Default)]
pub struct Faults {
    /// The number of operations out of a thousand that fail.
    pub errors: u64,
    /// The capacity of the disk, in bytes.
    pub capacity: usize,
    /// The number of operations after which the process ends, in the middle of the next one.
    pub crash_in: Option<u64>,
    /// Whether a sync of the directory does nothing.
    pub directory_sync_ignored: bool,
    /// The name prefix of the files whose sync does nothing.
    pub file_sync_ignored: Option<&'static str>,
    /// Whether a write that does not change the content is dropped.
    pub rewrites_ignored: bool,
    /// Whether truncations are dropped.
    pub truncations_ignored: bool,
    /// Whether a new name becomes durable only by a sync of the directory, not by a sync of the file.
    pub strict_names: bool,
}

/// A disk with its files and their names, both as cached in memory and as stored.
pub struct Disk {
    pub inodes: Vec<Inode>,
    pub names: BTreeMap<String, usize>,
    stored_names: BTreeMap<String, usize>,
    pending_names: Vec<NameChange>,
    rng: Rng,
    pub faults: Faults,
    pub crashed: bool,
}

/// A disk that the test and the store share.
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

    /// Stores some blocks of a write and drops the others.
    fn store_partially(&mut self, change: &FileChange, rng: &mut Rng, kept_of_ten: u64) {
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

    /// Returns the total size of the files that have a name, in bytes.
    pub fn used(&self) -> usize {
        self.names.values().map(|inode| self.inodes[*inode].cached.len()).sum()
    }

    /// Simulates a power loss: discards what is cached in memory only, and starts the next process.
    pub fn lose_power(&mut self) {
        // In some power losses all writes that were not synced are lost, in others all are kept.
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
                    _ => inode.store_partially(&change, &mut self.rng, kept_of_ten),
                }
            }
            inode.cached = inode.stored.clone();
        }
        self.names = self.stored_names.clone();
        self.restart();
    }

    /// Ends the process and starts the next one. The page cache of the kernel is kept.
    pub fn restart(&mut self) {
        (self.crashed, self.faults.crash_in) = (false, None);
    }

    /// Starts an operation. Returns an error if the process has ended, ends in this operation, or the disk fails.
    pub fn begin_operation(&mut self) -> Result<()> {
        if self.crashed {
            return Err(Error::other(PROCESS_ENDED));
        }
        if let Some(left) = &mut self.faults.crash_in {
            if *left == 0 {
                self.crashed = true;
                return Err(Error::other(PROCESS_ENDED));
            }
            *left -= 1;
        }
        if self.rng.below(1000) < self.faults.errors {
            return Err(Error::other("simulated disk error"));
        }
        Ok(())
    }

    /// Changes the cached file names.
    pub fn change_name(&mut self, change: NameChange) {
        apply_name(&mut self.names, &change);
        self.pending_names.push(change);
    }

    fn name_of(&self, inode: usize) -> String {
        self.names.iter().find(|(_, number)| **number == inode).map(|(name, _)| name.clone()).unwrap_or_default()
    }

    /// Writes to the cached content of a file. A write that fails may be done in part.
    pub fn write(&mut self, inode: usize, offset: usize, bytes: &[u8]) -> Result<()> {
        let outcome = self.begin_operation();
        let cached = &self.inodes[inode].cached;
        let growth = (offset + bytes.len()).saturating_sub(cached.len());
        let free = self.faults.capacity.saturating_sub(self.used());
        let is_full = growth > free;
        // A failed write may have been done in part, up to the free space.
        let size = match outcome.is_err() || is_full {
            true => {
                self.rng.below((bytes.len() + 1).min(bytes.len().saturating_sub(growth) + free + 1) as u64) as usize
            }
            false => bytes.len(),
        };
        let inode_state = &mut self.inodes[inode];
        let is_unchanged = inode_state.cached.get(offset..offset + size) == Some(&bytes[..size]);
        apply_write(&mut inode_state.cached, offset, &bytes[..size]);
        if !(is_unchanged && self.faults.rewrites_ignored) {
            inode_state.pending.push(FileChange::Write(offset, bytes[..size].to_vec()));
        }
        outcome?;
        match is_full {
            true => Err(Error::new(ErrorKind::StorageFull, "the disk is full")),
            false => Ok(()),
        }
    }

    /// Stores the pending changes of a file. A failed sync drops part of the writes.
    pub fn sync_file(&mut self, inode: usize) -> Result<()> {
        let outcome = self.begin_operation();
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
                // The length of a file is in the journal of the file system, which retries the write.
                (Err(_), FileChange::Truncate(_)) => inode_state.pending.push(change),
                (Err(_), FileChange::Write(..)) => inode_state.store_partially(&change, &mut self.rng, 5),
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

    /// Stores all file names.
    pub fn sync_names(&mut self) -> Result<()> {
        self.begin_operation()?;
        if self.faults.directory_sync_ignored {
            return Ok(());
        }
        for change in mem::take(&mut self.pending_names) {
            apply_name(&mut self.stored_names, &change);
        }
        Ok(())
    }
}
