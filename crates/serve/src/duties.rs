//! The wiring of the fleet's duties: letters between members and voters, the thread that stores what a voter promises,
//! and what operators see. It hands values over and knows nothing of requests.

use crate::{Net, Proxy};
use calloop::channel::{channel, Event as Came, Sender};
use garnettally_config::file::Duties as Plan;
use garnettally_duties::{
    Change, Duties, Event, Input, Output, Recipient, Sender as From, Settings, Standing,
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

/// What the storing thread is to do.
enum Job {
    /// Take the folder; a fresh one gets this number.
    Open(u64),
    Add(u64, Vec<u8>),
    Replace(u64, Vec<Vec<u8>>),
}

/// What has become of it.
enum Done {
    Opened(Vec<Vec<u8>>, u64),
    Stored(u64),
    Failed(String),
}

/// This process's part in the fleet's duties.
pub struct FleetDuties {
    plan: Plan,
    duties: Duties,
    /// This life, and its number among the voters, if it is one.
    life: u64,
    me: Option<u64>,
    jobs: Option<mpsc::Sender<Job>>,
    done: VecDeque<Done>,
    /// Names of lives that own or owned something.
    names: BTreeMap<u64, String>,
    /// By duty: the last change that was decided, and when that was learned here.
    changes: BTreeMap<String, (Change, Instant, &'static str)>,
    /// Why storing failed last, and how often it has.
    failure: String,
    failures: u64,
    drained: bool,
}

/// Stores what it is given, in order, off the event loop. After a failure it drops all until it is to open anew.
fn store(folder: PathBuf, jobs: &mpsc::Receiver<Job>, done: &Sender<Done>) {
    let mut open: Option<Store> = None;
    while let Ok(job) = jobs.recv() {
        let result = match job {
            Job::Open(fresh) => {
                // The lock goes with the store: first the old one, then the new one.
                open = None;
                Store::open(&folder, fresh).map(|(store, records)| {
                    let number = store.folder_id();
                    open = Some(store);
                    Done::Opened(records, number)
                })
            }
            Job::Add(n, record) => match &mut open {
                Some(store) => store.append(&record).map(|()| Done::Stored(n)),
                None => continue,
            },
            Job::Replace(n, records) => match &mut open {
                Some(store) => store.replace(&records).map(|()| Done::Stored(n)),
                None => continue,
            },
        };
        let told = result.unwrap_or_else(|e| {
            open = None;
            Done::Failed(e.to_string())
        });
        if done.send(told).is_err() {
            return;
        }
    }
}

impl FleetDuties {
    /// Begins; a voter's thread is started here.
    pub fn start(net: &Net, plan: Plan, link: &Link) -> Result<FleetDuties, String> {
        let me = link.own_identity();
        let number = plan.voters.iter().position(|v| *v == me.name).map(|at| at as u64 + 1);
        let settings = Settings {
            life: me.boot,
            voters: (1..=plan.voters.len() as u64).collect(),
            // Names have no control characters.
            roster: garnettally_verdicts::name_hash(&plan.voters.join("\n")),
            own_voter: number,
            lease: Micros(plan.lease.as_micros() as i64),
            duties: plan.all_names(),
        };
        let mut jobs = None;
        if let (Some(folder), Some(_)) = (plan.folder.clone(), number) {
            let (send, receive) = mpsc::channel();
            let (done, came) = channel();
            let source = net.handle.insert_source(came, |event, (), proxy: &mut Proxy| {
                if let (Came::Msg(done), Some(fleet)) = (event, &mut proxy.fleet) {
                    fleet.stored(Stored(done));
                }
            });
            source.map_err(|e| format!("fleet.duties: {}", e.error))?;
            let thread = std::thread::Builder::new().name("store".into());
            thread.spawn(move || store(folder, &receive, &done)).map_err(|e| format!("fleet.duties: {e}"))?;
            let _ = send.send(Job::Open(me.boot));
            jobs = Some(send);
        }
        info!(net.log, "takes part in the fleet's duties"; "voter" => number, "voters" => plan.voters.join(" "));
        Ok(FleetDuties {
            duties: Duties::new(settings, time_since_boot()),
            life: me.boot,
            me: number,
            jobs,
            done: VecDeque::new(),
            names: BTreeMap::from([(me.boot, me.name.clone())]),
            changes: BTreeMap::new(),
            failure: String::new(),
            failures: 0,
            drained: false,
            plan,
        })
    }

    /// The storing thread has answered; taken at the next turn.
    pub(crate) fn stored(&mut self, Stored(done): Stored) {
        self.done.push_back(done);
    }

    pub fn next_wake(&self) -> Instant {
        let left = self.duties.next_timeout() - time_since_boot();
        Instant::now() + Duration::from_micros(left.0.max(0) as u64)
    }

    /// The epoch under which this process may act on a duty right now.
    pub fn may_act(&self, duty: &str) -> Option<u64> {
        self.duties.may_act(time_since_boot(), duty)
    }

    /// It is drained or ends: what it owns goes to others at once. Or the drain has ended.
    pub fn drain(&mut self, drained: bool) {
        if self.drained != drained {
            self.drained = drained;
            self.duties.handle(time_since_boot(), if drained { Input::Leave } else { Input::Resume });
        }
    }

    /// An operator wants a duty elsewhere: at this member, or anywhere else. `Err`: why not.
    pub fn wish(&mut self, link: &Link, duty: &str, member: Option<&str>) -> Result<(), String> {
        let life = match member {
            None => 0,
            Some(name) if name == link.own_identity().name => self.life,
            Some(name) => {
                let found = link.other_members().find(|(id, s)| id.name == name && *s == MemberState::Alive);
                found.map(|(id, _)| id.boot).ok_or(format!("no member called {name:?} is alive"))?
            }
        };
        let all = self.plan.all_names();
        if !all.iter().any(|n| n == duty) {
            return Err(format!("no duty is called {duty:?}; there are {}", all.join(", ")));
        }
        self.duties.handle(time_since_boot(), Input::Move(duty, life));
        Ok(())
    }

    /// What is due, after each round of the event loop.
    pub fn turn(&mut self, net: &Net, link: &mut Link) {
        for (life, letter) in link.take_messages() {
            let voter = voter_of(&self.plan, link, life);
            self.duties.handle(time_since_boot(), Input::Message(From { life, voter }, &letter));
        }
        while let Some(done) = self.done.pop_front() {
            let now = time_since_boot();
            match done {
                Done::Opened(records, folder) => self.duties.handle(now, Input::Opened(&records, folder)),
                Done::Stored(n) => self.duties.handle(now, Input::Stored(n)),
                Done::Failed(why) => {
                    error!(net.log, "a voter's state can't be stored"; "error" => &why);
                    (self.failure, self.failures) = (why, self.failures + 1);
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
                Output::Store(n, record) => self.job(Job::Add(n, record)),
                Output::Replace(n, records) => self.job(Job::Replace(n, records)),
                Output::Reopen => self.job(Job::Open(self.life)),
                Output::Event(event) => self.tell(net, link, event),
            }
        }
    }

    fn job(&self, job: Job) {
        if let Some(jobs) = &self.jobs {
            // The thread ends with this process only.
            let _ = jobs.send(job);
        }
    }

    fn send(&mut self, link: &mut Link, to: Recipient, message: &[u8]) {
        let life = match to {
            Recipient::Member(life) => Some(life),
            Recipient::Voter(v) if Some(v) == self.me => Some(self.life),
            Recipient::Voter(v) => {
                let name = self.plan.voters.get(v as usize - 1);
                let found =
                    link.other_members().find(|(id, s)| Some(&id.name) == name && *s != MemberState::Down);
                found.map(|(id, _)| id.boot)
            }
        };
        match life {
            Some(life) if life == self.life => {
                let from = From { life, voter: self.me };
                self.duties.handle(time_since_boot(), Input::Message(from, message));
            }
            // What is lost on the way is sent again by who needs it.
            Some(life) => {
                link.send_message(life, message);
            }
            None => {}
        }
    }

    fn tell(&mut self, net: &Net, link: &Link, event: Event) {
        match event {
            Event::VotingStarted => info!(net.log, "this voter takes part"),
            Event::SteppedDown => {
                warn!(net.log, "this voter has stepped down until it can store again"; "error" => &self.failure)
            }
            Event::MayNotVote(Standing::NoState) => {
                info!(net.log, "this voter has no state, and asks the others")
            }
            Event::MayNotVote(standing) => {
                error!(net.log, "this voter may not vote"; "why" => standing_name(Some(standing)))
            }
            Event::VotersMismatch(life) => {
                let member =
                    link.other_members().find(|(id, _)| id.boot == life).map(|(id, _)| id.name.as_str());
                error!(net.log, "a member's file names other voters, or in another order: it is not heard";
                    "member" => member);
            }
            Event::StateUnreadable(why) => {
                error!(net.log, "this voter's state can't be read"; "error" => why)
            }
            Event::OwnedDuties(owned) => {
                let owned: Vec<String> = owned.iter().map(|(d, e)| format!("{d} {e}")).collect();
                info!(net.log, "owns these duties now, by epoch"; "duties" => owned.join(", "));
            }
            Event::OwnerChanged(change) => {
                let mut there = false;
                for (id, state) in
                    link.other_members().filter(|(id, _)| id.boot == change.from || id.boot == change.to)
                {
                    self.names.insert(id.boot, id.name.clone());
                    there |= id.boot == change.from && state != MemberState::Down;
                }
                there |= change.from == self.life;
                let why = match (change.from, there) {
                    (0, _) => "it is new",
                    (_, true) => "handed over",
                    (_, false) => "its owner was gone",
                };
                info!(net.log, "a duty has a new owner"; "duty" => &change.duty, "epoch" => change.epoch,
                    "from" => self.name(change.from), "to" => self.name(change.to), "why" => why);
                self.changes.insert(change.duty.clone(), (change, Instant::now(), why));
                // Names of lives that are neither in a change nor there any more are given up.
                let kept = |life: u64| self.changes.values().any(|(c, _, _)| c.from == life || c.to == life);
                let gone: Vec<u64> =
                    self.names.keys().copied().filter(|&l| l != self.life && !kept(l)).collect();
                gone.iter().for_each(|l| {
                    self.names.remove(l);
                });
            }
        }
    }

    fn name(&self, life: u64) -> String {
        match (life, self.names.get(&life)) {
            (0, _) => String::new(),
            (_, Some(name)) => name.clone(),
            (_, None) => format!("{life:016x}"),
        }
    }

    /// `GET /duties`.
    pub fn json(&self, link: &Link) -> Value {
        let now = time_since_boot();
        let left = |until: Option<Micros>| until.map_or(0, |u| (u - now).0.max(0) / 1000);
        let owned: Vec<Value> = self
            .duties
            .owned()
            .map(|(duty, epoch, until)| {
                json!({ "duty": duty, "epoch": epoch, "acts": self.may_act(duty) == Some(epoch), "left_ms": left(until) })
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
            .map(|(duty, held)| {
                let last = self.changes.get(duty).filter(|(c, _, _)| c.epoch == held.epoch);
                json!({
                    "duty": duty, "owner": name(held.owner), "life": format!("{:016x}", held.owner),
                    "epoch": held.epoch,
                    "since_ms": last.map(|(_, at, _)| at.elapsed().as_millis() as u64),
                    "from": last.map(|(c, _, _)| self.name(c.from)), "why": last.map(|(_, _, why)| *why),
                })
            })
            .collect();
        json!({
            "member": link.own_identity().name, "life": format!("{:016x}", self.life), "voters": self.plan.voters,
            "voter": self.me.is_some(), "standing": self.me.map(|_| standing_name(self.duties.standing())), "leads": self.duties.is_leader(),
            "decided": self.duties.ledger().map(|l| l.decided_entries()),
            "lease_ms": self.plan.lease.as_millis() as u64, "owned": owned, "duties": all,
            "store_failures": self.failures, "last_failure": &self.failure,
        })
    }

    /// Its lines of `/stats`.
    pub fn stats(&self, out: &mut String) {
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
        for (what, n) in [("store_failures", self.failures), ("unread", self.duties.dropped_messages())] {
            let _ = writeln!(out, "edge_gw.duties.{what}:{n}|c");
        }
    }
}

/// What the storing thread has answered, for the wiring alone.
pub(crate) struct Stored(Done);

fn voter_of(plan: &Plan, link: &Link, life: u64) -> Option<u64> {
    let name = link.other_members().find(|(id, _)| id.boot == life).map(|(id, _)| id.name.as_str())?;
    plan.voters.iter().position(|v| v == name).map(|at| at as u64 + 1)
}

fn standing_name(standing: Option<Standing>) -> &'static str {
    match standing {
        None => "down",
        Some(Standing::NoState) => "blank",
        Some(Standing::StateLost) => "lost",
        Some(Standing::OldCopy) => "old copy",
        Some(Standing::Voting) => "votes",
    }
}
