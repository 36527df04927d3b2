//! Work that one member of a fleet does on behalf of all members (docs/design/ownership.md).
//!
//! A **duty** is a named piece of such work. The voters, a few of the members, assign each duty to an owner
//! through a replicated log; the number of the log entry is the **epoch** of the assignment. An owner acts
//! only while a majority of the voters have promised that no other member may act, with the promise timed by
//! the owner's own clock ([`Duties::may_act`], to be read right before each effect). The owner attaches its
//! epoch to each effect; the receiver of effects remembers the highest epoch and refuses lower ones
//! ([`Fence`]).
//!
//! [`Duties`] has no sockets, no files and no clock: the caller passes in messages, stored records and the
//! time ([`Duties::handle`]), fetches the messages to send and the records to store ([`Duties::poll`]), and
//! calls again at [`Duties::next_timeout`]. A message that depends on a record is not released before the
//! caller reports the record as stored.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod lease;
mod ledger;
mod log;
mod voter;
mod wire;

pub use lease::{owner_lease, Fence, OwnerGrants, Promises, DRIFT_PER_MILLE};
pub use ledger::{Assignment, Change, Entry, Epoch, Ledger, Life, MAX_DUTIES, MAX_DUTY_NAME_BYTES};
pub use log::{majority, Log, LogError, MAX_LOG_ENTRIES};
pub use voter::{Recipient, Standing};
pub use wire::{FolderId, Message, MessageError, Sender, MAX_MESSAGE_BYTES, MESSAGE_VERSION};

use garnettally_model::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use voter::{Voter, VoterOutput};

/// The number of consensus clock ticks in one lease.
const TICKS_PER_LEASE: i64 = 50;
/// A voter that has not answered is asked again after one lease divided by this number.
const RETRIES_PER_LEASE: i64 = 20;
/// The number of times that a member renews its promises within one lease.
const RENEWALS_PER_LEASE: i64 = 4;
/// The wait before the first retry after a storage failure; each further failure doubles it, up to
/// [`MAX_STORE_RETRY`].
const MIN_STORE_RETRY: Micros = Micros(500_000);
/// The longest wait between two attempts to reopen the store.
const MAX_STORE_RETRY: Micros = Micros(30_000_000);
/// The maximum number of unanswered lease requests. An answer to a request dropped beyond this limit is
/// ignored, as if it had been lost.
const MAX_OPEN_REQUESTS: usize = 64;

/// The identity of a member and the configuration of the fleet's duties.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identifies this run of the member's process: a random number drawn at each start.
    pub life: Life,
    /// The voters' numbers, counted from 1; there are 1, 3, 5 or 7 voters.
    pub voters: Vec<u64>,
    /// A hash of the ordered list of voters. Messages from members with a different value are dropped.
    pub roster: u64,
    /// This member's own voter number, or `None` if the member does not vote.
    pub own_voter: Option<u64>,
    /// How long a voter's promise is valid, by the voter's clock.
    pub lease: Micros,
    /// The names of the fleet's duties; the leading voter assigns an owner to each.
    pub duties: Vec<String>,
}

