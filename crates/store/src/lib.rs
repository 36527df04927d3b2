//! A folder of checksummed, synced records: what a process has promised, through kills and power cuts at any byte.
//!
//! One file holds records one after the other; [`Store::append`] returns when its record is synced, and
//! [`Store::replace`] begins a new file that takes the old one's place at once or not at all. A record that was cut off
//! in the middle was never promised, and is dropped; anything else that can't be read is **damage**: the file is set
//! aside under another name and the error says which. A second process on the same folder is refused.
//!
//! After any error a store is to be dropped and opened anew: a failed sync may have left pages in memory that are not on
//! the disk, and opening writes all that counts into a new file, and syncs it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use rustix::fs::{flock, FlockOperation};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The first bytes of a file, its form's version among them.
const MAGIC: [u8; 8] = *b"gtstore\x01";
/// Magic, the folder's number, and a checksum of both.
const HEADER: usize = 24;
/// A record's length, its number and its checksum.
const RECORD_HEADER: usize = 20;
/// The longest record, in bytes.
pub const RECORD_MOST: usize = 1 << 20;
/// The longest file, in bytes: what is over it has to be replaced first.
pub const FILE_MOST: u64 = 16 << 20;
/// Disks write so many bytes at once or not at all: a record of which one such part is still zero was cut off.
const SECTOR: usize = 512;

/// Why something could not be stored or read.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The system refused: a full disk, a read-only or missing folder, a failed sync.
    #[error("{path}: {source}")]
    System {
        /// Of which file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Another process has this folder.
    #[error("{path}: another process has this folder")]
    Taken {
        /// Which.
        path: PathBuf,
    },
    /// A file can't be read where it must be; it was set aside.
    #[error("{path} is damaged at byte {at}; it was set aside as {aside}")]
    Damaged {
        /// Which.
        path: PathBuf,
        /// Where the first record that can't be read begins.
        at: usize,
        /// Its new name.
        aside: PathBuf,
    },
    /// A file was set aside before, and nothing has been stored since: to begin as if nothing had ever been stored would
    /// forget what was promised. Move it away to begin so.
    #[error("{path} was set aside as damaged: move it away to begin anew")]
    SetAside {
        /// Which.
        path: PathBuf,
    },
    /// A record is too long, or the file would be.
    #[error("{path}: {bytes} bytes are over the bound")]
    TooLong {
        /// Which.
        path: PathBuf,
        /// How many.
        bytes: u64,
    },
    /// The file, or its folder, is no longer where it was: what is written into it would be lost.
    #[error("{path} is gone")]
    Gone {
        /// Which.
        path: PathBuf,
    },
}

/// A folder that this process has for itself.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    /// Held for as long as the store is.
    _lock: File,
    file: File,
    path: PathBuf,
    generation: u64,
    bytes: u64,
    /// Of the folder: another one after its loss.
    number: u64,
    /// Of the next record.
    next: u64,
}

fn system(path: &Path) -> impl FnOnce(io::Error) -> StoreError + '_ {
    move |source| StoreError::System { path: path.into(), source }
}

/// A folder's names are only there for good once the folder is synced.
fn sync_folder(folder: &Path) -> Result<(), StoreError> {
    File::open(folder).and_then(|f| f.sync_all()).map_err(system(folder))
}

fn header(number: u64) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend(number.to_be_bytes());
    out.extend(xxh3_64_with_seed(&out, 0).to_be_bytes());
    out
}

fn encode(number: u64, record: &[u8]) -> Vec<u8> {
    let mut out = (record.len() as u32).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    // The number is part of it: a record of an older file in this place is not one of this file.
    let sum = xxh3_64_with_seed(record, number.rotate_left(32) ^ record.len() as u64);
    out.extend(sum.to_be_bytes());
    out.extend_from_slice(record);
    out
}

fn number_at(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_be_bytes)
}

/// What a file holds.
struct Content {
    number: u64,
    records: Vec<Vec<u8>>,
}

