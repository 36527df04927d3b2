//! Connects the fleet's duties to the process: messages between members and voters, the thread that stores a
//! voter's state, and what operators see. This file passes values between them and handles no requests.

use crate::{Net, Proxy};
use calloop::channel::{channel, Event as ChannelEvent, Sender};
use garnettally_config::file::Duties as DutyConfig;
use garnettally_duties::{
    Change, Duties, Event, Input, Output, Recipient, Sender as MessageSender, Settings, Standing,
};
use garnettally_link::{time_since_boot, Link};
use garnettally_model::Micros;
use garnettally_peers::MemberState;
use garnettally_store::Store;
use serde_json::{json, Value};
use slog::{error, info, warn};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// A job for the store thread.
enum StoreJob {
    /// Open the store and lock its folder; a new store gets this number.
    Open(u64),
    /// Append this record; the number identifies the job.
    Add(u64, Vec<u8>),
    /// Replace all records by these; the number identifies the job.
    Replace(u64, Vec<Vec<u8>>),
}

/// The result of a job.
enum StoreResult {
    /// The store is open: its records, and its number.
    Opened(Vec<Vec<u8>>, u64),
    /// The job with this number is stored durably.
    Stored(u64),
    /// A job has failed with this error, and the store is closed.
    Failed(String),
}

/// This process's part in the fleet's duties, as a member and possibly as a voter.
pub struct FleetDuties {
    /// The settings of the duties, from the operator's file.
    config: DutyConfig,
    /// The protocol's state, which does no input or output itself.
    duties: Duties,
    /// The id of this process, which is new at each start.
    life: u64,
    /// This member's number among the voters, from 1; `None` if it is no voter.
    own_voter: Option<u64>,
    /// Sends jobs to the store thread; `None` without one.
    store_jobs: Option<mpsc::Sender<StoreJob>>,
    /// Results of the store thread that the next turn handles.
    store_results: VecDeque<StoreResult>,
    /// Names of the members whose processes own or owned a duty, by process id.
    names: BTreeMap<u64, String>,
    /// By duty: the last decided change of its owner, when it was learned here, and its reason.
    changes: BTreeMap<String, (Change, Instant, &'static str)>,
    /// The last error of the store; empty if there was none.
    last_failure: String,
    /// How often storing has failed.
    failure_count: u64,
    /// Whether the process is being drained or shut down.
    is_draining: bool,
}

/// Runs the jobs in order, on a thread of its own, so that the event loop never waits for the disk. After a
/// failure all jobs are dropped until the next `Open`.
fn run_store(folder: PathBuf, jobs: &mpsc::Receiver<StoreJob>, results: &Sender<StoreResult>) {
    let mut open: Option<Store> = None;
    while let Ok(job) = jobs.recv() {
        let result = match job {
            StoreJob::Open(fresh) => {
                // The folder's lock is released with the old store, so that one is closed before the new one
                // is opened.
                open = None;
                Store::open(&folder, fresh).map(|(store, records)| {
                    let number = store.folder_id();
                    open = Some(store);
                    StoreResult::Opened(records, number)
                })
            }
            StoreJob::Add(n, record) => match &mut open {
                Some(store) => store.append(&record).map(|()| StoreResult::Stored(n)),
                None => continue,
            },
            StoreJob::Replace(n, records) => match &mut open {
                Some(store) => store.replace(&records).map(|()| StoreResult::Stored(n)),
                None => continue,
            },
        };
        let outcome = result.unwrap_or_else(|e| {
            open = None;
            StoreResult::Failed(e.to_string())
        });
        if results.send(outcome).is_err() {
            return;
        }
    }
}

impl FleetDuties {
    /// Starts the protocol, and a voter's store thread.
    pub fn start(net: &Net, config: DutyConfig, link: &Link) -> Result<FleetDuties, String> {
        let me = link.own_identity();
        let number = config.voters.iter().position(|v| *v == me.name).map(|at| at as u64 + 1);
        let settings = Settings {
            life: me.boot,
            voters: (1..=config.voters.len() as u64).collect(),
            // Names have no control characters, so the separator is unambiguous.
            roster: garnettally_verdicts::name_hash(&config.voters.join("\n")),
            own_voter: number,
            lease: Micros(config.lease.as_micros() as i64),
            duties: config.all_names(),
        };
        let mut store_jobs = None;
        if let (Some(folder), Some(_)) = (config.folder.clone(), number) {
            let (job_sender, job_receiver) = mpsc::channel();
            let (result_sender, result_receiver) = channel();
            let source = net.handle.insert_source(result_receiver, |event, (), proxy: &mut Proxy| {
                if let (ChannelEvent::Msg(result), Some(fleet)) = (event, &mut proxy.fleet) {
                    fleet.store_completed(StoreCompletion(result));
                }
            });
            source.map_err(|e| format!("fleet.duties: {}", e.error))?;
            let thread = std::thread::Builder::new().name("store".into());
            thread
                .spawn(move || run_store(folder, &job_receiver, &result_sender))
                .map_err(|e| format!("fleet.duties: {e}"))?;
            let _ = job_sender.send(StoreJob::Open(me.boot));
            store_jobs = Some(job_sender);
        }
        info!(net.log, "this process takes part in the fleet's duties"; "voter" => number,
            "voters" => config.voters.join(" "));
        Ok(FleetDuties {
            duties: Duties::new(settings, time_since_boot()),
            life: me.boot,
            own_voter: number,
            store_jobs,
            store_results: VecDeque::new(),
            names: BTreeMap::from([(me.boot, me.name.clone())]),
            changes: BTreeMap::new(),
            last_failure: String::new(),
            failure_count: 0,
            is_draining: false,
            config,
        })
    }

