//! A load generator for HTTP/1.1 services on plain TCP.
//!
//! - [`mix`]: what is asked: methods, paths, headers, tenants and keys, by shares.
//! - [`schedule`]: when: the intended times of an open loop, by phases; no I/O.
//! - [`answer`]: where an answer ends; no I/O.
//! - [`run`](mod@run): the connections, on one event loop.
//! - [`report`]: what came of it.
//!
//! In an open loop, latency counts from the time at which a request was meant to be sent: a service that stalls does not
//! get fewer requests, nor better figures (no coordinated omission).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer;
pub mod mix;
pub mod report;
pub mod run;
pub mod schedule;
