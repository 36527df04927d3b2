//! Responses: a state machine that parses an upstream's response as its bytes arrive, and the serialization of
//! responses to callers.

use super::body::{ChunkDecoder, Framing};
use super::headers::{forwarded_headers, MessageHeaders};
use super::HttpError;
use crate::Limits;
use httparse::Status;
use std::fmt::Write as _;

/// The head of an upstream's response.
#[derive(Debug)]
pub struct ResponseHead {
    pub status: u16,
    /// The header lines to forward, each terminated by CRLF.
    pub headers: Vec<u8>,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the headers let the upstream's connection carry another request.
    pub keep_alive: bool,
    /// The `Content-Length` of a response to HEAD, which has no body.
    pub length_without_body: Option<usize>,
    /// Whether the server states that the request never ran (`Srv-Declined: 1`).
    pub declined: bool,
    /// The number of requests in flight at the server, from its load report (`Srv-Load`).
    pub in_flight: Option<f64>,
}

impl ResponseHead {
    /// The length of the body, if the head states it.
    pub fn stated_length(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::Close => None,
        }
    }
}

/// A whole response of an upstream.
#[derive(Debug)]
pub struct Response {
    pub head: ResponseHead,
    /// The body with any chunked coding removed.
    pub body: Vec<u8>,
}

/// The part of a response that is expected next.
#[derive(Debug)]
enum Expected {
    /// The head, perhaps after interim responses.
    Head,
    /// This many bytes of the body.
    Bytes(usize),
    /// Chunks, up to the last one and its trailers.
    Chunks(ChunkDecoder),
    /// Bytes up to the close.
    Close,
    /// Nothing: the response is complete.
    Nothing,
}

/// Parses one response from bytes as they arrive. It owns no bytes but those of the head.
#[derive(Debug)]
pub struct ResponseReader {
    /// Whether the response belongs to a HEAD request and has no body.
    to_head: bool,
    expected: Expected,
    head: Option<ResponseHead>,
    /// The length of the body so far.
    body_bytes: usize,
}

impl ResponseReader {
    /// Expects the response to a request; `to_head`: its method is HEAD.
    pub fn new(to_head: bool) -> ResponseReader {
        ResponseReader { to_head, expected: Expected::Head, head: None, body_bytes: 0 }
    }

    /// The head, once it is complete.
    pub fn head(&self) -> Option<&ResponseHead> {
        self.head.as_ref()
    }

    /// Takes the head out, when the response is passed on.
    pub fn take_head(&mut self) -> Option<ResponseHead> {
        self.head.take()
    }

    /// Whether the response is complete.
    pub fn is_complete(&self) -> bool {
        matches!(self.expected, Expected::Nothing)
    }

    /// The length of the body so far, without its framing.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Parses the bytes at the start of `input`, appends those of the body to `body`, and returns how many bytes
    /// of `input` were used; the rest has to be passed in again with what follows. `ended`: nothing follows.
    ///
    /// # Errors
    ///
    /// 413 if the body is longer than `limits.max_response_body_bytes`, 502 if the bytes are no response, or if
    /// nothing follows and the response is incomplete.
    pub fn read(
        &mut self,
        input: &[u8],
        ended: bool,
        body: &mut Vec<u8>,
        limits: &Limits,
    ) -> Result<usize, HttpError> {
        let mut used = 0;
        if matches!(self.expected, Expected::Head) {
            used = self.read_head(input, limits)?;
        }
        used += self.read_body(&input[used..], body, limits)?;
        match self.expected {
            Expected::Close if ended => self.expected = Expected::Nothing,
            Expected::Nothing => {}
            _ if ended => return Err(HttpError(502)),
            _ => {}
        }
        Ok(used)
    }

    /// Parses the head, behind any interim responses, and returns how many bytes were used.
    fn read_head(&mut self, input: &[u8], limits: &Limits) -> Result<usize, HttpError> {
        let mut space = vec![httparse::EMPTY_HEADER; limits.max_headers];
        let mut used = 0;
        loop {
            let mut head = httparse::Response::new(&mut space);
            let rest = &input[used..];
            let head_len = match head.parse(rest) {
                Ok(Status::Complete(n)) if n <= limits.max_head_bytes => n,
                Ok(Status::Partial) if rest.len() <= limits.max_head_bytes => return Ok(used),
                _ => return Err(HttpError(502)),
            };
            let (status, version) = (head.code.unwrap_or(0), head.version.unwrap_or(0));
            used += head_len;
            if (100..200).contains(&status) && status != 101 {
                continue; // an interim response
            }
            let headers = MessageHeaders::parse(head.headers, version).map_err(|_| HttpError(502))?;
            let framing = match (headers.chunked, headers.length) {
                _ if self.to_head || matches!(status, 204 | 304) => Framing::Length(0),
                (true, _) => Framing::Chunked,
                (false, Some(n)) if n > limits.max_response_body_bytes => return Err(HttpError(413)),
                (false, Some(n)) => Framing::Length(n),
                (false, None) => Framing::Close,
            };
            self.expected = match framing {
                Framing::Length(0) => Expected::Nothing,
                Framing::Length(n) => Expected::Bytes(n),
                Framing::Chunked => Expected::Chunks(ChunkDecoder::default()),
                Framing::Close => Expected::Close,
            };
            let value = |name: &str| head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
            let report = value("Srv-Load").and_then(|h| std::str::from_utf8(h.value).ok());
            self.head = Some(ResponseHead {
                status,
                headers: forwarded_headers(head.headers, &headers),
                framing,
                keep_alive: headers.keep_alive && framing != Framing::Close,
                length_without_body: headers.length.filter(|_| self.to_head),
                declined: value("Srv-Declined").is_some_and(|h| h.value.trim_ascii() == b"1"),
                in_flight: report.and_then(reported_in_flight),
            });
            return Ok(used);
        }
    }

