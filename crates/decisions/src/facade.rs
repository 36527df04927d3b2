//! The module in blocking style: ask it to [`pick`](Decisions::pick), [`report`](Decisions::report) what
//! came of it, and [`tick`](Decisions::tick) when it is due. Network code sees these types alone.

use crate::balancer::{Balancer, BAD_EJECT};
use crate::state::{Flight, Mark};
use garnettally_model::{
    Action, Event, Findings, Form, Hearsay, HostList, Load, Names, NewRequest, Opinion, Outcome, Site,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

pub use garnettally_model::{
    CallFailure, ClassId, Code, Effect, KeyId, Listed, Micros, RequestId, ServerId, TenantId,
};
pub use garnettally_subscription::{ListFreshness, ListReport};

/// A request that wants an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
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
        held_up: Duration,
        /// The requests that its upstream says to hold.
        held: Option<f64>,
        /// The request has had its answer.
        answered: bool,
    },
    /// The client has gone away.
    Gone(RequestId),
    /// The list that the balancer was started with, which may be old.
    Known(HostList),
    /// News of the upstreams.
    Hosts(HostList),
    /// What other instances have found out about an upstream.
    Heard(Hearsay),
    /// The watch that was asked for could not be had, or has ended.
    WatchFailed {
        /// Where a watch was open: how long before this it had last told, in whole, of all changes.
        silent: Duration,
        /// What was seen.
        failure: CallFailure,
    },
    /// The head of discovery's answer has come; the list is still to come.
    DiscoveryAnswers,
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
    Note(String),
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
    pub fn pick(&mut self, now: Micros, ask: Ask) -> Vec<Decision> {
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
            Report::Ended { request, attempt, code, latency, held_up, held, answered } => {
                Event::Outcome(Outcome {
                    id: request,
                    attempt,
                    code,
                    latency: Micros(latency.as_micros() as i64),
                    held_up: Micros(held_up.as_micros() as i64),
                    terminal: answered,
                    load: held.map(|held| Load { held: Some(held) }),
                })
            }
            Report::Gone(request) => Event::Gone(request),
            Report::Heard(heard) => Event::Hearsay(heard),
            Report::Known(list) => return self.hosts(now, Form::Cached, &list),
            Report::Hosts(list) => {
                let form = if list.whole { Form::Full } else { Form::Delta };
                return self.hosts(now, form, &list);
            }
            Report::WatchFailed { silent, failure } => {
                Event::Unwatched { since: Micros(now.0 - silent.as_micros() as i64), failure }
            }
            Report::DiscoveryAnswers => Event::DiscoveryAnswers,
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
    pub fn share(&mut self, instances: u32, me: u32) {
        self.balancer.share(instances.max(1), me.min(instances.saturating_sub(1)));
    }

    /// What this instance has found out by its own calls.
    pub fn findings(&self, now: Micros) -> Findings {
        Findings { sends_to: self.balancer.sends_to(), opinions: self.opinions(now) }
    }

    /// What it has found out of those upstreams that it has had doubts about.
    fn opinions(&self, now: Micros) -> Vec<Opinion> {
        let mut all = Vec::new();
        let no_mark = [Mark::default()];
        for s in self.balancer.servers().iter().filter(|s| s.news.state == Listed::Ready) {
            let unanswered = s.flights.iter().filter(|f| s.last_ok <= f.sent);
            let part = |f: &Flight| (now - f.sent).0 as f64 / (f.overdue_at - f.sent).0.max(1) as f64;
            let silent = unanswered.map(part).fold(0.0, f64::max);
            let marks = if s.marks.is_empty() && silent > 0.0 { &no_mark[..] } else { &s.marks };
            for (key, m) in marks.iter().enumerate() {
                // Its score is made of its own calls alone, also where hearsay came first.
                let own = m.ejected_until.is_some() && (m.own || m.bad >= BAD_EJECT);
                all.push(Opinion {
                    server: s.news.server,
                    since: s.news.since,
                    class: key.checked_sub(1).map(|c| ClassId(c as u32)),
                    // While it is ejected it is as bad as what it was ejected for, at the least.
                    bad: if own { m.bad.max(0.5) } else { 0.0 },
                    score: m.bad,
                    answered: s.answered,
                    unreachable: s.shut,
                    silent: if key == 0 { silent } else { 0.0 },
                    at: s.last_end,
                    ok_at: s.last_ok,
                });
            }
        }
        all
    }

    /// When an upstream last started, as its list says.
    pub fn started(&self, id: ServerId) -> Option<Micros> {
        self.balancer.servers().get(id.0 as usize)?.news.since
    }

    /// How many upstreams were ever met; they are numbered from 0.
    pub fn met(&self) -> usize {
        self.balancer.servers().len()
    }

    /// How many upstreams are listed as ready.
    pub fn ready(&self) -> usize {
        self.balancer.servers().iter().filter(|s| s.news.state == Listed::Ready).count()
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

    fn hosts(&mut self, now: Micros, form: Form, list: &HostList) -> Vec<Decision> {
        let entries: Vec<_> = list.hosts.iter().map(|(listing, _)| self.names.news(listing)).collect();
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
                Action::Log(text) => Decision::Note(text),
                Action::Timer { at, .. } => {
                    due.push(Reverse(at.0));
                    return None;
                }
            })
        });
        decisions.collect()
    }
}
