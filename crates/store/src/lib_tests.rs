//! Tests of the record store: locking, files cut or damaged at any byte, errors and arbitrary input bytes.

use super::*;
use proptest::prelude::*;
use std::sync::atomic::{AtomicU32, Ordering};

static FOLDERS: AtomicU32 = AtomicU32::new(0);

struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let n = FOLDERS.fetch_add(1, Ordering::SeqCst);
        Folder(std::env::temp_dir().join(format!("garnettally-store-{}-{n}", std::process::id())))
    }
    fn file(&self) -> PathBuf {
        generations(&self.0).unwrap().pop().unwrap().1
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn records(n: u8) -> Vec<Vec<u8>> {
    (0..n).map(|i| vec![i + 1; 3 + 40 * usize::from(i)]).collect()
}

#[test]
fn what_is_stored_is_there_again_and_a_second_process_is_refused() {
    let f = Folder::new();
    let (mut store, found) = Store::open(&f.0, 77).unwrap();
    assert!(found.is_empty() && store.number() == 77);
    records(4).iter().for_each(|r| store.append(r).unwrap());
    assert!(matches!(Store::open(&f.0, 78), Err(StoreError::Taken { .. })));
    drop(store);
    let (mut store, found) = Store::open(&f.0, 78).unwrap();
    assert_eq!((store.number(), found), (77, records(4)));
    store.replace(&records(2)).unwrap();
    store.append(b"more").unwrap();
    drop(store);
    let (_store, found) = Store::open(&f.0, 79).unwrap();
    assert_eq!(found, [records(2), vec![b"more".to_vec()]].concat());
    assert_eq!(generations(&f.0).unwrap().len(), 1, "older files are removed");
}

/// Guards against a write that was cut off and takes what was stored before it along, or is taken for stored.
#[test]
fn a_file_cut_off_at_each_byte_keeps_what_was_whole() {
    let f = Folder::new();
    let (mut store, _) = Store::open(&f.0, 1).unwrap();
    records(4).iter().for_each(|r| store.append(r).unwrap());
    drop(store);
    let whole = std::fs::read(f.file()).unwrap();
    let mut ends = vec![HEADER];
    records(4).iter().for_each(|r| ends.push(ends[ends.len() - 1] + RECORD_HEADER + r.len()));
    for n in HEADER..=whole.len() {
        // Cut off, and cut off with the rest of its sectors zero.
        for padded in [0, SECTOR - n % SECTOR, 3 * SECTOR] {
            let mut cut = whole[..n].to_vec();
            cut.resize(n + padded, 0);
            let kept = ends.iter().filter(|e| **e <= n).count() - 1;
            match parse(&cut) {
                Ok(content) => assert_eq!(content.records, records(4)[..kept].to_vec(), "{n} {padded}"),
                // A whole sector has to be missing to tell a cut from damage: less is no cut that disks make.
                Err(at) => assert!(padded > 0 && at == ends[kept], "{n} {padded}: {at}"),
            }
        }
    }
    for n in 0..HEADER {
        assert!(parse(&whole[..n]).is_err());
    }
}

/// Guards against damage that is taken for a cut: what was promised would be forgotten without a word.
#[test]
fn a_changed_byte_anywhere_is_damage_and_the_file_is_set_aside() {
    let f = Folder::new();
    let (mut store, _) = Store::open(&f.0, 1).unwrap();
    records(3).iter().for_each(|r| store.append(r).unwrap());
    drop(store);
    let path = f.file();
    let whole = std::fs::read(&path).unwrap();
    let mut caught = 0;
    for at in 0..whole.len() {
        let mut bad = whole.clone();
        bad[at] ^= 0x55;
        match parse(&bad) {
            Err(_) => caught += 1,
            // A length that points past the end can't be told from a cut; what comes before it is kept.
            Ok(c) => assert!(c.records.len() < 3 && records(3).starts_with(&c.records), "{at}"),
        }
    }
    assert!(caught * 100 > whole.len() * 90, "{caught} of {}", whole.len());
    let mut bad = whole.clone();
    bad[HEADER + RECORD_HEADER + 1] ^= 1;
    std::fs::write(&path, &bad).unwrap();
    let told = Store::open(&f.0, 2).unwrap_err();
    let StoreError::Damaged { at: HEADER, aside, .. } = &told else { panic!("{told}") };
    // What it had promised is not forgotten without a word: it begins anew, under another number, when it is told to.
    let again = Store::open(&f.0, 3).unwrap_err();
    assert!(matches!(&again, StoreError::SetAside { path } if path == aside), "{again}");
    std::fs::remove_file(aside).unwrap();
    let (store, found) = Store::open(&f.0, 3).unwrap();
    assert!(found.is_empty() && store.number() == 3);
}

#[test]
fn a_folder_that_is_gone_or_a_file_in_its_place_is_an_error() {
    let f = Folder::new();
    let (mut store, _) = Store::open(&f.0, 1).unwrap();
    store.append(b"one").unwrap();
    std::fs::remove_dir_all(&f.0).unwrap();
    assert!(matches!(store.append(b"two"), Err(StoreError::Gone { .. })));
    assert!(store.replace(&records(1)).is_err());
    drop(store);
    std::fs::write(&f.0, "a file").unwrap();
    assert!(matches!(Store::open(&f.0, 1), Err(StoreError::System { .. })));
    std::fs::remove_file(&f.0).unwrap();
}

#[test]
fn what_is_too_long_is_refused_and_changes_nothing() {
    let f = Folder::new();
    let (mut store, _) = Store::open(&f.0, 1).unwrap();
    assert!(matches!(store.append(&vec![0; RECORD_MOST + 1]), Err(StoreError::TooLong { .. })));
    let mut n = 0;
    while store.append(&vec![7; RECORD_MOST]).is_ok() {
        n += 1;
    }
    assert!(n == FILE_MOST / (RECORD_MOST as u64 + RECORD_HEADER as u64), "{n}");
    store.replace(&records(2)).unwrap();
    store.append(b"more").unwrap();
    assert!(store.bytes() < 1000);
}

proptest! {
    #[test]
    fn any_bytes_are_survived(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse(&bytes);
        let mut file = header(9);
        file.extend(&bytes);
        let _ = parse(&file);
    }
}
