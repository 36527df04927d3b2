//! The operator's file as it is written: these types are the format, and its JSON Schema comes from them.

use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;

/// The operator's file: listeners, classes, tenants, pools and routes of one process.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The version of this format: 1.
    pub version: u32,
    /// The name of this process, in logs. Default: "garnettally".
    #[serde(default)]
    pub name: Option<String>,
    /// 16 hex digits for random numbers. Default: the system's.
    #[serde(default)]
    pub seed: Option<String>,
    /// What is logged, and how.
    #[serde(default)]
    pub logging: Logging,
    /// What the process may use.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Where operators call. Default: nowhere.
    #[serde(default)]
    pub admin: Option<Admin>,
    /// The other balancers of the fleet. Default: nothing is shared with any.
    #[serde(default)]
    pub fleet: Option<Fleet>,
    /// Where clients connect, by name. One at the least.
    pub listeners: BTreeMap<String, Listener>,
    /// Kinds of requests, by name. One at the least.
    pub classes: BTreeMap<String, Class>,
    /// Who requests are for, by name.
    #[serde(default)]
    pub tenants: BTreeMap<String, Tenant>,
    /// Nodes that serve the same, by name. One at the least.
    pub pools: BTreeMap<String, Pool>,
    /// Which requests go where; the most specific one that matches wins. One at the least.
    pub routes: Vec<Route>,
}

/// A length of time: a number and a unit, such as "250ms", "2s", "1m 30s".
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Time(pub String);

impl JsonSchema for Time {
    fn inline_schema() -> bool {
        true
    }
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "Time".into()
    }
    fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
        schemars::json_schema!({ "type": "string", "title": "time" })
    }
}

/// What is logged, and how.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Logging {
    /// How lines are written. Default: "text".
    pub format: LogFormat,
    /// The least severe lines that are written. Default: "info".
    pub level: LogLevel,
    /// Which requests get a line. Default: "none".
    pub requests: LogRequests,
    /// Lines that may wait to be written; past them lines are dropped, counted, and the count is logged.
    /// Default: 1024. 16 to 1048576.
    pub queue: Option<usize>,
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The severity of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// What went wrong.
    Error,
    /// And what may.
    Warning,
    /// And what an operator follows.
    #[default]
    Info,
    /// And every attempt that failed.
    Debug,
}

/// Which requests get a line of their own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogRequests {
    /// None.
    #[default]
    None,
    /// Those that were not served.
    Failed,
    /// Every one.
    All,
}

/// What the process may use.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ProcessLimits {
    /// File descriptors. Default: 1024. 64 or more.
    pub descriptors: Option<usize>,
    /// Memory, in MiB; it bounds what unfinished messages may hold. Default: 192. 16 or more.
    pub memory_mb: Option<usize>,
    /// Requests in flight. Default: 4096. 1 or more.
    pub requests: Option<usize>,
    /// Keys of keyed requests whose windows are open, where a route has several pools; a keyed request beyond
    /// them is refused. Default: 65536. 1 or more.
    pub pins: Option<usize>,
}

/// Where operators call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Address and port; nobody but operators should reach it.
    pub address: String,
}

