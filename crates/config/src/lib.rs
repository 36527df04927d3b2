//! Reads the configuration, checks it and fills in its defaults.
//!
//! [`platform`] decodes the configuration of balancers that the platform starts, [`file`](mod@file) the
//! operator's file of other installations, and [`limits`] holds every size, count and time that follows from
//! either.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod file;
pub mod limits;
pub mod platform;

pub use limits::Limits;