    /// Queues a result of the store thread for the next turn.
    pub(crate) fn store_completed(&mut self, StoreCompletion(result): StoreCompletion) {
        self.store_results.push_back(result);
    }

    /// When the protocol's next time-out is due.
    pub fn next_wake(&self) -> Instant {
        let time_left = self.duties.next_timeout() - time_since_boot();
        Instant::now() + Duration::from_micros(time_left.0.max(0) as u64)
    }

    /// The epoch under which this process may act on a duty right now.
    pub fn may_act(&self, duty: &str) -> Option<u64> {
        self.duties.may_act(time_since_boot(), duty)
    }

    /// Reports whether the process is being drained or shut down. When that begins, its duties are handed
    /// over at once; when a drain ends, it takes part again.
    pub fn set_draining(&mut self, is_draining: bool) {
        if self.is_draining != is_draining {
            self.is_draining = is_draining;
            self.duties.handle(time_since_boot(), if is_draining { Input::Leave } else { Input::Resume });
        }
    }

    /// Requests that a duty move to this member, or with `None` to any other member. `Err` says why it can't.
    pub fn request_move(&mut self, link: &Link, duty: &str, member: Option<&str>) -> Result<(), String> {
        let life = match member {
            None => 0,
            Some(name) if name == link.own_identity().name => self.life,
            Some(name) => {
                let found = link.other_members().find(|(id, s)| id.name == name && *s == MemberState::Alive);
                found.map(|(id, _)| id.boot).ok_or(format!("no member called {name:?} is alive"))?
            }
        };
        let all = self.config.all_names();
        if !all.iter().any(|n| n == duty) {
            return Err(format!("no duty is called {duty:?}; there are {}", all.join(", ")));
        }
        self.duties.handle(time_since_boot(), Input::Move(duty, life));
        Ok(())
    }

    /// Performs the work that is due, after each round of the event loop.
    pub fn run_due_work(&mut self, net: &Net, link: &mut Link) {
        for (life, message) in link.take_messages() {
            let voter = voter_of(&self.config, link, life);
            self.duties.handle(time_since_boot(), Input::Message(MessageSender { life, voter }, &message));
        }
        while let Some(result) = self.store_results.pop_front() {
            let now = time_since_boot();
            match result {
                StoreResult::Opened(records, folder) => {
                    self.duties.handle(now, Input::Opened(&records, folder))
                }
                StoreResult::Stored(n) => self.duties.handle(now, Input::Stored(n)),
                StoreResult::Failed(why) => {
                    error!(net.log, "a voter's state can't be stored"; "error" => &why);
                    (self.last_failure, self.failure_count) = (why, self.failure_count + 1);
                    self.duties.handle(now, Input::StoreFailed);
                }
            }
        }
        if self.duties.next_timeout() <= time_since_boot() {
            self.duties.handle(time_since_boot(), Input::Wake);
        }
        while let Some(output) = self.duties.poll() {
            match output {
                Output::Send(to, message) => self.send(link, to, &message),
                Output::Store(n, record) => self.send_store_job(StoreJob::Add(n, record)),
                Output::Replace(n, records) => self.send_store_job(StoreJob::Replace(n, records)),
                Output::Reopen => self.send_store_job(StoreJob::Open(self.life)),
                Output::Event(event) => self.handle_event(net, link, event),
            }
        }
    }

