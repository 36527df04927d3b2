//! The HTTP/1.1 codec: it parses requests and responses from bytes and serializes them. It owns no socket and
//! makes no decisions.

use crate::Limits;
use garnettally_routing::pattern::Headers;
use httparse::{Header, Status};
use std::fmt::Write as _;
use std::time::Duration;

/// The message can't be processed; the field is the HTTP status code that describes the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError(pub u16);

/// How the end of a message body is determined (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body is exactly this many bytes long.
    Length(usize),
    /// The body is chunked and ends with the last chunk and its trailers.
    Chunked,
    /// The body ends when the peer closes the connection.
    Close,
}

/// A caller's request, reduced to the parts that the balancer evaluates or forwards.
#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    /// The value of `Host`; empty where an HTTP/1.0 request has none.
    pub host: String,
    /// The request target: path and query as the caller sent them.
    pub target: String,
    /// The header lines to forward, each terminated by CRLF.
    pub headers: Vec<u8>,
    /// The body with any chunked coding removed.
    pub body: Vec<u8>,
    /// Whether the caller's connection may carry another request after this one.
    pub keep_alive: bool,
    /// The value of `Req-Id`.
    pub id: Option<String>,
    /// The value of `Req-Owner`: the name of the tenant.
    pub owner: Option<String>,
    /// The value of `Req-Deadline`, in seconds, not yet parsed.
    pub deadline: Option<String>,
    /// The value of `Req-Cost`, in microseconds, not yet parsed.
    pub cost: Option<String>,
    /// Whether the client has sent this request before (`Req-Retry: 1`).
    pub repeat: bool,
    /// Whether the request has an `Idempotency-Key` that is not empty.
    pub keyed: bool,
}

impl Request {
    /// The path: the target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// The query: the part of the target after the question mark, or an empty string.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// The memory that the request takes.
    pub fn memory_bytes(&self) -> usize {
        let optional = |text: &Option<String>| text.as_ref().map_or(0, String::capacity);
        let texts = self.method.capacity() + self.host.capacity() + self.target.capacity();
        let values = [&self.id, &self.owner, &self.deadline, &self.cost].map(optional);
        size_of::<Request>()
            + texts
            + values.iter().sum::<usize>()
            + self.headers.capacity()
            + self.body.capacity()
    }

    /// Adds a header line to those that are forwarded.
    pub fn add_header(&mut self, name: &str, value: &str) {
        for part in [name, ": ", value, "\r\n"] {
            self.headers.extend_from_slice(part.as_bytes());
        }
    }
}

/// Routes match on the forwarded headers and on the deadline. Headers that concern only the connection are
/// not visible to them.
impl Headers for Request {
    fn header(&self, name: &str) -> Option<&str> {
        if name.eq_ignore_ascii_case("req-deadline") {
            return self.deadline.as_deref();
        }
        let lines = self.headers.split(|&b| b == b'\n');
        lines
            .filter_map(|line| std::str::from_utf8(line).ok()?.trim_end().split_once(':'))
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }
}

/// A request of the platform's protocol, with its values parsed and independent of HTTP.
#[derive(Debug)]
pub struct Call<'a> {
    /// The caller's identifier of the request; never empty.
    pub id: &'a str,
    /// The name of the request's class: the first segment of the path.
    pub class: &'a str,
    /// The query parameter `key`: a class may keep the order of requests with the same value.
    pub order_key: Option<&'a str>,
    /// The name of the tenant.
    pub owner: Option<&'a str>,
    /// The time within which the caller wants the response, from the arrival of the request.
    pub deadline: Duration,
    /// The caller's cost hint: the work that it expects the request to take.
    pub cost: Option<Duration>,
    /// Whether the client has sent this request before.
    pub repeat: bool,
    /// Whether the method declares that the request changes nothing on the server.
    pub read_only: bool,
    /// Whether the request carries an idempotency key by which a server recognizes a repeat.
    pub keyed: bool,
}

