//! The envelope of every datagram: version, sender, replay protection and a keyed MAC.
//!
//! A sender proves with each datagram that it talks to this very process now: it repeats a token that the receiver
//! gave it. The token is a keyed hash under a secret of the receiver's life, so that nothing has to be kept to check
//! it, and nothing that was recorded before the receiver started can be played to it again. Within one life of both, a
//! window over the sender's counter drops what comes twice.

use rustc_hash::FxHashMap;
use std::net::{IpAddr, Ipv6Addr, SocketAddr, SocketAddrV6};
use thiserror::Error;

/// The largest datagram, in bytes: fits into one packet on any path in use.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The version of this format.
pub const FORMAT_VERSION: u8 = 1;
const MAGIC: u8 = 0x67;
const HEAD: usize = 4 + 8 + 8 + 8 + 18;
const MAC: usize = 16;
/// What a body may hold at most, in bytes.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - HEAD - MAC;
/// A challenge's size: nothing shorter is answered by one, so no answer is larger than what came.
const CHALLENGE: usize = HEAD + 16 + MAC;
/// Datagrams of one sender that may overtake each other.
const WINDOW: u64 = 64;

/// What a datagram carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// "Say this token from now on": the answer to a datagram without a good one.
    Challenge,
    /// Membership.
    Swim,
    /// "Tell me what is new."
    Pull,
    /// What is new.
    Facts,
    /// "I have news": whoever hears it asks.
    News,
    /// A part of a letter.
    MessagePart,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum RejectReason {
    /// It is cut off, too long, or not one of ours.
    #[error("malformed")]
    Malformed,
    /// Its version is not known here.
    #[error("of an unknown version")]
    Version,
    /// It names a key that is not held here.
    #[error("under an unknown key")]
    Key,
    /// Its MAC is wrong.
    #[error("forged")]
    Forged,
    /// It came before, or long after later ones.
    #[error("replayed")]
    Replayed,
    /// It has no good token; its sender was given one.
    #[error("without a token")]
    Token,
    /// It comes from this process, or from an address that is not allowed.
    #[error("from a place that is not allowed")]
    Origin,
    /// It is sound, but nothing asked for it, or it came too late.
    #[error("not asked for")]
    Unasked,
    /// It would go over a bound.
    #[error("over a bound")]
    Bound,
}

impl RejectReason {
    /// All kinds, in the order of [`RejectReason::index`].
    pub const ALL: [RejectReason; 9] = [
        RejectReason::Malformed,
        RejectReason::Version,
        RejectReason::Key,
        RejectReason::Forged,
        RejectReason::Replayed,
        RejectReason::Token,
        RejectReason::Origin,
        RejectReason::Unasked,
        RejectReason::Bound,
    ];

    /// Its place among all kinds.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// The keys of a fleet: the first seals, each of them opens.
#[derive(Clone)]
pub struct Keys(Vec<(u8, [u8; 32])>);

/// What is wrong with a key file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyFileError {
    /// This line.
    #[error("line {0} is not a number from 0 to 255 and 64 hex digits")]
    InvalidLine(usize),
    /// This number stands for two keys.
    #[error("two keys have the number {0}")]
    DuplicateNumber(u8),
    /// There is none.
    #[error("holds no key")]
    NoKeys,
    /// There are too many.
    #[error("holds more than 8 keys")]
    TooManyKeys,
}