    /// Sends a job to the store thread, if there is one.
    fn send_store_job(&self, job: StoreJob) {
        if let Some(jobs) = &self.store_jobs {
            // The thread runs as long as this process, so sending does not fail.
            let _ = jobs.send(job);
        }
    }

    /// Sends a message to a member or voter. One to this process itself is handled directly.
    fn send(&mut self, link: &mut Link, to: Recipient, message: &[u8]) {
        let life = match to {
            Recipient::Member(life) => Some(life),
            Recipient::Voter(v) if Some(v) == self.own_voter => Some(self.life),
            Recipient::Voter(v) => {
                let name = self.config.voters.get(v as usize - 1);
                let found =
                    link.other_members().find(|(id, s)| Some(&id.name) == name && *s != MemberState::Down);
                found.map(|(id, _)| id.boot)
            }
        };
        match life {
            Some(life) if life == self.life => {
                let from = MessageSender { life, voter: self.own_voter };
                self.duties.handle(time_since_boot(), Input::Message(from, message));
            }
            // Messages may be lost; whoever needs the answer repeats the request.
            Some(life) => {
                link.send_message(life, message);
            }
            None => {}
        }
    }

    /// Logs an event of the protocol, and records changes of owners.
    fn handle_event(&mut self, net: &Net, link: &Link, event: Event) {
        match event {
            Event::VotingStarted => info!(net.log, "this voter takes part"),
            Event::SteppedDown => {
                warn!(net.log, "this voter has stepped down until it can store again";
                    "error" => &self.last_failure)
            }
            Event::MayNotVote(Standing::NoState) => {
                info!(
                    net.log,
                    "this voter has no stored state, and asks the other voters whether they have any"
                )
            }
            Event::MayNotVote(standing) => {
                error!(net.log, "this voter may not vote"; "why" => standing_name(Some(standing)))
            }
            Event::VotersMismatch(life) => {
                let member =
                    link.other_members().find(|(id, _)| id.boot == life).map(|(id, _)| id.name.as_str());
                error!(net.log, "a member's file names other voters or another order: messages ignored";
                    "member" => member);
            }
            Event::StateUnreadable(why) => {
                error!(net.log, "this voter's state can't be read"; "error" => why)
            }
            Event::OwnedDuties(owned) => {
                let owned: Vec<String> = owned.iter().map(|(d, e)| format!("{d} {e}")).collect();
                info!(net.log, "this member owns these duties now, with their epochs"; "duties" => owned.join(", "));
            }
            Event::OwnerChanged(change) => {
                let mut previous_owner_alive = false;
                for (id, state) in
                    link.other_members().filter(|(id, _)| id.boot == change.from || id.boot == change.to)
                {
                    self.names.insert(id.boot, id.name.clone());
                    previous_owner_alive |= id.boot == change.from && state != MemberState::Down;
                }
                previous_owner_alive |= change.from == self.life;
                let why = match (change.from, previous_owner_alive) {
                    (0, _) => "it is new",
                    (_, true) => "handed over",
                    (_, false) => "its owner was gone",
                };
                info!(net.log, "a duty has a new owner"; "duty" => &change.duty, "epoch" => change.epoch,
                    "from" => self.name_of_process(change.from),
                    "to" => self.name_of_process(change.to), "why" => why);
                self.changes.insert(change.duty.clone(), (change, Instant::now(), why));
                // The names of processes that no recorded change mentions are forgotten.
                let is_mentioned =
                    |life: u64| self.changes.values().any(|(c, _, _)| c.from == life || c.to == life);
                let forgotten: Vec<u64> =
                    self.names.keys().copied().filter(|&l| l != self.life && !is_mentioned(l)).collect();
                forgotten.iter().for_each(|l| {
                    self.names.remove(l);
                });
            }
        }
    }

