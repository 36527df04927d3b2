//! The instances of one process, each with its own names and its own [`Balancer`].

use crate::wire::{self, In, Out};
use garnettally::*;
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::{Hash, Hasher};

/// An entry of a numbered list, kept until its number is taken over.
struct Listing {
    name: String,
    zone: Option<String>,
    kind: Option<String>,
    cell: i64,
    state: Listed,
    units: f64,
    since: Option<Micros>,
}

/// A request's name on the wire, and when it can be forgotten.
struct Open {
    tid: String,
    sends: u32,
    out: Vec<u32>,
    over: bool,
}

struct Instance {
    balancer: Balancer,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    kinds: Vec<String>,
    servers: FxHashMap<String, ServerId>,
    server_names: Vec<String>,
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
    news: Vec<ServerNews>,
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
                let instance = Instance::new(&b, self.now()?);
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
                    self.event(l.balancer, now, Event::Gone(RequestId(id)))?;
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
                0 => Listed::Gone,
                1 => Listed::Ready,
                2 => Listed::Draining,
                other => return Err(format!("unknown health {other}")),
            };
            list.push(Listing {
                name: e.upstream.into_owned(),
                zone: e.zone.map(|z| z.into_owned()),
                kind: e.kind.map(|k| k.into_owned()),
                cell: e.block.unwrap_or(0),
                state,
                units: e.units.unwrap_or(1.0),
                since: e.online_since_us.filter(|&t| t != 0).map(Micros),
            });
        }
        if self.lists.len() <= c.set_id {
            self.lists.resize_with(c.set_id + 1, || None);
        }
        self.lists[c.set_id] = Some(list);
        Ok(())
    }

    fn announce(&mut self, a: &wire::Announce) -> Result<(), String> {
        let form = match a.form {
            0 => Form::Delta,
            1 => Form::Full,
            2 => Form::Failed,
            3 => Form::Cached,
            other => return Err(format!("unknown form {other}")),
        };
        let now = self.now()?;
        let mut news = std::mem::take(&mut self.news);
        news.clear();
        if form != Form::Failed {
            let list = a.set_id.and_then(|i| self.lists.get(i)).and_then(Option::as_ref);
            let list = list.ok_or_else(|| format!("list {:?} was never given", a.set_id))?;
            let instance = self.instances.get_mut(&a.balancer);
            let instance = instance.ok_or_else(|| format!("balancer {} was never booted", a.balancer))?;
            news.extend(list.iter().map(|l| instance.entry(l)));
        }
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
            terminal: f.terminal,
            load: f.feedback.as_ref().map(|l| Load { held: l.rif }),
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
    fn new(b: &wire::Boot<'_>, now: Micros) -> Instance {
        let f = &b.facts;
        let base = Settings::default();
        let mut zones: Vec<String> = f.azs.iter().map(|z| z.to_string()).collect();
        let mut kinds: Vec<String> = f.kinds.iter().map(|k| k.to_string()).collect();
        let ids = |names: &Option<Vec<_>>, known: &mut Vec<String>| {
            names.iter().flatten().map(|n: &std::borrow::Cow<'_, str>| dense(known, n)).collect()
        };
        let classes = f.grades.iter().map(|g| Class {
            aim: Micros(g.slo_us),
            aim_stretch: g.aim_stretch.unwrap_or(0.0),
            deadline: Micros(g.hard_limit_us),
            effect: effect(g),
            worth: g.worth.unwrap_or(1.0),
            late_worth: g.late_worth.unwrap_or(0.0),
            only_kinds: ids(&g.bound_to, &mut kinds),
            only_zones: ids(&g.stays_in, &mut zones),
            keep_order: g.keep_order.unwrap_or(false),
        });
        let classes: Vec<Class> = classes.collect();
        let settings = Settings {
            instances: f.n_instances,
            tier: f.tier,
            me: f.me,
            resolution: f.resolution_us.map_or(base.resolution, Micros),
            idle_close: f.limits.idle_close_us.map_or(base.idle_close, Micros),
            crossing_price: f.tariffs.cross_zone.unwrap_or(0.0),
            zone: dense(&mut zones, &f.az),
            classes,
            tenant_quota: f.realms.iter().map(|r| r.quota_rps.unwrap_or(f64::INFINITY)).collect(),
            over_share_worth: f.over_share_worth.unwrap_or(1.0),
            worth_by_work: f.worth_by == "work",
            must_ask: f.registry_mode == "on_request",
            ask_within: f.contract.ask_within_us.map_or(base.ask_within, Micros),
            units_tell_size: f.weight_kind != "none",
            parallel_tries: f.limits.parallel_tries,
            may_cancel: f.limits.may_cancel,
            max_attempts: f.limits.send_cap.unwrap_or(base.max_attempts),
            retry_after: f.limits.retry_after,
            max_retry_after: f.limits.max_retry_after_us.map_or(base.max_retry_after, Micros),
            cold_share: f.contract.cold_share.unwrap_or(base.cold_share),
            ramp_time: f.contract.ramp_time_us.map_or(base.ramp_time, Micros),
            tip_after: f.contract.tip_after_us.map_or(base.tip_after, Micros),
            key_rest: f.contract.key_rest_us.map_or(base.key_rest, Micros),
            drain_binds_alone: f.contract.drain_binds_alone.unwrap_or(false),
        };
        Instance {
            balancer: Balancer::new(settings, b.random_seed, now),
            classes: f.grades.iter().map(|g| g.name.to_string()).collect(),
            tenants: f.realms.iter().map(|r| r.name.to_string()).collect(),
            zones,
            kinds,
            servers: FxHashMap::default(),
            server_names: Vec::new(),
            ids: FxHashMap::default(),
            open: FxHashMap::default(),
            next_id: 0,
        }
    }

    fn entry(&mut self, l: &Listing) -> ServerNews {
        let server = match self.servers.get(&l.name) {
            Some(&id) => id,
            None => {
                let id = ServerId(self.server_names.len() as u32);
                self.server_names.push(l.name.clone());
                self.servers.insert(l.name.clone(), id);
                id
            }
        };
        // Without a zone or kind it is open to no class that is bound to some.
        let zone = l.zone.as_deref().map_or(u32::MAX, |z| dense(&mut self.zones, z));
        let kind = l.kind.as_deref().map_or(u32::MAX, |k| dense(&mut self.kinds, k));
        let key = hash(&l.name);
        ServerNews { server, zone, kind, cell: l.cell, key, state: l.state, units: l.units, since: l.since }
    }

    fn knock(&mut self, k: &wire::Knock<'_>) -> Event<'static> {
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(k.tid.to_string(), id);
        self.open.insert(id, Open { tid: k.tid.to_string(), sends: 0, out: Vec::new(), over: false });
        // A class outside the settings gets a number that no class has, and the module answers it.
        let class = self.classes.iter().position(|c| *c == k.grade).unwrap_or(usize::MAX);
        let tenant = match &k.billing {
            Some(wire::Name::Text(name)) => self.tenants.iter().position(|t| t == name),
            _ => None,
        };
        let flags = k.flags.unwrap_or(0);
        Event::Request(NewRequest {
            id: RequestId(id),
            class: ClassId(u32::try_from(class).unwrap_or(u32::MAX)),
            tenant: tenant.map(|t| TenantId(t as u32)),
            expires: Micros(k.expires_us),
            hint: k.expected_us.filter(|_| flags & 1 != 0).map(Micros),
            repeat: flags & 2 != 0,
            key: k.subject.as_deref().map(key),
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
        let name = |s: &ServerId| self.server_names[s.0 as usize].as_str();
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

fn hash(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    text.hash(&mut hasher);
    hasher.finish()
}

/// The number that a key's 16 hex digits write; of another text its hash.
fn key(text: &str) -> KeyId {
    KeyId(u64::from_str_radix(text, 16).unwrap_or_else(|_| hash(text)))
}

/// The place of a name among those met.
fn dense(known: &mut Vec<String>, name: &str) -> u32 {
    let at = known.iter().position(|k| k == name).unwrap_or_else(|| {
        known.push(name.to_string());
        known.len() - 1
    });
    at as u32
}

fn effect(g: &wire::Grade<'_>) -> Effect {
    match &*g.semantics {
        "safe" => Effect::Safe,
        "keyed" => Effect::Keyed {
            group: match g.key_scope.as_deref() {
                Some("all") => Group::All,
                Some("zone") => Group::Zone,
                _ => Group::Cell,
            },
            window: Micros(g.window_us.unwrap_or(0)),
        },
        _ => Effect::Unsafe,
    }
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
