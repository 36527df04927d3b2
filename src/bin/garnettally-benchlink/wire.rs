//! The messages between the simulator and the adapter: one JSON object a line, whose only key names the
//! message. A batch begins with `Frame` and ends with `Commit`; its reply ends with `Eor`. All times are in
//! microseconds.

use garnettally_config::platform::PlatformSettings;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// A message from the simulator.
#[derive(Deserialize)]
pub enum Incoming<'a> {
    /// A batch begins.
    Frame(Frame),
    /// The batch is complete, and its reply is expected.
    Commit(Empty),
    /// A list of servers, stored under a number for later `Announce` messages.
    #[serde(borrow)]
    Census(Census<'a>),
    /// A balancer starts. A balancer of the same number that is still running is replaced.
    #[serde(borrow)]
    Boot(Box<Boot<'a>>),
    /// A balancer stops.
    Retire(BalancerOnly),
    /// A balancer receives a list from discovery, or the failure of its watch.
    Announce(Announce),
    /// A balancer receives a request.
    #[serde(borrow)]
    Knock(Knock<'a>),
    /// The adapter does not use this message; it only checks that the balancer is running.
    HeadReceived(BalancerOnly),
    /// An attempt has ended.
    #[serde(borrow)]
    Finished(Finished<'a>),
    /// The client of a request has disconnected.
    #[serde(borrow)]
    ClientLeft(ClientLeft<'a>),
    /// A timer that the balancer requested with `NotifyMe` is due.
    Timer(Timer),
    /// The adapter does not use this message; it only checks that the balancer is running.
    Checked(BalancerOnly),
    /// The adapter does not use this message; it only checks that the balancer is running.
    PeerData(BalancerOnly),
}

/// The content of a message without fields.
#[derive(Deserialize)]
pub struct Empty {}

/// The content of `Frame`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Frame {
    /// The time at which all events of the batch happen.
    pub at_time_us: i64,
}

/// The content of a message whose only used field is its balancer.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct BalancerOnly {
    /// The number of the balancer, as given by `Boot`.
    pub balancer: u64,
}

/// The content of `Census`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Census<'a> {
    /// The number of the list, 0 to 15. An earlier list of the same number is replaced.
    pub set_id: usize,
    /// The servers on the list.
    #[serde(borrow)]
    pub entries: Vec<Entry<'a>>,
}

/// A server on a list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Entry<'a> {
    /// The name of the server.
    #[serde(borrow)]
    pub upstream: Cow<'a, str>,
    /// The zone of the server.
    #[serde(borrow, default)]
    pub zone: Option<Cow<'a, str>>,
    /// The machine kind of the server.
    #[serde(borrow, rename = "Type", default)]
    pub kind: Option<Cow<'a, str>>,
    /// The cell of the server; 0 if absent.
    #[serde(default)]
    pub block: Option<i64>,
    /// The state of the server: 0 removed, 1 ready, 2 draining.
    pub health: u8,
    /// The size of the server; 1 if absent.
    #[serde(default)]
    pub units: Option<f64>,
    /// The time of the server's last start. If it is absent or 0, the server started long ago.
    #[serde(default)]
    pub online_since_us: Option<i64>,
}

/// The content of `Boot`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Boot<'a> {
    /// The number by which all later messages name the balancer.
    pub balancer: u64,
    /// The seed of the balancer's random numbers.
    pub random_seed: u64,
    /// The settings of the balancer, in the platform's form.
    #[serde(borrow)]
    pub facts: PlatformSettings<'a>,
}

/// The content of `Announce`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Announce {
    /// The balancer that receives the list.
    pub balancer: u64,
    /// The number of the list, from its `Census`. It is not used with form 2.
    #[serde(default)]
    pub set_id: Option<usize>,
    /// The form: 0 for changed entries only, 1 for a full list, 2 for a watch that was refused, 3 for a full
    /// list from a cache, which may be old.
    pub form: u8,
}

/// A name, or the number 0, which stands for no name.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Name<'a> {
    /// The name.
    Text(#[serde(borrow)] Cow<'a, str>),
    /// No name.
    Number(#[allow(dead_code)] i64),
}

/// The content of `Knock`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Knock<'a> {
    /// The balancer that receives the request.
    pub balancer: u64,
    /// The id of the request, by which later messages name it.
    #[serde(borrow)]
    pub tid: Cow<'a, str>,
    /// The class of the request.
    #[serde(borrow)]
    pub grade: Cow<'a, str>,
    /// The tenant of the request.
    #[serde(borrow, default)]
    pub billing: Option<Name<'a>>,
    /// The key of the request: 16 hexadecimal digits, or another text, which is hashed.
    #[serde(borrow, default)]
    pub subject: Option<Cow<'a, str>>,
    /// The time at which the client stops waiting.
    pub expires_us: i64,
    /// The expected work, which is used as a cost hint only if bit 0 of the flags is set.
    #[serde(default)]
    pub expected_us: Option<i64>,
    /// Bit 0: `expected_us` is a cost hint. Bit 1: the client repeats an earlier request.
    #[serde(default)]
    pub flags: Option<u32>,
}

/// The load report of a server.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Feedback {
    /// The number of requests in flight at the server.
    pub rif: Option<f64>,
}

/// The content of `Finished`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Finished<'a> {
    /// The balancer that sent the attempt.
    pub balancer: u64,
    /// The id of the request.
    #[serde(borrow)]
    pub tid: Cow<'a, str>,
    /// The number of the attempt among those of its request, from 0.
    pub n: u32,
    /// How the attempt ended: 1 answered, 2 error, 3 turned away by a full server, 4 timed out, 5 not
    /// connected, 6 reset, 7 cancelled, 8 never sent.
    pub state_code: u8,
    /// The time since the attempt was sent; 0 if absent.
    #[serde(default)]
    pub latency_us: Option<i64>,
    /// The request has ended with this attempt.
    pub terminal: bool,
    /// The load report that came with the answer.
    #[serde(default)]
    pub feedback: Option<Feedback>,
}

/// The content of `ClientLeft`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClientLeft<'a> {
    /// The balancer that received the request.
    pub balancer: u64,
    /// The id of the request.
    #[serde(borrow)]
    pub tid: Cow<'a, str>,
}

/// The content of `Timer`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Timer {
    /// The balancer that requested the timer.
    pub balancer: u64,
    /// The token that the balancer gave with `NotifyMe`.
    pub token: u64,
}

/// A message of a reply.
#[derive(Serialize)]
#[serde(rename_all_fields = "PascalCase")]
pub enum Outgoing<'a> {
    /// Send an attempt of the request to the upstream, with a time-out of `allow_for_us`.
    SubmitTo { balancer: u64, tid: &'a str, upstream: &'a str, allow_for_us: i64 },
    /// Cancel attempt `n` of the request.
    AbortAttempt { balancer: u64, tid: &'a str, n: u32 },
    /// Refuse the request, which is safe to repeat. A `cool_down_us` above 0 tells the client to wait first.
    SayNo { balancer: u64, tid: &'a str, cool_down_us: i64 },
    /// Answer that the request has failed.
    RespondError { balancer: u64, tid: &'a str },
    /// Send a `Timer` with this token at the given time.
    NotifyMe { balancer: u64, due_at_us: i64, token: u64 },
    /// Open a watch on discovery for the balancer.
    Tail { balancer: u64, on: bool },
    /// Write the text to the log.
    Emit { balancer: u64, what: &'a str },
    /// The reply is complete.
    Eor {},
}
