//! The claims that the balancers of a fleet publish about nodes, and the verdicts that one balancer derives
//! from them (docs/design/fleet.md).
//!
//! Each member publishes only what its own decision module found out by its own requests, never what others
//! reported. [`VerdictExchange`] turns the observations of a module into claims, and the verdicts that
//! [`merge_claims`] derives from the claims of all members into peer verdicts for the module. Claims carry
//! ages rather than times, and this crate uses neither a clock nor a link.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod claim;
mod exchange;
mod merge;

pub use claim::{name_hash, Claim, NodeCondition, Subject};
pub use exchange::VerdictExchange;
pub use merge::{merge_claims, FleetView, MemberClaim, MergedVerdict, PROBERS_PER_NODE};
