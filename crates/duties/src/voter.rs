//! One voter: its copy of the log, its promises, and, while it is the leader, the choice of owners for
//! duties.

use crate::lease::Promises;
use crate::ledger::{Change, Entry, Epoch, Life};
use crate::log::{Log, LogError};
use crate::wire::{FolderId, Message, Sender};
use garnettally_model::Micros;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An undecided assignment is proposed again after this time: its message may be lost, or its leader deposed.
const PROPOSAL_RETRY: Micros = Micros(500_000);
/// The longest delay with which a lease request may arrive after its sender has left.
const MAX_REQUEST_DELAY: Micros = Micros(60_000_000);
/// How long an operator's request to move a duty stays valid.
const MOVE_REQUEST_LIFETIME: Micros = Micros(3_000_000);
/// The maximum number of assignments proposed in one tick, so that they fit into one datagram.
const MAX_PROPOSALS_PER_TICK: usize = 24;
/// The maximum number of lives to which a voter makes promises, which is the largest size of a fleet.
const MAX_LIVES: usize = 4096;

/// The stored state of a voter besides the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct VoterMeta {
    /// The identifier of this voter's folder.
    folder: FolderId,
    /// The folder of each voter at the first start of the fleet; empty before that.
    founding_folders: BTreeMap<u64, FolderId>,
    /// The number of records that were stored up to and including this one.
    records_written: u64,
}

/// Whether a voter may vote, and if not, the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The voter has no stored state, and asks the other voters whether they have any.
    NoState,
    /// The other voters have started with a different folder of this voter: its state was lost. It may have
    /// voted before, and must not vote again until it is replaced.
    StateLost,
    /// The stored state is an older copy of a state that this voter had before.
    OldCopy,
    /// The voter votes.
    Voting,
}

/// The results of a call of [`Voter`], to be carried out by its caller.
#[derive(Default)]
pub(crate) struct VoterOutput {
    /// The record to be stored before any of `messages` is sent.
    pub record: Option<Vec<u8>>,
    /// Decided changes of owners, to be reported to operators.
    pub changes: Vec<Change>,
    /// Messages to be sent once `record` is stored.
    pub messages: Vec<(Recipient, Message)>,
}

/// The recipient of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Recipient {
    /// The voter with this number.
    Voter(u64),
    /// The member with this life.
    Member(Life),
}

pub(crate) struct Voter {
    own_voter: u64,
    life: Life,
    voters: Vec<u64>,
    log: Log,
    meta: VoterMeta,
    promises: Promises,
    standing: Standing,
    /// The folders reported by other voters that have no state either, by voter number.
    peer_folders: BTreeMap<u64, FolderId>,
    /// The number of records that were stored when this voter started.
    records_at_start: u64,
    /// The number of records stored by now, counting those that were passed on for storing.
    records_stored: u64,
    /// For each other voter, its latest life, and the most records that any of its lives reported as stored.
    peer_records: BTreeMap<u64, (Life, u64)>,
    /// For each duty with an open proposal, the epoch to be replaced and the time of the proposal.
    proposed: FxHashMap<String, (Epoch, Micros)>,
    /// Lives that have left or were drained, with the number of the last void request and the time of
    /// leaving.
    left_lives: FxHashMap<Life, (u64, Micros)>,
    /// Moves requested by operators: for each duty, the wanted owner (0: any but the present one) and the
    /// time of the request.
    requested_moves: FxHashMap<String, (Life, Micros)>,
}

/// Returns the life that owns a duty, or 0 if the duty has no owner.
fn current_owner(log: &Log, duty: &str) -> Life {
    log.ledger().duty(duty).map_or(0, |d| d.owner)
}

/// Rendezvous hashing: the life with the highest rank is preferred as the owner of a duty.
fn owner_rank(duty: &str, life: Life) -> u64 {
    xxh3_64_with_seed(duty.as_bytes(), life)
}

impl Voter {
    /// Rebuilds a voter from its stored records. `folder` identifies its folder if nothing is stored yet.
    pub fn open(
        own_voter: u64,
        life: Life,
        voters: &[u64],
        records: &[Vec<u8>],
        folder: FolderId,
        now: Micros,
        lease: Micros,
    ) -> Result<Voter, LogError> {
        let (metas, log): (Vec<_>, Vec<_>) = records.iter().cloned().partition(|r| r.first() == Some(&2));
        let meta: VoterMeta = match metas.last() {
            Some(m) => postcard::from_bytes(&m[1..]).map_err(|_| LogError::Record(0))?,
            None => VoterMeta { folder, ..VoterMeta::default() },
        };
        let appended_since = records.iter().rev().take_while(|r| r.first() != Some(&2)).count() as u64;
        let log = Log::open(own_voter, voters, &log)?;
        let has_started = voters.len() == 1 || meta.founding_folders.contains_key(&own_voter);
        let records_at_start = meta.records_written + appended_since;
        Ok(Voter {
            own_voter,
            life,
            voters: voters.to_vec(),
            log,
            meta,
            promises: Promises::new(now, lease),
            standing: if has_started { Standing::Voting } else { Standing::NoState },
            peer_folders: BTreeMap::new(),
            records_at_start,
            records_stored: records_at_start,
            peer_records: BTreeMap::new(),
            proposed: FxHashMap::default(),
            left_lives: FxHashMap::default(),
            requested_moves: FxHashMap::default(),
        })
    }