/// Reads a file's bytes. `Err`: where it is damaged.
fn parse(bytes: &[u8]) -> Result<Content, usize> {
    if bytes.len() < HEADER || bytes[..HEADER] != header(number_at(bytes, 8)) {
        return Err(0);
    }
    let (number, mut records, mut at) = (number_at(bytes, 8), Vec::new(), HEADER);
    while at < bytes.len() {
        match record_at(bytes, at, records.len() as u64) {
            Some(record) => {
                at += RECORD_HEADER + record.len();
                records.push(record.to_vec());
            }
            None if is_cut_off(bytes, at) => break,
            None => return Err(at),
        }
    }
    Ok(Content { number, records })
}

fn record_at(bytes: &[u8], at: usize, number: u64) -> Option<&[u8]> {
    let head = bytes.get(at..at + RECORD_HEADER)?;
    let length = u32::from_be_bytes(head[..4].try_into().ok()?) as usize;
    let record = bytes.get(at + RECORD_HEADER..at + RECORD_HEADER + length)?;
    (length <= RECORD_MOST && head == &encode(number, record)[..RECORD_HEADER]).then_some(record)
}

/// Whether what begins here can be a write that a power cut or a full disk stopped: the file ends before it does, or
/// a sector of it was never written. Only the last record of a file can be.
fn is_cut_off(bytes: &[u8], at: usize) -> bool {
    let rest = &bytes[at..];
    let length = rest.get(..4).and_then(|l| l.try_into().ok()).map_or(0, u32::from_be_bytes) as usize;
    if rest.len() < RECORD_HEADER || (length <= RECORD_MOST && rest.len() < RECORD_HEADER + length) {
        return true;
    }
    let first = at - at % SECTOR;
    let sectors = (first..bytes.len()).step_by(SECTOR);
    sectors.map(|s| &bytes[s.max(at)..(s + SECTOR).min(bytes.len())]).any(|s| s.iter().all(|b| *b == 0))
}

impl Store {
    /// Takes a folder, which is made if it is not there, and reads what it holds. `fresh` becomes the number of a folder
    /// that holds nothing yet.
    pub fn open(folder: &Path, fresh: u64) -> Result<(Store, Vec<Vec<u8>>), StoreError> {
        std::fs::create_dir_all(folder).map_err(system(folder))?;
        let lock_path = folder.join("lock");
        let lock =
            OpenOptions::new().create(true).append(true).open(&lock_path).map_err(system(&lock_path))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|e| match e {
            rustix::io::Errno::WOULDBLOCK => StoreError::Taken { path: folder.into() },
            e => StoreError::System { path: lock_path.clone(), source: e.into() },
        })?;
        let generations = generations(folder)?;
        let (number, records) = match generations.last() {
            Some((_, path)) => {
                let content = read(path)?;
                (content.number, content.records)
            }
            None => match set_aside(folder)? {
                Some(path) => return Err(StoreError::SetAside { path }),
                None => (fresh, Vec::new()),
            },
        };
        let generation = generations.last().map_or(0, |g| g.0) + 1;
        let (path, file, bytes) = write_new(folder, generation, number, &records)?;
        for (_, old) in generations {
            let _ = std::fs::remove_file(old);
        }
        let next = records.len() as u64;
        let folder = folder.to_path_buf();
        Ok((Store { folder, _lock: lock, file, path, generation, bytes, number, next }, records))
    }

    /// The folder's number.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Bytes in use.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Stores a record; on return it is synced.
    pub fn append(&mut self, record: &[u8]) -> Result<(), StoreError> {
        let bytes = encode(self.next, record);
        let all = self.bytes + bytes.len() as u64;
        if record.len() > RECORD_MOST || all > FILE_MOST {
            return Err(StoreError::TooLong { path: self.path.clone(), bytes: all });
        }
        self.file.write_all(&bytes).and_then(|()| self.file.sync_data()).map_err(system(&self.path))?;
        self.is_there()?;
        self.bytes = all;
        self.next += 1;
        Ok(())
    }

    /// Stores these records in place of all; on return they are, and before it none of them is.
    pub fn replace(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        let (path, file, bytes) = write_new(&self.folder, self.generation + 1, self.number, records)?;
        let old = std::mem::replace(&mut self.path, path);
        (self.file, self.bytes, self.next) = (file, bytes, records.len() as u64);
        self.generation += 1;
        let _ = std::fs::remove_file(old);
        Ok(())
    }

    /// Whether the file is still the one of that name: in a folder that was removed, writing works and is for nothing.
    fn is_there(&self) -> Result<(), StoreError> {
        let named = std::fs::metadata(&self.path).map(|m| m.ino()).ok();
        let ours = self.file.metadata().map(|m| m.ino()).ok();
        match named.is_some() && named == ours {
            true => Ok(()),
            false => Err(StoreError::Gone { path: self.path.clone() }),
        }
    }
}