impl Keys {
    /// Reads lines of a number and 64 hex digits; `#` starts a comment. The first seals.
    pub fn parse(text: &str) -> Result<Keys, KeyFileError> {
        let mut keys: Vec<(u8, [u8; 32])> = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("").trim();
            if line.is_empty() {
                continue;
            }
            let wrong = KeyFileError::InvalidLine(at + 1);
            let (id, hex) = line.split_once(char::is_whitespace).ok_or(wrong.clone())?;
            let id: u8 = id.parse().map_err(|_| wrong.clone())?;
            let key = blake3::Hash::from_hex(hex.trim()).map_err(|_| wrong.clone())?;
            if keys.iter().any(|k| k.0 == id) {
                return Err(KeyFileError::DuplicateNumber(id));
            }
            keys.push((id, *key.as_bytes()));
        }
        match keys.len() {
            0 => Err(KeyFileError::NoKeys),
            1..=8 => Ok(Keys(keys)),
            _ => Err(KeyFileError::TooManyKeys),
        }
    }

    /// A key that everybody knows: it finds damage, and proves nothing. For loopback alone.
    pub fn well_known() -> Keys {
        Keys(vec![(0, blake3::derive_key("garnettally fleet link, loopback without a key", b""))])
    }

    fn find(&self, id: u8) -> Option<&[u8; 32]> {
        self.0.iter().find(|k| k.0 == id).map(|k| &k.1)
    }
}

/// What an opened datagram says of itself.
#[derive(Debug)]
pub struct Opened<'a> {
    pub kind: Kind,
    pub boot: u64,
    /// Where its sender is reached.
    pub address: SocketAddr,
    pub body: &'a [u8],
    /// It repeats the token that it was given; a challenge needs none.
    pub fresh: bool,
}

#[derive(Default)]
struct Seen {
    highest: u64,
    bits: u64,
    /// Which of all datagrams was its last: the one that has been silent for longest gives way.
    at: u64,
}

/// Seals and opens the datagrams of one process.
pub struct Sealer {
    keys: Keys,
    boot: u64,
    address: SocketAddr,
    secret: [u8; 32],
    counter: u64,
    opened: u64,
    /// The tokens that peers gave, by their address.
    tokens: FxHashMap<SocketAddr, u64>,
    seen: FxHashMap<u64, Seen>,
    most: usize,
}

impl Sealer {
    /// For the process of this life at this address, with at most so many peers.
    pub fn new(keys: Keys, boot: u64, address: SocketAddr, secret: [u8; 32], most: usize) -> Sealer {
        let (tokens, seen) = (FxHashMap::default(), FxHashMap::default());
        Sealer { keys, boot, address, secret, counter: 0, opened: 0, tokens, seen, most }
    }

    /// Other keys from now on; counters and tokens go on.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// The token that this sender has to repeat.
    pub fn token_for(&self, boot: u64, address: SocketAddr) -> u64 {
        let mut h = blake3::Hasher::new_keyed(&self.secret);
        h.update(&boot.to_be_bytes());
        h.update(&address_bytes(address));
        u64::from_be_bytes(h.finalize().as_bytes()[..8].try_into().unwrap_or_default())
    }

    /// Takes the token that the peer at this address wants to hear.
    pub fn learn_token(&mut self, address: SocketAddr, token: u64) {
        if self.tokens.len() >= self.most && !self.tokens.contains_key(&address) {
            // Which one goes does not matter: a peer that is still there gives its token again.
            if let Some(&any) = self.tokens.keys().next() {
                self.tokens.remove(&any);
            }
        }
        self.tokens.insert(address, token);
    }

    /// Gives up what is kept for an address.
    pub fn forget(&mut self, address: SocketAddr) {
        self.tokens.remove(&address);
    }

    /// A whole datagram with this body for the peer at this address.
    pub fn seal(&mut self, to: SocketAddr, kind: Kind, body: &[u8]) -> Vec<u8> {
        self.counter += 1;
        let (id, key) = &self.keys.0[0];
        let mut out = Vec::with_capacity(HEAD + body.len() + MAC);
        out.extend([MAGIC, FORMAT_VERSION, kind as u8, *id]);
        out.extend(self.boot.to_be_bytes());
        out.extend(self.counter.to_be_bytes());
        out.extend(self.tokens.get(&to).copied().unwrap_or(0).to_be_bytes());
        out.extend(address_bytes(self.address));
        out.extend(body);
        let mac = blake3::keyed_hash(key, &out);
        out.extend(&mac.as_bytes()[..MAC]);
        out
    }

