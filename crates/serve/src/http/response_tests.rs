//! The parser of responses under drawn schedules: framings, splits of the bytes, and ends.

use super::*;
use fastrand::Rng;
use garnettally_config::Limits;
use std::sync::LazyLock;

const SCHEDULES: u64 = 10_000;
const MAX_BODY: usize = 3_000;
const EXAMPLE_FILE: &str = include_str!("../../../../deploy/example.toml");

/// The limits of a process, with a short longest body.
static LIMITS: LazyLock<Limits> = LazyLock::new(|| {
    let operator = garnettally_config::file::parse("example", EXAMPLE_FILE).unwrap();
    Limits { max_response_body_bytes: MAX_BODY, ..Limits::from_operator(&operator) }
});

/// A response as it is written, and its body.
struct Written {
    bytes: Vec<u8>,
    body: Vec<u8>,
    ends_with_close: bool,
    to_head: bool,
}

/// Draws a response.
fn draw(rng: &mut Rng) -> Written {
    let body: Vec<u8> = (0..rng.usize(..=MAX_BODY)).map(|_| rng.u8(..)).collect();
    let to_head = rng.u8(..10) == 0;
    let mut bytes = Vec::new();
    for _ in 0..rng.usize(..3) {
        bytes.extend_from_slice(b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    }
    bytes.extend_from_slice(b"HTTP/1.1 200 OK\r\nX-Kept: yes\r\n");
    let framing = rng.u8(..3);
    match framing {
        0 => bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes()),
        1 => bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n"),
        _ => bytes.extend_from_slice(b"\r\n"),
    }
    if to_head {
        return Written { bytes, body: Vec::new(), ends_with_close: false, to_head };
    }
    if framing == 1 {
        let mut rest = &body[..];
        while !rest.is_empty() {
            let (chunk, behind) = rest.split_at(rng.usize(1..=rest.len()));
            bytes.extend_from_slice(format!("{:x};ext=1\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
            rest = behind;
        }
        bytes.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
    } else {
        bytes.extend_from_slice(&body);
    }
    Written { bytes, body, ends_with_close: framing == 2, to_head }
}

/// Passes the bytes to a parser in drawn pieces, then the end; returns the parser, the body and the result.
fn parse(rng: &mut Rng, bytes: &[u8], to_head: bool) -> (ResponseReader, Vec<u8>, Result<(), HttpError>) {
    let limits = &*LIMITS;
    let mut reader = ResponseReader::new(to_head);
    let (mut input, mut body, mut position) = (Vec::new(), Vec::new(), 0);
    let longest_piece = [1, 7, 100, 5_000][rng.usize(..4)];
    while position < bytes.len() && !reader.is_complete() {
        let end = (position + rng.usize(1..=longest_piece)).min(bytes.len());
        input.extend_from_slice(&bytes[position..end]);
        position = end;
        match reader.read(&input, false, &mut body, limits) {
            Ok(used) => drop(input.drain(..used)),
            Err(error) => return (reader, body, Err(error)),
        }
    }
    let result =
        if reader.is_complete() { Ok(()) } else { reader.read(&input, true, &mut body, limits).map(|_| ()) };
    (reader, body, result)
}

#[test]
fn a_response_is_the_same_in_whichever_pieces_it_arrives() {
    for seed in 0..SCHEDULES {
        let mut rng = Rng::with_seed(seed);
        let written = draw(&mut rng);
        let (reader, body, result) = parse(&mut rng, &written.bytes, written.to_head);
        assert_eq!(result, Ok(()), "seed {seed}");
        assert!(reader.is_complete() && body == written.body, "seed {seed}");
        assert_eq!(reader.body_bytes(), body.len(), "seed {seed}");
        assert_eq!(reader.head().unwrap().headers, b"X-Kept: yes\r\n", "seed {seed}");
    }
}

#[test]
fn a_response_that_ends_early_is_never_complete() {
    for seed in 0..SCHEDULES {
        let mut rng = Rng::with_seed(seed);
        let written = draw(&mut rng);
        let cut = rng.usize(..written.bytes.len());
        let (reader, body, result) = parse(&mut rng, &written.bytes[..cut], written.to_head);
        // Only the close itself ends a body without a length, wherever it comes.
        if written.ends_with_close && reader.head().is_some() {
            assert!(written.body.starts_with(&body), "seed {seed}");
        } else {
            assert_eq!(result, Err(HttpError(502)), "seed {seed}");
        }
    }
}

#[test]
fn a_body_beyond_the_longest_is_an_error() {
    let mut rng = Rng::with_seed(1);
    let body = vec![b'x'; MAX_BODY + 1];
    let chunk = [format!("{:x}\r\n", body.len()).as_bytes(), &body, b"\r\n0\r\n\r\n"].concat();
    let stated = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    for bytes in [
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &chunk[..]].concat(),
        [b"HTTP/1.1 200 OK\r\n\r\n", &body[..]].concat(),
        stated.into_bytes(),
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n".to_vec(),
    ] {
        assert_eq!(parse(&mut rng, &bytes, false).2, Err(HttpError(413)));
    }
}

#[test]
fn a_body_that_passes_through_reads_the_same_again_and_a_cut_one_is_not_whole() {
    for seed in 0..SCHEDULES / 10 {
        let mut rng = Rng::with_seed(seed);
        let written = draw(&mut rng);
        let framing = [BodyFraming::Chunked, BodyFraming::Length(Some(written.body.len()))][rng.usize(..2)];
        let mut out = Vec::new();
        write_response_head(&mut out, 200, b"X-Kept: yes\r\n", framing, false);
        let mut rest = &written.body[..];
        while !rest.is_empty() {
            let (part, behind) = rest.split_at(rng.usize(1..=rest.len()));
            framing.write(&mut out, part);
            rest = behind;
        }
        let cut = parse(&mut rng, &out, false).2;
        framing.write_end(&mut out);
        let (reader, body, result) = parse(&mut rng, &out, false);
        assert_eq!((result, body == written.body, reader.is_complete()), (Ok(()), true, true), "seed {seed}");
        assert!(framing != BodyFraming::Chunked || cut == Err(HttpError(502)), "seed {seed}");
    }
}
