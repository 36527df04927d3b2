//! The format of the operator's file. Its JSON Schema is generated from these types.

use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;

/// The operator's file: listeners, classes, tenants, pools and routes of one process.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The version of this format: 1.
    pub version: u32,
    /// The name of this process in logs. Default: "garnettally".
    #[serde(default)]
    pub name: Option<String>,
    /// The seed of the random numbers: 16 hex digits. Default: drawn by the system.
    #[serde(default)]
    pub seed: Option<String>,
    /// What is logged, and how.
    #[serde(default)]
    pub logging: Logging,
    /// The resources that the process may use.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// The admin address, where operators call. Default: none is served.
    #[serde(default)]
    pub admin: Option<Admin>,
    /// The other balancers of the fleet. Default: nothing is shared with any.
    #[serde(default)]
    pub fleet: Option<Fleet>,
    /// The addresses where clients connect, by name. At least one.
    pub listeners: BTreeMap<String, Listener>,
    /// The classes of requests, by name. At least one.
    pub classes: BTreeMap<String, Class>,
    /// The tenants on whose behalf requests are made, by name.
    #[serde(default)]
    pub tenants: BTreeMap<String, Tenant>,
    /// The pools, each of nodes that serve the same requests, by name. At least one.
    pub pools: BTreeMap<String, Pool>,
    /// The routes from requests to pools; the most specific matching route is used. At least one.
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
    /// The format of log lines. Default: "text".
    pub format: LogFormat,
    /// The lowest severity of the lines that are written. Default: "info".
    pub level: LogLevel,
    /// The requests that are logged with a line each. Default: "none".
    pub requests: LogRequests,
    /// The most log lines that wait to be written. Further lines are dropped, and their number is logged.
    /// Default: 1024. 16 to 1048576.
    pub queue: Option<usize>,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text for people to read.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The severity of a log line. Each level includes those before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Something failed.
    Error,
    /// Something may fail soon.
    Warning,
    /// Events that operators follow.
    #[default]
    Info,
    /// Details: every attempt that failed.
    Debug,
}

/// The requests that are logged with a line each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogRequests {
    /// No requests.
    #[default]
    None,
    /// Requests that were not served.
    Failed,
    /// All requests.
    All,
}

/// The resources that the process may use.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ProcessLimits {
    /// The most file descriptors. Default: 1024. 64 or more.
    pub descriptors: Option<usize>,
    /// Memory in MiB; it bounds the buffers of unfinished messages. Default: 192. 16 or more.
    pub memory_mb: Option<usize>,
    /// The most requests in flight. Default: 4096. 1 or more.
    pub requests: Option<usize>,
    /// The most keys of keyed requests with an open window, on routes with several pools. A keyed request
    /// with a further key is refused. Default: 65536. 1 or more.
    pub pins: Option<usize>,
}

/// The address where operators call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Address and port, which only operators should be able to reach.
    pub address: String,
}

