//! The interface of the decision module: its settings, events and actions as plain types without any logic.

use std::ops::{Add, AddAssign, Sub};

/// A point in time or a duration, in microseconds. Sums and differences saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub i64);

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}
impl AddAssign for Micros {
    fn add_assign(&mut self, other: Micros) {
        *self = *self + other;
    }
}
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

/// The id of a request. The embedding program chooses it and never reuses it while the instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// The number of a server, from 0 in the order in which the embedding program first saw the servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
/// The number of a class: its index in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u32);
/// The number of a tenant: its index in [`Settings::tenant_quota`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantId(pub u32);

/// The key that a request carries, as a number that the embedding program chooses. A class can order its
/// requests by key ([`Class::keep_order`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyId(pub u64);

/// The group of servers that drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers drop repeats, wherever the first attempt went.
    All,
    /// The servers in the zone of the first attempt drop repeats.
    Zone,
    /// The servers in the cell of the first attempt drop repeats.
    Cell,
}

/// The effect that a repeat of a request has, which decides whether and where the request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat is harmless: the request may be retried anywhere.
    Safe,
    /// Repeats are dropped by one group of servers, for a time that counts from the first send.
    Keyed {
        /// The servers that drop repeats.
        scope: DedupScope,
        /// How long after the first send these servers still drop repeats.
        window: Micros,
    },
    /// The request must never run twice.
    Unsafe,
}

/// A class of requests, with its objectives and what its requests are worth.
#[derive(Clone, Debug)]
pub struct Class {
    /// The latency objective: an answer within this time earns the full worth.
    pub aim: Micros,
    /// The aim of a request is extended by this multiple of the work that the request is expected to be.
    pub aim_stretch: f64,
    /// The total time that a client waits for an answer, over all its tries.
    pub deadline: Micros,
    /// The effect that a repeat of a request has.
    pub effect: Effect,
    /// The worth of one request, or of one unit of its work where [`Settings::worth_by_work`] is set.
    pub worth: f64,
    /// The share of the worth, 0 to 1, that an answer earns after the aim and before the deadline.
    pub late_worth: f64,
    /// The machine kinds that may serve the class; if empty, all may.
    pub only_kinds: Vec<u32>,
    /// The zones that may serve the class; if empty, all may.
    pub only_zones: Vec<u32>,
    /// Whether requests that carry the same key run one at a time, in the order of their arrival.
    pub keep_order: bool,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            aim: Micros(1_000_000),
            aim_stretch: 0.0,
            deadline: Micros(2_000_000),
            effect: Effect::Safe,
            worth: 1.0,
            late_worth: 0.0,
            only_kinds: Vec::new(),
            only_zones: Vec::new(),
            keep_order: false,
        }
    }
}

