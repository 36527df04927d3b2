//! The description of a world, in TOML. `docs/worlds.md` documents every key.

use crate::draw::{RandomStream, WorkDistribution};
use garnettally_model::Micros;
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;

/// A duration, written as "250ms" or "2s".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub Micros);

fn parse_time<E: serde::de::Error>(text: &str) -> Result<Time, E> {
    let time = humantime::parse_duration(text).map_err(|e| {
        E::custom(format!("{text:?} is no time ({e}): write a number and a unit, such as \"250ms\""))
    })?;
    Ok(Time(Micros(i64::try_from(time.as_micros()).unwrap_or(i64::MAX / 4).min(i64::MAX / 4))))
}

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Time, D::Error> {
        parse_time(&String::deserialize(d)?)
    }
}

/// A range from which a value is drawn for each node, zone or fault; written as one value, or as an array of
/// two.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueRange<T> {
    /// The lower bound, inclusive.
    pub low: T,
    /// The upper bound; not less than `low`.
    pub high: T,
}

impl<T: Copy> ValueRange<T> {
    /// A range that consists of this value alone.
    pub fn exactly(value: T) -> ValueRange<T> {
        ValueRange { low: value, high: value }
    }
}

impl ValueRange<f64> {
    /// Draws a value, uniformly distributed between the bounds.
    pub fn draw(&self, stream: &mut RandomStream) -> f64 {
        self.low + (self.high - self.low) * stream.unit()
    }
}

impl ValueRange<Time> {
    /// Draws a value, uniformly distributed between the bounds.
    pub fn draw(&self, stream: &mut RandomStream) -> Micros {
        let (low, high) = (self.low.0 .0, self.high.0 .0);
        Micros(low + ((high - low) as f64 * stream.unit()) as i64)
    }
}

struct ValueRangeVisitor<T>(std::marker::PhantomData<T>);

trait Bound: Sized + Copy + PartialOrd {
    const EXPECTED: &'static str;
    fn parse_text<E: serde::de::Error>(text: &str) -> Result<Self, E>;
    fn parse_number<E: serde::de::Error>(n: f64) -> Result<Self, E>;
}

impl Bound for f64 {
    const EXPECTED: &'static str = "a number, or an array of the least and the most";
    fn parse_text<E: serde::de::Error>(text: &str) -> Result<f64, E> {
        Err(E::custom(format!("{text:?} is no number")))
    }
    fn parse_number<E: serde::de::Error>(n: f64) -> Result<f64, E> {
        Ok(n)
    }
}

impl Bound for Time {
    const EXPECTED: &'static str = "a time such as \"250ms\", or an array of the least and the most";
    fn parse_text<E: serde::de::Error>(text: &str) -> Result<Time, E> {
        parse_time(text)
    }
    fn parse_number<E: serde::de::Error>(n: f64) -> Result<Time, E> {
        Err(E::custom(format!("{n} has no unit: write a time such as \"250ms\"")))
    }
}

struct SingleValue<T>(T);

impl<'de, T: Bound> Deserialize<'de> for SingleValue<T> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<SingleValue<T>, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Raw {
            Number(f64),
            Text(String),
        }
        match Raw::deserialize(d)? {
            Raw::Number(n) => T::parse_number(n).map(SingleValue),
            Raw::Text(text) => T::parse_text(&text).map(SingleValue),
        }
    }
}

impl<'de, T: Bound> Visitor<'de> for ValueRangeVisitor<T> {
    type Value = ValueRange<T>;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(T::EXPECTED)
    }
    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<ValueRange<T>, E> {
        T::parse_text(text).map(ValueRange::exactly)
    }
    fn visit_f64<E: serde::de::Error>(self, n: f64) -> Result<ValueRange<T>, E> {
        T::parse_number(n).map(ValueRange::exactly)
    }
    fn visit_i64<E: serde::de::Error>(self, n: i64) -> Result<ValueRange<T>, E> {
        T::parse_number(n as f64).map(ValueRange::exactly)
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<ValueRange<T>, A::Error> {
        let both = (
            seq.next_element::<SingleValue<T>>()?,
            seq.next_element::<SingleValue<T>>()?,
            seq.next_element::<SingleValue<T>>()?,
        );
        match both {
            (Some(SingleValue(low)), Some(SingleValue(high)), None) if low <= high => {
                Ok(ValueRange { low, high })
            }
            _ => Err(A::Error::custom("an array of two is wanted, the least first")),
        }
    }
}

