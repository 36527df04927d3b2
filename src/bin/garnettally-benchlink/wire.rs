//! The messages of the wire, as they are read and written.

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
    pub facts: Facts<'a>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Facts<'a> {
    #[serde(borrow)]
    pub az: Cow<'a, str>,
    #[serde(borrow)]
    pub azs: Vec<Cow<'a, str>>,
    pub contract: Contract,
    #[serde(borrow)]
    pub grades: Vec<Grade<'a>>,
    pub limits: Limits,
    pub n_instances: u32,
    pub me: u32,
    #[serde(borrow)]
    pub kinds: Vec<Cow<'a, str>>,
    pub resolution_us: Option<i64>,
    pub tariffs: Tariffs,
    pub tier: u32,
    pub over_share_worth: Option<f64>,
    #[serde(borrow)]
    pub realms: Vec<Realm<'a>>,
    #[serde(borrow)]
    pub registry_mode: Cow<'a, str>,
    #[serde(borrow)]
    pub weight_kind: Cow<'a, str>,
    #[serde(borrow)]
    pub worth_by: Cow<'a, str>,
}

impl Default for Facts<'_> {
    fn default() -> Self {
        Facts {
            az: "".into(),
            azs: Vec::new(),
            contract: Contract::default(),
            grades: Vec::new(),
            limits: Limits::default(),
            n_instances: 1,
            me: 0,
            kinds: Vec::new(),
            resolution_us: None,
            tariffs: Tariffs::default(),
            tier: 0,
            over_share_worth: None,
            realms: Vec::new(),
            registry_mode: "pushed".into(),
            weight_kind: "none".into(),
            worth_by: "request".into(),
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Contract {
    pub ask_within_us: Option<i64>,
    pub cold_share: Option<f64>,
    pub ramp_time_us: Option<i64>,
    pub tip_after_us: Option<i64>,
    pub key_rest_us: Option<i64>,
    pub drain_binds_alone: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Grade<'a> {
    #[serde(borrow)]
    pub name: Cow<'a, str>,
    pub slo_us: i64,
    pub hard_limit_us: i64,
    #[serde(borrow)]
    pub semantics: Cow<'a, str>,
    #[serde(borrow, default)]
    pub key_scope: Option<Cow<'a, str>>,
    #[serde(default)]
    pub window_us: Option<i64>,
    #[serde(default)]
    pub worth: Option<f64>,
    #[serde(default)]
    pub late_worth: Option<f64>,
    #[serde(default)]
    pub aim_stretch: Option<f64>,
    #[serde(borrow, default)]
    pub bound_to: Option<Vec<Cow<'a, str>>>,
    #[serde(borrow, default)]
    pub stays_in: Option<Vec<Cow<'a, str>>>,
    #[serde(default)]
    pub keep_order: Option<bool>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Tariffs {
    pub cross_zone: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Limits {
    pub idle_close_us: Option<i64>,
    pub may_cancel: bool,
    pub parallel_tries: bool,
    pub retry_after: bool,
    pub max_retry_after_us: Option<i64>,
    pub send_cap: Option<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Realm<'a> {
    #[serde(borrow)]
    pub name: Cow<'a, str>,
    #[serde(default)]
    pub quota_rps: Option<f64>,
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
