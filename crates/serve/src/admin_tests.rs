//! Tests of the admin calls: identification by method and path, and parsing of partial and malformed heads.

use super::*;

#[test]
fn calls_are_identified_by_method_and_path() {
    assert_eq!(route("GET", "/healthcheck"), AdminCall::Health);
    assert_eq!(route("GET", "/stats?x=1"), AdminCall::Stats);
    assert_eq!(route("PUT", "/healthcheck/fail"), AdminCall::StartDrain);
    assert_eq!(route("PUT", "/healthcheck/ok/"), AdminCall::EndDrain);
    assert_eq!(route("GET", "/healthcheck/fail"), AdminCall::WrongMethod);
    assert_eq!(route("DELETE", "/stats"), AdminCall::WrongMethod);
    assert_eq!(route("GET", "/"), AdminCall::UnknownPath);
}

#[test]
fn an_incomplete_head_is_partial_and_invalid_bytes_are_malformed() {
    let call = b"PUT /healthcheck/fail HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    for cut in 0..call.len() {
        assert_eq!(parse_call(&call[..cut]), ParsedCall::Partial, "cut at {cut}");
    }
    assert_eq!(parse_call(call), ParsedCall::Complete(AdminCall::StartDrain));
    assert_eq!(parse_call(b"\x16\x03\x01 not http\r\n\r\n"), ParsedCall::Malformed);
    assert_eq!(parse_call(&vec![b'a'; MAX_HEAD_BYTES]), ParsedCall::Malformed);
}