/// The other balancers of the fleet, and the link to them. Without this table nothing is shared with any.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Address and UDP port where this member takes datagrams.
    pub address: String,
    /// Where peers reach it, if that is another address. Default: `address`.
    #[serde(default)]
    pub advertise: Option<String>,
    /// Its name, which no other member has. Default: `name` of the file, which is then required.
    #[serde(default)]
    pub name: Option<String>,
    /// Its zone, as the nodes' zones are named. Default: "".
    #[serde(default)]
    pub zone: Option<String>,
    /// Addresses of members that let it in: two or three that are seldom down together. Default: none.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// File of keys, a line each: a number and 64 hex digits; the first seals, each opens. Default: none, and then
    /// only loopback addresses may be used.
    #[serde(default)]
    pub key_file: Option<String>,
    /// A member chosen by chance is probed this often. Default: "1s".
    #[serde(default)]
    pub probe_period: Option<Time>,
    /// A member that did not answer is taken to be dead after this. Default: "3s". No less than `probe_period`.
    #[serde(default)]
    pub suspicion: Option<Time>,
    /// A dead member is forgotten after this. Default: "10m". No less than twice `suspicion`.
    #[serde(default)]
    pub forget_after: Option<Time>,
    /// Some peers are asked for news this often. Default: "200ms".
    #[serde(default)]
    pub ask_every: Option<Time>,
    /// So many peers, beside one by chance. Default: 3. 1 to 16.
    #[serde(default)]
    pub ask_peers: Option<usize>,
    /// What peers said is void when it is so old. Default: "20s". No less than ten times `ask_every`.
    #[serde(default)]
    pub max_age: Option<Time>,
    /// Members that are known at the most. Default: 4096. 2 to 65536.
    #[serde(default)]
    pub members: Option<usize>,
    /// Pieces of news that are held at the most. Default: 8192. 64 to 1048576.
    #[serde(default)]
    pub facts: Option<usize>,
    /// The fleet is taken to have at least so many members. Default: 1. No more than `members`.
    #[serde(default)]
    pub size_floor: Option<usize>,
    /// Nor fewer than were alive at once within this. Default: "1m".
    #[serde(default)]
    pub size_hold: Option<Time>,
    /// KiB a second that are sent at the most. Default: 256. 8 to 65536.
    #[serde(default)]
    pub send_kb: Option<usize>,
    /// Datagrams a second that are looked at at the most. Default: 10000. 100 to 1000000.
    #[serde(default)]
    pub receive_datagrams: Option<usize>,
    /// Work that one member does on behalf of all. Default: there is none.
    #[serde(default)]
    pub duties: Option<Duties>,
}

/// Work that one member at a time does on behalf of the fleet, and who decides which.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// Names of the members that decide: 1, 3, 5 or 7, the same in all files, in the same order.
    pub voters: Vec<String>,
    /// Folder for what a voter has promised. Required where this member is one; on a disk of its own that is synced.
    #[serde(default)]
    pub folder: Option<String>,
    /// For how long a promise holds: a dead owner's work stands still for about so long. Default: "1s". 200 ms to 1 min.
    #[serde(default)]
    pub lease: Option<Time>,
    /// Names of duties whose work others do: they ask the admin address of a member whether it may. Default: none.
    #[serde(default)]
    pub names: Vec<String>,
    /// The duty "export": all members' figures, told to a sink. Default: there is none.
    #[serde(default)]
    pub export: Option<Export>,
}

/// The figures of all members, told to a sink over HTTP by whoever owns the duty.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Export {
    /// Address and port of the sink.
    pub address: String,
    /// The path of its POST. Default: "/".
    #[serde(default)]
    pub path: Option<String>,
    /// How often. Default: "10s". 100 ms or more.
    #[serde(default)]
    pub every: Option<Time>,
}

/// A part of a limit: what is its own, and the most that it may have.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Share {
    /// Units that nobody else may take. Default: 0.
    pub min: Option<usize>,
    /// The most it may have, its own included. Default: no bound but the process's.
    pub max: Option<usize>,
}

/// Where clients connect.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Address and port.
    pub address: String,
    /// Its connections, of the process's descriptors.
    #[serde(default)]
    pub connections: Share,
    /// Its requests in flight.
    #[serde(default)]
    pub requests: Share,
    /// The memory of its unfinished requests, in KiB, of the eighth of `limits.memory_mb` that all may use.
    #[serde(default)]
    pub memory_kb: Share,
}

