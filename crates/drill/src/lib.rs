//! Drills: several processes of the program with a relay on every link between them, faults by a script, and
//! invariants that are checked from outside (docs/fleet-link.md).
//!
//! The drill speaks the wire alone: it starts the program, asks admin addresses, sends requests, and passes datagrams
//! on. It knows nothing of the program's inside.
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
