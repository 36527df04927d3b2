//! Plain types that every part of garnettally shares: ids, times, classes, events and actions of the decision
//! module, the names of a site, and the lists that a source of nodes delivers. They contain no decision
//! logic.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod interface;
mod listing;
mod names;

pub use interface::*;
pub use listing::*;
pub use names::*;
