//! The description of a world, in TOML. `docs/worlds.md` tells every key.

use crate::draw::{Shape, Stream};
use garnettally_model::Micros;
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;

/// A length of time, written as "250ms" or "2s".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub Micros);

fn read_time<E: serde::de::Error>(text: &str) -> Result<Time, E> {
    let time = humantime::parse_duration(text).map_err(|e| {
        E::custom(format!("{text:?} is no time ({e}): write a number and a unit, such as \"250ms\""))
    })?;
    Ok(Time(Micros(i64::try_from(time.as_micros()).unwrap_or(i64::MAX / 4).min(i64::MAX / 4))))
}

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Time, D::Error> {
        read_time(&String::deserialize(d)?)
    }
}

/// Something between two bounds, drawn for each node, zone or fault; written as one value, or as two.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Between<T> {
    /// The least.
    pub low: T,
    /// The most.
    pub high: T,
}

impl<T: Copy> Between<T> {
    /// Always this.
    pub fn just(value: T) -> Between<T> {
        Between { low: value, high: value }
    }
}

impl Between<f64> {
    /// A draw, uniform between the bounds.
    pub fn draw(&self, s: &mut Stream) -> f64 {
        self.low + (self.high - self.low) * s.unit()
    }
}

impl Between<Time> {
    /// A draw, uniform between the bounds.
    pub fn draw(&self, s: &mut Stream) -> Micros {
        let (low, high) = (self.low.0 .0, self.high.0 .0);
        Micros(low + ((high - low) as f64 * s.unit()) as i64)
    }
}

struct BetweenVisitor<T>(std::marker::PhantomData<T>);

trait Bound: Sized + Copy + PartialOrd {
    const WHAT: &'static str;
    fn text<E: serde::de::Error>(text: &str) -> Result<Self, E>;
    fn number<E: serde::de::Error>(n: f64) -> Result<Self, E>;
}

impl Bound for f64 {
    const WHAT: &'static str = "a number, or an array of the least and the most";
    fn text<E: serde::de::Error>(text: &str) -> Result<f64, E> {
        Err(E::custom(format!("{text:?} is no number")))
    }
    fn number<E: serde::de::Error>(n: f64) -> Result<f64, E> {
        Ok(n)
    }
}

impl Bound for Time {
    const WHAT: &'static str = "a time such as \"250ms\", or an array of the least and the most";
    fn text<E: serde::de::Error>(text: &str) -> Result<Time, E> {
        read_time(text)
    }
    fn number<E: serde::de::Error>(n: f64) -> Result<Time, E> {
        Err(E::custom(format!("{n} has no unit: write a time such as \"250ms\"")))
    }
}

struct One<T>(T);

impl<'de, T: Bound> Deserialize<'de> for One<T> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<One<T>, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Raw {
            Number(f64),
            Text(String),
        }
        match Raw::deserialize(d)? {
            Raw::Number(n) => T::number(n).map(One),
            Raw::Text(text) => T::text(&text).map(One),
        }
    }
}

impl<'de, T: Bound> Visitor<'de> for BetweenVisitor<T> {
    type Value = Between<T>;
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(T::WHAT)
    }
    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Between<T>, E> {
        T::text(text).map(Between::just)
    }
    fn visit_f64<E: serde::de::Error>(self, n: f64) -> Result<Between<T>, E> {
        T::number(n).map(Between::just)
    }
    fn visit_i64<E: serde::de::Error>(self, n: i64) -> Result<Between<T>, E> {
        T::number(n as f64).map(Between::just)
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Between<T>, A::Error> {
        let both =
            (seq.next_element::<One<T>>()?, seq.next_element::<One<T>>()?, seq.next_element::<One<T>>()?);
        match both {
            (Some(One(low)), Some(One(high)), None) if low <= high => Ok(Between { low, high }),
            _ => Err(A::Error::custom("an array of two is wanted, the least first")),
        }
    }
}

impl<'de, T: Bound> Deserialize<'de> for Between<T> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Between<T>, D::Error> {
        d.deserialize_any(BetweenVisitor(std::marker::PhantomData))
    }
}

fn time(ms: i64) -> Time {
    Time(Micros(ms * 1_000))
}

fn times(low: i64, high: i64) -> Between<Time> {
    Between { low: time(low), high: time(high) }
}

