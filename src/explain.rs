//! `garnettally explain`: which route a request takes, and what follows from it.

use clap::Args;
use garnettally_config::file::{self, OperatorConfig};
use garnettally_decisions::Effect;
use garnettally_routing::pattern::{Headers, HostPattern, Matcher, RequestView, Segment, ValueTest};
use garnettally_routing::route::{PoolChoice, Route, ValueSource};
use garnettally_routing::stable_hash;
use garnettally_routing::table::PathParams;
use std::fmt::Write;

/// The request to explain.
#[derive(Args)]
pub struct Request {
    /// The operator's file
    file: String,
    /// The method
    #[arg(long, default_value = "GET")]
    method: String,
    /// The host
    #[arg(long, default_value = "")]
    host: String,
    /// The path, with its query if it has one
    #[arg(long)]
    path: String,
    /// A header, as "Name: value"; may stand several times
    #[arg(long = "header", value_name = "NAME: VALUE", value_parser = header)]
    headers: Vec<(String, String)>,
}

fn header(text: &str) -> Result<(String, String), String> {
    let (name, value) = text.split_once(':').ok_or("write it as \"Name: value\"")?;
    Ok((name.trim().to_string(), value.trim().to_string()))
}

struct Given<'a>(&'a [(String, String)]);

impl Headers for Given<'_> {
    fn header(&self, name: &str) -> Option<&str> {
        self.0.header(name)
    }
}

impl Request {
    /// The explanation; the message says why there is none.
    pub fn explain(&self) -> Result<String, String> {
        let operator = file::load(&self.file).map_err(|problems| super::refused(&self.file, &problems))?;
        let given = Given(&self.headers);
        let (path, query) = self.path.split_once('?').unwrap_or((&self.path, ""));
        let s = RequestView { method: &self.method, host: &self.host, path, query, headers: &given };
        match operator.table.find(&s) {
            Some(found) => Ok(told(&operator, &s, found.route_index, &found.params)),
            None => Err(format!("no route of {} matches: it gets 404{}", self.file, nearly(&operator, &s))),
        }
    }
}

/// Routes that fit but for method, headers or query.
fn nearly(o: &OperatorConfig, s: &RequestView<'_>) -> String {
    let host = host_of(s);
    let near =
        o.routes.iter().filter(|(r, _)| r.matcher.host.matches(&host) && r.matcher.path.matches(s.path));
    let names: Vec<&str> = near.map(|(r, _)| r.name.as_str()).take(5).collect();
    match names.is_empty() {
        true => String::new(),
        false => format!("; host and path fit {}, but not method, headers or query", names.join(", ")),
    }
}

fn host_of(s: &RequestView<'_>) -> String {
    let host =
        s.host.rsplit_once(':').filter(|(_, port)| !port.contains(']')).map_or(s.host, |(host, _)| host);
    host.trim_end_matches('.').to_ascii_lowercase()
}

