//! `garnettally explain` shows which route a request takes, and the class, tenant, key and pools that follow
//! from it.

use clap::Args;
use garnettally_config::file::{self, OperatorConfig};
use garnettally_decisions::Effect;
use garnettally_routing::pattern::{Headers, HostPattern, Matcher, RequestView, Segment, ValueTest};
use garnettally_routing::route::{PoolChoice, Route, ValueSource};
use garnettally_routing::stable_hash;
use garnettally_routing::table::PathParams;
use std::fmt::Write;

/// Describes the request to explain.
#[derive(Args)]
pub struct Request {
    /// Path of the operator's file
    file: String,
    /// Method of the request
    #[arg(long, default_value = "GET")]
    method: String,
    /// Host that the request names
    #[arg(long, default_value = "")]
    host: String,
    /// Path of the request, with its query if it has one
    #[arg(long)]
    path: String,
    /// Header of the request, as "Name: value"; may be given several times
    #[arg(long = "header", value_name = "NAME: VALUE", value_parser = parse_header)]
    headers: Vec<(String, String)>,
}

fn parse_header(text: &str) -> Result<(String, String), String> {
    let (name, value) = text.split_once(':').ok_or("write the header as \"Name: value\"")?;
    Ok((name.trim().to_string(), value.trim().to_string()))
}

struct GivenHeaders<'a>(&'a [(String, String)]);

impl Headers for GivenHeaders<'_> {
    fn header(&self, name: &str) -> Option<&str> {
        self.0.header(name)
    }
}

impl Request {
    /// Returns the explanation. It is an error when the file is refused or no route matches.
    pub fn explain(&self) -> Result<String, String> {
        let operator =
            file::load(&self.file).map_err(|problems| super::refusal_message(&self.file, &problems))?;
        let headers = GivenHeaders(&self.headers);
        let (path, query) = self.path.split_once('?').unwrap_or((&self.path, ""));
        let request = RequestView { method: &self.method, host: &self.host, path, query, headers: &headers };
        match operator.table.find(&request) {
            Some(found) => Ok(explanation(&operator, &request, found.route_index, &found.params)),
            None => Err(format!(
                "no route of {} matches: it gets 404{}",
                self.file,
                near_misses(&operator, &request)
            )),
        }
    }
}

/// Names up to five routes that match host and path of the request, but not its method, headers or query.
fn near_misses(operator: &OperatorConfig, request: &RequestView<'_>) -> String {
    let host = normalized_host(request);
    let matching = operator
        .routes
        .iter()
        .filter(|(r, _)| r.matcher.host.matches(&host) && r.matcher.path.matches(request.path));
    let names: Vec<&str> = matching.map(|(r, _)| r.name.as_str()).take(5).collect();
    match names.is_empty() {
        true => String::new(),
        false => format!("; host and path fit {}, but not method, headers or query", names.join(", ")),
    }
}

fn normalized_host(request: &RequestView<'_>) -> String {
    let host = request
        .host
        .rsplit_once(':')
        .filter(|(_, port)| !port.contains(']'))
        .map_or(request.host, |(host, _)| host);
    host.trim_end_matches('.').to_ascii_lowercase()
}

