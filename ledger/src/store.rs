//! The disk: a log in segments, a snapshot beside it. A record counts once its check sum fits. A
//! torn end is cut off; a flaw before something that was synced is told with file and offset.

const MARK: [u8; 4] = *b"tdp1";
const HEAD: usize = 24;
/// Invariant: a segment larger than this is followed by a snapshot and a new segment.
const SEGMENT: u64 = 2 * 1024 * 1024;

#[derive(Debug)]
pub enum BadDisk {
    Io(std::path::PathBuf, std::io::Error),
    Flaw { file: std::path::PathBuf, offset: u64, what: &'static str },
}

impl std::fmt::Display for BadDisk {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            BadDisk::Io(file, error) => write!(out, "{}: {error}", file.display()),
            BadDisk::Flaw { file, offset, what } => write!(out, "{} at offset {offset}: {what}", file.display()),
        }
    }
}

impl std::error::Error for BadDisk {}

/// Invariants: `synced` bytes of the current segment are on disk; the snapshot numbered N holds
/// everything of the segments below N.
pub struct Store {
    dir: std::path::PathBuf,
    file: std::fs::File,
    number: u64,
    size: u64,
    synced: u64,
}

fn io(path: &std::path::Path) -> impl FnOnce(std::io::Error) -> BadDisk + '_ {
    |error| BadDisk::Io(path.to_path_buf(), error)
}

/// Record: mark, length, offset known to be on disk when written, check sum, zero, body.
fn record(deed: &crate::voter::Deed, synced: u64) -> Vec<u8> {
    let body = rkyv::to_bytes::<rkyv::rancor::Error>(deed).expect("deeds can always be written");
    let mut out = Vec::with_capacity(HEAD + body.len());
    out.extend_from_slice(&MARK);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&synced.to_le_bytes());
    let mut sum = crc32fast::Hasher::new();
    sum.update(&out);
    sum.update(&body);
    out.extend_from_slice(&sum.finalize().to_le_bytes());
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&body);
    out
}

/// The record at the start of `bytes`: its length, its synced mark, the deed.
fn parse(bytes: &[u8]) -> Option<(usize, u64, crate::voter::Deed)> {
    if bytes.len() < HEAD || bytes[..4] != MARK {
        return None;
    }
    let len = u32::from_le_bytes(bytes[4..8].try_into().ok()?) as usize;
    let body = bytes.get(HEAD..HEAD.checked_add(len)?)?;
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes[..16]);
    sum.update(body);
    if sum.finalize().to_le_bytes() != bytes[16..20] {
        return None;
    }
    let mut room = rkyv::util::AlignedVec::<16>::with_capacity(len);
    room.extend_from_slice(body);
    let deed = rkyv::from_bytes::<crate::voter::Deed, rkyv::rancor::Error>(&room).ok()?;
    Some((HEAD + len, u64::from_le_bytes(bytes[8..16].try_into().ok()?), deed))
}

/// Reads one file into `deeds`; gives the length that holds. `torn` allows for an unsynced end.
fn scan(file: &std::path::Path, torn: bool, deeds: &mut Vec<crate::voter::Deed>) -> Result<u64, BadDisk> {
    let bytes = std::fs::read(file).map_err(io(file))?;
    let mut at = 0;
    while at < bytes.len() {
        let Some((len, _, deed)) = parse(&bytes[at..]) else { break };
        deeds.push(deed);
        at += len;
    }
    if at == bytes.len() {
        return Ok(at as u64);
    }
    let flaw = |what| BadDisk::Flaw { file: file.to_path_buf(), offset: at as u64, what };
    if !torn {
        return Err(flaw("not a whole record, in a file that was synced whole"));
    }
    // Whatever stands behind a torn record must not claim that the torn part was synced.
    for next in at + 1..bytes.len() {
        if bytes[next..].starts_with(&MARK) && parse(&bytes[next..]).is_some_and(|(_, synced, _)| synced > at as u64) {
            return Err(flaw("not a whole record, yet a later one says it was synced"));
        }
    }
    if at == 0 && bytes.len() >= 4 && bytes[..4] != MARK && bytes.iter().any(|byte| *byte != 0) {
        return Err(flaw("not a file of ours"));
    }
    Ok(at as u64)
}