fn told(o: &OperatorConfig, s: &RequestView<'_>, at: usize, params: &PathParams<'_>) -> String {
    let (route, _) = &o.routes[at];
    let mut out = String::new();
    let mut line = |name: &str, value: String| {
        let _ = writeln!(out, "{name:<9} {value}");
    };
    line("route", route.name.clone());
    line("because", matcher(&route.matcher));
    let host = host_of(s);
    let fits = |r: &&Route| {
        r.matcher.host.matches(&host) && r.matcher.path.matches(s.path) && r.matcher.matches_fields(s)
    };
    let mut others: Vec<&Route> =
        o.routes.iter().map(|(r, _)| r).filter(|r| r.name != route.name).filter(fits).collect();
    others.sort_by(|a, b| b.matcher.compare_specificity(&a.matcher));
    for other in others.iter().take(5) {
        line("not", format!("{}: less specific, {}", other.name, matcher(&other.matcher)));
    }
    let effect = match o.class_settings[route.class.0 as usize].effect {
        Effect::Safe => "safe to repeat".to_string(),
        Effect::Keyed { window, .. } => format!("keyed, for {}", ms(window.0)),
        Effect::Unsafe => "never repeated".to_string(),
    };
    line("class", format!("{}: {effect}", o.classes[route.class.0 as usize]));
    let value = |source: &Option<ValueSource>| match source {
        None => ("none: the route names no source".to_string(), None),
        Some(source) => match source.extract(s, params) {
            Some(v) => (format!("{v} (from {})", from(source)), Some(v.into_owned())),
            None => (format!("none: the request has no {}", from(source)), None),
        },
    };
    let (tenant, name) = value(&route.tenant);
    let unknown = name.is_some_and(|n| !o.tenants.contains(&n));
    line("tenant", if unknown { format!("{tenant}: not named in the file, counts as none") } else { tenant });
    let (key, key_text) = value(&route.key);
    line("key", key);
    if key_text.is_none() && matches!(o.class_settings[route.class.0 as usize].effect, Effect::Keyed { .. }) {
        line("answer", "400: its class is keyed, and it has no key".into());
    }
    line(
        "deadline",
        match route.deadline.resolve(s, params) {
            Ok(time) => format!(
                "{} ({} without a word of the client's, {} at the most)",
                ms(time.0),
                ms(route.deadline.default.0),
                ms(route.deadline.ceiling.0)
            ),
            Err(e) => format!("400: {e}"),
        },
    );
    let name = |place: usize| o.pools[place].name.as_str();
    line(
        "pool",
        match &route.pools {
            PoolChoice::Single(pool) => name(*pool).to_string(),
            PoolChoice::Split(split) => {
                let total: f64 = split.parts().iter().map(|p| p.weight).sum();
                let shares = split
                    .parts()
                    .iter()
                    .map(|p| format!("{} {:.1}%", name(p.target), 100.0 * p.weight / total));
                let shares = shares.collect::<Vec<_>>().join(", ");
                match key_text.map(|k| split.choose(stable_hash(0, k.as_bytes()))) {
                    Some(Some(to)) => format!("{}, by its key, of {shares}", name(to)),
                    _ => format!("one of {shares}, by its id"),
                }
            }
            PoolChoice::Failover(list) => {
                let names: Vec<&str> = list.iter().map(|&p| name(p)).collect();
                format!("the first that is well of {}", names.join(", "))
            }
        },
    );
    if let Some(m) = &route.mirror {
        line("mirror", format!("{:.1}% to {}", 100.0 * m.share, name(m.pool)));
    }
    out
}

fn ms(micros: i64) -> String {
    format!("{} ms", micros as f64 / 1e3)
}

fn from(source: &ValueSource) -> String {
    match source {
        ValueSource::Fixed(_) => "the file".into(),
        ValueSource::Header(name) => format!("header {name}"),
        ValueSource::Query(name) => format!("query parameter {name}"),
        ValueSource::Param(at) => format!("path parameter {}", at + 1),
    }
}

fn matcher(m: &Matcher) -> String {
    let host = match &m.host {
        HostPattern::Any => "any host".to_string(),
        HostPattern::Exact(name) => format!("host {name}"),
        HostPattern::Subdomains(domain) => format!("hosts under {domain}"),
    };
    let mut path = String::new();
    for segment in &m.path.segments {
        let _ = match segment {
            Segment::Literal(text) => write!(path, "/{text}"),
            Segment::Param(name) => write!(path, "/{{{name}}}"),
        };
    }
    let kind = if m.path.is_prefix { "paths that begin with" } else { "path" };
    let mut all = vec![host, format!("{kind} {}", if path.is_empty() { "/" } else { &path })];
    if !m.methods.is_empty() {
        all.push(format!("methods {}", m.methods.join(" ")));
    }
    for (what, tests) in [("header", &m.headers), ("query parameter", &m.query)] {
        for t in tests {
            all.push(match &t.test {
                ValueTest::Present => format!("{what} {} present", t.name),
                ValueTest::Absent => format!("{what} {} absent", t.name),
                ValueTest::Equals(v) => format!("{what} {} is {v:?}", t.name),
                ValueTest::StartsWith(v) => format!("{what} {} starts with {v:?}", t.name),
            });
        }
    }
    all.join(", ")
}
