//! A load generator for HTTP/1.1 services on plain TCP.
//!
//! - [`mix`]: the requests: methods, paths, headers, tenants and keys, by shares.
//! - [`schedule`]: the times at which an open loop is meant to send, by phases; no I/O.
//! - [`answer`]: the parser of responses; no I/O.
//! - [`run`](mod@run): the connections, on one event loop.
//! - [`report`]: the results of a load.
//!
//! In an open loop, latency counts from the time at which a request was meant to be sent: a service that
//! stalls does not get fewer requests, and its figures do not improve by the stall (no coordinated omission).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer;
pub mod mix;
pub mod report;
pub mod run;
pub mod schedule;
