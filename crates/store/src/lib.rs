//! A folder of checksummed, synced records. It keeps the promises of a process through kills and power cuts
//! at any byte of a write.
//!
//! One file contains the records one after the other. [`Store::append`] returns when its record is synced,
//! and [`Store::replace`] writes a new file that replaces the old one atomically. A record whose write was
//! interrupted was never reported as stored, and is dropped; any other content that can't be read is
//! **damage**: the file is set aside under another name, which the error gives. A second process can't open
//! the same folder.
//!
//! After any error a store has to be dropped and opened again: a failed sync may have left pages in memory
//! that are not on the disk, and opening writes all valid records into a new file and syncs it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use rustix::fs::{flock, FlockOperation};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The first bytes of a file; the last of them is the version of the file format.
const MAGIC: [u8; 8] = *b"gtstore\x01";
/// The length of the file header: the magic, the folder's identifier, and a checksum of both.
const FILE_HEADER_BYTES: usize = 24;
/// The length of a record's header: the record's length, its number and its checksum.
const RECORD_HEADER_BYTES: usize = 20;
/// The maximum length of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// The maximum length of a file, in bytes. When it is reached, the records have to be replaced by fewer ones
/// before more can be appended.
pub const MAX_FILE_BYTES: u64 = 16 << 20;
/// The number of bytes that a disk writes atomically. A record of which a whole sector is still zero was not
/// completely written.
const SECTOR_BYTES: usize = 512;

/// The reason why records could not be stored or read.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A system call failed, for instance because of a full disk, a read-only or missing folder, or a failed
    /// sync.
    #[error("{path}: {source}")]
    Io {
        /// The file or folder that was accessed.
        path: PathBuf,
        /// The error of the system call.
        source: io::Error,
    },
    /// Another process has locked this folder.
    #[error("{path}: another process has this folder")]
    FolderInUse {
        /// The folder.
        path: PathBuf,
    },
    /// A file has an invalid header or record that no interrupted write explains; the file was renamed.
    #[error("{path} is damaged at byte {at}; it was set aside as {aside}")]
    Damaged {
        /// The damaged file, under its old name.
        path: PathBuf,
        /// The offset in bytes at which the first invalid record or header begins.
        at: usize,
        /// The new name of the file.
        aside: PathBuf,
    },
    /// A file was set aside as damaged before, and nothing has been stored since. Starting without records
    /// would forget the promises that the file contains; an operator who accepts that moves the file out of
    /// the folder.
    #[error(
        "{path} was set aside as damaged and is the only file: move it away to start without its records"
    )]
    SetAside {
        /// The damaged file, under its new name.
        path: PathBuf,
    },
    /// A record is longer than [`MAX_RECORD_BYTES`], or the file would become longer than [`MAX_FILE_BYTES`].
    #[error(
        "{path}: not stored: the file would have {bytes} bytes; the maximum is {} per record and {} per file",
        MAX_RECORD_BYTES,
        MAX_FILE_BYTES
    )]
    TooLong {
        /// The file that was to be written.
        path: PathBuf,
        /// The length that the file would have, in bytes.
        bytes: u64,
    },
    /// The file or its folder was removed or replaced while in use: records written to the open file would be
    /// lost.
    #[error("{path} was removed or replaced while in use: records written to it are lost")]
    FileReplaced {
        /// The file as it was named.
        path: PathBuf,
    },
}

/// An open folder of records, locked by this process.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    /// The file whose lock is released when the store is dropped.
    _lock: File,
    file: File,
    path: PathBuf,
    /// The number in the name of the present file; each new file has a higher one.
    generation: u64,
    /// The length of the file.
    size_bytes: u64,
    /// The identifier of the folder. A folder that was lost and created again has another one.
    folder_id: u64,
    /// The number of the next record, counted from 0 in each file.
    next_record: u64,
}

fn io_error(path: &Path) -> impl FnOnce(io::Error) -> StoreError + '_ {
    move |source| StoreError::Io { path: path.into(), source }
}

/// Syncs a folder: renamed files survive a power cut under their new names only after that.
fn sync_folder(folder: &Path) -> Result<(), StoreError> {
    File::open(folder).and_then(|f| f.sync_all()).map_err(io_error(folder))
}

fn file_header(folder_id: u64) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend(folder_id.to_be_bytes());
    out.extend(xxh3_64_with_seed(&out, 0).to_be_bytes());
    out
}

