//! The log on which the voters agree, replicated by `omnipaxos`. A single voter decides alone, without the
//! library.
//!
//! The library writes to a state in memory, which can't fail, and every change is kept as part of a record.
//! The caller stores the records first and only then sends the messages: nothing is promised before it is
//! stored. If storing fails, the whole log is dropped together with its unsent messages, and is rebuilt from
//! the stored records.
//!
//! The log is compacted by trimming the entries that all voters have, and keeping the ledger that results
//! from them. The library's snapshots are not used: version 0.2.4 raises its decided index before it makes a
//! snapshot of its own part to merge a difference into (`InternalStorage::sync_log`), so that entries are
//! lost or applied twice; this was seen with random fault schedule 1002.

use crate::ledger::{Change, Entry, Ledger};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;
use thiserror::Error;

/// The maximum number of entries that are proposed and not yet decided.
const MAX_OPEN_PROPOSALS: usize = 256;
/// The number of decided entries after which the log is compacted.
const COMPACTION_ENTRIES: u64 = 64;
/// The maximum number of entries in the log. At this length no more entries are proposed; the log only grows
/// to it when a voter is permanently missing, since entries are trimmed once all voters have them.
pub const MAX_LOG_ENTRIES: usize = 4_096;
/// The number of ticks between two rounds of heartbeats, by which voters detect that the leader has failed.
const ELECTION_TICKS: u64 = 5;
/// The number of ticks after which an unanswered message is sent again.
const RESEND_TICKS: u64 = 10;

/// One change of the stored state. The order of the variants is part of the stored format.
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

/// The stored state, in the form in which the library reads it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct LogState {
    log: Vec<Entry>,
    /// The number of entries that were trimmed and are no longer in `log`.
    trimmed: u64,
    promise: Option<Ballot>,
    decided: u64,
    accepted: Option<Ballot>,
    compacted: u64,
    /// The ledger that results from the trimmed entries.
    base: Ledger,
    /// Changes since the last record was taken.
    #[serde(skip)]
    ops: Vec<Op>,
}

impl LogState {
    fn apply(&mut self, op: &Op) {
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
                let removed = (n.saturating_sub(self.trimmed) as usize).min(self.log.len());
                for entry in self.log.drain(..removed) {
                    self.base.apply(&entry);
                }
                self.trimmed += removed as u64;
            }
        }
    }

    fn record(&mut self, op: Op) {
        self.apply(&op);
        self.ops.push(op);
    }

    fn entries(&self, from: usize, to: usize) -> Vec<Entry> {
        let at = |n: usize| (n as u64).checked_sub(self.trimmed).map(|n| n as usize);
        let part = at(from).zip(at(to)).and_then(|(from, to)| self.log.get(from..to));
        part.map_or_else(Vec::new, <[Entry]>::to_vec)
    }
}

/// The state, shared between the library and the [`Log`] that takes the records from it.
#[derive(Clone, Default)]
struct SharedState(Rc<RefCell<LogState>>);

impl SharedState {
    fn record(&self, op: Op) -> StorageResult<()> {
        self.0.borrow_mut().record(op);
        Ok(())
    }
}

impl Storage<Entry> for SharedState {
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
        self.record(Op::Append(vec![entry]))
    }
    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        self.record(Op::Append(entries))
    }
    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.record(Op::AppendFrom(from as u64, entries))
    }
    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.record(Op::Promise(ballot))
    }
    fn set_decided_idx(&mut self, n: usize) -> StorageResult<()> {
        self.record(Op::Decided(n as u64))
    }
    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().decided as usize)
    }
    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.record(Op::Accepted(ballot))
    }
    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.0.borrow().accepted)
    }
    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.0.borrow().entries(from, to))
    }
    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.0.borrow().log.len())
    }
    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let m = self.0.borrow();
        let end = m.trimmed as usize + m.log.len();
        Ok(m.entries(from, end.max(from)))
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
        self.record(Op::Trim(n as u64))
    }
    fn set_compacted_idx(&mut self, n: usize) -> StorageResult<()> {
        self.record(Op::Compacted(n as u64))
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

/// The reason why a log can't be opened or a message can't be processed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum LogError {
    /// The configured list of voters is not valid.
    #[error("invalid list of voters: {0}")]
    Voters(String),
    /// The stored record with this index, counted from 0, can't be decoded.
    #[error("record {0} (counted from 0) of the voter's stored state can't be decoded")]
    Record(usize),
    /// A message can't be decoded, or its sender or receiver is wrong.
    #[error("a voter's message can't be decoded or has a wrong sender or receiver")]
    Message,
}

