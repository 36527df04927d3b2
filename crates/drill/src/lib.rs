//! Drills: several processes of the program with a relay on every link between them, faults injected by a
//! script, and invariants that are checked from outside (docs/fleet-link.md).
//!
//! The drill uses the program's network interfaces alone: it starts the program, queries the admin addresses,
//! sends requests, and relays datagrams. It does not depend on the program's internals.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod draw;
pub mod http;
mod process;
mod relay;
mod report;
mod run;
mod script;
mod sink;

pub use report::Report;
pub use run::{run, DrillError};
pub use script::{Script, ScriptError};
