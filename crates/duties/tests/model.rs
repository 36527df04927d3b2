//! A model check of leases, epochs and the receiver's fence. It explores every order of events up to a depth:
//! messages that are lost, repeated or reordered, owners that pause between the check and the effect, voters
//! that restart, and clocks at both limits of the margin for drift. The leases and the fence are the crate's
//! own code.

use garnettally_duties::{Change, Epoch, Fence, OwnerGrants, Promises};
use garnettally_model::Micros;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const DUTY: &str = "d";
/// A lease by a voter's clock, in microseconds. On a clock that is a tenth fast, 11 units pass in 10 units of
/// true time.
const LEASE: Micros = Micros(1_100);
/// The length of one step of true time, in microseconds.
const STEP_MICROS: i64 = 500;
/// The rate of the voters' clocks in parts per thousand: as fast as the margin allows, which is the worst
/// case.
const FAST_RATE: i64 = 1_100;
/// The rate of the owners' clocks in parts per thousand: as slow as the margin allows, which is the worst
/// case.
const SLOW_RATE: i64 = 900;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Renew {
        owner: u64,
        voter: usize,
        requested_at: Micros,
        known_upto: u64,
    },
    Grant {
        owner: u64,
        voter: usize,
        requested_at: Micros,
        decided_upto: u64,
        effective_upto: Option<Epoch>,
        owned: Vec<(String, Epoch)>,
    },
    Effect {
        epoch: Epoch,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    promises: Promises,
    /// The number of log entries that the voter knows.
    known_entries: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The number of steps of true time so far.
    time: i64,
    /// The owner of the duty by each log entry. There is one list for all voters, since consensus decides it.
    log: Vec<u64>,
    voters: Vec<Voter>,
    owners: Vec<OwnerGrants>,
    /// For each owner, the epoch in which it was allowed to act when it last checked, if it has not acted
    /// since.
    pending_effect: Vec<Option<Epoch>>,
    /// Messages on their way.
    messages: BTreeSet<Message>,
    fence: Fence,
    /// The highest epoch that the receiver has accepted.
    highest_epoch: Epoch,
    /// The receiver has accepted an epoch below one that it had accepted before.
    epoch_went_back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum FleetAction {
    AdvanceTime,
    /// The voters decide that this owner gets the duty.
    Decide(u64),
    /// A voter learns of the next log entry.
    LearnEntry(usize),
    /// An owner asks a voter for a lease.
    RequestLease(u64, usize),
    /// A message arrives; if the flag is set, it will arrive again.
    Deliver(Message, bool),
    DropMessage(Message),
    /// An owner reads whether it may act.
    CheckMayAct(u64),
    /// An owner acts after its check.
    SendEffect(u64),
    RestartVoter(usize),
}

/// The bounds of the exploration, and the parts of the protocol that a mutant leaves out.
struct Fleet {
    /// How long an owner acts on a lease, by its own clock; the mutant uses no margin for drift.
    owner_lease: Micros,
    /// Whether the receiver refuses old epochs; the mutant does not.
    fenced: bool,
    /// Whether a restarted voter makes no promises for the length of a lease; the mutant does not wait.
    restart_waits: bool,
    /// The maximum number of steps of true time.
    steps: i64,
    /// The maximum number of log entries.
    entries: usize,
    /// Whether the first voter may restart.
    restarts: bool,
    voters: usize,
    /// The number of voters of which owners require a majority; the mutant assumes too few.
    believed_voters: usize,
    /// Lease requests and answers take no time and can only be lost, so that more of the other behaviour is
    /// explored.
    instant_requests: bool,
}

/// Returns the reading of a clock with this rate after `time` steps of true time.
fn clock(time: i64, rate: i64) -> Micros {
    Micros(time * STEP_MICROS * rate / 1_000)
}

impl Fleet {
    fn voter_clock(&self, s: &State) -> Micros {
        clock(s.time, FAST_RATE)
    }
    fn owner_clock(&self, s: &State) -> Micros {
        clock(s.time, SLOW_RATE)
    }
}

/// Answers a lease request as `voter.rs` does, for a single duty.
fn answer_request(s: &mut State, now: Micros, message: Message) -> Option<Message> {
    let Message::Renew { owner, voter, requested_at, known_upto } = message else { return None };
    let v = &mut s.voters[voter];
    let promised = v.promises.renew(now, owner, known_upto).is_some();
    let decided_upto = v.known_entries;
    let is_owner = s.log[decided_upto as usize - 1] == owner;
    let held_back = is_owner && v.promises.is_held_back(now, DUTY, owner);
    let effective_upto = promised.then_some(if held_back { decided_upto - 1 } else { u64::MAX });
    let owned = if is_owner { vec![(DUTY.to_string(), decided_upto)] } else { Vec::new() };
    Some(Message::Grant { owner, voter, requested_at, decided_upto, effective_upto, owned })
}

/// Records a voter's answer at the owner that has asked.
fn apply_grant(s: &mut State, message: Message) {
    if let Message::Grant { owner, voter, requested_at, decided_upto, effective_upto, owned } = message {
        s.owners[owner as usize - 1].record_grant(
            voter as u64,
            requested_at,
            decided_upto,
            effective_upto,
            Some(owned),
        );
    }
}

impl Model for Fleet {
    type State = State;
    type Action = FleetAction;

    fn init_states(&self) -> Vec<State> {
        // The voters started one lease ago, so that they may make promises.
        let voter = Voter { promises: Promises::new(Micros(-LEASE.0), LEASE), known_entries: 1 };
        let no_grants = || OwnerGrants::with_owner_lease(self.owner_lease, self.believed_voters);
        vec![State {
            time: 0,
            log: vec![1],
            voters: vec![voter; self.voters],
            owners: vec![no_grants(), no_grants()],
            pending_effect: vec![None, None],
            messages: BTreeSet::new(),
            fence: Fence::default(),
            highest_epoch: 0,
            epoch_went_back: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<FleetAction>) {
        if s.time < self.steps {
            actions.push(FleetAction::AdvanceTime);
        }
        if s.log.len() < self.entries {
            // The duty goes to the other one of the two owners.
            actions.push(FleetAction::Decide(3 - s.log[s.log.len() - 1]));
        }
        for (v, voter) in s.voters.iter().enumerate() {
            if (voter.known_entries as usize) < s.log.len() {
                actions.push(FleetAction::LearnEntry(v));
            }
            if self.restarts && voter.promises.may_promise(self.voter_clock(s)) && s.time > 0 && v == 0 {
                actions.push(FleetAction::RestartVoter(v));
            }
            for owner in 1..=2 {
                if s.messages.len() < 2 {
                    actions.push(FleetAction::RequestLease(owner, v));
                }
            }
        }
        for message in &s.messages {
            actions.push(FleetAction::Deliver(message.clone(), false));
            actions.push(FleetAction::DropMessage(message.clone()));
            if matches!(message, Message::Effect { .. }) {
                actions.push(FleetAction::Deliver(message.clone(), true));
            }
        }
        for owner in 1..=2u64 {
            let i = owner as usize - 1;
            match s.pending_effect[i] {
                Some(_) if s.messages.len() < 3 => actions.push(FleetAction::SendEffect(owner)),
                None if s.owners[i].may_act(self.owner_clock(s), DUTY).is_some() => {
                    actions.push(FleetAction::CheckMayAct(owner))
                }
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &State, action: FleetAction) -> Option<State> {
        let mut s = last.clone();
        let (voter_time, owner_time) = (self.voter_clock(last), self.owner_clock(last));
        match action {
            FleetAction::AdvanceTime => s.time += 1,
            FleetAction::Decide(owner) => s.log.push(owner),
            FleetAction::LearnEntry(v) => {
                let voter = &mut s.voters[v];
                let at = voter.known_entries as usize;
                let change =
                    Change { duty: DUTY.into(), from: s.log[at - 1], to: s.log[at], epoch: at as u64 + 1 };
                voter.known_entries += 1;
                voter.promises.record_change(voter_time, &change);
            }
            FleetAction::RequestLease(owner, voter) => {
                let known_upto = s.owners[owner as usize - 1].known_upto();
                let message = Message::Renew { owner, voter, requested_at: owner_time, known_upto };
                if self.instant_requests {
                    let grant = answer_request(&mut s, voter_time, message)?;
                    apply_grant(&mut s, grant);
                } else if !s.messages.insert(message) {
                    return None;
                }
            }
            FleetAction::DropMessage(message) => {
                s.messages.remove(&message);
            }
            FleetAction::Deliver(message, repeated) => {
                if !repeated {
                    s.messages.remove(&message);
                }
                match message {
                    Message::Renew { .. } => {
                        let grant = answer_request(&mut s, voter_time, message)?;
                        s.messages.insert(grant);
                    }
                    Message::Grant { .. } => apply_grant(&mut s, message),
                    Message::Effect { epoch } => {
                        if !self.fenced || s.fence.admits(DUTY, epoch) {
                            s.epoch_went_back |= epoch < s.highest_epoch;
                            s.highest_epoch = s.highest_epoch.max(epoch);
                        }
                    }
                }
            }
            FleetAction::CheckMayAct(owner) => {
                let i = owner as usize - 1;
                s.pending_effect[i] = s.owners[i].may_act(owner_time, DUTY);
            }
            FleetAction::SendEffect(owner) => {
                let epoch = s.pending_effect[owner as usize - 1].take()?;
                s.messages.insert(Message::Effect { epoch });
            }
            FleetAction::RestartVoter(v) => {
                // A restarted voter has read the decided entries again, but does not know its earlier
                // promises.
                let from = if self.restart_waits { voter_time } else { Micros(voter_time.0 - LEASE.0) };
                s.voters[v].promises = Promises::new(from, LEASE);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one owner at a time", |m: &Fleet, s: &State| {
                let now = m.owner_clock(s);
                s.owners.iter().filter(|o| o.may_act(now, DUTY).is_some()).count() <= 1
            }),
            Property::always("no epoch goes back at the receiver", |_: &Fleet, s: &State| !s.epoch_went_back),
            Property::sometimes("the duty changes hands", |m: &Fleet, s: &State| {
                s.owners[1].may_act(m.owner_clock(s), DUTY).is_some()
            }),
        ]
    }
}

/// One voter, and messages with any delay.
const ONE_VOTER: Fleet = Fleet {
    owner_lease: Micros(900),
    fenced: true,
    restart_waits: true,
    steps: 3,
    entries: 2,
    restarts: true,
    voters: 1,
    believed_voters: 1,
    instant_requests: false,
};
/// Three voters that learn of log entries at different times.
const THREE_VOTERS: Fleet =
    Fleet { voters: 3, believed_voters: 3, instant_requests: true, entries: 3, steps: 4, ..ONE_VOTER };

/// Returns the number of states to explore; the environment variable `DUTIES_STATES` overrides the number for
/// CI.
fn max_states() -> usize {
    std::env::var("DUTIES_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(300_000)
}

#[test]
fn the_models_owner_lease_equals_that_of_the_crate() {
    assert_eq!(garnettally_duties::owner_lease(LEASE), ONE_VOTER.owner_lease);
}

#[test]
fn in_any_order_of_events_there_is_one_owner_at_a_time_and_epochs_never_go_back() {
    for (what, fleet) in [("one voter", ONE_VOTER), ("three voters", THREE_VOTERS)] {
        let checker = fleet.checker().threads(4).target_state_count(max_states()).spawn_bfs().join();
        checker.assert_no_discovery("one owner at a time");
        checker.assert_no_discovery("no epoch goes back at the receiver");
        assert!(
            checker.discovery("the duty changes hands").is_some(),
            "{what}: the duty never changed hands, so nothing was checked"
        );
        println!("{what}: {} states, depth {}", checker.unique_state_count(), checker.max_depth());
    }
}

/// Each mutant leaves out one part of the protocol; the check has to find a violation in each.
#[test]
fn a_protocol_with_any_one_safeguard_left_out_violates_a_property() {
    let found = |fleet: Fleet, property: &'static str| {
        let wanted = stateright::HasDiscoveries::AnyOf([property].into_iter().collect());
        let checker =
            fleet.checker().threads(4).target_state_count(8_000_000).finish_when(wanted).spawn_bfs();
        let checker = checker.join();
        println!("{property}: {} states", checker.unique_state_count());
        checker.discovery(property).is_some()
    };
    let (single_owner, no_old_epoch) = ("one owner at a time", "no epoch goes back at the receiver");
    assert!(
        found(Fleet { fenced: false, restarts: false, ..ONE_VOTER }, no_old_epoch),
        "no violation found without a check at the receiver"
    );
    assert!(
        found(Fleet { owner_lease: LEASE, ..ONE_VOTER }, single_owner),
        "no violation found without a margin for clock drift"
    );
    assert!(
        found(Fleet { restart_waits: false, ..ONE_VOTER }, single_owner),
        "no violation found with a restarted voter that does not wait"
    );
    assert!(
        found(Fleet { believed_voters: 1, ..THREE_VOTERS }, single_owner),
        "no violation found with owners that need one voter of three"
    );
}
