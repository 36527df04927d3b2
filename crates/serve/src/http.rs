//! The HTTP/1.1 codec: bytes to requests and answers, and back. It owns no socket and decides nothing.

use crate::Limits;
use garnettally_routing::pattern::Headers;
use httparse::{Header, Status};
use std::fmt::Write as _;
use std::time::Duration;

/// Why a message cannot be taken: the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad(pub u16);

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(usize),
    /// With its last chunk.
    Chunked,
    /// With its connection.
    Close,
}

/// A request of a caller, as far as the balancer looks into it.
#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub host: String,
    pub target: String,
    /// The header lines to pass on, each with its end.
    pub headers: Vec<u8>,
    pub body: Vec<u8>,
    pub keep_alive: bool,
    pub id: Option<String>,
    pub owner: Option<String>,
    pub deadline: Option<String>,
    pub cost: Option<String>,
    pub repeat: bool,
    pub keyed: bool,
}

impl Request {
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// What follows the target's question mark.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Adds a header line to those that are passed on.
    pub fn add_header(&mut self, name: &str, value: &str) {
        for part in [name, ": ", value, "\r\n"] {
            self.headers.extend_from_slice(part.as_bytes());
        }
    }
}

/// The headers that are passed on, and the deadline. Those of the connection alone are no business of a route.
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

/// What a request asks for, in plain values; nothing here is of HTTP.
#[derive(Debug)]
pub struct Call<'a> {
    pub id: &'a str,
    pub class: &'a str,
    /// What it concerns: requests that share it belong together.
    pub subject: Option<&'a str>,
    pub owner: Option<&'a str>,
    pub deadline: Duration,
    pub cost: Option<Duration>,
    /// Its client has tried before.
    pub repeat: bool,
    /// It is said to change nothing.
    pub read_only: bool,
    /// It carries a key by which a repeat is known.
    pub keyed: bool,
}

/// What a request tells of itself besides: the work that it expects to be, and whether its client has tried before.
pub fn hints(r: &Request) -> Result<(Option<Duration>, bool), Bad> {
    let cost = r.cost.as_deref().map(|c| number(c, 1e12)).transpose()?;
    Ok((cost.map(|us| Duration::from_micros(us as u64)), r.repeat))
}

fn number(text: &str, most: f64) -> Result<f64, Bad> {
    text.parse::<f64>().ok().filter(|v| (0.0..most).contains(v)).ok_or(Bad(400))
}

/// The call that a request makes.
pub fn call(r: &Request) -> Result<Call<'_>, Bad> {
    let (path, query) = r.target.split_once('?').unwrap_or((&r.target, ""));
    let (cost, repeat) = hints(r)?;
    let id = r.id.as_deref().filter(|id| !id.is_empty()).ok_or(Bad(400))?;
    let read_only = match &*r.method {
        "GET" => true,
        "POST" => false,
        _ => return Err(Bad(405)),
    };
    Ok(Call {
        id,
        class: path.strip_prefix('/').ok_or(Bad(400))?.split('/').next().unwrap_or(""),
        subject: query.split('&').find_map(|pair| pair.strip_prefix("key=")),
        owner: r.owner.as_deref(),
        deadline: Duration::from_secs_f64(number(r.deadline.as_deref().ok_or(Bad(400))?, 1e6)?),
        cost,
        repeat,
        read_only,
        keyed: r.keyed,
    })
}

/// A request as far as it has come in.
#[derive(Debug)]
pub enum Incoming {
    /// More bytes are needed; the caller may wait for a `100 Continue`.
    Partial { expects: bool },
    /// The request, and how many bytes it took.
    Whole(Box<Request>, usize),
}

/// An upstream's answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<u8>,
    pub body: Vec<u8>,
    pub keep_alive: bool,
    /// The length that it has without having a body: it answers a HEAD.
    pub bare_length: Option<usize>,
    /// It says that the request never ran.
    pub declined: bool,
    pub held: Option<f64>,
}