impl<'de, T: Bound> Deserialize<'de> for ValueRange<T> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<ValueRange<T>, D::Error> {
        d.deserialize_any(ValueRangeVisitor(std::marker::PhantomData))
    }
}

fn millis(ms: i64) -> Time {
    Time(Micros(ms * 1_000))
}

fn millis_range(low: i64, high: i64) -> ValueRange<Time> {
    ValueRange { low: millis(low), high: millis(high) }
}

/// The description of an emulated system: its nodes, balancers, clients and faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// The version of this file format: 1.
    pub version: u32,
    /// The name under which results list the world.
    #[serde(default)]
    pub name: String,
    /// How long clients send new requests, from the start of the run; above 0, and 24 h at the most.
    pub lasts: Time,
    /// Requests that start before this time are left out of the results; shorter than `lasts`.
    #[serde(default)]
    pub warm_up: Time,
    /// The names of the zones, 1 to 64; nodes and balancers are spread over them evenly.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// The delays of messages.
    #[serde(default)]
    pub network: Network,
    /// The tiers, one at the least; the first is the one that clients call.
    pub tiers: Vec<Tier>,
    /// The classes of requests, one at the least.
    pub classes: Vec<Class>,
    /// The tenants on whose behalf requests are made; may be empty.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// The clients that send the requests.
    pub clients: Clients,
    /// The abilities of the balancers and the resolution of their clocks.
    #[serde(default)]
    pub balancers: Balancers,
    /// The faults of the run.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The links over which balancers of the first tier share their verdicts on nodes. Default: they share
    /// nothing.
    #[serde(default)]
    pub fleet: Option<FleetLink>,
}

fn one_zone() -> Vec<String> {
    vec!["a".into()]
}

/// The one-way delays of messages.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// The delay within a zone.
    pub within: ValueRange<Time>,
    /// The delay between two zones.
    pub between: ValueRange<Time>,
}

impl Default for Network {
    fn default() -> Self {
        let micros = |low, high| ValueRange { low: Time(Micros(low)), high: Time(Micros(high)) };
        Network { within: micros(100, 200), between: micros(400, 700) }
    }
}

/// A tier of nodes and the balancers in front of it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// The name by which faults refer to the tier.
    pub name: String,
    /// The number of nodes, 1 to 100,000.
    pub nodes: usize,
    /// The number of balancers in front of the first tier, 1 to 10,000. A later tier has one balancer for
    /// each node of the tier before it.
    #[serde(default = "one")]
    pub balancers: usize,
    /// The number of cores of a node; above 0.
    #[serde(default = "two_cores")]
    pub cores: ValueRange<f64>,
    /// The speed of a core, above 0; at speed 1 a core does one second of work in a second.
    #[serde(default = "speed")]
    pub speed: ValueRange<f64>,
    /// The requests that a node processes at a time, including those that wait for the next tier; 1 at the
    /// least.
    #[serde(default = "slots")]
    pub slots: usize,
    /// The requests that may wait for a slot; beyond this number the node rejects a request without running
    /// it.
    #[serde(default = "queue")]
    pub queue: usize,
    /// The number of nodes in a cell; the nodes of a cell drop repeats of a key that any of them has seen. 1
    /// at the least.
    #[serde(default = "cell")]
    pub cell: usize,
    /// The open connections that a node accepts; beyond this number it refuses a new one. 1 at the least.
    #[serde(default = "connections")]
    pub connections: usize,
    /// The work that a new connection costs the node.
    #[serde(default = "handshake")]
    pub handshake: Time,
    /// The time after which an idle connection is closed.
    #[serde(default = "idle")]
    pub idle: Time,
    /// Whether a cancelled request is stopped; otherwise it runs to its end, and its work is wasted.
    #[serde(default = "yes")]
    pub cancel_stops: bool,
    /// The probability that a request ends in an error, 0 to 1.
    #[serde(default)]
    pub errors: f64,
    /// The conditions under which an overloaded node becomes slow. Default: a node never does.
    #[serde(default)]
    pub thrash: Option<ThrashSettings>,
    /// The part of its full capacity that a node has right after its start, 0.01 to 1.
    #[serde(default = "cold_share")]
    pub cold_share: f64,
    /// The time after its start at which a node has its full capacity.
    #[serde(default = "warm_after")]
    pub warm_after: Time,
    /// A cold node crashes when, over `tip_window`, it is sent more than this many times the work that it can
    /// do.
    #[serde(default = "tip_factor")]
    pub tip_factor: f64,
    /// The time over which the work sent to a cold node is counted.
    #[serde(default = "tip_window")]
    pub tip_window: Time,
    /// The pauses of a node: their mean interval and their length. Default: a node has no pauses.
    #[serde(default)]
    pub pauses: Option<Pauses>,
    /// How the list of the tier's nodes reaches the balancers.
    #[serde(default)]
    pub list: NodeListSettings,
    /// The load reports that nodes add to their answers. Default: answers carry none.
    #[serde(default)]
    pub reports: Option<LoadReportSettings>,
}

