//! Decodes the platform's configuration of a balancer (environment, settings and host lists) into the values
//! that the program uses. Errors name the key at fault.

use garnettally_model::*;
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::borrow::Cow;
use std::net::SocketAddr;

/// The platform's settings in their external form; the fields have the names and units of the keys.
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

/// The guarantees of the platform about discovery, servers and keys.
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

/// A class of requests.
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

/// The prices of attempts, as shares of a request's worth.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Tariffs {
    pub(crate) cross_zone: Option<f64>,
}

/// What a balancer may do: cancel, retry, hedge, advise clients, and within which times and counts.
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

/// A tenant.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Realm<'a> {
    #[serde(borrow)]
    pub(crate) name: Cow<'a, str>,
    #[serde(default)]
    pub(crate) quota_rps: Option<f64>,
}

impl PlatformSettings<'_> {
    /// Checks the settings and converts them to those of the decision module. The error names the key at
    /// fault.
    pub fn site(&self) -> Result<Site, String> {
        check(self)?;
        let defaults = Settings::default();
        let mut zones: Vec<String> = self.azs.iter().map(|z| z.to_string()).collect();
        let mut kinds: Vec<String> = self.kinds.iter().map(|k| k.to_string()).collect();
        let ids = |names: &Option<Vec<Cow<'_, str>>>, known: &mut Vec<String>| {
            names.iter().flatten().map(|n| dense_index(known, n)).collect()
        };
        let classes = self.grades.iter().map(|grade| Class {
            aim: Micros(grade.slo_us),
            aim_stretch: grade.aim_stretch.unwrap_or(0.0),
            deadline: Micros(grade.hard_limit_us),
            effect: effect(grade),
            worth: grade.worth.unwrap_or(1.0),
            late_worth: grade.late_worth.unwrap_or(0.0),
            only_kinds: ids(&grade.bound_to, &mut kinds),
            only_zones: ids(&grade.stays_in, &mut zones),
            keep_order: grade.keep_order.unwrap_or(false),
        });
        let classes: Vec<Class> = classes.collect();
        let settings = Settings {
            instances: self.n_instances,
            tier: self.tier,
            instance_index: self.me,
            resolution: self.resolution_us.map_or(defaults.resolution, Micros),
            idle_close: self.limits.idle_close_us.map_or(defaults.idle_close, Micros),
            crossing_price: self.tariffs.cross_zone.unwrap_or(0.0),
            zone: dense_index(&mut zones, &self.az),
            classes,
            tenant_quota: self.realms.iter().map(|r| r.quota_rps.unwrap_or(f64::INFINITY)).collect(),
            over_share_worth: self.over_share_worth.unwrap_or(1.0),
            worth_by_work: self.worth_by == "work",
            watch_on_request: self.registry_mode == "on_request",
            watch_request_within: self.contract.ask_within_us.map_or(defaults.watch_request_within, Micros),
            list_lease: None,
            weight_by_units: self.weight_kind != "none",
            parallel_attempts: self.limits.parallel_tries,
            may_cancel: self.limits.may_cancel,
            max_attempts: self.limits.send_cap.unwrap_or(defaults.max_attempts),
            retry_after: self.limits.retry_after,
            max_retry_after: self.limits.max_retry_after_us.map_or(defaults.max_retry_after, Micros),
            cold_share: self.contract.cold_share.unwrap_or(defaults.cold_share),
            ramp_time: self.contract.ramp_time_us.map_or(defaults.ramp_time, Micros),
            cold_overload_window: self.contract.tip_after_us.map_or(defaults.cold_overload_window, Micros),
            key_pause: self.contract.key_rest_us.map_or(defaults.key_pause, Micros),
            removal_is_advisory: self.contract.drain_binds_alone.unwrap_or(false),
        };
        let classes = self.grades.iter().map(|g| g.name.to_string()).collect();
        let tenants = self.realms.iter().map(|r| r.name.to_string()).collect();
        let names = Names::new(classes, tenants, zones, kinds);
        Ok(Site { settings, names })
    }
}

/// Checks what decoding does not: the ranges and the known values of settings.
fn check(settings: &PlatformSettings<'_>) -> Result<(), String> {
    let error = |key: String, what: &str| Err(format!("settings.{key}: {what}"));
    if settings.n_instances == 0 {
        return error("NInstances".into(), "must be 1 or more");
    }
    if settings.limits.send_cap == Some(0) {
        return error("Limits.SendCap".into(), "must be 1 or more");
    }
    if settings.resolution_us.is_some_and(|r| r < 0) {
        return error("ResolutionUs".into(), "must not be negative");
    }
    for (i, grade) in settings.grades.iter().enumerate() {
        if grade.name.is_empty() {
            return error(format!("Grades[{i}].Name"), "must not be empty");
        }
        if grade.slo_us <= 0 {
            return error(format!("Grades[{i}].SloUs"), "must be above 0");
        }
        if grade.hard_limit_us < grade.slo_us {
            return error(format!("Grades[{i}].HardLimitUs"), "must not be below SloUs");
        }
        if !matches!(&*grade.semantics, "safe" | "keyed" | "unsafe") {
            return error(format!("Grades[{i}].Semantics"), "must be safe, keyed or unsafe");
        }
    }
    Ok(())
}

/// A host list in its external form.
#[derive(Deserialize)]
struct RawList<'a> {
    seq: u64,
    whole: bool,
    #[serde(borrow)]
    hosts: Vec<RawHost<'a>>,
}