/// The files of a folder by generation; what was never finished is removed.
fn generations(folder: &Path) -> Result<Vec<(u64, PathBuf)>, StoreError> {
    let mut all = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(system(folder))? {
        let path = entry.map_err(system(folder))?.path();
        let name = path.file_name().and_then(|n| n.to_str()).unwrap_or("");
        if let Some(n) = name.strip_prefix("records.") {
            match n.parse() {
                Ok(n) => all.push((n, path)),
                Err(_) if n.ends_with(".new") => {
                    let _ = std::fs::remove_file(path);
                }
                Err(_) => {}
            }
        }
    }
    all.sort();
    Ok(all)
}

/// A damaged file that still lies in the folder.
fn set_aside(folder: &Path) -> Result<Option<PathBuf>, StoreError> {
    let entries = std::fs::read_dir(folder).map_err(system(folder))?;
    let damaged =
        |p: &PathBuf| p.extension().and_then(|e| e.to_str()).is_some_and(|e| e.starts_with("damaged"));
    Ok(entries.filter_map(|e| e.ok().map(|e| e.path())).find(damaged))
}

fn read(path: &Path) -> Result<Content, StoreError> {
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(system(path))?;
    // A file that is longer than ours ever are is not ours.
    file.take(FILE_MOST + 1).read_to_end(&mut bytes).map_err(system(path))?;
    let parsed = if bytes.len() as u64 > FILE_MOST { Err(FILE_MOST as usize) } else { parse(&bytes) };
    parsed.map_err(|at| {
        let mut n = 0;
        let mut aside = path.with_extension("damaged");
        while aside.exists() && n < 1000 {
            n += 1;
            aside = path.with_extension(format!("damaged-{n}"));
        }
        match std::fs::rename(path, &aside) {
            Ok(()) => StoreError::Damaged { path: path.into(), at, aside },
            Err(source) => StoreError::System { path: path.into(), source },
        }
    })
}

/// Writes a whole file under another name, syncs it, and gives it its name.
fn write_new(
    folder: &Path,
    generation: u64,
    number: u64,
    records: &[Vec<u8>],
) -> Result<(PathBuf, File, u64), StoreError> {
    let path = folder.join(format!("records.{generation}"));
    let new = folder.join(format!("records.{generation}.new"));
    let mut bytes = header(number);
    for (n, record) in records.iter().enumerate() {
        bytes.extend(encode(n as u64, record));
    }
    if bytes.len() as u64 > FILE_MOST || records.iter().any(|r| r.len() > RECORD_MOST) {
        return Err(StoreError::TooLong { path, bytes: bytes.len() as u64 });
    }
    let mut options = OpenOptions::new();
    let mut file = options.create(true).write(true).truncate(true).open(&new).map_err(system(&new))?;
    file.write_all(&bytes).and_then(|()| file.sync_all()).map_err(system(&new))?;
    std::fs::rename(&new, &path).map_err(system(&path))?;
    sync_folder(folder)?;
    Ok((path, file, bytes.len() as u64))
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
