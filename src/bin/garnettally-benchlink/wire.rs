//! The messages of the wire, as they are read and written.

use garnettally_config::platform::PlatformSettings;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

#[derive(Deserialize)]
pub enum In<'a> {
    Frame(Frame),
    Commit(Empty),
    #[serde(borrow)]
    Census(Census<'a>),
    #[serde(borrow)]
    Boot(Box<Boot<'a>>),
    Retire(Only),
    Announce(Announce),
    #[serde(borrow)]
    Knock(Knock<'a>),
    HeadReceived(Only),
    #[serde(borrow)]
    Finished(Finished<'a>),
    #[serde(borrow)]
    ClientLeft(Left<'a>),
    Timer(Timer),
    Checked(Only),
    PeerData(Only),
}

#[derive(Deserialize)]
pub struct Empty {}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Frame {
    pub at_time_us: i64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Only {
    pub balancer: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Census<'a> {
    pub set_id: usize,
    #[serde(borrow)]
    pub entries: Vec<Entry<'a>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Entry<'a> {
    #[serde(borrow)]
    pub upstream: Cow<'a, str>,
    #[serde(borrow, default)]
    pub zone: Option<Cow<'a, str>>,
    #[serde(borrow, rename = "Type", default)]
    pub kind: Option<Cow<'a, str>>,
    #[serde(default)]
    pub block: Option<i64>,
    pub health: u8,
    #[serde(default)]
    pub units: Option<f64>,
    #[serde(default)]
    pub online_since_us: Option<i64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Boot<'a> {
    pub balancer: u64,
    pub random_seed: u64,
    #[serde(borrow)]
    pub facts: PlatformSettings<'a>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Announce {
    pub balancer: u64,
    #[serde(default)]
    pub set_id: Option<usize>,
    pub form: u8,
}

/// A name, or the 0 that stands for none.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Name<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    Number(#[allow(dead_code)] i64),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Knock<'a> {
    pub balancer: u64,
    #[serde(borrow)]
    pub tid: Cow<'a, str>,
    #[serde(borrow)]
    pub grade: Cow<'a, str>,
    #[serde(borrow, default)]
    pub billing: Option<Name<'a>>,
    #[serde(borrow, default)]
    pub subject: Option<Cow<'a, str>>,
    pub expires_us: i64,
    #[serde(default)]
    pub expected_us: Option<i64>,
    #[serde(default)]
    pub flags: Option<u32>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Feedback {
    pub rif: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Finished<'a> {
    pub balancer: u64,
    #[serde(borrow)]
    pub tid: Cow<'a, str>,
    pub n: u32,
    pub state_code: u8,
    #[serde(default)]
    pub latency_us: Option<i64>,
    pub terminal: bool,
    #[serde(default)]
    pub feedback: Option<Feedback>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Left<'a> {
    pub balancer: u64,
    #[serde(borrow)]
    pub tid: Cow<'a, str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Timer {
    pub balancer: u64,
    pub token: u64,
}

#[derive(Serialize)]
#[serde(rename_all_fields = "PascalCase")]
pub enum Out<'a> {
    SubmitTo { balancer: u64, tid: &'a str, upstream: &'a str, allow_for_us: i64 },
    AbortAttempt { balancer: u64, tid: &'a str, n: u32 },
    SayNo { balancer: u64, tid: &'a str, cool_down_us: i64 },
    RespondError { balancer: u64, tid: &'a str },
    NotifyMe { balancer: u64, due_at_us: i64, token: u64 },
    Tail { balancer: u64, on: bool },
    Emit { balancer: u64, what: &'a str },
    Eor {},
}