fn names(dir: &std::path::Path) -> Result<(Option<u64>, Vec<u64>), BadDisk> {
    let mut snap = None;
    let mut logs = Vec::new();
    for item in std::fs::read_dir(dir).map_err(io(dir))? {
        let name = item.map_err(io(dir))?.file_name().to_string_lossy().into_owned();
        let number = |head: &str| name.strip_prefix(head).and_then(|rest| rest.parse::<u64>().ok());
        if let Some(number) = number("snap-") {
            snap = snap.max(Some(number));
        }
        if let Some(number) = number("log-") {
            logs.push(number);
        }
    }
    logs.sort_unstable();
    Ok((snap, logs))
}

impl Store {
    /// Opens a folder; gives all deeds found there, oldest first.
    pub fn open(dir: &std::path::Path) -> Result<(Store, Vec<crate::voter::Deed>), BadDisk> {
        std::fs::create_dir_all(dir).map_err(io(dir))?;
        let (snap, logs) = names(dir)?;
        let first = snap.unwrap_or(0);
        let mut deeds = Vec::new();
        if let Some(number) = snap {
            scan(&dir.join(format!("snap-{number:08}")), false, &mut deeds)?;
        }
        let live: Vec<u64> = logs.iter().copied().filter(|number| *number >= first).collect();
        let number = live.last().copied().unwrap_or(first.max(1));
        let mut size = 0;
        for log in &live {
            size = scan(&dir.join(format!("log-{log:08}")), *log == number, &mut deeds)?;
        }
        let path = dir.join(format!("log-{number:08}"));
        let file =
            std::fs::OpenOptions::new().create(true).truncate(false).write(true).open(&path).map_err(io(&path))?;
        file.set_len(size).map_err(io(&path))?;
        file.sync_all().map_err(io(&path))?;
        let store = Store { dir: dir.into(), file, number, size, synced: size };
        store.sync_dir()?;
        for old in logs.iter().filter(|number| **number < first) {
            let _ = std::fs::remove_file(dir.join(format!("log-{old:08}")));
        }
        Ok((store, deeds))
    }

    /// Writes and syncs; on an error nothing of it may be answered for.
    pub fn append(&mut self, deeds: &[crate::voter::Deed]) -> Result<(), BadDisk> {
        let mut block = Vec::new();
        for deed in deeds {
            block.extend_from_slice(&record(deed, self.synced));
        }
        let path = self.dir.join(format!("log-{:08}", self.number));
        use std::os::unix::fs::FileExt;
        self.file.write_all_at(&block, self.synced).map_err(io(&path))?;
        self.file.sync_data().map_err(io(&path))?;
        self.synced += block.len() as u64;
        self.size = self.synced;
        Ok(())
    }

    pub fn full(&self) -> bool {
        self.size > SEGMENT
    }

    /// A snapshot of everything, then a new segment; the old files go last.
    pub fn snapshot(&mut self, whole: &[crate::voter::Deed]) -> Result<(), BadDisk> {
        let next = self.number + 1;
        let path = self.dir.join(format!("snap-{next:08}"));
        let draft = self.dir.join("draft");
        let block: Vec<u8> = whole.iter().flat_map(|deed| record(deed, 0)).collect();
        let mut file = std::fs::File::create(&draft).map_err(io(&draft))?;
        use std::io::Write;
        file.write_all(&block).map_err(io(&draft))?;
        file.sync_all().map_err(io(&draft))?;
        let log = self.dir.join(format!("log-{next:08}"));
        let fresh = std::fs::File::create(&log).map_err(io(&log))?;
        fresh.sync_all().map_err(io(&log))?;
        std::fs::rename(&draft, &path).map_err(io(&path))?;
        self.sync_dir()?;
        (self.file, self.number, self.size, self.synced) = (fresh, next, 0, 0);
        let (_, logs) = names(&self.dir)?;
        for old in logs.iter().filter(|number| **number < next) {
            let _ = std::fs::remove_file(self.dir.join(format!("log-{old:08}")));
        }
        for old in 1..next {
            let name = self.dir.join(format!("snap-{old:08}"));
            if name.exists() {
                let _ = std::fs::remove_file(name);
            }
        }
        Ok(())
    }

    fn sync_dir(&self) -> Result<(), BadDisk> {
        let folder = std::fs::File::open(&self.dir).map_err(io(&self.dir))?;
        folder.sync_all().map_err(io(&self.dir))
    }
}

#[cfg(test)]
#[path = "store_tests.rs"]
mod tests;
