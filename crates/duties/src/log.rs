//! The log that the voters agree on, by `omnipaxos`; one voter alone needs nobody's word.
//!
//! The library writes to a mirror in memory that cannot fail, and every change is noted as a record. Whoever drives this
//! stores the records first, and only then lets out what was to be sent: nothing is promised before it is stored. Where
//! storing fails, the whole log is dropped with what it had to say, and read anew from what is stored.
//!
//! The log is made short by trimming what all voters have, and keeping the ledger that it came to. The library's
//! snapshots are not used: 0.2.4 raises its decided index before it makes a snapshot of its own part to merge a
//! difference into (`InternalStorage::sync_log`), so that entries are lost or doubled; drawn schedule 1002 showed it.

use crate::ledger::{Change, Entry, Ledger};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;
use thiserror::Error;

/// Entries that are proposed and not yet decided, at the most.
const OPEN_MOST: usize = 256;
/// After so many entries the log is made short,
const LONG: u64 = 64;
/// and past this, which takes a voter that is gone for good, nothing more is put forward.
pub const LOG_MOST: usize = 4_096;
/// Ticks between two rounds of heartbeats, by which voters tell whether the first among them is there.
const ELECTION_TICKS: u64 = 5;
/// Ticks after which a message without an answer goes again.
const RESEND_TICKS: u64 = 10;

/// One change of what is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Op {
    Append(Vec<Entry>),
    AppendFrom(u64, Vec<Entry>),
    Promise(Ballot),
    Decided(u64),
    Accepted(Ballot),
    Compacted(u64),
    Trim(u64),
}

/// What is stored, as the library wants to see it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Mirror {
    log: Vec<Entry>,
    /// Entries that are no longer in `log`.
    trimmed: u64,
    promise: Option<Ballot>,
    decided: u64,
    accepted: Option<Ballot>,
    compacted: u64,
    /// What the entries that are no longer in `log` have come to.
    base: Ledger,
    #[serde(skip)]
    ops: Vec<Op>,
}

impl Mirror {
    fn take(&mut self, op: &Op) {
        match op {
            Op::Append(entries) => self.log.extend_from_slice(entries),
            Op::AppendFrom(from, entries) => {
                self.log.truncate(from.saturating_sub(self.trimmed) as usize);
                self.log.extend_from_slice(entries);
            }
            Op::Promise(b) => self.promise = Some(*b),
            Op::Decided(n) => self.decided = *n,
            Op::Accepted(b) => self.accepted = Some(*b),
            Op::Compacted(n) => self.compacted = *n,
            Op::Trim(n) => {
                let gone = (n.saturating_sub(self.trimmed) as usize).min(self.log.len());
                for entry in self.log.drain(..gone) {
                    self.base.apply(&entry);
                }
                self.trimmed += gone as u64;
            }
        }
    }

    fn note(&mut self, op: Op) {
        self.take(&op);
        self.ops.push(op);
    }

    fn range(&self, from: usize, to: usize) -> Vec<Entry> {
        let at = |n: usize| (n as u64).checked_sub(self.trimmed).map(|n| n as usize);
        let part = at(from).zip(at(to)).and_then(|(from, to)| self.log.get(from..to));
        part.map_or_else(Vec::new, <[Entry]>::to_vec)
    }
}

/// The mirror, shared with whoever stores it.
#[derive(Clone, Default)]
struct Shared(Rc<RefCell<Mirror>>);

impl Shared {
    fn note(&self, op: Op) -> StorageResult<()> {
        self.0.borrow_mut().note(op);
        Ok(())
    }
}

