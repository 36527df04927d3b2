//! The mix of requests of a load: kinds of request and tenants, by shares.
//!
//! Paths and headers may contain placeholders: `{id}` (an id of its own for each request), `{n}` (the
//! request's number), `{tenant}` and `{key}`.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::collections::BTreeMap;

/// A mix of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// The version of this format: 1.
    pub version: u32,
    /// The kinds of request.
    pub requests: Vec<RequestKind>,
    /// The tenants and their shares; only the ratios count.
    #[serde(default)]
    pub tenants: BTreeMap<String, f64>,
}

/// A kind of request in a mix.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// The name of the kind, shown in results.
    pub name: String,
    /// The share of all requests that are of this kind; only the ratios count. Default: 1.
    #[serde(default = "one")]
    pub share: f64,
    /// The method. Default: GET.
    #[serde(default = "get")]
    pub method: String,
    /// The path and the query, with placeholders.
    pub path: String,
    /// Additional headers; their values may contain placeholders.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// The length of the body, in bytes. Default: 0; at most 64 MiB.
    #[serde(default)]
    pub body_bytes: usize,
    /// The number of different values of `{key}`; 0, the default: each request has a key of its own.
    #[serde(default)]
    pub keys: u64,
    /// Good responses within this, in milliseconds, are counted as in time. Default: all good responses are.
    #[serde(default)]
    pub aim_ms: Option<f64>,
}

fn one() -> f64 {
    1.0
}
fn get() -> String {
    "GET".into()
}

/// Why a mix can't be used.
#[derive(Debug, thiserror::Error)]
pub enum MixError {
    /// The text is not TOML, or has unknown, missing or mistyped keys.
    #[error("{0}")]
    Read(String),
    /// A value is out of range: the key, and what is expected.
    #[error("{0}: {1}")]
    Value(String, &'static str),
}

impl Mix {
    /// A mix of a single kind, GET of a path, with a `Req-Id` header.
    pub fn single_get(path: &str) -> Mix {
        let kind = RequestKind {
            name: "all".into(),
            share: 1.0,
            method: get(),
            path: path.into(),
            headers: [("Req-Id".to_string(), "{id}".to_string())].into(),
            body_bytes: 0,
            keys: 0,
            aim_ms: None,
        };
        Mix { version: 1, requests: vec![kind], tenants: BTreeMap::new() }
    }

    /// Parses and checks the text of a mix.
    pub fn parse(text: &str) -> Result<Mix, MixError> {
        let mix: Mix = toml::from_str(text).map_err(|e| MixError::Read(e.to_string()))?;
        let invalid = |key: &str, what| Err(MixError::Value(key.to_string(), what));
        if mix.version != 1 {
            return invalid("version", "this program reads 1");
        }
        if !mix.requests.iter().any(|k| k.share > 0.0)
            || mix.requests.iter().any(|k| !(0.0..1e9).contains(&k.share))
        {
            return invalid(
                "requests",
                "needs at least one kind with a share above 0, and shares from 0 to below 1e9",
            );
        }
        for (i, k) in mix.requests.iter().enumerate() {
            let is_printable = |s: &str| s.bytes().all(|b| b > b' ' && b < 127);
            if !is_printable(&k.method)
                || k.method.is_empty()
                || !is_printable(&k.path)
                || !k.path.starts_with('/')
            {
                return invalid(
                    &format!("requests[{i}]"),
                    "needs a method, and a path that begins with '/', both without spaces",
                );
            }
            let is_valid_header = |(n, v): (&String, &String)| {
                is_printable(n)
                    && !n.contains(':')
                    && !n.is_empty()
                    && v.bytes().all(|b| b >= b' ' && b != 127)
            };
            if !k.headers.iter().all(is_valid_header) {
                return invalid(
                    &format!("requests[{i}].headers"),
                    "has a name or a value that an HTTP header can't have",
                );
            }
            if k.body_bytes > 64 << 20 {
                return invalid(&format!("requests[{i}].body_bytes"), "is more than 64 MiB");
            }
        }
        Ok(mix)
    }

    /// Appends request `number` of the run `run` to `out`, and returns the index of its kind. `run` makes ids
    /// and keys differ between runs.
    pub fn write_request(
        &self,
        number: u64,
        run: u64,
        host: &str,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<u8>,
    ) -> usize {
        let mut unit = || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let kind = weighted_index(self.requests.iter().map(|k| k.share), unit());
        let tenant = weighted_index(self.tenants.values().copied(), unit());
        let tenant = self.tenants.keys().nth(tenant).map_or("", String::as_str);
        let k = &self.requests[kind];
        let key = match k.keys {
            0 => format!("{run:08x}{number:016x}"),
            keys => format!("{run:08x}{:016x}", (unit() * keys as f64) as u64),
        };
        let id = format!("{run:08x}-{number:x}");
        let fill = |text: &str| match text.contains('{') {
            true => text
                .replace("{id}", &id)
                .replace("{n}", &number.to_string())
                .replace("{tenant}", tenant)
                .replace("{key}", &key),
            false => text.to_string(),
        };
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", k.method, fill(&k.path));
        for (name, value) in &k.headers {
            head += &format!("{name}: {}\r\n", fill(value));
        }
        if k.body_bytes > 0 || !matches!(k.method.as_str(), "GET" | "HEAD") {
            head += &format!("Content-Length: {}\r\n", k.body_bytes);
        }
        out.extend_from_slice(head.as_bytes());
        out.extend_from_slice(b"\r\n");
        out.resize(out.len() + k.body_bytes, b'x');
        kind
    }
}

/// Returns the index on which a number from 0 to below 1 falls if each index has a stretch as long as its
/// weight.
fn weighted_index(weights: impl Iterator<Item = f64> + Clone, unit: f64) -> usize {
    let mut remaining = unit * weights.clone().sum::<f64>();
    let mut last = 0;
    for (i, w) in weights.enumerate().filter(|(_, w)| *w > 0.0) {
        last = i;
        remaining -= w;
        if remaining < 0.0 {
            break;
        }
    }
    last
}

#[cfg(test)]
#[path = "mix_tests.rs"]
mod tests;