    /// The name of the member with this process id; empty for 0, the id in hexadecimal if the name is
    /// unknown.
    fn name_of_process(&self, life: u64) -> String {
        match (life, self.names.get(&life)) {
            (0, _) => String::new(),
            (_, Some(name)) => name.clone(),
            (_, None) => format!("{life:016x}"),
        }
    }

    /// The body of `GET /duties`.
    pub fn to_json(&self, link: &Link) -> Value {
        let now = time_since_boot();
        let remaining_ms = |until: Option<Micros>| until.map_or(0, |u| (u - now).0.max(0) / 1000);
        let owned: Vec<Value> = self
            .duties
            .owned()
            .map(|(duty, epoch, until)| {
                json!({ "duty": duty, "epoch": epoch, "acts": self.may_act(duty) == Some(epoch),
                    "left_ms": remaining_ms(until) })
            })
            .collect();
        let mut names = self.names.clone();
        names.extend(link.other_members().map(|(id, _)| (id.boot, id.name.clone())));
        let name = |life: u64| names.get(&life).cloned().unwrap_or_else(|| format!("{life:016x}"));
        let all: Vec<Value> = self
            .duties
            .ledger()
            .into_iter()
            .flat_map(|l| l.duties())
            .map(|(duty, ownership)| {
                let last = self.changes.get(duty).filter(|(c, _, _)| c.epoch == ownership.epoch);
                json!({
                    "duty": duty, "owner": name(ownership.owner), "life": format!("{:016x}", ownership.owner),
                    "epoch": ownership.epoch,
                    "since_ms": last.map(|(_, at, _)| at.elapsed().as_millis() as u64),
                    "from": last.map(|(c, _, _)| self.name_of_process(c.from)),
                    "why": last.map(|(_, _, why)| *why),
                })
            })
            .collect();
        json!({
            "member": link.own_identity().name, "life": format!("{:016x}", self.life),
            "voters": self.config.voters,
            "voter": self.own_voter.is_some(),
            "standing": self.own_voter.map(|_| standing_name(self.duties.standing())),
            "leads": self.duties.is_leader(),
            "decided": self.duties.ledger().map(|l| l.decided_entries()),
            "lease_ms": self.config.lease.as_millis() as u64, "owned": owned, "duties": all,
            "store_failures": self.failure_count, "last_failure": &self.last_failure,
        })
    }

    /// Appends the duties' lines of `/stats`.
    pub fn write_stats(&self, out: &mut String) {
        let now = time_since_boot();
        let acts = self.duties.owned().filter(|(d, e, _)| self.duties.may_act(now, d) == Some(*e)).count();
        let votes = self.duties.standing() == Some(Standing::Voting);
        for (what, n) in [
            ("owned", self.duties.owned().count() as u64),
            ("acting", acts as u64),
            ("votes", u64::from(votes)),
            ("leads", u64::from(self.duties.is_leader())),
        ] {
            let _ = writeln!(out, "edge_gw.duties.{what}:{n}|g");
        }
        for (what, n) in [("store_failures", self.failure_count), ("unread", self.duties.dropped_messages())]
        {
            let _ = writeln!(out, "edge_gw.duties.{what}:{n}|c");
        }
    }
}

/// A result of the store thread, on its way through the event loop.
pub(crate) struct StoreCompletion(StoreResult);

/// The voter number of the member with this process id; `None` if it is no voter, or not known.
fn voter_of(config: &DutyConfig, link: &Link, life: u64) -> Option<u64> {
    let name = link.other_members().find(|(id, _)| id.boot == life).map(|(id, _)| id.name.as_str())?;
    config.voters.iter().position(|v| v == name).map(|at| at as u64 + 1)
}

/// The name of a voter's standing in `/duties` and in the log; `None` means that its store is not open.
fn standing_name(standing: Option<Standing>) -> &'static str {
    match standing {
        None => "down",
        Some(Standing::NoState) => "blank",
        Some(Standing::StateLost) => "lost",
        Some(Standing::OldCopy) => "old copy",
        Some(Standing::Voting) => "votes",
    }
}
