//! One run of a world: clients, balancers, nodes, the list and the faults, one event after the other.

use crate::draw::Stream;
use crate::events::Events;
use crate::fleet::{Fleet, Step};
use crate::node::{Brought, Build, Node, Thrash};
use crate::policy::{self, Kind, Policy, Truth, Truths};
use crate::report::{histogram, latency, Part, Report};
use crate::rules::{Allows, Checker, Ran, ANSWER_GRACE};
use crate::world::{Arrivals, Repeat, What, World};
use garnettally_decisions::facade::{Ask, Code, Decision, Report as News, RequestId};
use garnettally_model::*;
use hdrhistogram::Histogram;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// What happens.
enum Event {
    /// The next client comes.
    Client,
    /// A call reaches its balancer.
    Reach(u64),
    /// A balancer hears of what has come in, or lets time pass.
    Consult(usize),
    /// An attempt reaches its node.
    Arrive(u64),
    /// Something at a node is done; the number tells the latest such event from those before it.
    Done(usize, u64),
    /// An attempt's end reaches its balancer.
    Back(u64, Code),
    /// An attempt's time is up, or its connection has not come up in time.
    Expire(u64, Code),
    /// A node hears that an attempt was called off.
    CallOff(usize, u64),
    /// A call's final answer reaches who asked.
    Answer(u64, Final),
    /// Who asked gives up.
    GiveUp(u64),
    /// The balancer hears of it.
    Gone(u64),
    /// A client tries again.
    Again(u32),
    /// A balancer is told of a node.
    Told(usize, usize, Listed, Option<Micros>),
    /// A watch answers with the whole list.
    Watched(usize),
    /// A fault begins, ends.
    Fault(usize, bool),
    /// A node that was draining stops.
    Stop(usize),
    /// A node gets warmer.
    Warm(usize),
    /// A node pauses, goes on.
    Pause(usize, bool),
    /// A datagram reaches a balancer from another.
    Datagram(usize, Vec<u8>),
    /// A balancer looks after its link.
    Link(usize),
}

#[derive(Clone, Copy, PartialEq)]
enum Final {
    Served,
    Refused(Option<Micros>),
    Failed,
}

/// Who asked.
#[derive(Clone, Copy)]
enum Asker {
    Client(u32),
    /// A request that a node holds, for which it calls the next tier.
    Job(u64),
}

/// A call: a client's try, or a node's call of the next tier.
struct Call {
    tier: usize,
    balancer: usize,
    class: usize,
    tenant: usize,
    asker: Asker,
    expires: Micros,
    repeat: bool,
    key: u64,
    /// Work at this tier, and calls of the next one.
    work: f64,
    calls: u32,
    /// Attempts by number.
    attempts: Vec<u64>,
    out: u32,
    answered: bool,
    /// Who asked has gone away.
    left: bool,
    /// The balancer has it.
    taken: bool,
}

struct Attempt {
    call: u64,
    number: u32,
    node: usize,
    balancer: usize,
    sent: Micros,
    /// It goes on a new connection.
    fresh: bool,
    /// Its end is on its way or has come.
    ended: bool,
    arrived: bool,
    came: Micros,
    /// Requests that its node held when it came.
    came_at: usize,
    segments_left: u32,
    segment: f64,
    /// The call of the next tier that it waits for.
    waits: Option<u64>,
    /// It has run to its end.
    done: bool,
}

struct Client {
    class: usize,
    tenant: usize,
    first: Micros,
    tries: u32,
    key: u64,
    work: f64,
    calls: u32,
    counts: bool,
    over: bool,
}

struct Place {
    tier: usize,
    zone: usize,
    cell: usize,
    node: Node,
    /// The latest event about it.
    number: u64,
    cold_from: Option<Micros>,
    slow: f64,
    hung: bool,
    vanished: bool,
    stopped: bool,
    draining: bool,
    paused: bool,
    fast_errors: f64,
    spoilt: f64,
    connections: usize,
    since: Option<Micros>,
    report: (Micros, f64),
    /// Keys that its cell's nodes have seen are kept by the cell.
    nominal: f64,
}

struct Balancer {
    tier: usize,
    zone: usize,
    policy: Box<dyn Policy>,
    inbox: Vec<Inbox>,
    due: Option<Micros>,
    /// Idle connections by node, with the time since which they idle.
    idle: FxHashMap<usize, Vec<Micros>>,
}

enum Inbox {
    Ask(Ask),
    News(News),
}

#[derive(Clone, Copy, Default)]
struct Second {
    asked: f64,
    earned: f64,
}

/// Random numbers, one stream a purpose.
struct Streams {
    arrivals: Stream,
    clients: Stream,
    work: Stream,
    network: Stream,
    nodes: Stream,
    errors: Stream,
    pauses: Stream,
    list: Stream,
    reports: Stream,
    links: Stream,
    /// What clients draw at later tries, which depend on what became of the first.
    retries: Stream,
    /// The work of calls to later tiers, which depend on which of the first tier ran.
    below: Stream,
}

/// A run.
pub struct Day<'w> {
    world: &'w World,
    events: Events<Event>,
    end: Micros,
    draws: Streams,
    places: Vec<Place>,
    /// The first node of each tier.
    first: Vec<usize>,
    balancers: Vec<Balancer>,
    fleet: Option<Fleet>,
    /// The balancer of each node for the next tier.
    below: Vec<usize>,
    calls: FxHashMap<u64, Call>,
    attempts: FxHashMap<u64, Attempt>,
    clients: Vec<Client>,
    next: u64,
    truths: Vec<Truths>,
    /// Keys by cell: when they were first seen.
    keys: FxHashMap<(usize, usize, u64), Micros>,
    faults: Vec<(Micros, Micros, Vec<usize>, f64)>,
    late_reports: Micros,
    burst: f64,
    stale: bool,
    held_news: Vec<(usize, usize, Listed, Option<Micros>)>,
    cut: Option<usize>,
    bursting: bool,
    burst_until: Micros,
    trace_at: usize,
    trace_round: Micros,
    rules: Checker,
    served: Histogram<u64>,
    seconds: Vec<Second>,
    parts: Vec<Part>,
    tenants: Vec<Part>,
    all: Part,
    tries: u64,
    first_sends: u64,
    sends: u64,
    decisions: u64,
    useful: f64,
}

/// Runs a world under a policy. `shape` may change each policy before it starts, as mutants in tests do.
pub fn run_with(
    world: &World,
    seed: u64,
    kind: Kind,
    shape: &mut dyn FnMut(Box<dyn Policy>) -> Box<dyn Policy>,
) -> Report {
    let mut day = Day::new(world, seed, kind, shape);
    day.run();
    day.report(seed, kind)
}

/// Runs a world under a policy.
pub fn run(world: &World, seed: u64, kind: Kind) -> Report {
    run_with(world, seed, kind, &mut |policy| policy)
}

const STEPS_TO_WARM: i64 = 16;

