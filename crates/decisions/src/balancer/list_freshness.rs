//! How far the list of servers can be relied on while there is no watch on discovery.

use super::*;

/// How long a server that accepted a call counts as likely to stay. Changes may reach an instance 6 s late;
/// the time that a connection may take is subtracted from that.
const CONFIRMATION_LASTS: Micros = Micros(5_000_000);
/// A time before any event, far enough from the least value that durations can be subtracted.
pub(super) const NEVER: Micros = Micros(i64::MIN / 2);

impl Balancer {
    /// Records that the watch was lost, or that the request for one failed. All changes up to
    /// `complete_until` have arrived, so a watch that was open confirms the servers up to then.
    pub(super) fn watch_failed(&mut self, complete_until: Micros, failure: CallFailure) {
        if self
            .subscription
            .as_mut()
            .is_some_and(|s| s.call_or_watch_failed(self.now, complete_until, failure))
        {
            self.servers.iter_mut().for_each(|s| s.confirmed_at = s.confirmed_at.max(complete_until));
        }
    }

    /// Returns whether a server is unlikely to leave soon. While no watch delivers changes, a server that
    /// accepted a call lately is, and one that declined a call is not. Drawback: fewer servers are used for
    /// as long as discovery is out of reach.
    pub(super) fn is_likely_to_stay(&self, server: &Server) -> bool {
        self.is_watched() || self.now - server.confirmed_at < CONFIRMATION_LASTS
    }

    /// Returns whether discovery delivers changes as they are made: it pushes lists, or a watch is open.
    pub(super) fn is_watched(&self) -> bool {
        self.subscription.as_ref().is_none_or(|s| s.is_open())
    }

    /// Returns the freshness of the list and the time of the next request for a watch; `None`: discovery
    /// pushes its lists, and no watch has to be requested.
    pub fn list_report(&self, now: Micros) -> Option<ListReport> {
        self.subscription.as_ref().map(|s| s.list_report(self.now.max(now)))
    }

    /// Returns whether the list may lack changes that already have to be obeyed. Then no request is sent at
    /// all, since a server that is leaving may well go on answering. Drawback: requests wait, and are
    /// refused, until there is a watch again.
    pub(super) fn list_is_stale(&self) -> bool {
        self.subscription.as_ref().is_some_and(|s| s.is_stale(self.now))
    }
}