/// The settings of one instance of the decision module.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The number of instances in this tier, this one included.
    pub instances: u32,
    /// The number of this instance among those of its tier, from 0.
    pub instance_index: u32,
    /// The shortest time between two events: the resolution of the embedding program's clock.
    pub resolution: Micros,
    /// The time after which an idle connection is closed.
    pub idle_close: Micros,
    /// The cost of an attempt that leaves the zone, as a share of the worth of a request.
    pub crossing_price: f64,
    /// The zone of this instance.
    pub zone: u32,
    /// The number of the tier that this instance sends to; 0 is the one that serves clients.
    pub tier: u32,
    /// The classes of requests; a [`ClassId`] is an index into them.
    pub classes: Vec<Class>,
    /// The quota of each tenant in requests per second, over all instances; a [`TenantId`] is an index into
    /// them.
    pub tenant_quota: Vec<f64>,
    /// The share of its worth, 0 to 1, that a request has beyond the quota of its tenant.
    pub over_share_worth: f64,
    /// Whether worth counts per unit of work; otherwise it counts per request.
    pub worth_by_work: bool,
    /// Whether discovery sends lists only to those that request a watch; otherwise it pushes them.
    pub watch_on_request: bool,
    /// Where a watch has to be requested, an instance that has not requested one for this long is treated as
    /// if it knew of all changes. Zero: the instance may request a watch at any time, since no others share
    /// discovery with it.
    pub watch_request_within: Micros,
    /// How long a list may be used without a watch, from the time when discovery could last have been
    /// reached; `None`: for as long as requests for a watch fail.
    pub list_lease: Option<Micros>,
    /// Whether [`ServerEntry::units`] states the relative size of a server.
    pub weight_by_units: bool,
    /// Whether two attempts of one request may be in flight at the same time.
    pub parallel_attempts: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// The largest number of attempts of one request.
    pub max_attempts: u32,
    /// Whether a refusal advises the client how long to wait before it tries again.
    pub retry_after: bool,
    /// The longest time that a refusal advises the client to wait.
    pub max_retry_after: Micros,
    /// The share of its capacity, 0 to 1, that a server has at the least right after its start.
    pub cold_share: f64,
    /// The time after its start in which a server reaches its full capacity.
    pub ramp_time: Micros,
    /// The time window within which too much work overloads a cold server.
    pub cold_overload_window: Micros,
    /// How long the requests of a key are paused after an attempt that may still be running
    /// ([`Class::keep_order`]).
    pub key_pause: Micros,
    /// Whether only the state [`ListedState::Draining`] forbids calls to a server: one that a list reports as
    /// removed, or leaves out, may still be called.
    pub removal_is_advisory: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            instances: 1,
            instance_index: 0,
            resolution: Micros(1_000),
            idle_close: Micros(15_000_000),
            crossing_price: 0.0,
            zone: 0,
            tier: 0,
            classes: Vec::new(),
            tenant_quota: Vec::new(),
            over_share_worth: 1.0,
            worth_by_work: false,
            watch_on_request: false,
            watch_request_within: Micros(10_000_000),
            list_lease: Some(Micros(6_000_000)),
            weight_by_units: false,
            parallel_attempts: false,
            may_cancel: false,
            max_attempts: 3,
            retry_after: false,
            max_retry_after: Micros(0),
            cold_share: 0.1,
            ramp_time: Micros(10_000_000),
            cold_overload_window: Micros(3_000_000),
            key_pause: Micros(0),
            removal_is_advisory: false,
        }
    }
}

/// The state of a server on discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The server accepts requests.
    Ready,
    /// The server finishes its current requests and accepts no others.
    Draining,
    /// The server has left the list.
    Removed,
}

/// One entry of a list from discovery, with names replaced by numbers.
#[derive(Clone, Copy, Debug)]
pub struct ServerEntry {
    /// The number of the server.
    pub server: ServerId,
    /// The number of the server's zone; `u32::MAX` if the list names none.
    pub zone: u32,
    /// The number of the server's machine kind; `u32::MAX` if the list names none.
    pub kind: u32,
    /// The cell that the server belongs to, within its zone.
    pub cell: i64,
    /// The position of the server on the ring from which instances choose their subsets. It has to spread
    /// servers evenly and be the same at every instance, as a hash of the server's name is.
    pub ring_key: u64,
    /// The state that the list gives the server.
    pub state: ListedState,
    /// The relative size of the server, where [`Settings::weight_by_units`] is set.
    pub units: f64,
    /// When the server last started, by the wall clock; `None`: it started long ago.
    pub started_at: Option<Micros>,
}

impl Default for ServerEntry {
    fn default() -> Self {
        ServerEntry {
            server: ServerId(0),
            zone: 0,
            kind: 0,
            cell: 0,
            ring_key: 0,
            state: ListedState::Ready,
            units: 1.0,
            started_at: None,
        }
    }
}

/// The form of a list from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// The list holds changed entries only.
    Delta,
    /// The list is complete: servers that it leaves out are removed.
    Full,
    /// The list is a complete copy from an earlier time and may be out of date.
    Cached,
}

