//! What is asked, by shares.
//!
//! In paths, headers and bodies stand placeholders: `{id}` (a fresh id for each request), `{n}` (its number), `{tenant}`
//! and `{key}`.

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
    pub requests: Vec<Kind>,
    /// Tenants and their shares.
    #[serde(default)]
    pub tenants: BTreeMap<String, f64>,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name, in results.
    pub name: String,
    /// Its part of all; only ratios count.
    #[serde(default = "one")]
    pub share: f64,
    /// Its method.
    #[serde(default = "get")]
    pub method: String,
    /// Its path and query.
    pub path: String,
    /// Its headers.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// The length of its body.
    #[serde(default)]
    pub body_bytes: usize,
    /// Different keys; 0: each request has a key of its own.
    #[serde(default)]
    pub keys: u64,
    /// Good answers within this, in milliseconds, are counted as in time. Default: all of them.
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
    /// It can't be understood.
    #[error("{0}")]
    Read(String),
    /// A value makes no sense.
    #[error("{0}: {1}")]
    Value(String, &'static str),
}

impl Mix {
    /// One kind: GET of a path.
    pub fn plain(path: &str) -> Mix {
        let kind = Kind {
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

    /// Reads and checks a mix.
    pub fn parse(text: &str) -> Result<Mix, MixError> {
        let mix: Mix = toml::from_str(text).map_err(|e| MixError::Read(e.to_string()))?;
        let wrong = |key: &str, what| Err(MixError::Value(key.to_string(), what));
        if mix.version != 1 {
            return wrong("version", "this program reads 1");
        }
        if !mix.requests.iter().any(|k| k.share > 0.0)
            || mix.requests.iter().any(|k| !(0.0..1e9).contains(&k.share))
        {
            return wrong("requests", "one kind at the least with a share above 0");
        }
        for (i, k) in mix.requests.iter().enumerate() {
            let clean = |s: &str| s.bytes().all(|b| b > b' ' && b < 127);
            if !clean(&k.method) || k.method.is_empty() || !clean(&k.path) || !k.path.starts_with('/') {
                return wrong(
                    &format!("requests[{i}]"),
                    "a method, and a path that begins with '/', without spaces",
                );
            }
            let header = |(n, v): (&String, &String)| {
                clean(n) && !n.contains(':') && !n.is_empty() && v.bytes().all(|b| b >= b' ' && b != 127)
            };
            if !k.headers.iter().all(header) {
                return wrong(&format!("requests[{i}].headers"), "names and values that can stand in a head");
            }
            if k.body_bytes > 64 << 20 {
                return wrong(&format!("requests[{i}].body_bytes"), "64 MiB are the most");
            }
        }
        Ok(mix)
    }

    /// Writes the next request, and says which kind it is.
    pub fn write(&self, n: u64, run: u64, host: &str, rng: &mut ChaCha8Rng, out: &mut Vec<u8>) -> usize {
        let mut unit = || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let kind = pick(self.requests.iter().map(|k| k.share), unit());
        let tenant = pick(self.tenants.values().copied(), unit());
        let tenant = self.tenants.keys().nth(tenant).map_or("", String::as_str);
        let k = &self.requests[kind];
        let key = match k.keys {
            0 => format!("{run:08x}{n:016x}"),
            keys => format!("{run:08x}{:016x}", (unit() * keys as f64) as u64),
        };
        let id = format!("{run:08x}-{n:x}");
        let fill = |text: &str| match text.contains('{') {
            true => text
                .replace("{id}", &id)
                .replace("{n}", &n.to_string())
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

/// The place that a number from 0 to 1 falls on.
fn pick(weights: impl Iterator<Item = f64> + Clone, unit: f64) -> usize {
    let mut at = unit * weights.clone().sum::<f64>();
    let mut last = 0;
    for (i, w) in weights.enumerate().filter(|(_, w)| *w > 0.0) {
        last = i;
        at -= w;
        if at < 0.0 {
            break;
        }
    }
    last
}

#[cfg(test)]
#[path = "mix_tests.rs"]
mod tests;
