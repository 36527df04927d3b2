//! What a source of nodes tells: the seam between registries and everything else.

use crate::interface::{ListedState, Micros};
use std::net::SocketAddr;

/// One entry of a host list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The server's name.
    pub name: String,
    /// Its zone.
    pub zone: Option<String>,
    /// Its machine kind.
    pub kind: Option<String>,
    /// Its cell.
    pub cell: i64,
    /// Its state.
    pub state: ListedState,
    /// Its size.
    pub units: f64,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Micros>,
}

/// A host list, whole or in part.
#[derive(Clone, Debug, PartialEq)]
pub struct HostList {
    /// Its version.
    pub seq: u64,
    /// The whole list, or else what changed.
    pub whole: bool,
    /// Each entry with the address to dial.
    pub hosts: Vec<(Listing, Option<SocketAddr>)>,
}
