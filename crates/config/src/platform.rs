//! What the platform tells a balancer: the environment, the settings and the host lists, decoded once into the
//! few values that the program uses. Whatever is wrong with them is said here, with the name of the key.

use garnettally_model::*;
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::borrow::Cow;
use std::net::SocketAddr;

/// The settings as they are written, with their names and units.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct PlatformSettings<'a> {
    #[serde(borrow)]
    pub(crate) az: Cow<'a, str>,
    #[serde(borrow)]
    pub(crate) azs: Vec<Cow<'a, str>>,
    pub(crate) contract: Contract,
    #[serde(borrow)]
    pub(crate) grades: Vec<Grade<'a>>,
    pub(crate) limits: SettingsLimits,
    pub(crate) n_instances: u32,
    pub(crate) me: u32,
    #[serde(borrow)]
    pub(crate) kinds: Vec<Cow<'a, str>>,
    pub(crate) resolution_us: Option<i64>,
    pub(crate) tariffs: Tariffs,
    pub(crate) tier: u32,
    pub(crate) over_share_worth: Option<f64>,
    #[serde(borrow)]
    pub(crate) realms: Vec<Realm<'a>>,
    #[serde(borrow)]
    pub(crate) registry_mode: Cow<'a, str>,
    #[serde(borrow)]
    pub(crate) weight_kind: Cow<'a, str>,
    #[serde(borrow)]
    pub(crate) worth_by: Cow<'a, str>,
}

