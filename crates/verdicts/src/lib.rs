//! What the balancers of a fleet say of nodes, and what follows from it for one of them (docs/design/fleet.md).
//!
//! Each member says what its own module has found out by its own requests: never what it has heard. [`VerdictExchange`] turns
//! opinions of a module into claims, and the claims of all into hearsay for the module, by [`merge_claims`]. Ages alone are
//! carried; nothing here knows a clock or a link.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod claim;
mod exchange;
mod merge;

pub use claim::{name_hash, Claim, NodeCondition, Subject};
pub use exchange::VerdictExchange;
pub use merge::{merge_claims, FleetView, MemberClaim, MergedVerdict, PROBERS_PER_NODE};