fn explanation(
    operator: &OperatorConfig,
    request: &RequestView<'_>,
    route_index: usize,
    params: &PathParams<'_>,
) -> String {
    let (route, _) = &operator.routes[route_index];
    let mut out = String::new();
    let mut line = |name: &str, value: String| {
        let _ = writeln!(out, "{name:<9} {value}");
    };
    line("route", route.name.clone());
    line("because", describe_matcher(&route.matcher));
    let host = normalized_host(request);
    let also_matches = |r: &&Route| {
        r.matcher.host.matches(&host)
            && r.matcher.path.matches(request.path)
            && r.matcher.matches_fields(request)
    };
    let mut others: Vec<&Route> = operator
        .routes
        .iter()
        .map(|(r, _)| r)
        .filter(|r| r.name != route.name)
        .filter(also_matches)
        .collect();
    others.sort_by(|a, b| b.matcher.compare_specificity(&a.matcher));
    for other in others.iter().take(5) {
        line("not", format!("{}: less specific, {}", other.name, describe_matcher(&other.matcher)));
    }
    let effect = match operator.class_settings[route.class.0 as usize].effect {
        Effect::Safe => "safe to repeat".to_string(),
        Effect::Keyed { window, .. } => format!("keyed, for {}", format_ms(window.0)),
        Effect::Unsafe => "never repeated".to_string(),
    };
    line("class", format!("{}: {effect}", operator.classes[route.class.0 as usize]));
    let value = |source: &Option<ValueSource>| match source {
        None => ("none: the route names no source".to_string(), None),
        Some(source) => match source.extract(request, params) {
            Some(v) => (format!("{v} (from {})", describe_source(source)), Some(v.into_owned())),
            None => (format!("none: the request has no {}", describe_source(source)), None),
        },
    };
    let (tenant, tenant_name) = value(&route.tenant);
    let unknown = tenant_name.is_some_and(|name| !operator.tenants.contains(&name));
    line("tenant", if unknown { format!("{tenant}: not named in the file, counts as none") } else { tenant });
    let (key, key_text) = value(&route.key);
    line("key", key);
    if key_text.is_none()
        && matches!(operator.class_settings[route.class.0 as usize].effect, Effect::Keyed { .. })
    {
        line("answer", "400: its class is keyed, and it has no key".into());
    }
    line(
        "deadline",
        match route.deadline.resolve(request, params) {
            Ok(time) => format!(
                "{} ({} when the client sends none, {} at the most)",
                format_ms(time.0),
                format_ms(route.deadline.default.0),
                format_ms(route.deadline.ceiling.0)
            ),
            Err(e) => format!("400: {e}"),
        },
    );
    let pool_name = |index: usize| operator.pools[index].name.as_str();
    line(
        "pool",
        match &route.pools {
            PoolChoice::Single(pool) => pool_name(*pool).to_string(),
            PoolChoice::Split(split) => {
                let total: f64 = split.parts().iter().map(|part| part.weight).sum();
                let shares = split
                    .parts()
                    .iter()
                    .map(|part| format!("{} {:.1}%", pool_name(part.target), 100.0 * part.weight / total));
                let shares = shares.collect::<Vec<_>>().join(", ");
                match key_text.map(|k| split.choose(stable_hash(0, k.as_bytes()))) {
                    Some(Some(pool)) => format!("{}, by its key, of {shares}", pool_name(pool)),
                    _ => format!("one of {shares}, by its id"),
                }
            }
            PoolChoice::Failover(list) => {
                let names: Vec<&str> = list.iter().map(|&pool| pool_name(pool)).collect();
                format!("the first healthy one of {}", names.join(", "))
            }
        },
    );
    if let Some(mirror) = &route.mirror {
        line("mirror", format!("{:.1}% to {}", 100.0 * mirror.share, pool_name(mirror.pool)));
    }
    out
}

fn format_ms(micros: i64) -> String {
    format!("{} ms", micros as f64 / 1e3)
}

fn describe_source(source: &ValueSource) -> String {
    match source {
        ValueSource::Fixed(_) => "the file".into(),
        ValueSource::Header(name) => format!("header {name}"),
        ValueSource::Query(name) => format!("query parameter {name}"),
        ValueSource::Param(at) => format!("path parameter {}", at + 1),
    }
}

fn describe_matcher(matcher: &Matcher) -> String {
    let host = match &matcher.host {
        HostPattern::Any => "any host".to_string(),
        HostPattern::Exact(name) => format!("host {name}"),
        HostPattern::Subdomains(domain) => format!("hosts under {domain}"),
    };
    let mut path = String::new();
    for segment in &matcher.path.segments {
        let _ = match segment {
            Segment::Literal(text) => write!(path, "/{text}"),
            Segment::Param(name) => write!(path, "/{{{name}}}"),
        };
    }
    let kind = if matcher.path.is_prefix { "paths that begin with" } else { "path" };
    let mut conditions = vec![host, format!("{kind} {}", if path.is_empty() { "/" } else { &path })];
    if !matcher.methods.is_empty() {
        conditions.push(format!("methods {}", matcher.methods.join(" ")));
    }
    for (what, tests) in [("header", &matcher.headers), ("query parameter", &matcher.query)] {
        for test in tests {
            conditions.push(match &test.test {
                ValueTest::Present => format!("{what} {} present", test.name),
                ValueTest::Absent => format!("{what} {} absent", test.name),
                ValueTest::Equals(v) => format!("{what} {} is {v:?}", test.name),
                ValueTest::StartsWith(v) => format!("{what} {} starts with {v:?}", test.name),
            });
        }
    }
    conditions.join(", ")
}
