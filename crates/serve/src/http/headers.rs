//! The headers that concern this codec: those of framing, of the connection, and those that are forwarded.

use super::HttpError;
use httparse::Header;

/// The headers that determine a message's framing and the further use of its connection.
pub(super) struct MessageHeaders {
    /// The value of `Content-Length`.
    pub(super) length: Option<usize>,
    /// The number of `Content-Length` lines, all of the same value.
    pub(super) length_count: usize,
    pub(super) chunked: bool,
    pub(super) keep_alive: bool,
    /// Whether the message has `Expect: 100-continue`.
    pub(super) expects_continue: bool,
    /// The number of `Host` lines.
    pub(super) host_count: usize,
    /// The other options of `Connection`, in lower case: names of headers that must not be forwarded.
    pub(super) connection_options: Vec<String>,
}

impl MessageHeaders {
    /// Parses the headers of a message of this HTTP minor version (0 or 1).
    pub(super) fn parse(lines: &[Header<'_>], version: u8) -> Result<MessageHeaders, HttpError> {
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
pub(super) fn forwarded_headers(lines: &[Header<'_>], headers: &MessageHeaders) -> Vec<u8> {
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
