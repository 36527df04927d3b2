//! Tests of the encoding of claims: what is written is read back, and anything else is refused.

use super::*;

#[test]
fn what_is_written_is_read_and_else_nothing() {
    let s = Subject { pool: hash("p"), node: hash("n"), since: -5, class: 0 };
    let key = s.to_key();
    assert_eq!(Subject::of_key(&key), Some(s));
    for n in 0..key.len() {
        assert_eq!(Subject::of_key(&key[..n]), None);
    }
    assert_eq!(Subject::of_key(&[key.clone(), vec![0]].concat()), None);
    assert_eq!(Subject::of_key(&[&b"x"[..], &key[1..]].concat()), None);
    let c = Claim { what: What::Unreachable, bad: 1.0 };
    assert_eq!(Claim::of_value(&c.to_value()), Some(c));
    assert_eq!(Claim::of_value(&[4, 0]), None);
    assert_eq!(Claim::of_value(&[]), None);
}
