//! Tests of the datagram envelope: damage, versions, replay, key rotation, key files and bounded memory.

use super::*;

fn at(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn sealer(boot: u64, keys: &str) -> Sealer {
    Sealer::new(Keys::parse(keys).unwrap(), boot, at(boot as u16), [boot as u8; 32], 4)
}

const ONE: &str = "1 1111111111111111111111111111111111111111111111111111111111111111";
const TWO: &str = "2 2222222222222222222222222222222222222222222222222222222222222222";

/// Two that know each other's tokens.
fn pair() -> (Sealer, Sealer) {
    let (mut a, mut b) = (sealer(1, ONE), sealer(2, ONE));
    let (to_a, to_b) = (a.token_for(2, at(2)), b.token_for(1, at(1)));
    a.learn_token(at(2), to_b);
    b.learn_token(at(1), to_a);
    (a, b)
}

#[test]
fn every_cut_and_every_flipped_bit_is_dropped() {
    let (mut a, mut b) = pair();
    let whole = a.seal(at(2), Kind::Swim, b"body");
    for n in 0..whole.len() {
        assert!(b.open(&whole[..n]).is_err(), "cut at {n}");
        for bit in 0..8 {
            let mut bad = whole.clone();
            bad[n] ^= 1 << bit;
            assert!(b.open(&bad).is_err(), "bit {bit} of {n}");
        }
    }
    assert_eq!(b.open(&vec![MAGIC; MAX_DATAGRAM_BYTES + 1]).unwrap_err(), RejectReason::Malformed);
    let opened = b.open(&whole).unwrap();
    assert!(opened.fresh && opened.kind == Kind::Swim && opened.body == b"body" && opened.address == at(1));
}

/// An older and a newer program side by side: neither understands the other, and both say so.
#[test]
fn another_version_is_told_apart_from_junk() {
    let (mut a, mut b) = pair();
    let mut newer = a.seal(at(2), Kind::Swim, b"body");
    newer[1] = FORMAT_VERSION + 1;
    assert_eq!(b.open(&newer).unwrap_err(), RejectReason::Version);
    newer[0] = 0;
    assert_eq!(b.open(&newer).unwrap_err(), RejectReason::Malformed);
}

#[test]
fn what_comes_twice_is_dropped_and_what_overtakes_is_not() {
    let (mut a, mut b) = pair();
    let sent: Vec<_> = (0..70).map(|_| a.seal(at(2), Kind::Pull, b"x")).collect();
    for i in [5, 3, 4, 69, 68, 10] {
        assert!(b.open(&sent[i]).is_ok(), "{i}");
    }
    for i in [5, 3, 4, 69, 68, 10, 0] {
        assert_eq!(b.open(&sent[i]).unwrap_err(), RejectReason::Replayed, "{i}");
    }
}

/// Guards against a recording played to a process that started anew, or to another one.
#[test]
fn a_recording_means_nothing_to_another_life_or_member() {
    let (mut a, mut b) = pair();
    let recorded = a.seal(at(2), Kind::Swim, b"x");
    assert!(b.open(&recorded).unwrap().fresh);
    let mut again = Sealer::new(Keys::parse(ONE).unwrap(), 20, at(2), [99; 32], 4);
    assert!(!again.open(&recorded).unwrap().fresh);
    assert!(!sealer(3, ONE).open(&recorded).unwrap().fresh);
}

/// A key is changed in three steps, and at no step does a member not understand another.
#[test]
fn keys_rotate_while_both_are_held() {
    let (mut a, mut b) = pair();
    let (both, other) = (format!("{ONE}\n{TWO}"), format!("{TWO} # new\n{ONE}"));
    for (ka, kb) in [(ONE, both.as_str()), (&both, &both), (&other, &both), (&other, &other), (TWO, &other)] {
        a.replace_keys(Keys::parse(ka).unwrap());
        b.replace_keys(Keys::parse(kb).unwrap());
        let (there, back) = (a.seal(at(2), Kind::Swim, b"x"), b.seal(at(1), Kind::Swim, b"x"));
        assert!(b.open(&there).unwrap().fresh && a.open(&back).unwrap().fresh, "{ka:?} {kb:?}");
    }
    b.replace_keys(Keys::parse(ONE).unwrap());
    assert_eq!(b.open(&a.seal(at(2), Kind::Swim, b"x")).unwrap_err(), RejectReason::Key);
}

#[test]
fn a_wrong_key_file_is_told_by_line() {
    assert_eq!(Keys::parse("").err(), Some(KeyFileError::NoKeys));
    assert_eq!(Keys::parse("# none\n1 zz").err(), Some(KeyFileError::InvalidLine(2)));
    assert_eq!(Keys::parse("256 11").err(), Some(KeyFileError::InvalidLine(1)));
    assert_eq!(Keys::parse(&format!("{ONE}\n{ONE}")).err(), Some(KeyFileError::DuplicateNumber(1)));
}

/// What is kept for senders does not grow with their number.
#[test]
fn memory_for_senders_is_bounded() {
    let mut b = sealer(2, ONE);
    for boot in 10..100 {
        let mut a = sealer(boot, ONE);
        a.learn_token(at(2), b.token_for(boot, at(boot as u16)));
        assert!(b.open(&a.seal(at(2), Kind::Swim, b"x")).unwrap().fresh);
        b.learn_token(at(boot as u16), 1);
    }
    assert!(b.seen.len() <= 4 && b.tokens.len() <= 4);
}
