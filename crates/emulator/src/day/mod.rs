//! One run of a world: clients, balancers, nodes, the node list and the faults, as a sequence of events.

mod balancers;
mod clients;
mod end;
mod faults;
mod links;
mod nodes;
mod processes;

use crate::draw::RandomStream;
use crate::events::Events;
use crate::fleet::{Fleet, Step};
use crate::node::{Admission, Node, NodeConfig, Thrash};
use crate::policy::{self, Policy, PolicyKind, TrueNodeState, TrueNodeStates};
use crate::report::{histogram, latency_percentiles, OutcomeCounts, Report};
use crate::rules::{AllowedRepeats, Execution, RuleChecker, ANSWER_GRACE};
use crate::world::{Arrivals, FaultKind, Repeat, World};
use garnettally_decisions::facade::{Code, Decision, PickRequest, Report as PolicyReport, RequestId};
use garnettally_model::*;
use hdrhistogram::Histogram;
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// An event of the run.
enum Event {
    /// The next client may arrive.
    ClientArrives,
    /// A call reaches its balancer.
    CallReachesBalancer(u64),
    /// A balancer's policy processes its input and its timers.
    ConsultPolicy(usize),
    /// An attempt reaches its node.
    AttemptReachesNode(u64),
    /// The state of a node changes by itself; the number tells the latest such event from superseded ones.
    NodeProgress(usize, u64),
    /// The end of an attempt reaches its balancer.
    AttemptEndReachesBalancer(u64, Code),
    /// An attempt times out, or its connection has not been established in time.
    AttemptExpires(u64, Code),
    /// The cancellation of an attempt reaches its node.
    CancelReachesNode(usize, u64),
    /// The final answer to a call reaches its caller.
    AnswerReachesCaller(u64, FinalAnswer),
    /// The caller stops waiting for an answer to its call.
    CallerGivesUp(u64),
    /// The balancer notices that the caller of a call has disconnected.
    CallerLeaves(u64),
    /// A client retries.
    ClientRetries(u32),
    /// A balancer receives the state of a node: balancer, node, state, and when the node started.
    ListUpdate(usize, usize, ListedState, Option<Micros>),
    /// A balancer receives the whole list in answer to its watch.
    WatchAnswered(usize),
    /// A fault begins (true) or ends (false).
    FaultChanges(usize, bool),
    /// A draining node stops.
    StopNode(usize),
    /// A cold node takes the next step of its warm-up.
    WarmNode(usize),
    /// A node pauses (true) or resumes (false).
    PauseChanges(usize, bool),
    /// A datagram of another balancer reaches this balancer.
    DatagramArrives(usize, Vec<u8>),
    /// A balancer's link layer processes its timers.
    LinkTimer(usize),
}

/// The final answer to a call; a refusal may name the time after which the client may retry.
#[derive(Clone, Copy, PartialEq)]
enum FinalAnswer {
    Served,
    Refused(Option<Micros>),
    Failed,
}

/// The caller of a call.
#[derive(Clone, Copy)]
enum Caller {
    Client(u32),
    /// A request in process at a node, given by its attempt, for which the node calls the next tier.
    NodeRequest(u64),
}

/// A call to a balancer: one try of a client, or a node's call to the next tier.
struct Call {
    tier: usize,
    balancer: usize,
    class: usize,
    tenant: usize,
    caller: Caller,
    expires: Micros,
    repeat: bool,
    key: u64,
    /// The work at this tier in microseconds; `calls` counts the calls that the request makes to the next
    /// tier.
    work: f64,
    calls: u32,
    /// The identifiers of the attempts, by their numbers within the call.
    attempts: Vec<u64>,
    /// The number of attempts whose end the balancer does not know yet.
    in_flight: u32,
    answered: bool,
    /// The caller no longer waits for an answer.
    caller_left: bool,
    /// The balancer has received the call.
    accepted: bool,
}

struct Attempt {
    call: u64,
    number: u32,
    node: usize,
    balancer: usize,
    sent: Micros,
    /// The attempt opens a new connection.
    new_connection: bool,
    /// The balancer knows the end of the attempt, or has given it up.
    ended: bool,
    /// The node has received the attempt.
    arrived: bool,
    arrived_at: Micros,
    /// The number of requests at the node when the attempt arrived.
    load_on_arrival: usize,
    /// The calls to the next tier that are still to be made.
    segments_left: u32,
    /// The work between two calls to the next tier, in microseconds.
    segment_work: f64,
    /// The call to the next tier for which the attempt waits.
    awaited_call: Option<u64>,
    /// The node has finished the attempt.
    finished: bool,
}

