//! The identity of a fleet member.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The longest name of a member or of a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// One life of one member, that is, one run of its process. Members are distinguished by their address; a
/// process that restarts at that address, or returns after it was declared dead, is a new incarnation of the
/// member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The address to which peers send datagrams.
    pub address: SocketAddr,
    /// The name by which operators know the member; at most [`MAX_NAME_BYTES`] long.
    pub name: String,
    /// The zone of the member, named like the zones of the nodes; may be empty.
    pub zone: String,
    /// A random number drawn when the process starts, which distinguishes the lives of the member.
    pub boot: u64,
    /// A counter that increases at each rejoin; of two identities with one address, the one with the higher
    /// generation is the later one. It is not derived from a clock: a process that starts learns the highest
    /// previous generation from the first peer that answers.
    pub generation: u64,
}

impl Identity {
    /// The identity used for a member of which only the address is known, such as a seed.
    pub(crate) fn seed(address: SocketAddr) -> Identity {
        Identity { address, name: String::new(), zone: String::new(), boot: 0, generation: 0 }
    }

    /// Whether an identity received from a peer has names within the length bound and an allowed address.
    pub(crate) fn is_acceptable(&self, loopback_only: bool) -> bool {
        self.name.len() <= MAX_NAME_BYTES
            && self.zone.len() <= MAX_NAME_BYTES
            && is_allowed_destination(self.address, loopback_only)
    }
}

/// Whether datagrams may be sent to an address that a peer supplied. Without a key, any process on this
/// machine can supply one, so only loopback addresses are allowed then.
pub(crate) fn is_allowed_destination(address: SocketAddr, loopback_only: bool) -> bool {
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
