//! garnettally makes the decisions of a load balancer for services that call services.
//!
//! [`Balancer`] is the balancer of one caller. It does no I/O and reads no clock: the embedding program
//! passes it [`Event`]s with the time of each and carries out the [`Action`]s that it returns. [`facade`]
//! wraps it for the real balancer, whose network code needs one answer per call.
//!
//! ```
//! use garnettally_decisions::*;
//!
//! let class = Class { aim: Micros(500_000), ..Class::default() };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut out = Vec::new();
//! let mut balancer = Balancer::new(settings, 7, Micros(0));
//!
//! // Membership arrives as a list; ids are dense integers chosen by the caller.
//! let entries = [ServerEntry { server: ServerId(0), ..ServerEntry::default() }];
//! balancer.handle(Micros(0), Event::List { form: ListForm::Full, entries: &entries }, &mut out);
//!
//! // A request arrives; its cost is booked and it is sent.
//! out.clear();
//! let request = NewRequest {
//!     id: RequestId(1), class: ClassId(0), tenant: None,
//!     expires: Micros(1_000_000), hint: Some(Micros(20_000)), repeat: false, key: None,
//! };
//! balancer.handle(Micros(10), Event::Request(request), &mut out);
//! assert!(out.iter().any(|a| matches!(a, Action::Send { server: ServerId(0), .. })));
//!
//! // The server answers, and the outcome finishes the request.
//! out.clear();
//! let outcome = Outcome {
//!     id: RequestId(1), attempt: 0, code: Code::Ok,
//!     latency: Micros(21_000), local_delay: Micros(0), is_final: true, load: None,
//! };
//! balancer.handle(Micros(21_010), Event::Outcome(outcome), &mut out);
//! assert!(!out.iter().any(|a| matches!(a, Action::Fail { .. } | Action::Refuse { .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod balancer;
pub mod facade;
mod state;

pub use balancer::Balancer;
pub use garnettally_model::*;