/// Reads a request from the start of `buf`.
pub fn request(buf: &[u8], limits: &Limits) -> Result<Incoming, Bad> {
    // Empty lines before a request are passed over.
    let start = buf.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
    let mut space = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut head = httparse::Request::new(&mut space);
    let head_len = match head.parse(&buf[start..]) {
        Ok(Status::Complete(n)) if n <= limits.max_head_bytes => start + n,
        Ok(Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => return Err(Bad(431)),
        Ok(Status::Partial) if buf.len() > limits.max_head_bytes => return Err(Bad(431)),
        Ok(Status::Partial) => return Ok(Incoming::Partial { expects: false }),
        Err(_) => return Err(Bad(400)),
    };
    let (Some(method), Some(target), Some(version)) = (head.method, head.path, head.version) else {
        return Err(Bad(400));
    };
    let fields = Fields::read(head.headers, version)?;
    if fields.hosts != 1 && version == 1 {
        return Err(Bad(400));
    }
    let framing = match (fields.chunked, fields.length) {
        // The marks of a smuggled request: who reads it otherwise finds another one in its body.
        (true, Some(_)) => return Err(Bad(400)),
        (true, None) if version == 0 => return Err(Bad(400)),
        _ if fields.lengths > 1 => return Err(Bad(400)),
        (true, None) => Framing::Chunked,
        (false, length) => Framing::Length(length.unwrap_or(0)),
    };
    let Some((body, used)) = body(&buf[head_len..], framing, false, limits.max_request_body_bytes, limits)?
    else {
        return Ok(Incoming::Partial { expects: fields.expects && buf.len() == head_len });
    };
    let text = |name: &str| -> Result<Option<String>, Bad> {
        let mut found = head.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        let first = found.next().map(|h| std::str::from_utf8(h.value).map_err(|_| Bad(400))).transpose()?;
        match found.next() {
            Some(_) => Err(Bad(400)),
            None => Ok(first.map(|v| v.trim().to_string())),
        }
    };
    let request = Request {
        method: method.to_string(),
        host: text("Host")?.unwrap_or_default(),
        target: target.to_string(),
        headers: pass_on(head.headers, &fields),
        body,
        keep_alive: fields.keep_alive,
        id: text("Req-Id")?,
        owner: text("Req-Owner")?,
        deadline: text("Req-Deadline")?,
        cost: text("Req-Cost")?,
        repeat: text("Req-Retry")?.as_deref() == Some("1"),
        keyed: text("Idempotency-Key")?.is_some_and(|k| !k.is_empty()),
    };
    Ok(Incoming::Whole(Box::new(request), head_len + used))
}

/// Reads an answer that must be the only thing in `buf`; `ended`: no more will come; `bare`: it answers a HEAD.
pub fn answer(buf: &[u8], ended: bool, bare: bool, limits: &Limits) -> Result<Option<Answer>, Bad> {
    let mut space = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut at = 0;
    loop {
        let mut head = httparse::Response::new(&mut space);
        let n = match head.parse(&buf[at..]) {
            Ok(Status::Complete(n)) if n <= limits.max_head_bytes => n,
            Ok(Status::Partial) if !ended && buf.len() - at <= limits.max_head_bytes => return Ok(None),
            _ => return Err(Bad(502)),
        };
        let (status, version) = (head.code.unwrap_or(0), head.version.unwrap_or(0));
        at += n;
        if (100..200).contains(&status) && status != 101 {
            continue; // an interim answer
        }
        let fields = Fields::read(head.headers, version).map_err(|_| Bad(502))?;
        let framing = match (fields.chunked, fields.length) {
            _ if bare || matches!(status, 204 | 304) => Framing::Length(0),
            (true, _) => Framing::Chunked,
            (false, Some(n)) => Framing::Length(n),
            (false, None) => Framing::Close,
        };
        let whole = body(&buf[at..], framing, ended, limits.max_response_body_bytes, limits)
            .map_err(|Bad(s)| Bad(if s == 413 { 413 } else { 502 }))?;
        let Some((body, used)) = whole else {
            return if ended { Err(Bad(502)) } else { Ok(None) };
        };
        let value = |name: &str| head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        let held = value("Srv-Load").and_then(|h| std::str::from_utf8(h.value).ok()).and_then(held);
        // Bytes past the answer belong to nothing: such a connection is not used again.
        let clean = at + used == buf.len() && framing != Framing::Close;
        return Ok(Some(Answer {
            status,
            headers: pass_on(head.headers, &fields),
            body,
            keep_alive: fields.keep_alive && clean,
            bare_length: fields.length.filter(|_| bare),
            declined: value("Srv-Declined").is_some_and(|h| h.value.trim_ascii() == b"1"),
            held,
        }));
    }
}

/// The requests that a load report says to be held. It has the settings' name for them, or the other one in
/// use for the same figure. A report of which any part makes no sense is not believed.
fn held(report: &str) -> Option<f64> {
    let mut held = None;
    for pair in report.trim().strip_prefix("TEXT")?.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)?;
        if matches!(name.trim(), "rif" | "inflight") && held.replace(value).is_some() {
            return None;
        }
    }
    held
}