/// A client with its one request.
struct Client {
    class: usize,
    tenant: usize,
    first_try_at: Micros,
    tries: u32,
    key: u64,
    work: f64,
    calls: u32,
    /// The client arrived after the warm-up, so its request counts in the results.
    counted: bool,
    /// The outcome of the request is final.
    settled: bool,
}

/// A node with its place in the world and the faults that affect it.
struct EmulatedNode {
    tier: usize,
    zone: usize,
    cell: usize,
    processor: Node,
    /// The number of the latest [`Event::NodeProgress`] of this node.
    event_number: u64,
    cold_since: Option<Micros>,
    /// The divisor of the speed that a fault sets.
    slowdown: f64,
    hung: bool,
    vanished: bool,
    stopped: bool,
    draining: bool,
    paused: bool,
    /// The part of requests that fail at once, set by a fault.
    fast_error_share: f64,
    /// The part of requests that end in an error after their work, set by a fault.
    spoilt_share: f64,
    connections: usize,
    started_at: Option<Micros>,
    /// The time and the value of the latest load report.
    load_report: (Micros, f64),
    /// The work that the node can do in a microsecond without faults.
    nominal_capacity: f64,
}

struct Balancer {
    tier: usize,
    zone: usize,
    policy: Box<dyn Policy>,
    inbox: Vec<PolicyInput>,
    /// When the policy is consulted next.
    consult_at: Option<Micros>,
    process: ProcessState,
    /// Events that arrive while the process is stopped.
    queued_events: Vec<Event>,
    /// Idle connections by node, each with the time since which it has been idle.
    idle: FxHashMap<usize, Vec<Micros>>,
}

/// The state of a balancer's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Running,
    /// The process is stopped: input waits in its sockets.
    Stopped,
    /// The process was killed, and has not started anew yet.
    Dead,
}

/// An input of a balancer's policy.
enum PolicyInput {
    Request(PickRequest),
    Report(PolicyReport),
}

/// The worth of the requests that started within one second of the run.
#[derive(Clone, Copy, Default)]
struct SecondTotals {
    worth_asked: f64,
    worth_earned: f64,
}

/// The streams of random numbers, one for each purpose.
struct RandomStreams {
    arrivals: RandomStream,
    clients: RandomStream,
    work: RandomStream,
    network: RandomStream,
    nodes: RandomStream,
    errors: RandomStream,
    pauses: RandomStream,
    list: RandomStream,
    reports: RandomStream,
    links: RandomStream,
    /// Draws of clients at retries. They are separate because they depend on the outcomes of first tries.
    retries: RandomStream,
    /// The work of calls to later tiers. It is separate because it depends on which requests ran at the first
    /// tier.
    later_tiers: RandomStream,
}

/// One run of a world under a policy.
pub struct Day<'w> {
    world: &'w World,
    seed: u64,
    kind: PolicyKind,
    wrap_policy: PolicyHook<'w>,
    events: Events<Event>,
    /// When clients stop arriving.
    arrivals_end: Micros,
    random: RandomStreams,
    nodes: Vec<EmulatedNode>,
    /// The index of the first node of each tier.
    first_node: Vec<usize>,
    balancers: Vec<Balancer>,
    fleet: Option<Fleet>,
    /// By node: the balancer of its calls to the next tier; `usize::MAX` in the last tier.
    next_tier_balancer: Vec<usize>,
    calls: FxHashMap<u64, Call>,
    attempts: FxHashMap<u64, Attempt>,
    clients: Vec<Client>,
    last_id: u64,
    /// The true states of the nodes, by tier.
    true_states: Vec<TrueNodeStates>,
    /// By tier, cell and key: when a node of the cell accepted a request with the key.
    seen_keys: FxHashMap<(usize, usize, u64), Micros>,
    /// Of each fault: its begin, its end, the affected nodes or balancers, and its drawn size.
    faults: Vec<(Micros, Micros, Vec<usize>, f64)>,
    /// The additional delay of load reports that a fault sets.
    added_report_delay: Micros,
    /// The factor of the arrival rate that a fault sets.
    burst_factor: f64,
    list_is_stale: bool,
    /// Updates of the list that a stale list has not delivered yet.
    withheld_updates: Vec<(usize, usize, ListedState, Option<Micros>)>,
    /// The zone that a partition cuts off from the others.
    partitioned_zone: Option<usize>,
    /// The number of restarts of balancers so far.
    restarts: u64,
    bursting: bool,
    burst_until: Micros,
    trace_index: usize,
    trace_round_start: Micros,
    checker: RuleChecker,
    served_latency: Histogram<u64>,
    /// The totals by second of the run.
    seconds: Vec<SecondTotals>,
    class_totals: Vec<OutcomeCounts>,
    tenant_totals: Vec<OutcomeCounts>,
    totals: OutcomeCounts,
    client_tries: u64,
    first_tier_attempts: u64,
    attempts_sent: u64,
    policy_calls: u64,
    /// The work, in microseconds, of the calls that were answered.
    useful_work: f64,
}

