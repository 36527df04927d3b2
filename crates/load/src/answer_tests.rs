//! Tests of the parser of responses: it finds the end of a response by each kind of framing.

use super::*;

#[test]
fn the_end_of_a_response_is_found_by_its_framing() {
    let parse = |text: &str| {
        parse_response(text.as_bytes(), false, false).unwrap().map(|a| (a.status, a.length, a.keep_alive))
    };
    assert_eq!(parse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabX"), Some((200, 40, true)));
    assert_eq!(parse("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab"), None);
    assert_eq!(
        parse("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 204 N\r\nConnection: close\r\n\r\n"),
        Some((204, 55, false))
    );
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: x\r\n\r\n";
    assert_eq!(parse(chunks), Some((200, chunks.len(), true)));
    for cut in 0..chunks.len() {
        assert_eq!(parse(&chunks[..cut]), None);
    }
    let until_close = b"HTTP/1.1 200 OK\r\n\r\nabc";
    assert_eq!(parse_response(until_close, false, false), Ok(None));
    assert_eq!(parse_response(until_close, true, false).unwrap().map(|a| a.length), Some(until_close.len()));
    assert_eq!(
        parse_response(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", false, true)
            .unwrap()
            .map(|a| a.length),
        Some(38)
    );
    assert_eq!(parse_response(b"nonsense\r\n\r\n", false, false), Err(ResponseError::Head));
    assert_eq!(
        parse_response(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", true, false),
        Err(ResponseError::Body)
    );
    assert_eq!(
        parse_response(b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", false, false),
        Err(ResponseError::Head)
    );
}
