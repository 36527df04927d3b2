//! One run of a world: clients, balancers, nodes, the list and the faults, one event after the other.

mod balancers;
mod clients;
mod end;
mod faults;
mod links;
mod lives;
mod nodes;

use crate::draw::Stream;
use crate::events::Events;
use crate::fleet::{Fleet, Step};
use crate::node::{Brought, Build, Node, Thrash};
use crate::policy::{self, Kind, Policy, Truth, Truths};
use crate::report::{histogram, latency, Part, Report};
use crate::rules::{Allows, Checker, Ran, ANSWER_GRACE};
use crate::world::{Arrivals, Repeat, What, World};
use garnettally_decisions::facade::{Code, Decision, PickRequest, Report as News, RequestId};
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
    Told(usize, usize, ListedState, Option<Micros>),
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
    life: Life,
    /// What comes to it while it stands still.
    held: Vec<Event>,
    /// Idle connections by node, with the time since which they idle.
    idle: FxHashMap<usize, Vec<Micros>>,
}

/// What a balancer's process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Runs,
    /// It stands still: what comes to it waits in its sockets.
    Stopped,
    /// It was killed, and has not started anew yet.
    Dead,
}

enum Inbox {
    Ask(PickRequest),
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
    seed: u64,
    kind: Kind,
    shape: Shape<'w>,
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
    held_news: Vec<(usize, usize, ListedState, Option<Micros>)>,
    cut: Option<usize>,
    /// How often balancers have started anew.
    starts: u64,
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

/// What may change each policy before it starts.
pub type Shape<'a> = &'a mut dyn FnMut(Box<dyn Policy>) -> Box<dyn Policy>;

/// Runs a world under a policy. `shape` may change each policy before it starts, as mutants in tests do.
pub fn run_with<'w>(world: &'w World, seed: u64, kind: Kind, shape: Shape<'w>) -> Report {
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
    fn new(world: &'w World, seed: u64, kind: Kind, shape: Shape<'w>) -> Day<'w> {
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
            seed,
            kind,
            shape,
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
            starts: 0,
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
        day.build();
        day
    }

    fn build(&mut self) {
        let (world, seed) = (self.world, self.seed);
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
            self.add_balancer(0, i % world.zones.len());
        }
        self.below = vec![usize::MAX; self.places.len()];
        for at in 0..self.places.len() {
            let below = self.places[at].tier + 1;
            if below < world.tiers.len() {
                self.below[at] = self.balancers.len();
                self.add_balancer(below, self.places[at].zone);
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
            // Balancers that are meant are numbered from 0, nodes from the first of their tier.
            let (of, from) = match f.what.of_balancers() {
                true => (tier.balancers, 0),
                false => (tier.nodes, self.first[world.tier_of(f)]),
            };
            let n = ((f.share.draw(&mut s) * of as f64).round() as usize).max(1);
            let nodes = s.some(n, of).into_iter().map(|n| from + n).collect();
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

    fn add_balancer(&mut self, tier: usize, zone: usize) {
        let id = self.balancers.len();
        let policy = self.new_policy(id, tier, zone, 0, Micros(0));
        let known = self.whole_list(tier);
        let balancer = Balancer {
            tier,
            zone,
            policy,
            inbox: vec![Inbox::News(News::InitialList(known))],
            due: Some(Micros(0)),
            life: Life::Runs,
            held: Vec::new(),
            idle: FxHashMap::default(),
        };
        self.balancers.push(balancer);
        self.events.at(Micros(0), Event::Consult(id));
    }

    /// The policy of a balancer that starts now, for the so-manieth time.
    fn new_policy(
        &mut self,
        id: usize,
        tier: usize,
        zone: usize,
        starts: u64,
        now: Micros,
    ) -> Box<dyn Policy> {
        let (world, seed) = (self.world, self.seed);
        let t = &world.tiers[tier];
        let instances = if tier == 0 { t.balancers } else { world.tiers[tier - 1].nodes };
        let base = Settings::default();
        let b = &world.balancers;
        let classes = world.classes.iter().map(|c| Class {
            aim: c.aim.0,
            deadline: c.deadline.0,
            effect: match c.repeat {
                Repeat::Safe => Effect::Safe,
                Repeat::Keyed => Effect::Keyed { scope: DedupScope::Cell, window: c.window.0 },
                Repeat::Never => Effect::Unsafe,
            },
            worth: c.worth,
            late_worth: c.late_worth,
            ..Class::default()
        });
        let settings = Settings {
            instances: instances as u32,
            instance_index: (id % instances) as u32,
            resolution: b.resolution.0,
            idle_close: t.idle.0,
            zone: zone as u32,
            tier: tier as u32,
            classes: classes.collect(),
            tenant_quota: world.tenants.iter().map(|t| t.quota.unwrap_or(f64::INFINITY)).collect(),
            watch_on_request: true,
            parallel_attempts: b.parallel,
            may_cancel: b.cancel,
            max_attempts: b.attempts,
            retry_after: b.retry_after_max.0 > Micros(0),
            max_retry_after: b.retry_after_max.0,
            cold_share: t.cold_share,
            ramp_time: t.warm_after.0,
            cold_overload_window: t.tip_window.0,
            ..base
        };
        let names = Names::new(
            world.classes.iter().map(|c| c.name.clone()).collect(),
            world.tenants.iter().map(|t| t.name.clone()).collect(),
            world.zones.clone(),
            Vec::new(),
        );
        let own_seed = Stream::new(seed, "balancer", id as u64 | starts << 32).bits();
        let policy = policy::new(self.kind, Site { settings, names }, own_seed, now, &self.truths[tier]);
        (self.shape)(policy)
    }

    /// The whole list of a tier, in the order of its nodes: they are numbered by it.
    fn whole_list(&self, tier: usize) -> HostList {
        let from = self.first[tier];
        let hosts =
            (from..from + self.world.tiers[tier].nodes).map(|n| (self.listing(n, self.state(n)), None));
        HostList { seq: 1, whole: true, hosts: hosts.collect() }
    }

    fn state(&self, node: usize) -> ListedState {
        let p = &self.places[node];
        match (p.stopped, p.draining) {
            (true, _) => ListedState::Removed,
            (_, true) => ListedState::Draining,
            _ => ListedState::Ready,
        }
    }

    fn listing(&self, node: usize, state: ListedState) -> Listing {
        let p = &self.places[node];
        Listing {
            name: format!("n{node}"),
            zone: Some(self.world.zones[p.zone].clone()),
            kind: None,
            cell: p.cell as i64,
            state,
            units: 1.0,
            started_at: p.since,
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
            Event::Datagram(member, data) => self.datagram(now, member, data),
            Event::Link(member) => self.link(now, member),
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Served,
    Refused,
    Failed,
    GivenUp,
}
