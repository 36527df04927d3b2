//! The parser of responses: finds the end of the response at the start of a buffer.

use httparse::Status;

/// The longest response that is read, in bytes, with its interim responses.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The longest head that is waited for, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The length of the response in bytes, with the interim responses before it.
    pub length: usize,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
    /// Whether the response has a `Retry-After` header.
    pub retry_after: bool,
}

/// Why a response can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The head is malformed, too long or cut off.
    #[error("the head of a response is malformed, too long or cut off")]
    Head,
    /// The body's framing is malformed, or the body is cut off.
    #[error("the body of a response is malformed or cut off")]
    Body,
    /// The response is longer than [`MAX_RESPONSE_BYTES`].
    #[error("a response is longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
}

/// Returns the response at the start of `buf`, or `None` while it is incomplete. `ended`: the connection has
/// ended, and no more bytes follow; `to_head`: it responds to a HEAD request, and has no body.
pub fn parse_response(buf: &[u8], ended: bool, to_head: bool) -> Result<Option<Response>, ResponseError> {
    if buf.len() > MAX_RESPONSE_BYTES {
        return Err(ResponseError::TooLong);
    }
    let mut offset = 0;
    loop {
        let mut space = [httparse::EMPTY_HEADER; 96];
        let mut head = httparse::Response::new(&mut space);
        let n = match head.parse(&buf[offset..]) {
            Ok(Status::Complete(n)) => n,
            Ok(Status::Partial) if !ended && buf.len() - offset <= MAX_HEAD_BYTES => return Ok(None),
            _ => return Err(ResponseError::Head),
        };
        let status = head.code.unwrap_or(0);
        offset += n;
        if (100..200).contains(&status) && status != 101 {
            continue;
        }
        let header = |name: &str| {
            let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
            found.map(|h| String::from_utf8_lossy(h.value).trim().to_ascii_lowercase())
        };
        let keep_alive = match (header("connection").as_deref(), head.version) {
            (Some("close"), _) => false,
            (Some("keep-alive"), _) => true,
            (_, version) => version == Some(1),
        };
        let (retry_after, body) = (header("retry-after").is_some(), &buf[offset..]);
        let response = |body_length: usize, keep_alive| {
            Ok(Some(Response { status, length: offset + body_length, keep_alive, retry_after }))
        };
        if to_head || matches!(status, 204 | 304) {
            return response(0, keep_alive);
        }
        if header("transfer-encoding").as_deref() == Some("chunked") {
            return match chunked_length(body)? {
                Some(length) => response(length, keep_alive),
                None if ended => Err(ResponseError::Body),
                None => Ok(None),
            };
        }
        return match header("content-length").map(|v| v.parse::<usize>()) {
            Some(Ok(n)) if n > MAX_RESPONSE_BYTES => Err(ResponseError::TooLong),
            Some(Ok(n)) if body.len() >= n => response(n, keep_alive),
            Some(Ok(_)) if ended => Err(ResponseError::Body),
            Some(Ok(_)) => Ok(None),
            Some(Err(_)) => Err(ResponseError::Head),
            None if ended => response(body.len(), false),
            None => Ok(None),
        };
    }
}

/// Returns the length of a chunked body with its trailers, or `None` while it is incomplete.
fn chunked_length(body: &[u8]) -> Result<Option<usize>, ResponseError> {
    let mut offset = 0;
    loop {
        match httparse::parse_chunk_size(&body[offset..]).map_err(|_| ResponseError::Body)? {
            Status::Partial => return Ok(None),
            Status::Complete((n, 0)) => {
                // Trailer lines follow, up to an empty line.
                offset += n;
                loop {
                    let Some(end) = body[offset..].windows(2).position(|w| w == b"\r\n") else {
                        return Ok(None);
                    };
                    offset += end + 2;
                    if end == 0 {
                        return Ok(Some(offset));
                    }
                }
            }
            Status::Complete((n, size)) => {
                let size = usize::try_from(size).map_err(|_| ResponseError::TooLong)?;
                let end =
                    offset.checked_add(n).and_then(|e| e.checked_add(size)).ok_or(ResponseError::TooLong)?;
                match body.get(end..end.saturating_add(2)) {
                    Some(b"\r\n") => offset = end + 2,
                    Some(_) => return Err(ResponseError::Body),
                    None => return Ok(None),
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "answer_tests.rs"]
mod tests;
