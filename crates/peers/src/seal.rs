//! The envelope of every datagram: version, sender, replay protection and a keyed MAC.
//!
//! With each datagram a sender proves that it is addressing this running process: the datagram repeats a
//! token that the receiver issued to the sender. The token is a keyed hash under a secret that the receiver
//! draws when it starts. Checking it therefore needs no stored state, and datagrams recorded before the
//! receiver started can't be replayed to it. Within one life of both sides, a window over the sender's
//! counter drops repeated datagrams.

use rustc_hash::FxHashMap;
use std::net::{IpAddr, Ipv6Addr, SocketAddr, SocketAddrV6};
use thiserror::Error;

/// The maximum size of a datagram, in bytes. It fits into one packet on any network path in use.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The version of the datagram format; datagrams of any other version are rejected.
pub const FORMAT_VERSION: u8 = 1;
const MAGIC: u8 = 0x67;
const HEADER_BYTES: usize = 4 + 8 + 8 + 8 + 18;
const MAC_BYTES: usize = 16;
/// The maximum size of a datagram's body, in bytes.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - MAC_BYTES;
/// The size of a challenge. Shorter datagrams are not answered with one, so that no answer is larger than the
/// datagram that caused it.
const CHALLENGE_BYTES: usize = HEADER_BYTES + 16 + MAC_BYTES;
/// The number of most recent datagrams of a sender within which datagrams may arrive out of order.
const REPLAY_WINDOW: u64 = 64;

/// The type of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Issues a token to a sender; the answer to a datagram without a valid token.
    Challenge,
    /// A packet of the membership protocol.
    Swim,
    /// Requests the facts that changed since a cursor.
    Pull,
    /// A page of changed facts; the answer to a pull.
    Facts,
    /// Announces that the sender has changed facts, which the receiver then pulls.
    UpdateHint,
    /// One part of a message.
    MessagePart,
}

/// The reason why a datagram is dropped. Metrics and `GET /members` show the names of the variants in lower
/// case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum RejectReason {
    /// The datagram is truncated, too long, or not of this format.
    #[error("malformed")]
    Malformed,
    /// The datagram has a version other than [`FORMAT_VERSION`].
    #[error("of an unknown version")]
    Version,
    /// The datagram names a key that this process does not have.
    #[error("under an unknown key")]
    Key,
    /// The MAC of the datagram is wrong.
    #[error("forged")]
    Forged,
    /// The datagram was received before, or its counter is too far behind that of later ones to tell.
    #[error("replayed")]
    Replayed,
    /// The datagram has no valid token; its sender is sent one.
    #[error("without a token")]
    Token,
    /// The datagram comes from this process, or names a sender address that is not allowed.
    #[error("from an address that is not allowed")]
    Origin,
    /// The datagram is valid, but answers no pending request of this process, or answers it too late.
    #[error("not asked for")]
    Unasked,
    /// Processing the datagram would exceed a bound on memory.
    #[error("over a bound")]
    Bound,
}

impl RejectReason {
    /// All reasons, in the order of [`RejectReason::index`].
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

    /// The position of the reason in [`RejectReason::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// The keys of a fleet, by their numbers. The first key seals datagrams, and any of them opens received ones.
#[derive(Clone)]
pub struct Keys(Vec<(u8, [u8; 32])>);

/// The problem found in the content of a key file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum KeyFileError {
    /// The line with this number, counted from 1, is malformed.
    #[error("line {0} is not a number from 0 to 255 and 64 hex digits")]
    InvalidLine(usize),
    /// Two keys have this number.
    #[error("two keys have the number {0}")]
    DuplicateNumber(u8),
    /// The file contains no key.
    #[error("contains no key")]
    NoKeys,
    /// The file contains more than 8 keys.
    #[error("contains more than 8 keys")]
    TooManyKeys,
}

