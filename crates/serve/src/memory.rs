//! Accounts for the memory that messages take: the buffers of connections and the requests that have been
//! read. What may be taken is decided by [`MessageMemory`](garnettally_decisions::facade::MessageMemory).

use garnettally_decisions::facade::MemoryHeld;
use std::cell::Cell;
use std::ops::Deref;
use std::rc::Rc;

/// What the memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// Bytes received from callers that are not processed yet.
    CallerInput,
    /// Bytes that callers have sent behind a request that awaits its response.
    ReadAhead,
    /// Whole requests that are not finished.
    Requests,
    /// Copies of requests, or of their heads, that are being written to upstreams.
    UpstreamOutput,
    /// Responses that are being received.
    UpstreamInput,
    /// Responses that are being written to callers.
    CallerOutput,
}

impl MemoryUse {
    /// All uses, in the order in which `/stats` lists them.
    pub const ALL: [MemoryUse; 6] = [
        MemoryUse::CallerInput,
        MemoryUse::ReadAhead,
        MemoryUse::Requests,
        MemoryUse::UpstreamOutput,
        MemoryUse::UpstreamInput,
        MemoryUse::CallerOutput,
    ];

    /// The last part of the use's metric name.
    pub fn name(self) -> &'static str {
        match self {
            MemoryUse::CallerInput => "caller_input",
            MemoryUse::ReadAhead => "read_ahead",
            MemoryUse::Requests => "requests",
            MemoryUse::UpstreamOutput => "upstream_output",
            MemoryUse::UpstreamInput => "upstream_input",
            MemoryUse::CallerOutput => "caller_output",
        }
    }
}

/// Counts the bytes in use, by their use. Clones count together.
#[derive(Clone, Default)]
pub struct MemoryMeter(Rc<[Cell<usize>; MemoryUse::ALL.len()]>);

impl MemoryMeter {
    /// The bytes in use for one purpose.
    pub fn bytes(&self, purpose: MemoryUse) -> usize {
        self.0[purpose as usize].get()
    }

    /// The bytes held for requests and for responses.
    pub fn held(&self) -> MemoryHeld {
        use MemoryUse::*;
        let sum = |uses: &[MemoryUse]| uses.iter().map(|&u| self.bytes(u)).sum();
        MemoryHeld {
            requests: sum(&[CallerInput, ReadAhead, Requests, UpstreamOutput]),
            responses: sum(&[UpstreamInput, CallerOutput]),
        }
    }

    /// A charge of no bytes yet.
    pub fn charge(&self, purpose: MemoryUse) -> Charge {
        Charge { meter: self.clone(), purpose, bytes: 0 }
    }

    /// An empty buffer whose capacity is counted.
    pub fn buffer(&self, purpose: MemoryUse) -> Buffer {
        Buffer { bytes: Vec::new(), charge: self.charge(purpose) }
    }
}

/// An amount of memory in use, which is subtracted from its meter when the charge is dropped.
pub struct Charge {
    meter: MemoryMeter,
    purpose: MemoryUse,
    bytes: usize,
}

impl Charge {
    /// Changes the amount.
    pub fn set(&mut self, bytes: usize) {
        let total = &self.meter.0[self.purpose as usize];
        total.set(total.get() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A byte buffer whose capacity is counted, whether or not it is filled.
pub struct Buffer {
    bytes: Vec<u8>,
    charge: Charge,
}

impl Buffer {
    /// Changes the bytes, and counts the capacity that they have afterwards.
    pub fn edit<R>(&mut self, change: impl FnOnce(&mut Vec<u8>) -> R) -> R {
        let result = change(&mut self.bytes);
        self.charge.set(self.bytes.capacity());
        result
    }

    /// The number of bytes that the buffer takes, which may be more than it holds.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Removes the first `count` bytes. A buffer of more than `retained_bytes` is released, and the rest moves
    /// to memory of its own: shrunk in place, it would keep the allocator from using what is around it.
    pub fn consume(&mut self, count: usize, retained_bytes: usize) {
        self.edit(|bytes| {
            if bytes.capacity() > retained_bytes {
                *bytes = bytes[count..].to_vec();
            } else {
                bytes.drain(..count);
            }
        });
    }

    /// Removes all bytes, and releases a buffer of more than `retained_bytes`.
    pub fn clear(&mut self, retained_bytes: usize) {
        self.consume(self.bytes.len(), retained_bytes);
    }
}

impl Deref for Buffer {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A value whose memory is counted until it is dropped.
pub struct Counted<T> {
    value: T,
    /// Held for its drop alone.
    _charge: Charge,
}

impl<T> Counted<T> {
    /// Counts a value of this many bytes.
    pub fn new(value: T, bytes: usize, mut charge: Charge) -> Counted<T> {
        charge.set(bytes);
        Counted { value, _charge: charge }
    }
}

impl<T> Deref for Counted<T> {
    type Target = T;
    fn deref(&self) -> &T {
        &self.value
    }
}

/// Appends bytes, and lets the capacity grow by no more than a quarter beyond what they need: a buffer that
/// doubles takes up to twice the memory of its message.
pub fn append(buffer: &mut Vec<u8>, bytes: &[u8]) {
    if buffer.capacity() - buffer.len() < bytes.len() {
        buffer.reserve_exact(bytes.len().max(buffer.capacity() / 4));
    }
    buffer.extend_from_slice(bytes);
}

#[cfg(test)]
#[path = "memory_tests.rs"]
mod tests;
