//! The module in blocking style: ask it to [`pick`](Decisions::pick), [`report`](Decisions::report) what
//! came of it, and [`tick`](Decisions::tick) when it is due. Network code sees these types alone.

use crate::balancer::{Balancer, EJECT_SCORE};
use crate::state::{HealthRecord, InFlightCall};
use garnettally_model::{
    Action, Event, HostList, ListForm, LoadReport, LocalObservations, Names, NewRequest, Outcome,
    PeerVerdict, ServerObservation, Site,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

pub use garnettally_model::{
    CallFailure, ClassId, Code, Effect, KeyId, ListedState, Micros, RequestId, ServerId, TenantId,
};
pub use garnettally_subscription::{ListReport, ListStanding};

/// A request that wants an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest {
    /// A number of the caller's choosing, never used again.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if it is a known one.
    pub tenant: Option<TenantId>,
    /// When its client gives up.
    pub expires: Micros,
    /// The work it expects to be, if it says.
    pub cost: Option<Micros>,
    /// Its client has tried before.
    pub repeat: bool,
    /// What it concerns.
    pub key: Option<KeyId>,
}

/// What has become known since.
pub enum Report {
    /// An attempt has ended.
    Ended {
        /// Of this request.
        request: RequestId,
        /// Its number among the request's sends, from 0.
        attempt: u32,
        /// How.
        code: Code,
        /// How long after it was sent.
        latency: Duration,
        /// For how much of that this process did not look at its sockets.
        local_delay: Duration,
        /// The requests that its upstream says to hold.
        upstream_in_flight: Option<f64>,
        /// The request has had its answer.
        answered: bool,
    },
    /// The client has gone away.
    ClientLeft(RequestId),
    /// The list that the balancer was started with, which may be old.
    InitialList(HostList),
    /// News of the upstreams.
    List(HostList),
    /// What other instances have found out about an upstream.
    PeerVerdict(PeerVerdict),
    /// The watch that was asked for could not be had, or has ended.
    WatchFailed {
        /// Where a watch was open: how long before this it had last told, in whole, of all changes.
        incomplete_for: Duration,
        /// What was seen.
        failure: CallFailure,
    },
    /// The head of discovery's answer has come; the list is still to come.
    DiscoveryAnswerStarted,
    /// Discovery is at another address from now on; the watch on the old one has ended.
    DiscoveryMoved,
    /// The clock that lists date starts by is so far ahead of the times handed in here; below 0: behind.
    WallClock {
        /// By so much.
        ahead: Micros,
    },
}

/// What is to be done now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to this upstream and give it so long. Its attempts are numbered from 0 in order.
    Send {
        /// The request.
        request: RequestId,
        /// The upstream.
        upstream: ServerId,
        /// The time-out.
        timeout: Duration,
    },
    /// Keep the request; a later call decides.
    Wait(RequestId),
    /// Final answer: refused, and trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long its client should stay away, if it is to be told.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Call an attempt off.
    Cancel {
        /// Of this request.
        request: RequestId,
        /// This one.
        attempt: u32,
    },
    /// Start to watch discovery.
    Watch,
    /// A line for the log.
    Log(String),
}

/// The decisions of one balancer.
pub struct Decisions {
    balancer: Balancer,
    names: Names,
    effects: Vec<Effect>,
    due: BinaryHeap<Reverse<i64>>,
    actions: Vec<Action>,
}

impl Decisions {
    /// A fresh module.
    pub fn new(site: Site, seed: u64, now: Micros) -> Decisions {
        let Site { settings, names } = site;
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        let balancer = Balancer::new(settings, seed, now);
        Decisions { balancer, names, effects, due: BinaryHeap::new(), actions: Vec::new() }
    }

    /// The names of the classes, in the order of their numbers.
    pub fn classes(&self) -> &[String] {
        self.names.classes()
    }

    /// The class of this name, and what a repeat of it does.
    pub fn class(&self, name: &str) -> Option<(ClassId, Effect)> {
        let class = self.names.class(name)?;
        Some((class, self.effects[class.0 as usize]))
    }

