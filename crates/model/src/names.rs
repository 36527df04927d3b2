//! The names that a site and its lists use, each with its dense number.

use crate::interface::*;
use crate::listing::Listing;
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::{Hash, Hasher};

/// The settings of a site: the module's, and the names that they and the lists use.
#[derive(Clone)]
pub struct Site {
    /// What the module is given.
    pub settings: Settings,
    /// The numbers of the names.
    pub names: Names,
}

/// The names that a site uses, each with its dense number.
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
    /// Names that are known from the start, each list in the order of its numbers.
    pub fn new(classes: Vec<String>, tenants: Vec<String>, zones: Vec<String>, kinds: Vec<String>) -> Names {
        Names { classes, tenants, zones, kinds, ..Names::default() }
    }

    /// The names of the classes, in the order of their numbers.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|c| c == name).map(|at| ClassId(at as u32))
    }

    /// The tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|t| t == name).map(|at| TenantId(at as u32))
    }

    /// The name of a server that [`Names::register`] has met.
    pub fn server(&self, id: ServerId) -> &str {
        self.server_names.get(id.0 as usize).map_or("", String::as_str)
    }

    /// The number of a server that [`Names::register`] has met.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.servers.get(name).copied()
    }

    /// A list's entry as the module takes it.
    pub fn register(&mut self, l: &Listing) -> ServerEntry {
        let server = match self.servers.get(&l.name) {
            Some(&id) => id,
            None => {
                let id = ServerId(self.server_names.len() as u32);
                self.server_names.push(l.name.clone());
                self.servers.insert(l.name.clone(), id);
                id
            }
        };
        // Without a zone or kind it is open to no class that is bound to some.
        let zone = l.zone.as_deref().map_or(u32::MAX, |z| dense_index(&mut self.zones, z));
        let kind = l.kind.as_deref().map_or(u32::MAX, |k| dense_index(&mut self.kinds, k));
        let ring_key = hash(&l.name);
        ServerEntry {
            server,
            zone,
            kind,
            cell: l.cell,
            ring_key,
            state: l.state,
            units: l.units,
            started_at: l.started_at,
        }
    }
}

fn hash(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    text.hash(&mut hasher);
    hasher.finish()
}

/// The number that a key's 16 hex digits write; of another text its hash.
pub fn key_id(text: &str) -> KeyId {
    KeyId(u64::from_str_radix(text, 16).unwrap_or_else(|_| hash(text)))
}

/// The place of a name among those met.
pub fn dense_index(known: &mut Vec<String>, name: &str) -> u32 {
    let at = known.iter().position(|k| k == name).unwrap_or_else(|| {
        known.push(name.to_string());
        known.len() - 1
    });
    at as u32
}
