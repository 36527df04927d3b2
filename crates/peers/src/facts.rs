//! Facts that members exchange: small values with an age, which expire by themselves.
//!
//! A fact belongs to the life of the member that published it. A member passes it on together with its
//! current age, and the receiver adds the whole time between its own request and the answer, by its own
//! clock: the sender can't have read the fact before it was requested. An age is therefore never too small,
//! whatever the links do, except for differences in the rates of the clocks, and no two clocks are ever
//! compared.

use crate::seal::read_u64;
use garnettally_model::Micros;
use std::collections::BTreeMap;

/// The maximum length of a fact's key, in bytes.
pub const MAX_FACT_KEY_BYTES: usize = 96;
/// The maximum length of a fact's value, in bytes.
pub const MAX_FACT_VALUE_BYTES: usize = 64;

/// A fact as this member knows it at the time of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact<'a> {
    /// The life of the member that published the fact.
    pub origin: u64,
    /// The key, which names the subject of the fact; at most [`MAX_FACT_KEY_BYTES`] long.
    pub key: &'a [u8],
    /// The published value; an empty value withdraws the previous one.
    pub value: &'a [u8],
    /// An upper bound on the age of the fact.
    pub age: Micros,
}

struct Stored {
    version: u32,
    value: Vec<u8>,
    /// The time on this member's clock at which the fact's age would have been 0.
    established_at: Micros,
    seq: u64,
}

/// The facts stored by a member, its own and those of others.
pub(crate) struct Facts {
    own_life: u64,
    /// The version of the fact that this member published last.
    version: u32,
    max_age: Micros,
    max_facts: usize,
    max_per_origin: usize,
    next_seq: u64,
    entries: BTreeMap<(u64, Vec<u8>), Stored>,
    /// The origin and key of each fact by the sequence number of its latest change, from which pages are
    /// built.
    by_seq: BTreeMap<u64, (u64, Vec<u8>)>,
    count_by_origin: BTreeMap<u64, usize>,
}

/// An encoded part of the facts that changed since a cursor.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Page {
    pub bytes: Vec<u8>,
    /// The cursor from which the next page starts.
    pub cursor: u64,
    /// Whether facts after this page are left to be sent.
    pub more: bool,
}

impl Facts {
    pub fn new(own_life: u64, max_age: Micros, max_facts: usize) -> Facts {
        Facts {
            own_life,
            version: 0,
            max_age,
            max_facts,
            // A member that floods its peers with facts must leave room for those of the others.
            max_per_origin: (max_facts / 4).max(1),
            next_seq: 1,
            entries: BTreeMap::new(),
            by_seq: BTreeMap::new(),
            count_by_origin: BTreeMap::new(),
        }
    }

    /// Publishes a fact of this member under its next version. Returns `false` if the key or value is too
    /// long or there is no room for the fact.
    pub fn publish(&mut self, now: Micros, key: &[u8], value: &[u8], age: Micros) -> bool {
        // All keys share one version counter: a fact that has expired here may still be stored elsewhere, and
        // publishing its key again under a version that was used before would make the old value look recent.
        self.version = self.version.saturating_add(1);
        key.len() <= MAX_FACT_KEY_BYTES
            && value.len() <= MAX_FACT_VALUE_BYTES
            && self.store(now, self.own_life, key, self.version, value, age)
    }

    /// Stores a fact if it is newer than the stored one. Returns `false` if a bound leaves no room for it.
    fn store(
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
        let established_at = now - age;
        match self.entries.get_mut(&id) {
            Some(stored) if stored.version > version => return true,
            Some(stored) if stored.version == version => {
                // The same fact arrived over a faster path, so the bound on its age becomes smaller.
                stored.established_at = stored.established_at.max(established_at);
                return true;
            }
            Some(stored) => {
                self.by_seq.remove(&stored.seq);
            }
            None => {
                let count = self.count_by_origin.entry(origin).or_default();
                if self.entries.len() >= self.max_facts || *count >= self.max_per_origin {
                    return false;
                }
                *count += 1;
            }
        }
        let seq = self.next_seq;
        self.next_seq += 1;
        self.by_seq.insert(seq, id.clone());
        self.entries.insert(id, Stored { version, value: value.to_vec(), established_at, seq });
        true
    }