/// A request that has arrived from a client or caller.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// The tenant of the request, if it is known.
    pub tenant: Option<TenantId>,
    /// When the client stops waiting for an answer.
    pub expires: Micros,
    /// The cost hint: the work that the client expects the request to be, if it gave one.
    pub hint: Option<Micros>,
    /// Whether the client says that it has tried this request before.
    pub repeat: bool,
    /// The key of the request: requests with the same key may have to run in order ([`Class::keep_order`]).
    pub key: Option<KeyId>,
}

/// How an attempt ended. The names of the variants appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The server answered the request.
    Ok,
    /// The server answered with an error; the request may have run.
    Error,
    /// The server declined the request without looking at it; the request did not run.
    Full,
    /// No answer came in time; the request may still be running.
    Timeout,
    /// No connection could be made; the request did not run.
    ConnectFailed,
    /// The connection was lost before the answer; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    Moot,
    /// The server answered that the request itself is at fault. This is the final answer: it says nothing
    /// about the server, and another server would answer the same.
    Rejected,
}

/// The load that a server reports with an answer; values that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// The number of requests that the server has in progress.
    pub in_flight: Option<f64>,
}

/// The outcome of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// The request this attempt belongs to.
    pub id: RequestId,
    /// The number of the attempt among those of its request, from 0.
    pub attempt: u32,
    /// How the attempt ended.
    pub code: Code,
    /// The time from the send to the end of the attempt.
    pub latency: Micros,
    /// The part of the latency that this process may have caused itself, while it was busy and did not read
    /// from its sockets.
    pub local_delay: Micros,
    /// Whether the request has its final answer, so that nothing more is sent for it.
    pub is_final: bool,
    /// The load that the server reported with its answer, if it did.
    pub load: Option<LoadReport>,
}

/// The merged judgement of other instances about a server, which this instance is to act on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerVerdict {
    /// The server that is judged.
    pub server: ServerId,
    /// The class for which the server is judged; `None`: the verdict is on the server as a whole.
    pub class: Option<ClassId>,
    /// How bad the server is, 0 to 1; 0 withdraws the verdict, since no instance reports a fault any more.
    pub severity: f64,
    /// The earliest time at which the fault may have been found.
    pub found_at: Micros,
    /// Whether this instance sends the probe attempts that show when the server has recovered.
    pub probes_here: bool,
}

/// What an instance has observed of its servers by its own calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalObservations {
    /// The number of servers that the instance sends to: all ready ones, or its subset of them.
    pub servers_in_use: usize,
    /// The servers that have had bad outcomes, or have calls without an answer.
    pub servers: Vec<ServerObservation>,
}

/// What an instance has observed of one server by its own calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerObservation {
    /// The server that was observed.
    pub server: ServerId,
    /// When the server last started, as its list says.
    pub started_at: Option<Micros>,
    /// The class that the observation is limited to; `None`: it covers the server as a whole.
    pub class: Option<ClassId>,
    /// How bad the server is, 0 to 1; 0: it is not ejected, or not because of this instance's own calls.
    pub severity: f64,
    /// The outlier score of the server, whether or not the server is ejected.
    pub outlier_score: f64,
    /// Whether the server has answered this instance since the server's last start, so that the network path
    /// has worked.
    pub has_answered: bool,
    /// Whether the last call got no connection.
    pub is_unreachable: bool,
    /// The age of the oldest call since which the server has answered nothing, as a share of the time after
    /// which this instance counts the call as overdue; 0: there is no such call.
    pub overdue_share: f64,
    /// When a call to the server last ended or became overdue.
    pub last_ended_at: Micros,
    /// When the server last gave a good answer in time.
    pub last_ok_at: Micros,
}

/// The time after which an instance is treated as if it knew of a change, whether or not it received the
/// change: discovery has had the change and could be reached for this long. The time applies to real sockets;
/// the operators have a permanent test of it.
pub const CHANGE_ASSUMED_KNOWN_AFTER: std::time::Duration = std::time::Duration::from_secs(6);