/// Parses a request's hints: its expected work, and whether its client has sent it before.
pub fn parse_hints(request: &Request) -> Result<(Option<Duration>, bool), HttpError> {
    let cost = request.cost.as_deref().map(|text| parse_number(text, 1e12)).transpose()?;
    Ok((cost.map(|us| Duration::from_micros(us as u64)), request.repeat))
}

/// Parses a number from 0 up to, and excluding, `limit`.
fn parse_number(text: &str, limit: f64) -> Result<f64, HttpError> {
    text.parse::<f64>().ok().filter(|v| (0.0..limit).contains(v)).ok_or(HttpError(400))
}

/// Parses a request of the platform's protocol.
pub fn parse_call(request: &Request) -> Result<Call<'_>, HttpError> {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let (cost, repeat) = parse_hints(request)?;
    let id = request.id.as_deref().filter(|id| !id.is_empty()).ok_or(HttpError(400))?;
    let read_only = match &*request.method {
        "GET" => true,
        "POST" => false,
        _ => return Err(HttpError(405)),
    };
    Ok(Call {
        id,
        class: path.strip_prefix('/').ok_or(HttpError(400))?.split('/').next().unwrap_or(""),
        order_key: query.split('&').find_map(|pair| pair.strip_prefix("key=")),
        owner: request.owner.as_deref(),
        deadline: Duration::from_secs_f64(parse_number(
            request.deadline.as_deref().ok_or(HttpError(400))?,
            1e6,
        )?),
        cost,
        repeat,
        read_only,
        keyed: request.keyed,
    })
}

/// The result of parsing the bytes received so far.
#[derive(Debug)]
pub enum Incoming {
    /// The request is incomplete. `expects_continue`: the caller may be waiting for a `100 Continue` before
    /// it sends the body. `missing_bytes`: how many bytes are missing, once the request's length is known.
    Partial { expects_continue: bool, missing_bytes: Option<usize> },
    /// The complete request, and the number of input bytes that it used.
    Complete(Box<Request>, usize),
}

/// An upstream's response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    /// The header lines to forward, each terminated by CRLF.
    pub headers: Vec<u8>,
    /// The body with any chunked coding removed.
    pub body: Vec<u8>,
    /// Whether the upstream's connection may carry another request after this response.
    pub keep_alive: bool,
    /// The `Content-Length` of a response to HEAD, which has no body.
    pub length_without_body: Option<usize>,
    /// Whether the server states that the request never ran (`Srv-Declined: 1`).
    pub declined: bool,
    /// The number of requests in flight at the server, from its load report (`Srv-Load`).
    pub in_flight: Option<f64>,
}

