//! Tests of the admin calls: routing by method and path, and parsing of partial and malformed heads.

use super::*;

#[test]
fn calls_are_told_apart_by_method_and_path() {
    assert_eq!(route("GET", "/healthcheck"), Call::Health);
    assert_eq!(route("GET", "/stats?x=1"), Call::Stats);
    assert_eq!(route("PUT", "/healthcheck/fail"), Call::Fail);
    assert_eq!(route("PUT", "/healthcheck/ok/"), Call::Ok);
    assert_eq!(route("GET", "/healthcheck/fail"), Call::WrongMethod);
    assert_eq!(route("DELETE", "/stats"), Call::WrongMethod);
    assert_eq!(route("GET", "/"), Call::Unknown);
}

#[test]
fn a_head_in_pieces_is_partial_until_whole_and_junk_is_bad() {
    let call = b"PUT /healthcheck/fail HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    for cut in 0..call.len() {
        assert_eq!(parse(&call[..cut]), Parsed::Partial, "cut at {cut}");
    }
    assert_eq!(parse(call), Parsed::Whole(Call::Fail));
    assert_eq!(parse(b"\x16\x03\x01 not http\r\n\r\n"), Parsed::Bad);
    assert_eq!(parse(&vec![b'a'; CALL_BYTES]), Parsed::Bad);
}
