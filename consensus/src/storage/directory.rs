//! The file operations that a store needs, as traits, so that tests can substitute a simulated file system with power
//! losses, full disks and failed syncs.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A directory of files. The creation, renaming or removal of a file is durable once `sync` has returned.
pub trait Directory: Send {
    /// Returns the names of the files.
    fn names(&self) -> io::Result<Vec<String>>;
    /// Opens an existing file for reading and writing.
    fn open(&self, name: &str) -> io::Result<Box<dyn DataFile>>;
    /// Creates an empty file, or truncates an existing one of that name.
    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>>;
    /// Renames a file, replacing an existing one.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes the file names durable.
    fn sync(&self) -> io::Result<()>;
    /// Returns the path of a file, for error messages.
    fn path(&self, name: &str) -> PathBuf;
}

/// A file. Its content is durable once `sync` has returned. After a failed `sync`, everything written since the last
/// successful one must be written again.
pub trait DataFile: Send {
    /// Returns the size in bytes.
    fn size(&self) -> io::Result<u64>;
    /// Fills the buffer with the bytes at an offset.
    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> io::Result<()>;
    /// Writes all bytes at an offset.
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Sets the size in bytes.
    fn truncate(&self, size: u64) -> io::Result<()>;
    /// Makes the content durable.
    fn sync(&self) -> io::Result<()>;
}

/// A directory of the local file system.
pub struct FileSystemDirectory {
    path: PathBuf,
}

impl FileSystemDirectory {
    /// Opens a directory, creating it if it is missing.
    pub fn open(path: &Path) -> io::Result<FileSystemDirectory> {
        if !path.exists() {
            fs::create_dir_all(path)?;
            if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
                File::open(parent)?.sync_all()?;
            }
        }
        Ok(FileSystemDirectory { path: path.into() })
    }
}

impl Directory for FileSystemDirectory {
    fn names(&self) -> io::Result<Vec<String>> {
        fs::read_dir(&self.path)?.map(|item| Ok(item?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        let file = OpenOptions::new().read(true).write(true).open(self.path(name))?;
        Ok(Box::new(file))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(true);
        Ok(Box::new(options.open(self.path(name))?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path(from), self.path(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path(name))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl DataFile for File {
    fn size(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        FileExt::read_exact_at(self, buffer, offset)
    }

    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        FileExt::write_all_at(self, bytes, offset)
    }

    fn truncate(&self, size: u64) -> io::Result<()> {
        self.set_len(size)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_all()
    }
}
