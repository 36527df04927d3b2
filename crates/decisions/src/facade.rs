//! The decision module as network code uses it: [`pick`](Decisions::pick) chooses a server for a request,
//! [`report`](Decisions::report) takes what has happened since, and [`tick`](Decisions::tick) has to be
//! called when [`next_tick`](Decisions::next_tick) is due. Each returns what is to be done now. Network code
//! uses no other types of the decision module than these.

use crate::balancer::{Balancer, EJECT_SCORE};
pub use crate::balancer::{MemoryHeld, MessageMemory, ResponseProgress, TimedOutResponse};
use crate::state::{HealthRecord, InFlightCall};
use garnettally_model::{
    Action, Event, HostList, ListForm, LoadReport, LocalObservations, Names, NewRequest, Outcome,
    PeerVerdict, ServerObservation, Site,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

pub use garnettally_model::{
    CallFailure, ClassId, Code, Effect, KeyId, ListedState, Micros, RequestId, ResponseStart, ServerId,
    TenantId,
};
pub use garnettally_subscription::{ListFreshness, ListReport};

/// A request for which an upstream is to be picked.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest {
    /// The id of the request, which the caller chooses and never reuses.
    pub request: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// The tenant of the request, if it is a known one.
    pub tenant: Option<TenantId>,
    /// When the client stops waiting for an answer.
    pub expires: Micros,
    /// The cost hint: the work that the client expects the request to be, if it gave one.
    pub cost: Option<Micros>,
    /// Whether the client says that it has tried this request before.
    pub repeat: bool,
    /// The key of the request, by which its class may order requests.
    pub key: Option<KeyId>,
}

/// Something that has happened and that the decisions depend on.
pub enum Report {
    /// An attempt has ended.
    Ended {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt among those of its request, from 0.
        attempt: u32,
        /// How the attempt ended.
        code: Code,
        /// The time from the send to the end of the attempt.
        latency: Duration,
        /// The part of the latency during which this process was busy and did not read from its sockets.
        local_delay: Duration,
        /// The number of requests that the upstream reports to have in progress.
        upstream_in_flight: Option<f64>,
        /// Whether the request has its final answer.
        answered: bool,
    },
    /// The head of a response that would serve its request, or reject it as faulty, has arrived; the body is
    /// not complete.
    ResponseStarted(ResponseStart),
    /// The client of a request has disconnected.
    ClientLeft(RequestId),
    /// The list that the balancer was started with, which may be out of date.
    InitialList(HostList),
    /// A list of upstreams, complete or as a delta, has come from discovery.
    List(HostList),
    /// Other instances have reached a verdict on an upstream, or withdrawn it.
    PeerVerdict(PeerVerdict),
    /// The request for a watch has failed, or the watch has ended.
    WatchFailed {
        /// Where a watch was open: the time since it last had delivered all changes completely.
        incomplete_for: Duration,
        /// How the watch or the request for it failed.
        failure: CallFailure,
    },
    /// The head of discovery's answer has arrived; the list is still to come.
    DiscoveryAnswerStarted,
    /// Discovery has moved to another address, and the watch at the old address has ended.
    DiscoveryMoved,
    /// The offset between the wall clock, by which lists date the starts of servers, and the times that are
    /// passed to this module has been measured.
    WallClock {
        /// How far the wall clock is ahead; a negative value means that it is behind.
        ahead: Micros,
    },
}

/// Something that the caller has to do now.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request to an upstream. The attempts of a request are numbered from 0 in the order of these
    /// decisions.
    Send {
        /// The request to send.
        request: RequestId,
        /// The upstream to send it to.
        upstream: ServerId,
        /// The time-out of the attempt.
        timeout: Duration,
    },
    /// Keep the request waiting; a later call returns the decision on it.
    Wait(RequestId),
    /// Answer the client finally that the request is refused; a repeat is harmless.
    Refuse {
        /// The request to answer.
        request: RequestId,
        /// How long the client is advised to wait before it tries again, if it is given advice.
        retry_after: Option<Duration>,
    },
    /// Answer the client finally that the request has failed; a repeat may not be harmless.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt among those of its request, from 0.
        attempt: u32,
    },
    /// Commit the response of an attempt: from now on it is passed on to the client as it arrives, and it is the
    /// final answer. An attempt that has ended meanwhile is left as it is.
    Commit {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The number of the attempt among those of its request, from 0.
        attempt: u32,
    },
    /// Request a watch from discovery.
    Watch,
    /// Write this line to the log.
    Log(String),
}

/// The decisions of one balancer.
pub struct Decisions {
    balancer: Balancer,
    names: Names,
    /// The effect that a repeat has, by class.
    effects: Vec<Effect>,
    /// The times, in microseconds, at which timers are due, the earliest first.
    due: BinaryHeap<Reverse<i64>>,
    /// The actions of the present event; the buffer is reused.
    actions: Vec<Action>,
}

impl Decisions {
    /// Creates a balancer that knows its settings and no upstreams yet.
    pub fn new(site: Site, seed: u64, now: Micros) -> Decisions {
        let Site { settings, names } = site;
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        let balancer = Balancer::new(settings, seed, now);
        Decisions { balancer, names, effects, due: BinaryHeap::new(), actions: Vec::new() }
    }

    /// Returns the names of the classes, in the order of their numbers.
    pub fn classes(&self) -> &[String] {
        self.names.classes()
    }