fn encode_record(number: u64, record: &[u8]) -> Vec<u8> {
    let mut out = (record.len() as u32).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    // The checksum covers the record's number and length, so that bytes of an older file in the same place
    // are not taken for a record of this file.
    let sum = xxh3_64_with_seed(record, number.rotate_left(32) ^ record.len() as u64);
    out.extend(sum.to_be_bytes());
    out.extend_from_slice(record);
    out
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_be_bytes)
}

/// The decoded content of a file.
struct FileContent {
    folder_id: u64,
    records: Vec<Vec<u8>>,
}

/// Decodes the bytes of a file. The error is the offset at which the file is damaged.
fn parse_file(bytes: &[u8]) -> Result<FileContent, usize> {
    if bytes.len() < FILE_HEADER_BYTES || bytes[..FILE_HEADER_BYTES] != file_header(read_u64(bytes, 8)) {
        return Err(0);
    }
    let (folder_id, mut records, mut at) = (read_u64(bytes, 8), Vec::new(), FILE_HEADER_BYTES);
    while at < bytes.len() {
        match parse_record(bytes, at, records.len() as u64) {
            Some(record) => {
                at += RECORD_HEADER_BYTES + record.len();
                records.push(record.to_vec());
            }
            None if is_interrupted_write(bytes, at) => break,
            None => return Err(at),
        }
    }
    Ok(FileContent { folder_id, records })
}

/// Returns the record with this number at this offset, or `None` if it is incomplete or invalid.
fn parse_record(bytes: &[u8], at: usize, number: u64) -> Option<&[u8]> {
    let head = bytes.get(at..at + RECORD_HEADER_BYTES)?;
    let length = u32::from_be_bytes(head[..4].try_into().ok()?) as usize;
    let record = bytes.get(at + RECORD_HEADER_BYTES..at + RECORD_HEADER_BYTES + length)?;
    (length <= MAX_RECORD_BYTES && head == &encode_record(number, record)[..RECORD_HEADER_BYTES])
        .then_some(record)
}

/// Whether the bytes from this offset can be a write that was interrupted by a power cut or a full disk: the
/// file ends before the record does, or a sector of the record was never written. Only the last record of a
/// file can be incomplete in this way.
fn is_interrupted_write(bytes: &[u8], at: usize) -> bool {
    let rest = &bytes[at..];
    let length = rest.get(..4).and_then(|l| l.try_into().ok()).map_or(0, u32::from_be_bytes) as usize;
    if rest.len() < RECORD_HEADER_BYTES
        || (length <= MAX_RECORD_BYTES && rest.len() < RECORD_HEADER_BYTES + length)
    {
        return true;
    }
    let first = at - at % SECTOR_BYTES;
    let sectors = (first..bytes.len()).step_by(SECTOR_BYTES);
    sectors.map(|s| &bytes[s.max(at)..(s + SECTOR_BYTES).min(bytes.len())]).any(|s| s.iter().all(|b| *b == 0))
}

impl Store {
    /// Opens and locks a folder, which is created if it is missing, and returns its records. `new_folder_id`
    /// becomes the identifier of a folder that has no records yet.
    pub fn open(folder: &Path, new_folder_id: u64) -> Result<(Store, Vec<Vec<u8>>), StoreError> {
        std::fs::create_dir_all(folder).map_err(io_error(folder))?;
        let lock_path = folder.join("lock");
        let lock =
            OpenOptions::new().create(true).append(true).open(&lock_path).map_err(io_error(&lock_path))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|e| match e {
            rustix::io::Errno::WOULDBLOCK => StoreError::FolderInUse { path: folder.into() },
            e => StoreError::Io { path: lock_path.clone(), source: e.into() },
        })?;
        let files = list_generations(folder)?;
        let (folder_id, records) = match files.last() {
            Some((_, path)) => {
                let content = read_file(path)?;
                (content.folder_id, content.records)
            }
            None => match find_damaged_file(folder)? {
                Some(path) => return Err(StoreError::SetAside { path }),
                None => (new_folder_id, Vec::new()),
            },
        };
        let generation = files.last().map_or(0, |g| g.0) + 1;
        let (path, file, size_bytes) = write_generation(folder, generation, folder_id, &records)?;
        for (_, old) in files {
            let _ = std::fs::remove_file(old);
        }
        let next_record = records.len() as u64;
        let folder = folder.to_path_buf();
        Ok((
            Store { folder, _lock: lock, file, path, generation, size_bytes, folder_id, next_record },
            records,
        ))
    }

    /// Returns the identifier of the folder, which changes when the folder is lost.
    pub fn folder_id(&self) -> u64 {
        self.folder_id
    }

    /// Returns the length of the present file, in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    /// Appends a record; when this returns without an error, the record is synced.
    pub fn append(&mut self, record: &[u8]) -> Result<(), StoreError> {
        let bytes = encode_record(self.next_record, record);
        let new_size = self.size_bytes + bytes.len() as u64;
        if record.len() > MAX_RECORD_BYTES || new_size > MAX_FILE_BYTES {
            return Err(StoreError::TooLong { path: self.path.clone(), bytes: new_size });
        }
        self.file.write_all(&bytes).and_then(|()| self.file.sync_data()).map_err(io_error(&self.path))?;
        self.check_file_in_place()?;
        self.size_bytes = new_size;
        self.next_record += 1;
        Ok(())
    }

    /// Atomically replaces all records by these, and syncs them before it returns without an error.
    pub fn replace(&mut self, records: &[Vec<u8>]) -> Result<(), StoreError> {
        let (path, file, bytes) =
            write_generation(&self.folder, self.generation + 1, self.folder_id, records)?;
        let old = std::mem::replace(&mut self.path, path);
        (self.file, self.size_bytes, self.next_record) = (file, bytes, records.len() as u64);
        self.generation += 1;
        let _ = std::fs::remove_file(old);
        Ok(())
    }

    /// Checks that the open file is still the one under its name: in a folder that was removed, writing
    /// succeeds but the records are lost.
    fn check_file_in_place(&self) -> Result<(), StoreError> {
        let named = std::fs::metadata(&self.path).map(|m| m.ino()).ok();
        let ours = self.file.metadata().map(|m| m.ino()).ok();
        match named.is_some() && named == ours {
            true => Ok(()),
            false => Err(StoreError::FileReplaced { path: self.path.clone() }),
        }
    }
}

