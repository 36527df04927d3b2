//! Who a member is.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The longest name of a member or of a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// One life of one member. Members are told apart by their address; a process that starts anew there, or comes back
/// after it was declared dead, is a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Where peers send to.
    pub address: SocketAddr,
    /// Its name, by which operators know it.
    pub name: String,
    /// Its zone, as the nodes' zones are named; may be empty.
    pub zone: String,
    /// Drawn when the process starts: tells its lives apart.
    pub boot: u64,
    /// Grows at each rejoin; the higher one of an address is the later one. No clock is in it: a process that starts
    /// learns from its first peer what was the highest before it.
    pub generation: u64,
}

impl Identity {
    /// An address of which nothing else is known yet: a seed.
    pub(crate) fn seed(address: SocketAddr) -> Identity {
        Identity { address, name: String::new(), zone: String::new(), boot: 0, generation: 0 }
    }

    /// Whether a peer may have sent this.
    pub(crate) fn is_sound(&self, loopback_only: bool) -> bool {
        self.name.len() <= MAX_NAME_BYTES
            && self.zone.len() <= MAX_NAME_BYTES
            && may_be_sent_to(self.address, loopback_only)
    }
}

/// Whether datagrams may go to an address that a peer named. Without a key anybody on this machine can name one.
pub(crate) fn may_be_sent_to(address: SocketAddr, loopback_only: bool) -> bool {
    let ip = address.ip();
    address.port() != 0
        && !ip.is_unspecified()
        && !ip.is_multicast()
        && ip != IpAddr::V4(Ipv4Addr::BROADCAST)
        && (!loopback_only || ip.is_loopback())
}

impl foca::Identity for Identity {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Identity> {
        Some(Identity { generation: self.generation.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Identity) -> bool {
        (self.generation, self.boot) > (other.generation, other.boot)
    }
}
