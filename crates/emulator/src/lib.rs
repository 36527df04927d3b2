//! An emulator of the systems that garnettally serves: tiers of nodes, clients, a node list, load reports and faults,
//! in virtual time. It hosts a balancer for every place that has one, through the same facade as the real program.
//!
//! - [`world`]: the description, in TOML, with its defaults.
//! - [`events`]: the order of things; ties go by the order in which they were asked for.
//! - [`draw`]: random numbers, each purpose with a stream of its own, all from one seed.
//! - [`node`]: a node as a queue and processors that are shared.
//! - [`registry`]: a registry that many processes share, as a queue of calls.
//! - [`policy`]: what decides, the real module or a reference to compare it with.
//! - [`references`]: those references. They are for the lab alone; the serving path can't reach them.
//! - [`rules`]: the four rules, checked from what happened in the world and not from what a balancer believes.
//! - [`day`]: one run of a world.
//! - [`report`]: what came of it.
//!
//! One seed gives one course of events, on every machine and however many runs go on beside it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod day;
pub mod draw;
pub mod events;
mod fleet;
pub mod node;
pub mod policy;
pub mod references;
pub mod registry;
pub mod report;
pub mod rules;
pub mod world;
