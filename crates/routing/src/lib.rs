//! Which class, pool and share of the limits a request gets: routing without I/O and without a clock.
//!
//! - [`pattern`]: what a route matches, and how specific it is.
//! - [`table`]: the routes of one version of the configuration; the most specific one that matches wins.
//! - [`route`]: what a matched route says of its request: class, tenant, key, deadline, pools.
//! - [`split`]: weighted splits, sticky by key, that move as few keys as can be when weights change.
//! - [`failover`]: when a pool of a priority list is left, and how slowly it is returned to.
//! - [`health`]: how many nodes of a pool are well, which failover goes by.
//! - [`pins`]: which pool a key's first attempt went to, for as long as a repeat must not go elsewhere.
//! - [`budget`]: capacity shared by guaranteed minimum and borrowing.
//!
//! Times are handed in; nothing here can fail but by its documented errors, and every structure is bounded by
//! the configuration that it was made from.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod budget;
pub mod failover;
pub mod health;
pub mod pattern;
pub mod pins;
pub mod route;
pub mod split;
pub mod table;

/// A stable hash: the same on every machine, in every process and in every version of the program.
pub fn stable_hash(seed: u64, bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(bytes, seed)
}

/// A hash as a number from 0 up to, but not including, 1.
pub fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
