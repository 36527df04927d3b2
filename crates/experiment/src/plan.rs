//! The plan of an experiment.

use garnettally_emulator::policy::PolicyKind;
use garnettally_emulator::world::World;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// A plan, as written in its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanFile {
    /// The version of this format: 1.
    version: u32,
    /// The name of the experiment.
    name: String,
    /// The files of the worlds, with paths from the plan's folder.
    worlds: Vec<PathBuf>,
    /// The policies; the others are compared with the first. Default: all.
    #[serde(default)]
    policies: Vec<PolicyKind>,
    /// The number of seeds, 1 to 10000. Default: 5.
    #[serde(default = "five")]
    seeds: u64,
    /// The first seed; the others follow it one by one. Default: 1.
    #[serde(default = "one")]
    first_seed: u64,
    /// Sets of changes to the worlds; every world runs under every set. Default: the worlds run unchanged.
    #[serde(default)]
    settings: Vec<Setting>,
}

fn five() -> u64 {
    5
}
fn one() -> u64 {
    1
}

/// A set of changes to a world.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Setting {
    /// The name of the set, appended to the world's name.
    name: String,
    /// Values by their dotted keys, in which numbers are array indexes.
    set: BTreeMap<String, toml::Value>,
}

/// A plan with its worlds read and its changes applied.
pub struct Plan {
    /// The name of the experiment.
    pub name: String,
    /// The worlds, each under each set of changes.
    pub cases: Vec<Case>,
    /// The policies; the others are compared with the first.
    pub policies: Vec<PolicyKind>,
    /// The seeds with which each case and policy runs.
    pub seeds: Vec<u64>,
}

/// A world under a set of changes.
pub struct Case {
    /// The name of the world, followed by that of the set of changes.
    pub name: String,
    /// The world with the changes applied.
    pub world: World,
    /// A hash of the changed world's text. It distinguishes this case from one of the same name in an earlier
    /// run.
    pub hash: u64,
}

/// Why a plan can't be run.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// A file can't be read.
    #[error("{0}: {1}")]
    Read(PathBuf, std::io::Error),
    /// A file is not valid: no TOML, or with unknown, missing or wrong keys or values.
    #[error("{0}: {1}")]
    Text(PathBuf, String),
    /// A value of the plan is out of range or contradicts another.
    #[error("{key}: {what}")]
    Value {
        /// The key concerned.
        key: String,
        /// What is wrong.
        what: String,
    },
}

impl Plan {
    /// Reads a plan and the worlds that it names, whose paths are taken from the plan's folder.
    pub fn load(path: &Path) -> Result<Plan, PlanError> {
        let read = |path: &Path| std::fs::read_to_string(path).map_err(|e| PlanError::Read(path.into(), e));
        let invalid = |key: &str, what: &str| PlanError::Value { key: key.into(), what: what.into() };
        let plan: PlanFile =
            toml::from_str(&read(path)?).map_err(|e| PlanError::Text(path.into(), e.to_string()))?;
        if plan.version != 1 {
            return Err(invalid("version", "this program reads 1"));
        }
        if plan.worlds.is_empty() || plan.seeds == 0 || plan.seeds > 10_000 {
            return Err(invalid("worlds, seeds", "needs at least one world, and 1 to 10000 seeds"));
        }
        let folder = path.parent().unwrap_or(Path::new("."));
        let unchanged = [Setting { name: String::new(), set: BTreeMap::new() }];
        let settings = if plan.settings.is_empty() { &unchanged[..] } else { &plan.settings };
        let mut cases = Vec::new();
        for file in &plan.worlds {
            let file = folder.join(file);
            let source = read(&file)?;
            let table: toml::Table =
                toml::from_str(&source).map_err(|e| PlanError::Text(file.clone(), e.to_string()))?;
            for setting in settings {
                let mut table = toml::Value::Table(table.clone());
                for (key, value) in &setting.set {
                    set_value(&mut table, key, value.clone()).map_err(|what| PlanError::Value {
                        key: format!("settings.{}.{key}", setting.name),
                        what,
                    })?;
                }
                let changed = table.to_string();
                let text =
                    toml::to_string(&table).map_err(|e| PlanError::Text(file.clone(), e.to_string()))?;
                let world = World::parse(&text).map_err(|e| PlanError::Text(file.clone(), e.to_string()))?;
                let name = match setting.name.is_empty() {
                    true => world.name.clone(),
                    false => format!("{} {}", world.name, setting.name),
                };
                if cases.iter().any(|c: &Case| c.name == name) {
                    return Err(invalid("worlds, settings", &format!("two cases are called {name:?}")));
                }
                cases.push(Case { name, world, hash: xxhash_rust::xxh3::xxh3_64(changed.as_bytes()) });
            }
        }
        let policies = if plan.policies.is_empty() { PolicyKind::ALL.to_vec() } else { plan.policies };
        let seeds = (plan.first_seed..plan.first_seed + plan.seeds).collect();
        Ok(Plan { name: plan.name, cases, policies, seeds })
    }
}

/// Sets the value at a dotted key. The last part of the key may be new; the parts before must exist.
fn set_value(root: &mut toml::Value, key: &str, value: toml::Value) -> Result<(), String> {
    let mut parent = root;
    let parts: Vec<&str> = key.split('.').collect();
    let (last, before) = parts.split_last().ok_or("the key is empty")?;
    for part in before {
        parent = match parent {
            toml::Value::Table(t) => t.get_mut(*part).ok_or(format!("the world has no {part}"))?,
            toml::Value::Array(a) => {
                let index: usize = part.parse().map_err(|_| format!("{part} is not an array index"))?;
                a.get_mut(index).ok_or(format!("the array has no index {index}"))?
            }
            _ => return Err(format!("{part} lies within a value that is no table or array")),
        };
    }
    match parent {
        toml::Value::Table(t) => drop(t.insert(last.to_string(), value)),
        toml::Value::Array(a) => {
            let index: usize = last.parse().map_err(|_| format!("{last} is not an array index"))?;
            *a.get_mut(index).ok_or(format!("the array has no index {index}"))? = value;
        }
        _ => return Err(format!("{last} lies within a value that is no table or array")),
    }
    Ok(())
}

#[cfg(test)]
#[path = "plan_tests.rs"]
mod tests;