/// The other balancers of the fleet, and the link to them. Without this table nothing is shared with any.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Address and UDP port where this member receives datagrams.
    pub address: String,
    /// The address where peers reach this member, if it is another one. Default: `address`.
    #[serde(default)]
    pub advertise: Option<String>,
    /// The name of this member, which no other member has. Default: `name` of the file, which is then
    /// required.
    #[serde(default)]
    pub name: Option<String>,
    /// The zone of this member, named like the nodes' zones. Default: "".
    #[serde(default)]
    pub zone: Option<String>,
    /// Addresses of members to join through: two or three that are seldom down together. Default: none.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// A file with one key per line: a number and 64 hex digits. The first key seals datagrams, and each key
    /// opens them. Default: none, and then only loopback addresses may be used.
    #[serde(default)]
    pub key_file: Option<String>,
    /// The time between two probes, each of one member chosen at random. Default: "1s".
    #[serde(default)]
    pub probe_period: Option<Time>,
    /// A member that did not answer is considered dead after this time. Default: "3s". No less than
    /// `probe_period`.
    #[serde(default)]
    pub suspicion: Option<Time>,
    /// A dead member is forgotten after this time. Default: "10m". No less than twice `suspicion`.
    #[serde(default)]
    pub forget_after: Option<Time>,
    /// The time between two rounds in which some peers are asked for updates. Default: "200ms".
    #[serde(default)]
    pub ask_every: Option<Time>,
    /// The number of peers asked in each round, beside one chosen at random. Default: 3. 1 to 16.
    #[serde(default)]
    pub ask_peers: Option<usize>,
    /// Reports of peers that are older than this are not used. Default: "20s". No less than ten times
    /// `ask_every`.
    #[serde(default)]
    pub max_age: Option<Time>,
    /// The most members that are tracked. Default: 4096. 2 to 65536.
    #[serde(default)]
    pub members: Option<usize>,
    /// The most reports of peers that are stored. Default: 8192. 64 to 1048576.
    #[serde(default)]
    pub facts: Option<usize>,
    /// The fleet is assumed to have at least this many members. Default: 1. No more than `members`.
    #[serde(default)]
    pub size_floor: Option<usize>,
    /// The fleet is assumed to have at least as many members as were alive at once within this time.
    /// Default: "1m".
    #[serde(default)]
    pub size_hold: Option<Time>,
    /// The most KiB that are sent per second. Default: 256. 8 to 65536.
    #[serde(default)]
    pub send_kb: Option<usize>,
    /// The most datagrams that are processed per second. Default: 10000. 100 to 1000000.
    #[serde(default)]
    pub receive_datagrams: Option<usize>,
    /// Duties, each of which one member does on behalf of all. Default: none.
    #[serde(default)]
    pub duties: Option<Duties>,
}

/// Duties, each of which one member at a time does on behalf of the fleet, and the members that vote on the
/// owners.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// Names of the members that vote on the owners: 1, 3, 5 or 7, the same in all files, in the same order.
    pub voters: Vec<String>,
    /// The folder where a voter stores its promises. Required where this member is a voter; on a disk of its
    /// own that is synced.
    #[serde(default)]
    pub folder: Option<String>,
    /// How long a promise is valid. The duties of a dead owner are not done for about this long. Default:
    /// "1s". 200 ms to 1 min.
    #[serde(default)]
    pub lease: Option<Time>,
    /// Names of duties whose work other programs do: each asks the admin address of a member whether that
    /// member is the owner. Default: none.
    #[serde(default)]
    pub names: Vec<String>,
    /// The duty "export": the figures of all members are sent to a sink. Default: none.
    #[serde(default)]
    pub export: Option<Export>,
}

/// The export of all members' figures: the owner of the duty sends them to a sink over HTTP.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Export {
    /// Address and port of the sink.
    pub address: String,
    /// The path of the POST requests. Default: "/".
    #[serde(default)]
    pub path: Option<String>,
    /// The time between two exports. Default: "10s". 100 ms or more.
    #[serde(default)]
    pub every: Option<Time>,
}

/// A share of a limited resource: a guaranteed minimum and a maximum.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Share {
    /// Units that are reserved and that nothing else may use. Default: 0.
    pub min: Option<usize>,
    /// The most units in use, the reserved ones included. Default: no bound but the process's.
    pub max: Option<usize>,
}

/// An address where clients connect.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Address and port.
    pub address: String,
    /// The share of connections, out of the process's descriptors.
    #[serde(default)]
    pub connections: Share,
    /// The share of requests in flight.
    #[serde(default)]
    pub requests: Share,
    /// The share of memory for unfinished requests, in KiB, out of the eighth of `limits.memory_mb` that all
    /// listeners use.
    #[serde(default)]
    pub memory_kb: Share,
}

/// A class of requests that are treated alike.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// What a repeated request does: "safe": it changes nothing. "keyed": some nodes drop it by its key for a
    /// time. "never": it runs a second time, and so must not be sent.
    pub repeat: Repeat,
    /// A response within this time earns the full worth.
    pub aim: Time,
    /// The longest that a request may take, all its attempts together.
    pub deadline: Time,
    /// The worth of one request. Default: 1.
    #[serde(default)]
    pub worth: Option<f64>,
    /// The fraction of the worth that a response after the aim earns, 0 to 1. Default: 0.
    #[serde(default)]
    pub late_worth: Option<f64>,
    /// How long nodes drop repeats, from the first attempt that may have run. Required for "keyed".
    #[serde(default)]
    pub window: Option<Time>,
    /// The nodes that drop repeats of a key. Default: "cell".
    #[serde(default)]
    pub key_scope: Option<KeyScope>,
    /// The kinds of node that may serve these requests. Default: all.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// The zones whose nodes may serve these requests. Default: all.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Requests that share a key run one at a time, in the order in which they came. Default: false.
    #[serde(default)]
    pub ordered: bool,
}

