//! The lists that a source of nodes delivers: the interface between registries and everything else.

use crate::interface::{ListedState, Micros};
use std::net::SocketAddr;

/// One host of a host list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The name of the host, which identifies it across lists.
    pub name: String,
    /// The zone of the host, if the list names one.
    pub zone: Option<String>,
    /// The machine kind of the host, if the list names one.
    pub kind: Option<String>,
    /// The cell that the host belongs to, within its zone.
    pub cell: i64,
    /// The state that the list gives the host.
    pub state: ListedState,
    /// The relative size of the host.
    pub units: f64,
    /// When the host last started, by the wall clock; `None`: it started long ago.
    pub started_at: Option<Micros>,
}

/// A host list, complete or as a delta.
#[derive(Clone, Debug, PartialEq)]
pub struct HostList {
    /// The version of the list. It rises with each change, until the registry restarts and counts anew.
    pub seq: u64,
    /// Whether the list is complete; otherwise it holds changed entries only.
    pub whole: bool,
    /// The entries, each with the address to connect to, if it is known.
    pub hosts: Vec<(Listing, Option<SocketAddr>)>,
}
