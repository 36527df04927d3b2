//! The HTTP/1.1 codec: it parses requests and responses from bytes and serializes them. It owns no socket and
//! makes no decisions.

mod body;
mod headers;
mod response;

pub use body::{ChunkDecoder, Framing};
pub use response::{
    parse_stream_head, write_response, write_response_head, BodyFraming, OutgoingResponse, Response,
    ResponseHead, ResponseReader,
};

use crate::Limits;
use body::parse_body;
use garnettally_routing::pattern::Headers;
use headers::{forwarded_headers, MessageHeaders};
use httparse::Status;
use std::fmt::Write as _;
use std::time::Duration;

/// The message can't be processed; the field is the HTTP status code that describes the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError(pub u16);

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
    /// Whether the caller understands a chunked body: HTTP/1.0 has none.
    pub accepts_chunked: bool,
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
    let Some((body, used)) = parse_body(&buf[head_len..], framing, limits.max_request_body_bytes, limits)?
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
        accepts_chunked: version == 1,
        id: text("Req-Id")?,
        owner: text("Req-Owner")?,
        deadline: text("Req-Deadline")?,
        cost: text("Req-Cost")?,
        repeat: text("Req-Retry")?.as_deref() == Some("1"),
        keyed: text("Idempotency-Key")?.is_some_and(|k| !k.is_empty()),
    };
    Ok(Incoming::Complete(Box::new(request), head_len + used))
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