/// A world.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// The version of this format: 1.
    pub version: u32,
    /// Its name, in results.
    #[serde(default)]
    pub name: String,
    /// For how long clients ask.
    pub lasts: Time,
    /// What is asked before this counts for nothing.
    #[serde(default)]
    pub warm_up: Time,
    /// The zones; nodes and balancers are spread over them evenly.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// How long messages take.
    #[serde(default)]
    pub network: Network,
    /// The tiers, the one that clients reach first.
    pub tiers: Vec<Tier>,
    /// Kinds of requests.
    pub classes: Vec<Class>,
    /// Who requests are for.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Those who ask.
    pub clients: Clients,
    /// What balancers may do, and how finely they see time.
    #[serde(default)]
    pub balancers: Balancers,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The balancers of the first tier share what they find out. Default: they share nothing.
    #[serde(default)]
    pub fleet: Option<FleetLink>,
}

fn one_zone() -> Vec<String> {
    vec!["a".into()]
}

/// How long messages take, one way.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Within a zone.
    pub within: Between<Time>,
    /// Between two zones.
    pub between: Between<Time>,
}

impl Default for Network {
    fn default() -> Self {
        let micros = |low, high| Between { low: Time(Micros(low)), high: Time(Micros(high)) };
        Network { within: micros(100, 200), between: micros(400, 700) }
    }
}

/// A tier of nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// Its nodes.
    pub nodes: usize,
    /// Balancers in front of the first tier. Those of later tiers are the nodes above: each has one of its own.
    #[serde(default = "one")]
    pub balancers: usize,
    /// Cores of a node.
    #[serde(default = "two_cores")]
    pub cores: Between<f64>,
    /// Speed of a core; 1 does a second of work in a second.
    #[serde(default = "speed")]
    pub speed: Between<f64>,
    /// Requests that a node holds at a time.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Requests that wait for a slot; past them requests are turned away unseen.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Nodes that drop repeats of one another's keys.
    #[serde(default = "cell")]
    pub cell: usize,
    /// Connections that a node keeps; past them a new one is refused.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Work that a new connection costs the node.
    #[serde(default = "handshake")]
    pub handshake: Time,
    /// Idle connections are closed after this.
    #[serde(default = "idle")]
    pub idle: Time,
    /// Whether a request that was called off is stopped; else it runs on, and its work is wasted.
    #[serde(default = "yes")]
    pub cancel_stops: bool,
    /// Chance of an error of a request.
    #[serde(default)]
    pub errors: f64,
    /// When a crowd turns a node slow. Default: never.
    #[serde(default)]
    pub thrash: Option<ThrashText>,
    /// A node that has started can do this part of its work.
    #[serde(default = "cold_share")]
    pub cold_share: f64,
    /// And all of it after this.
    #[serde(default = "warm_after")]
    pub warm_after: Time,
    /// A cold node that gets this many times what it can do, over `tip_window`, falls over.
    #[serde(default = "tip_factor")]
    pub tip_factor: f64,
    /// The time over which that is counted.
    #[serde(default = "tip_window")]
    pub tip_window: Time,
    /// Pauses of a node: how often on average, and how long. Default: none.
    #[serde(default)]
    pub pauses: Option<Pauses>,
    /// The node list.
    #[serde(default)]
    pub list: List,
    /// Load reports in answers. Default: none.
    #[serde(default)]
    pub reports: Option<Reports>,
}

fn one() -> usize {
    1
}
fn two_cores() -> Between<f64> {
    Between::just(2.0)
}
fn speed() -> Between<f64> {
    Between { low: 0.8, high: 1.25 }
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
    time(60_000)
}
fn yes() -> bool {
    true
}
fn cold_share() -> f64 {
    0.3
}
fn warm_after() -> Time {
    time(8_000)
}
fn tip_factor() -> f64 {
    3.0
}
fn tip_window() -> Time {
    time(2_000)
}

/// When a crowd turns a node slow.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ThrashText {
    /// Running requests for each core.
    pub above: f64,
    /// For this long.
    pub after: Time,
    /// The speed is divided by this.
    pub factor: Between<f64>,
    /// It ends once no more run than there are cores for this long.
    pub calm: Time,
}

/// Pauses of a node, as of a garbage collector.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pauses {
    /// The mean time between two.
    pub every: Time,
    /// How long one is.
    pub last: Between<Time>,
}

/// The node list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// How long after a node has changed a balancer is told.
    pub delay: Between<Time>,
}

impl Default for List {
    fn default() -> Self {
        List { delay: times(200, 1_000) }
    }
}

/// Load reports in answers: the requests that a node holds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    /// They are taken anew this often.
    pub every: Time,
    /// And told this much later.
    pub delay: Time,
    /// Wrong by up to this part, either way.
    pub noise: f64,
}

impl Default for Reports {
    fn default() -> Self {
        Reports { every: time(1_000), delay: time(0), noise: 0.0 }
    }
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Nothing.
    Safe,
    /// The nodes of its cell drop it.
    Keyed,
    /// It must not run twice.
    Never,
}

