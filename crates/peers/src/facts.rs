//! What members tell each other: small values with an age, that end by themselves.
//!
//! A fact belongs to the life of the member that made it. It is passed on with the age that it has by then, and whoever
//! takes it adds the whole time between its asking and the answer, by its own clock: the fact can't have been read
//! before it was asked for. So an age is never too small, whatever links do, but for the rates of clocks; and no two
//! clocks are ever compared.

use crate::seal::number;
use garnettally_model::Micros;
use std::collections::BTreeMap;

/// The longest key of a fact, in bytes.
pub const MAX_FACT_KEY_BYTES: usize = 96;
/// The longest value, in bytes.
pub const MAX_FACT_VALUE_BYTES: usize = 64;

/// A fact, as it is known here and now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact<'a> {
    /// The life of the member that made it.
    pub origin: u64,
    /// What it is about.
    pub key: &'a [u8],
    /// What is said; an empty value takes back what was said before.
    pub value: &'a [u8],
    /// How old it is at the most.
    pub age: Micros,
}

struct Stored {
    version: u32,
    value: Vec<u8>,
    /// When it would have been 0 old, by the clock here.
    born: Micros,
    seq: u64,
}

/// The facts that a member holds.
pub(crate) struct Facts {
    own: u64,
    /// Of what was said last.
    version: u32,
    max_age: Micros,
    most: usize,
    most_of_one: usize,
    next: u64,
    all: BTreeMap<(u64, Vec<u8>), Stored>,
    by_seq: BTreeMap<u64, (u64, Vec<u8>)>,
    count: BTreeMap<u64, usize>,
}

/// A part of what is new, as it is sent.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Page {
    pub bytes: Vec<u8>,
    /// Where the next one starts.
    pub cursor: u64,
    pub more: bool,
}

impl Facts {
    pub fn new(own: u64, max_age: Micros, most: usize) -> Facts {
        Facts {
            own,
            version: 0,
            max_age,
            most,
            // A member that floods its peers must leave room for the others.
            most_of_one: (most / 4).max(1),
            next: 1,
            all: BTreeMap::new(),
            by_seq: BTreeMap::new(),
            count: BTreeMap::new(),
        }
    }

    /// Says something anew, under the next version. `false`: there is no room for it.
    pub fn publish(&mut self, now: Micros, key: &[u8], value: &[u8], age: Micros) -> bool {
        // One count for all keys: a key that has ended here may live on elsewhere, and saying it anew under a version
        // that was used before would make the old value look young.
        self.version = self.version.saturating_add(1);
        key.len() <= MAX_FACT_KEY_BYTES
            && value.len() <= MAX_FACT_VALUE_BYTES
            && self.take(now, self.own, key, self.version, value, age)
    }

    /// Takes what is newer than what is held. `false`: it is over a bound.
    fn take(
        &mut self,
        now: Micros,
        origin: u64,
        key: &[u8],
        version: u32,
        value: &[u8],
        age: Micros,
    ) -> bool {
        if age >= self.max_age {
            return true;
        }
        let id = (origin, key.to_vec());
        let born = now - age;
        match self.all.get_mut(&id) {
            Some(held) if held.version > version => return true,
            Some(held) if held.version == version => {
                // The same from elsewhere, over a quicker way: it is younger than it seemed.
                held.born = held.born.max(born);
                return true;
            }
            Some(held) => {
                self.by_seq.remove(&held.seq);
            }
            None => {
                let count = self.count.entry(origin).or_default();
                if self.all.len() >= self.most || *count >= self.most_of_one {
                    return false;
                }
                *count += 1;
            }
        }
        let seq = self.next;
        self.next += 1;
        self.by_seq.insert(seq, id.clone());
        self.all.insert(id, Stored { version, value: value.to_vec(), born, seq });
        true
    }

    /// Gives up what is too old.
    pub fn expire(&mut self, now: Micros) {
        let void = now - self.max_age;
        let (by_seq, count) = (&mut self.by_seq, &mut self.count);
        self.all.retain(|(origin, _), s| {
            let keep = s.born > void;
            if !keep {
                by_seq.remove(&s.seq);
                if let Some(n) = count.get_mut(origin) {
                    *n -= 1;
                }
            }
            keep
        });
        count.retain(|_, n| *n > 0);
    }

    /// What holds now, taken back or not.
    pub fn iter(&self, now: Micros) -> impl Iterator<Item = Fact<'_>> {
        let void = now - self.max_age;
        self.all.iter().filter(move |(_, s)| s.born > void).map(move |((origin, key), s)| Fact {
            origin: *origin,
            key,
            value: &s.value,
            age: now - s.born,
        })
    }

    /// Grows with each that is new here.
    pub fn version(&self) -> u64 {
        self.next
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// What is new since this cursor, as far as it fits.
    pub fn page(&self, now: Micros, since: u64, room: usize) -> Page {
        let void = now - self.max_age;
        let mut page = Page { bytes: Vec::new(), cursor: since, more: false };
        for (&seq, id) in self.by_seq.range(since + 1..) {
            let Some(s) = self.all.get(id).filter(|s| s.born > void) else { continue };
            if page.bytes.len() + 18 + id.1.len() + s.value.len() > room {
                page.more = true;
                return page;
            }
            // Rounded up: an age must never come out too small.
            let age = ((now - s.born).0 + 999) / 1000;
            page.bytes.extend(id.0.to_be_bytes());
            page.bytes.extend(s.version.to_be_bytes());
            page.bytes.extend((age.clamp(0, i64::from(u32::MAX)) as u32).to_be_bytes());
            for text in [&id.1, &s.value] {
                page.bytes.push(text.len() as u8);
                page.bytes.extend(text);
            }
            page.cursor = seq;
        }
        page.cursor = page.cursor.max(self.next - 1);
        page
    }

    /// Takes a page that was asked for at this time. `None`: it is malformed, and nothing after the bad place was
    /// taken; else the number of facts over a bound.
    pub fn take_page(&mut self, now: Micros, asked: Micros, mut bytes: &[u8]) -> Option<usize> {
        let transit = Micros((now - asked).0.max(0));
        let mut over = 0;
        while !bytes.is_empty() {
            let head = bytes.get(..16)?;
            let origin = number(head, 0);
            let version = u32::from_be_bytes(head[8..12].try_into().ok()?);
            let age = u32::from_be_bytes(head[12..16].try_into().ok()?);
            bytes = &bytes[16..];
            let mut text = |most: usize| -> Option<&[u8]> {
                let n = usize::from(*bytes.first()?);
                let text = bytes.get(1..1 + n).filter(|_| n <= most)?;
                bytes = &bytes[1 + n..];
                Some(text)
            };
            let (key, value) = (text(MAX_FACT_KEY_BYTES)?, text(MAX_FACT_VALUE_BYTES)?);
            // What we said ourselves is known best here.
            if origin != self.own {
                let age = Micros(i64::from(age) * 1000) + transit;
                over += usize::from(!self.take(now, origin, key, version, value, age));
            }
        }
        Some(over)
    }
}

#[cfg(test)]
#[path = "facts_tests.rs"]
mod tests;