impl Keys {
    /// Parses lines of a number and 64 hex digits; `#` starts a comment. The key of the first line seals
    /// datagrams.
    pub fn parse(text: &str) -> Result<Keys, KeyFileError> {
        let mut keys: Vec<(u8, [u8; 32])> = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("").trim();
            if line.is_empty() {
                continue;
            }
            let malformed = KeyFileError::InvalidLine(index + 1);
            let (id, hex) = line.split_once(char::is_whitespace).ok_or(malformed.clone())?;
            let id: u8 = id.parse().map_err(|_| malformed.clone())?;
            let key = blake3::Hash::from_hex(hex.trim()).map_err(|_| malformed.clone())?;
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

    /// The publicly known key used without a key file. It detects damaged datagrams and authenticates
    /// nothing, so it is used on loopback addresses only.
    pub fn well_known() -> Keys {
        Keys(vec![(0, blake3::derive_key("garnettally fleet link, loopback without a key", b""))])
    }

    fn find(&self, id: u8) -> Option<&[u8; 32]> {
        self.0.iter().find(|k| k.0 == id).map(|k| &k.1)
    }
}

/// The content of a datagram whose MAC is valid.
#[derive(Debug)]
pub struct OpenedDatagram<'a> {
    pub kind: Kind,
    pub boot: u64,
    /// The address at which its sender receives datagrams.
    pub address: SocketAddr,
    pub body: &'a [u8],
    /// Whether it repeats the token that this process issued to its sender. Challenges need no token.
    pub has_valid_token: bool,
}

#[derive(Default)]
struct ReplayWindow {
    highest: u64,
    bits: u64,
    /// The value of [`Sealer::opened_count`] at the sender's latest datagram; the sender with the oldest is
    /// evicted.
    last_opened: u64,
}

/// Seals and opens the datagrams of one process.
pub struct Sealer {
    keys: Keys,
    boot: u64,
    address: SocketAddr,
    secret: [u8; 32],
    sent_counter: u64,
    /// The number of datagrams with a valid token that were opened so far.
    opened_count: u64,
    /// The tokens that peers issued to this process, by their addresses.
    tokens: FxHashMap<SocketAddr, u64>,
    seen: FxHashMap<u64, ReplayWindow>,
    max_peers: usize,
}

impl Sealer {
    /// Creates the sealer of the process with this life and address, which stores state for at most
    /// `max_peers` peers. `secret` is the key of the tokens and has to be unpredictable.
    pub fn new(keys: Keys, boot: u64, address: SocketAddr, secret: [u8; 32], max_peers: usize) -> Sealer {
        let (tokens, seen) = (FxHashMap::default(), FxHashMap::default());
        Sealer { keys, boot, address, secret, sent_counter: 0, opened_count: 0, tokens, seen, max_peers }
    }

    /// Replaces the keys; counters and tokens stay valid.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// The token that the sender with this life and address has to repeat.
    pub fn token_for(&self, boot: u64, address: SocketAddr) -> u64 {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        hasher.update(&boot.to_be_bytes());
        hasher.update(&address_bytes(address));
        u64::from_be_bytes(hasher.finalize().as_bytes()[..8].try_into().unwrap_or_default())
    }

    /// Stores the token that datagrams to the peer at this address have to repeat.
    pub fn learn_token(&mut self, address: SocketAddr, token: u64) {
        if self.tokens.len() >= self.max_peers && !self.tokens.contains_key(&address) {
            // Any token may be evicted: a peer that is still alive issues its token again.
            if let Some(&any) = self.tokens.keys().next() {
                self.tokens.remove(&any);
            }
        }
        self.tokens.insert(address, token);
    }

    /// Removes the token stored for an address.
    pub fn forget_token(&mut self, address: SocketAddr) {
        self.tokens.remove(&address);
    }

    /// Builds a complete datagram with this body for the peer at this address.
    pub fn seal(&mut self, to: SocketAddr, kind: Kind, body: &[u8]) -> Vec<u8> {
        self.sent_counter += 1;
        let (id, key) = &self.keys.0[0];
        let mut out = Vec::with_capacity(HEADER_BYTES + body.len() + MAC_BYTES);
        out.extend([MAGIC, FORMAT_VERSION, kind as u8, *id]);
        out.extend(self.boot.to_be_bytes());
        out.extend(self.sent_counter.to_be_bytes());
        out.extend(self.tokens.get(&to).copied().unwrap_or(0).to_be_bytes());
        out.extend(address_bytes(self.address));
        out.extend(body);
        let mac = blake3::keyed_hash(key, &out);
        out.extend(&mac.as_bytes()[..MAC_BYTES]);
        out
    }