/// An event that the caller reports to [`Duties::handle`].
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A message has arrived from this sender.
    Message(Sender, &'a [u8]),
    /// The time given by [`Duties::next_timeout`] has been reached.
    Wake,
    /// All records up to this number are stored and synced.
    Stored(u64),
    /// A record could not be stored: the disk is full, the folder is read-only or was removed, or a sync
    /// failed.
    StoreFailed,
    /// The stored records and the identifier of their folder, after [`Output::Reopen`] or when a voter
    /// starts.
    Opened(&'a [Vec<u8>], FolderId),
    /// An operator requests that this life owns the duty; 0 stands for any member but the present owner.
    Move(&'a str, Life),
    /// The process shuts down in an orderly way, or is drained: it stops acting on all its duties.
    Leave,
    /// The drain has ended: this member may own duties again.
    Resume,
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this message to the recipient.
    Send(Recipient, Vec<u8>),
    /// Append this record to those stored before and sync it, then report [`Input::Stored`] with its number.
    Store(u64, Vec<u8>),
    /// Replace all stored records by these atomically, then report [`Input::Stored`] with this number.
    Replace(u64, Vec<Vec<u8>>),
    /// Reopen the store and report its records by [`Input::Opened`], or a failure by [`Input::StoreFailed`].
    Reopen,
    /// Log or publish this event; the protocol needs no reaction to it.
    Event(Event),
}

/// A change of state that is reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This voter takes part in votes again, or for the first time.
    VotingStarted,
    /// This voter has stepped down because its records can't be stored.
    SteppedDown,
    /// This voter's state is missing, was lost, or is an old copy. A voter whose state was lost or is an old
    /// copy has to be replaced.
    MayNotVote(Standing),
    /// The stored records can't be decoded, for this reason; the voter takes no part.
    StateUnreadable(String),
    /// The voters have decided on a new owner of a duty, and this voter has learned of it.
    OwnerChanged(Change),
    /// This life's configuration lists other voters, or the same voters in another order; its messages are
    /// dropped.
    VotersMismatch(Life),
    /// The set of duties owned by this member has changed; this is the new set with the epochs.
    OwnedDuties(Vec<(String, Epoch)>),
}

/// How many times a leaving member repeats its leave message, since a message may be lost.
const LEAVE_REPEATS: u8 = 4;
/// The maximum number of lives whose mismatched list of voters is reported with an event each.
const MAX_MISMATCHED_LIVES: usize = 64;
/// The number of appended records after which all stored records are replaced by a snapshot.
const MAX_APPENDED_RECORDS: u64 = 4096;

/// Whether this member votes, and the voter's state if it does.
enum VoterState {
    /// This member is no voter.
    NotAVoter,
    /// The voter waits for its stored records: at the start, or after this number of consecutive storage
    /// failures.
    WaitingForStore { failures: u32, retry_at: Option<Micros> },
    /// The stored records were read; the voter takes part as far as its standing allows.
    Active(Box<Voter>),
}

/// One member's part in the fleet's duties.
pub struct Duties {
    settings: Settings,
    voter_state: VoterState,
    grants: OwnerGrants,
    has_left: bool,
    /// How many more times the leave message is sent, since a message may be lost.
    leave_repeats: u8,
    /// Unanswered lease requests by request number: the voter that was asked, and when.
    open_requests: BTreeMap<u64, (u64, Micros)>,
    next_request: u64,
    /// When the next round of renewals starts, or the next leave message is sent.
    renew_at: Micros,
    /// Voters that have not answered in this round of renewals.
    unanswered: BTreeSet<u64>,
    /// When the voters in `unanswered` are asked again.
    request_retry_at: Micros,
    /// When the next tick of the consensus clock is due.
    tick_at: Micros,
    /// The number of the last record that was passed to the caller for storing.
    records_issued: u64,
    /// The number of the last record that the caller has reported as stored.
    records_stored: u64,
    /// Records appended since the stored records were last replaced by a snapshot.
    records_since_replace: u64,
    /// Messages that may be sent only once the record with this number is stored.
    unsent: VecDeque<(u64, Vec<(Recipient, Message)>)>,
    outputs: VecDeque<Output>,
    /// The standing that was last reported by an event.
    reported_standing: Standing,
    /// The owned duties that were last reported by an event.
    reported_owned: Vec<(String, Epoch)>,
    dropped_messages: u64,
    /// Lives whose mismatched list of voters has been reported.
    mismatched_lives: BTreeSet<Life>,
}

impl Duties {
    /// Creates the state of a member that has just started. A voter takes part only after [`Input::Opened`].
    pub fn new(settings: Settings, now: Micros) -> Duties {
        let grants = OwnerGrants::new(settings.lease, settings.voters.len());
        let voter_state = match settings.own_voter {
            Some(_) => VoterState::WaitingForStore { failures: 0, retry_at: None },
            None => VoterState::NotAVoter,
        };
        Duties {
            voter_state,
            grants,
            has_left: false,
            leave_repeats: 0,
            open_requests: BTreeMap::new(),
            next_request: 1,
            renew_at: now,
            unanswered: BTreeSet::new(),
            request_retry_at: now,
            tick_at: now,
            records_issued: 0,
            records_stored: 0,
            records_since_replace: 0,
            unsent: VecDeque::new(),
            outputs: VecDeque::new(),
            reported_standing: Standing::NoState,
            reported_owned: Vec::new(),
            dropped_messages: 0,
            mismatched_lives: BTreeSet::new(),
            settings,
        }
    }

    /// Processes one input; the resulting actions are then fetched with [`Duties::poll`].
    pub fn handle(&mut self, now: Micros, input: Input<'_>) {
        match input {
            Input::Message(from, bytes) => match Message::from_bytes(self.settings.roster, bytes) {
                Ok(message) => self.handle_message(now, from, message),
                Err(why) => {
                    self.dropped_messages += 1;
                    if why == MessageError::OtherRoster
                        && self.mismatched_lives.len() < MAX_MISMATCHED_LIVES
                        && self.mismatched_lives.insert(from.life)
                    {
                        self.outputs.push_back(Output::Event(Event::VotersMismatch(from.life)));
                    }
                }
            },
            Input::Wake => self.handle_timers(now),
            Input::Stored(n) => self.record_stored(n),
            Input::StoreFailed => self.step_down(now),
            Input::Opened(records, folder) => self.open_voter(now, records, folder),
            Input::Move(duty, to) => {
                for voter in self.settings.voters.clone() {
                    self.send(Recipient::Voter(voter), &Message::MoveDuty { duty: duty.into(), to });
                }
            }
            Input::Leave => self.leave(now),
            Input::Resume if self.has_left => {
                self.has_left = false;
                self.next_request += 1;
                self.renew_at = now;
            }
            Input::Resume => {}
        }
    }

    /// Returns the next action for the caller, or `None` if no action is pending.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the time at which [`Input::Wake`] is due.
    pub fn next_timeout(&self) -> Micros {
        let retry = match self.voter_state {
            VoterState::WaitingForStore { retry_at: Some(at), .. } => at,
            VoterState::Active(_) => self.tick_at,
            _ => Micros(i64::MAX),
        };
        if self.has_left && self.leave_repeats == 0 {
            retry
        } else {
            let request_retry =
                if self.unanswered.is_empty() { Micros(i64::MAX) } else { self.request_retry_at };
            retry.min(self.renew_at).min(request_retry)
        }
    }

    /// Returns the epoch under which this member may act on a duty now, or `None` if it may not act. The
    /// caller has to read it right before each effect.
    pub fn may_act(&self, now: Micros, duty: &str) -> Option<Epoch> {
        self.grants.may_act(now, duty)
    }

    /// Returns the duties that this member owns, with the epoch and the time until which it may act on each.
    pub fn owned(&self) -> impl Iterator<Item = (&str, Epoch, Option<Micros>)> {
        self.grants.duties()
    }

    /// Returns the assignments decided so far, as known to this member. Only an active voter has a ledger.
    pub fn ledger(&self) -> Option<&Ledger> {
        match &self.voter_state {
            VoterState::Active(v) => Some(v.log().ledger()),
            _ => None,
        }
    }

    /// Returns this voter's standing, or `None` if this member is not a voter or has stepped down.
    pub fn standing(&self) -> Option<Standing> {
        match &self.voter_state {
            VoterState::Active(v) => Some(v.standing()),
            _ => None,
        }
    }

    /// Whether this voter is the leader, which proposes the owners of duties.
    pub fn is_leader(&self) -> bool {
        matches!(&self.voter_state, VoterState::Active(v) if v.is_leader())
    }

    /// Returns the number of received messages that were dropped because they could not be decoded.
    pub fn dropped_messages(&self) -> u64 {
        self.dropped_messages
    }

    fn handle_message(&mut self, now: Micros, from: Sender, message: Message) {
        match (message, from.voter) {
            (Message::LeaseGranted { request_id, decided_upto, effective_upto, owned }, Some(voter)) => {
                // Only one answer to each request counts, and only from the voter that was asked.
                if self.open_requests.get(&request_id).is_some_and(|(to, _)| *to == voter) && !self.has_left {
                    if let Some((_, requested_at)) = self.open_requests.remove(&request_id) {
                        self.unanswered.remove(&voter);
                        self.grants.record_grant(voter, requested_at, decided_upto, effective_upto, owned);
                        self.report_owned(now);
                    }
                }
            }
            (Message::AssignmentChanged, Some(_)) => self.renew_at = self.renew_at.min(now),
            (message, _) => self.with_voter(|v, output| v.handle_message(now, from, message, output)),
        }
        if self.renew_at <= now {
            self.handle_timers(now);
        }
    }

    fn report_owned(&mut self, now: Micros) {
        let owned: Vec<(String, Epoch)> = self.grants.duties().map(|(d, e, _)| (d.to_string(), e)).collect();
        if owned != self.reported_owned {
            // A renewal at once tells the voters that this member knows its duties: a new owner may be
            // waiting for that, and this member's own grants may still be held back for the former owner.
            self.renew_at = now;
            self.reported_owned.clone_from(&owned);
            self.outputs.push_back(Output::Event(Event::OwnedDuties(owned)));
        }
    }

    fn handle_timers(&mut self, now: Micros) {
        if let VoterState::WaitingForStore { retry_at: Some(at), .. } = &mut self.voter_state {
            if *at <= now {
                *at = Micros(i64::MAX);
                self.outputs.push_back(Output::Reopen);
            }
        }
        if self.tick_at <= now {
            self.tick_at = now + Micros((self.settings.lease.0 / TICKS_PER_LEASE).max(1));
            let duties = self.settings.duties.clone();
            self.with_voter(|v, output| v.tick(now, &duties, output));
        }
        if self.renew_at <= now && self.has_left && self.leave_repeats > 0 {
            self.leave_repeats -= 1;
            self.renew_at = now + Micros((self.settings.lease.0 / TICKS_PER_LEASE).max(1));
            self.send_leave();
        }
        if self.renew_at <= now && !self.has_left {
            let any_held_back = self.grants.duties().any(|(_, _, until)| until.is_none_or(|u| u <= now));
            // While the grant of an owned duty is held back, renewals are sent as often as the voters tick.
            let rounds_per_lease = if any_held_back { TICKS_PER_LEASE } else { RENEWALS_PER_LEASE };
            self.renew_at = now + Micros((self.settings.lease.0 / rounds_per_lease).max(1));
            self.request_retry_at = now + Micros((self.settings.lease.0 / RETRIES_PER_LEASE).max(1));
            self.unanswered = self.settings.voters.iter().copied().collect();
            self.request_renewal(now, self.settings.voters.clone());
        } else if self.request_retry_at <= now && !self.has_left && !self.unanswered.is_empty() {
            // A request or its answer may be lost. Voters that have not answered are asked again before the
            // round is over; otherwise lossy links alone would occasionally let a lease expire, and the
            // ownership with it.
            self.request_retry_at = now + Micros((self.settings.lease.0 / RETRIES_PER_LEASE).max(1));
            self.request_renewal(now, self.unanswered.iter().copied().collect());
        }
    }

    fn request_renewal(&mut self, now: Micros, voters: Vec<u64>) {
        for voter in voters {
            let request_id = self.next_request;
            self.next_request += 1;
            self.open_requests.insert(request_id, (voter, now));
            self.send(
                Recipient::Voter(voter),
                &Message::RenewLease { request_id, known_upto: self.grants.known_upto() },
            );
        }
        while self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_first();
        }
    }

    /// Runs an action on the voter, and keeps its messages until the record that they depend on is stored.
    fn with_voter(&mut self, act: impl FnOnce(&mut Voter, &mut VoterOutput)) {
        let VoterState::Active(voter) = &mut self.voter_state else { return };
        let mut output = VoterOutput::default();
        act(voter, &mut output);
        let standing = voter.standing();
        if let Some(record) = output.record {
            self.records_issued += 1;
            self.records_since_replace += 1;
            if self.records_since_replace >= MAX_APPENDED_RECORDS {
                self.records_since_replace = 0;
                self.outputs.push_back(Output::Replace(self.records_issued, voter.all_records()));
            } else {
                self.outputs.push_back(Output::Store(self.records_issued, record));
            }
            voter.record_stored();
        }
        self.outputs.extend(output.changes.into_iter().map(|c| Output::Event(Event::OwnerChanged(c))));
        if !output.messages.is_empty() {
            self.unsent.push_back((self.records_issued, output.messages));
        }
        if standing != self.reported_standing {
            self.reported_standing = standing;
            self.outputs.push_back(Output::Event(match standing {
                Standing::Voting => Event::VotingStarted,
                other => Event::MayNotVote(other),
            }));
        }
        self.send_unsent();
    }

    fn record_stored(&mut self, n: u64) {
        self.records_stored = self.records_stored.max(n.min(self.records_issued));
        self.send_unsent();
    }

    /// Sends the pending messages whose records are stored.
    fn send_unsent(&mut self) {
        while self.unsent.front().is_some_and(|(n, _)| *n <= self.records_stored) {
            let Some((_, messages)) = self.unsent.pop_front() else { return };
            for (to, message) in messages {
                self.send(to, &message);
            }
        }
    }

    fn send(&mut self, to: Recipient, message: &Message) {
        self.outputs.push_back(Output::Send(to, message.to_bytes(self.settings.roster)));
    }

    /// Drops the voter with its pending messages after a storage failure: a message must not be sent when the
    /// record that it depends on can't be stored.
    fn step_down(&mut self, now: Micros) {
        let failures = match &self.voter_state {
            VoterState::NotAVoter => return,
            VoterState::WaitingForStore { failures, .. } => failures + 1,
            VoterState::Active(_) => {
                self.outputs.push_back(Output::Event(Event::SteppedDown));
                1
            }
        };
        self.unsent.clear();
        self.outputs.retain(|o| !matches!(o, Output::Store(..) | Output::Replace(..)));
        let wait = Micros((MIN_STORE_RETRY.0 << (failures - 1).min(6)).min(MAX_STORE_RETRY.0));
        self.voter_state = VoterState::WaitingForStore { failures, retry_at: Some(now + wait) };
        self.reported_standing = Standing::NoState;
    }

    fn open_voter(&mut self, now: Micros, records: &[Vec<u8>], folder: FolderId) {
        let Some(own_voter) = self.settings.own_voter else { return };
        // Records issued before the reopening no longer count: their numbers must not be confused with those
        // of later records.
        (self.records_stored, self.records_since_replace) = (self.records_issued, records.len() as u64);
        self.unsent.clear();
        match Voter::open(
            own_voter,
            self.settings.life,
            &self.settings.voters,
            records,
            folder,
            now,
            self.settings.lease,
        ) {
            Ok(v) => {
                self.voter_state = VoterState::Active(Box::new(v));
                self.tick_at = now;
                self.with_voter(|_, _| {});
            }
            Err(e) => {
                self.voter_state = VoterState::WaitingForStore { failures: 0, retry_at: None };
                self.outputs.push_back(Output::Event(Event::StateUnreadable(e.to_string())));
            }
        }
    }

    fn leave(&mut self, now: Micros) {
        self.grants.release_all();
        self.has_left = true;
        self.open_requests.clear();
        self.unanswered.clear();
        self.reported_owned.clear();
        self.leave_repeats = LEAVE_REPEATS;
        self.renew_at = now + Micros((self.settings.lease.0 / TICKS_PER_LEASE).max(1));
        self.send_leave();
    }

    fn send_leave(&mut self) {
        for voter in self.settings.voters.clone() {
            self.send(Recipient::Voter(voter), &Message::Leave { request_id: self.next_request });
        }
    }
}
