//! Where an answer ends.

use httparse::Status;

/// The longest answer that is read.
pub const MOST_BYTES: usize = 16 << 20;
const MOST_HEAD: usize = 64 << 10;

/// A whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// The bytes that it took.
    pub used: usize,
    /// The connection may be used again.
    pub keep: bool,
    /// It told when to return.
    pub retry_after: bool,
}

/// Why an answer can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Spoilt {
    /// Its head makes no sense.
    #[error("the head of an answer makes no sense")]
    Head,
    /// Its body makes no sense, or is cut off.
    #[error("the body of an answer makes no sense, or is cut off")]
    Body,
    /// It is too long.
    #[error("an answer is longer than is read")]
    Long,
}

/// The answer at the start of `buf`, if it is whole; `ended`: no more will come; `bare`: it answers a HEAD.
pub fn read(buf: &[u8], ended: bool, bare: bool) -> Result<Option<Answer>, Spoilt> {
    if buf.len() > MOST_BYTES {
        return Err(Spoilt::Long);
    }
    let mut at = 0;
    loop {
        let mut space = [httparse::EMPTY_HEADER; 96];
        let mut head = httparse::Response::new(&mut space);
        let n = match head.parse(&buf[at..]) {
            Ok(Status::Complete(n)) => n,
            Ok(Status::Partial) if !ended && buf.len() - at <= MOST_HEAD => return Ok(None),
            _ => return Err(Spoilt::Head),
        };
        let status = head.code.unwrap_or(0);
        at += n;
        if (100..200).contains(&status) && status != 101 {
            continue;
        }
        let header = |name: &str| {
            let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
            found.map(|h| String::from_utf8_lossy(h.value).trim().to_ascii_lowercase())
        };
        let keep = match (header("connection").as_deref(), head.version) {
            (Some("close"), _) => false,
            (Some("keep-alive"), _) => true,
            (_, version) => version == Some(1),
        };
        let (retry_after, body) = (header("retry-after").is_some(), &buf[at..]);
        let answer = |used: usize, keep| Ok(Some(Answer { status, used: at + used, keep, retry_after }));
        if bare || matches!(status, 204 | 304) {
            return answer(0, keep);
        }
        if header("transfer-encoding").as_deref() == Some("chunked") {
            return match chunked(body)? {
                Some(used) => answer(used, keep),
                None if ended => Err(Spoilt::Body),
                None => Ok(None),
            };
        }
        return match header("content-length").map(|v| v.parse::<usize>()) {
            Some(Ok(n)) if n > MOST_BYTES => Err(Spoilt::Long),
            Some(Ok(n)) if body.len() >= n => answer(n, keep),
            Some(Ok(_)) if ended => Err(Spoilt::Body),
            Some(Ok(_)) => Ok(None),
            Some(Err(_)) => Err(Spoilt::Head),
            None if ended => answer(body.len(), false),
            None => Ok(None),
        };
    }
}

/// The bytes of a chunked body, if it is whole.
fn chunked(body: &[u8]) -> Result<Option<usize>, Spoilt> {
    let mut at = 0;
    loop {
        match httparse::parse_chunk_size(&body[at..]).map_err(|_| Spoilt::Body)? {
            Status::Partial => return Ok(None),
            Status::Complete((n, 0)) => {
                // Trailers, then an empty line.
                at += n;
                loop {
                    let Some(end) = body[at..].windows(2).position(|w| w == b"\r\n") else { return Ok(None) };
                    at += end + 2;
                    if end == 0 {
                        return Ok(Some(at));
                    }
                }
            }
            Status::Complete((n, size)) => {
                let size = usize::try_from(size).map_err(|_| Spoilt::Long)?;
                let end = at.checked_add(n).and_then(|e| e.checked_add(size)).ok_or(Spoilt::Long)?;
                match body.get(end..end.saturating_add(2)) {
                    Some(b"\r\n") => at = end + 2,
                    Some(_) => return Err(Spoilt::Body),
                    None => return Ok(None),
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "answer_tests.rs"]
mod tests;
