//! Tests of the datagram envelope: damage, versions, replay, key rotation, key files and bounded memory.

use super::*;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn sealer(boot: u64, keys: &str) -> Sealer {
    Sealer::new(Keys::parse(keys).unwrap(), boot, address(boot as u16), [boot as u8; 32], 4)
}

const KEY_ONE: &str = "1 1111111111111111111111111111111111111111111111111111111111111111";
const KEY_TWO: &str = "2 2222222222222222222222222222222222222222222222222222222222222222";

/// Two sealers that have each other's tokens.
fn pair() -> (Sealer, Sealer) {
    let (mut first, mut second) = (sealer(1, KEY_ONE), sealer(2, KEY_ONE));
    let (to_first, to_second) = (first.token_for(2, address(2)), second.token_for(1, address(1)));
    first.learn_token(address(2), to_second);
    second.learn_token(address(1), to_first);
    (first, second)
}

#[test]
fn every_truncation_and_every_flipped_bit_is_rejected() {
    let (mut first, mut second) = pair();
    let whole = first.seal(address(2), Kind::Swim, b"body");
    for n in 0..whole.len() {
        assert!(second.open(&whole[..n]).is_err(), "cut at {n}");
        for bit in 0..8 {
            let mut bad = whole.clone();
            bad[n] ^= 1 << bit;
            assert!(second.open(&bad).is_err(), "bit {bit} of {n}");
        }
    }
    assert_eq!(second.open(&vec![MAGIC; MAX_DATAGRAM_BYTES + 1]).unwrap_err(), RejectReason::Malformed);
    let opened = second.open(&whole).unwrap();
    assert!(
        opened.has_valid_token
            && opened.kind == Kind::Swim
            && opened.body == b"body"
            && opened.address == address(1)
    );
}

/// When an older and a newer program run side by side, neither understands the other, and both count it as
/// such.
#[test]
fn another_version_is_distinguished_from_malformed_input() {
    let (mut first, mut second) = pair();
    let mut newer = first.seal(address(2), Kind::Swim, b"body");
    newer[1] = FORMAT_VERSION + 1;
    assert_eq!(second.open(&newer).unwrap_err(), RejectReason::Version);
    newer[0] = 0;
    assert_eq!(second.open(&newer).unwrap_err(), RejectReason::Malformed);
}

#[test]
fn repeated_datagrams_are_rejected_and_reordered_ones_are_accepted() {
    let (mut first, mut second) = pair();
    let sent: Vec<_> = (0..70).map(|_| first.seal(address(2), Kind::Pull, b"x")).collect();
    for i in [5, 3, 4, 69, 68, 10] {
        assert!(second.open(&sent[i]).is_ok(), "{i}");
    }
    for i in [5, 3, 4, 69, 68, 10, 0] {
        assert_eq!(second.open(&sent[i]).unwrap_err(), RejectReason::Replayed, "{i}");
    }
}

/// Guards against a recorded datagram being replayed to a restarted process, or to another one.
#[test]
fn a_recorded_datagram_has_no_valid_token_for_another_life_or_member() {
    let (mut first, mut second) = pair();
    let recorded = first.seal(address(2), Kind::Swim, b"x");
    assert!(second.open(&recorded).unwrap().has_valid_token);
    let mut again = Sealer::new(Keys::parse(KEY_ONE).unwrap(), 20, address(2), [99; 32], 4);
    assert!(!again.open(&recorded).unwrap().has_valid_token);
    assert!(!sealer(3, KEY_ONE).open(&recorded).unwrap().has_valid_token);
}

/// A key is rotated in three steps, and at each step every member understands every other.
#[test]
fn members_understand_each_other_at_each_step_of_a_key_rotation() {
    let (mut first, mut second) = pair();
    let (both, other) = (format!("{KEY_ONE}\n{KEY_TWO}"), format!("{KEY_TWO} # new\n{KEY_ONE}"));
    for (first_keys, second_keys) in
        [(KEY_ONE, both.as_str()), (&both, &both), (&other, &both), (&other, &other), (KEY_TWO, &other)]
    {
        first.replace_keys(Keys::parse(first_keys).unwrap());
        second.replace_keys(Keys::parse(second_keys).unwrap());
        let (there, back) =
            (first.seal(address(2), Kind::Swim, b"x"), second.seal(address(1), Kind::Swim, b"x"));
        assert!(
            second.open(&there).unwrap().has_valid_token && first.open(&back).unwrap().has_valid_token,
            "{first_keys:?} {second_keys:?}"
        );
    }
    second.replace_keys(Keys::parse(KEY_ONE).unwrap());
    assert_eq!(second.open(&first.seal(address(2), Kind::Swim, b"x")).unwrap_err(), RejectReason::Key);
}

#[test]
fn the_error_for_a_malformed_key_file_names_the_line() {
    assert_eq!(Keys::parse("").err(), Some(KeyFileError::NoKeys));
    assert_eq!(Keys::parse("# none\n1 zz").err(), Some(KeyFileError::InvalidLine(2)));
    assert_eq!(Keys::parse("256 11").err(), Some(KeyFileError::InvalidLine(1)));
    assert_eq!(Keys::parse(&format!("{KEY_ONE}\n{KEY_ONE}")).err(), Some(KeyFileError::DuplicateNumber(1)));
}

/// The state stored for senders does not grow beyond its bound as their number grows.
#[test]
fn memory_for_senders_is_bounded() {
    let mut receiver = sealer(2, KEY_ONE);
    for boot in 10..100 {
        let mut sender = sealer(boot, KEY_ONE);
        sender.learn_token(address(2), receiver.token_for(boot, address(boot as u16)));
        assert!(receiver.open(&sender.seal(address(2), Kind::Swim, b"x")).unwrap().has_valid_token);
        receiver.learn_token(address(boot as u16), 1);
    }
    assert!(receiver.seen.len() <= 4 && receiver.tokens.len() <= 4);
}
