//! Tests of a matched route: the values it takes from a request, its deadline, and its mirrored share.

use super::*;
use crate::pattern::Headers;

#[test]
fn values_come_from_where_the_route_says() {
    let headers = [("Req-Owner".to_string(), "acme".to_string()), ("Wait".into(), "2.5".into())];
    struct H<'a>(&'a [(String, String)]);
    impl Headers for H<'_> {
        fn header(&self, name: &str) -> Option<&str> {
            self.0.header(name)
        }
    }
    let h = H(&headers);
    let s = RequestView { method: "GET", host: "x", path: "/a", query: "k=a%20b&e=", headers: &h };
    let p = PathParams::default();
    let take = |source: ValueSource| source.extract(&s, &p).map(Cow::into_owned);
    assert_eq!(take(ValueSource::Header("req-owner".into())), Some("acme".into()));
    assert_eq!(take(ValueSource::Query("k".into())), Some("a b".into()));
    assert_eq!((take(ValueSource::Query("e".into())), take(ValueSource::Param(0))), (None, None));
    let rule = |name: &str, ceiling| DeadlineRule {
        source: Some(ValueSource::Header(name.into())),
        default: Micros(9),
        ceiling: Micros(ceiling),
    };
    assert_eq!(rule("wait", 9_000_000).resolve(&s, &p), Ok(Micros(2_500_000)));
    assert_eq!(rule("wait", 1_000_000).resolve(&s, &p), Ok(Micros(1_000_000)));
    assert_eq!(rule("none", 1_000_000).resolve(&s, &p), Ok(Micros(9)));
    assert_eq!(rule("req-owner", 1_000_000).resolve(&s, &p), Err(InvalidDeadline));
}

#[test]
fn a_mirror_takes_its_share() {
    let m = Mirror { pool: 1, share: 0.1 };
    let n = (0..10_000).filter(|&n| m.selects(n)).count();
    assert!((900..1_100).contains(&n), "{n}");
    assert!(!(0..1_000).any(|n| Mirror { pool: 1, share: 0.0 }.selects(n)));
    assert!((0..1_000).all(|n| Mirror { pool: 1, share: 1.0 }.selects(n)));
}