    /// Checks a datagram and parses its header. For a valid datagram without a valid token the result is `Ok`
    /// with `has_valid_token` false; it may be answered with a challenge if [`may_be_challenged`], and with
    /// nothing else.
    pub fn open<'a>(&mut self, data: &'a [u8]) -> Result<OpenedDatagram<'a>, RejectReason> {
        if data.len() > MAX_DATAGRAM_BYTES || data.len() < HEADER_BYTES + MAC_BYTES || data[0] != MAGIC {
            return Err(RejectReason::Malformed);
        }
        if data[1] != FORMAT_VERSION {
            return Err(RejectReason::Version);
        }
        let key = self.keys.find(data[3]).ok_or(RejectReason::Key)?;
        let (authenticated, mac) = data.split_at(data.len() - MAC_BYTES);
        // Both MACs are compared as hashes, because those compare in constant time.
        let computed = blake3::keyed_hash(key, authenticated);
        if blake3::Hash::from_bytes(padded(mac))
            != blake3::Hash::from_bytes(padded(&computed.as_bytes()[..MAC_BYTES]))
        {
            return Err(RejectReason::Forged);
        }
        let kind = match data[2] {
            0 => Kind::Challenge,
            1 => Kind::Swim,
            2 => Kind::Pull,
            3 => Kind::Facts,
            4 => Kind::UpdateHint,
            5 => Kind::MessagePart,
            _ => return Err(RejectReason::Malformed),
        };
        let (boot, counter, token) = (read_u64(data, 4), read_u64(data, 12), read_u64(data, 20));
        let address = read_address(&data[28..HEADER_BYTES]).ok_or(RejectReason::Malformed)?;
        if boot == self.boot {
            return Err(RejectReason::Origin);
        }
        let has_valid_token = token == self.token_for(boot, address);
        if has_valid_token {
            self.check_replay(boot, counter)?;
        }
        Ok(OpenedDatagram {
            kind,
            boot,
            address,
            body: &data[HEADER_BYTES..data.len() - MAC_BYTES],
            has_valid_token,
        })
    }

    /// Records a sender's counter and rejects it if it was seen before or is older than the window.
    fn check_replay(&mut self, boot: u64, counter: u64) -> Result<(), RejectReason> {
        self.opened_count += 1;
        if self.seen.len() >= self.max_peers && !self.seen.contains_key(&boot) {
            // Datagrams of an evicted life could be replayed. Only the life that has sent nothing for longest
            // is evicted, and only if there are more lives than the fleet may have members.
            let oldest = self.seen.iter().min_by_key(|(_, window)| window.last_opened).map(|(&boot, _)| boot);
            oldest.map(|boot| self.seen.remove(&boot));
        }
        let window = self.seen.entry(boot).or_default();
        window.last_opened = self.opened_count;
        if counter > window.highest {
            let advance = counter - window.highest;
            window.bits = if advance >= REPLAY_WINDOW { 0 } else { window.bits << advance } | 1;
            window.highest = counter;
            return Ok(());
        }
        let distance = window.highest - counter;
        if distance >= REPLAY_WINDOW || window.bits & (1 << distance) != 0 {
            return Err(RejectReason::Replayed);
        }
        window.bits |= 1 << distance;
        Ok(())
    }
}

/// Whether a challenge would be no larger than this datagram.
pub fn may_be_challenged(data: &[u8]) -> bool {
    data.len() >= CHALLENGE_BYTES
}

fn padded(mac: &[u8]) -> [u8; 32] {
    let mut all = [0; 32];
    all[..MAC_BYTES].copy_from_slice(&mac[..MAC_BYTES]);
    all
}

pub(crate) fn read_u64(data: &[u8], offset: usize) -> u64 {
    data.get(offset..offset + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_be_bytes)
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