fn one() -> usize {
    1
}
fn two_cores() -> ValueRange<f64> {
    ValueRange::exactly(2.0)
}
fn speed() -> ValueRange<f64> {
    ValueRange { low: 0.8, high: 1.25 }
}
fn slots() -> usize {
    32
}
fn queue() -> usize {
    64
}
fn cell() -> usize {
    4
}
fn connections() -> usize {
    1_000
}
fn handshake() -> Time {
    Time(Micros(500))
}
fn idle() -> Time {
    millis(60_000)
}
fn yes() -> bool {
    true
}
fn cold_share() -> f64 {
    0.3
}
fn warm_after() -> Time {
    millis(8_000)
}
fn tip_factor() -> f64 {
    3.0
}
fn tip_window() -> Time {
    millis(2_000)
}

/// The conditions under which an overloaded node becomes slow, and recovers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ThrashSettings {
    /// The number of running requests for each core above which a node counts as overloaded; above 0.
    pub above: f64,
    /// How long a node has to be overloaded before it becomes slow.
    pub after: Time,
    /// The divisor of a slow node's speed; 1 or more.
    pub factor: ValueRange<f64>,
    /// A slow node recovers once it has had no more running requests than cores for this long.
    pub calm: Time,
}

/// The pauses of a node, such as those of a garbage collector.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pauses {
    /// The mean time from the end of a pause to the start of the next one; exponentially distributed.
    pub every: Time,
    /// The length of a pause.
    pub last: ValueRange<Time>,
}

/// How the list of a tier's nodes reaches the balancers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeListSettings {
    /// The time from a change of a node until a balancer receives it, drawn for each balancer.
    pub delay: ValueRange<Time>,
}

impl Default for NodeListSettings {
    fn default() -> Self {
        NodeListSettings { delay: millis_range(200, 1_000) }
    }
}

/// The load reports in answers, which give the number of requests in flight at a node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadReportSettings {
    /// The interval at which a node measures its load.
    pub every: Time,
    /// The delay of the reports; it is added to the interval between two measurements.
    pub delay: Time,
    /// The largest relative error of a report, in either direction.
    pub noise: f64,
}

impl Default for LoadReportSettings {
    fn default() -> Self {
        LoadReportSettings { every: millis(1_000), delay: millis(0), noise: 0.0 }
    }
}

/// The effect of repeating a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// A repeat has no further effect.
    Safe,
    /// The nodes of the cell that has seen the request's key drop the repeat.
    Keyed,
    /// The request must not run twice.
    Never,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name under which results list the class.
    pub name: String,
    /// The class's share of all requests, from 0; only the ratios between classes matter.
    #[serde(default = "whole")]
    pub share: f64,
    /// The effect of repeating a request of this class.
    #[serde(default = "safe")]
    pub repeat: Repeat,
    /// How long the nodes of a cell drop repeats of a key.
    #[serde(default = "window")]
    pub window: Time,
    /// An answer within this time earns the full worth; above 0.
    pub aim: Time,
    /// The time that clients allow for a request, all tries together; not shorter than `aim`.
    pub deadline: Time,
    /// The worth of one request; above 0.
    #[serde(default = "whole")]
    pub worth: f64,
    /// The part of the worth that an answer later than the aim earns, 0 to 1.
    #[serde(default)]
    pub late_worth: f64,
    /// The mean work of a request in each tier, from the first tier on; later tiers use the last value.
    pub work: Vec<Time>,
    /// The distribution of the work.
    #[serde(default)]
    pub shape: WorkDistribution,
    /// The mean number of calls that a request makes to the next tier, one after another; 0 to 100.
    #[serde(default)]
    pub calls: f64,
    /// Whether clients send a cost hint that gives the work of their request.
    #[serde(default)]
    pub hints: bool,
}