    /// Returns the class with this name, and the effect that a repeat of its requests has.
    pub fn class(&self, name: &str) -> Option<(ClassId, Effect)> {
        let class = self.names.class(name)?;
        Some((class, self.effects[class.0 as usize]))
    }

    /// Returns the tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.names.tenant(name)
    }

    /// Returns the number of an upstream that has been listed.
    pub fn upstream(&self, name: &str) -> Option<ServerId> {
        self.names.server_id(name)
    }

    /// Returns the name of an upstream.
    pub fn upstream_name(&self, id: ServerId) -> &str {
        self.names.server(id)
    }

    /// Decides on a new request, and on others that its arrival affects.
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

    /// Takes in something that has happened, and returns what is to be done about it.
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
            Report::ResponseStarted(start) => Event::ResponseStarted(start),
            Report::ClientLeft(request) => Event::ClientLeft(request),
            Report::PeerVerdict(verdict) => Event::PeerVerdict(verdict),
            Report::InitialList(list) => return self.handle_list(now, ListForm::Cached, &list),
            Report::List(list) => {
                let form = if list.whole { ListForm::Full } else { ListForm::Delta };
                return self.handle_list(now, form, &list);
            }
            Report::WatchFailed { incomplete_for, failure } => {
                let complete_until = Micros(now.0 - incomplete_for.as_micros() as i64);
                Event::WatchFailed { complete_until, failure }
            }
            Report::DiscoveryAnswerStarted => Event::DiscoveryAnswerStarted,
            Report::DiscoveryMoved => Event::DiscoveryMoved,
            Report::WallClock { ahead } => Event::WallClock { ahead },
        };
        self.handle(now, event)
    }

    /// Returns the freshness of the list of upstreams and the time of the next request for a watch; `None`:
    /// discovery pushes its lists, and no watch has to be requested.
    pub fn list_report(&self, now: Micros) -> Option<ListReport> {
        self.balancer.list_report(now)
    }

    /// Takes over the watch on discovery, and what is known of its list, from another balancer.
    pub fn take_over_watch(&mut self, previous: &Decisions) {
        self.balancer.take_over_watch(&previous.balancer);
    }

    /// Sets how many instances share the upstreams, and the number of this one among them, from 0.
    pub fn set_instances(&mut self, instances: u32, instance_index: u32) {
        self.balancer.set_instances(instances.max(1), instance_index.min(instances.saturating_sub(1)));
    }

    /// Returns what this instance has observed of its upstreams by its own calls.
    pub fn local_observations(&self, now: Micros) -> LocalObservations {
        LocalObservations {
            servers_in_use: self.balancer.servers_in_use(),
            servers: self.server_observations(now),
        }
    }

    /// Returns the observations of those upstreams that have had bad outcomes or have calls without an
    /// answer.
    fn server_observations(&self, now: Micros) -> Vec<ServerObservation> {
        let mut all = Vec::new();
        let no_records = [HealthRecord::default()];
        for server in self.balancer.servers().iter().filter(|server| server.entry.state == ListedState::Ready)
        {
            let unanswered = server.calls.iter().filter(|c| server.last_ok_at <= c.sent_at);
            let share =
                |c: &InFlightCall| (now - c.sent_at).0 as f64 / (c.overdue_at - c.sent_at).0.max(1) as f64;
            let overdue_share = unanswered.map(share).fold(0.0, f64::max);
            let records = if server.health.is_empty() && overdue_share > 0.0 {
                &no_records[..]
            } else {
                &server.health
            };
            for (key, record) in records.iter().enumerate() {
                // The score is computed from this instance's calls alone, also where a verdict of others came
                // first.
                let by_own_score = record.ejected_until.is_some()
                    && (record.by_own_score || record.outlier_score >= EJECT_SCORE);
                all.push(ServerObservation {
                    server: server.entry.server,
                    started_at: server.entry.started_at,
                    class: key.checked_sub(1).map(|c| ClassId(c as u32)),
                    // A low score does not end an ejection, so an ejected server counts as bad by 0.5 at the
                    // least.
                    severity: if by_own_score { record.outlier_score.max(0.5) } else { 0.0 },
                    outlier_score: record.outlier_score,
                    has_answered: server.has_answered,
                    is_unreachable: server.is_unreachable,
                    overdue_share: if key == 0 { overdue_share } else { 0.0 },
                    last_ended_at: server.last_ended_at,
                    last_ok_at: server.last_ok_at,
                });
            }
        }
        all
    }

    /// Returns when an upstream last started, as its list says.
    pub fn upstream_started_at(&self, id: ServerId) -> Option<Micros> {
        self.balancer.servers().get(id.0 as usize)?.entry.started_at
    }

    /// Returns how many upstreams have ever been listed; they are numbered from 0.
    pub fn upstream_count(&self) -> usize {
        self.balancer.servers().len()
    }

    /// Returns how many upstreams are listed as ready.
    pub fn ready_count(&self) -> usize {
        self.balancer.servers().iter().filter(|server| server.entry.state == ListedState::Ready).count()
    }

    /// Decides what depends on time alone, if [`next_tick`](Decisions::next_tick) is due.
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

    /// Returns when the next call of [`tick`](Decisions::tick) is due; `None`: nothing depends on time alone.
    pub fn next_tick(&self) -> Option<Micros> {
        self.due.peek().map(|at| Micros(at.0))
    }

    fn handle_list(&mut self, now: Micros, form: ListForm, list: &HostList) -> Vec<Decision> {
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
                Action::Commit { id, attempt } => Decision::Commit { request: id, attempt },
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