impl Storage<Entry> for Shared {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(e) => self.append_entry(e)?,
                StorageOp::AppendEntries(e) => self.append_entries(e)?,
                StorageOp::AppendOnPrefix(from, e) => self.append_on_prefix(from, e)?,
                StorageOp::SetPromise(b) => self.set_promise(b)?,
                StorageOp::SetDecidedIndex(n) => self.set_decided_idx(n)?,
                StorageOp::SetAcceptedRound(b) => self.set_accepted_round(b)?,
                StorageOp::SetCompactedIdx(n) => self.set_compacted_idx(n)?,
                StorageOp::Trim(n) => self.trim(n)?,
                StorageOp::SetStopsign(s) => self.set_stopsign(s)?,
                StorageOp::SetSnapshot(_) => {}
            }
        }
        Ok(())
    }
    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.note(Op::Append(vec![entry]))
    }
    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        self.note(Op::Append(entries))
    }
    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.note(Op::AppendFrom(from as u64, entries))
    }
    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.note(Op::Promise(ballot))
    }
    fn set_decided_idx(&mut self, n: usize) -> StorageResult<()> {
        self.note(Op::Decided(n as u64))
    }
    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().decided as usize)
    }
    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.note(Op::Accepted(ballot))
    }
    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().accepted)
    }
    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.0.borrow().range(from, to))
    }
    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().log.len())
    }
    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let m = self.0.borrow();
        let end = m.trimmed as usize + m.log.len();
        Ok(m.range(from, end.max(from)))
    }
    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().promise)
    }
    fn set_stopsign(&mut self, _: Option<StopSign>) -> StorageResult<()> {
        Ok(())
    }
    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }
    fn trim(&mut self, n: usize) -> StorageResult<()> {
        self.note(Op::Trim(n as u64))
    }
    fn set_compacted_idx(&mut self, n: usize) -> StorageResult<()> {
        self.note(Op::Compacted(n as u64))
    }
    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().compacted as usize)
    }
    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }
    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}

/// Why a log can't be opened, or a message not be taken.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum LogError {
    /// The voters of the configuration make no sense.
    #[error("voters: {0}")]
    Voters(String),
    /// A stored record can't be read.
    #[error("record {0} of the voter's state can't be read")]
    Record(usize),
    /// A message can't be read, or is not for this voter.
    #[error("a voter's message that makes no sense")]
    Message,
}

/// What one voter holds of the log.
pub struct Log {
    me: u64,
    voters: Vec<u64>,
    mirror: Shared,
    /// `None`: this voter is the only one.
    paxos: Option<OmniPaxos<Entry, Shared>>,
    ledger: Ledger,
    open: usize,
}

/// The least of voters that decide, and that promise.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

impl Log {
    /// A voter's log, from what it has stored, in order. Voters are numbered from 1.
    pub fn open(me: u64, voters: &[u64], records: &[Vec<u8>]) -> Result<Log, LogError> {
        let mut sorted = voters.to_vec();
        sorted.sort_unstable();
        sorted.dedup();
        if !matches!(sorted.len(), 1 | 3 | 5 | 7) || sorted.len() != voters.len() || sorted[0] == 0 {
            return Err(LogError::Voters(format!("{} of them; there may be 1, 3, 5 or 7", voters.len())));
        }
        if !sorted.contains(&me) {
            return Err(LogError::Voters(format!("{me} is not one of them")));
        }
        let mut mirror = Mirror::default();
        for (n, record) in records.iter().enumerate() {
            let (kind, rest) = record.split_first().ok_or(LogError::Record(n))?;
            match kind {
                0 => mirror = postcard::from_bytes(rest).map_err(|_| LogError::Record(n))?,
                1 => {
                    let ops: Vec<Op> = postcard::from_bytes(rest).map_err(|_| LogError::Record(n))?;
                    ops.iter().for_each(|op| mirror.take(op));
                }
                _ => return Err(LogError::Record(n)),
            }
        }
        let ledger = mirror.base.clone();
        let mirror = Shared(Rc::new(RefCell::new(mirror)));
        let paxos = match sorted.len() {
            1 => None,
            _ => Some(build(me, &sorted, mirror.clone())?),
        };
        let mut log = Log { me, voters: sorted, mirror, paxos, ledger, open: 0 };
        log.decided();
        Ok(log)
    }

    /// Time has passed: one tick.
    pub fn tick(&mut self) {
        if let Some(p) = &mut self.paxos {
            p.tick();
        }
    }

    /// Another voter's message.
    pub fn take(&mut self, from: u64, bytes: &[u8]) -> Result<(), LogError> {
        let message: Message<Entry> = postcard::from_bytes(bytes).map_err(|_| LogError::Message)?;
        let known = self.voters.contains(&from) && from != self.me;
        if !known || message.get_sender() != from || message.get_receiver() != self.me {
            return Err(LogError::Message);
        }
        if let Some(p) = &mut self.paxos {
            p.handle_incoming(message);
        }
        Ok(())
    }