/// What the headers say of the message itself.
struct Fields {
    length: Option<usize>,
    lengths: usize,
    chunked: bool,
    keep_alive: bool,
    expects: bool,
    hosts: usize,
    named: Vec<String>,
}

impl Fields {
    fn read(headers: &[Header<'_>], version: u8) -> Result<Fields, Bad> {
        let (length, chunked, keep_alive) = (None, false, version == 1);
        let mut f =
            Fields { length, lengths: 0, chunked, keep_alive, expects: false, hosts: 0, named: Vec::new() };
        for h in headers {
            let is = |name: &str| h.name.eq_ignore_ascii_case(name);
            if is("Content-Length") {
                let text = std::str::from_utf8(h.value).map_err(|_| Bad(400))?.trim();
                let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
                if !digits {
                    return Err(Bad(400));
                }
                let n = text.parse().map_err(|_| Bad(413))?;
                if f.length.is_some_and(|old| old != n) {
                    return Err(Bad(400));
                }
                (f.length, f.lengths) = (Some(n), f.lengths + 1);
            } else if is("Transfer-Encoding") {
                if f.chunked || !h.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                    return Err(Bad(400));
                }
                f.chunked = true;
            } else if is("Connection") {
                for option in String::from_utf8_lossy(h.value).split(',') {
                    match option.trim().to_ascii_lowercase() {
                        o if o == "close" => f.keep_alive = false,
                        o if o == "keep-alive" => f.keep_alive |= !f.named.iter().any(|n| n == "close"),
                        o => f.named.push(o),
                    }
                }
            } else if is("Expect") {
                f.expects = h.value.trim_ascii().eq_ignore_ascii_case(b"100-continue");
            } else if is("Host") {
                f.hosts += 1;
            }
        }
        Ok(f)
    }
}