impl<'w> Day<'w> {
    fn new(
        world: &'w World,
        seed: u64,
        kind: Kind,
        shape: &mut dyn FnMut(Box<dyn Policy>) -> Box<dyn Policy>,
    ) -> Day<'w> {
        let stream = |purpose| Stream::new(seed, purpose, 0);
        let draws = Streams {
            arrivals: stream("arrivals"),
            clients: stream("clients"),
            work: stream("work"),
            network: stream("network"),
            nodes: stream("nodes"),
            errors: stream("errors"),
            pauses: stream("pauses"),
            below: stream("below"),
            list: stream("list"),
            reports: stream("reports"),
            links: stream("links"),
            retries: stream("retries"),
        };
        let part = |name: &str| Part { name: name.to_string(), ..Part::default() };
        let seconds = (world.lasts.0 .0 / 1_000_000 + 2) as usize;
        let mut day = Day {
            world,
            events: Events::default(),
            end: world.lasts.0,
            draws,
            places: Vec::new(),
            first: Vec::new(),
            balancers: Vec::new(),
            fleet: None,
            below: Vec::new(),
            calls: FxHashMap::default(),
            attempts: FxHashMap::default(),
            clients: Vec::new(),
            next: 0,
            truths: Vec::new(),
            keys: FxHashMap::default(),
            faults: Vec::new(),
            late_reports: Micros(0),
            burst: 1.0,
            stale: false,
            held_news: Vec::new(),
            cut: None,
            bursting: false,
            burst_until: Micros(0),
            trace_at: 0,
            trace_round: Micros(0),
            rules: Checker::default(),
            served: histogram(),
            seconds: vec![Second::default(); seconds],
            parts: world.classes.iter().map(|c| part(&c.name)).collect(),
            tenants: world.tenants.iter().map(|t| part(&t.name)).collect(),
            all: part("all"),
            tries: 0,
            first_sends: 0,
            sends: 0,
            decisions: 0,
            useful: 0.0,
        };
        day.build(seed, kind, shape);
        day
    }

    fn build(&mut self, seed: u64, kind: Kind, shape: &mut dyn FnMut(Box<dyn Policy>) -> Box<dyn Policy>) {
        let world = self.world;
        for (t, tier) in world.tiers.iter().enumerate() {
            self.first.push(self.places.len());
            let mut truths = Vec::with_capacity(tier.nodes);
            for i in 0..tier.nodes {
                let s = &mut self.draws.nodes;
                let thrash = tier.thrash.as_ref().map(|t| Thrash {
                    above: t.above,
                    after: t.after.0,
                    factor: t.factor.draw(s),
                    calm: t.calm.0,
                });
                let build = Build {
                    cores: tier.cores.draw(s),
                    speed: tier.speed.draw(s),
                    slots: tier.slots,
                    queue: tier.queue,
                    cancel_stops: tier.cancel_stops,
                    thrash,
                };
                let nominal = build.cores * build.speed;
                truths.push(Truth { held: 0, capacity: nominal, latency: Vec::new() });
                // Zones take turns; a cell lies within one zone.
                let zones = world.zones.len();
                let (zone, cell) = (i % zones, i / zones / tier.cell * zones + i % zones);
                self.places.push(Place {
                    tier: t,
                    zone,
                    cell,
                    node: Node::new(build, Micros(0)),
                    number: 0,
                    cold_from: None,
                    slow: 1.0,
                    hung: false,
                    vanished: false,
                    stopped: false,
                    draining: false,
                    paused: false,
                    fast_errors: 0.0,
                    spoilt: 0.0,
                    connections: 0,
                    since: None,
                    report: (Micros(-1), 0.0),
                    nominal,
                });
                if let Some(p) = &tier.pauses {
                    let wait = self.draws.pauses.exponential(p.every.0 .0 as f64);
                    self.events.at(Micros(wait as i64), Event::Pause(self.places.len() - 1, true));
                }
            }
            self.truths.push(Rc::new(RefCell::new(truths)));
        }
        // The first tier's balancers, then one for each node that has a tier below it.
        for i in 0..world.tiers[0].balancers {
            self.add_balancer(0, i % world.zones.len(), seed, kind, shape);
        }
        self.below = vec![usize::MAX; self.places.len()];
        for at in 0..self.places.len() {
            let below = self.places[at].tier + 1;
            if below < world.tiers.len() {
                self.below[at] = self.balancers.len();
                self.add_balancer(below, self.places[at].zone, seed, kind, shape);
            }
        }
        if let Some(link) = &world.fleet {
            let fleet = Fleet::new(world, link, seed);
            for (member, at) in fleet.starts().into_iter().enumerate() {
                self.events.at(at, Event::Link(member));
            }
            self.fleet = Some(fleet);
        }
        let mut s = Stream::new(seed, "faults", 0);
        for (i, f) in world.faults.iter().enumerate() {
            let tier = &world.tiers[world.tier_of(f)];
            let at = f.at.draw(&mut s);
            let end = at + f.lasts.draw(&mut s);
            let n = ((f.share.draw(&mut s) * tier.nodes as f64).round() as usize).max(1);
            let nodes = s.some(n, tier.nodes).into_iter().map(|n| self.first[world.tier_of(f)] + n).collect();
            let size = match &f.what {
                What::Slow(b) | What::Burst(b) | What::FastErrors(b) | What::Spoilt(b) => b.draw(&mut s),
                What::LateReports(b) => b.draw(&mut s).0 as f64,
                What::Partition => s.place(world.zones.len()) as f64,
                _ => 0.0,
            };
            self.faults.push((at, end, nodes, size));
            self.events.at(at, Event::Fault(i, true));
            self.events.at(end, Event::Fault(i, false));
        }
        let wait = self.next_arrival(Micros(0));
        self.events.at(wait, Event::Client);
    }

    fn add_balancer(
        &mut self,
        tier: usize,
        zone: usize,
        seed: u64,
        kind: Kind,
        shape: &mut dyn FnMut(Box<dyn Policy>) -> Box<dyn Policy>,
    ) {
        let (world, id) = (self.world, self.balancers.len());
        let t = &world.tiers[tier];
        let instances = if tier == 0 { t.balancers } else { world.tiers[tier - 1].nodes };
        let base = Settings::default();
        let b = &world.balancers;
        let classes = world.classes.iter().map(|c| Class {
            aim: c.aim.0,
            deadline: c.deadline.0,
            effect: match c.repeat {
                Repeat::Safe => Effect::Safe,
                Repeat::Keyed => Effect::Keyed { group: Group::Cell, window: c.window.0 },
                Repeat::Never => Effect::Unsafe,
            },
            worth: c.worth,
            late_worth: c.late_worth,
            ..Class::default()
        });
        let settings = Settings {
            instances: instances as u32,
            me: (id % instances) as u32,
            resolution: b.resolution.0,
            idle_close: t.idle.0,
            zone: zone as u32,
            tier: tier as u32,
            classes: classes.collect(),
            tenant_quota: world.tenants.iter().map(|t| t.quota.unwrap_or(f64::INFINITY)).collect(),
            must_ask: true,
            parallel_tries: b.parallel,
            may_cancel: b.cancel,
            max_attempts: b.attempts,
            retry_after: b.retry_after_max.0 > Micros(0),
            max_retry_after: b.retry_after_max.0,
            cold_share: t.cold_share,
            ramp_time: t.warm_after.0,
            tip_after: t.tip_window.0,
            ..base
        };
        let names = Names::new(
            world.classes.iter().map(|c| c.name.clone()).collect(),
            world.tenants.iter().map(|t| t.name.clone()).collect(),
            world.zones.clone(),
            Vec::new(),
        );
        let own_seed = Stream::new(seed, "balancer", id as u64).bits();
        let policy = policy::new(kind, Site { settings, names }, own_seed, Micros(0), &self.truths[tier]);
        let known = self.whole_list(tier);
        let mut balancer = Balancer {
            tier,
            zone,
            policy: shape(policy),
            inbox: vec![Inbox::News(News::Known(known))],
            due: None,
            idle: FxHashMap::default(),
        };
        balancer.due = Some(Micros(0));
        self.balancers.push(balancer);
        self.events.at(Micros(0), Event::Consult(id));
    }

    /// The whole list of a tier, in the order of its nodes: they are numbered by it.
    fn whole_list(&self, tier: usize) -> HostList {
        let from = self.first[tier];
        let hosts =
            (from..from + self.world.tiers[tier].nodes).map(|n| (self.listing(n, self.state(n)), None));
        HostList { seq: 1, whole: true, hosts: hosts.collect() }
    }

    fn state(&self, node: usize) -> Listed {
        let p = &self.places[node];
        match (p.stopped, p.draining) {
            (true, _) => Listed::Gone,
            (_, true) => Listed::Draining,
            _ => Listed::Ready,
        }
    }

    fn listing(&self, node: usize, state: Listed) -> Listing {
        let p = &self.places[node];
        Listing {
            name: format!("n{node}"),
            zone: Some(self.world.zones[p.zone].clone()),
            kind: None,
            cell: p.cell as i64,
            state,
            units: 1.0,
            since: p.since,
        }
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn run(&mut self) {
        // After the last client has come, what is open gets the time to end.
        let longest = self.world.classes.iter().map(|c| c.deadline.0).max().unwrap_or_default();
        let end = self.end + longest + longest + Micros(1_000_000);
        while let Some(event) = self.events.next(end) {
            self.handle(event);
        }
        self.rules.finish(self.events.now().max(end));
    }

    fn handle(&mut self, event: Event) {
        let now = self.events.now();
        match event {
            Event::Client => self.client(now),
            Event::Reach(call) => self.reach(now, call),
            Event::Consult(b) => self.consult(now, b),
            Event::Arrive(a) => self.arrive(now, a),
            Event::Done(node, number) => {
                if self.places[node].number == number {
                    self.work_off(now, node);
                }
            }
            Event::Back(a, code) => self.back(now, a, code),
            Event::Expire(a, code) => self.expire(now, a, code),
            Event::CallOff(node, a) => self.call_off(now, node, a),
            Event::Answer(call, last) => self.answer(now, call, last),
            Event::GiveUp(call) => self.give_up(now, call),
            Event::Gone(call) => self.gone(now, call),
            Event::Again(client) => self.try_client(now, client),
            Event::Told(b, node, state, since) => self.tell(now, b, node, state, since),
            Event::Watched(b) => self.watched(now, b),
            Event::Fault(i, begins) => self.fault(now, i, begins),
            Event::Stop(node) => self.stop(now, node),
            Event::Warm(node) => self.warm(now, node),
            Event::Pause(node, begins) => self.pause(now, node, begins),
            Event::Datagram(member, data) => {
                if let Some(step) = self.fleet.as_mut().map(|f| f.datagram(now, member, &data)) {
                    self.stepped(now, member, step);
                }
            }
            Event::Link(member) => self.link(now, member),
        }
    }

    // ---- the balancers among themselves ----

    fn link(&mut self, now: Micros, member: usize) {
        let Some(fleet) = self.fleet.as_mut().filter(|f| f.is_due(now, member)) else { return };
        let (policy, places) = (&self.balancers[member].policy, &self.places);
        let step = fleet.wake(now, member, || policy.opinions(now), |id| places[id.0 as usize].since);
        self.stepped(now, member, step);
    }

    fn stepped(&mut self, now: Micros, from: usize, step: Step) {
        let (Some(fleet), Some(link)) = (&self.fleet, &self.world.fleet) else { return };
        for (to, data) in step.sends {
            if to >= self.world.tiers[0].balancers {
                continue;
            }
            let (a, b) = (fleet.zone(from), fleet.zone(to));
            let n = &self.world.network;
            let way = if a == b { n.within } else { n.between }.draw(&mut self.draws.links);
            let split = a != b && self.cut.is_some_and(|zone| zone == a || zone == b);
            // Which links are cut is the same all day, and not the same in both directions.
            let mut pair = Stream::new(from as u64, "cut", to as u64);
            let cut = link.cut > 0.0 && pair.unit() < link.cut;
            if !split && !cut && self.draws.links.unit() >= link.loss {
                self.events.after(way, Event::Datagram(to, data));
            }
        }
        if let Some(at) = step.wake {
            self.events.at(at, Event::Link(from));
        }
        for heard in step.heard {
            self.post(now, from, Inbox::News(News::Heard(heard)));
        }
    }

    // ---- clients ----

    fn client(&mut self, now: Micros) {
        if now < self.end {
            let wait = self.next_arrival(now);
            self.events.after(wait, Event::Client);
            if self.comes(now) {
                self.new_client(now);
            }
        }
    }

    /// When the next client may come: at the largest rate, which `comes` thins out.
    fn next_arrival(&mut self, now: Micros) -> Micros {
        let rate = self.world.clients.rate;
        match &self.world.clients.arrivals {
            Arrivals::Trace { at } => {
                let last = at.last().map_or(Micros(1), |t| t.0.max(Micros(1)));
                if self.trace_at == at.len() {
                    (self.trace_at, self.trace_round) = (0, self.trace_round + last);
                }
                let next = self.trace_round + at[self.trace_at].0;
                self.trace_at += 1;
                (next - now).max(Micros(0))
            }
            other => {
                let most = match other {
                    Arrivals::Wave { swing, .. } => rate * (1.0 + swing),
                    Arrivals::Bursty { factor, .. } => rate * factor,
                    _ => rate,
                };
                Micros(self.draws.arrivals.exponential(1e6 / (most * self.burst)).round() as i64)
            }
        }
    }

    fn comes(&mut self, now: Micros) -> bool {
        match &self.world.clients.arrivals {
            Arrivals::Poisson => true,
            Arrivals::Trace { .. } => true,
            Arrivals::Wave { period, swing } => {
                let phase = now.0 as f64 / period.0 .0 as f64 * std::f64::consts::TAU;
                self.draws.arrivals.chance((1.0 + swing * phase.sin()) / (1.0 + swing))
            }
            Arrivals::Bursty { factor, share, last } => {
                while now >= self.burst_until {
                    self.bursting = !self.bursting;
                    let mean = last.0 .0 as f64;
                    let mean = if self.bursting { mean } else { mean * (1.0 - share) / share.max(1e-9) };
                    self.burst_until += Micros(1 + self.draws.arrivals.exponential(mean) as i64);
                }
                let calm = (1.0 - factor * share) / (1.0 - share);
                self.bursting || self.draws.arrivals.chance(calm / factor)
            }
        }
    }

    fn new_client(&mut self, now: Micros) {
        let s = &mut self.draws.clients;
        let class = weighted(self.world.classes.iter().map(|c| c.share), s);
        let tenant = match self.world.tenants.is_empty() {
            true => usize::MAX,
            false => weighted(self.world.tenants.iter().map(|t| t.share), s),
        };
        let key = s.bits();
        let c = &self.world.classes[class];
        let work = c.shape.draw(self.world.work(class, 0), &mut self.draws.work);
        let calls = if self.world.tiers.len() > 1 { around(c.calls, &mut self.draws.work) } else { 0 };
        let counts = now >= self.world.warm_up.0;
        let client = Client { class, tenant, first: now, tries: 0, key, work, calls, counts, over: false };
        self.clients.push(client);
        if counts {
            let second = (now.0 / 1_000_000) as usize;
            self.seconds[second].asked += c.worth;
            for part in self.parts_of(class, tenant) {
                part.asked += 1;
                part.worth_asked += c.worth;
            }
        }
        self.try_client(now, (self.clients.len() - 1) as u32);
    }

    fn parts_of(&mut self, class: usize, tenant: usize) -> impl Iterator<Item = &mut Part> {
        let tenant = self.tenants.get_mut(tenant);
        [&mut self.all, &mut self.parts[class]].into_iter().chain(tenant)
    }

    fn try_client(&mut self, now: Micros, id: u32) {
        let world = self.world;
        let c = &mut self.clients[id as usize];
        c.tries += 1;
        let class = &world.classes[c.class];
        let s = if c.tries == 1 { &mut self.draws.clients } else { &mut self.draws.retries };
        let part = world.clients.patience.draw(s);
        let balancer = s.place(world.tiers[0].balancers);
        let patience = Micros((class.deadline.0 .0 as f64 * part) as i64);
        // All tries together get the class's time.
        let expires = (now + patience).min(c.first + class.deadline.0);
        if expires <= now {
            return self.settle(now, id, Outcome::GivenUp);
        }
        let (class, tenant, key, work, calls, repeat) =
            (c.class, c.tenant, c.key, c.work, c.calls, c.tries > 1);
        self.tries += u64::from(c.counts);
        let call = Call {
            tier: 0,
            balancer,
            class,
            tenant,
            asker: Asker::Client(id),
            expires,
            repeat,
            key,
            work,
            calls,
            attempts: Vec::new(),
            out: 0,
            answered: false,
            left: false,
            taken: false,
        };
        self.place_call(now, call);
    }

    fn place_call(&mut self, now: Micros, call: Call) {
        let id = self.number();
        let (expires, local) = (call.expires, matches!(call.asker, Asker::Job(_)));
        self.calls.insert(id, call);
        // A node's own balancer runs beside it; clients are a message away.
        let wait = if local { Micros(20) } else { self.world.network.within.draw(&mut self.draws.network) };
        self.events.at(now + wait, Event::Reach(id));
        // Who asked waits a little past the time that it told: an answer that comes in time must reach it.
        self.events.at(expires + ANSWER_GRACE, Event::GiveUp(id));
    }

    fn answer(&mut self, now: Micros, id: u64, last: Final) {
        let Some(call) = self.calls.get(&id) else { return };
        if call.left {
            return;
        }
        match call.asker {
            Asker::Client(client) => {
                let again = match last {
                    Final::Served => None,
                    Final::Refused(wait) => Some(wait),
                    Final::Failed => Some(None),
                };
                let outcome = match last {
                    Final::Served => Outcome::Served,
                    Final::Refused(_) => Outcome::Refused,
                    Final::Failed => Outcome::Failed,
                };
                match again {
                    Some(wait) => self.perhaps_again(now, client, wait, outcome),
                    None => self.settle(now, client, outcome),
                }
            }
            Asker::Job(attempt) => self.called(now, attempt, last == Final::Served),
        }
        // Who asked has its answer and asks no more.
        if let Some(call) = self.calls.get_mut(&id) {
            call.left = true;
        }
        self.forget(id);
    }

    fn perhaps_again(&mut self, now: Micros, client: u32, told: Option<Micros>, outcome: Outcome) {
        let r = &self.world.clients.retries;
        let c = &self.clients[client as usize];
        if c.tries > r.most || c.over {
            return self.settle(now, client, outcome);
        }
        let whole = r.wait.0 .0 as f64 * f64::from(1u32 << (c.tries - 1).min(16));
        let wait = Micros((whole * (0.5 + 0.5 * self.draws.retries.unit())) as i64);
        let wait = told.filter(|_| r.heed_retry_after).map_or(wait, |t| t + wait);
        if now + wait >= c.first + self.world.classes[c.class].deadline.0 {
            return self.settle(now, client, outcome);
        }
        self.events.after(wait, Event::Again(client));
    }

    fn settle(&mut self, now: Micros, id: u32, outcome: Outcome) {
        let c = &mut self.clients[id as usize];
        if std::mem::replace(&mut c.over, true) || !c.counts {
            return;
        }
        let (class, tenant, first) = (c.class, c.tenant, c.first);
        let facts = &self.world.classes[class];
        let took = now - first;
        let in_time = took <= facts.aim.0;
        let earned = match outcome {
            Outcome::Served if in_time => facts.worth,
            Outcome::Served => facts.worth * facts.late_worth,
            _ => 0.0,
        };
        if outcome == Outcome::Served {
            self.served.saturating_record(took.0.max(1) as u64);
        }
        self.seconds[(first.0 / 1_000_000) as usize].earned += earned;
        for part in self.parts_of(class, tenant) {
            part.worth_earned += earned;
            match outcome {
                Outcome::Served if in_time => part.in_time += 1,
                Outcome::Served => part.late += 1,
                Outcome::Refused => part.refused += 1,
                Outcome::Failed => part.failed += 1,
                Outcome::GivenUp => part.given_up += 1,
            }
        }
    }

    fn give_up(&mut self, now: Micros, id: u64) {
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.left) else { return };
        call.left = true;
        let (asker, balancer, taken) = (call.asker, call.balancer, call.taken);
        self.rules.gave_up(now, id);
        if taken {
            let wait = self.latency_to(balancer, asker);
            self.events.after(wait, Event::Gone(id));
        }
        match asker {
            Asker::Client(client) if self.world.clients.retries.after_timeout => {
                self.perhaps_again(now, client, None, Outcome::GivenUp);
            }
            Asker::Client(client) => self.settle(now, client, Outcome::GivenUp),
            Asker::Job(attempt) => self.called(now, attempt, false),
        }
        self.forget(id);
    }

    fn latency_to(&mut self, _balancer: usize, asker: Asker) -> Micros {
        match asker {
            Asker::Client(_) => self.world.network.within.draw(&mut self.draws.network),
            Asker::Job(_) => Micros(20),
        }
    }

    /// Forgets a call that nobody asks about any more.
    fn forget(&mut self, id: u64) {
        let over = |c: &Call| c.left && c.out == 0 && (c.answered || !c.taken);
        if self.calls.get(&id).is_some_and(over) {
            self.calls.remove(&id);
        }
    }

    // ---- balancers ----

    fn reach(&mut self, now: Micros, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.left {
            self.calls.remove(&id);
            return;
        }
        call.taken = true;
        let class = &self.world.classes[call.class];
        let allows = match class.repeat {
            Repeat::Safe => Allows::Any,
            Repeat::Keyed => Allows::InCell(class.window.0),
            Repeat::Never => Allows::None,
        };
        let b = &self.world.balancers;
        self.rules.taken(id, call.expires, allows, b.attempts, b.parallel);
        let ask = Ask {
            request: RequestId(id),
            class: ClassId(call.class as u32),
            tenant: (call.tenant != usize::MAX).then_some(TenantId(call.tenant as u32)),
            expires: call.expires,
            cost: class.hints.then_some(Micros(call.work as i64)),
            repeat: call.repeat,
            key: Some(KeyId(call.key)),
        };
        let balancer = call.balancer;
        self.post(now, balancer, Inbox::Ask(ask));
    }

    fn post(&mut self, now: Micros, balancer: usize, news: Inbox) {
        self.balancers[balancer].inbox.push(news);
        self.wake(balancer, now);
    }

    /// Has a balancer consulted at this time or before, on its grid.
    fn wake(&mut self, balancer: usize, at: Micros) {
        let step = self.world.balancers.resolution.0 .0;
        let at = if step > 0 { Micros((at.0 + step - 1).div_euclid(step) * step) } else { at };
        let b = &mut self.balancers[balancer];
        if b.due.is_none_or(|due| at < due) {
            b.due = Some(at);
            self.events.at(at, Event::Consult(balancer));
        }
    }

    fn consult(&mut self, now: Micros, at: usize) {
        if self.balancers[at].due.is_none_or(|due| due > now) {
            return;
        }
        self.balancers[at].due = None;
        for news in std::mem::take(&mut self.balancers[at].inbox) {
            self.decisions += 1;
            let policy = &mut self.balancers[at].policy;
            let (decisions, over) = match news {
                Inbox::Ask(ask) => (policy.pick(now, ask), None),
                Inbox::News(report) => {
                    let over = match &report {
                        News::Ended { request, .. } | News::Gone(request) => Some(request.0),
                        _ => None,
                    };
                    (policy.report(now, report), over)
                }
            };
            self.carry_out(now, at, decisions);
            if let Some(id) = over {
                self.forget(id);
            }
        }
        if self.balancers[at].policy.next_tick().is_some_and(|t| t <= now) {
            let decisions = self.balancers[at].policy.tick(now);
            self.carry_out(now, at, decisions);
        }
        if let Some(tick) = self.balancers[at].policy.next_tick() {
            self.wake(at, tick.max(now + Micros(1)));
        }
    }

    fn carry_out(&mut self, now: Micros, balancer: usize, decisions: Vec<Decision>) {
        for d in decisions {
            match d {
                Decision::Send { request, upstream, timeout } => {
                    let node = self.first[self.balancers[balancer].tier] + upstream.0 as usize;
                    self.send(now, balancer, request.0, node, timeout);
                }
                Decision::Refuse { request, retry_after } => {
                    let wait = retry_after.map(|t| Micros(t.as_micros() as i64));
                    self.decide(now, request.0, Final::Refused(wait));
                }
                Decision::Fail(request) => self.decide(now, request.0, Final::Failed),
                Decision::Cancel { request, attempt } => {
                    let id =
                        self.calls.get(&request.0).and_then(|c| c.attempts.get(attempt as usize)).copied();
                    if let Some(id) = id {
                        self.expire(now, id, Code::Cancelled);
                    }
                }
                Decision::Watch => {
                    let delay = self.world.tiers[self.balancers[balancer].tier].list.delay;
                    let wait = delay.draw(&mut self.draws.list);
                    self.events.after(wait, Event::Watched(balancer));
                }
                Decision::Wait(_) | Decision::Note(_) => {}
            }
        }
    }

    /// A final answer of the policy's.
    fn decide(&mut self, now: Micros, id: u64, last: Final) {
        let Some(call) = self.calls.get_mut(&id) else {
            return; // Who asked has gone, and nothing was out.
        };
        // What was answered by then is over, whatever the policy had not heard of yet: so the program has it.
        if std::mem::replace(&mut call.answered, true) {
            return;
        }
        let (asker, balancer) = (call.asker, call.balancer);
        if !call.left {
            self.rules.answered(now, id);
        }
        let wait = self.latency_to(balancer, asker);
        self.events.after(wait, Event::Answer(id, last));
        self.forget(id);
    }

    fn send(&mut self, now: Micros, balancer: usize, call_id: u64, node: usize, timeout: Duration) {
        let id = self.number();
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let number = call.attempts.len() as u32;
        call.attempts.push(id);
        if call.left || call.answered {
            // It is over: never sent, as the real program does.
            let request = RequestId(call_id);
            let (code, latency, answered) = (Code::Moot, Duration::ZERO, call.answered);
            let report = News::Ended { request, attempt: number, code, latency, held: None, answered };
            return self.post(now, balancer, Inbox::News(report));
        }
        call.out += 1;
        let (calls, work, tier) = (call.calls, call.work, call.tier);
        self.sends += 1;
        if let (0, Asker::Client(c)) = (tier, call.asker) {
            self.first_sends += u64::from(self.clients[c as usize].counts);
        }
        let p = &self.places[node];
        self.rules.sent(now, call_id, p.cell);
        self.rules.sent_to(now, balancer, node);
        let keep = self.world.tiers[tier].idle.0;
        let idle = self.balancers[balancer].idle.entry(node).or_default();
        let before = idle.len();
        idle.retain(|since| now - *since < keep);
        let closed = before - idle.len();
        let fresh = idle.pop().is_none();
        let attempt = Attempt {
            call: call_id,
            number,
            node,
            balancer,
            sent: now,
            fresh,
            ended: false,
            arrived: false,
            came: now,
            came_at: 0,
            segments_left: calls,
            segment: work / f64::from(calls + 1),
            waits: None,
            done: false,
        };
        self.attempts.insert(id, attempt);
        let timeout = Micros(timeout.as_micros().min(i64::MAX as u128 / 4) as i64);
        self.events.after(timeout, Event::Expire(id, Code::Timeout));
        let way = self.way(balancer, node);
        let p = &mut self.places[node];
        p.connections = p.connections.saturating_sub(closed);
        match way {
            // Cut off, or gone without a word: a new connection never comes up, an old one stays silent.
            None if fresh => {
                self.events.after(self.world.balancers.connect.0, Event::Expire(id, Code::ConnectFailed))
            }
            None => {}
            Some(_) if self.places[node].vanished && fresh => {
                self.events.after(self.world.balancers.connect.0, Event::Expire(id, Code::ConnectFailed));
            }
            Some(way) => {
                // A new connection takes a round trip before the request.
                let wait = if fresh { Micros(way.0 * 3) } else { way };
                self.events.after(wait, Event::Arrive(id));
            }
        }
    }

    /// How long a message takes; `None`: it does not come through.
    fn way(&mut self, balancer: usize, node: usize) -> Option<Micros> {
        let (a, b) = (self.balancers[balancer].zone, self.places[node].zone);
        let n = &self.world.network;
        let between = if a == b { n.within } else { n.between };
        let time = between.draw(&mut self.draws.network);
        (a == b || self.cut.is_none_or(|zone| zone != a && zone != b)).then_some(time)
    }

    fn back(&mut self, now: Micros, id: u64, code: Code) {
        let Some(a) = self.attempts.get_mut(&id) else { return };
        if std::mem::replace(&mut a.ended, true) {
            return;
        }
        let (balancer, node, fresh_refused) = (a.balancer, a.node, code == Code::ConnectFailed);
        if matches!(code, Code::Ok | Code::Error | Code::Full) {
            self.balancers[balancer].idle.entry(node).or_default().push(now);
        } else if !fresh_refused {
            let p = &mut self.places[node];
            p.connections = p.connections.saturating_sub(1);
        }
        self.end_attempt(now, id, code);
    }

    /// The balancer gives an attempt up: its connection closes.
    fn expire(&mut self, now: Micros, id: u64, code: Code) {
        let Some(a) = self.attempts.get_mut(&id) else { return };
        if a.ended || (code == Code::ConnectFailed && a.arrived) {
            return;
        }
        a.ended = true;
        let (balancer, node, arrived, fresh) = (a.balancer, a.node, a.arrived, a.fresh);
        // A new connection that never came up carried nothing.
        let code = if code == Code::Timeout && fresh && !arrived { Code::ConnectFailed } else { code };
        if arrived {
            let p = &mut self.places[node];
            p.connections = p.connections.saturating_sub(1);
            if let Some(way) = self.way(balancer, node) {
                self.events.after(way, Event::CallOff(node, id));
            }
        }
        self.end_attempt(now, id, code);
        // The node may still hold it; what it holds is told apart by `ended`.
        if !arrived {
            self.attempts.remove(&id);
        }
    }

    fn end_attempt(&mut self, now: Micros, id: u64, code: Code) {
        let Some(a) = self.attempts.get(&id) else { return };
        let (call_id, number, node, balancer) = (a.call, a.number, a.node, a.balancer);
        let (latency, done) = (now - a.sent, a.done);
        let never = matches!(code, Code::Full | Code::ConnectFailed | Code::Moot);
        self.rules.ended(call_id, number, if never { Ran::Never } else { Ran::Perhaps });
        let held = self.reported(now, node).filter(|_| matches!(code, Code::Ok | Code::Error | Code::Full));
        if done {
            self.attempts.remove(&id);
        }
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.out -= 1;
        let mut answered = call.answered;
        if code == Code::Ok && !call.answered && !call.left {
            call.answered = true;
            answered = true;
            self.useful += call.work;
            let asker = call.asker;
            self.rules.answered(now, call_id);
            let wait = self.latency_to(balancer, asker);
            self.events.after(wait, Event::Answer(call_id, Final::Served));
        } else if self.calls.get(&call_id).is_some_and(|c| c.left) {
            answered = true;
        }
        let latency = Duration::from_micros(latency.0.max(0) as u64);
        let report =
            News::Ended { request: RequestId(call_id), attempt: number, code, latency, held, answered };
        self.post(now, balancer, Inbox::News(report));
    }

    fn gone(&mut self, now: Micros, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.answered {
            return self.forget(id);
        }
        // The balancer owes nothing any more.
        call.answered = true;
        let balancer = call.balancer;
        self.post(now, balancer, Inbox::News(News::Gone(RequestId(id))));
    }

    /// The load that a node's report tells now.
    fn reported(&mut self, now: Micros, node: usize) -> Option<f64> {
        let tier = self.places[node].tier;
        let r = self.world.tiers[tier].reports.as_ref()?;
        let delay = r.delay.0 + self.late_reports;
        let p = &mut self.places[node];
        // Taken anew in steps, and told late: between two steps the older one holds.
        if p.report.0 < Micros(0) || now - p.report.0 >= r.every.0 + delay {
            let noise = 1.0 + r.noise * (2.0 * self.draws.reports.unit() - 1.0);
            p.report = (now, (p.node.held() as f64 * noise).max(0.0));
        }
        Some(p.report.1)
    }

    // ---- nodes ----

    fn arrive(&mut self, now: Micros, id: u64) {
        let Some(a) = self.attempts.get_mut(&id) else { return };
        if a.ended {
            // Called off on its way.
            self.attempts.remove(&id);
            return;
        }
        let (node, balancer, call_id, fresh, segment) = (a.node, a.balancer, a.call, a.fresh, a.segment);
        let tier = self.places[node].tier;
        let t = &self.world.tiers[tier];
        if self.places[node].vanished {
            return; // silence
        }
        let Some(way) = self.way(balancer, node) else { return };
        if self.places[node].stopped || (fresh && self.places[node].connections >= t.connections) {
            let code = if fresh { Code::ConnectFailed } else { Code::Reset };
            return self.events.after(way, Event::Back(id, code));
        }
        let held = self.places[node].node.held();
        if let Some(a) = self.attempts.get_mut(&id) {
            (a.arrived, a.came, a.came_at) = (true, now, held);
        }
        let p = &mut self.places[node];
        p.connections += usize::from(fresh);
        if p.draining {
            return self.finish_attempt(now, id, Code::Full);
        }
        let Some(call) = self.calls.get(&call_id) else { return };
        let (key, keyed) = (call.key, self.world.classes[call.class].repeat == Repeat::Keyed);
        let window = self.world.classes[call.class].window.0;
        let work = segment + if fresh { t.handshake.0 .0 as f64 } else { 0.0 };
        let (all, cell) = (call.work, self.places[node].cell);
        if self.rules.work_sent(now, node, all, self.places[node].node.capacity()) {
            return self.fall_over(now, node);
        }
        if self.draws.errors.chance(self.places[node].fast_errors) {
            return self.finish_attempt(now, id, Code::Error);
        }
        if keyed {
            let seen = self.keys.get(&(tier, cell, key)).is_some_and(|at| now - *at < window);
            if seen {
                // Its cell has it: the repeat is dropped, and answered for what the first one did.
                return self.finish_attempt(now, id, Code::Ok);
            }
        }
        match self.places[node].node.bring(now, id, work) {
            Brought::Full => self.finish_attempt(now, id, Code::Full),
            _ => {
                if keyed {
                    self.keys.insert((tier, cell, key), now);
                    if self.keys.len() > 1 << 20 {
                        let longest = self.world.classes.iter().map(|c| c.window.0).max().unwrap_or_default();
                        self.keys.retain(|_, at| now - *at < longest);
                    }
                }
                self.look_after(now, node);
            }
        }
    }

    /// Sends a node's answer.
    fn finish_attempt(&mut self, now: Micros, id: u64, code: Code) {
        let Some(a) = self.attempts.get_mut(&id) else { return };
        a.done = true;
        let (node, balancer, took, came_at) = (a.node, a.balancer, now - a.came, a.came_at);
        if a.ended {
            self.attempts.remove(&id);
            return;
        }
        if code == Code::Ok {
            let at = node - self.first[self.places[node].tier];
            let mut truths = self.truths[self.places[node].tier].borrow_mut();
            truths[at].served(came_at, took.0 as f64);
        }
        if let Some(way) = self.way(balancer, node) {
            self.events.at(now + way, Event::Back(id, code));
        }
    }

    /// Ends what is done at a node, and asks for the next event there.
    fn work_off(&mut self, now: Micros, node: usize) {
        while let Some(id) = self.places[node].node.pop(now) {
            let Some(a) = self.attempts.get_mut(&id) else { continue };
            if a.segments_left > 0 && !a.ended {
                a.segments_left -= 1;
                self.places[node].node.go_away();
                self.call_below(now, id);
                continue;
            }
            let p = &self.places[node];
            let (errors, spoilt) = (self.world.tiers[p.tier].errors, p.spoilt);
            let bad = self.draws.errors.chance(errors) || self.draws.errors.chance(spoilt);
            self.finish_attempt(now, id, if bad { Code::Error } else { Code::Ok });
        }
        self.look_after(now, node);
    }

    fn look_after(&mut self, now: Micros, node: usize) {
        let p = &mut self.places[node];
        p.number += 1;
        let number = p.number;
        let mut truths = self.truths[p.tier].borrow_mut();
        let truth = &mut truths[node - self.first[p.tier]];
        (truth.held, truth.capacity) =
            (p.node.held(), if p.vanished || p.stopped { 0.0 } else { p.node.capacity() });
        if let Some(at) = p.node.next() {
            self.events.at(at.max(now), Event::Done(node, number));
        }
    }

    /// A request that a node holds calls the next tier.
    fn call_below(&mut self, now: Micros, attempt: u64) {
        let Some(a) = self.attempts.get(&attempt) else { return };
        let (node, parent) = (a.node, a.call);
        let Some(up) = self.calls.get(&parent) else {
            return self.called(now, attempt, false);
        };
        let (class, tenant, expires) = (up.class, up.tenant, up.expires);
        let tier = self.places[node].tier + 1;
        let facts = &self.world.classes[class];
        let work = facts.shape.draw(self.world.work(class, tier), &mut self.draws.below);
        let calls =
            if tier + 1 < self.world.tiers.len() { around(facts.calls, &mut self.draws.below) } else { 0 };
        let key = self.draws.below.bits();
        let call = Call {
            tier,
            balancer: self.below[node],
            class,
            tenant,
            asker: Asker::Job(attempt),
            expires,
            repeat: false,
            key,
            work,
            calls,
            attempts: Vec::new(),
            out: 0,
            answered: false,
            left: false,
            taken: false,
        };
        let next = self.next + 1;
        if let Some(a) = self.attempts.get_mut(&attempt) {
            a.waits = Some(next);
        }
        self.place_call(now, call);
    }

    /// The next tier has answered a node's request, or has not in time.
    fn called(&mut self, now: Micros, attempt: u64, served: bool) {
        let Some(a) = self.attempts.get_mut(&attempt) else { return };
        a.waits = None;
        let (node, segment, ended) = (a.node, a.segment, a.ended);
        if served && !ended {
            self.places[node].node.come_back(now, attempt, segment);
        } else {
            self.places[node].node.end_away(now);
            self.finish_attempt(now, attempt, Code::Error);
        }
        self.look_after(now, node);
    }

    fn call_off(&mut self, now: Micros, node: usize, id: u64) {
        let stops = self.places[node].node.build().cancel_stops;
        let waits = self.attempts.get(&id).and_then(|a| a.waits);
        if self.places[node].node.cancel(now, id) {
            self.attempts.remove(&id);
        } else if let Some(call) = waits.filter(|_| stops) {
            // It waits for another tier, whose call ends with it.
            self.attempts.remove(&id);
            self.places[node].node.end_away(now);
            if let Some(c) = self.calls.get_mut(&call) {
                c.left = true;
                let taken = c.taken;
                self.rules.left(call);
                if taken {
                    self.events.after(Micros(20), Event::Gone(call));
                }
                self.forget(call);
            }
        }
        self.look_after(now, node);
    }

    fn set_speed(&mut self, now: Micros, node: usize) {
        let p = &mut self.places[node];
        let t = &self.world.tiers[p.tier];
        let warmth = p.cold_from.map_or(1.0, |from| {
            let age = (now - from).0 as f64 / t.warm_after.0 .0.max(1) as f64;
            t.cold_share + (1.0 - t.cold_share) * age.clamp(0.0, 1.0)
        });
        let still = p.hung || p.vanished || p.stopped || p.paused;
        p.node.set_factor(now, if still { 0.0 } else { warmth / p.slow });
        self.look_after(now, node);
    }

    fn warm(&mut self, now: Micros, node: usize) {
        let p = &mut self.places[node];
        let Some(from) = p.cold_from else { return };
        let ramp = self.world.tiers[p.tier].warm_after.0;
        if now - from >= ramp {
            p.cold_from = None;
            self.rules.warm(node);
        } else {
            self.events.after(Micros((ramp.0 / STEPS_TO_WARM).max(1)), Event::Warm(node));
        }
        self.set_speed(now, node);
    }

    fn pause(&mut self, now: Micros, node: usize, begins: bool) {
        let Some(p) = self.world.tiers[self.places[node].tier].pauses.clone() else { return };
        self.places[node].paused = begins;
        self.set_speed(now, node);
        if now < self.end {
            let s = &mut self.draws.pauses;
            let wait =
                if begins { p.last.draw(s) } else { Micros(s.exponential(p.every.0 .0 as f64) as i64) };
            self.events.after(wait, Event::Pause(node, !begins));
        } else if begins {
            self.events.after(p.last.high.0, Event::Pause(node, false));
        }
    }

    /// Ends everything that a node holds: its connections are reset.
    fn drop_all(&mut self, now: Micros, node: usize) {
        self.places[node].node.clear(now);
        let mut held: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.node == node && a.arrived && !a.done)
            .map(|(&id, _)| id)
            .collect();
        held.sort_unstable();
        for id in held {
            let Some(a) = self.attempts.get(&id) else { continue };
            let (balancer, ended, waits) = (a.balancer, a.ended, a.waits);
            if let Some(call) = waits.and_then(|c| self.calls.get_mut(&c)) {
                call.left = true;
            }
            if let Some(call) = waits {
                self.rules.left(call);
                self.events.after(Micros(20), Event::Gone(call));
                self.forget(call);
            }
            if ended {
                self.attempts.remove(&id);
            } else {
                if let Some(a) = self.attempts.get_mut(&id) {
                    (a.done, a.waits) = (true, None);
                }
                if let Some(way) = self.way(balancer, node) {
                    self.events.after(way, Event::Back(id, Code::Reset));
                }
            }
        }
        self.places[node].connections = 0;
        for b in &mut self.balancers {
            if b.tier == self.places[node].tier {
                b.idle.remove(&node);
            }
        }
        self.look_after(now, node);
    }

    fn start_node(&mut self, now: Micros, node: usize) {
        let p = &mut self.places[node];
        let t = &self.world.tiers[p.tier];
        (p.stopped, p.vanished, p.draining) = (false, false, false);
        (p.since, p.cold_from) = (Some(now), Some(now));
        self.rules.started(node, t.tip_factor, t.tip_window.0);
        self.warm(now, node);
        self.announce(now, node, Listed::Ready);
    }

    /// It falls over, and stays down.
    fn fall_over(&mut self, now: Micros, node: usize) {
        self.places[node].stopped = true;
        self.drop_all(now, node);
        self.set_speed(now, node);
        self.announce(now, node, Listed::Gone);
    }

    fn stop(&mut self, now: Micros, node: usize) {
        if self.places[node].draining {
            self.places[node].stopped = true;
            self.drop_all(now, node);
            self.set_speed(now, node);
            self.announce(now, node, Listed::Gone);
        }
    }

    // ---- the list ----

    /// Has all balancers of a tier told of a node, each in its time.
    fn announce(&mut self, now: Micros, node: usize, state: Listed) {
        let (tier, since) = (self.places[node].tier, self.places[node].since);
        let delay = self.world.tiers[tier].list.delay;
        for b in 0..self.balancers.len() {
            if self.balancers[b].tier == tier {
                let wait = delay.draw(&mut self.draws.list);
                self.events.at(now + wait, Event::Told(b, node, state, since));
            }
        }
    }

    fn tell(&mut self, now: Micros, b: usize, node: usize, state: Listed, since: Option<Micros>) {
        if self.stale {
            return self.held_news.push((b, node, state, since));
        }
        self.rules.told(now, b, node, state == Listed::Ready);
        let listing = Listing { since, ..self.listing(node, state) };
        let list = HostList { seq: 2, whole: false, hosts: vec![(listing, None)] };
        self.post(now, b, Inbox::News(News::Hosts(list)));
    }

    fn watched(&mut self, now: Micros, b: usize) {
        let tier = self.balancers[b].tier;
        let list = self.whole_list(tier);
        for node in self.first[tier]..self.first[tier] + self.world.tiers[tier].nodes {
            let state = self.state(node);
            if state != Listed::Ready {
                self.rules.told(now, b, node, false);
            }
        }
        self.post(now, b, Inbox::News(News::Hosts(list)));
    }

    // ---- faults ----

    fn fault(&mut self, now: Micros, i: usize, begins: bool) {
        let (_, _, nodes, size) = self.faults[i].clone();
        match &self.world.faults[i].what {
            What::Slow(_) => {
                for n in nodes {
                    self.places[n].slow = if begins { size } else { 1.0 };
                    self.set_speed(now, n);
                }
            }
            What::Hang => {
                for n in nodes {
                    self.places[n].hung = begins;
                    self.set_speed(now, n);
                }
            }
            What::FastErrors(_) => {
                nodes.iter().for_each(|&n| self.places[n].fast_errors = if begins { size } else { 0.0 })
            }
            What::Spoilt(_) => {
                nodes.iter().for_each(|&n| self.places[n].spoilt = if begins { size } else { 0.0 })
            }
            What::LateReports(_) => self.late_reports = Micros(if begins { size as i64 } else { 0 }),
            What::Burst(_) => self.burst = if begins { size } else { 1.0 },
            What::Vanish => {
                for n in nodes {
                    if begins {
                        self.places[n].vanished = true;
                        self.set_speed(now, n);
                        self.announce(now, n, Listed::Gone);
                    } else {
                        // It comes back as a new process: what it held is reset.
                        self.places[n].vanished = false;
                        self.drop_all(now, n);
                        self.start_node(now, n);
                    }
                }
            }
            What::Restart => {
                for n in nodes {
                    if begins {
                        self.places[n].draining = true;
                        self.announce(now, n, Listed::Draining);
                        self.events.after(Micros(1_000_000), Event::Stop(n));
                    } else {
                        self.start_node(now, n);
                    }
                }
            }
            What::Partition => self.cut = begins.then_some(size as usize),
            What::StaleList => {
                self.stale = begins;
                if !begins {
                    for (b, node, state, since) in std::mem::take(&mut self.held_news) {
                        self.events.after(Micros(0), Event::Told(b, node, state, since));
                    }
                }
            }
            What::LyingList => {
                for n in nodes {
                    self.announce(now, n, if begins { Listed::Gone } else { Listed::Ready });
                }
            }
        }
    }

    // ---- the end ----

    fn report(mut self, seed: u64, kind: Kind) -> Report {
        let world = self.world;
        let lasted = (world.lasts.0 - world.warm_up.0).0 as f64 / 1e6;
        let (mut imbalance, mut used) = (Vec::new(), Vec::new());
        let mut done = 0.0;
        for (t, tier) in world.tiers.iter().enumerate() {
            let places = &self.places[self.first[t]..self.first[t] + tier.nodes];
            let whole = world.lasts.0 .0 as f64;
            let uses: Vec<f64> = places.iter().map(|p| p.node.work_done() / (p.nominal * whole)).collect();
            let mean = uses.iter().sum::<f64>() / uses.len() as f64;
            let variance = uses.iter().map(|u| (u - mean).powi(2)).sum::<f64>() / uses.len() as f64;
            imbalance.push(if mean > 0.0 { variance.sqrt() / mean } else { 0.0 });
            used.push(mean);
            done += places.iter().map(|p| p.node.work_done()).sum::<f64>();
        }
        // Whoever is not settled yet has got nothing.
        let open: Vec<u32> =
            (0..self.clients.len() as u32).filter(|&c| !self.clients[c as usize].over).collect();
        let now = self.events.now();
        open.into_iter().for_each(|c| self.settle(now, c, Outcome::GivenUp));
        let worst = self.seconds.iter().filter(|s| s.asked > 0.0).map(|s| s.earned / s.asked);
        let counted = self.all.asked.max(1) as f64;
        let mut report = Report {
            world: world.name.clone(),
            policy: kind.name().to_string(),
            seed,
            service: self.all.service(),
            worst_second: worst.fold(1.0, f64::min),
            goodput: self.all.in_time as f64 / lasted,
            waste: if done > 0.0 { (1.0 - self.useful / done).max(0.0) } else { 0.0 },
            client_amplification: self.tries as f64 / counted,
            retry_amplification: self.first_sends as f64 / self.tries.max(1) as f64,
            latency: latency(&self.served),
            imbalance,
            used,
            all: self.all.clone(),
            classes: self.parts.clone(),
            tenants: self.tenants.clone(),
            requests: self.clients.len() as u64,
            attempts: self.sends,
            decisions: self.decisions,
            events: self.events.asked(),
            ..Report::default()
        };
        report.take_rules(&self.rules);
        report
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Served,
    Refused,
    Failed,
    GivenUp,
}

/// A place by weight.
fn weighted(weights: impl Iterator<Item = f64> + Clone, s: &mut Stream) -> usize {
    let mut at = s.unit() * weights.clone().sum::<f64>();
    let mut last = 0;
    for (i, w) in weights.enumerate().filter(|(_, w)| *w > 0.0) {
        last = i;
        at -= w;
        if at < 0.0 {
            break;
        }
    }
    last
}

/// A whole number with this mean: one of the two next to it.
fn around(mean: f64, s: &mut Stream) -> u32 {
    mean.floor() as u32 + u32::from(s.chance(mean.fract()))
}
