//! Messages that may be longer than a datagram: they are split into parts and reassembled from all of them.
//! If a part is lost, the whole message is lost, and its sender has to send it again.

use garnettally_model::Micros;
use rustc_hash::FxHashMap;

/// The maximum length of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The length of a part's header: the number of the message, the index of the part and the number of parts, 4
/// bytes each.
const HEADER_BYTES: usize = 12;
/// The number of incomplete messages stored per sender; a further one replaces the sender's oldest.
const MAX_INCOMPLETE_PER_SENDER: usize = 4;
/// The number of incomplete messages stored for all senders together.
const MAX_INCOMPLETE: usize = 64;
/// The number of bytes stored for all incomplete messages together.
const MAX_INCOMPLETE_BYTES: usize = 8 << 20;
/// An incomplete message is discarded if none of its parts arrives for longer than this.
const PART_TIMEOUT: Micros = Micros(2_000_000);

struct IncompleteMessage {
    parts: Vec<Option<Vec<u8>>>,
    missing: usize,
    bytes: usize,
    /// The time at which its latest part arrived.
    updated_at: Micros,
}

/// Splits outgoing messages into numbered parts and reassembles incoming ones.
#[derive(Default)]
pub(crate) struct MessageFragments {
    last_number: u32,
    incomplete: FxHashMap<(u64, u32), IncompleteMessage>,
    bytes: usize,
}

impl MessageFragments {
    /// Returns the bodies of the datagrams that carry a message, each at most `room` bytes long, or `None` if
    /// the message is too long.
    pub fn split(&mut self, message: &[u8], room: usize) -> Option<Vec<Vec<u8>>> {
        let room = room.checked_sub(HEADER_BYTES).filter(|r| *r > 0)?;
        if message.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        self.last_number = self.last_number.wrapping_add(1);
        let part_count = message.len().div_ceil(room).max(1) as u32;
        let part = |index: u32| {
            let from = index as usize * room;
            let mut body = self.last_number.to_be_bytes().to_vec();
            body.extend(index.to_be_bytes());
            body.extend(part_count.to_be_bytes());
            body.extend(&message[from..message.len().min(from + room)]);
            body
        };
        Some((0..part_count).map(part).collect())
    }

    /// Stores a received part and returns the message once all of its parts have arrived. Fails with
    /// `Err(true)` if the part is malformed, and with `Err(false)` if a bound leaves no room for it.
    pub fn accept_part(&mut self, now: Micros, from: u64, body: &[u8]) -> Result<Option<Vec<u8>>, bool> {
        let read_u32 =
            |at: usize| body.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
        let (Some(number), Some(index), Some(part_count)) = (read_u32(0), read_u32(4), read_u32(8)) else {
            return Err(true);
        };
        let (part, index, part_count) = (&body[HEADER_BYTES..], index as usize, part_count as usize);
        // Senders split messages into parts of at least 256 bytes, so a larger number of parts is malformed.
        if index >= part_count || part_count > MAX_MESSAGE_BYTES / 256 {
            return Err(true);
        }
        if part_count == 1 {
            return Ok(Some(part.to_vec()));
        }
        let key = (from, number);
        if !self.incomplete.contains_key(&key) {
            self.expire(now);
            let sender_count = self.incomplete.keys().filter(|k| k.0 == from).count();
            if sender_count >= MAX_INCOMPLETE_PER_SENDER {
                // Discards the sender's own oldest incomplete message.
                let oldest = self
                    .incomplete
                    .iter()
                    .filter(|(k, _)| k.0 == from)
                    .min_by_key(|(_, message)| message.updated_at);
                if let Some(oldest) = oldest.map(|(k, _)| *k) {
                    self.discard(oldest);
                }
            }
            if self.incomplete.len() >= MAX_INCOMPLETE || self.bytes + part.len() > MAX_INCOMPLETE_BYTES {
                return Err(false);
            }
            let message = IncompleteMessage {
                parts: vec![None; part_count],
                missing: part_count,
                bytes: 0,
                updated_at: now,
            };
            self.incomplete.insert(key, message);
        }
        let stored_bytes = self.bytes;
        let Some(message) = self.incomplete.get_mut(&key) else { return Err(false) };
        if message.parts.len() != part_count {
            return Err(true);
        }
        if stored_bytes + part.len() > MAX_INCOMPLETE_BYTES {
            self.discard(key);
            return Err(false);
        }
        message.updated_at = now;
        if message.parts[index].is_none() {
            message.parts[index] = Some(part.to_vec());
            message.missing -= 1;
            message.bytes += part.len();
            self.bytes += part.len();
        }
        if message.missing > 0 {
            return Ok(None);
        }
        let complete: Vec<u8> = message.parts.drain(..).flatten().flatten().collect();
        self.discard(key);
        if complete.len() > MAX_MESSAGE_BYTES {
            return Err(true);
        }
        Ok(Some(complete))
    }

    fn discard(&mut self, key: (u64, u32)) {
        if let Some(message) = self.incomplete.remove(&key) {
            self.bytes -= message.bytes;
        }
    }

    /// Discards incomplete messages whose latest part is older than [`PART_TIMEOUT`].
    pub fn expire(&mut self, now: Micros) {
        let expired: Vec<(u64, u32)> = self
            .incomplete
            .iter()
            .filter(|(_, message)| now - message.updated_at > PART_TIMEOUT)
            .map(|(k, _)| *k)
            .collect();
        expired.into_iter().for_each(|key| self.discard(key));
    }
}

#[cfg(test)]
#[path = "messages_tests.rs"]
mod tests;
