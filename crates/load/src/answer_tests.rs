//! Tests of the framing of answers: where an answer ends, by each kind of framing.

use super::*;

#[test]
fn answers_end_where_their_framing_says() {
    let whole = |text: &str| read(text.as_bytes(), false, false).unwrap().map(|a| (a.status, a.used, a.keep));
    assert_eq!(whole("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabX"), Some((200, 40, true)));
    assert_eq!(whole("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab"), None);
    assert_eq!(
        whole("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 204 N\r\nConnection: close\r\n\r\n"),
        Some((204, 55, false))
    );
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: x\r\n\r\n";
    assert_eq!(whole(chunks), Some((200, chunks.len(), true)));
    for cut in 0..chunks.len() {
        assert_eq!(whole(&chunks[..cut]), None);
    }
    let open = b"HTTP/1.1 200 OK\r\n\r\nabc";
    assert_eq!(read(open, false, false), Ok(None));
    assert_eq!(read(open, true, false).unwrap().map(|a| a.used), Some(open.len()));
    assert_eq!(
        read(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", false, true).unwrap().map(|a| a.used),
        Some(38)
    );
    assert_eq!(read(b"nonsense\r\n\r\n", false, false), Err(Spoilt::Head));
    assert_eq!(read(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", true, false), Err(Spoilt::Body));
    assert_eq!(read(b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", false, false), Err(Spoilt::Head));
}
