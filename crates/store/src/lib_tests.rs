//! Tests of the record store: locking, files that are cut off or damaged at any byte, errors, and arbitrary
//! input bytes.

use super::*;
use proptest::prelude::*;
use std::sync::atomic::{AtomicU32, Ordering};

static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A folder for one test, removed at its end.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new() -> TestFolder {
        let n = FOLDERS.fetch_add(1, Ordering::SeqCst);
        TestFolder(std::env::temp_dir().join(format!("garnettally-store-{}-{n}", std::process::id())))
    }
    fn file(&self) -> PathBuf {
        list_generations(&self.0).unwrap().pop().unwrap().1
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn records(n: u8) -> Vec<Vec<u8>> {
    (0..n).map(|i| vec![i + 1; 3 + 40 * usize::from(i)]).collect()
}

#[test]
fn stored_records_are_read_after_reopening_and_a_second_opener_is_refused() {
    let folder = TestFolder::new();
    let (mut store, found) = Store::open(&folder.0, 77).unwrap();
    assert!(found.is_empty() && store.folder_id() == 77);
    records(4).iter().for_each(|r| store.append(r).unwrap());
    assert!(matches!(Store::open(&folder.0, 78), Err(StoreError::FolderInUse { .. })));
    drop(store);
    let (mut store, found) = Store::open(&folder.0, 78).unwrap();
    assert_eq!((store.folder_id(), found), (77, records(4)));
    store.replace(&records(2)).unwrap();
    store.append(b"more").unwrap();
    drop(store);
    let (_store, found) = Store::open(&folder.0, 79).unwrap();
    assert_eq!(found, [records(2), vec![b"more".to_vec()]].concat());
    assert_eq!(list_generations(&folder.0).unwrap().len(), 1, "older files are removed");
}

/// Guards against an interrupted write that makes earlier records unreadable, or that is itself read as a
/// record.
#[test]
fn a_file_cut_off_at_any_byte_keeps_its_complete_records() {
    let folder = TestFolder::new();
    let (mut store, _) = Store::open(&folder.0, 1).unwrap();
    records(4).iter().for_each(|r| store.append(r).unwrap());
    drop(store);
    let complete = std::fs::read(folder.file()).unwrap();
    let mut ends = vec![FILE_HEADER_BYTES];
    records(4).iter().for_each(|r| ends.push(ends[ends.len() - 1] + RECORD_HEADER_BYTES + r.len()));
    for n in FILE_HEADER_BYTES..=complete.len() {
        // The file ends at this byte, or the rest of its last sector or of further sectors is zero.
        for padded in [0, SECTOR_BYTES - n % SECTOR_BYTES, 3 * SECTOR_BYTES] {
            let mut cut = complete[..n].to_vec();
            cut.resize(n + padded, 0);
            let kept = ends.iter().filter(|e| **e <= n).count() - 1;
            match parse_file(&cut) {
                Ok(content) => assert_eq!(content.records, records(4)[..kept].to_vec(), "{n} {padded}"),
                // Only a whole sector of zeros counts as an interrupted write: disks write a sector
                // completely or not at all.
                Err(at) => assert!(padded > 0 && at == ends[kept], "{n} {padded}: {at}"),
            }
        }
    }
    for n in 0..FILE_HEADER_BYTES {
        assert!(parse_file(&complete[..n]).is_err());
    }
}

/// Guards against damage that is taken for an interrupted write: stored promises would be lost without an
/// error.
#[test]
fn a_changed_byte_anywhere_is_reported_as_damage_and_the_file_is_set_aside() {
    let folder = TestFolder::new();
    let (mut store, _) = Store::open(&folder.0, 1).unwrap();
    records(3).iter().for_each(|r| store.append(r).unwrap());
    drop(store);
    let path = folder.file();
    let complete = std::fs::read(&path).unwrap();
    let mut caught = 0;
    for at in 0..complete.len() {
        let mut bad = complete.clone();
        bad[at] ^= 0x55;
        match parse_file(&bad) {
            Err(_) => caught += 1,
            // A length that points past the end of the file looks like an interrupted write; earlier records
            // are kept.
            Ok(c) => assert!(c.records.len() < 3 && records(3).starts_with(&c.records), "{at}"),
        }
    }
    assert!(caught * 100 > complete.len() * 90, "{caught} of {}", complete.len());
    let mut bad = complete.clone();
    bad[FILE_HEADER_BYTES + RECORD_HEADER_BYTES + 1] ^= 1;
    std::fs::write(&path, &bad).unwrap();
    let error = Store::open(&folder.0, 2).unwrap_err();
    let StoreError::Damaged { at: FILE_HEADER_BYTES, aside, .. } = &error else { panic!("{error}") };
    // The stored promises are not dropped silently: the store opens again, with a new folder identifier, only
    // after the damaged file was removed.
    let again = Store::open(&folder.0, 3).unwrap_err();
    assert!(matches!(&again, StoreError::SetAside { path } if path == aside), "{again}");
    std::fs::remove_file(aside).unwrap();
    let (store, found) = Store::open(&folder.0, 3).unwrap();
    assert!(found.is_empty() && store.folder_id() == 3);
}

#[test]
fn a_removed_folder_or_a_file_in_its_place_is_an_error() {
    let folder = TestFolder::new();
    let (mut store, _) = Store::open(&folder.0, 1).unwrap();
    store.append(b"one").unwrap();
    std::fs::remove_dir_all(&folder.0).unwrap();
    assert!(matches!(store.append(b"two"), Err(StoreError::FileReplaced { .. })));
    assert!(store.replace(&records(1)).is_err());
    drop(store);
    std::fs::write(&folder.0, "a file").unwrap();
    assert!(matches!(Store::open(&folder.0, 1), Err(StoreError::Io { .. })));
    std::fs::remove_file(&folder.0).unwrap();
}

#[test]
fn too_long_records_and_files_are_refused_and_change_nothing() {
    let folder = TestFolder::new();
    let (mut store, _) = Store::open(&folder.0, 1).unwrap();
    assert!(matches!(store.append(&vec![0; MAX_RECORD_BYTES + 1]), Err(StoreError::TooLong { .. })));
    let mut n = 0;
    while store.append(&vec![7; MAX_RECORD_BYTES]).is_ok() {
        n += 1;
    }
    assert!(n == MAX_FILE_BYTES / (MAX_RECORD_BYTES as u64 + RECORD_HEADER_BYTES as u64), "{n}");
    store.replace(&records(2)).unwrap();
    store.append(b"more").unwrap();
    assert!(store.size_bytes() < 1000);
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_file(&bytes);
        let mut file = file_header(9);
        file.extend(&bytes);
        let _ = parse_file(&file);
    }
}