/// A kind of requests.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// What a repeat does: "safe" changes nothing, "keyed" is dropped by some nodes for a time, "never" runs twice.
    pub repeat: Repeat,
    /// Answers within this earn full worth.
    pub aim: Time,
    /// The longest that a request may take, all its attempts together.
    pub deadline: Time,
    /// Worth of one request. Default: 1.
    #[serde(default)]
    pub worth: Option<f64>,
    /// Part of the worth that an answer past the aim earns, 0 to 1. Default: 0.
    #[serde(default)]
    pub late_worth: Option<f64>,
    /// For how long repeats are dropped, from the first attempt that may have run. Required for "keyed".
    #[serde(default)]
    pub window: Option<Time>,
    /// Which nodes drop them. Default: "cell".
    #[serde(default)]
    pub key_scope: Option<KeyScope>,
    /// The kinds of node it may go to. Default: all.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// The zones it may go to. Default: all.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Requests that share a key run one at a time, in the order in which they came. Default: false.
    #[serde(default)]
    pub ordered: bool,
}

/// What a repeat does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Nothing.
    Safe,
    /// It is dropped by its key.
    Keyed,
    /// It must not be.
    Never,
}

/// Which nodes drop repeats of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum KeyScope {
    /// Those of one cell.
    Cell,
    /// Those of one zone.
    Zone,
    /// All of the pool.
    All,
}

/// Who requests are for.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Tenant {
    /// Requests a second that are within its share. Default: no bound.
    pub quota: Option<f64>,
}

/// Nodes that serve the same, balanced by one instance of the decision module. Exactly one of `nodes`,
/// `nodes_file` and `discovery` says where they are.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Pool {
    /// The nodes themselves.
    pub nodes: Option<Vec<Node>>,
    /// A file that lists them as `[[nodes]]`; it is read again when it changes.
    pub nodes_file: Option<String>,
    /// Address and port of the platform's discovery.
    pub discovery: Option<String>,
    /// The zone of this process, as the nodes' zones are named. Default: "".
    pub zone: Option<String>,
    /// What an attempt that leaves the zone costs, as a part of a request's worth. Default: 0.
    pub crossing_price: Option<f64>,
    /// Processes that balance over these nodes, this one included. Default: 1, or the fleet's size with `fleet`.
    pub instances: Option<u32>,
    /// This one's number among them, from 0. Default: 0.
    pub instance: Option<u32>,
    /// The most attempts of one request. Default: 3. 1 to 16.
    pub attempts: Option<u32>,
    /// A second attempt may run beside the first, where the class allows a repeat. Default: true.
    pub hedging: Option<bool>,
    /// Attempts may be called off, which closes their connection. Default: true.
    pub cancel: Option<bool>,
    /// The longest `Retry-After`; "0s" tells none. Default: "2s".
    pub retry_after_max: Option<Time>,
    /// How long opening a connection to a node may take. Default: "250ms".
    pub connect_timeout: Option<Time>,
    /// Nodes close connections that have been idle for this long; here it is done at two thirds. Default: "60s".
    pub idle_timeout: Option<Time>,
    /// A node that has just started can do this part of its work, 0 to 1. Default: 0.1.
    pub cold_share: Option<f64>,
    /// It can do all of it after this. Default: "10s".
    pub warm_after: Option<Time>,
    /// `weight` of a node tells its size. Default: false.
    pub weighted: Option<bool>,
    /// Worth of a request past its tenant's quota, as a part. Default: 1.
    pub over_quota_worth: Option<f64>,
    /// Its requests in flight.
    pub requests: Share,
    /// Its connections to nodes, of the process's descriptors.
    pub connections: Share,
    /// The memory of its unfinished long answers, in KiB, of the eighth of `limits.memory_mb` that all may use.
    pub memory_kb: Share,
    /// When it is left in a list of `failover`, and how it is returned to.
    pub failover: Failover,
}

/// A node.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its name, which no other node of the pool has.
    pub name: String,
    /// Address and port.
    pub address: String,
    /// Its zone. Default: none.
    #[serde(default)]
    pub zone: Option<String>,
    /// Its kind of machine. Default: none.
    #[serde(default)]
    pub kind: Option<String>,
    /// Its cell: the nodes that drop repeats of one another's keys. Default: 0.
    #[serde(default)]
    pub cell: Option<i64>,
    /// Its size, where the pool is `weighted`. Default: 1. Above 0.
    #[serde(default)]
    pub weight: Option<f64>,
    /// Whether it takes new requests. Default: "ready".
    #[serde(default)]
    pub state: Option<NodeState>,
}