    /// The tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.names.tenant(name)
    }

    /// The number of a listed upstream.
    pub fn upstream(&self, name: &str) -> Option<ServerId> {
        self.names.server_id(name)
    }

    /// The name of an upstream.
    pub fn upstream_name(&self, id: ServerId) -> &str {
        self.names.server(id)
    }

    /// Where a new request goes, and what follows from its coming for others.
    pub fn pick(&mut self, now: Micros, ask: PickRequest) -> Vec<Decision> {
        let new = NewRequest {
            id: ask.request,
            class: ask.class,
            tenant: ask.tenant,
            expires: ask.expires,
            hint: ask.cost,
            repeat: ask.repeat,
            key: ask.key,
        };
        let mut decisions = self.handle(now, Event::Request(new));
        let settled = decisions.iter().any(|d| match d {
            Decision::Send { request, .. } | Decision::Refuse { request, .. } | Decision::Fail(request) => {
                *request == ask.request
            }
            _ => false,
        });
        if !settled {
            decisions.push(Decision::Wait(ask.request));
        }
        decisions
    }

    /// Takes in what has become known, and says what follows from it.
    pub fn report(&mut self, now: Micros, report: Report) -> Vec<Decision> {
        let event = match report {
            Report::Ended { request, attempt, code, latency, local_delay, upstream_in_flight, answered } => {
                Event::Outcome(Outcome {
                    id: request,
                    attempt,
                    code,
                    latency: Micros(latency.as_micros() as i64),
                    local_delay: Micros(local_delay.as_micros() as i64),
                    is_final: answered,
                    load: upstream_in_flight.map(|count| LoadReport { in_flight: Some(count) }),
                })
            }
            Report::ClientLeft(request) => Event::ClientLeft(request),
            Report::PeerVerdict(verdict) => Event::PeerVerdict(verdict),
            Report::InitialList(list) => return self.hosts(now, ListForm::Cached, &list),
            Report::List(list) => {
                let form = if list.whole { ListForm::Full } else { ListForm::Delta };
                return self.hosts(now, form, &list);
            }
            Report::WatchFailed { incomplete_for: silent, failure } => {
                Event::WatchFailed { complete_until: Micros(now.0 - silent.as_micros() as i64), failure }
            }
            Report::DiscoveryAnswerStarted => Event::DiscoveryAnswerStarted,
            Report::DiscoveryMoved => Event::DiscoveryMoved,
            Report::WallClock { ahead } => Event::WallClock { ahead },
        };
        self.handle(now, event)
    }

    /// What is known of the list of upstreams; `None`: discovery need not be asked for it.
    pub fn list_standing(&self, now: Micros) -> Option<ListReport> {
        self.balancer.list_standing(now)
    }

    /// Another module has asked for the watch until now, and this one does from here on.
    pub fn take_over_watch(&mut self, before: &Decisions) {
        self.balancer.take_over_watch(&before.balancer);
    }

    /// So many instances share the upstreams from now on, and this is the number, from 0, of this one.
    pub fn set_instances(&mut self, instances: u32, me: u32) {
        self.balancer.set_instances(instances.max(1), me.min(instances.saturating_sub(1)));
    }

    /// What this instance has found out by its own calls.
    pub fn local_observations(&self, now: Micros) -> LocalObservations {
        LocalObservations { servers_in_use: self.balancer.servers_in_use(), servers: self.opinions(now) }
    }

    /// What it has found out of those upstreams that it has had doubts about.
    fn opinions(&self, now: Micros) -> Vec<ServerObservation> {
        let mut all = Vec::new();
        let no_mark = [HealthRecord::default()];
        for s in self.balancer.servers().iter().filter(|s| s.entry.state == ListedState::Ready) {
            let unanswered = s.calls.iter().filter(|f| s.last_ok_at <= f.sent_at);
            let part =
                |f: &InFlightCall| (now - f.sent_at).0 as f64 / (f.overdue_at - f.sent_at).0.max(1) as f64;
            let silent = unanswered.map(part).fold(0.0, f64::max);
            let marks = if s.health.is_empty() && silent > 0.0 { &no_mark[..] } else { &s.health };
            for (key, m) in marks.iter().enumerate() {
                // Its score is made of its own calls alone, also where hearsay came first.
                let own = m.ejected_until.is_some() && (m.by_own_score || m.outlier_score >= EJECT_SCORE);
                all.push(ServerObservation {
                    server: s.entry.server,
                    started_at: s.entry.started_at,
                    class: key.checked_sub(1).map(|c| ClassId(c as u32)),
                    // While it is ejected it is as bad as what it was ejected for, at the least.
                    severity: if own { m.outlier_score.max(0.5) } else { 0.0 },
                    outlier_score: m.outlier_score,
                    has_answered: s.has_answered,
                    is_unreachable: s.is_unreachable,
                    overdue_share: if key == 0 { silent } else { 0.0 },
                    last_ended_at: s.last_ended_at,
                    last_ok_at: s.last_ok_at,
                });
            }
        }
        all
    }

    /// When an upstream last started, as its list says.
    pub fn upstream_started_at(&self, id: ServerId) -> Option<Micros> {
        self.balancer.servers().get(id.0 as usize)?.entry.started_at
    }

    /// How many upstreams were ever met; they are numbered from 0.
    pub fn upstream_count(&self) -> usize {
        self.balancer.servers().len()
    }

    /// How many upstreams are listed as ready.
    pub fn ready_count(&self) -> usize {
        self.balancer.servers().iter().filter(|s| s.entry.state == ListedState::Ready).count()
    }

    /// Lets time pass, if it is due.
    pub fn tick(&mut self, now: Micros) -> Vec<Decision> {
        let mut due = false;
        while self.due.peek().is_some_and(|at| at.0 <= now.0) {
            self.due.pop();
            due = true;
        }
        match due {
            true => self.handle(now, Event::Timer(0)),
            false => Vec::new(),
        }
    }

    /// When the next tick is due.
    pub fn next_tick(&self) -> Option<Micros> {
        self.due.peek().map(|at| Micros(at.0))
    }

    fn hosts(&mut self, now: Micros, form: ListForm, list: &HostList) -> Vec<Decision> {
        let entries: Vec<_> = list.hosts.iter().map(|(listing, _)| self.names.register(listing)).collect();
        self.handle(now, Event::List { form, entries: &entries })
    }

    fn handle(&mut self, now: Micros, event: Event<'_>) -> Vec<Decision> {
        self.balancer.handle(now, event, &mut self.actions);
        let due = &mut self.due;
        let time = |m: Micros| Duration::from_micros(m.0.max(0) as u64);
        let decisions = self.actions.drain(..).filter_map(|action| {
            Some(match action {
                Action::Send { id, server, timeout } => {
                    Decision::Send { request: id, upstream: server, timeout: time(timeout) }
                }
                Action::Cancel { id, attempt } => Decision::Cancel { request: id, attempt },
                Action::Refuse { id, retry_after } => {
                    let retry_after = Some(time(retry_after)).filter(|t| !t.is_zero());
                    Decision::Refuse { request: id, retry_after }
                }
                Action::Fail { id } => Decision::Fail(id),
                Action::Watch => Decision::Watch,
                Action::Log(text) => Decision::Log(text),
                Action::Timer { at, .. } => {
                    due.push(Reverse(at.0));
                    return None;
                }
            })
        });
        decisions.collect()
    }
}
