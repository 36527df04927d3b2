//! The instances of one process, each with its own names and its own [`Balancer`].

use crate::wire::{self, In, Out};
use garnettally_decisions::*;
use rustc_hash::FxHashMap;

/// A request's name on the wire, and when it can be forgotten.
struct Open {
    tid: String,
    sends: u32,
    out: Vec<u32>,
    over: bool,
}

struct Instance {
    balancer: Balancer,
    names: Names,
    ids: FxHashMap<String, u64>,
    open: FxHashMap<u64, Open>,
    next_id: u64,
}

/// All instances of the process; they share nothing but the numbered lists, which the wire shares.
#[derive(Default)]
pub struct Host {
    now: Option<Micros>,
    lists: Vec<Option<Vec<Listing>>>,
    instances: FxHashMap<u64, Instance>,
    news: Vec<ServerEntry>,
    actions: Vec<Action>,
    reply: Vec<u8>,
}

impl Host {
    /// Takes one message; true: the batch is whole, and its reply is ready.
    pub fn take(&mut self, message: In<'_>) -> Result<bool, String> {
        match message {
            In::Frame(f) => {
                self.now = Some(Micros(f.at_time_us));
                self.reply.clear();
            }
            In::Commit(_) => {
                self.now()?;
                write(&mut self.reply, &Out::Eor {});
                self.now = None;
                return Ok(true);
            }
            In::Census(c) => self.census(c)?,
            In::Boot(b) => {
                let instance = Instance::new(&b, self.now()?)?;
                self.instances.insert(b.balancer, instance);
            }
            In::Retire(r) => {
                self.instances.remove(&r.balancer);
            }
            In::Announce(a) => self.announce(&a)?,
            In::Knock(k) => {
                let (now, instance) = self.at(k.balancer)?;
                let event = instance.knock(&k);
                self.event(k.balancer, now, event)?;
            }
            In::HeadReceived(h) => {
                self.at(h.balancer)?;
            }
            In::Finished(f) => self.finished(&f)?,
            In::ClientLeft(l) => {
                let (now, instance) = self.at(l.balancer)?;
                if let Some(&id) = instance.ids.get(&*l.tid) {
                    self.event(l.balancer, now, Event::ClientLeft(RequestId(id)))?;
                    self.instance(l.balancer)?.end(id);
                }
            }
            In::Timer(t) => {
                let (now, _) = self.at(t.balancer)?;
                self.event(t.balancer, now, Event::Timer(t.token))?;
            }
            In::Checked(c) => {
                self.at(c.balancer)?;
            }
            In::PeerData(p) => {
                self.at(p.balancer)?;
            }
        }
        Ok(false)
    }

    /// The reply of the batch just read.
    pub fn reply(&self) -> &[u8] {
        &self.reply
    }

    fn now(&self) -> Result<Micros, String> {
        self.now.ok_or_else(|| "a message outside a batch".to_string())
    }

    fn instance(&mut self, number: u64) -> Result<&mut Instance, String> {
        self.instances.get_mut(&number).ok_or_else(|| format!("balancer {number} was never booted"))
    }

    fn at(&mut self, number: u64) -> Result<(Micros, &mut Instance), String> {
        let now = self.now()?;
        Ok((now, self.instance(number)?))
    }

    fn event(&mut self, number: u64, now: Micros, event: Event<'_>) -> Result<(), String> {
        let mut actions = std::mem::take(&mut self.actions);
        let mut reply = std::mem::take(&mut self.reply);
        let instance = self.instance(number)?;
        instance.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            instance.write(number, &action, &mut reply);
        }
        self.actions = actions;
        self.reply = reply;
        Ok(())
    }

    fn census(&mut self, c: wire::Census<'_>) -> Result<(), String> {
        if c.set_id > 15 {
            return Err(format!("list number {} is not between 0 and 15", c.set_id));
        }
        let mut list = Vec::with_capacity(c.entries.len());
        for e in c.entries {
            let state = match e.health {
                0 => ListedState::Removed,
                1 => ListedState::Ready,
                2 => ListedState::Draining,
                other => return Err(format!("unknown health {other}")),
            };
            list.push(Listing {
                name: e.upstream.into_owned(),
                zone: e.zone.map(|z| z.into_owned()),
                kind: e.kind.map(|k| k.into_owned()),
                cell: e.block.unwrap_or(0),
                state,
                units: e.units.unwrap_or(1.0),
                started_at: e.online_since_us.filter(|&t| t != 0).map(Micros),
            });
        }
        if self.lists.len() <= c.set_id {
            self.lists.resize_with(c.set_id + 1, || None);
        }
        self.lists[c.set_id] = Some(list);
        Ok(())
    }

    fn announce(&mut self, a: &wire::Announce) -> Result<(), String> {
        let now = self.now()?;
        let form = match a.form {
            0 => ListForm::Delta,
            1 => ListForm::Full,
            2 => {
                return self.event(
                    a.balancer,
                    now,
                    Event::WatchFailed { complete_until: now, failure: CallFailure::Busy },
                )
            }
            3 => ListForm::Cached,
            other => return Err(format!("unknown form {other}")),
        };
        let mut news = std::mem::take(&mut self.news);
        news.clear();
        let list = a.set_id.and_then(|i| self.lists.get(i)).and_then(Option::as_ref);
        let list = list.ok_or_else(|| format!("list {:?} was never given", a.set_id))?;
        let instance = self.instances.get_mut(&a.balancer);
        let instance = instance.ok_or_else(|| format!("balancer {} was never booted", a.balancer))?;
        news.extend(list.iter().map(|l| instance.names.register(l)));
        self.event(a.balancer, now, Event::List { form, entries: &news })?;
        self.news = news;
        Ok(())
    }

    fn finished(&mut self, f: &wire::Finished<'_>) -> Result<(), String> {
        let code = code(f.state_code)?;
        let (now, instance) = self.at(f.balancer)?;
        let Some(&id) = instance.ids.get(&*f.tid) else { return Ok(()) };
        let outcome = Outcome {
            id: RequestId(id),
            attempt: f.n,
            code,
            latency: Micros(f.latency_us.unwrap_or(0)),
            local_delay: Micros(0),
            is_final: f.terminal,
            load: f.feedback.as_ref().map(|l| LoadReport { in_flight: l.rif }),
        };
        if let Some(open) = instance.open.get_mut(&id) {
            open.out.retain(|&n| n != f.n);
        }
        self.event(f.balancer, now, Event::Outcome(outcome))?;
        let instance = self.instance(f.balancer)?;
        if f.terminal {
            instance.end(id);
        } else {
            instance.forget(id);
        }
        Ok(())
    }
}

