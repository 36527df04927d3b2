//! Tests of the encoding of claims: encoded claims are decoded to the same value, and any other input is
//! refused.

use super::*;

#[test]
fn claims_survive_encoding_and_other_input_is_refused() {
    let subject = Subject { pool: name_hash("p"), node: name_hash("n"), started_at_us: -5, class: 0 };
    let key = subject.to_key();
    assert_eq!(Subject::from_key(&key), Some(subject));
    for n in 0..key.len() {
        assert_eq!(Subject::from_key(&key[..n]), None);
    }
    assert_eq!(Subject::from_key(&[key.clone(), vec![0]].concat()), None);
    assert_eq!(Subject::from_key(&[&b"x"[..], &key[1..]].concat()), None);
    let claim = Claim { condition: NodeCondition::Unreachable, severity: 1.0 };
    assert_eq!(Claim::from_value(&claim.to_value()), Some(claim));
    assert_eq!(Claim::from_value(&[4, 0]), None);
    assert_eq!(Claim::from_value(&[]), None);
}
