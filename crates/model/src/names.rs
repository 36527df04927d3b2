//! The names that a site and its lists use, each with a number from 0 without gaps.

use crate::interface::*;
use crate::listing::Listing;
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::{Hash, Hasher};

/// The settings of a site: those of the decision module, and the names that they and the lists use.
#[derive(Clone)]
pub struct Site {
    /// The settings of the decision module, in which names are replaced by numbers.
    pub settings: Settings,
    /// The names behind these numbers.
    pub names: Names,
}

/// The names of classes, tenants, zones, kinds and servers. The number of a name is its index among those of
/// its sort.
#[derive(Clone, Default)]
pub struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    servers: FxHashMap<String, ServerId>,
    server_names: Vec<String>,
}

impl Names {
    /// Creates the table with the names that are known at the start, each list in the order of its numbers.
    pub fn new(classes: Vec<String>, tenants: Vec<String>, zones: Vec<String>, kinds: Vec<String>) -> Names {
        Names { classes, tenants, zones, kinds, ..Names::default() }
    }

    /// Returns the names of the classes, in the order of their numbers.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Returns the class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|c| c == name).map(|index| ClassId(index as u32))
    }

    /// Returns the tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|t| t == name).map(|index| TenantId(index as u32))
    }

    /// Returns the name of a server that [`Names::register`] has seen; of any other server an empty text.
    pub fn server(&self, id: ServerId) -> &str {
        self.server_names.get(id.0 as usize).map_or("", String::as_str)
    }

    /// Returns the number of a server that [`Names::register`] has seen.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.servers.get(name).copied()
    }

    /// Converts an entry of a host list to one for the decision module, and gives numbers to names that are
    /// new.
    pub fn register(&mut self, listing: &Listing) -> ServerEntry {
        let server = match self.servers.get(&listing.name) {
            Some(&id) => id,
            None => {
                let id = ServerId(self.server_names.len() as u32);
                self.server_names.push(listing.name.clone());
                self.servers.insert(listing.name.clone(), id);
                id
            }
        };
        // A server without a zone or kind may serve no class that is restricted to some.
        let zone = listing.zone.as_deref().map_or(u32::MAX, |z| dense_index(&mut self.zones, z));
        let kind = listing.kind.as_deref().map_or(u32::MAX, |k| dense_index(&mut self.kinds, k));
        let ring_key = hash(&listing.name);
        ServerEntry {
            server,
            zone,
            kind,
            cell: listing.cell,
            ring_key,
            state: listing.state,
            units: listing.units,
            started_at: listing.started_at,
        }
    }
}

fn hash(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    text.hash(&mut hasher);
    hasher.finish()
}

/// Returns the number of a key: the value of its hexadecimal digits, or the hash of any other text.
pub fn key_id(text: &str) -> KeyId {
    KeyId(u64::from_str_radix(text, 16).unwrap_or_else(|_| hash(text)))
}

/// Returns the index of a name among the known ones, and appends the name if it is new.
pub fn dense_index(known: &mut Vec<String>, name: &str) -> u32 {
    let index = known.iter().position(|k| k == name).unwrap_or_else(|| {
        known.push(name.to_string());
        known.len() - 1
    });
    index as u32
}
