//! Tests of a matched route: the values it takes from a request, its deadline, and the part of requests it
//! mirrors.

use super::*;
use crate::pattern::Headers;

#[test]
fn values_are_taken_from_the_source_that_the_route_names() {
    let headers = [("Req-Owner".to_string(), "acme".to_string()), ("Wait".into(), "2.5".into())];
    struct TestHeaders<'a>(&'a [(String, String)]);
    impl Headers for TestHeaders<'_> {
        fn header(&self, name: &str) -> Option<&str> {
            self.0.header(name)
        }
    }
    let test_headers = TestHeaders(&headers);
    let request =
        RequestView { method: "GET", host: "x", path: "/a", query: "k=a%20b&e=", headers: &test_headers };
    let params = PathParams::default();
    let extract = |source: ValueSource| source.extract(&request, &params).map(Cow::into_owned);
    assert_eq!(extract(ValueSource::Header("req-owner".into())), Some("acme".into()));
    assert_eq!(extract(ValueSource::Query("k".into())), Some("a b".into()));
    assert_eq!((extract(ValueSource::Query("e".into())), extract(ValueSource::Param(0))), (None, None));
    let rule = |name: &str, ceiling| DeadlineRule {
        source: Some(ValueSource::Header(name.into())),
        default: Micros(9),
        ceiling: Micros(ceiling),
    };
    assert_eq!(rule("wait", 9_000_000).resolve(&request, &params), Ok(Micros(2_500_000)));
    assert_eq!(rule("wait", 1_000_000).resolve(&request, &params), Ok(Micros(1_000_000)));
    assert_eq!(rule("none", 1_000_000).resolve(&request, &params), Ok(Micros(9)));
    assert_eq!(rule("req-owner", 1_000_000).resolve(&request, &params), Err(InvalidDeadline));
}

#[test]
fn a_mirror_selects_its_share_of_requests() {
    let mirror = Mirror { pool: 1, share: 0.1 };
    let selected = (0..10_000).filter(|&n| mirror.selects(n)).count();
    assert!((900..1_100).contains(&selected), "{selected}");
    assert!(!(0..1_000).any(|n| Mirror { pool: 1, share: 0.0 }.selects(n)));
    assert!((0..1_000).all(|n| Mirror { pool: 1, share: 1.0 }.selects(n)));
}
