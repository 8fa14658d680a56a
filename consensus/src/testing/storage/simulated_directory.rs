//! The directory of a simulated disk and its files, as opened by one process.

use std::io::{Error, ErrorKind, Result};
use std::path::PathBuf;

use super::simulated_disk::{FileChange, Inode, NameChange, SharedDisk};
use crate::storage::{DataFile, Directory};

/// An open file of a simulated disk.
struct SimulatedFile {
    disk: SharedDisk,
    inode: usize,
}

/// The only directory of a simulated disk.
pub struct SimulatedDirectory(pub SharedDisk);

impl SimulatedDirectory {
    fn file(&self, inode: usize) -> Box<dyn DataFile> {
        Box::new(SimulatedFile { disk: self.0.clone(), inode })
    }
}

impl Directory for SimulatedDirectory {
    fn names(&self) -> Result<Vec<String>> {
        let mut disk = self.0.lock().expect("the disk lock");
        disk.begin_operation()?;
        Ok(disk.names.keys().cloned().collect())
    }

    fn open(&self, name: &str) -> Result<Box<dyn DataFile>> {
        let mut disk = self.0.lock().expect("the disk lock");
        disk.begin_operation()?;
        let inode = disk.names.get(name).copied().ok_or(Error::from(ErrorKind::NotFound))?;
        Ok(self.file(inode))
    }

    fn create(&self, name: &str) -> Result<Box<dyn DataFile>> {
        let mut disk = self.0.lock().expect("the disk lock");
        disk.begin_operation()?;
        if let Some(inode) = disk.names.get(name).copied() {
            disk.inodes[inode].cached.clear();
            disk.inodes[inode].pending.push(FileChange::Truncate(0));
            return Ok(self.file(inode));
        }
        disk.inodes.push(Inode::default());
        let inode = disk.inodes.len() - 1;
        disk.change_name(NameChange::Create(name.into(), inode));
        Ok(self.file(inode))
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        let mut disk = self.0.lock().expect("the disk lock");
        disk.begin_operation()?;
        let inode = disk.names.get(from).copied().ok_or(Error::from(ErrorKind::NotFound))?;
        disk.change_name(NameChange::Rename(from.into(), to.into(), inode));
        Ok(())
    }

    fn remove(&self, name: &str) -> Result<()> {
        let mut disk = self.0.lock().expect("the disk lock");
        disk.begin_operation()?;
        let inode = disk.names.get(name).copied().ok_or(Error::from(ErrorKind::NotFound))?;
        disk.change_name(NameChange::Remove(name.into(), inode));
        Ok(())
    }

    fn sync(&self) -> Result<()> {
        self.0.lock().expect("the disk lock").sync_names()
    }

    fn path(&self, name: &str) -> PathBuf {
        name.into()
    }
}

impl DataFile for SimulatedFile {
    fn size(&self) -> Result<u64> {
        let mut disk = self.disk.lock().expect("the disk lock");
        disk.begin_operation()?;
        Ok(disk.inodes[self.inode].cached.len() as u64)
    }

    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> Result<()> {
        let mut disk = self.disk.lock().expect("the disk lock");
        disk.begin_operation()?;
        let content = &disk.inodes[self.inode].cached;
        let found = content.get(offset as usize..offset as usize + buffer.len());
        buffer.copy_from_slice(found.ok_or(Error::from(ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn write_at(&self, offset: u64, bytes: &[u8]) -> Result<()> {
        self.disk.lock().expect("the disk lock").write(self.inode, offset as usize, bytes)
    }

    fn truncate(&self, size: u64) -> Result<()> {
        let mut disk = self.disk.lock().expect("the disk lock");
        disk.begin_operation()?;
        if disk.faults.truncations_ignored {
            return Ok(());
        }
        let inode_state = &mut disk.inodes[self.inode];
        inode_state.cached.resize(size as usize, 0);
        inode_state.pending.push(FileChange::Truncate(size as usize));
        Ok(())
    }

    fn sync(&self) -> Result<()> {
        self.disk.lock().expect("the disk lock").sync_file(self.inode)
    }
}
