//! Messages that are longer than a datagram: cut into parts, and put together again from all of them. A part that is lost
//! costs the letter: who wrote it writes again.

use garnettally_model::Micros;
use rustc_hash::FxHashMap;

/// The longest letter, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// A letter's number, this part's, and how many there are.
const HEAD: usize = 12;
/// Letters that may be incomplete at a time, of one sender and of all.
const OPEN_OF_ONE: usize = 4;
const OPEN_MOST: usize = 64;
/// Bytes that incomplete letters may hold in all.
const BYTES_MOST: usize = 8 << 20;
/// A letter whose next part does not come is given up after this.
const PATIENCE: Micros = Micros(2_000_000);

struct Open {
    parts: Vec<Option<Vec<u8>>>,
    missing: usize,
    bytes: usize,
    at: Micros,
}

/// Letters on their way in, and the numbers of those out.
#[derive(Default)]
pub(crate) struct MessageFragments {
    written: u32,
    open: FxHashMap<(u64, u32), Open>,
    bytes: usize,
}

impl MessageFragments {
    /// The bodies of the datagrams that carry a letter, of so many bytes each. `None`: it is too long.
    pub fn cut(&mut self, letter: &[u8], room: usize) -> Option<Vec<Vec<u8>>> {
        let room = room.checked_sub(HEAD).filter(|r| *r > 0)?;
        if letter.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        self.written = self.written.wrapping_add(1);
        let all = letter.len().div_ceil(room).max(1) as u32;
        let part = |n: u32| {
            let from = n as usize * room;
            let mut body = self.written.to_be_bytes().to_vec();
            body.extend(n.to_be_bytes());
            body.extend(all.to_be_bytes());
            body.extend(&letter[from..letter.len().min(from + room)]);
            body
        };
        Some((0..all).map(part).collect())
    }

    /// Takes a part; the letter, once it is whole. `Err`: it makes no sense, or there is no room for it.
    pub fn take(&mut self, now: Micros, from: u64, body: &[u8]) -> Result<Option<Vec<u8>>, bool> {
        let word = |at: usize| body.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
        let (Some(letter), Some(n), Some(all)) = (word(0), word(4), word(8)) else { return Err(true) };
        let (part, n, all) = (&body[HEAD..], n as usize, all as usize);
        // A letter of more parts than bytes can't be.
        if n >= all || all > MAX_MESSAGE_BYTES / 256 {
            return Err(true);
        }
        if all == 1 {
            return Ok(Some(part.to_vec()));
        }
        let key = (from, letter);
        if !self.open.contains_key(&key) {
            self.expire(now);
            let of_one = self.open.keys().filter(|k| k.0 == from).count();
            if of_one >= OPEN_OF_ONE {
                // Its own oldest gives way.
                let oldest = self.open.iter().filter(|(k, _)| k.0 == from).min_by_key(|(_, o)| o.at);
                if let Some(oldest) = oldest.map(|(k, _)| *k) {
                    self.drop_one(oldest);
                }
            }
            if self.open.len() >= OPEN_MOST || self.bytes + part.len() > BYTES_MOST {
                return Err(false);
            }
            let open = Open { parts: vec![None; all], missing: all, bytes: 0, at: now };
            self.open.insert(key, open);
        }
        let held = self.bytes;
        let Some(open) = self.open.get_mut(&key) else { return Err(false) };
        if open.parts.len() != all {
            return Err(true);
        }
        if held + part.len() > BYTES_MOST {
            self.drop_one(key);
            return Err(false);
        }
        open.at = now;
        if open.parts[n].is_none() {
            open.parts[n] = Some(part.to_vec());
            open.missing -= 1;
            open.bytes += part.len();
            self.bytes += part.len();
        }
        if open.missing > 0 {
            return Ok(None);
        }
        let whole: Vec<u8> = open.parts.drain(..).flatten().flatten().collect();
        self.drop_one(key);
        if whole.len() > MAX_MESSAGE_BYTES {
            return Err(true);
        }
        Ok(Some(whole))
    }

    fn drop_one(&mut self, key: (u64, u32)) {
        if let Some(open) = self.open.remove(&key) {
            self.bytes -= open.bytes;
        }
    }

    /// Gives up what is not whole in time.
    pub fn expire(&mut self, now: Micros) {
        let late: Vec<(u64, u32)> =
            self.open.iter().filter(|(_, o)| now - o.at > PATIENCE).map(|(k, _)| *k).collect();
        late.into_iter().for_each(|key| self.drop_one(key));
    }
}

#[cfg(test)]
#[path = "messages_tests.rs"]
mod tests;
