//! A request on its way to an upstream. A long body is not copied: all attempts write it from the one request.

use crate::http::{self, Request};
use crate::memory::{Buffer, Counted, MemoryMeter, MemoryUse};
use crate::Limits;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// The request that a connection writes, or has written last.
pub struct OutgoingRequest {
    /// The head, and a short body behind it.
    start: Buffer,
    /// The request whose body follows; `None` if `start` holds all of it, or all is written.
    long_body: Option<Rc<Counted<Request>>>,
    /// How many bytes there are, and how many of them are written.
    length: usize,
    written: usize,
}

impl OutgoingRequest {
    /// Nothing to write.
    pub fn new(memory: &MemoryMeter) -> OutgoingRequest {
        let start = memory.buffer(MemoryUse::UpstreamOutput);
        OutgoingRequest { start, long_body: None, length: 0, written: 0 }
    }

    /// Begins with a request; `timeout` is the time-out of the attempt.
    pub fn begin(&mut self, request: &Rc<Counted<Request>>, host: &str, timeout: Duration, limits: &Limits) {
        let is_long = request.body.len() > limits.max_copied_body_bytes;
        self.start.edit(|start| {
            start.clear();
            http::write_request_head(start, request, host, timeout);
            if !is_long {
                start.extend_from_slice(&request.body);
            }
        });
        self.long_body = is_long.then(|| request.clone());
        self.length = self.start.len() + if is_long { request.body.len() } else { 0 };
        self.written = 0;
    }

    /// Whether all bytes are written.
    pub fn is_written(&self) -> bool {
        self.written == self.length
    }

    /// Whether no byte is written.
    pub fn is_untouched(&self) -> bool {
        self.written == 0
    }

    /// Writes as far as the socket accepts. Once all is written, the memory is released.
    pub fn write(&mut self, stream: &TcpStream, limits: &Limits) -> io::Result<()> {
        if self.is_written() {
            return Ok(());
        }
        crate::write_pending(stream, &self.start, &mut self.written)?;
        let start_length = self.start.len();
        if let Some(request) = self.long_body.as_ref().filter(|_| self.written >= start_length) {
            let mut body_written = self.written - start_length;
            let result = crate::write_pending(stream, &request.body, &mut body_written);
            self.written = start_length + body_written;
            result?;
        }
        if self.is_written() {
            self.start.clear(limits.retained_buffer_bytes);
            self.long_body = None;
        }
        Ok(())
    }
}