/// Parses a request from the start of `buf`.
pub fn parse_request(buf: &[u8], limits: &Limits) -> Result<Incoming, HttpError> {
    // Empty lines before a request are skipped (RFC 9112, section 2.2).
    let start = buf.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    let mut space = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut head = httparse::Request::new(&mut space);
    let head_len = match head.parse(&buf[start..]) {
        Ok(Status::Complete(n)) if n <= limits.max_head_bytes => start + n,
        Ok(Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError(431)),
        Ok(Status::Partial) if buf.len() > limits.max_head_bytes => return Err(HttpError(431)),
        Ok(Status::Partial) => {
            return Ok(Incoming::Partial { expects_continue: false, missing_bytes: None });
        }
        Err(_) => return Err(HttpError(400)),
    };
    let (Some(method), Some(target), Some(version)) = (head.method, head.path, head.version) else {
        return Err(HttpError(400));
    };
    let headers = MessageHeaders::parse(head.headers, version)?;
    if headers.host_count != 1 && version == 1 {
        return Err(HttpError(400));
    }
    let framing = match (headers.chunked, headers.length) {
        // Ambiguous framing is rejected: a server that frames the message differently would find another
        // request in its body (request smuggling).
        (true, Some(_)) => return Err(HttpError(400)),
        (true, None) if version == 0 => return Err(HttpError(400)),
        _ if headers.length_count > 1 => return Err(HttpError(400)),
        (true, None) => Framing::Chunked,
        (false, length) => Framing::Length(length.unwrap_or(0)),
    };
    let Some((body, used)) =
        parse_body(&buf[head_len..], framing, false, limits.max_request_body_bytes, limits)?
    else {
        let missing_bytes = match framing {
            Framing::Length(length) => Some((head_len + length).saturating_sub(buf.len())),
            _ => None,
        };
        let expects_continue = headers.expects_continue && buf.len() == head_len;
        return Ok(Incoming::Partial { expects_continue, missing_bytes });
    };
    let text = |name: &str| -> Result<Option<String>, HttpError> {
        let mut found = head.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        let first =
            found.next().map(|h| std::str::from_utf8(h.value).map_err(|_| HttpError(400))).transpose()?;
        match found.next() {
            Some(_) => Err(HttpError(400)),
            None => Ok(first.map(|v| v.trim().to_string())),
        }
    };
    let request = Request {
        method: method.to_string(),
        host: text("Host")?.unwrap_or_default(),
        target: target.to_string(),
        headers: forwarded_headers(head.headers, &headers),
        body,
        keep_alive: headers.keep_alive,
        id: text("Req-Id")?,
        owner: text("Req-Owner")?,
        deadline: text("Req-Deadline")?,
        cost: text("Req-Cost")?,
        repeat: text("Req-Retry")?.as_deref() == Some("1"),
        keyed: text("Idempotency-Key")?.is_some_and(|k| !k.is_empty()),
    };
    Ok(Incoming::Complete(Box::new(request), head_len + used))
}

