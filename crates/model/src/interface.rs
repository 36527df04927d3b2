//! The face of the decision module: plain types only, and no decision.

use std::ops::{Add, AddAssign, Sub};

/// A time or a length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub i64);

impl Add for Micros {
    type Output = Micros;
    fn add(self, o: Micros) -> Micros {
        Micros(self.0.saturating_add(o.0))
    }
}
impl AddAssign for Micros {
    fn add_assign(&mut self, o: Micros) {
        *self = *self + o;
    }
}
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, o: Micros) -> Micros {
        Micros(self.0.saturating_sub(o.0))
    }
}

/// A request this instance was given; never reused within an instance's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// A server, numbered from 0 in the order the embedding program first met it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
/// A class: its place in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassId(pub u32);
/// A tenant: its place in [`Settings::tenant_quota`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantId(pub u32);

/// What a request concerns: a dense number of the embedding program's choosing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyId(pub u64);

/// Which servers drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat is harmless.
    Safe,
    /// Repeats are dropped by one group of servers for a time counted from the first send.
    Keyed {
        /// The group.
        scope: DedupScope,
        /// For how long they remember.
        window: Micros,
    },
    /// It must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Answers within this earn full worth.
    pub aim: Micros,
    /// The aim extends by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// The total time a client waits, all its tries together.
    pub deadline: Micros,
    /// What a repeat does.
    pub effect: Effect,
    /// Worth of one request, or of one unit of its work.
    pub worth: f64,
    /// Share of the worth paid past the aim.
    pub late_worth: f64,
    /// The machine kinds it may go to; empty: all.
    pub only_kinds: Vec<u32>,
    /// The zones it may go to; empty: all.
    pub only_zones: Vec<u32>,
    /// Its requests that carry one key run one at a time, in the order in which they were taken.
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

/// The settings of one instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instances in this tier, this one included.
    pub instances: u32,
    /// This one's number among them, from 0.
    pub instance_index: u32,
    /// The shortest time between two events.
    pub resolution: Micros,
    /// An idle connection is closed after this.
    pub idle_close: Micros,
    /// What an attempt that leaves the zone costs, as a share of a request's worth.
    pub crossing_price: f64,
    /// The zone of this instance.
    pub zone: u32,
    /// The tier that gets this instance's sends; 0 for the one that clients reach.
    pub tier: u32,
    /// The classes.
    pub classes: Vec<Class>,
    /// Requests per second within each tenant's share, over all instances.
    pub tenant_quota: Vec<f64>,
    /// Worth of a request past its tenant's share, as a fraction.
    pub over_share_worth: f64,
    /// Worth counts per unit of work (else per request).
    pub worth_by_work: bool,
    /// Discovery must be asked (else it pushes).
    pub watch_on_request: bool,
    /// Not asking for this long counts as being told, where discovery must be asked.
    pub watch_request_within: Micros,
    /// Without a watch, a list may be gone by for so long after discovery could have been asked; `None`: for as long as
    /// discovery is asked in vain.
    pub list_lease: Option<Micros>,
    /// `Units` of a server tell its size.
    pub weight_by_units: bool,
    /// Two attempts of one request may be in flight together.
    pub parallel_attempts: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Clients are told how long to hold off after a refusal.
    pub retry_after: bool,
    /// The longest such advice.
    pub max_retry_after: Micros,
    /// A cold server starts at this share of its capacity or above.
    pub cold_share: f64,
    /// And is warm after this time.
    pub ramp_time: Micros,
    /// The window over which too much work tips a cold server over.
    pub cold_overload_window: Micros,
    /// How long a key rests after an attempt that may run still ([`Class::keep_order`]).
    pub key_pause: Micros,
    /// Only being listed as draining binds: a server that is called gone, or left out, may be sent to.
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

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Removed,
}

/// One entry of discovery's news.
#[derive(Clone, Copy, Debug)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: i64,
    /// A number that spreads servers evenly and is the same at every instance: a hash of the name, say.
    pub ring_key: u64,
    /// Its state.
    pub state: ListedState,
    /// Its size, as [`Settings::weight_by_units`] says.
    pub units: f64,
    /// When it last started; `None`: long ago.
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

/// The form of discovery's news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last held; it can be old.
    Cached,
}

/// A request that a client or caller hands in.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// When its client gives up.
    pub expires: Micros,
    /// Expected work, where known.
    pub hint: Option<Micros>,
    /// Its client has tried before, where clients tell.
    pub repeat: bool,
    /// What it concerns, as a dense number: requests that share it may have to keep their order.
    pub key: Option<KeyId>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Served.
    Ok,
    /// The server gave an error; it may have run.
    Error,
    /// Sent back unseen; never ran.
    Full,
    /// No answer in time; may run still.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection dropped; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// The server says that the request itself is at fault, and that is its answer. It tells nothing of the
    /// server, and another one would say the same.
    Rejected,
}

