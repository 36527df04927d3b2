//! The suspicions known to this member, and the rule by which reports that a member is down are believed.
//!
//! A member that was cut off for about the length of the suspicion time-out returns with reports of dead
//! members that nobody could refute, because its suspicions reached nobody. Therefore, a report that a member
//! is down counts only once that member has been suspected here for a window in which it was pinged and could
//! refute; before that, the report counts as a suspicion. This is the refutation of SWIM, applied by each
//! receiver of the report. As in Lifeguard, a suspected member is notified of the suspicion by the members
//! that ping it.

use crate::identity::Identity;
use foca::{Incarnation, Member, State};
use garnettally_model::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The incarnation with which a member announces its own departure. Such a report needs no confirmation.
pub(crate) const DEPARTED_INCARNATION: Incarnation = Incarnation::MAX;

/// A member under suspicion, with the incarnation that is suspected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspect {
    pub identity: Identity,
    pub incarnation: Incarnation,
}

impl Suspect {
    pub fn from_member(member: &Member<Identity>) -> Suspect {
        Suspect { identity: member.id().clone(), incarnation: member.incarnation() }
    }

    fn matches(&self, member: &Member<Identity>) -> bool {
        self.incarnation == member.incarnation() && self.identity == *member.id()
    }

    pub fn as_member(&self, state: State) -> Member<Identity> {
        Member::new(self.identity.clone(), self.incarnation, state)
    }
}

/// One active suspicion.
struct Suspicion {
    suspect: Suspect,
    since: Micros,
    /// Whether this member pings the suspect itself.
    pings_suspect: bool,
    /// The time of the next ping, if this member pings the suspect.
    next_ping_at: Micros,
    /// Whether a peer reported that the suspect is down.
    reported_down: bool,
    /// The number of the latest review in which the member was still suspected.
    last_review: u64,
}

/// An action that is due for a suspicion.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum SuspicionAction {
    /// Pings the suspect and notifies it of the suspicion. If it was reported down, it may have rejoined
    /// under a later identity since.
    Ping { suspect: Suspect, reported_down: bool },
    /// Declares the suspect down, because it was reported down and did not refute within the window.
    Confirm(Suspect),
}

/// All active suspicions, at most one per member address.
pub(crate) struct Suspicions {
    /// The time for which a member can refute before a report that it is down is believed.
    window: Micros,
    ping_interval: Micros,
    now: Micros,
    active: BTreeMap<SocketAddr, Suspicion>,
    /// The number of reviews so far.
    review_count: u64,
    /// Reports in the current datagram that a member is down, which are treated as suspicions.
    unconfirmed_reports: Vec<Suspect>,
}

impl Suspicions {
    pub fn new(window: Micros, ping_interval: Micros) -> Suspicions {
        Suspicions {
            window,
            ping_interval,
            now: Micros(0),
            active: BTreeMap::new(),
            review_count: 0,
            unconfirmed_reports: Vec::new(),
        }
    }

    /// Returns a peer's report on a member as it counts here: a report that the member is down becomes a
    /// suspicion unless the member has been suspected for the window or has announced its departure.
    pub fn assess_report(&mut self, report: Member<Identity>) -> Member<Identity> {
        if report.state() != State::Down || report.incarnation() == DEPARTED_INCARNATION {
            return report;
        }
        let suspect = Suspect::from_member(&report);
        let active =
            self.active.get(&suspect.identity.address).filter(|suspicion| suspicion.suspect == suspect);
        if active.is_some_and(|suspicion| self.now - suspicion.since >= self.window) {
            return report;
        }
        let suspected = suspect.as_member(State::Suspect);
        self.unconfirmed_reports.push(suspect);
        suspected
    }

    /// Sets the current time and discards the reports of the previous datagram.
    pub fn set_now(&mut self, now: Micros) {
        self.now = now;
        self.unconfirmed_reports.clear();
    }

    /// Excludes a stall of this process from all time-outs by moving them `duration` later.
    pub fn postpone(&mut self, duration: Micros) {
        for suspicion in self.active.values_mut() {
            suspicion.since += duration;
            suspicion.next_ping_at += duration;
        }
    }

    /// Updates the active suspicions to the members that are suspected now. `found` contains the suspicions
    /// that result from this member's own probes; `chosen` returns whether this member is one of those that
    /// ping a suspect on behalf of the fleet.
    pub fn review<'a>(
        &mut self,
        suspects: impl Iterator<Item = &'a Member<Identity>>,
        found: &[Suspect],
        chosen: impl Fn(&Identity) -> bool,
    ) {
        self.review_count += 1;
        let (now, review) = (self.now, self.review_count);
        for member in suspects {
            let address = member.id().address;
            if !self.active.get(&address).is_some_and(|suspicion| suspicion.suspect.matches(member)) {
                // The first ping is delayed, because gossip reaches most suspects before that.
                let next_ping_at = now + self.ping_interval;
                let (suspect, pings_suspect) = (Suspect::from_member(member), chosen(member.id()));
                let new = Suspicion {
                    suspect,
                    since: now,
                    pings_suspect,
                    next_ping_at,
                    reported_down: false,
                    last_review: review,
                };
                self.active.insert(address, new);
            }
            let Some(suspicion) = self.active.get_mut(&address) else { continue };
            suspicion.last_review = review;
            suspicion.pings_suspect |= found.contains(&suspicion.suspect);
            if !suspicion.reported_down && self.unconfirmed_reports.contains(&suspicion.suspect) {
                (suspicion.reported_down, suspicion.pings_suspect, suspicion.next_ping_at) =
                    (true, true, now);
            }
        }
        self.active.retain(|_, suspicion| suspicion.last_review == review);
        self.unconfirmed_reports.clear();
    }

    /// Returns the actions that are due, and removes the suspicions that are confirmed.
    pub fn take_due_actions(&mut self) -> Vec<SuspicionAction> {
        let (now, window, ping_interval) = (self.now, self.window, self.ping_interval);
        let mut actions = Vec::new();
        self.active.retain(|_, suspicion| {
            let is_confirmed = suspicion.reported_down && now - suspicion.since >= window;
            if is_confirmed {
                actions.push(SuspicionAction::Confirm(suspicion.suspect.clone()));
            } else if suspicion.pings_suspect && now >= suspicion.next_ping_at {
                suspicion.next_ping_at = now + ping_interval;
                actions.push(SuspicionAction::Ping {
                    suspect: suspicion.suspect.clone(),
                    reported_down: suspicion.reported_down,
                });
            }
            !is_confirmed
        });
        actions
    }

    pub fn next_timeout(&self) -> Option<Micros> {
        let pings = self
            .active
            .values()
            .filter(|suspicion| suspicion.pings_suspect)
            .map(|suspicion| suspicion.next_ping_at);
        let confirmations = self
            .active
            .values()
            .filter(|suspicion| suspicion.reported_down)
            .map(|suspicion| suspicion.since + self.window);
        pings.chain(confirmations).min()
    }

    pub fn clear(&mut self) {
        self.active.clear();
        self.unconfirmed_reports.clear();
    }
}

#[cfg(test)]
#[path = "suspicion_tests.rs"]
mod tests;
