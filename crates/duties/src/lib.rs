//! Work that one member of a fleet does on behalf of all (docs/design/ownership.md).
//!
//! A **duty** is named work. The voters, a few of the members, decide who owns which by a log that they agree on; the
//! number of the entry is the assignment's **epoch**. An owner acts only while a majority of voters have promised it,
//! by its own clock, that nobody else may ([`Duties::may_act`], read right before each effect), and tells its epoch with
//! each effect; whoever receives effects remembers the highest and refuses lower ones ([`Fence`]).
//!
//! [`Duties`] has no sockets, no files and no clock: the caller hands in messages, stored records and the time
//! ([`Duties::handle`]), fetches what is to be sent and stored ([`Duties::poll`]), and wakes it at
//! [`Duties::next_timeout`]. Nothing that rests on a record is let out before the caller says that it is stored.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod lease;
mod ledger;
mod log;
mod voter;
mod wire;

pub use lease::{shortened, Fence, Held, Promises, DRIFT_PER_MILLE};
pub use ledger::{Change, Entry, Epoch, Ledger, Life, Owned, DUTIES_MOST, DUTY_MOST};
pub use log::{majority, Log, LogError, LOG_MOST};
pub use voter::{Standing, To};
pub use wire::{Folder, Sender, Unread, Wire, MESSAGE_MOST, VERSION};

use garnettally_model::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use voter::{Voter, Work};

/// Ticks of the voters' clock in a lease.
const TICKS: i64 = 50;
/// A voter that does not answer is asked again after this part of a lease.
const ASK_AGAIN: i64 = 20;
/// A promise is renewed so many times in a lease.
const RENEWALS: i64 = 4;
/// After storing has failed it is tried again after this, doubled each time up to [`RETRY_MOST`].
const RETRY: Micros = Micros(500_000);
/// The longest wait between two tries.
const RETRY_MOST: Micros = Micros(30_000_000);
/// Questions that are open, at the most: an answer to an older one is as good as lost.
const ASKED_MOST: usize = 64;

/// What a member is, and what it is to know.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This life of the member: random, another one at each start.
    pub life: Life,
    /// The voters' numbers, from 1: 1, 3, 5 or 7 of them.
    pub voters: Vec<u64>,
    /// Stands for who is which voter: members with another one are not heard.
    pub roster: u64,
    /// Which of them this member is, if it is one.
    pub me: Option<u64>,
    /// For how long a voter's promise holds, by the voter's clock.
    pub lease: Micros,
    /// The fleet's duties: a voter that leads has them owned.
    pub duties: Vec<String>,
}