/// A server's load report; absent values are not known.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests it holds.
    pub in_flight: Option<f64>,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Of this request.
    pub id: RequestId,
    /// Its number among the request's sends, from 0.
    pub attempt: u32,
    /// How it ended.
    pub code: Code,
    /// Time since the send.
    pub latency: Micros,
    /// So much of that may be this process's own doing: it was held up, and did not look at its sockets.
    pub local_delay: Micros,
    /// The request is finished.
    pub is_final: bool,
    /// The server's report, if one came along.
    pub load: Option<LoadReport>,
}

/// What other instances have found out about a server, as far as this one is to go by it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerVerdict {
    /// The server.
    pub server: ServerId,
    /// For this class alone; `None`: as a whole.
    pub class: Option<ClassId>,
    /// How bad it is, 0 to 1; 0: nobody says so any more.
    pub severity: f64,
    /// When it was found, at the earliest.
    pub found_at: Micros,
    /// It is this instance that tries whether the server is well again.
    pub probes_here: bool,
}

/// What an instance has found out by its own calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalObservations {
    /// How many servers it sends to: all that are ready, or its subset of them.
    pub servers_in_use: usize,
    /// Of those that it has had doubts about.
    pub servers: Vec<ServerObservation>,
}

/// What an instance has found out about a server by its own calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerObservation {
    /// The server.
    pub server: ServerId,
    /// When it last started.
    pub started_at: Option<Micros>,
    /// For this class alone; `None`: as a whole.
    pub class: Option<ClassId>,
    /// How bad it is, 0 to 1; 0: it is not ejected, or not by what was found here.
    pub severity: f64,
    /// The outlier score, whether or not it is ejected for it.
    pub outlier_score: f64,
    /// It has answered this instance in its present life: the way there has worked.
    pub has_answered: bool,
    /// The last call got no connection.
    pub is_unreachable: bool,
    /// For how long a call has been out there with nothing answered since, as a part of the time after which this
    /// instance speaks against it by itself; 0: none is.
    pub overdue_share: f64,
    /// When a call last ended there, or was overdue.
    pub last_ended_at: Micros,
    /// When it last answered well.
    pub last_ok_at: Micros,
}

/// Whatever discovery has to tell counts as told so long after it had it and could be reached, on sockets, whether or not it was
/// heard (the operators' standing test).
pub const NOTIFIED_AFTER: std::time::Duration = std::time::Duration::from_secs(6);

/// What was seen of a call to discovery that failed, or of a watch that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// This process could not make a socket for it.
    NoSocket,
    /// Its connection was refused, or did not come up in time.
    NoConnection,
    /// Its connection ended or was reset before a byte of an answer.
    ClosedBeforeAnswer,
    /// It was sent, and no byte of an answer came in time.
    NoAnswer,
    /// 503.
    Busy,
    /// An answer with another status, or one that is no HTTP.
    OtherStatus,
    /// An answer was begun, and no whole list came.
    IncompleteAnswer,
    /// A list came that can't be read, or is older than the one held.
    Unreadable,
    /// A watch that was open carried nothing any more.
    WatchSilent,
    /// A watch that was open ended or was reset in the middle of a line.
    WatchCut,
    /// A watch that was open was reset between two lines, or this process ended it.
    WatchBroken,
    /// The registry ended a watch that was open, between two lines.
    WatchEnded,
}

/// What an instance is told.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// News from discovery.
    List {
        /// Its form.
        form: ListForm,
        /// Its entries.
        entries: &'a [ServerEntry],
    },
    /// The watch on discovery has ended, or could not be had.
    WatchFailed {
        /// Up to then, what it had to tell has come.
        complete_until: Micros,
        /// How it failed.
        failure: CallFailure,
    },
    /// The head of discovery's answer has come; the list is still to come.
    DiscoveryAnswerStarted,
    /// Discovery is at another address from now on; the watch on the old one has ended.
    DiscoveryMoved,
    /// The clock that lists date starts by is so far ahead of this instance's own, which never steps; below 0: behind.
    WallClock {
        /// By so much.
        ahead: Micros,
    },
    /// A request came in.
    Request(NewRequest),
    /// An attempt ended.
    Outcome(Outcome),
    /// The client went away.
    ClientLeft(RequestId),
    /// Other instances speak of a server.
    PeerVerdict(PeerVerdict),
    /// A timer is due.
    Timer(u64),
}

/// What an instance does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// Of this request.
        id: RequestId,
        /// To this server.
        server: ServerId,
        /// Give it this long.
        timeout: Micros,
    },
    /// Call an attempt off.
    Cancel {
        /// Of this request.
        id: RequestId,
        /// This one.
        attempt: u32,
    },
    /// Final answer: no, and a repeat is harmless.
    Refuse {
        /// To this request.
        id: RequestId,
        /// Advice to hold off; zero: none.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// To this request.
        id: RequestId,
    },
    /// Wake me.
    Timer {
        /// At this time.
        at: Micros,
        /// With this token.
        token: u64,
    },
    /// Subscribe to discovery.
    Watch,
    /// A line for the staff.
    Log(String),
}
