//! Configuration: read, checked and given defaults in one place.
//!
//! [`platform`] decodes what the platform tells a balancer, and [`limits`] holds every size, count and time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod limits;
pub mod platform;

pub use limits::Limits;
