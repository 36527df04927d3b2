//! Experiments on the emulator: a plan crosses worlds, settings, policies and seeds, its cells run on all cores, and
//! what comes of them is kept row by row.
//!
//! - [`plan`]: the plan, in TOML.
//! - [`run`]: its cells, in parallel; rows are appended as they end, and a run that was killed goes on from them.
//! - [`stats`]: means with confidence intervals over seeds, and paired differences.
//! - [`publish`]: CSV, a Markdown table, and charts in one HTML page.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod plan;
pub mod publish;
pub mod run;
pub mod stats;