/// One voter's copy of the log.
pub struct Log {
    own_voter: u64,
    voters: Vec<u64>,
    state: SharedState,
    /// The library's state; `None` if this voter is the only one.
    paxos: Option<OmniPaxos<Entry, SharedState>>,
    /// The result of all decided entries.
    ledger: Ledger,
    /// Entries that this voter has proposed and that are not yet decided.
    open_proposals: usize,
}

/// Returns the least number of voters that can decide an entry or grant a lease.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

impl Log {
    /// Rebuilds a voter's log from its stored records, given in the order of storing. Voters are numbered
    /// from 1.
    pub fn open(own_voter: u64, voters: &[u64], records: &[Vec<u8>]) -> Result<Log, LogError> {
        let mut sorted = voters.to_vec();
        sorted.sort_unstable();
        sorted.dedup();
        if !matches!(sorted.len(), 1 | 3 | 5 | 7) || sorted.len() != voters.len() || sorted[0] == 0 {
            return Err(LogError::Voters(format!(
                "{} voters are listed; the list must have 1, 3, 5 or 7 different numbers from 1",
                voters.len()
            )));
        }
        if !sorted.contains(&own_voter) {
            return Err(LogError::Voters(format!("this member's number {own_voter} is not in the list")));
        }
        let mut state = LogState::default();
        for (n, record) in records.iter().enumerate() {
            let (kind, rest) = record.split_first().ok_or(LogError::Record(n))?;
            match kind {
                0 => state = postcard::from_bytes(rest).map_err(|_| LogError::Record(n))?,
                1 => {
                    let ops: Vec<Op> = postcard::from_bytes(rest).map_err(|_| LogError::Record(n))?;
                    ops.iter().for_each(|op| state.apply(op));
                }
                _ => return Err(LogError::Record(n)),
            }
        }
        let ledger = state.base.clone();
        let state = SharedState(Rc::new(RefCell::new(state)));
        let paxos = match sorted.len() {
            1 => None,
            _ => Some(build_paxos(own_voter, &sorted, state.clone())?),
        };
        let mut log = Log { own_voter, voters: sorted, state, paxos, ledger, open_proposals: 0 };
        log.apply_decided();
        Ok(log)
    }

    /// Advances the library's clock by one tick.
    pub fn tick(&mut self) {
        if let Some(p) = &mut self.paxos {
            p.tick();
        }
    }

    /// Processes a message from another voter.
    pub fn handle_message(&mut self, from: u64, bytes: &[u8]) -> Result<(), LogError> {
        let message: Message<Entry> = postcard::from_bytes(bytes).map_err(|_| LogError::Message)?;
        let known = self.voters.contains(&from) && from != self.own_voter;
        if !known || message.get_sender() != from || message.get_receiver() != self.own_voter {
            return Err(LogError::Message);
        }
        if let Some(p) = &mut self.paxos {
            p.handle_incoming(message);
        }
        Ok(())
    }

    /// Proposes an entry. Returns `false` if too many proposals are open, the log is full, or the library
    /// refuses.
    pub fn propose(&mut self, entry: Entry) -> bool {
        if self.open_proposals >= MAX_OPEN_PROPOSALS || self.state.0.borrow().log.len() >= MAX_LOG_ENTRIES {
            return false;
        }
        self.open_proposals += 1;
        match &mut self.paxos {
            Some(p) => p.append(entry).is_ok(),
            None => {
                let n = {
                    let mut m = self.state.0.borrow_mut();
                    m.record(Op::Append(vec![entry]));
                    m.trimmed + m.log.len() as u64
                };
                self.state.0.borrow_mut().record(Op::Decided(n));
                true
            }
        }
    }