/// Whether a node takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// When a pool is left in a list of `failover`, and how it is returned to.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Failover {
    /// It is left when the healthy part of its nodes falls below this, 0 to 1. Default: 0.5.
    pub leave_below: Option<f64>,
    /// It may be returned to while that part is this or more, 0 to 1. Default: 0.7.
    pub return_above: Option<f64>,
    /// For how long it must have been so; doubled by each further fall. Default: "10s".
    pub hold: Option<Time>,
    /// The most that this is doubled to. Default: "5m".
    pub hold_max: Option<Time>,
    /// Over how long its requests come back, key by key. Default: "30s".
    pub return_over: Option<Time>,
}

/// Which requests go where. Exactly one of `path` and `path_prefix` says which paths, and exactly one of `pool`,
/// `split` and `failover` says where they go.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name, which no other route has.
    pub name: String,
    /// The host: a name, "*.domain" for all under a domain, or "*". Default: "*".
    #[serde(default)]
    pub host: Option<String>,
    /// The whole path; a segment such as "{id}" stands for any.
    #[serde(default)]
    pub path: Option<String>,
    /// The first segments of the path.
    #[serde(default)]
    pub path_prefix: Option<String>,
    /// The methods. Default: all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// What headers must be.
    #[serde(default)]
    pub headers: Vec<FieldTest>,
    /// What query parameters must be.
    #[serde(default)]
    pub query: Vec<FieldTest>,
    /// The class of its requests.
    pub class: String,
    /// Where the tenant of a request is told. Default: no tenant.
    #[serde(default)]
    pub tenant: Option<Source>,
    /// Where the key of a request is told. Required where the class is "keyed" or `ordered`.
    #[serde(default)]
    pub key: Option<Source>,
    /// How long a request may take.
    #[serde(default)]
    pub deadline: Deadline,
    /// The pool it goes to.
    #[serde(default)]
    pub pool: Option<String>,
    /// Pools and their weights: a key, or else a request, goes to one of them by weight.
    #[serde(default)]
    pub split: Option<BTreeMap<String, f64>>,
    /// Pools by priority: the first that is healthy.
    #[serde(default)]
    pub failover: Option<Vec<String>>,
    /// Another pool that gets copies, whose answers are thrown away. Only for classes that are "safe".
    #[serde(default)]
    pub mirror: Option<Mirror>,
    /// Its requests in flight.
    #[serde(default)]
    pub requests: Share,
}

/// What a header or a query parameter must be: exactly one of `equals`, `starts_with` and `present`.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FieldTest {
    /// Its name; a header's without regard to case.
    pub name: String,
    /// Exactly this.
    #[serde(default)]
    pub equals: Option<String>,
    /// This, and then anything.
    #[serde(default)]
    pub starts_with: Option<String>,
    /// There (true), or not there (false).
    #[serde(default)]
    pub present: Option<bool>,
}

/// Where a value is told: exactly one of these.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Source {
    /// In this header.
    pub header: Option<String>,
    /// In this query parameter.
    pub query: Option<String>,
    /// In this parameter of the path's template.
    pub param: Option<String>,
    /// Here: it is the same for all.
    pub value: Option<String>,
}

/// How long a request may take.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Deadline {
    /// Where its client says so, in seconds with decimals. Default: the header Req-Deadline.
    pub from: Option<Source>,
    /// Without a word of the client's. Default: the class's deadline.
    pub default: Option<Time>,
    /// At the most, whatever the client says. Default: the class's deadline.
    pub ceiling: Option<Time>,
}

/// Copies of some requests, whose answers are thrown away.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Mirror {
    /// The pool that gets them. It needs a `max` of requests and of connections.
    pub pool: String,
    /// The part of the requests that is copied, 0 to 1.
    pub share: f64,
}

/// A file that lists the nodes of a pool.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodesFile {
    /// The nodes.
    pub nodes: Vec<Node>,
}