/// A function that may replace each policy before it starts.
pub type PolicyHook<'a> = &'a mut dyn FnMut(Box<dyn Policy>) -> Box<dyn Policy>;

/// Runs a world under a policy. `wrap_policy` may replace each policy before it starts; tests use it to break
/// rules on purpose.
pub fn run_with<'w>(world: &'w World, seed: u64, kind: PolicyKind, wrap_policy: PolicyHook<'w>) -> Report {
    let mut day = Day::new(world, seed, kind, wrap_policy);
    day.run();
    day.into_report(seed, kind)
}

/// Runs a world under a policy.
pub fn run(world: &World, seed: u64, kind: PolicyKind) -> Report {
    run_with(world, seed, kind, &mut |policy| policy)
}

/// The number of steps in which a cold node's capacity rises.
const WARM_UP_STEPS: i64 = 16;

impl<'w> Day<'w> {
    fn new(world: &'w World, seed: u64, kind: PolicyKind, wrap_policy: PolicyHook<'w>) -> Day<'w> {
        let stream = |purpose| RandomStream::new(seed, purpose, 0);
        let random = RandomStreams {
            arrivals: stream("arrivals"),
            clients: stream("clients"),
            work: stream("work"),
            network: stream("network"),
            nodes: stream("nodes"),
            errors: stream("errors"),
            pauses: stream("pauses"),
            later_tiers: stream("below"),
            list: stream("list"),
            reports: stream("reports"),
            links: stream("links"),
            retries: stream("retries"),
        };
        let counts = |name: &str| OutcomeCounts { name: name.to_string(), ..OutcomeCounts::default() };
        let seconds = (world.lasts.0 .0 / 1_000_000 + 2) as usize;
        let mut day = Day {
            world,
            seed,
            kind,
            wrap_policy,
            events: Events::default(),
            arrivals_end: world.lasts.0,
            random,
            nodes: Vec::new(),
            first_node: Vec::new(),
            balancers: Vec::new(),
            fleet: None,
            next_tier_balancer: Vec::new(),
            calls: FxHashMap::default(),
            attempts: FxHashMap::default(),
            clients: Vec::new(),
            last_id: 0,
            true_states: Vec::new(),
            seen_keys: FxHashMap::default(),
            faults: Vec::new(),
            added_report_delay: Micros(0),
            burst_factor: 1.0,
            list_is_stale: false,
            withheld_updates: Vec::new(),
            partitioned_zone: None,
            restarts: 0,
            bursting: false,
            burst_until: Micros(0),
            trace_index: 0,
            trace_round_start: Micros(0),
            checker: RuleChecker::default(),
            served_latency: histogram(),
            seconds: vec![SecondTotals::default(); seconds],
            class_totals: world.classes.iter().map(|c| counts(&c.name)).collect(),
            tenant_totals: world.tenants.iter().map(|t| counts(&t.name)).collect(),
            totals: counts("all"),
            client_tries: 0,
            first_tier_attempts: 0,
            attempts_sent: 0,
            policy_calls: 0,
            useful_work: 0.0,
        };
        day.build();
        day
    }

    fn build(&mut self) {
        let (world, seed) = (self.world, self.seed);
        for (t, tier) in world.tiers.iter().enumerate() {
            self.first_node.push(self.nodes.len());
            let mut true_states = Vec::with_capacity(tier.nodes);
            for i in 0..tier.nodes {
                let stream = &mut self.random.nodes;
                let thrash = tier.thrash.as_ref().map(|t| Thrash {
                    above: t.above,
                    after: t.after.0,
                    factor: t.factor.draw(stream),
                    calm: t.calm.0,
                });
                let config = NodeConfig {
                    cores: tier.cores.draw(stream),
                    speed: tier.speed.draw(stream),
                    slots: tier.slots,
                    queue: tier.queue,
                    cancel_stops: tier.cancel_stops,
                    thrash,
                };
                let nominal_capacity = config.cores * config.speed;
                true_states.push(TrueNodeState {
                    in_flight: 0,
                    capacity: nominal_capacity,
                    mean_time: Vec::new(),
                });
                // Nodes are assigned to the zones in turn; a cell lies within one zone.
                let zones = world.zones.len();
                let (zone, cell) = (i % zones, i / zones / tier.cell * zones + i % zones);
                self.nodes.push(EmulatedNode {
                    tier: t,
                    zone,
                    cell,
                    processor: Node::new(config, Micros(0)),
                    event_number: 0,
                    cold_since: None,
                    slowdown: 1.0,
                    hung: false,
                    vanished: false,
                    stopped: false,
                    draining: false,
                    paused: false,
                    fast_error_share: 0.0,
                    spoilt_share: 0.0,
                    connections: 0,
                    started_at: None,
                    load_report: (Micros(-1), 0.0),
                    nominal_capacity,
                });
                if let Some(pauses) = &tier.pauses {
                    let wait = self.random.pauses.exponential(pauses.every.0 .0 as f64);
                    self.events
                        .schedule_at(Micros(wait as i64), Event::PauseChanges(self.nodes.len() - 1, true));
                }
            }
            self.true_states.push(Rc::new(RefCell::new(true_states)));
        }
        // The first tier's balancers, then one for each node of a tier that is not the last.
        for i in 0..world.tiers[0].balancers {
            self.add_balancer(0, i % world.zones.len());
        }
        self.next_tier_balancer = vec![usize::MAX; self.nodes.len()];
        for node in 0..self.nodes.len() {
            let below = self.nodes[node].tier + 1;
            if below < world.tiers.len() {
                self.next_tier_balancer[node] = self.balancers.len();
                self.add_balancer(below, self.nodes[node].zone);
            }
        }
        if let Some(link) = &world.fleet {
            let fleet = Fleet::new(world, link, seed);
            for (member, at) in fleet.start_times().into_iter().enumerate() {
                self.events.schedule_at(at, Event::LinkTimer(member));
            }
            self.fleet = Some(fleet);
        }
        let mut stream = RandomStream::new(seed, "faults", 0);
        for (i, f) in world.faults.iter().enumerate() {
            let tier = &world.tiers[world.tier_index(f)];
            let at = f.at.draw(&mut stream);
            let end = at + f.lasts.draw(&mut stream);
            // Balancers are numbered from 0, nodes from the first node of their tier.
            let (total, first) = match f.what.targets_balancers() {
                true => (tier.balancers, 0),
                false => (tier.nodes, self.first_node[world.tier_index(f)]),
            };
            let count = ((f.share.draw(&mut stream) * total as f64).round() as usize).max(1);
            let nodes = stream.sample_indices(count, total).into_iter().map(|i| first + i).collect();
            let size = match &f.what {
                FaultKind::Slow(b)
                | FaultKind::Burst(b)
                | FaultKind::FastErrors(b)
                | FaultKind::Spoilt(b) => b.draw(&mut stream),
                FaultKind::LateReports(b) => b.draw(&mut stream).0 as f64,
                FaultKind::Partition => stream.index(world.zones.len()) as f64,
                _ => 0.0,
            };
            self.faults.push((at, end, nodes, size));
            self.events.schedule_at(at, Event::FaultChanges(i, true));
            self.events.schedule_at(end, Event::FaultChanges(i, false));
        }
        let wait = self.time_to_next_arrival(Micros(0));
        self.events.schedule_at(wait, Event::ClientArrives);
    }

    fn add_balancer(&mut self, tier: usize, zone: usize) {
        let id = self.balancers.len();
        let policy = self.new_policy(id, tier, zone, 0, Micros(0));
        let known = self.whole_list(tier);
        let balancer = Balancer {
            tier,
            zone,
            policy,
            inbox: vec![PolicyInput::Report(PolicyReport::InitialList(known))],
            consult_at: Some(Micros(0)),
            process: ProcessState::Running,
            queued_events: Vec::new(),
            idle: FxHashMap::default(),
        };
        self.balancers.push(balancer);
        self.events.schedule_at(Micros(0), Event::ConsultPolicy(id));
    }

    /// Creates the policy of a balancer that starts now. `starts` is the number of restarts of balancers so
    /// far.
    fn new_policy(
        &mut self,
        id: usize,
        tier: usize,
        zone: usize,
        starts: u64,
        now: Micros,
    ) -> Box<dyn Policy> {
        let (world, seed) = (self.world, self.seed);
        let tier_config = &world.tiers[tier];
        let instances = if tier == 0 { tier_config.balancers } else { world.tiers[tier - 1].nodes };
        let base = Settings::default();
        let abilities = &world.balancers;
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
            resolution: abilities.resolution.0,
            idle_close: tier_config.idle.0,
            zone: zone as u32,
            tier: tier as u32,
            classes: classes.collect(),
            tenant_quota: world.tenants.iter().map(|t| t.quota.unwrap_or(f64::INFINITY)).collect(),
            watch_on_request: true,
            parallel_attempts: abilities.parallel,
            may_cancel: abilities.cancel,
            max_attempts: abilities.attempts,
            retry_after: abilities.retry_after_max.0 > Micros(0),
            max_retry_after: abilities.retry_after_max.0,
            cold_share: tier_config.cold_share,
            ramp_time: tier_config.warm_after.0,
            cold_overload_window: tier_config.tip_window.0,
            ..base
        };
        let names = Names::new(
            world.classes.iter().map(|c| c.name.clone()).collect(),
            world.tenants.iter().map(|t| t.name.clone()).collect(),
            world.zones.clone(),
            Vec::new(),
        );
        let own_seed = RandomStream::new(seed, "balancer", id as u64 | starts << 32).bits();
        let policy = policy::create_policy(
            self.kind,
            Site { settings, names },
            own_seed,
            now,
            &self.true_states[tier],
        );
        (self.wrap_policy)(policy)
    }

    /// The whole list of a tier, in the order of its nodes; policies number the nodes by this order.
    fn whole_list(&self, tier: usize) -> HostList {
        let from = self.first_node[tier];
        let hosts = (from..from + self.world.tiers[tier].nodes)
            .map(|n| (self.listing(n, self.listed_state(n)), None));
        HostList { seq: 1, whole: true, hosts: hosts.collect() }
    }

    fn listed_state(&self, node: usize) -> ListedState {
        let node_state = &self.nodes[node];
        match (node_state.stopped, node_state.draining) {
            (true, _) => ListedState::Removed,
            (_, true) => ListedState::Draining,
            _ => ListedState::Ready,
        }
    }

    fn listing(&self, node: usize, state: ListedState) -> Listing {
        let node_state = &self.nodes[node];
        Listing {
            name: format!("n{node}"),
            zone: Some(self.world.zones[node_state.zone].clone()),
            kind: None,
            cell: node_state.cell as i64,
            state,
            units: 1.0,
            started_at: node_state.started_at,
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn run(&mut self) {
        // After the arrivals end, the open requests have time to finish.
        let longest = self.world.classes.iter().map(|c| c.deadline.0).max().unwrap_or_default();
        let end = self.arrivals_end + longest + longest + Micros(1_000_000);
        while let Some(event) = self.events.next_before(end) {
            self.handle(event);
        }
        self.checker.finish(self.events.now().max(end));
    }

    fn handle(&mut self, event: Event) {
        let now = self.events.now();
        match event {
            Event::ClientArrives => self.client_arrives(now),
            Event::CallReachesBalancer(call) => self.call_reaches_balancer(now, call),
            Event::ConsultPolicy(b) => self.consult_policy(now, b),
            Event::AttemptReachesNode(a) => self.attempt_reaches_node(now, a),
            Event::NodeProgress(node, number) => {
                if self.nodes[node].event_number == number {
                    self.handle_finished_requests(now, node);
                }
            }
            Event::AttemptEndReachesBalancer(a, code) => self.attempt_end_arrives(now, a, code),
            Event::AttemptExpires(a, code) => self.expire_attempt(now, a, code),
            Event::CancelReachesNode(node, a) => self.cancel_at_node(now, node, a),
            Event::AnswerReachesCaller(call, answer) => self.deliver_answer(now, call, answer),
            Event::CallerGivesUp(call) => self.caller_gives_up(now, call),
            Event::CallerLeaves(call) => self.caller_leaves(now, call),
            Event::ClientRetries(client) => self.start_try(now, client),
            Event::ListUpdate(b, node, state, since) => self.deliver_list_update(now, b, node, state, since),
            Event::WatchAnswered(b) => self.deliver_whole_list(now, b),
            Event::FaultChanges(i, begins) => self.change_fault(now, i, begins),
            Event::StopNode(node) => self.stop_node(now, node),
            Event::WarmNode(node) => self.warm_node(now, node),
            Event::PauseChanges(node, begins) => self.change_pause(now, node, begins),
            Event::DatagramArrives(member, data) => self.deliver_datagram(now, member, data),
            Event::LinkTimer(member) => self.wake_fleet_member(now, member),
        }
    }
}

/// The outcome of a client's request.
#[derive(Clone, Copy, PartialEq)]
enum RequestOutcome {
    Served,
    Refused,
    Failed,
    GivenUp,
}
