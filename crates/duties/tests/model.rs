//! Leases, epochs and the receiver's check, explored in every order of things up to a depth: messages that are lost,
//! repeated and overtake each other, owners that stand still in the middle of an effect, voters that start anew, and
//! clocks at both ends of what the margin is for. The code that is checked is the crate's own.

use garnettally_duties::{Change, Epoch, Fence, Held, Promises};
use garnettally_model::Micros;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const DUTY: &str = "d";
/// A lease, by a voter's clock, in steps: 11 of a clock that is a tenth fast are 10 of true time.
const LEASE: Micros = Micros(1_100);
/// One step of true time.
const STEP: i64 = 500;
/// Clocks of voters are fast and those of owners slow, as far as the margin allows: the worst there is.
const FAST: i64 = 1_100;
const SLOW: i64 = 900;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Wire {
    Renew {
        owner: u64,
        voter: usize,
        asked: Micros,
        seen: u64,
    },
    Grant {
        owner: u64,
        voter: usize,
        asked: Micros,
        upto: u64,
        clear: Option<Epoch>,
        owned: Vec<(String, Epoch)>,
    },
    Effect {
        epoch: Epoch,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    promises: Promises,
    /// Entries that it knows: assignments of the one duty to these lives, by epoch.
    knows: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: i64,
    /// Who owns the duty by each entry; decided by consensus, and so one list.
    log: Vec<u64>,
    voters: Vec<Voter>,
    owners: Vec<Held>,
    /// An owner has read that it may act, and has not done so yet.
    about_to: Vec<Option<Epoch>>,
    net: BTreeSet<Wire>,
    fence: Fence,
    highest: Epoch,
    /// The receiver took an epoch below one that it had taken.
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Time,
    Decide(u64),
    Learn(usize),
    Ask(u64, usize),
    Deliver(Wire, bool),
    Lose(Wire),
    Read(u64),
    Do(u64),
    Restart(usize),
}

struct Fleet {
    /// How long an owner acts by a lease; the mutant has no margin.
    acts: Micros,
    fenced: bool,
    /// A voter that starts anew keeps silent; the mutant does not.
    silent: bool,
    steps: i64,
    entries: usize,
    restarts: bool,
    voters: usize,
    /// Of how many voters owners believe that there are: they count a majority of these.
    believed: usize,
    /// Questions and answers take no time, and can only be lost: more of the rest is explored.
    direct: bool,
}

fn clock(time: i64, rate: i64) -> Micros {
    Micros(time * STEP * rate / 1_000)
}

impl Fleet {
    fn by_voters(&self, s: &State) -> Micros {
        clock(s.time, FAST)
    }
    fn by_owners(&self, s: &State) -> Micros {
        clock(s.time, SLOW)
    }
}

/// A voter answers, as `voter.rs` has it for one duty.
fn renewed(s: &mut State, now: Micros, wire: Wire) -> Option<Wire> {
    let Wire::Renew { owner, voter, asked, seen } = wire else { return None };
    let v = &mut s.voters[voter];
    let promised = v.promises.renew(now, owner, seen).is_some();
    let upto = v.knows;
    let mine = s.log[upto as usize - 1] == owner;
    let held_back = mine && v.promises.is_held_back(now, DUTY, owner);
    let clear = promised.then_some(if held_back { upto - 1 } else { u64::MAX });
    let owned = if mine { vec![(DUTY.to_string(), upto)] } else { Vec::new() };
    Some(Wire::Grant { owner, voter, asked, upto, clear, owned })
}

fn granted(s: &mut State, wire: Wire) {
    if let Wire::Grant { owner, voter, asked, upto, clear, owned } = wire {
        s.owners[owner as usize - 1].granted(voter as u64, asked, upto, clear, Some(owned));
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        // The voters' silence after the start of all is over.
        let voter = Voter { promises: Promises::new(Micros(-LEASE.0), LEASE), knows: 1 };
        let held = || Held::with_time(self.acts, self.believed);
        vec![State {
            time: 0,
            log: vec![1],
            voters: vec![voter; self.voters],
            owners: vec![held(), held()],
            about_to: vec![None, None],
            net: BTreeSet::new(),
            fence: Fence::default(),
            highest: 0,
            went_back: false,
        }]
    }

    fn actions(&self, s: &State, acts: &mut Vec<Act>) {
        if s.time < self.steps {
            acts.push(Act::Time);
        }
        if s.log.len() < self.entries {
            // To the other one.
            acts.push(Act::Decide(3 - s.log[s.log.len() - 1]));
        }
        for (v, voter) in s.voters.iter().enumerate() {
            if (voter.knows as usize) < s.log.len() {
                acts.push(Act::Learn(v));
            }
            if self.restarts && voter.promises.speaks(self.by_voters(s)) && s.time > 0 && v == 0 {
                acts.push(Act::Restart(v));
            }
            for owner in 1..=2 {
                if s.net.len() < 2 {
                    acts.push(Act::Ask(owner, v));
                }
            }
        }
        for wire in &s.net {
            acts.push(Act::Deliver(wire.clone(), false));
            acts.push(Act::Lose(wire.clone()));
            if matches!(wire, Wire::Effect { .. }) {
                acts.push(Act::Deliver(wire.clone(), true));
            }
        }
        for owner in 1..=2u64 {
            let i = owner as usize - 1;
            match s.about_to[i] {
                Some(_) if s.net.len() < 3 => acts.push(Act::Do(owner)),
                None if s.owners[i].may_act(self.by_owners(s), DUTY).is_some() => acts.push(Act::Read(owner)),
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut s = last.clone();
        let (voters, owners) = (self.by_voters(last), self.by_owners(last));
        match act {
            Act::Time => s.time += 1,
            Act::Decide(owner) => s.log.push(owner),
            Act::Learn(v) => {
                let voter = &mut s.voters[v];
                let at = voter.knows as usize;
                let change =
                    Change { duty: DUTY.into(), from: s.log[at - 1], to: s.log[at], at: at as u64 + 1 };
                voter.knows += 1;
                voter.promises.changed(voters, &change);
            }
            Act::Ask(owner, voter) => {
                let seen = s.owners[owner as usize - 1].seen();
                let wire = Wire::Renew { owner, voter, asked: owners, seen };
                if self.direct {
                    let grant = renewed(&mut s, voters, wire)?;
                    granted(&mut s, grant);
                } else if !s.net.insert(wire) {
                    return None;
                }
            }
            Act::Lose(wire) => {
                s.net.remove(&wire);
            }
            Act::Deliver(wire, stays) => {
                if !stays {
                    s.net.remove(&wire);
                }
                match wire {
                    Wire::Renew { .. } => {
                        let grant = renewed(&mut s, voters, wire)?;
                        s.net.insert(grant);
                    }
                    Wire::Grant { .. } => granted(&mut s, wire),
                    Wire::Effect { epoch } => {
                        if !self.fenced || s.fence.admits(DUTY, epoch) {
                            s.went_back |= epoch < s.highest;
                            s.highest = s.highest.max(epoch);
                        }
                    }
                }
            }
            Act::Read(owner) => {
                let i = owner as usize - 1;
                s.about_to[i] = s.owners[i].may_act(owners, DUTY);
            }
            Act::Do(owner) => {
                let epoch = s.about_to[owner as usize - 1].take()?;
                s.net.insert(Wire::Effect { epoch });
            }
            Act::Restart(v) => {
                // It knows again what was decided, and not what it has promised.
                let from = if self.silent { voters } else { Micros(voters.0 - LEASE.0) };
                s.voters[v].promises = Promises::new(from, LEASE);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one owner at a time", |m: &Fleet, s: &State| {
                let now = m.by_owners(s);
                s.owners.iter().filter(|o| o.may_act(now, DUTY).is_some()).count() <= 1
            }),
            Property::always("no epoch goes back at the receiver", |_: &Fleet, s: &State| !s.went_back),
            Property::sometimes("the duty changes hands", |m: &Fleet, s: &State| {
                s.owners[1].may_act(m.by_owners(s), DUTY).is_some()
            }),
        ]
    }
}

/// One voter, and messages that are under way for as long as they like.
const ONE: Fleet = Fleet {
    acts: Micros(900),
    fenced: true,
    silent: true,
    steps: 3,
    entries: 2,
    restarts: true,
    voters: 1,
    believed: 1,
    direct: false,
};
/// Three voters that learn of entries in any order.
const THREE: Fleet = Fleet { voters: 3, believed: 3, direct: true, entries: 3, steps: 4, ..ONE };

/// States that are looked at; `DUTIES_STATES` asks for more than CI does.
fn most() -> usize {
    std::env::var("DUTIES_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(300_000)
}

#[test]
fn the_margin_here_is_the_crates_own() {
    assert_eq!(garnettally_duties::shortened(LEASE), ONE.acts);
}

#[test]
fn no_two_owners_and_no_epoch_back_in_any_order() {
    for (what, fleet) in [("one voter", ONE), ("three", THREE)] {
        let checker = fleet.checker().threads(4).target_state_count(most()).spawn_bfs().join();
        checker.assert_no_discovery("one owner at a time");
        checker.assert_no_discovery("no epoch goes back at the receiver");
        assert!(checker.discovery("the duty changes hands").is_some(), "{what}: nothing was tried");
        println!("{what}: {} states, depth {}", checker.unique_state_count(), checker.max_depth());
    }
}

/// Each of these leaves one thing out, and has to be caught.
#[test]
fn mutants_are_caught() {
    let found = |fleet: Fleet, what: &'static str| {
        let wanted = stateright::HasDiscoveries::AnyOf([what].into_iter().collect());
        let checker =
            fleet.checker().threads(4).target_state_count(8_000_000).finish_when(wanted).spawn_bfs();
        let checker = checker.join();
        println!("{what}: {} states", checker.unique_state_count());
        checker.discovery(what).is_some()
    };
    let (one, back) = ("one owner at a time", "no epoch goes back at the receiver");
    assert!(found(Fleet { fenced: false, restarts: false, ..ONE }, back), "no check at the receiver");
    assert!(found(Fleet { acts: LEASE, ..ONE }, one), "no margin for clocks");
    assert!(found(Fleet { silent: false, ..ONE }, one), "a voter that forgets what it promised");
    assert!(found(Fleet { believed: 1, ..THREE }, one), "an owner by one voter's word of three");
}