    /// Parses bytes of the body, and returns how many were used.
    fn read_body(&mut self, input: &[u8], body: &mut Vec<u8>, limits: &Limits) -> Result<usize, HttpError> {
        let left = limits.max_response_body_bytes - self.body_bytes;
        let length_before = body.len();
        let used = match &mut self.expected {
            Expected::Head | Expected::Nothing => 0,
            Expected::Bytes(missing) => {
                let count = input.len().min(*missing);
                crate::memory::append(body, &input[..count]);
                *missing -= count;
                if *missing == 0 {
                    self.expected = Expected::Nothing;
                }
                count
            }
            Expected::Close if input.len() > left => return Err(HttpError(413)),
            Expected::Close => {
                crate::memory::append(body, input);
                input.len()
            }
            Expected::Chunks(decoder) => {
                let used = decoder
                    .decode(input, length_before + left, limits, body)
                    .map_err(|HttpError(status)| HttpError(if status == 413 { 413 } else { 502 }))?;
                if decoder.done {
                    self.expected = Expected::Nothing;
                }
                used
            }
        };
        self.body_bytes += body.len() - length_before;
        Ok(used)
    }
}

/// The number of requests in flight that a load report states. The settings call it `rif`; `inflight` is the
/// other name in use for the same number. A report with any malformed part is ignored as a whole.
fn reported_in_flight(report: &str) -> Option<f64> {
    let mut in_flight = None;
    for pair in report.trim().strip_prefix("TEXT")?.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)?;
        if matches!(name.trim(), "rif" | "inflight") && in_flight.replace(value).is_some() {
            return None;
        }
    }
    in_flight
}

/// Parses the head of a streamed response and returns its length in bytes, or `None` while it is incomplete.
/// A response that is not a chunked 200 is an error.
pub fn parse_stream_head(buf: &[u8], limits: &Limits) -> Result<Option<usize>, HttpError> {
    let mut space = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut head = httparse::Response::new(&mut space);
    match head.parse(buf) {
        Ok(Status::Partial) if buf.len() <= limits.max_head_bytes => Ok(None),
        Ok(Status::Complete(head_len)) => {
            let status = head.code.unwrap_or(0);
            let chunked = MessageHeaders::parse(head.headers, 1)?.chunked;
            if status == 200 && chunked {
                Ok(Some(head_len))
            } else {
                Err(HttpError(if status == 200 { 502 } else { status }))
            }
        }
        _ => Err(HttpError(502)),
    }
}

/// A response to a caller.
#[derive(Clone, Copy, Default)]
pub struct OutgoingResponse<'a> {
    pub status: u16,
    /// Header lines, each terminated by CRLF.
    pub headers: &'a [u8],
    pub body: &'a [u8],
    /// The `Content-Length` to send although there is no body: the response to a HEAD.
    pub length_without_body: Option<usize>,
}

/// The reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        301 => "Moved Permanently",
        302 => "Found",
        303 => "See Other",
        304 => "Not Modified",
        307 => "Temporary Redirect",
        308 => "Permanent Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}

/// How the end of a response's body is marked for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The head states this length; `None`: it states none, as there is no body.
    Length(Option<usize>),
    /// The body is chunked.
    Chunked,
    /// The connection closes after the body: for callers that understand no chunks.
    UntilClose,
}

impl BodyFraming {
    /// How a body that passes through is framed for a caller. A chunked body and one that ends with its
    /// connection have no length that could be stated before their end.
    pub fn for_caller(framing: Framing, accepts_chunked: bool) -> BodyFraming {
        match framing {
            Framing::Length(length) => BodyFraming::Length(Some(length)),
            _ if accepts_chunked => BodyFraming::Chunked,
            _ => BodyFraming::UntilClose,
        }
    }

    /// Appends a part of the body.
    pub fn write(self, out: &mut Vec<u8>, part: &[u8]) {
        if part.is_empty() {
            return; // an empty chunk would be the last one
        }
        if self == BodyFraming::Chunked {
            out.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        }
        crate::memory::append(out, part);
        if self == BodyFraming::Chunked {
            out.extend_from_slice(b"\r\n");
        }
    }

    /// Appends what marks the end of the body.
    pub fn write_end(self, out: &mut Vec<u8>) {
        if self == BodyFraming::Chunked {
            out.extend_from_slice(b"0\r\n\r\n");
        }
    }
}

/// Serializes the head of a response to a caller. `close`: it announces that the connection closes after it.
pub fn write_response_head(
    out: &mut Vec<u8>,
    status: u16,
    headers: &[u8],
    framing: BodyFraming,
    close: bool,
) {
    let mut head = String::with_capacity(96);
    let _ = write!(head, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    match framing {
        BodyFraming::Length(Some(length)) => {
            let _ = write!(head, "Content-Length: {length}\r\n");
        }
        BodyFraming::Chunked => head.push_str("Transfer-Encoding: chunked\r\n"),
        BodyFraming::Length(None) | BodyFraming::UntilClose => {}
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(headers);
    out.extend_from_slice(b"\r\n");
}

/// Serializes a response to a caller. `close`: it announces that the connection closes after it.
pub fn write_response(out: &mut Vec<u8>, response: &OutgoingResponse<'_>, close: bool) {
    let &OutgoingResponse { status, headers, body, length_without_body } = response;
    // A 204 must not state a length, and that of a 304 would be the length of another response.
    let length =
        if matches!(status, 204 | 304) { None } else { Some(length_without_body.unwrap_or(body.len())) };
    write_response_head(out, status, headers, BodyFraming::Length(length), close);
    out.extend_from_slice(body);
}

#[cfg(test)]
#[path = "response_tests.rs"]
mod tests;