/// What the caller hands in.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A message has come.
    Message(Sender, &'a [u8]),
    /// Time has passed.
    Wake,
    /// All records up to this number are stored and synced.
    Stored(u64),
    /// A record could not be stored: a full disk, a folder that is read-only or gone, a sync that failed.
    StoreFailed,
    /// What is stored, after [`Output::Reopen`] or at the start of a voter.
    Opened(&'a [Vec<u8>], Folder),
    /// An operator wants a duty to be owned by this life; 0: by anybody but who owns it.
    Move(&'a str, Life),
    /// The process ends in good order, or is drained: it acts on nothing any more.
    End,
    /// The drain has ended: it may own something again.
    Resume,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send this.
    Send(To, Vec<u8>),
    /// Store this record after those before and sync it, then hand in [`Input::Stored`] with its number.
    Store(u64, Vec<u8>),
    /// Store these records in place of all before, at once or not at all, then hand in [`Input::Stored`].
    Replace(u64, Vec<Vec<u8>>),
    /// Read what is stored, and hand in [`Input::Opened`], or [`Input::StoreFailed`] again.
    Reopen,
    /// Take note.
    Event(Event),
}

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This voter takes part again, or for the first time.
    Votes,
    /// It has stepped down: its records can't be stored.
    SteppedDown,
    /// Its state was lost, or is an old copy: it has to be replaced.
    MayNotVote(Standing),
    /// What is stored can't be read; it takes no part.
    Damaged(String),
    /// The voters have decided, as this one learns.
    Changed(Change),
    /// This life has other voters in its file, or the same in another order; it is not heard.
    OtherVoters(Life),
    /// This member owns another set of duties now.
    Owns(Vec<(String, Epoch)>),
}

/// A member that ends says so once more so many times.
const FAREWELLS: u8 = 4;
/// Lives with other voters that are told of one by one.
const STRANGE_MOST: usize = 64;
/// Records after which all state is stored anew as one.
const RECORDS_MOST: u64 = 4096;

enum Vote {
    /// This member is no voter.
    Never,
    /// It waits for what is stored, since storing failed so many times.
    Down { failures: u32, retry_at: Option<Micros> },
    /// It takes part, as far as its standing allows.
    Up(Box<Voter>),
}

/// One member's part in the fleet's duties.
pub struct Duties {
    set: Settings,
    vote: Vote,
    held: Held,
    ended: bool,
    /// How often it still says so: a word may be lost.
    farewells: u8,
    /// Questions that are open: which voter was asked when.
    asked: BTreeMap<u64, (u64, Micros)>,
    next_question: u64,
    renew_at: Micros,
    /// Who has not answered in this round, and when they are asked again.
    silent: BTreeSet<u64>,
    again_at: Micros,
    tick_at: Micros,
    /// Records handed out, and those stored.
    handed: u64,
    stored: u64,
    since_whole: u64,
    /// What waits for a record to be stored.
    waiting: VecDeque<(u64, Vec<(To, Wire)>)>,
    outputs: VecDeque<Output>,
    told: Standing,
    owns: Vec<(String, Epoch)>,
    dropped: u64,
    /// Lives with other voters that were told of.
    strange: BTreeSet<Life>,
}

impl Duties {
    /// A member that has just started. A voter takes part once [`Input::Opened`] has come.
    pub fn new(set: Settings, now: Micros) -> Duties {
        let held = Held::new(set.lease, set.voters.len());
        let vote = match set.me {
            Some(_) => Vote::Down { failures: 0, retry_at: None },
            None => Vote::Never,
        };
        Duties {
            vote,
            held,
            ended: false,
            farewells: 0,
            asked: BTreeMap::new(),
            next_question: 1,
            renew_at: now,
            silent: BTreeSet::new(),
            again_at: now,
            tick_at: now,
            handed: 0,
            stored: 0,
            since_whole: 0,
            waiting: VecDeque::new(),
            outputs: VecDeque::new(),
            told: Standing::Blank,
            owns: Vec::new(),
            dropped: 0,
            strange: BTreeSet::new(),
            set,
        }
    }

    /// Takes what has come.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) {
        match input {
            Input::Message(from, bytes) => match Wire::of_bytes(self.set.roster, bytes) {
                Ok(message) => self.message(now, from, message),
                Err(why) => {
                    self.dropped += 1;
                    if why == Unread::Roster
                        && self.strange.len() < STRANGE_MOST
                        && self.strange.insert(from.life)
                    {
                        self.outputs.push_back(Output::Event(Event::OtherVoters(from.life)));
                    }
                }
            },
            Input::Wake => self.wake(now),
            Input::Stored(n) => self.has_stored(n),
            Input::StoreFailed => self.step_down(now),
            Input::Opened(records, folder) => self.opened(now, records, folder),
            Input::Move(duty, to) => {
                for voter in self.set.voters.clone() {
                    self.send(To::Voter(voter), &Wire::Move { duty: duty.into(), to });
                }
            }
            Input::End => self.end(now),
            Input::Resume if self.ended => {
                self.ended = false;
                self.next_question += 1;
                self.renew_at = now;
            }
            Input::Resume => {}
        }
    }

    /// The next thing to be done, if there is one.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Input::Wake`] is due.
    pub fn next_timeout(&self) -> Micros {
        let retry = match self.vote {
            Vote::Down { retry_at: Some(at), .. } => at,
            Vote::Up(_) => self.tick_at,
            _ => Micros(i64::MAX),
        };
        if self.ended && self.farewells == 0 {
            retry
        } else {
            let again = if self.silent.is_empty() { Micros(i64::MAX) } else { self.again_at };
            retry.min(self.renew_at).min(again)
        }
    }

    /// The epoch under which this member may act on a duty now; `None`: it may not. To be read right before each effect.
    pub fn may_act(&self, now: Micros, duty: &str) -> Option<Epoch> {
        self.held.may_act(now, duty)
    }

    /// What this member owns, and until when it may act on it.
    pub fn owned(&self) -> impl Iterator<Item = (&str, Epoch, Option<Micros>)> {
        self.held.duties()
    }

    /// What is decided, as far as this member knows: voters know.
    pub fn ledger(&self) -> Option<&Ledger> {
        match &self.vote {
            Vote::Up(v) => Some(v.log().ledger()),
            _ => None,
        }
    }

    /// How this voter stands; `None`: it is none, or has stepped down.
    pub fn standing(&self) -> Option<Standing> {
        match &self.vote {
            Vote::Up(v) => Some(v.standing()),
            _ => None,
        }
    }

    /// Whether this voter puts forward who is to own what.
    pub fn leads(&self) -> bool {
        matches!(&self.vote, Vote::Up(v) if v.leads())
    }

    /// Messages that could not be read.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn message(&mut self, now: Micros, from: Sender, message: Wire) {
        match (message, from.voter) {
            (Wire::Granted { n, upto, clear, owned }, Some(voter)) => {
                // One answer to each question, and from who was asked.
                if self.asked.get(&n).is_some_and(|(to, _)| *to == voter) && !self.ended {
                    if let Some((_, asked)) = self.asked.remove(&n) {
                        self.silent.remove(&voter);
                        self.held.granted(voter, asked, upto, clear, owned);
                        self.tell_owned(now);
                    }
                }
            }
            (Wire::News, Some(_)) => self.renew_at = self.renew_at.min(now),
            (message, _) => self.with_voter(|v, work| v.take(now, from, message, work)),
        }
        if self.renew_at <= now {
            self.wake(now);
        }
    }

    fn tell_owned(&mut self, now: Micros) {
        let owns: Vec<(String, Epoch)> = self.held.duties().map(|(d, e, _)| (d.to_string(), e)).collect();
        if owns != self.owns {
            // Others may wait for our word that we know; and ours may be held back for a moment.
            self.renew_at = now;
            self.owns.clone_from(&owns);
            self.outputs.push_back(Output::Event(Event::Owns(owns)));
        }
    }

    fn wake(&mut self, now: Micros) {
        if let Vote::Down { retry_at: Some(at), .. } = &mut self.vote {
            if *at <= now {
                *at = Micros(i64::MAX);
                self.outputs.push_back(Output::Reopen);
            }
        }
        if self.tick_at <= now {
            self.tick_at = now + Micros((self.set.lease.0 / TICKS).max(1));
            let duties = self.set.duties.clone();
            self.with_voter(|v, work| v.tick(now, &duties, work));
        }
        if self.renew_at <= now && self.ended && self.farewells > 0 {
            self.farewells -= 1;
            self.renew_at = now + Micros((self.set.lease.0 / TICKS).max(1));
            self.say_end();
        }
        if self.renew_at <= now && !self.ended {
            let waits = self.held.duties().any(|(_, _, until)| until.is_none_or(|u| u <= now));
            // While what it owns is held back, it asks as often as voters tick.
            let part = if waits { TICKS } else { RENEWALS };
            self.renew_at = now + Micros((self.set.lease.0 / part).max(1));
            self.again_at = now + Micros((self.set.lease.0 / ASK_AGAIN).max(1));
            self.silent = self.set.voters.iter().copied().collect();
            self.ask(now, self.set.voters.clone());
        } else if self.again_at <= now && !self.ended && !self.silent.is_empty() {
            // A question or its answer may be lost: who has not answered is asked again before the round is over, or bad
            // links alone would end a lease now and then, and with it an ownership.
            self.again_at = now + Micros((self.set.lease.0 / ASK_AGAIN).max(1));
            self.ask(now, self.silent.iter().copied().collect());
        }
    }

    fn ask(&mut self, now: Micros, voters: Vec<u64>) {
        for voter in voters {
            let n = self.next_question;
            self.next_question += 1;
            self.asked.insert(n, (voter, now));
            self.send(To::Voter(voter), &Wire::Renew { n, seen: self.held.seen() });
        }
        while self.asked.len() > ASKED_MOST {
            self.asked.pop_first();
        }
    }

    /// Has the voter do something, and keeps what it says until what it rests on is stored.
    fn with_voter(&mut self, act: impl FnOnce(&mut Voter, &mut Work)) {
        let Vote::Up(voter) = &mut self.vote else { return };
        let mut work = Work::default();
        act(voter, &mut work);
        let standing = voter.standing();
        if let Some(record) = work.record {
            self.handed += 1;
            self.since_whole += 1;
            if self.since_whole >= RECORDS_MOST {
                self.since_whole = 0;
                self.outputs.push_back(Output::Replace(self.handed, voter.whole()));
            } else {
                self.outputs.push_back(Output::Store(self.handed, record));
            }
            voter.has_stored();
        }
        self.outputs.extend(work.changed.into_iter().map(|c| Output::Event(Event::Changed(c))));
        if !work.after.is_empty() {
            self.waiting.push_back((self.handed, work.after));
        }
        if standing != self.told {
            self.told = standing;
            self.outputs.push_back(Output::Event(match standing {
                Standing::Votes => Event::Votes,
                other => Event::MayNotVote(other),
            }));
        }
        self.release();
    }

    fn has_stored(&mut self, n: u64) {
        self.stored = self.stored.max(n.min(self.handed));
        self.release();
    }

    /// Lets out what rests on what is stored.
    fn release(&mut self) {
        while self.waiting.front().is_some_and(|(n, _)| *n <= self.stored) {
            let Some((_, messages)) = self.waiting.pop_front() else { return };
            for (to, message) in messages {
                self.send(to, &message);
            }
        }
    }

    fn send(&mut self, to: To, message: &Wire) {
        self.outputs.push_back(Output::Send(to, message.to_bytes(self.set.roster)));
    }

    /// What can't be stored is not said either: the voter and all it had to say are given up.
    fn step_down(&mut self, now: Micros) {
        let failures = match &self.vote {
            Vote::Never => return,
            Vote::Down { failures, .. } => failures + 1,
            Vote::Up(_) => {
                self.outputs.push_back(Output::Event(Event::SteppedDown));
                1
            }
        };
        self.waiting.clear();
        self.outputs.retain(|o| !matches!(o, Output::Store(..) | Output::Replace(..)));
        let wait = Micros((RETRY.0 << (failures - 1).min(6)).min(RETRY_MOST.0));
        self.vote = Vote::Down { failures, retry_at: Some(now + wait) };
        self.told = Standing::Blank;
    }

    fn opened(&mut self, now: Micros, records: &[Vec<u8>], folder: Folder) {
        let Some(me) = self.set.me else { return };
        // What was handed out before is over: its numbers must not be taken for those of records to come.
        (self.stored, self.since_whole) = (self.handed, records.len() as u64);
        self.waiting.clear();
        match Voter::open(me, self.set.life, &self.set.voters, records, folder, now, self.set.lease) {
            Ok(v) => {
                self.vote = Vote::Up(Box::new(v));
                self.tick_at = now;
                self.with_voter(|_, _| {});
            }
            Err(e) => {
                self.vote = Vote::Down { failures: 0, retry_at: None };
                self.outputs.push_back(Output::Event(Event::Damaged(e.to_string())));
            }
        }
    }

    fn end(&mut self, now: Micros) {
        self.held.end();
        self.ended = true;
        self.asked.clear();
        self.silent.clear();
        self.owns.clear();
        self.farewells = FAREWELLS;
        self.renew_at = now + Micros((self.set.lease.0 / TICKS).max(1));
        self.say_end();
    }

    fn say_end(&mut self) {
        for voter in self.set.voters.clone() {
            self.send(To::Voter(voter), &Wire::End { n: self.next_question });
        }
    }
}
