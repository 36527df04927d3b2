//! Configuration: read, checked and given defaults in one place.
//!
//! [`platform`] decodes what the platform tells a balancer, [`file`](mod@file) the operator's file of other
//! installations, and [`limits`] holds every size, count and time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod file;
pub mod limits;
pub mod platform;

pub use limits::Limits;
