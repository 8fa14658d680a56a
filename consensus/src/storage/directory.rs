//! The few file operations that the store needs, behind traits, so that tests can put a simulated
//! disk with power losses, full disks and failed syncs in position of the real one.

use std::fs;
use std::io::Result;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// One directory with files in it. A name that was made, changed or removed lasts once `sync` returned.
pub trait Directory: Send {
    fn names(&self) -> Result<Vec<String>>;
    fn open(&self, name: &str) -> Result<Box<dyn DataFile>>;
    /// Creates an empty file; one of that name is emptied.
    fn create(&self, name: &str) -> Result<Box<dyn DataFile>>;
    fn rename(&self, from: &str, to: &str) -> Result<()>;
    fn remove(&self, name: &str) -> Result<()>;
    fn sync(&self) -> Result<()>;
    /// Where a file is, for messages.
    fn path(&self, name: &str) -> PathBuf;
}

/// One file. Its content lasts once `sync` returned; after a failed `sync` what was written since the
/// last good one must be written again.
pub trait DataFile: Send {
    fn size(&self) -> Result<u64>;
    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> Result<()>;
    fn write_at(&self, offset: u64, bytes: &[u8]) -> Result<()>;
    fn truncate(&self, size: u64) -> Result<()>;
    fn sync(&self) -> Result<()>;
}

/// A directory of the machine's file system.
pub struct FileSystemDirectory {
    path: PathBuf,
}

impl FileSystemDirectory {
    /// Opens the directory, and makes it where it is missing.
    pub fn open(path: &Path) -> Result<FileSystemDirectory> {
        if !path.exists() {
            fs::create_dir_all(path)?;
            if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
                fs::File::open(parent)?.sync_all()?;
            }
        }
        Ok(FileSystemDirectory { path: path.into() })
    }
}

impl Directory for FileSystemDirectory {
    fn names(&self) -> Result<Vec<String>> {
        fs::read_dir(&self.path)?.map(|item| Ok(item?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn open(&self, name: &str) -> Result<Box<dyn DataFile>> {
        let file = fs::OpenOptions::new().read(true).write(true).open(self.path(name))?;
        Ok(Box::new(file))
    }

    fn create(&self, name: &str) -> Result<Box<dyn DataFile>> {
        let mut options = fs::OpenOptions::new();
        options.read(true).write(true).create(true).truncate(true);
        Ok(Box::new(options.open(self.path(name))?))
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&self, name: &str) -> Result<()> {
        fs::remove_file(self.path(name))
    }

    fn sync(&self) -> Result<()> {
        fs::File::open(&self.path)?.sync_all()
    }

    fn path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl DataFile for fs::File {
    fn size(&self) -> Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> Result<()> {
        FileExt::read_exact_at(self, buffer, offset)
    }

    fn write_at(&self, offset: u64, bytes: &[u8]) -> Result<()> {
        FileExt::write_all_at(self, bytes, offset)
    }

    fn truncate(&self, size: u64) -> Result<()> {
        self.set_len(size)
    }

    fn sync(&self) -> Result<()> {
        self.sync_all()
    }
}
