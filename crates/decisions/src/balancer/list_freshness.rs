//! How far the list can be trusted while there is no watch on discovery.

use super::*;

const CONFIRMATION_LASTS: Micros = Micros(5_000_000); // changes go untold for 6 s, less the wait for a connection
pub(super) const NEVER: Micros = Micros(i64::MIN / 2);

impl Balancer {
    /// The watch is lost, or could not be had; up to `since` it would have told of every change.
    pub(super) fn watch_failed(&mut self, since: Micros, failure: CallFailure) {
        if self.subscription.as_mut().is_some_and(|s| s.failed(self.now, since, failure)) {
            self.servers.iter_mut().for_each(|s| s.confirmed_at = s.confirmed_at.max(since));
        }
    }

    /// Whether it is likely to stay. While nothing tells of changes, what took a call of late is, and what
    /// turned one away is not. Harm: fewer servers for as long as discovery is out of reach.
    pub(super) fn is_likely_to_stay(&self, s: &Server) -> bool {
        self.is_watched() || self.now - s.confirmed_at < CONFIRMATION_LASTS
    }

    /// Whether discovery tells of changes as they come.
    pub(super) fn is_watched(&self) -> bool {
        self.subscription.as_ref().is_none_or(|s| s.is_open())
    }

    /// What is known of the list; `None`: discovery need not be asked for it.
    pub fn list_standing(&self, now: Micros) -> Option<ListReport> {
        self.subscription.as_ref().map(|s| s.list_report(self.now.max(now)))
    }

    /// Whether the list may lack changes that bind already: then nothing goes out. A server that leaves may
    /// well go on answering. Harm: requests wait, and are refused, until the watch is back.
    pub(super) fn list_is_stale(&self) -> bool {
        self.subscription.as_ref().is_some_and(|s| s.is_stale(self.now))
    }
}
