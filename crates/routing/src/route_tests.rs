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
    let s = Subject { method: "GET", host: "x", path: "/a", query: "k=a%20b&e=", headers: &h };
    let p = Params::default();
    let take = |source: Source| source.take(&s, &p).map(Cow::into_owned);
    assert_eq!(take(Source::Header("req-owner".into())), Some("acme".into()));
    assert_eq!(take(Source::Query("k".into())), Some("a b".into()));
    assert_eq!((take(Source::Query("e".into())), take(Source::Param(0))), (None, None));
    let rule = |name: &str, ceiling| DeadlineRule {
        source: Some(Source::Header(name.into())),
        default: Micros(9),
        ceiling: Micros(ceiling),
    };
    assert_eq!(rule("wait", 9_000_000).time(&s, &p), Ok(Micros(2_500_000)));
    assert_eq!(rule("wait", 1_000_000).time(&s, &p), Ok(Micros(1_000_000)));
    assert_eq!(rule("none", 1_000_000).time(&s, &p), Ok(Micros(9)));
    assert_eq!(rule("req-owner", 1_000_000).time(&s, &p), Err(BadDeadline));
}

#[test]
fn a_mirror_takes_its_share() {
    let m = Mirror { pool: 1, share: 0.1 };
    let n = (0..10_000).filter(|&n| m.takes(n)).count();
    assert!((900..1_100).contains(&n), "{n}");
    assert!(!(0..1_000).any(|n| Mirror { pool: 1, share: 0.0 }.takes(n)));
    assert!((0..1_000).all(|n| Mirror { pool: 1, share: 1.0 }.takes(n)));
}