/// A kind of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of what is asked; only ratios count.
    #[serde(default = "whole")]
    pub share: f64,
    /// What a repeat does.
    #[serde(default = "safe")]
    pub repeat: Repeat,
    /// How long nodes drop repeats of a key.
    #[serde(default = "window")]
    pub window: Time,
    /// Answers within this earn full worth.
    pub aim: Time,
    /// Clients give up after this.
    pub deadline: Time,
    /// Worth of one request.
    #[serde(default = "whole")]
    pub worth: f64,
    /// Part of the worth that an answer past the aim earns.
    #[serde(default)]
    pub late_worth: f64,
    /// Mean work in each tier, the first one first; the last is repeated for those that follow.
    pub work: Vec<Time>,
    /// How work is spread.
    #[serde(default)]
    pub shape: Shape,
    /// Mean number of calls that a request makes to the next tier, one after another.
    #[serde(default)]
    pub calls: f64,
    /// Clients tell the work beforehand.
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
    time(10_000)
}

/// Who requests are for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its part of what is asked; only ratios count.
    #[serde(default = "whole")]
    pub share: f64,
    /// Requests a second that are within its share. Default: no bound.
    #[serde(default)]
    pub quota: Option<f64>,
}

/// Those who ask.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First tries a second, on average.
    pub rate: f64,
    /// How they arrive.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// A client gives up after this part of the class's deadline.
    #[serde(default = "patience")]
    pub patience: Between<f64>,
    /// Whether and how they try again.
    #[serde(default)]
    pub retries: Retries,
}

fn patience() -> Between<f64> {
    Between { low: 0.8, high: 1.0 }
}

/// How clients arrive.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase", tag = "kind")]
pub enum Arrivals {
    /// Independently.
    #[default]
    Poisson,
    /// Independently, at a rate that goes up and down.
    Wave {
        /// From one crest to the next.
        period: Time,
        /// By this part of the rate, 0 to 1.
        swing: f64,
    },
    /// In bursts: two states, each with an exponential time.
    Bursty {
        /// The rate in a burst, as a multiple of the mean.
        factor: f64,
        /// The part of the time that is bursts, 0 to 1; with `factor` less than 1 in all.
        share: f64,
        /// The mean length of a burst.
        last: Time,
    },
    /// As recorded: times from the start, in order; they are repeated until the end.
    Trace {
        /// The times.
        at: Vec<Time>,
    },
}

/// How clients try again.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// At most so often.
    pub most: u32,
    /// After this at first; doubled each time, and drawn between half of it and all of it.
    pub wait: Time,
    /// Not before the time that a refusal tells.
    pub heed_retry_after: bool,
    /// Also after they gave up waiting.
    pub after_timeout: bool,
}

impl Default for Retries {
    fn default() -> Self {
        Retries { most: 0, wait: time(200), heed_retry_after: true, after_timeout: true }
    }
}

/// What balancers may do, and how finely they see time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Balancers {
    /// They hear of what came in once in this time; "0s": at once.
    pub resolution: Time,
    /// The most attempts of one request.
    pub attempts: u32,
    /// Two attempts of one request may be out together.
    pub parallel: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Refusals tell when to return, at the most after this; "0s": they tell nothing.
    pub retry_after_max: Time,
    /// Opening a connection may take so long.
    pub connect: Time,
}

impl Default for Balancers {
    fn default() -> Self {
        Balancers {
            resolution: time(0),
            attempts: 3,
            parallel: true,
            cancel: true,
            retry_after_max: time(2_000),
            connect: time(250),
        }
    }
}

/// The links among the balancers of the first tier. They take the times of the network, and a partition cuts them, too.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetLink {
    /// Each asks some peers for news this often.
    pub ask_every: Time,
    /// News is void when it is so old.
    pub max_age: Time,
    /// This part of all datagrams is lost.
    pub loss: f64,
    /// This part of all links, one direction each, is cut.
    pub cut: f64,
}

impl Default for FleetLink {
    fn default() -> Self {
        FleetLink { ask_every: time(200), max_age: time(20_000), loss: 0.0, cut: 0.0 }
    }
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, from the start.
    pub at: Between<Time>,
    /// For how long.
    #[serde(rename = "for")]
    pub lasts: Between<Time>,
    /// The tier. Default: the first.
    #[serde(default)]
    pub tier: Option<String>,
    /// The part of its nodes that it befalls, one at the least.
    #[serde(default = "some_nodes")]
    pub share: Between<f64>,
    /// What happens.
    pub what: What,
}

fn some_nodes() -> Between<f64> {
    Between::just(0.1)
}