/// An entry of a host list in its external form.
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

/// Decodes one host list in the form that the platform's discovery sends.
pub fn decode_host_list(json: &[u8]) -> Result<HostList, String> {
    host_list(from_json(json)?)
}

/// Removes all complete host lists from the front of `text`, whether a list spans several lines or a line has
/// several lists. An incomplete list stays in `text`. After an error, which is about the first value that
/// can't be decoded, the lists before that value are valid.
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
    for (i, entry) in raw.hosts.into_iter().enumerate() {
        let state = match &*entry.health {
            "SERVING" => ListedState::Ready,
            "DRAINING" => ListedState::Draining,
            "DELETED" => ListedState::Removed,
            other => return Err(format!("hosts[{i}].health: unknown state {other:?}")),
        };
        let dial = entry.dial.as_deref().map(str::parse::<SocketAddr>);
        let dial = match (dial, state) {
            (Some(Ok(addr)), _) => Some(addr),
            (_, ListedState::Removed) => None,
            _ => return Err(format!("hosts[{i}].dial: not an address with a port")),
        };
        let listing = Listing {
            name: entry.host.into_owned(),
            zone: entry.site.map(Cow::into_owned),
            kind: entry.class.map(Cow::into_owned),
            cell: entry.block.unwrap_or(0),
            state,
            units: entry.share.unwrap_or(1.0),
            started_at: entry.born_ms.filter(|&t| t != 0).map(|t| Micros(t.saturating_mul(1000))),
        };
        hosts.push((listing, dial));
    }
    Ok(HostList { seq: raw.seq, whole: raw.whole, hosts })
}

/// The configuration of one balancer that the platform starts.
pub struct Config {
    /// The name of this balancer.
    pub name: String,
    /// The address where clients connect.
    pub listen_address: SocketAddr,
    /// The address of discovery.
    pub discovery_address: SocketAddr,
    /// The admin address, where operators call (`GW_ADMIN_ADDR`, else `admin_addr`); `None` serves none.
    pub admin_address: Option<SocketAddr>,
    /// The address of discovery if the file has it. A reload applies a change of this value; the environment
    /// of a running process can't change.
    pub discovery_address_in_file: Option<SocketAddr>,
    /// The seed of the random numbers.
    pub seed: u64,
    /// File descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// The host list that this balancer used last, before its start.
    pub known_hosts: HostList,
    /// The decision module's settings, and the names behind their numbers.
    pub site: Site,
    /// How long opening a connection to an upstream may take; `None` leaves it to the default.
    pub dial_timeout: Option<Micros>,
    /// How long the balancer may still send new requests to a draining upstream after it was notified of the
    /// drain.
    pub drain_grace: Option<Micros>,
    /// Whether the log has a line for every attempt and every request.
    pub debug_logging: bool,
}

/// The configuration file in its external form.
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

/// The resources that the process may use, in its external form.
#[derive(Deserialize, Default)]
#[serde(default)]
struct RawLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl Config {
    /// Reads the process's environment and the configuration file that it names. Used at start and for every
    /// reload.
    pub fn from_environment() -> Result<Config, String> {
        Config::read(|name| std::env::var(name).ok())
    }

    /// Reads the variables that `var` returns and the configuration file that they name.
    fn read(var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let path = var("GW_CONFIG").ok_or("GW_CONFIG: not set; it names the configuration file")?;
        let text = std::fs::read(&path).map_err(|e| format!("GW_CONFIG: {path}: {e}"))?;
        let raw: RawConfig<'_> = from_json(&text).map_err(|e| format!("{path}: {e}"))?;
        // A variable of the environment takes precedence over the file.
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
            // On sockets a pushed list arrives by a watch, too, and a change counts as known once the
            // balancer's agent has it. The watch is therefore requested at start and, when it ends, again
            // without a pause.
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

/// Computes how long a list may be used without a watch: until the changes that it misses count as known,
/// whatever the settings say. A decision made before then may still wait for a connection and for the
/// processor. The grace period covers this wait; the lease is shortened by what the grace period does not
/// cover.
fn list_lease(settings: &PlatformSettings<'_>) -> Micros {
    /// The longest wait for the processor.
    const MAX_PROCESSING_DELAY: Micros = Micros(150_000);
    let grace = Micros(settings.contract.drain_grace_us.unwrap_or(0));
    let connecting = Micros(settings.limits.dial_timeout_us.unwrap_or(0));
    let known_after = Micros(CHANGE_ASSUMED_KNOWN_AFTER.as_micros() as i64);
    known_after + (grace - MAX_PROCESSING_DELAY - connecting).min(Micros(0))
}

/// Decodes a JSON value. The error names the path of the key at fault.
fn from_json<'a, T: Deserialize<'a>>(json: &'a [u8]) -> Result<T, String> {
    let mut deserializer = serde_json::Deserializer::from_slice(json);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        match error.path().to_string() {
            path if path == "." => error.inner().to_string(),
            path => format!("{path}: {}", error.inner()),
        }
    })?;
    deserializer.end().map_err(|error| error.to_string())?;
    Ok(value)
}

fn effect(grade: &Grade<'_>) -> Effect {
    match &*grade.semantics {
        "safe" => Effect::Safe,
        "keyed" => Effect::Keyed {
            scope: match grade.key_scope.as_deref() {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                _ => DedupScope::Cell,
            },
            window: Micros(grade.window_us.unwrap_or(0)),
        },
        _ => Effect::Unsafe,
    }
}