    pub fn standing(&self) -> Standing {
        self.standing
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Counts one more record that was passed on for storing.
    pub fn record_stored(&mut self) {
        self.records_stored += 1;
    }

    /// Processes one tick of the log's clock.
    pub fn tick(&mut self, now: Micros, duties: &[String], output: &mut VoterOutput) {
        self.promises.remove_expired(now);
        self.left_lives.retain(|_, (_, at)| now - *at < MAX_REQUEST_DELAY);
        // The present leader acts on a move request at once; a later leader must not act on an outdated one.
        self.requested_moves.retain(|_, (_, at)| now - *at < MOVE_REQUEST_LIFETIME);
        match self.standing {
            Standing::Voting => {
                self.log.tick();
                if self.log.is_leader() && self.promises.may_promise(now) {
                    self.propose_assignments(now, duties);
                }
                self.apply_and_collect(now, output);
            }
            Standing::NoState => {
                let folder = self.meta.folder;
                let others = self.voters.iter().filter(|v| **v != self.own_voter);
                output
                    .messages
                    .extend(others.map(|&v| (Recipient::Voter(v), Message::StateQuery { folder })));
            }
            Standing::StateLost | Standing::OldCopy => {}
        }
    }

    /// Processes a message from a member or another voter.
    pub fn handle_message(&mut self, now: Micros, from: Sender, message: Message, output: &mut VoterOutput) {
        let votes = self.standing == Standing::Voting;
        match (message, from.voter) {
            (Message::RenewLease { request_id, known_upto }, _) if votes => {
                self.renew(now, from.life, request_id, known_upto, output)
            }
            (Message::Leave { request_id }, _) => {
                if self.left_lives.len() < MAX_LIVES {
                    self.left_lives.insert(from.life, (request_id, now));
                }
                self.promises.remove_life(from.life);
            }
            (Message::MoveDuty { duty, to }, _) if votes && self.log.ledger().duty(&duty).is_some() => {
                self.requested_moves.insert(duty, (to, now));
            }
            (Message::Consensus { records_at_start, records_stored, bytes }, Some(v)) if votes => {
                let (life, most) = *self.peer_records.entry(v).or_insert((from.life, 0));
                if life != from.life && records_at_start < most {
                    // An earlier life of this voter reported more stored records: its state now is an old
                    // copy, and it could vote a second time on entries that it has voted on before.
                    output.messages.push((Recipient::Voter(v), Message::OldCopy { life: from.life }));
                    return;
                }
                self.peer_records.insert(v, (from.life, most.max(records_stored)));
                // A message that can't be decoded changes nothing.
                let _ = self.log.handle_message(v, &bytes);
                self.apply_and_collect(now, output);
            }
            (Message::OldCopy { life }, Some(_)) if votes && life == self.life => {
                self.standing = Standing::OldCopy
            }
            (Message::StateQuery { folder }, Some(v)) => {
                let founding_folders = votes.then(|| self.meta.founding_folders.clone());
                output.messages.push((
                    Recipient::Voter(v),
                    Message::StateReport { folder: self.meta.folder, founding_folders },
                ));
                if self.standing == Standing::NoState {
                    self.peer_folders.insert(v, folder);
                    self.start_if_all_without_state(output);
                }
            }
            (Message::StateReport { folder, founding_folders }, Some(v))
                if self.standing == Standing::NoState =>
            {
                match founding_folders {
                    Some(folders) if folders.get(&self.own_voter) == Some(&self.meta.folder) => {
                        self.start_voting(folders, output)
                    }
                    Some(_) => self.standing = Standing::StateLost,
                    None => {
                        self.peer_folders.insert(v, folder);
                        self.start_if_all_without_state(output);
                    }
                }
            }
            _ => {}
        }
    }

    /// Starts voting if all voters have reported that they have no state, which is the first start of the
    /// fleet.
    fn start_if_all_without_state(&mut self, output: &mut VoterOutput) {
        if self.peer_folders.len() + 1 == self.voters.len() {
            let mut folders = self.peer_folders.clone();
            folders.insert(self.own_voter, self.meta.folder);
            self.start_voting(folders, output);
        }
    }

    /// Starts voting with the given folders of all voters.
    fn start_voting(&mut self, folders: BTreeMap<u64, FolderId>, output: &mut VoterOutput) {
        self.meta.founding_folders = folders;
        self.standing = Standing::Voting;
        output.record = Some(self.meta_record());
    }

    /// Encodes the state besides the log as a record.
    fn meta_record(&self) -> Vec<u8> {
        let mut out = vec![2];
        let meta = VoterMeta { records_written: self.records_stored + 1, ..self.meta.clone() };
        out.extend(postcard::to_allocvec(&meta).unwrap_or_default());
        out
    }

    /// Returns the whole state as records that replace all earlier ones.
    pub fn all_records(&self) -> Vec<Vec<u8>> {
        vec![self.meta_record(), self.log.snapshot()]
    }

    /// Answers a lease request of a member.
    fn renew(&mut self, now: Micros, life: Life, request_id: u64, known_upto: u64, output: &mut VoterOutput) {
        if self.left_lives.get(&life).is_some_and(|(last, _)| request_id <= *last) {
            return;
        }
        if known_upto > self.log.ledger().decided_entries() && self.voters.len() == 1 {
            // A member knows a later log entry than the only voter: the voter's state was lost or is an old
            // copy.
            self.standing = Standing::OldCopy;
            return;
        }
        if !self.promises.has_promise(now, life) && self.promises.promised_lives(now).count() >= MAX_LIVES {
            return;
        }
        let promised = self.promises.renew(now, life, known_upto).is_some();
        let ledger = self.log.ledger();
        let owned = (ledger.last_change(life) > known_upto).then(|| ledger.owned_by(life));
        let effective_upto = promised.then(|| {
            let held_back = ledger
                .duties()
                .filter(|(name, d)| d.owner == life && self.promises.is_held_back(now, name, life))
                .map(|(_, d)| d.epoch);
            held_back.min().map_or(u64::MAX, |first| first - 1)
        });
        let decided_upto = ledger.decided_entries();
        output.messages.push((
            Recipient::Member(life),
            Message::LeaseGranted { request_id, decided_upto, effective_upto, owned },
        ));
    }

    /// Applies newly decided entries, and collects the record to store and the messages to send.
    fn apply_and_collect(&mut self, now: Micros, output: &mut VoterOutput) {
        for change in self.log.apply_decided() {
            self.promises.record_change(now, &change);
            self.proposed.remove(&change.duty);
            output.changes.push(change.clone());
            for life in [change.from, change.to] {
                // The new owner needs this voter's grant. The former owner needs nothing, but the new owner
                // has to wait until the former one reports that it knows of the change.
                if life != 0
                    && !output.messages.contains(&(Recipient::Member(life), Message::AssignmentChanged))
                {
                    output.messages.push((Recipient::Member(life), Message::AssignmentChanged));
                }
            }
        }
        output.record = self.log.take_record();
        let (records_at_start, records_stored) =
            (self.records_at_start, self.records_stored + u64::from(output.record.is_some()));
        for (to, bytes) in self.log.take_messages() {
            output
                .messages
                .push((Recipient::Voter(to), Message::Consensus { records_at_start, records_stored, bytes }));
        }
    }

    /// Proposes owners for duties that have none, whose owner has no valid promise, or that an operator wants
    /// moved.
    fn propose_assignments(&mut self, now: Micros, duties: &[String]) {
        let lives: Vec<Life> = self.promises.promised_lives(now).collect();
        self.proposed.retain(|_, (_, at)| now - *at < PROPOSAL_RETRY);
        let mut proposals: Vec<(String, Epoch, Life)> = Vec::new();
        let ledger = self.log.ledger();
        for duty in duties.iter().filter(|d| ledger.duty(d).is_none()) {
            proposals.push((duty.clone(), 0, 0));
        }
        for (duty, assignment) in ledger.duties() {
            let wanted = self.requested_moves.get(duty).map(|w| w.0);
            let wanted = wanted.filter(|w| *w != assignment.owner && (*w == 0 || lives.contains(w)));
            if wanted.is_some() || !lives.contains(&assignment.owner) {
                proposals.push((duty.into(), assignment.epoch, wanted.unwrap_or(0)));
            }
        }
        proposals.retain(|(duty, expected_epoch, _)| {
            self.proposed.get(duty).is_none_or(|o| o.0 != *expected_epoch)
        });
        for (duty, expected_epoch, wanted) in proposals.into_iter().take(MAX_PROPOSALS_PER_TICK) {
            let before = current_owner(&self.log, &duty);
            let others = lives.iter().copied().filter(|l| *l != before);
            let preferred = others.max_by_key(|&l| owner_rank(&duty, l));
            // No other member is available: the duty stays as it is.
            let Some(to) = Some(wanted).filter(|w| *w != 0).or(preferred) else { continue };
            if !self.log.propose(Entry::Assign { duty: duty.clone(), expected_epoch, to }) {
                return;
            }
            self.requested_moves.remove(&duty);
            self.proposed.insert(duty, (expected_epoch, now));
        }
    }

    /// Whether this voter is the leader, which proposes the owners of duties.
    pub fn is_leader(&self) -> bool {
        self.standing == Standing::Voting && self.log.is_leader()
    }
}