/// Returns the record files of a folder in the order of their generations, and removes files whose writing
/// was never completed.
fn list_generations(folder: &Path) -> Result<Vec<(u64, PathBuf)>, StoreError> {
    let mut all = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(io_error(folder))? {
        let path = entry.map_err(io_error(folder))?.path();
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

/// Returns a file in the folder that was set aside as damaged, if there is one.
fn find_damaged_file(folder: &Path) -> Result<Option<PathBuf>, StoreError> {
    let entries = std::fs::read_dir(folder).map_err(io_error(folder))?;
    let damaged =
        |p: &PathBuf| p.extension().and_then(|e| e.to_str()).is_some_and(|e| e.starts_with("damaged"));
    Ok(entries.filter_map(|e| e.ok().map(|e| e.path())).find(damaged))
}

/// Reads and decodes a file; a damaged one is renamed and reported.
fn read_file(path: &Path) -> Result<FileContent, StoreError> {
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(io_error(path))?;
    // A file that is longer than the maximum was not written by this module and counts as damaged.
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(io_error(path))?;
    let parsed =
        if bytes.len() as u64 > MAX_FILE_BYTES { Err(MAX_FILE_BYTES as usize) } else { parse_file(&bytes) };
    parsed.map_err(|at| {
        let mut n = 0;
        let mut aside = path.with_extension("damaged");
        while aside.exists() && n < 1000 {
            n += 1;
            aside = path.with_extension(format!("damaged-{n}"));
        }
        match std::fs::rename(path, &aside) {
            Ok(()) => StoreError::Damaged { path: path.into(), at, aside },
            Err(source) => StoreError::Io { path: path.into(), source },
        }
    })
}

/// Writes a complete file under a temporary name, syncs it, and renames it to `records.` and its generation.
fn write_generation(
    folder: &Path,
    generation: u64,
    folder_id: u64,
    records: &[Vec<u8>],
) -> Result<(PathBuf, File, u64), StoreError> {
    let path = folder.join(format!("records.{generation}"));
    let temporary = folder.join(format!("records.{generation}.new"));
    let mut bytes = file_header(folder_id);
    for (n, record) in records.iter().enumerate() {
        bytes.extend(encode_record(n as u64, record));
    }
    if bytes.len() as u64 > MAX_FILE_BYTES || records.iter().any(|r| r.len() > MAX_RECORD_BYTES) {
        return Err(StoreError::TooLong { path, bytes: bytes.len() as u64 });
    }
    let mut options = OpenOptions::new();
    let mut file =
        options.create(true).write(true).truncate(true).open(&temporary).map_err(io_error(&temporary))?;
    file.write_all(&bytes).and_then(|()| file.sync_all()).map_err(io_error(&temporary))?;
    std::fs::rename(&temporary, &path).map_err(io_error(&path))?;
    sync_folder(folder)?;
    Ok((path, file, bytes.len() as u64))
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
