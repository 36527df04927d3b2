//! Message bodies: how their end is determined, and the decoding of chunked ones.

use super::HttpError;
use crate::Limits;
use httparse::Status;

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

/// Parses a request's body at the start of `buf`, of at most `max_bytes`: the body and the number of bytes
/// that it used in `buf`, or `None` while it is incomplete.
pub(super) fn parse_body(
    buf: &[u8],
    framing: Framing,
    max_bytes: usize,
    limits: &Limits,
) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    match framing {
        Framing::Length(n) if n > max_bytes => Err(HttpError(413)),
        Framing::Length(n) => Ok(buf.get(..n).map(|b| (b.to_vec(), n))),
        // A request whose end is a close could not be answered.
        Framing::Close => Err(HttpError(400)),
        Framing::Chunked => {
            let mut decoder = ChunkDecoder::default();
            let mut out = Vec::new();
            let used = decoder.decode(buf, max_bytes, limits, &mut out)?;
            Ok(decoder.done.then_some((out, used)))
        }
    }
}

/// An incremental decoder of a chunked body.
#[derive(Debug, Default)]
pub struct ChunkDecoder {
    /// The bytes of the current chunk that have not been received.
    remaining: usize,
    /// Whether the CRLF that terminates the current chunk has not been received.
    chunk_end_pending: bool,
    /// Whether the last chunk has been received; trailers follow.
    in_trailers: bool,
    /// The bytes of trailers received.
    trailer_bytes: usize,
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
                self.trailer_bytes += end + 2;
                if self.trailer_bytes > limits.max_head_bytes {
                    return Err(HttpError(400));
                }
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