impl Default for PlatformSettings<'_> {
    fn default() -> Self {
        PlatformSettings {
            az: "".into(),
            azs: Vec::new(),
            contract: Contract::default(),
            grades: Vec::new(),
            limits: SettingsLimits::default(),
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
pub(crate) struct Contract {
    pub(crate) ask_within_us: Option<i64>,
    pub(crate) drain_grace_us: Option<i64>,
    pub(crate) cold_share: Option<f64>,
    pub(crate) ramp_time_us: Option<i64>,
    pub(crate) tip_after_us: Option<i64>,
    pub(crate) key_rest_us: Option<i64>,
    pub(crate) drain_binds_alone: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Grade<'a> {
    #[serde(borrow)]
    pub(crate) name: Cow<'a, str>,
    pub(crate) slo_us: i64,
    pub(crate) hard_limit_us: i64,
    #[serde(borrow)]
    pub(crate) semantics: Cow<'a, str>,
    #[serde(borrow, default)]
    pub(crate) key_scope: Option<Cow<'a, str>>,
    #[serde(default)]
    pub(crate) window_us: Option<i64>,
    #[serde(default)]
    pub(crate) worth: Option<f64>,
    #[serde(default)]
    pub(crate) late_worth: Option<f64>,
    #[serde(default)]
    pub(crate) aim_stretch: Option<f64>,
    #[serde(borrow, default)]
    pub(crate) bound_to: Option<Vec<Cow<'a, str>>>,
    #[serde(borrow, default)]
    pub(crate) stays_in: Option<Vec<Cow<'a, str>>>,
    #[serde(default)]
    pub(crate) keep_order: Option<bool>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Tariffs {
    pub(crate) cross_zone: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct SettingsLimits {
    pub(crate) idle_close_us: Option<i64>,
    pub(crate) may_cancel: bool,
    pub(crate) parallel_tries: bool,
    pub(crate) retry_after: bool,
    pub(crate) max_retry_after_us: Option<i64>,
    pub(crate) send_cap: Option<u32>,
    pub(crate) dial_timeout_us: Option<i64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Realm<'a> {
    #[serde(borrow)]
    pub(crate) name: Cow<'a, str>,
    #[serde(default)]
    pub(crate) quota_rps: Option<f64>,
}

impl PlatformSettings<'_> {
    /// Checks the settings and turns them into the module's; the message names the key at fault.
    pub fn site(&self) -> Result<Site, String> {
        let f = self;
        check(f)?;
        let base = Settings::default();
        let mut zones: Vec<String> = f.azs.iter().map(|z| z.to_string()).collect();
        let mut kinds: Vec<String> = f.kinds.iter().map(|k| k.to_string()).collect();
        let ids = |names: &Option<Vec<Cow<'_, str>>>, known: &mut Vec<String>| {
            names.iter().flatten().map(|n| dense_index(known, n)).collect()
        };
        let classes = f.grades.iter().map(|g| Class {
            aim: Micros(g.slo_us),
            aim_stretch: g.aim_stretch.unwrap_or(0.0),
            deadline: Micros(g.hard_limit_us),
            effect: effect(g),
            worth: g.worth.unwrap_or(1.0),
            late_worth: g.late_worth.unwrap_or(0.0),
            only_kinds: ids(&g.bound_to, &mut kinds),
            only_zones: ids(&g.stays_in, &mut zones),
            keep_order: g.keep_order.unwrap_or(false),
        });
        let classes: Vec<Class> = classes.collect();
        let settings = Settings {
            instances: f.n_instances,
            tier: f.tier,
            instance_index: f.me,
            resolution: f.resolution_us.map_or(base.resolution, Micros),
            idle_close: f.limits.idle_close_us.map_or(base.idle_close, Micros),
            crossing_price: f.tariffs.cross_zone.unwrap_or(0.0),
            zone: dense_index(&mut zones, &f.az),
            classes,
            tenant_quota: f.realms.iter().map(|r| r.quota_rps.unwrap_or(f64::INFINITY)).collect(),
            over_share_worth: f.over_share_worth.unwrap_or(1.0),
            worth_by_work: f.worth_by == "work",
            watch_on_request: f.registry_mode == "on_request",
            watch_request_within: f.contract.ask_within_us.map_or(base.watch_request_within, Micros),
            list_lease: None,
            weight_by_units: f.weight_kind != "none",
            parallel_attempts: f.limits.parallel_tries,
            may_cancel: f.limits.may_cancel,
            max_attempts: f.limits.send_cap.unwrap_or(base.max_attempts),
            retry_after: f.limits.retry_after,
            max_retry_after: f.limits.max_retry_after_us.map_or(base.max_retry_after, Micros),
            cold_share: f.contract.cold_share.unwrap_or(base.cold_share),
            ramp_time: f.contract.ramp_time_us.map_or(base.ramp_time, Micros),
            cold_overload_window: f.contract.tip_after_us.map_or(base.cold_overload_window, Micros),
            key_pause: f.contract.key_rest_us.map_or(base.key_pause, Micros),
            removal_is_advisory: f.contract.drain_binds_alone.unwrap_or(false),
        };
        let classes = f.grades.iter().map(|g| g.name.to_string()).collect();
        let tenants = f.realms.iter().map(|r| r.name.to_string()).collect();
        let names = Names::new(classes, tenants, zones, kinds);
        Ok(Site { settings, names })
    }
}

/// What decoding alone does not find.
fn check(f: &PlatformSettings<'_>) -> Result<(), String> {
    let wrong = |key: String, what: &str| Err(format!("settings.{key}: {what}"));
    if f.n_instances == 0 {
        return wrong("NInstances".into(), "must be 1 or more");
    }
    if f.limits.send_cap == Some(0) {
        return wrong("Limits.SendCap".into(), "must be 1 or more");
    }
    if f.resolution_us.is_some_and(|r| r < 0) {
        return wrong("ResolutionUs".into(), "must not be negative");
    }
    for (i, g) in f.grades.iter().enumerate() {
        if g.name.is_empty() {
            return wrong(format!("Grades[{i}].Name"), "must not be empty");
        }
        if g.slo_us <= 0 {
            return wrong(format!("Grades[{i}].SloUs"), "must be above 0");
        }
        if g.hard_limit_us < g.slo_us {
            return wrong(format!("Grades[{i}].HardLimitUs"), "must not be below SloUs");
        }
        if !matches!(&*g.semantics, "safe" | "keyed" | "unsafe") {
            return wrong(format!("Grades[{i}].Semantics"), "must be safe, keyed or unsafe");
        }
    }
    Ok(())
}

#[derive(Deserialize)]
struct RawList<'a> {
    seq: u64,
    whole: bool,
    #[serde(borrow)]
    hosts: Vec<RawHost<'a>>,
}

#[derive(Deserialize)]
struct RawHost<'a> {
    #[serde(borrow)]
    host: Cow<'a, str>,
    #[serde(borrow, default)]
    dial: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    site: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    class: Option<Cow<'a, str>>,
    #[serde(default)]
    block: Option<i64>,
    #[serde(borrow)]
    health: Cow<'a, str>,
    #[serde(default)]
    share: Option<f64>,
    #[serde(default)]
    born_ms: Option<i64>,
}

/// Decodes one list as the platform's discovery writes it.
pub fn decode_host_list(json: &[u8]) -> Result<HostList, String> {
    host_list(from_json(json)?)
}