fn whole() -> f64 {
    1.0
}
fn safe() -> Repeat {
    Repeat::Safe
}
fn window() -> Time {
    millis(10_000)
}

/// A tenant on whose behalf requests are made.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The name under which results list the tenant.
    pub name: String,
    /// The tenant's share of all requests; only the ratios between tenants matter.
    #[serde(default = "whole")]
    pub share: f64,
    /// The requests a second that the tenant's quota covers. Default: no bound.
    #[serde(default)]
    pub quota: Option<f64>,
}

/// The clients that send the requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// The mean number of first tries a second; above 0, and 10 million at the most.
    pub rate: f64,
    /// The distribution of the arrivals over time.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// The part of the class's deadline after which a client gives up a try.
    #[serde(default = "patience")]
    pub patience: ValueRange<f64>,
    /// Whether and when clients retry.
    #[serde(default)]
    pub retries: Retries,
}

fn patience() -> ValueRange<f64> {
    ValueRange { low: 0.8, high: 1.0 }
}

/// The distribution of the arrivals of clients over time.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase", tag = "kind")]
pub enum Arrivals {
    /// Clients arrive independently of each other, at a constant rate.
    #[default]
    Poisson,
    /// Clients arrive independently of each other, at a rate that follows a sine.
    Wave {
        /// The time from one maximum of the rate to the next; above 0.
        period: Time,
        /// The amplitude, as a part of the mean rate; 0 to 1.
        swing: f64,
    },
    /// Clients arrive in bursts: the rate alternates between two states, each of which lasts an exponentially
    /// distributed time.
    Bursty {
        /// The rate in a burst, as a multiple of the mean rate; 1 or more.
        factor: f64,
        /// The part of the time that bursts take, 0 to 1; its product with `factor` is less than 1.
        share: f64,
        /// The mean length of a burst; above 0.
        last: Time,
    },
    /// Clients arrive at recorded times; the recording is repeated until the end of the run.
    Trace {
        /// The times of arrival from the start, in order; one at the least.
        at: Vec<Time>,
    },
}

/// Whether and when clients retry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// The most retries of one request; 0: clients do not retry.
    pub most: u32,
    /// The wait before the first retry. It doubles with each retry; the wait used is drawn between half of it
    /// and all of it.
    pub wait: Time,
    /// Whether a client adds the time that a refusal names to its wait.
    pub heed_retry_after: bool,
    /// Whether a client also retries after it gave up a try.
    pub after_timeout: bool,
}

impl Default for Retries {
    fn default() -> Self {
        Retries { most: 0, wait: millis(200), heed_retry_after: true, after_timeout: true }
    }
}

/// The abilities of the balancers and the resolution of their clocks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Balancers {
    /// Balancers process their input once per this interval; "0s": at once.
    pub resolution: Time,
    /// The most attempts that a balancer makes for one request.
    pub attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub parallel: bool,
    /// Whether a balancer may cancel attempts.
    pub cancel: bool,
    /// The longest wait that a refusal asks the client for; "0s": refusals name no time.
    pub retry_after_max: Time,
    /// The time-out for opening a connection.
    pub connect: Time,
}

impl Default for Balancers {
    fn default() -> Self {
        Balancers {
            resolution: millis(0),
            attempts: 3,
            parallel: true,
            cancel: true,
            retry_after_max: millis(2_000),
            connect: millis(250),
        }
    }
}

/// The links between the balancers of the first tier. They have the delays of the network, and a partition
/// cuts them, too.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetLink {
    /// The interval at which each balancer asks some of its peers for updates.
    pub ask_every: Time,
    /// The age at which shared information expires.
    pub max_age: Time,
    /// The part of all datagrams that is lost, 0 to 1.
    pub loss: f64,
    /// The part of all links that is cut, 0 to 1; the two directions between a pair count as two links.
    pub cut: f64,
}

impl Default for FleetLink {
    fn default() -> Self {
        FleetLink { ask_every: millis(200), max_age: millis(20_000), loss: 0.0, cut: 0.0 }
    }
}