/// What was observed of a call to discovery that failed, or of a watch that ended. The names of the variants
/// appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// This process could not create a socket for the call.
    NoSocket,
    /// The connection was refused, or was not established in time.
    NoConnection,
    /// The connection was closed or reset before the first byte of an answer.
    ClosedBeforeAnswer,
    /// The call was sent, and no byte of an answer came in time.
    NoAnswer,
    /// Discovery answered with status 503: it is overloaded or down.
    Busy,
    /// Discovery answered with another status, or the answer was not HTTP.
    OtherStatus,
    /// An answer began and ended without a complete list.
    IncompleteAnswer,
    /// The list in the answer could not be read, or was older than the one in use.
    Unreadable,
    /// An open watch delivered no data for too long.
    WatchSilent,
    /// An open watch was closed or reset in the middle of a line.
    WatchCut,
    /// An open watch was reset between two lines, or closed by this process.
    WatchBroken,
    /// The registry closed an open watch between two lines.
    WatchEnded,
}

/// The start of a response: its head.
#[derive(Clone, Copy, Debug)]
pub struct ResponseStart {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// The number of the attempt among those of its request, from 0.
    pub attempt: u32,
    /// The length of the body in bytes, if the head states it.
    pub stated_length: Option<usize>,
}

/// An event that the embedding program reports to an instance.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A list has come from discovery.
    List {
        /// Whether the list is complete, a delta or a cached copy.
        form: ListForm,
        /// The entries of the list.
        entries: &'a [ServerEntry],
    },
    /// The watch on discovery has ended, or the request for one has failed.
    WatchFailed {
        /// The time up to which all changes have arrived.
        complete_until: Micros,
        /// How the watch or the request for it failed.
        failure: CallFailure,
    },
    /// The head of discovery's answer has arrived; the list is still to come.
    DiscoveryAnswerStarted,
    /// Discovery has moved to another address, and the watch at the old address has ended.
    DiscoveryMoved,
    /// The offset between the wall clock, by which lists date the starts of servers, and this instance's own
    /// clock, which never steps, has been measured.
    WallClock {
        /// How far the wall clock is ahead; a negative value means that it is behind.
        ahead: Micros,
    },
    /// A request has arrived.
    Request(NewRequest),
    /// The head of a response that would serve its request, or reject it as faulty, has arrived; the body is
    /// not complete.
    ResponseStarted(ResponseStart),
    /// An attempt has ended.
    Outcome(Outcome),
    /// The client of a request has disconnected.
    ClientLeft(RequestId),
    /// Other instances have reached a verdict on a server, or withdrawn it.
    PeerVerdict(PeerVerdict),
    /// A timer with this token is due.
    Timer(u64),
}

/// An action that the embedding program has to carry out for an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request to send.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// The time-out of the attempt.
        timeout: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt among those of its request, from 0.
        attempt: u32,
    },
    /// Commit the response of an attempt: from now on it is passed on to the client as it arrives, and it is the
    /// final answer. An attempt that has ended meanwhile is left as it is.
    Commit {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt among those of its request, from 0.
        attempt: u32,
    },
    /// Answer the client finally that the request is refused; a repeat is harmless.
    Refuse {
        /// The request to answer.
        id: RequestId,
        /// How long the client is advised to wait before it tries again; zero: no advice is given.
        retry_after: Micros,
    },
    /// Answer the client finally that the request has failed; a repeat may not be harmless.
    Fail {
        /// The request to answer.
        id: RequestId,
    },
    /// Report [`Event::Timer`] at a given time.
    Timer {
        /// The time at which the timer is due.
        at: Micros,
        /// The token that the event has to carry.
        token: u64,
    },
    /// Request a watch from discovery.
    Watch,
    /// Write this line to the log.
    Log(String),
}
