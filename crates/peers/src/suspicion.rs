//! What is known here of members under suspicion, and which word of a death is believed.
//!
//! A member that was cut off for about the suspicion comes back with verdicts that nobody could object to: its
//! suspicions were told to nobody who could have answered. So the word that a member is down counts only once that
//! member has been under suspicion here for a window in which it was asked and could refute; before that the word is
//! taken for a suspicion. It is the refutation of SWIM, held by whoever hears the verdict, and, as in Lifeguard, a
//! suspected member is told of the suspicion by those that ask it.

use crate::identity::Identity;
use foca::{Incarnation, Member, State};
use garnettally_model::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The incarnation under which a member says itself that it leaves: nothing is left to be asked.
pub(crate) const LEFT: Incarnation = Incarnation::MAX;

/// A member's incarnation as it was suspected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspect {
    pub identity: Identity,
    pub incarnation: Incarnation,
}

impl Suspect {
    pub fn of(member: &Member<Identity>) -> Suspect {
        Suspect { identity: member.id().clone(), incarnation: member.incarnation() }
    }

    fn is(&self, member: &Member<Identity>) -> bool {
        self.incarnation == member.incarnation() && self.identity == *member.id()
    }

    pub fn as_member(&self, state: State) -> Member<Identity> {
        Member::new(self.identity.clone(), self.incarnation, state)
    }
}

/// One suspicion that stands.
struct Suspicion {
    suspect: Suspect,
    since: Micros,
    /// Whether this member asks the suspect itself, and when next.
    asks: bool,
    ask_at: Micros,
    /// Somebody said that the suspect is down.
    reported_down: bool,
    /// The review in which it was last found to stand.
    round: u64,
}

/// What is to be done about a suspicion.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Ask the suspect, and tell it of the suspicion; `reported_down`: it may have been renewed since.
    Ask { suspect: Suspect, reported_down: bool },
    /// It did not refute within the window: it is down.
    Confirm(Suspect),
}

/// All suspicions that stand here, a member each.
pub(crate) struct Suspicions {
    /// How long a member can refute before the word of others that it is down is believed.
    window: Micros,
    ask_every: Micros,
    now: Micros,
    standing: BTreeMap<SocketAddr, Suspicion>,
    /// Counts reviews.
    round: u64,
    /// Verdicts that were heard in the datagram at hand, and taken for suspicions.
    heard: Vec<Suspect>,
}

impl Suspicions {
    pub fn new(window: Micros, ask_every: Micros) -> Suspicions {
        Suspicions {
            window,
            ask_every,
            now: Micros(0),
            standing: BTreeMap::new(),
            round: 0,
            heard: Vec::new(),
        }
    }

    /// What a peer says of a member, as it counts here by this time.
    pub fn admit(&mut self, said: Member<Identity>) -> Member<Identity> {
        if said.state() != State::Down || said.incarnation() == LEFT {
            return said;
        }
        let suspect = Suspect::of(&said);
        let standing = self.standing.get(&suspect.identity.address).filter(|s| s.suspect == suspect);
        if standing.is_some_and(|s| self.now - s.since >= self.window) {
            return said;
        }
        let suspected = suspect.as_member(State::Suspect);
        self.heard.push(suspect);
        suspected
    }

    /// The time at which the next datagram is taken.
    pub fn set_now(&mut self, now: Micros) {
        self.now = now;
        self.heard.clear();
    }

    /// A standstill of this length did not happen.
    pub fn shift(&mut self, late: Micros) {
        for s in self.standing.values_mut() {
            s.since += late;
            s.ask_at += late;
        }
    }

    /// Brings what stands in line with who is suspected now. `found`: suspicions that come of this member's own probes;
    /// `chosen`: whether this member is one of those that ask a suspect in the name of all.
    pub fn review<'a>(
        &mut self,
        suspects: impl Iterator<Item = &'a Member<Identity>>,
        found: &[Suspect],
        chosen: impl Fn(&Identity) -> bool,
    ) {
        self.round += 1;
        let (now, round) = (self.now, self.round);
        for member in suspects {
            let address = member.id().address;
            if !self.standing.get(&address).is_some_and(|s| s.suspect.is(member)) {
                // Gossip reaches most suspects before they are asked.
                let ask_at = now + self.ask_every;
                let (suspect, asks) = (Suspect::of(member), chosen(member.id()));
                let new = Suspicion { suspect, since: now, asks, ask_at, reported_down: false, round };
                self.standing.insert(address, new);
            }
            let Some(s) = self.standing.get_mut(&address) else { continue };
            s.round = round;
            s.asks |= found.contains(&s.suspect);
            if !s.reported_down && self.heard.contains(&s.suspect) {
                (s.reported_down, s.asks, s.ask_at) = (true, true, now);
            }
        }
        self.standing.retain(|_, s| s.round == round);
        self.heard.clear();
    }

    /// What is due by now. What is confirmed stands no longer.
    pub fn due(&mut self) -> Vec<Step> {
        let (now, window, ask_every) = (self.now, self.window, self.ask_every);
        let mut steps = Vec::new();
        self.standing.retain(|_, s| {
            let ends = s.reported_down && now - s.since >= window;
            if ends {
                steps.push(Step::Confirm(s.suspect.clone()));
            } else if s.asks && now >= s.ask_at {
                s.ask_at = now + ask_every;
                steps.push(Step::Ask { suspect: s.suspect.clone(), reported_down: s.reported_down });
            }
            !ends
        });
        steps
    }

    pub fn next_timeout(&self) -> Option<Micros> {
        let asks = self.standing.values().filter(|s| s.asks).map(|s| s.ask_at);
        let ends = self.standing.values().filter(|s| s.reported_down).map(|s| s.since + self.window);
        asks.chain(ends).min()
    }

    pub fn clear(&mut self) {
        self.standing.clear();
        self.heard.clear();
    }
}

#[cfg(test)]
#[path = "suspicion_tests.rs"]
mod tests;