/// Parses a response that has to be the only content of `buf`. `ended`: the peer sends no more bytes.
/// `to_head`: the response belongs to a HEAD request and has no body.
pub fn parse_response(
    buf: &[u8],
    ended: bool,
    to_head: bool,
    limits: &Limits,
) -> Result<Option<Response>, HttpError> {
    let mut space = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut position = 0;
    loop {
        let mut head = httparse::Response::new(&mut space);
        let head_len = match head.parse(&buf[position..]) {
            Ok(Status::Complete(n)) if n <= limits.max_head_bytes => n,
            Ok(Status::Partial) if !ended && buf.len() - position <= limits.max_head_bytes => {
                return Ok(None)
            }
            _ => return Err(HttpError(502)),
        };
        let (status, version) = (head.code.unwrap_or(0), head.version.unwrap_or(0));
        position += head_len;
        if (100..200).contains(&status) && status != 101 {
            continue; // an interim response
        }
        let headers = MessageHeaders::parse(head.headers, version).map_err(|_| HttpError(502))?;
        let framing = match (headers.chunked, headers.length) {
            _ if to_head || matches!(status, 204 | 304) => Framing::Length(0),
            (true, _) => Framing::Chunked,
            (false, Some(n)) => Framing::Length(n),
            (false, None) => Framing::Close,
        };
        let parsed = parse_body(&buf[position..], framing, ended, limits.max_response_body_bytes, limits)
            .map_err(|HttpError(s)| HttpError(if s == 413 { 413 } else { 502 }))?;
        let Some((body, used)) = parsed else {
            return if ended { Err(HttpError(502)) } else { Ok(None) };
        };
        let value = |name: &str| head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        let report = value("Srv-Load").and_then(|h| std::str::from_utf8(h.value).ok());
        // Bytes after the response belong to no request: such a connection is not reused.
        let reusable = position + used == buf.len() && framing != Framing::Close;
        return Ok(Some(Response {
            status,
            headers: forwarded_headers(head.headers, &headers),
            body,
            keep_alive: headers.keep_alive && reusable,
            length_without_body: headers.length.filter(|_| to_head),
            declined: value("Srv-Declined").is_some_and(|h| h.value.trim_ascii() == b"1"),
            in_flight: report.and_then(reported_in_flight),
        }));
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

/// The headers that determine a message's framing and the further use of its connection.
struct MessageHeaders {
    /// The value of `Content-Length`.
    length: Option<usize>,
    /// The number of `Content-Length` lines, all of the same value.
    length_count: usize,
    chunked: bool,
    keep_alive: bool,
    /// Whether the message has `Expect: 100-continue`.
    expects_continue: bool,
    /// The number of `Host` lines.
    host_count: usize,
    /// The other options of `Connection`, in lower case: names of headers that must not be forwarded.
    connection_options: Vec<String>,
}

impl MessageHeaders {
    /// Parses the headers of a message of this HTTP minor version (0 or 1).
    fn parse(lines: &[Header<'_>], version: u8) -> Result<MessageHeaders, HttpError> {
        let (length, chunked, keep_alive) = (None, false, version == 1);
        let mut headers = MessageHeaders {
            length,
            length_count: 0,
            chunked,
            keep_alive,
            expects_continue: false,
            host_count: 0,
            connection_options: Vec::new(),
        };
        for line in lines {
            let is_named = |name: &str| line.name.eq_ignore_ascii_case(name);
            if is_named("Content-Length") {
                let text = std::str::from_utf8(line.value).map_err(|_| HttpError(400))?.trim();
                let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
                if !digits {
                    return Err(HttpError(400));
                }
                let n = text.parse().map_err(|_| HttpError(413))?;
                if headers.length.is_some_and(|previous| previous != n) {
                    return Err(HttpError(400));
                }
                (headers.length, headers.length_count) = (Some(n), headers.length_count + 1);
            } else if is_named("Transfer-Encoding") {
                if headers.chunked || !line.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                    return Err(HttpError(400));
                }
                headers.chunked = true;
            } else if is_named("Connection") {
                for option in String::from_utf8_lossy(line.value).split(',') {
                    match option.trim().to_ascii_lowercase() {
                        o if o == "close" => headers.keep_alive = false,
                        o if o == "keep-alive" => {
                            headers.keep_alive |= !headers.connection_options.iter().any(|n| n == "close");
                        }
                        o => headers.connection_options.push(o),
                    }
                }
            } else if is_named("Expect") {
                headers.expects_continue = line.value.trim_ascii().eq_ignore_ascii_case(b"100-continue");
            } else if is_named("Host") {
                headers.host_count += 1;
            }
        }
        Ok(headers)
    }
}

/// Serializes the header lines to forward: those that do not concern this connection alone (RFC 9110, section
/// 7.6.1), and that the balancer does not write itself.
fn forwarded_headers(lines: &[Header<'_>], headers: &MessageHeaders) -> Vec<u8> {
    const NOT_FORWARDED: [&str; 13] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
        "host",
        "req-deadline",
        "srv-load",
        "srv-declined",
    ];
    let mut out = Vec::new();
    for line in lines {
        let per_hop = NOT_FORWARDED.iter().any(|name| line.name.eq_ignore_ascii_case(name));
        if !per_hop && !headers.connection_options.iter().any(|name| line.name.eq_ignore_ascii_case(name)) {
            out.extend_from_slice(line.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(line.value);
            out.extend_from_slice(b"\r\n");
        }
    }
    out
}

/// Parses the body at the start of `buf`, of at most `max_bytes`: the body and the number of bytes that it
/// used in `buf`, or `None` while it is incomplete.
fn parse_body(
    buf: &[u8],
    framing: Framing,
    ended: bool,
    max_bytes: usize,
    limits: &Limits,
) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    match framing {
        Framing::Length(n) if n > max_bytes => Err(HttpError(413)),
        Framing::Length(n) => Ok(buf.get(..n).map(|b| (b.to_vec(), n))),
        Framing::Close if buf.len() > max_bytes => Err(HttpError(413)),
        Framing::Close => Ok(ended.then(|| (buf.to_vec(), buf.len()))),
        Framing::Chunked => {
            let mut decoder = ChunkDecoder::default();
            let mut out = Vec::new();
            let used = decoder.decode(buf, max_bytes, limits, &mut out)?;
            Ok(decoder.done.then_some((out, used)))
        }
    }
}

/// An incremental decoder of a chunked body.
#[derive(Default)]
pub struct ChunkDecoder {
    /// The bytes of the current chunk that have not been received.
    remaining: usize,
    /// Whether the CRLF that terminates the current chunk has not been received.
    chunk_end_pending: bool,
    /// Whether the last chunk has been received; trailers follow.
    in_trailers: bool,
    /// Whether the body and its trailers are complete.
    pub done: bool,
}

impl ChunkDecoder {
    /// Appends the decoded bytes of `buf` to `out`, which may hold `max_bytes`, and returns how many bytes of
    /// `buf` were used.
    pub fn decode(
        &mut self,
        buf: &[u8],
        max_bytes: usize,
        limits: &Limits,
        out: &mut Vec<u8>,
    ) -> Result<usize, HttpError> {
        let mut position = 0;
        while !self.done {
            let rest = &buf[position..];
            if self.remaining > 0 {
                let n = self.remaining.min(rest.len());
                if n == 0 {
                    break;
                }
                out.extend_from_slice(&rest[..n]);
                (self.remaining, position) = (self.remaining - n, position + n);
                self.chunk_end_pending = self.remaining == 0;
                if out.len() > max_bytes {
                    return Err(HttpError(413));
                }
            } else if self.chunk_end_pending {
                match rest {
                    [b'\r', b'\n', ..] => (self.chunk_end_pending, position) = (false, position + 2),
                    [] | [b'\r'] => break,
                    _ => return Err(HttpError(400)),
                }
            } else if self.in_trailers {
                let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
                    if rest.len() > limits.max_chunk_line_bytes {
                        return Err(HttpError(400));
                    }
                    break;
                };
                (self.done, position) = (end == 0, position + end + 2);
            } else {
                match httparse::parse_chunk_size(rest).map_err(|_| HttpError(400))? {
                    Status::Partial if rest.len() > limits.max_chunk_line_bytes => {
                        return Err(HttpError(400))
                    }
                    Status::Partial => break,
                    Status::Complete((n, size)) => {
                        position += n;
                        self.remaining = usize::try_from(size).map_err(|_| HttpError(413))?;
                        if self.remaining > max_bytes {
                            return Err(HttpError(413));
                        }
                        self.in_trailers = size == 0;
                    }
                }
            }
        }
        Ok(position)
    }
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

/// Serializes the head of a request to an upstream, which the body follows unchanged. `timeout`: the time-out
/// of the attempt, sent as `Req-Deadline`.
pub fn write_request_head(out: &mut Vec<u8>, request: &Request, host: &str, timeout: Duration) {
    let mut head = String::with_capacity(128);
    let _ = write!(head, "{} {} HTTP/1.1\r\nHost: {host}\r\n", request.method, request.target);
    let _ = write!(head, "Req-Deadline: {:.6}\r\n", timeout.as_secs_f64());
    if !request.body.is_empty() || request.method != "GET" {
        let _ = write!(head, "Content-Length: {}\r\n", request.body.len());
    }
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(&request.headers);
    out.extend_from_slice(b"\r\n");
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

/// Serializes a response to a caller. `close`: it announces that the connection closes after it.
pub fn write_response(out: &mut Vec<u8>, response: &OutgoingResponse<'_>, close: bool) {
    let &OutgoingResponse { status, headers, body, length_without_body } = response;
    let reason = match status {
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
    };
    let mut head = String::with_capacity(96);
    let _ = write!(head, "HTTP/1.1 {status} {reason}\r\n");
    // A 204 must not state a length, and that of a 304 would be the length of another response.
    let length =
        if matches!(status, 204 | 304) { None } else { Some(length_without_body.unwrap_or(body.len())) };
    if let Some(length) = length {
        let _ = write!(head, "Content-Length: {length}\r\n");
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(headers);
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}