/// What a repeated request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// A repeat changes nothing.
    Safe,
    /// Some nodes drop a repeat by its key.
    Keyed,
    /// A repeat runs again, and so must not be sent.
    Never,
}

/// The nodes that drop repeats of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum KeyScope {
    /// The nodes of one cell.
    Cell,
    /// The nodes of one zone.
    Zone,
    /// All nodes of the pool.
    All,
}

/// A tenant on whose behalf requests are made.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Tenant {
    /// The requests per second that are within the tenant's quota. Default: no bound.
    pub quota: Option<f64>,
}

/// Nodes that serve the same requests, balanced by one instance of the decision module. Exactly one of
/// `nodes`, `nodes_file` and `discovery` lists them.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Pool {
    /// The list of nodes.
    pub nodes: Option<Vec<Node>>,
    /// A file that lists the nodes as `[[nodes]]`; it is read again when it changes.
    pub nodes_file: Option<String>,
    /// Address and port of the platform's discovery.
    pub discovery: Option<String>,
    /// The zone of this process, named like the nodes' zones. Default: "".
    pub zone: Option<String>,
    /// The cost of an attempt that leaves the zone, as a fraction of the request's worth. Default: 0.
    pub crossing_price: Option<f64>,
    /// The processes that balance over these nodes, this one included. Default: 1, or the fleet's size with
    /// `fleet`.
    pub instances: Option<u32>,
    /// The number of this process among `instances`, from 0. Default: 0.
    pub instance: Option<u32>,
    /// The most attempts for one request. Default: 3. 1 to 16.
    pub attempts: Option<u32>,
    /// Whether a second attempt may run in parallel to the first, where the class allows a repeat.
    /// Default: true.
    pub hedging: Option<bool>,
    /// Whether attempts may be cancelled, which closes their connections. Default: true.
    pub cancel: Option<bool>,
    /// The longest `Retry-After` sent to clients; "0s" sends none. Default: "2s".
    pub retry_after_max: Option<Time>,
    /// How long opening a connection to a node may take. Default: "250ms".
    pub connect_timeout: Option<Time>,
    /// How long nodes keep idle connections open; this process closes them after two thirds of it. Default:
    /// "60s".
    pub idle_timeout: Option<Time>,
    /// The fraction of its capacity that a node has right after its start, 0 to 1. Default: 0.1.
    pub cold_share: Option<f64>,
    /// The time from its start after which a node has its full capacity. Default: "10s".
    pub warm_after: Option<Time>,
    /// Whether `weight` of a node is its size. Default: false.
    pub weighted: Option<bool>,
    /// The fraction of its worth that a request beyond its tenant's quota has. Default: 1.
    pub over_quota_worth: Option<f64>,
    /// The share of requests in flight.
    pub requests: Share,
    /// The share of connections to nodes, out of the process's descriptors.
    pub connections: Share,
    /// The share of memory for long unfinished responses, in KiB, out of the eighth of `limits.memory_mb`
    /// that all pools use.
    pub memory_kb: Share,
    /// When requests leave this pool in a list of `failover`, and how they return to it.
    pub failover: Failover,
}

/// A node of a pool.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The name of the node, which no other node of the pool has.
    pub name: String,
    /// Address and port.
    pub address: String,
    /// The zone of the node. Default: none.
    #[serde(default)]
    pub zone: Option<String>,
    /// The machine type of the node. Default: none.
    #[serde(default)]
    pub kind: Option<String>,
    /// The cell of the node: the nodes of a cell drop repeats of one another's keys. Default: 0.
    #[serde(default)]
    pub cell: Option<i64>,
    /// The size of the node, where the pool is `weighted`. Default: 1. Above 0.
    #[serde(default)]
    pub weight: Option<f64>,
    /// Whether the node accepts new requests. Default: "ready".
    #[serde(default)]
    pub state: Option<NodeState>,
}

/// Whether a node accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// The node accepts new requests.
    Ready,
    /// The node finishes its present requests and gets no new ones.
    Draining,
}