/// Takes the lists that are whole off the front of `text`, however they are laid out: on one line or on many, several
/// on one. What is not whole yet stays. The lists before a value that makes no sense are good; the error is about it.
pub fn drain_host_lists(text: &mut Vec<u8>) -> (Vec<HostList>, Result<(), String>) {
    let (mut lists, mut used) = (Vec::new(), 0);
    let mut values = serde_json::Deserializer::from_slice(text).into_iter::<IgnoredAny>();
    let result = loop {
        match values.next() {
            Some(Ok(_)) => {
                let end = values.byte_offset();
                match decode_host_list(text[used..end].trim_ascii()) {
                    Ok(list) => lists.push(list),
                    Err(e) => break Err(e),
                }
                used = end;
            }
            Some(Err(e)) if e.is_eof() => break Ok(()),
            Some(Err(e)) => break Err(e.to_string()),
            None => {
                used = text.len();
                break Ok(());
            }
        }
    };
    text.drain(..used);
    (lists, result)
}

fn host_list(raw: RawList<'_>) -> Result<HostList, String> {
    let mut hosts = Vec::with_capacity(raw.hosts.len());
    for (i, h) in raw.hosts.into_iter().enumerate() {
        let state = match &*h.health {
            "SERVING" => ListedState::Ready,
            "DRAINING" => ListedState::Draining,
            "DELETED" => ListedState::Removed,
            other => return Err(format!("hosts[{i}].health: unknown state {other:?}")),
        };
        let dial = h.dial.as_deref().map(str::parse::<SocketAddr>);
        let dial = match (dial, state) {
            (Some(Ok(addr)), _) => Some(addr),
            (_, ListedState::Removed) => None,
            _ => return Err(format!("hosts[{i}].dial: not an address with a port")),
        };
        let listing = Listing {
            name: h.host.into_owned(),
            zone: h.site.map(Cow::into_owned),
            kind: h.class.map(Cow::into_owned),
            cell: h.block.unwrap_or(0),
            state,
            units: h.share.unwrap_or(1.0),
            started_at: h.born_ms.filter(|&t| t != 0).map(|t| Micros(t.saturating_mul(1000))),
        };
        hosts.push((listing, dial));
    }
    Ok(HostList { seq: raw.seq, whole: raw.whole, hosts })
}

/// All that one balancer is told at its start.
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen_address: SocketAddr,
    /// Where discovery answers.
    pub discovery_address: SocketAddr,
    /// Where operators call (`GW_ADMIN_ADDR`, else `admin_addr`); `None`: nowhere.
    pub admin_address: Option<SocketAddr>,
    /// Where the file alone says so: a change here is followed while the program runs, which no change of the
    /// environment can reach.
    pub discovery_address_in_file: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that the process may use.
    pub memory_mb: usize,
    /// The list as this balancer last had it.
    pub known_hosts: HostList,
    /// The module's settings.
    pub site: Site,
    /// How long a connection to an upstream may take.
    pub dial_timeout: Option<Micros>,
    /// How long after being told that an upstream drains something new may still go there.
    pub drain_grace: Option<Micros>,
    /// Every attempt and every request gets a line in the log.
    pub debug_logging: bool,
}