/// The header lines that are not of this connection alone.
fn pass_on(headers: &[Header<'_>], fields: &Fields) -> Vec<u8> {
    const OWN: [&str; 13] = [
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
    for h in headers {
        let own = OWN.iter().any(|o| h.name.eq_ignore_ascii_case(o));
        if !own && !fields.named.iter().any(|n| h.name.eq_ignore_ascii_case(n)) {
            out.extend_from_slice(h.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(h.value);
            out.extend_from_slice(b"\r\n");
        }
    }
    out
}

/// The body at the start of `buf` and the bytes that it took there, if it is whole.
fn body(
    buf: &[u8],
    framing: Framing,
    ended: bool,
    most: usize,
    limits: &Limits,
) -> Result<Option<(Vec<u8>, usize)>, Bad> {
    match framing {
        Framing::Length(n) if n > most => Err(Bad(413)),
        Framing::Length(n) => Ok(buf.get(..n).map(|b| (b.to_vec(), n))),
        Framing::Close if buf.len() > most => Err(Bad(413)),
        Framing::Close => Ok(ended.then(|| (buf.to_vec(), buf.len()))),
        Framing::Chunked => {
            let mut chunks = Chunks::default();
            let mut out = Vec::new();
            let used = chunks.read(buf, most, limits, &mut out)?;
            Ok(chunks.done.then_some((out, used)))
        }
    }
}

/// A chunked body, as its bytes come in.
#[derive(Default)]
pub struct Chunks {
    left: usize,
    /// The present chunk's own line end is still to come.
    tail: bool,
    trailers: bool,
    pub done: bool,
}

impl Chunks {
    /// Appends what is whole in `buf` to `out`, up to `most` in all, and says how much of `buf` it took.
    pub fn read(
        &mut self,
        buf: &[u8],
        most: usize,
        limits: &Limits,
        out: &mut Vec<u8>,
    ) -> Result<usize, Bad> {
        let mut at = 0;
        while !self.done {
            let rest = &buf[at..];
            if self.left > 0 {
                let n = self.left.min(rest.len());
                if n == 0 {
                    break;
                }
                out.extend_from_slice(&rest[..n]);
                (self.left, at) = (self.left - n, at + n);
                self.tail = self.left == 0;
                if out.len() > most {
                    return Err(Bad(413));
                }
            } else if self.tail {
                match rest {
                    [b'\r', b'\n', ..] => (self.tail, at) = (false, at + 2),
                    [] | [b'\r'] => break,
                    _ => return Err(Bad(400)),
                }
            } else if self.trailers {
                let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
                    if rest.len() > limits.max_chunk_line_bytes {
                        return Err(Bad(400));
                    }
                    break;
                };
                (self.done, at) = (end == 0, at + end + 2);
            } else {
                match httparse::parse_chunk_size(rest).map_err(|_| Bad(400))? {
                    Status::Partial if rest.len() > limits.max_chunk_line_bytes => return Err(Bad(400)),
                    Status::Partial => break,
                    Status::Complete((n, size)) => {
                        at += n;
                        self.left = usize::try_from(size).map_err(|_| Bad(413))?;
                        if self.left > most {
                            return Err(Bad(413));
                        }
                        self.trailers = size == 0;
                    }
                }
            }
        }
        Ok(at)
    }
}

/// The head of a chunked answer: whether it is a 200, and its length.
pub fn stream_head(buf: &[u8], limits: &Limits) -> Result<Option<usize>, Bad> {
    let mut space = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut head = httparse::Response::new(&mut space);
    match head.parse(buf) {
        Ok(Status::Partial) if buf.len() <= limits.max_head_bytes => Ok(None),
        Ok(Status::Complete(n)) => {
            let status = head.code.unwrap_or(0);
            let chunked = Fields::read(head.headers, 1)?.chunked;
            if status == 200 && chunked {
                Ok(Some(n))
            } else {
                Err(Bad(if status == 200 { 502 } else { status }))
            }
        }
        _ => Err(Bad(502)),
    }
}

/// Writes a request to an upstream.
pub fn write_request(out: &mut Vec<u8>, r: &Request, host: &str, wait: Duration) {
    let mut head = String::with_capacity(128);
    let _ = write!(head, "{} {} HTTP/1.1\r\nHost: {host}\r\n", r.method, r.target);
    let _ = write!(head, "Req-Deadline: {:.6}\r\n", wait.as_secs_f64());
    if !r.body.is_empty() || r.method != "GET" {
        let _ = write!(head, "Content-Length: {}\r\n", r.body.len());
    }
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(&r.headers);
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&r.body);
}

/// An answer to a caller.
#[derive(Clone, Copy, Default)]
pub struct Outgoing<'a> {
    pub status: u16,
    /// Header lines, each with its end.
    pub headers: &'a [u8],
    pub body: &'a [u8],
    /// The length that is told although there is no body.
    pub bare_length: Option<usize>,
}

/// Writes an answer to a caller.
pub fn write_answer(out: &mut Vec<u8>, answer: &Outgoing<'_>, close: bool) {
    let &Outgoing { status, headers, body, bare_length } = answer;
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
    // Where there can be no body, its length is that of another answer, or must not be told.
    let length = if matches!(status, 204 | 304) { None } else { Some(bare_length.unwrap_or(body.len())) };
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