/// A fault: what fails, when, and for how long.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault begins, from the start of the run.
    pub at: ValueRange<Time>,
    /// How long the fault lasts.
    #[serde(rename = "for")]
    pub lasts: ValueRange<Time>,
    /// The name of the tier that the fault affects. Default: the first.
    #[serde(default)]
    pub tier: Option<String>,
    /// The part of the tier's nodes (or balancers) that the fault affects, 0 to 1; one at the least.
    #[serde(default = "some_nodes")]
    pub share: ValueRange<f64>,
    /// The kind of the fault.
    pub what: FaultKind,
}

fn some_nodes() -> ValueRange<f64> {
    ValueRange::exactly(0.1)
}

/// The kind of a fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nodes are slower by this factor; 1 or more.
    Slow(ValueRange<f64>),
    /// Nodes accept requests and answer none.
    Hang,
    /// Nodes answer this part of their requests, 0 to 1, with an error at once.
    FastErrors(ValueRange<f64>),
    /// Nodes end this part of their requests, 0 to 1, in an error after doing the work.
    Spoilt(ValueRange<f64>),
    /// Load reports of all nodes are delayed by this much more.
    LateReports(ValueRange<Time>),
    /// The arrival rate of clients is multiplied by this; 1 or more.
    Burst(ValueRange<f64>),
    /// Nodes disappear without closing their connections, and start again at the end, cold.
    Vanish,
    /// Nodes drain for a second, stop, and start again at the end, cold.
    Restart,
    /// Processes of the first tier's balancers, `share` of them, are killed, and start anew at the end with
    /// the node list as their only state. Clients whose connections end this way see a failure; new clients
    /// go to another balancer.
    KillBalancers,
    /// Processes of the first tier's balancers, `share` of them, are stopped, and continue at the end.
    StopBalancers,
    /// The network drops all messages between one zone and the others.
    Partition,
    /// Changes of the node list are withheld from the balancers until the end.
    StaleList,
    /// The node list marks nodes as removed, though they serve.
    LyingList,
}

/// The reason why a world can't be used.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// The text is not TOML, or does not have the fields of a world.
    #[error("{0}")]
    Read(String),
    /// A value is out of its bounds.
    #[error("{key}: {what}")]
    Value {
        /// The key of the value, such as `tiers[0].nodes`.
        key: String,
        /// What is wrong with the value, or which values are allowed.
        what: String,
    },
}

impl FaultKind {
    /// Whether the fault affects balancers rather than nodes.
    pub fn targets_balancers(&self) -> bool {
        matches!(self, FaultKind::KillBalancers | FaultKind::StopBalancers)
    }
}

impl World {
    /// Parses and checks the description of a world.
    pub fn parse(text: &str) -> Result<World, WorldError> {
        let world: World = toml::from_str(text).map_err(|e| WorldError::Read(e.to_string()))?;
        world.check()?;
        Ok(world)
    }

