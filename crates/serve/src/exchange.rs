//! The life of a request: taken from a caller, decided on by the module, tried, and answered once.

use crate::http::{Answer, Call, Request};
use crate::upstreams::Ended;
use crate::{ConnId, Proxy};
use garnettally_decisions::facade::{Ask, Code, Decision, Effect, Listed, Micros, Report, RequestId};
use garnettally_model::key;
use rustc_hash::{FxHashMap, FxHashSet};
use slog::{debug, info};
use std::time::{Duration, Instant};

/// Why a call can't be taken.
pub enum Unfit {
    /// No class has its name.
    Class,
    /// It says to change nothing where its class changes something, or the other way round.
    Method,
    /// Its class wants a key, and it has none.
    NoKey,
    /// It has the id of a request that is still open.
    IdInUse,
}

/// The one answer that every request gets.
pub enum Final<'a> {
    /// An upstream's: served, or turned away for what it is.
    Passed(&'a Answer),
    /// Trying again is harmless.
    Refused { retry_after: Option<Duration> },
    /// Nothing is promised.
    Failed,
}

/// One request that has been taken.
struct Exchange {
    caller: ConnId,
    id: String,
    request: Box<Request>,
    /// Attempts so far, and those of them that are out.
    sends: u32,
    out: u32,
    /// It has had its answer, or its client is gone.
    over: bool,
}

/// What the module is to hear of at its next turn.
enum News {
    Asked(Ask),
    Known(Report),
}

/// The requests, and what the module has not heard of yet.
#[derive(Default)]
pub struct Exchanges {
    open: FxHashMap<RequestId, Exchange>,
    /// The ids of those that wait for their answer.
    ids: FxHashSet<String>,
    next: u64,
    news: Vec<News>,
    first_news: Option<Instant>,
    ready: bool,
}

impl Exchanges {
    /// Has the module hear of this at its next turn.
    pub fn queue(&mut self, report: Report, now: Instant) {
        self.add(News::Known(report), now);
    }

    /// Keeps the message of a request just taken, to be sent to upstreams.
    pub fn keep(&mut self, number: RequestId, request: Box<Request>) {
        if let Some(x) = self.open.get_mut(&number) {
            x.request = request;
        }
    }

    fn add(&mut self, news: News, now: Instant) {
        self.news.push(news);
        self.first_news.get_or_insert(now);
    }

    /// Whether a request still waits for its answer.
    pub fn owes(&self) -> bool {
        !self.ids.is_empty()
    }

    /// The caller who waits for this request's answer, which is due or needed no more; `None`: nobody does.
    fn conclude(&mut self, number: RequestId) -> Option<ConnId> {
        let x = self.open.get_mut(&number).filter(|x| !x.over)?;
        x.over = true;
        self.ids.remove(&x.id);
        Some(x.caller)
    }
}

impl Proxy {
    /// Whether a request could be served.
    pub fn ready(&self) -> bool {
        self.exchanges.ready && !self.shutdown.closing()
    }

    /// Takes a call, or says why it can't be taken.
    pub fn take_request(&mut self, caller: ConnId, call: &Call<'_>) -> Result<RequestId, Unfit> {
        let now = Instant::now();
        let (class, effect) = self.decisions.class(call.class).ok_or(Unfit::Class)?;
        match effect {
            Effect::Safe if !call.read_only => return Err(Unfit::Method),
            Effect::Keyed { .. } | Effect::Unsafe if call.read_only => return Err(Unfit::Method),
            Effect::Keyed { .. } if !call.keyed => return Err(Unfit::NoKey),
            _ => {}
        }
        if !self.exchanges.ids.insert(call.id.to_string()) {
            return Err(Unfit::IdInUse);
        }
        let micros = |d: Duration| Micros(d.as_micros() as i64);
        let expires = self.net.clock.at(now) + micros(call.deadline);
        self.exchanges.next += 1;
        let number = RequestId(self.exchanges.next);
        let ask = Ask {
            request: number,
            class,
            tenant: call.owner.and_then(|t| self.decisions.tenant(t)),
            expires: self.shutdown.answer_by().map_or(expires, |by| expires.min(self.net.clock.at(by))),
            cost: call.cost.map(micros).filter(|c| c.0 > 0),
            repeat: call.repeat,
            key: call.subject.map(key),
        };
        let id = call.id.to_string();
        let exchange = Exchange { caller, id, request: Box::default(), sends: 0, out: 0, over: false };
        self.exchanges.open.insert(number, exchange);
        self.exchanges.add(News::Asked(ask), now);
        Ok(number)
    }

    /// The client has closed its connection.
    pub fn client_gone(&mut self, request: RequestId) {
        if self.exchanges.conclude(request).is_some() {
            self.exchanges.queue(Report::Gone(request), Instant::now());
        }
    }

