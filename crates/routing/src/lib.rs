//! Decides which class, pool and share of the limits a request gets, without I/O and without a clock.
//!
//! - [`pattern`]: what a route matches, and how specific it is.
//! - [`table`]: the routes of one version of the configuration; of the routes that match, the most specific
//!   one wins.
//! - [`route`]: what a matched route determines for its request: class, tenant, key, deadline, pools.
//! - [`split`]: weighted splits that are sticky by key and move as few keys as possible when weights change.
//! - [`failover`]: when a pool of a priority list loses its traffic, and how slowly it gets it back.
//! - [`health`]: the number of healthy nodes of a pool, on which failover is based.
//! - [`pins`]: the pool that a key's first attempt was sent to, for as long as a repeat must not go
//!   elsewhere.
//! - [`budget`]: capacity shared by guaranteed minimums and borrowing.
//!
//! Callers pass in the time. Operations fail only with their documented errors, and the size of every
//! structure is bounded by the configuration from which it was made.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod budget;
pub mod failover;
pub mod health;
pub mod left_requests;
pub mod pattern;
pub mod pins;
pub mod route;
pub mod split;
pub mod table;

/// Computes a stable hash: the same on every machine, in every process and in every version of the program.
pub fn stable_hash(seed: u64, bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(bytes, seed)
}

/// Maps a hash to a number from 0 up to, but not including, 1.
pub fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