    fn check(&self) -> Result<(), WorldError> {
        let wrong = |key: &str, what: &str| Err(WorldError::Value { key: key.into(), what: what.into() });
        if self.version != 1 {
            return wrong("version", "this program reads 1");
        }
        if self.lasts.0 <= Micros(0) || self.lasts.0 > Micros(24 * 3_600_000_000) {
            return wrong("lasts", "must be above 0, and 24h at the most");
        }
        if self.warm_up >= self.lasts {
            return wrong("warm_up", "must be shorter than lasts");
        }
        if self.zones.is_empty() || self.zones.len() > 64 {
            return wrong("zones", "name 1 to 64");
        }
        if self.tiers.is_empty() || self.classes.is_empty() {
            return wrong("tiers, classes", "name one of each at the least");
        }
        for (i, tier) in self.tiers.iter().enumerate() {
            let key = |name: &str| format!("tiers[{i}].{name}");
            if tier.nodes == 0 || tier.nodes > 100_000 {
                return wrong(&key("nodes"), "1 to 100000");
            }
            if tier.balancers == 0 || tier.balancers > 10_000 {
                return wrong(&key("balancers"), "1 to 10000");
            }
            if tier.slots == 0 || tier.cell == 0 || tier.connections == 0 {
                return wrong(&key("slots, cell, connections"), "1 at the least");
            }
            if !(tier.cores.low > 0.0 && tier.speed.low > 0.0) {
                return wrong(&key("cores, speed"), "must be above 0");
            }
            if !(0.0..=1.0).contains(&tier.errors) || !(0.01..=1.0).contains(&tier.cold_share) {
                return wrong(&key("errors, cold_share"), "errors 0 to 1, cold_share 0.01 to 1");
            }
            if tier.thrash.as_ref().is_some_and(|t| t.above <= 0.0 || t.factor.low < 1.0) {
                return wrong(&key("thrash"), "above must be above 0, and factor 1 or more");
            }
        }
        for (i, class) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("classes[{i}].{name}");
            if class.work.is_empty() || class.work.iter().any(|w| w.0 <= Micros(0)) {
                return wrong(&key("work"), "a time above 0 for the first tier at the least");
            }
            if class.aim.0 <= Micros(0) || class.deadline < class.aim {
                return wrong(&key("deadline"), "must not be shorter than aim, which must be above 0");
            }
            if !(class.share >= 0.0
                && class.worth > 0.0
                && (0.0..=1.0).contains(&class.late_worth)
                && (0.0..=100.0).contains(&class.calls))
            {
                return wrong(
                    &key("share, worth, late_worth, calls"),
                    "share from 0, worth above 0, late_worth 0 to 1, calls 0 to 100",
                );
            }
        }
        if !self.classes.iter().any(|c| c.share > 0.0) {
            return wrong("classes", "one share at the least must be above 0");
        }
        if !(self.clients.rate > 0.0 && self.clients.rate <= 1e7) {
            return wrong("clients.rate", "must be above 0, and 10 million at the most");
        }
        match &self.clients.arrivals {
            Arrivals::Wave { swing, period } if !(0.0..=1.0).contains(swing) || period.0 <= Micros(0) => {
                wrong("clients.arrivals", "swing 0 to 1, period above 0")
            }
            Arrivals::Bursty { factor, share, last }
                if !(*factor >= 1.0 && (0.0..1.0).contains(share) && factor * share < 1.0)
                    || last.0 <= Micros(0) =>
            {
                wrong(
                    "clients.arrivals",
                    "factor 1 or more, share 0 to 1, factor times share below 1, last above 0",
                )
            }
            Arrivals::Trace { at } if at.is_empty() || at.windows(2).any(|w| w[1] < w[0]) => {
                wrong("clients.arrivals.at", "times in order, one at the least")
            }
            _ => self.check_faults(),
        }
    }

    fn check_faults(&self) -> Result<(), WorldError> {
        for (i, fault) in self.faults.iter().enumerate() {
            let wrong = |what: String| Err(WorldError::Value { key: format!("faults[{i}]"), what });
            if let Some(tier) = fault.tier.as_ref().filter(|t| !self.tiers.iter().any(|x| x.name == **t)) {
                let names: Vec<&str> = self.tiers.iter().map(|t| t.name.as_str()).collect();
                return wrong(format!("no tier is called {tier:?}; there are {}", names.join(", ")));
            }
            if !(0.0..=1.0).contains(&fault.share.low) || fault.share.high > 1.0 {
                return wrong("share must be 0 to 1".into());
            }
            if fault.what.targets_balancers() && self.tier_index(fault) != 0 {
                return wrong("tier: only balancers of the first tier die or stand still".into());
            }
            let out_of_range = match &fault.what {
                FaultKind::Slow(b) | FaultKind::Burst(b) => b.low < 1.0,
                FaultKind::FastErrors(b) | FaultKind::Spoilt(b) => b.low < 0.0 || b.high > 1.0,
                _ => false,
            };
            if out_of_range {
                return wrong("a factor must be 1 or more, a part 0 to 1".into());
            }
        }
        Ok(())
    }

    /// The index of the tier that a fault affects.
    pub fn tier_index(&self, fault: &Fault) -> usize {
        let named = fault.tier.as_ref().and_then(|t| self.tiers.iter().position(|x| x.name == *t));
        named.unwrap_or(0)
    }

    /// The mean work of a request of a class in a tier, in microseconds.
    pub fn mean_work(&self, class: usize, tier: usize) -> f64 {
        let work = &self.classes[class].work;
        work.get(tier).or(work.last()).map_or(0.0, |t| t.0 .0 as f64)
    }
}