/// What goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Nodes are slower by this factor.
    Slow(Between<f64>),
    /// Nodes take requests and answer none.
    Hang,
    /// Nodes fail this part of their requests, at once.
    FastErrors(Between<f64>),
    /// Answers of nodes are spoilt, in this part of them.
    Spoilt(Between<f64>),
    /// Load reports come later by this.
    LateReports(Between<Time>),
    /// Clients ask this many times as often.
    Burst(Between<f64>),
    /// Nodes are gone without a word, and back afterwards, cold.
    Vanish,
    /// Nodes drain for a second, stop, and start again at the end, cold.
    Restart,
    /// Processes of the first tier's balancers die, `share` of them, and start anew at the end: they know the list and
    /// nothing else. Clients whose connections end so see a failure; new ones go to another balancer.
    KillBalancers,
    /// Processes of the first tier's balancers stand still, `share` of them, and go on at the end.
    StopBalancers,
    /// One zone is cut off from the others.
    Partition,
    /// The node list tells nothing.
    StaleList,
    /// The node list calls the nodes gone, though they serve.
    LyingList,
}

/// Why a world can't be used.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// It can't be read.
    #[error("{0}")]
    Read(String),
    /// A value makes no sense.
    #[error("{key}: {what}")]
    Value {
        /// The key.
        key: String,
        /// What is wrong, and what to do.
        what: String,
    },
}

impl What {
    /// Whether it befalls balancers.
    pub fn of_balancers(&self) -> bool {
        matches!(self, What::KillBalancers | What::StopBalancers)
    }
}

impl World {
    /// Reads and checks a description.
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
        for (i, t) in self.tiers.iter().enumerate() {
            let key = |name: &str| format!("tiers[{i}].{name}");
            if t.nodes == 0 || t.nodes > 100_000 {
                return wrong(&key("nodes"), "1 to 100000");
            }
            if t.balancers == 0 || t.balancers > 10_000 {
                return wrong(&key("balancers"), "1 to 10000");
            }
            if t.slots == 0 || t.cell == 0 || t.connections == 0 {
                return wrong(&key("slots, cell, connections"), "1 at the least");
            }
            if !(t.cores.low > 0.0 && t.speed.low > 0.0) {
                return wrong(&key("cores, speed"), "must be above 0");
            }
            if !(0.0..=1.0).contains(&t.errors) || !(0.01..=1.0).contains(&t.cold_share) {
                return wrong(&key("errors, cold_share"), "errors 0 to 1, cold_share 0.01 to 1");
            }
            if t.thrash.as_ref().is_some_and(|t| t.above <= 0.0 || t.factor.low < 1.0) {
                return wrong(&key("thrash"), "above must be above 0, and factor 1 or more");
            }
        }
        for (i, c) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("classes[{i}].{name}");
            if c.work.is_empty() || c.work.iter().any(|w| w.0 <= Micros(0)) {
                return wrong(&key("work"), "a time above 0 for the first tier at the least");
            }
            if c.aim.0 <= Micros(0) || c.deadline < c.aim {
                return wrong(&key("deadline"), "must not be shorter than aim, which must be above 0");
            }
            if !(c.share >= 0.0
                && c.worth > 0.0
                && (0.0..=1.0).contains(&c.late_worth)
                && (0.0..=100.0).contains(&c.calls))
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
        for (i, f) in self.faults.iter().enumerate() {
            let wrong = |what: String| Err(WorldError::Value { key: format!("faults[{i}]"), what });
            if let Some(tier) = f.tier.as_ref().filter(|t| !self.tiers.iter().any(|x| x.name == **t)) {
                let names: Vec<&str> = self.tiers.iter().map(|t| t.name.as_str()).collect();
                return wrong(format!("no tier is called {tier:?}; there are {}", names.join(", ")));
            }
            if !(0.0..=1.0).contains(&f.share.low) || f.share.high > 1.0 {
                return wrong("share must be 0 to 1".into());
            }
            if f.what.of_balancers() && self.tier_of(f) != 0 {
                return wrong("tier: only balancers of the first tier die or stand still".into());
            }
            let bad = match &f.what {
                What::Slow(b) | What::Burst(b) => b.low < 1.0,
                What::FastErrors(b) | What::Spoilt(b) => b.low < 0.0 || b.high > 1.0,
                _ => false,
            };
            if bad {
                return wrong("a factor must be 1 or more, a part 0 to 1".into());
            }
        }
        Ok(())
    }

    /// The place of a fault's tier.
    pub fn tier_of(&self, fault: &Fault) -> usize {
        let named = fault.tier.as_ref().and_then(|t| self.tiers.iter().position(|x| x.name == *t));
        named.unwrap_or(0)
    }

    /// Mean work of a class in a tier, in microseconds.
    pub fn work(&self, class: usize, tier: usize) -> f64 {
        let work = &self.classes[class].work;
        work.get(tier).or(work.last()).map_or(0.0, |t| t.0 .0 as f64)
    }
}