#[derive(Deserialize)]
struct RawConfig<'a> {
    #[serde(borrow, default)]
    name: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    listen: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    discovery: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    admin_addr: Option<Cow<'a, str>>,
    #[serde(borrow)]
    seed: Cow<'a, str>,
    #[serde(default)]
    limits: RawLimits,
    #[serde(borrow, default)]
    known: Option<RawList<'a>>,
    #[serde(borrow)]
    settings: PlatformSettings<'a>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl Config {
    /// Reads the process's environment and the file that it names; for the start and for every reload.
    pub fn from_environment() -> Result<Config, String> {
        Config::read(|name| std::env::var(name).ok())
    }

    /// Reads these variables and the file that they name.
    fn read(var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let path = var("GW_CONFIG").ok_or("GW_CONFIG: not set; it names the configuration file")?;
        let text = std::fs::read(&path).map_err(|e| format!("GW_CONFIG: {path}: {e}"))?;
        let raw: RawConfig<'_> = from_json(&text).map_err(|e| format!("{path}: {e}"))?;
        // The environment goes before the file.
        let either = |env: &str, key: &str, value: &Option<Cow<'_, str>>| {
            let value = var(env).or_else(|| value.as_deref().map(str::to_string));
            value.filter(|v| !v.is_empty()).ok_or_else(|| format!("{env}: not set, and {path} has no {key}"))
        };
        let address = |env: &str, key: &str, value: &Option<Cow<'_, str>>| {
            let text = either(env, key, value)?;
            text.parse().map_err(|_| format!("{env} or {key}: {text:?} is not an address with a port"))
        };
        let in_file = raw.discovery.as_deref().filter(|text| !text.is_empty());
        let in_file = in_file.map(str::parse).transpose();
        let seed = u64::from_str_radix(&raw.seed, 16);
        let mut site = raw.settings.site().map_err(|e| format!("{path}: {e}"))?;
        site.settings.list_lease = Some(list_lease(&raw.settings));
        if !site.settings.watch_on_request {
            // On sockets a list is pushed by a watch, too, and what its agent has counts as told at once: the watch
            // is asked for at the start and, when it ends, again without a pause.
            (site.settings.watch_on_request, site.settings.watch_request_within) = (true, Micros(0));
        }
        if raw.settings.grades.is_empty() {
            return Err(format!("{path}: settings.Grades: must name at least one class"));
        }
        let sockets = raw.limits.sockets.unwrap_or(1024);
        if sockets < 64 {
            return Err(format!("{path}: limits.sockets: {sockets} is too few, 64 at the least"));
        }
        let memory_mb = raw.limits.memory_mb.unwrap_or(192);
        if memory_mb < 16 {
            return Err(format!("{path}: limits.memory_mb: {memory_mb} is too little, 16 at the least"));
        }
        let known = raw.known.unwrap_or(RawList { seq: 0, whole: true, hosts: Vec::new() });
        let debug = match var("GW_LOG").as_deref() {
            None | Some("" | "info") => false,
            Some("debug") => true,
            Some(other) => return Err(format!("GW_LOG: {other:?} is neither info nor debug")),
        };
        let admin = var("GW_ADMIN_ADDR").or_else(|| raw.admin_addr.as_deref().map(str::to_string));
        let admin = match admin.filter(|a| !a.is_empty()) {
            None => None,
            Some(text) => Some(text.parse().map_err(|_| {
                format!("GW_ADMIN_ADDR or admin_addr: {text:?} is not an address with a port")
            })?),
        };
        Ok(Config {
            debug_logging: debug,
            admin_address: admin,
            name: either("GW_NAME", "name", &raw.name)?,
            listen_address: address("GW_LISTEN", "listen", &raw.listen)?,
            discovery_address: address("GW_DISCOVERY", "discovery", &raw.discovery)?,
            discovery_address_in_file: in_file
                .map_err(|_| format!("{path}: discovery: not an address with a port"))?,
            seed: seed.map_err(|_| format!("{path}: seed: {:?} is not 16 hex digits", raw.seed))?,
            max_descriptors: sockets,
            memory_mb,
            known_hosts: host_list(known).map_err(|e| format!("{path}: known.{e}"))?,
            dial_timeout: raw.settings.limits.dial_timeout_us.map(Micros),
            drain_grace: raw.settings.contract.drain_grace_us.map(Micros),
            site,
        })
    }
}

/// For how long a list is as good as a watch: until what it lacks counts as told, whatever settings say. What is decided until
/// then may wait for a connection, and for a processor: the grace covers that, or else the lease does.
fn list_lease(settings: &PlatformSettings<'_>) -> Micros {
    const HELD_UP: Micros = Micros(150_000);
    let grace = Micros(settings.contract.drain_grace_us.unwrap_or(0));
    let connecting = Micros(settings.limits.dial_timeout_us.unwrap_or(0));
    let told_after = Micros(NOTIFIED_AFTER.as_micros() as i64);
    told_after + (grace - HELD_UP - connecting).min(Micros(0))
}

fn from_json<'a, T: Deserialize<'a>>(json: &'a [u8]) -> Result<T, String> {
    let mut from = serde_json::Deserializer::from_slice(json);
    let value = serde_path_to_error::deserialize(&mut from).map_err(|e| match e.path().to_string() {
        path if path == "." => e.inner().to_string(),
        path => format!("{path}: {}", e.inner()),
    })?;
    from.end().map_err(|e| e.to_string())?;
    Ok(value)
}

fn effect(g: &Grade<'_>) -> Effect {
    match &*g.semantics {
        "safe" => Effect::Safe,
        "keyed" => Effect::Keyed {
            scope: match g.key_scope.as_deref() {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                _ => DedupScope::Cell,
            },
            window: Micros(g.window_us.unwrap_or(0)),
        },
        _ => Effect::Unsafe,
    }
}