/// When requests leave a pool in a list of `failover`, and how they return to it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Failover {
    /// Requests leave the pool when the healthy fraction of its nodes falls below this, 0 to 1. Default: 0.5.
    pub leave_below: Option<f64>,
    /// Requests may return while the healthy fraction is this or more, 0 to 1. Default: 0.7.
    pub return_above: Option<f64>,
    /// How long the healthy fraction must have been so before requests return; doubled by each further fall.
    /// Default: "10s".
    pub hold: Option<Time>,
    /// The longest time to which `hold` is doubled. Default: "5m".
    pub hold_max: Option<Time>,
    /// The time over which requests return gradually, key by key. Default: "30s".
    pub return_over: Option<Time>,
}

/// A route from requests to pools. Exactly one of `path` and `path_prefix` gives the paths, and exactly one
/// of `pool`, `split` and `failover` the pools.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name of the route, which no other route has.
    pub name: String,
    /// The host: a name, "*.domain" for all names under a domain, or "*" for any. Default: "*".
    #[serde(default)]
    pub host: Option<String>,
    /// The whole path; a segment such as "{id}" matches any segment.
    #[serde(default)]
    pub path: Option<String>,
    /// The first segments of the path; any others may follow.
    #[serde(default)]
    pub path_prefix: Option<String>,
    /// The methods that match. Default: all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Tests that the headers must pass.
    #[serde(default)]
    pub headers: Vec<FieldTest>,
    /// Tests that the query parameters must pass.
    #[serde(default)]
    pub query: Vec<FieldTest>,
    /// The class of the route's requests.
    pub class: String,
    /// Where a request names its tenant. Default: no tenant.
    #[serde(default)]
    pub tenant: Option<Source>,
    /// Where a request carries its key. Required where the class is "keyed" or `ordered`.
    #[serde(default)]
    pub key: Option<Source>,
    /// The deadline of a request.
    #[serde(default)]
    pub deadline: Deadline,
    /// The pool that serves the requests.
    #[serde(default)]
    pub pool: Option<String>,
    /// Pools and their weights. Each key, or else each request without one, is assigned to a pool by weight.
    #[serde(default)]
    pub split: Option<BTreeMap<String, f64>>,
    /// Pools by priority: the first healthy one serves the requests.
    #[serde(default)]
    pub failover: Option<Vec<String>>,
    /// Another pool that gets copies of requests; the responses to them are discarded. Only for classes that
    /// are "safe".
    #[serde(default)]
    pub mirror: Option<Mirror>,
    /// The share of requests in flight.
    #[serde(default)]
    pub requests: Share,
}

/// A test of a header or a query parameter: exactly one of `equals`, `starts_with` and `present`.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FieldTest {
    /// The name of the header or query parameter; case is ignored for headers.
    pub name: String,
    /// The value must be exactly this.
    #[serde(default)]
    pub equals: Option<String>,
    /// The value must begin with this.
    #[serde(default)]
    pub starts_with: Option<String>,
    /// Whether the field must be present (true) or absent (false).
    #[serde(default)]
    pub present: Option<bool>,
}

/// The place of a value in a request: exactly one of these keys.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Source {
    /// The value is in this header.
    pub header: Option<String>,
    /// The value is in this query parameter.
    pub query: Option<String>,
    /// The value is the segment that matches this parameter of the route's path template.
    pub param: Option<String>,
    /// The value itself, the same for all requests.
    pub value: Option<String>,
}

/// The deadline of a request.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Deadline {
    /// Where a client gives the deadline, in seconds with decimals. Default: the header Req-Deadline.
    pub from: Option<Source>,
    /// The deadline of a request whose client gives none. Default: the class's deadline.
    pub default: Option<Time>,
    /// The longest deadline, whatever the client gives. Default: the class's deadline.
    pub ceiling: Option<Time>,
}

/// Copies of some requests; the responses to them are discarded.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Mirror {
    /// The pool that gets the copies. It needs a `max` of requests and of connections.
    pub pool: String,
    /// The fraction of the requests that is copied, 0 to 1.
    pub share: f64,
}

/// A file that lists the nodes of a pool.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodesFile {
    /// The nodes of the pool.
    pub nodes: Vec<Node>,
}
