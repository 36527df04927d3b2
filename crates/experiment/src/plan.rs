//! The plan of an experiment.

use garnettally_emulator::policy::PolicyKind;
use garnettally_emulator::world::World;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// A plan, as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    version: u32,
    name: String,
    /// Files of worlds, beside the plan.
    worlds: Vec<PathBuf>,
    #[serde(default)]
    policies: Vec<PolicyKind>,
    #[serde(default = "five")]
    seeds: u64,
    #[serde(default = "one")]
    first_seed: u64,
    /// Changes of the worlds; every world runs under every one of them.
    #[serde(default)]
    settings: Vec<Setting>,
}

fn five() -> u64 {
    5
}
fn one() -> u64 {
    1
}

/// Changes of a world: dotted keys, array places as numbers, and their values.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Setting {
    name: String,
    set: BTreeMap<String, toml::Value>,
}

/// A plan with its worlds read and changed.
pub struct Plan {
    /// Its name.
    pub name: String,
    /// What runs: worlds under settings.
    pub worlds: Vec<Case>,
    /// The policies; the first is what the others are compared with.
    pub policies: Vec<PolicyKind>,
    /// The seeds.
    pub seeds: Vec<u64>,
}

/// A world under a setting.
pub struct Case {
    /// The names of both.
    pub name: String,
    /// The world.
    pub world: World,
    /// What tells this case from another of the same name in a run before: a hash of its text.
    pub hash: u64,
}

/// Why a plan can't be run.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// A file can't be read.
    #[error("{0}: {1}")]
    Read(PathBuf, std::io::Error),
    /// A file can't be understood.
    #[error("{0}: {1}")]
    Text(PathBuf, String),
    /// A value makes no sense.
    #[error("{key}: {what}")]
    Value {
        /// The key.
        key: String,
        /// What is wrong.
        what: String,
    },
}

impl Plan {
    /// Reads a plan and the worlds that it names, which are looked for beside it.
    pub fn load(path: &Path) -> Result<Plan, PlanError> {
        let read = |path: &Path| std::fs::read_to_string(path).map_err(|e| PlanError::Read(path.into(), e));
        let wrong = |key: &str, what: &str| PlanError::Value { key: key.into(), what: what.into() };
        let text: Text =
            toml::from_str(&read(path)?).map_err(|e| PlanError::Text(path.into(), e.to_string()))?;
        if text.version != 1 {
            return Err(wrong("version", "this program reads 1"));
        }
        if text.worlds.is_empty() || text.seeds == 0 || text.seeds > 10_000 {
            return Err(wrong("worlds, seeds", "one world at the least, and 1 to 10000 seeds"));
        }
        let beside = path.parent().unwrap_or(Path::new("."));
        let plain = [Setting { name: String::new(), set: BTreeMap::new() }];
        let settings = if text.settings.is_empty() { &plain[..] } else { &text.settings };
        let mut cases = Vec::new();
        for file in &text.worlds {
            let file = beside.join(file);
            let source = read(&file)?;
            let table: toml::Table =
                toml::from_str(&source).map_err(|e| PlanError::Text(file.clone(), e.to_string()))?;
            for s in settings {
                let mut table = toml::Value::Table(table.clone());
                for (key, value) in &s.set {
                    set(&mut table, key, value.clone()).map_err(|what| PlanError::Value {
                        key: format!("settings.{}.{key}", s.name),
                        what,
                    })?;
                }
                let changed = table.to_string();
                let text =
                    toml::to_string(&table).map_err(|e| PlanError::Text(file.clone(), e.to_string()))?;
                let world = World::parse(&text).map_err(|e| PlanError::Text(file.clone(), e.to_string()))?;
                let name = match s.name.is_empty() {
                    true => world.name.clone(),
                    false => format!("{} {}", world.name, s.name),
                };
                if cases.iter().any(|c: &Case| c.name == name) {
                    return Err(wrong("worlds, settings", &format!("two cases are called {name:?}")));
                }
                cases.push(Case { name, world, hash: xxhash_rust::xxh3::xxh3_64(changed.as_bytes()) });
            }
        }
        let policies = if text.policies.is_empty() { PolicyKind::ALL.to_vec() } else { text.policies };
        let seeds = (text.first_seed..text.first_seed + text.seeds).collect();
        Ok(Plan { name: text.name, worlds: cases, policies, seeds })
    }
}

/// Sets the value at a dotted key; the key's last name may be new, what leads to it may not.
fn set(root: &mut toml::Value, key: &str, value: toml::Value) -> Result<(), String> {
    let mut here = root;
    let steps: Vec<&str> = key.split('.').collect();
    let (last, before) = steps.split_last().ok_or("no key")?;
    for step in before {
        here = match here {
            toml::Value::Table(t) => t.get_mut(*step).ok_or(format!("the world has no {step}"))?,
            toml::Value::Array(a) => {
                let at: usize = step.parse().map_err(|_| format!("{step} is no place of an array"))?;
                a.get_mut(at).ok_or(format!("there is no place {at}"))?
            }
            _ => return Err(format!("{step} lies within a plain value")),
        };
    }
    match here {
        toml::Value::Table(t) => drop(t.insert(last.to_string(), value)),
        toml::Value::Array(a) => {
            let at: usize = last.parse().map_err(|_| format!("{last} is no place of an array"))?;
            *a.get_mut(at).ok_or(format!("there is no place {at}"))? = value;
        }
        _ => return Err(format!("{last} lies within a plain value")),
    }
    Ok(())
}

#[cfg(test)]
#[path = "plan_tests.rs"]
mod tests;
