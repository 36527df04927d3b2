//! Experiments on the emulator: a plan crosses worlds, settings, policies and seeds. Each combination is a
//! cell; cells run on all cores, and each stores its results as one row.
//!
//! - [`plan`]: the plan, in TOML.
//! - [`run`]: runs the cells in parallel; rows are appended as cells end, and a run that was killed resumes
//!   from them.
//! - [`stats`]: means with confidence intervals over seeds, and paired differences.
//! - [`publish`]: CSV, a Markdown table, and charts in one HTML page.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod plan;
pub mod publish;
pub mod run;
pub mod stats;
