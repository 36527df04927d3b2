//! Tests of the encoding of claims: what is written is read back, and anything else is refused.

use super::*;

#[test]
fn what_is_written_is_read_and_else_nothing() {
    let s = Subject { pool: name_hash("p"), node: name_hash("n"), started_at_us: -5, class: 0 };
    let key = s.to_key();
    assert_eq!(Subject::from_key(&key), Some(s));
    for n in 0..key.len() {
        assert_eq!(Subject::from_key(&key[..n]), None);
    }
    assert_eq!(Subject::from_key(&[key.clone(), vec![0]].concat()), None);
    assert_eq!(Subject::from_key(&[&b"x"[..], &key[1..]].concat()), None);
    let c = Claim { condition: NodeCondition::Unreachable, severity: 1.0 };
    assert_eq!(Claim::from_value(&c.to_value()), Some(c));
    assert_eq!(Claim::from_value(&[4, 0]), None);
    assert_eq!(Claim::from_value(&[]), None);
}
