//! Plain types that every part of garnettally shares: ids, times, classes, events and actions of the decision
//! module, the names of a site, and the listings that a source of nodes tells. Nothing here decides.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod interface;
mod listing;
mod names;

pub use interface::*;
pub use listing::*;
pub use names::*;
