//! Runs the cells of a plan on all cores, and keeps their rows as they end.
//!
//! Rows are appended to `rows.jsonl`, one JSON object a line. A run that was killed goes on from the rows that are
//! whole; a last line that was cut off is taken out. A row belongs to the hash of its world's text, so that rows of a
//! world that has changed since do not count.

use crate::plan::Plan;
use garnettally_emulator::day;
use garnettally_emulator::policy::PolicyKind;
use indicatif::{ProgressBar, ProgressStyle};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The figures of a run that are compared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The case.
    pub case: String,
    /// The hash of its world.
    pub hash: u64,
    /// The policy.
    pub policy: PolicyKind,
    /// The seed.
    pub seed: u64,
    /// Worth earned of what was asked for, 0 to 1.
    pub service: f64,
    /// The same of the worst second.
    pub worst_second: f64,
    /// Requests served in time, a second.
    pub goodput: f64,
    /// Work done for nothing, of all that was done.
    pub waste: f64,
    /// Attempts for each try.
    pub retry_amplification: f64,
    /// The median time of what was served, in milliseconds.
    pub p50_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
    /// Spread of the use of the first tier's nodes.
    pub imbalance: f64,
    /// Rules broken, all together.
    pub broken: u64,
    /// Calls of the policy.
    pub decisions: u64,
    /// Events.
    pub events: u64,
}

fn row(plan: &Plan, cell: (usize, PolicyKind, u64)) -> Row {
    let (case, policy, seed) = (&plan.worlds[cell.0], cell.1, cell.2);
    let r = day::run(&case.world, seed, policy);
    Row {
        case: case.name.clone(),
        hash: case.hash,
        policy,
        seed,
        service: r.service,
        worst_second: r.worst_second,
        goodput: r.goodput,
        waste: r.waste,
        retry_amplification: r.retry_amplification,
        p50_ms: r.latency.p50_ms,
        p99_ms: r.latency.p99_ms,
        imbalance: r.imbalance.first().copied().unwrap_or(0.0),
        broken: r.broken.iter().map(|b| b.1).sum(),
        decisions: r.decisions,
        events: r.events,
    }
}

/// Reads the whole rows of a run before, and cuts off a last line that is not.
fn kept(path: &Path) -> io::Result<Vec<Row>> {
    let Ok(text) = std::fs::read_to_string(path) else { return Ok(Vec::new()) };
    let whole = text.rfind('\n').map_or(0, |at| at + 1);
    if whole < text.len() {
        OpenOptions::new().write(true).open(path)?.set_len(whole as u64)?;
    }
    let rows = text[..whole].lines().filter_map(|l| serde_json::from_str(l).ok());
    Ok(rows.collect())
}

/// Runs what is not there yet, on so many threads; all rows of the plan, in its order.
pub fn run(plan: &Plan, out: &Path, jobs: usize, show: bool) -> io::Result<Vec<Row>> {
    std::fs::create_dir_all(out)?;
    let path = out.join("rows.jsonl");
    let id = |r: &Row| (r.hash, r.policy, r.seed);
    let mut done: BTreeMap<_, Row> = kept(&path)?.into_iter().map(|r| (id(&r), r)).collect();
    let mut cells = Vec::new();
    for case in 0..plan.worlds.len() {
        for &policy in &plan.policies {
            cells.extend(plan.seeds.iter().map(|&seed| (case, policy, seed)));
        }
    }
    let key = |c: &(usize, PolicyKind, u64)| (plan.worlds[c.0].hash, c.1, c.2);
    let todo: Vec<_> = cells.iter().filter(|c| !done.contains_key(&key(c))).copied().collect();
    let bar = if show { ProgressBar::new(cells.len() as u64) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} cells, {elapsed} gone, {eta} to go")
    {
        bar.set_style(style);
    }
    bar.set_position((cells.len() - todo.len()) as u64);
    let file = Mutex::new(OpenOptions::new().create(true).append(true).open(&path)?);
    let next = AtomicUsize::new(0);
    let new = Mutex::new(Vec::new());
    let worker = || -> io::Result<()> {
        while let Some(&cell) = todo.get(next.fetch_add(1, Ordering::Relaxed)) {
            let row = row(plan, cell);
            let mut line = serde_json::to_vec(&row)?;
            line.push(b'\n');
            append(&file, &line)?;
            new.lock().unwrap_or_else(|e| e.into_inner()).push(row);
            bar.inc(1);
        }
        Ok(())
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(worker)).collect();
        let ends = threads
            .into_iter()
            .map(|t| t.join().unwrap_or_else(|_| Err(io::Error::other("a run has panicked"))));
        ends.collect::<io::Result<Vec<()>>>()
    })?;
    bar.finish();
    for r in new.into_inner().unwrap_or_else(|e| e.into_inner()) {
        done.insert(id(&r), r);
    }
    Ok(cells.iter().filter_map(|c| done.get(&key(c)).cloned()).collect())
}

/// A line in one write, so that a kill leaves at the most one line cut off.
fn append(file: &Mutex<File>, line: &[u8]) -> io::Result<()> {
    file.lock().unwrap_or_else(|e| e.into_inner()).write_all(line)
}