    /// Checks a datagram. One that is sound but has no good token is `Ok` with `fresh` false: answer it with a
    /// challenge if [`may_be_challenged`], and with nothing else.
    pub fn open<'a>(&mut self, data: &'a [u8]) -> Result<Opened<'a>, RejectReason> {
        if data.len() > MAX_DATAGRAM_BYTES || data.len() < HEAD + MAC || data[0] != MAGIC {
            return Err(RejectReason::Malformed);
        }
        if data[1] != FORMAT_VERSION {
            return Err(RejectReason::Version);
        }
        let key = self.keys.find(data[3]).ok_or(RejectReason::Key)?;
        let (signed, mac) = data.split_at(data.len() - MAC);
        // Both sides as hashes, which compare in constant time.
        let ours = blake3::keyed_hash(key, signed);
        if blake3::Hash::from_bytes(padded(mac)) != blake3::Hash::from_bytes(padded(&ours.as_bytes()[..MAC]))
        {
            return Err(RejectReason::Forged);
        }
        let kind = match data[2] {
            0 => Kind::Challenge,
            1 => Kind::Swim,
            2 => Kind::Pull,
            3 => Kind::Facts,
            4 => Kind::News,
            5 => Kind::MessagePart,
            _ => return Err(RejectReason::Malformed),
        };
        let (boot, counter, token) = (number(data, 4), number(data, 12), number(data, 20));
        let address = read_address(&data[28..HEAD]).ok_or(RejectReason::Malformed)?;
        if boot == self.boot {
            return Err(RejectReason::Origin);
        }
        let fresh = token == self.token_for(boot, address);
        if fresh {
            self.once(boot, counter)?;
        }
        Ok(Opened { kind, boot, address, body: &data[HEAD..data.len() - MAC], fresh })
    }

    /// Lets each counter of a sender pass once.
    fn once(&mut self, boot: u64, counter: u64) -> Result<(), RejectReason> {
        self.opened += 1;
        if self.seen.len() >= self.most && !self.seen.contains_key(&boot) {
            // A life that is forgotten could be played to us again: only the one silent for longest is, and to get
            // here takes more lives than the fleet may have members.
            let oldest = self.seen.iter().min_by_key(|(_, s)| s.at).map(|(&boot, _)| boot);
            oldest.map(|boot| self.seen.remove(&boot));
        }
        let s = self.seen.entry(boot).or_default();
        s.at = self.opened;
        if counter > s.highest {
            let by = counter - s.highest;
            s.bits = if by >= WINDOW { 0 } else { s.bits << by } | 1;
            s.highest = counter;
            return Ok(());
        }
        let back = s.highest - counter;
        if back >= WINDOW || s.bits & (1 << back) != 0 {
            return Err(RejectReason::Replayed);
        }
        s.bits |= 1 << back;
        Ok(())
    }
}

/// Whether the answer to this is no larger than it.
pub fn may_be_challenged(data: &[u8]) -> bool {
    data.len() >= CHALLENGE
}

fn padded(mac: &[u8]) -> [u8; 32] {
    let mut all = [0; 32];
    all[..MAC].copy_from_slice(&mac[..MAC]);
    all
}

pub(crate) fn number(data: &[u8], at: usize) -> u64 {
    data.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_be_bytes)
}

fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut out = [0; 18];
    out[..16].copy_from_slice(&ip.octets());
    out[16..].copy_from_slice(&address.port().to_be_bytes());
    out
}

fn read_address(bytes: &[u8]) -> Option<SocketAddr> {
    let ip = Ipv6Addr::from(<[u8; 16]>::try_from(bytes.get(..16)?).ok()?);
    let port = u16::from_be_bytes(bytes.get(16..18)?.try_into().ok()?);
    Some(match ip.to_ipv4_mapped() {
        Some(ip) => SocketAddr::new(ip.into(), port),
        None => SocketAddr::V6(SocketAddrV6::new(ip, port, 0, 0)),
    })
}

#[cfg(test)]
#[path = "seal_tests.rs"]
mod tests;