impl Instance {
    fn new(b: &wire::Boot<'_>, now: Micros) -> Result<Instance, String> {
        let site = b.facts.site()?;
        Ok(Instance {
            balancer: Balancer::new(site.settings, b.random_seed, now),
            names: site.names,
            ids: FxHashMap::default(),
            open: FxHashMap::default(),
            next_id: 0,
        })
    }

    fn knock(&mut self, k: &wire::Knock<'_>) -> Event<'static> {
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(k.tid.to_string(), id);
        self.open.insert(id, Open { tid: k.tid.to_string(), sends: 0, out: Vec::new(), over: false });
        // A class outside the settings gets a number that no class has, and the module answers it.
        let class = self.names.class(&k.grade).unwrap_or(ClassId(u32::MAX));
        let tenant = match &k.billing {
            Some(wire::Name::Text(name)) => self.names.tenant(name),
            _ => None,
        };
        let flags = k.flags.unwrap_or(0);
        Event::Request(NewRequest {
            id: RequestId(id),
            class,
            tenant,
            expires: Micros(k.expires_us),
            hint: k.expected_us.filter(|_| flags & 1 != 0).map(Micros),
            repeat: flags & 2 != 0,
            key: k.subject.as_deref().map(key_id),
        })
    }

    fn end(&mut self, id: u64) {
        if let Some(open) = self.open.get_mut(&id) {
            open.over = true;
        }
        self.forget(id);
    }

    fn forget(&mut self, id: u64) {
        if self.open.get(&id).is_some_and(|o| o.over && o.out.is_empty()) {
            if let Some(open) = self.open.remove(&id) {
                self.ids.remove(&open.tid);
            }
        }
    }

    fn write(&mut self, balancer: u64, action: &Action, reply: &mut Vec<u8>) {
        let tid = |id: &RequestId| self.open.get(&id.0).map_or("", |o| &o.tid);
        let name = |s: &ServerId| self.names.server(*s);
        let out = match action {
            Action::Send { id, server, timeout } => Out::SubmitTo {
                balancer,
                tid: tid(id),
                upstream: name(server),
                allow_for_us: timeout.0.max(1),
            },
            Action::Cancel { id, attempt } => Out::AbortAttempt { balancer, tid: tid(id), n: *attempt },
            Action::Refuse { id, retry_after } => {
                Out::SayNo { balancer, tid: tid(id), cool_down_us: retry_after.0 }
            }
            Action::Fail { id } => Out::RespondError { balancer, tid: tid(id) },
            Action::Timer { at, token } => Out::NotifyMe { balancer, due_at_us: at.0, token: *token },
            Action::Watch => Out::Tail { balancer, on: true },
            Action::Log(text) => Out::Emit { balancer, what: text },
        };
        write(reply, &out);
        match action {
            Action::Send { id, .. } => {
                if let Some(open) = self.open.get_mut(&id.0) {
                    open.out.push(open.sends);
                    open.sends += 1;
                }
            }
            Action::Refuse { id, .. } | Action::Fail { id } => self.end(id.0),
            _ => {}
        }
    }
}

fn write(reply: &mut Vec<u8>, out: &Out<'_>) {
    serde_json::to_writer(&mut *reply, out).expect("writing to memory can't fail");
    reply.push(b'\n');
}

fn code(n: u8) -> Result<Code, String> {
    Ok(match n {
        1 => Code::Ok,
        2 => Code::Error,
        3 => Code::Full,
        4 => Code::Timeout,
        5 => Code::ConnectFailed,
        6 => Code::Reset,
        7 => Code::Cancelled,
        8 => Code::Moot,
        other => return Err(format!("unknown outcome {other}")),
    })
}