    /// An attempt has ended: the first one served is the answer, at once, and so is the word that the request
    /// itself is at fault. The rest is for the module.
    pub fn attempt_ended(&mut self, ended: Ended) {
        let (request, attempt) = ended.attempt;
        let Some(x) = self.exchanges.open.get_mut(&request) else { return };
        x.out -= 1;
        let over = x.over;
        let passed = match ended.code {
            Code::Ok | Code::Rejected => self.exchanges.conclude(request),
            _ => None,
        };
        let answered = over || passed.is_some();
        if ended.code != Code::Ok {
            debug!(self.net.log, "attempt"; "request" => request.0, "ended" => ?ended.code,
                "ms" => ended.latency.as_millis() as u64);
        }
        let held = ended.answer.as_ref().and_then(|a| a.held);
        let (code, latency) = (ended.code, ended.latency);
        let report = Report::Ended { request, attempt, code, latency, held, answered };
        self.exchanges.queue(report, Instant::now());
        if let (Some(caller), Some(answer)) = (passed, ended.answer) {
            self.answer_caller(caller, Final::Passed(&answer));
        }
    }

    /// When the module is to be asked next: once in its resolution, if there is anything to tell it.
    pub fn next_consultation(&self) -> Option<Instant> {
        let due = self.decisions.next_tick().map(|at| self.net.clock.instant(self.round_up(at)));
        let news =
            self.exchanges.first_news.map(|at| self.net.clock.instant(self.round_up(self.net.clock.at(at))));
        due.into_iter().chain(news).min()
    }

    fn round_up(&self, at: Micros) -> Micros {
        let step = self.net.limits.resolution.as_micros() as i64;
        if step == 0 {
            return at;
        }
        Micros((at.0 + step - 1).div_euclid(step) * step)
    }

    /// Tells the module what has come in, then lets time pass there, and does what it decides.
    pub fn consult(&mut self, at: Instant) {
        if self.next_consultation().is_none_or(|due| due > at) {
            return;
        }
        let now = self.net.clock.at(at);
        self.exchanges.first_news = None;
        for news in std::mem::take(&mut self.exchanges.news) {
            let ended = match &news {
                News::Known(Report::Ended { request, .. } | Report::Gone(request)) => Some(*request),
                _ => None,
            };
            let decisions = match news {
                News::Asked(ask) => self.decisions.pick(now, ask),
                News::Known(report) => self.tell(now, report),
            };
            self.carry_out(decisions);
            if let Some(request) = ended {
                self.forget(request);
            }
        }
        // Time last, as in the simulator: what came in by now may have made room for what waits.
        let tick = self.decisions.tick(now);
        self.carry_out(tick);
    }

    fn tell(&mut self, now: Micros, report: Report) -> Vec<Decision> {
        let mut found = Vec::new();
        if let Report::Hosts(list) | Report::Known(list) = &report {
            for (listing, dial) in &list.hosts {
                found.push((listing.name.clone(), *dial, listing.state == Listed::Ready));
            }
        }
        let decisions = self.decisions.report(now, report);
        // The module has numbered them; nothing it decides is carried out before they have an address.
        for (name, dial, ready) in found {
            let Some(id) = self.decisions.upstream(&name) else { continue };
            self.exchanges.ready |= ready;
            if let Some(address) = dial {
                self.upstreams.moved(&self.net, id, address);
            }
            if !ready {
                self.upstreams.close_idle(&self.net, id);
            }
        }
        decisions
    }

    fn forget(&mut self, request: RequestId) {
        if self.exchanges.open.get(&request).is_some_and(|x| x.over && x.out == 0) {
            self.exchanges.open.remove(&request);
        }
    }

    fn carry_out(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Send { request, upstream, timeout } => {
                    let Some(x) = self.exchanges.open.get_mut(&request) else { continue };
                    let attempt = (request, x.sends);
                    (x.sends, x.out) = (x.sends + 1, x.out + 1);
                    if x.over {
                        let ended =
                            Ended { attempt, code: Code::Moot, latency: Duration::ZERO, answer: None };
                        self.attempt_ended(ended);
                        continue;
                    }
                    let asked = std::mem::take(&mut x.request);
                    self.send_attempt(attempt, upstream, &asked, timeout);
                    if let Some(x) = self.exchanges.open.get_mut(&request) {
                        x.request = asked;
                    }
                }
                Decision::Wait(_) => {}
                Decision::Refuse { request, retry_after } => {
                    self.finish(request, Final::Refused { retry_after });
                }
                Decision::Fail(request) => self.finish(request, Final::Failed),
                Decision::Cancel { request, attempt } => {
                    if let Some(ended) = self.upstreams.cancel(&self.net, (request, attempt)) {
                        self.attempt_ended(ended);
                    }
                }
                Decision::Watch => self.start_watch(),
                Decision::Note(text) => info!(self.net.log, "{}", text),
            }
        }
    }

    /// The module's final answer, if the request has had none.
    fn finish(&mut self, request: RequestId, answer: Final<'_>) {
        let Some(caller) = self.exchanges.conclude(request) else { return };
        self.forget(request);
        self.answer_caller(caller, answer);
    }
}