    /// Puts an entry forward. `false`: too many are open.
    pub fn propose(&mut self, entry: Entry) -> bool {
        if self.open >= OPEN_MOST || self.mirror.0.borrow().log.len() >= LOG_MOST {
            return false;
        }
        self.open += 1;
        match &mut self.paxos {
            Some(p) => p.append(entry).is_ok(),
            None => {
                let n = {
                    let mut m = self.mirror.0.borrow_mut();
                    m.note(Op::Append(vec![entry]));
                    m.trimmed + m.log.len() as u64
                };
                self.mirror.0.borrow_mut().note(Op::Decided(n));
                true
            }
        }
    }

    /// Whether this voter is the one who puts entries forward.
    pub fn leads(&self) -> bool {
        self.paxos.as_ref().is_none_or(|p| p.get_current_leader() == Some((self.me, true)))
    }

    /// Who is, as far as it is known.
    pub fn leader(&self) -> Option<u64> {
        match &self.paxos {
            None => Some(self.me),
            Some(p) => p.get_current_leader().map(|(pid, _)| pid),
        }
    }

    /// What has to be stored before [`Log::messages`] may be fetched: one record, if there is any.
    pub fn record(&mut self) -> Option<Vec<u8>> {
        let ops = std::mem::take(&mut self.mirror.0.borrow_mut().ops);
        if ops.is_empty() {
            return None;
        }
        let mut out = vec![1];
        // Plain data into memory: there is nothing that could fail.
        out.extend(postcard::to_allocvec(&ops).unwrap_or_default());
        Some(out)
    }

    /// All that is stored as one record, in place of those before.
    pub fn whole(&self) -> Vec<u8> {
        let mut out = vec![0];
        out.extend(postcard::to_allocvec(&*self.mirror.0.borrow()).unwrap_or_default());
        out
    }

    /// What is to be sent, by voter.
    pub fn messages(&mut self) -> Vec<(u64, Vec<u8>)> {
        let mut out = Vec::new();
        if let Some(p) = &mut self.paxos {
            p.take_outgoing_messages(&mut out);
        }
        let encoded = out.into_iter().map(|m| (m.get_receiver(), postcard::to_allocvec(&m)));
        encoded.filter_map(|(to, bytes)| Some((to, bytes.ok()?))).collect()
    }

    /// What was decided since the last call; the ledger has it.
    pub fn decided(&mut self) -> Vec<Change> {
        let upto = self.mirror.0.borrow().decided;
        let from = self.ledger.decided();
        if upto <= from {
            return Vec::new();
        }
        let entries = self.mirror.0.borrow().range(from as usize, upto as usize);
        self.open = if self.leads() { self.open.saturating_sub(entries.len()) } else { 0 };
        let changes = entries.iter().filter_map(|e| self.ledger.apply(e)).collect();
        if self.ledger.decided() >= self.mirror.0.borrow().trimmed + LONG {
            self.shorten();
        }
        changes
    }

    fn shorten(&mut self) {
        match &mut self.paxos {
            Some(p) => {
                // The first among voters has all of them trim what all have; an error means that there is nothing.
                let _ = p.trim(None);
            }
            None => {
                let upto = self.ledger.decided();
                self.mirror.0.borrow_mut().note(Op::Trim(upto));
                self.mirror.0.borrow_mut().note(Op::Compacted(upto));
            }
        }
    }

    /// What is decided, as far as this voter knows.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}

fn build(me: u64, voters: &[u64], mirror: Shared) -> Result<OmniPaxos<Entry, Shared>, LogError> {
    let config = OmniPaxosConfig {
        cluster_config: ClusterConfig { configuration_id: 1, nodes: voters.to_vec(), flexible_quorum: None },
        server_config: ServerConfig {
            pid: me,
            election_tick_timeout: ELECTION_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            ..ServerConfig::default()
        },
    };
    config.build(mirror).map_err(|e| LogError::Voters(e.to_string()))
}