    /// Whether this voter is the leader, which proposes entries.
    pub fn is_leader(&self) -> bool {
        self.paxos.as_ref().is_none_or(|p| p.get_current_leader() == Some((self.own_voter, true)))
    }

    /// Returns the number of the leader, as far as it is known.
    pub fn leader(&self) -> Option<u64> {
        match &self.paxos {
            None => Some(self.own_voter),
            Some(p) => p.get_current_leader().map(|(pid, _)| pid),
        }
    }

    /// Takes the changes since the last call as one record, or `None` if there are none. The record has to be
    /// stored before the messages from [`Log::take_messages`] are sent.
    pub fn take_record(&mut self) -> Option<Vec<u8>> {
        let ops = std::mem::take(&mut self.state.0.borrow_mut().ops);
        if ops.is_empty() {
            return None;
        }
        let mut out = vec![1];
        // Encoding plain data into memory does not fail.
        out.extend(postcard::to_allocvec(&ops).unwrap_or_default());
        Some(out)
    }

    /// Returns the whole state as one record that replaces all earlier ones.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut out = vec![0];
        out.extend(postcard::to_allocvec(&*self.state.0.borrow()).unwrap_or_default());
        out
    }

    /// Takes the messages to be sent, each with the number of the receiving voter.
    pub fn take_messages(&mut self) -> Vec<(u64, Vec<u8>)> {
        let mut out = Vec::new();
        if let Some(p) = &mut self.paxos {
            p.take_outgoing_messages(&mut out);
        }
        let encoded = out.into_iter().map(|m| (m.get_receiver(), postcard::to_allocvec(&m)));
        encoded.filter_map(|(to, bytes)| Some((to, bytes.ok()?))).collect()
    }

    /// Applies the entries decided since the last call to the ledger and returns the resulting changes of
    /// owners.
    pub fn apply_decided(&mut self) -> Vec<Change> {
        let upto = self.state.0.borrow().decided;
        let from = self.ledger.decided_entries();
        if upto <= from {
            return Vec::new();
        }
        let entries = self.state.0.borrow().entries(from as usize, upto as usize);
        self.open_proposals =
            if self.is_leader() { self.open_proposals.saturating_sub(entries.len()) } else { 0 };
        let changes = entries.iter().filter_map(|e| self.ledger.apply(e)).collect();
        if self.ledger.decided_entries() >= self.state.0.borrow().trimmed + COMPACTION_ENTRIES {
            self.compact();
        }
        changes
    }

    /// Trims the decided entries that are no longer needed.
    fn compact(&mut self) {
        match &mut self.paxos {
            Some(p) => {
                // The leader makes all voters trim the entries that all of them have; an error means that
                // there are none.
                let _ = p.trim(None);
            }
            None => {
                let upto = self.ledger.decided_entries();
                self.state.0.borrow_mut().record(Op::Trim(upto));
                self.state.0.borrow_mut().record(Op::Compacted(upto));
            }
        }
    }

    /// Returns the result of all entries that this voter knows to be decided.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}

fn build_paxos(
    own_voter: u64,
    voters: &[u64],
    state: SharedState,
) -> Result<OmniPaxos<Entry, SharedState>, LogError> {
    let config = OmniPaxosConfig {
        cluster_config: ClusterConfig { configuration_id: 1, nodes: voters.to_vec(), flexible_quorum: None },
        server_config: ServerConfig {
            pid: own_voter,
            election_tick_timeout: ELECTION_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            ..ServerConfig::default()
        },
    };
    config.build(state).map_err(|e| LogError::Voters(e.to_string()))
}