    /// Removes the facts whose age has reached the bound.
    pub fn expire(&mut self, now: Micros) {
        let expiry_limit = now - self.max_age;
        let (by_seq, count_by_origin) = (&mut self.by_seq, &mut self.count_by_origin);
        self.entries.retain(|(origin, _), stored| {
            let is_current = stored.established_at > expiry_limit;
            if !is_current {
                by_seq.remove(&stored.seq);
                if let Some(n) = count_by_origin.get_mut(origin) {
                    *n -= 1;
                }
            }
            is_current
        });
        count_by_origin.retain(|_, n| *n > 0);
    }

    /// The facts that have not expired, including withdrawn ones, whose value is empty.
    pub fn iter(&self, now: Micros) -> impl Iterator<Item = Fact<'_>> {
        let expiry_limit = now - self.max_age;
        self.entries.iter().filter(move |(_, stored)| stored.established_at > expiry_limit).map(
            move |((origin, key), stored)| Fact {
                origin: *origin,
                key,
                value: &stored.value,
                age: now - stored.established_at,
            },
        )
    }

    /// A counter that increases with each fact that is stored or updated here.
    pub fn change_count(&self) -> u64 {
        self.next_seq
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Encodes the facts stored since the cursor `since`, as many as fit into `room` bytes.
    pub fn page(&self, now: Micros, since: u64, room: usize) -> Page {
        let expiry_limit = now - self.max_age;
        let mut page = Page { bytes: Vec::new(), cursor: since, more: false };
        for (&seq, id) in self.by_seq.range(since + 1..) {
            let Some(stored) = self.entries.get(id).filter(|stored| stored.established_at > expiry_limit)
            else {
                continue;
            };
            if page.bytes.len() + 18 + id.1.len() + stored.value.len() > room {
                page.more = true;
                return page;
            }
            // The age is rounded up, because an age must never be too small.
            let age = ((now - stored.established_at).0 + 999) / 1000;
            page.bytes.extend(id.0.to_be_bytes());
            page.bytes.extend(stored.version.to_be_bytes());
            page.bytes.extend((age.clamp(0, i64::from(u32::MAX)) as u32).to_be_bytes());
            for field in [&id.1, &stored.value] {
                page.bytes.push(field.len() as u8);
                page.bytes.extend(field);
            }
            page.cursor = seq;
        }
        page.cursor = page.cursor.max(self.next_seq - 1);
        page
    }

    /// Stores the facts of a page that was requested at the time `requested_at`. Returns the number of facts
    /// for which a bound left no room, or `None` if the page is malformed; the facts before the malformed one
    /// are stored then.
    pub fn apply_page(&mut self, now: Micros, requested_at: Micros, mut bytes: &[u8]) -> Option<usize> {
        let transit = Micros((now - requested_at).0.max(0));
        let mut rejected = 0;
        while !bytes.is_empty() {
            let head = bytes.get(..16)?;
            let origin = read_u64(head, 0);
            let version = u32::from_be_bytes(head[8..12].try_into().ok()?);
            let age = u32::from_be_bytes(head[12..16].try_into().ok()?);
            bytes = &bytes[16..];
            let mut field = |max_length: usize| -> Option<&[u8]> {
                let length = usize::from(*bytes.first()?);
                let field = bytes.get(1..1 + length).filter(|_| length <= max_length)?;
                bytes = &bytes[1 + length..];
                Some(field)
            };
            let (key, value) = (field(MAX_FACT_KEY_BYTES)?, field(MAX_FACT_VALUE_BYTES)?);
            // No peer has a more recent version of this member's own facts.
            if origin != self.own_life {
                let age = Micros(i64::from(age) * 1000) + transit;
                rejected += usize::from(!self.store(now, origin, key, version, value, age));
            }
        }
        Some(rejected)
    }
}

#[cfg(test)]
#[path = "facts_tests.rs"]
mod tests;
