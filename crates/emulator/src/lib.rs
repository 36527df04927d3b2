//! An emulator of the systems that garnettally serves: tiers of nodes, clients, a node list, load reports and
//! faults, in virtual time. It runs each balancer of the world through the same facade as the real program.
//!
//! - [`world`]: the description of a world, in TOML, with its defaults.
//! - [`events`]: the event queue; events at one instant occur in the order in which they were scheduled.
//! - [`draw`]: random numbers; each purpose has its own stream, and all streams derive from one seed.
//! - [`node`]: a node, modelled as a queue in front of shared processors.
//! - [`registry`]: a registry that many processes share, modelled as a queue of calls.
//! - [`policy`]: the policy of a balancer, which is the real decision module or a reference to compare it
//!   with.
//! - [`references`]: the reference policies. They are for experiments only; the serving path does not depend
//!   on them.
//! - [`rules`]: the four rules, checked against the events of the world and not against a balancer's own
//!   state.
//! - [`day`]: one run of a world.
//! - [`report`]: the results of a run.
//!
//! One seed gives the same sequence of events on every machine, however many runs execute in parallel.
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
