//! Runs the cells of a plan on all cores, and stores their rows as they end.
//!
//! Rows are appended to `rows.jsonl`, one JSON object a line. A run that was killed resumes from the complete
//! rows; an incomplete last line is removed. A row holds the hash of its world's text, so that rows of a
//! world that was changed since are not used.

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

/// The results of one cell, a run of a case under a policy and a seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The name of the case.
    pub case: String,
    /// The hash of the case's world.
    pub hash: u64,
    /// The policy of the run.
    pub policy: PolicyKind,
    /// The seed of the run.
    pub seed: u64,
    /// The worth of the requests served, as a share of the worth of all requests; 0 to 1.
    pub service: f64,
    /// The value of `service` in the worst second.
    pub worst_second: f64,
    /// Requests served in time, per second.
    pub goodput: f64,
    /// The share of the nodes' work that was done for nothing.
    pub waste: f64,
    /// The number of attempts of the first tier's balancers per try of a client.
    pub retry_amplification: f64,
    /// The median latency of the requests served, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of that latency, in milliseconds.
    pub p99_ms: f64,
    /// The coefficient of variation of the use of the first tier's nodes.
    pub imbalance: f64,
    /// The number of violations of rules, of all rules together.
    pub broken: u64,
    /// The number of calls of the policy.
    pub decisions: u64,
    /// The number of events in the emulation.
    pub events: u64,
}

/// Runs a cell, which is the index of a case, a policy and a seed.
fn run_cell(plan: &Plan, cell: (usize, PolicyKind, u64)) -> Row {
    let (case, policy, seed) = (&plan.cases[cell.0], cell.1, cell.2);
    let report = day::run(&case.world, seed, policy);
    Row {
        case: case.name.clone(),
        hash: case.hash,
        policy,
        seed,
        service: report.service,
        worst_second: report.worst_second,
        goodput: report.goodput,
        waste: report.waste,
        retry_amplification: report.retry_amplification,
        p50_ms: report.latency.p50_ms,
        p99_ms: report.latency.p99_ms,
        imbalance: report.imbalance.first().copied().unwrap_or(0.0),
        broken: report.broken.iter().map(|b| b.1).sum(),
        decisions: report.decisions,
        events: report.events,
    }
}

/// Reads the complete rows of earlier runs, and removes an incomplete last line from the file.
fn read_rows(path: &Path) -> io::Result<Vec<Row>> {
    let Ok(text) = std::fs::read_to_string(path) else { return Ok(Vec::new()) };
    let complete = text.rfind('\n').map_or(0, |at| at + 1);
    if complete < text.len() {
        OpenOptions::new().write(true).open(path)?.set_len(complete as u64)?;
    }
    let rows = text[..complete].lines().filter_map(|l| serde_json::from_str(l).ok());
    Ok(rows.collect())
}

/// Runs the cells that have no row in the folder `out` yet, on `jobs` threads, and shows a progress bar on
/// `show`. Returns all rows of the plan, in its order.
pub fn run(plan: &Plan, out: &Path, jobs: usize, show: bool) -> io::Result<Vec<Row>> {
    std::fs::create_dir_all(out)?;
    let path = out.join("rows.jsonl");
    let id = |r: &Row| (r.hash, r.policy, r.seed);
    let mut done: BTreeMap<_, Row> = read_rows(&path)?.into_iter().map(|r| (id(&r), r)).collect();
    let mut cells = Vec::new();
    for case in 0..plan.cases.len() {
        for &policy in &plan.policies {
            cells.extend(plan.seeds.iter().map(|&seed| (case, policy, seed)));
        }
    }
    let key = |c: &(usize, PolicyKind, u64)| (plan.cases[c.0].hash, c.1, c.2);
    let todo: Vec<_> = cells.iter().filter(|c| !done.contains_key(&key(c))).copied().collect();
    let bar = if show { ProgressBar::new(cells.len() as u64) } else { ProgressBar::hidden() };
    if let Ok(style) =
        ProgressStyle::with_template("{bar:40} {pos}/{len} cells, {elapsed} elapsed, {eta} left")
    {
        bar.set_style(style);
    }
    bar.set_position((cells.len() - todo.len()) as u64);
    let file = Mutex::new(OpenOptions::new().create(true).append(true).open(&path)?);
    let next = AtomicUsize::new(0);
    let new = Mutex::new(Vec::new());
    let worker = || -> io::Result<()> {
        while let Some(&cell) = todo.get(next.fetch_add(1, Ordering::Relaxed)) {
            let row = run_cell(plan, cell);
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
        let ends = threads.into_iter().map(|t| {
            t.join()
                .unwrap_or_else(|_| Err(io::Error::other("a worker thread of the experiment has panicked")))
        });
        ends.collect::<io::Result<Vec<()>>>()
    })?;
    bar.finish();
    for r in new.into_inner().unwrap_or_else(|e| e.into_inner()) {
        done.insert(id(&r), r);
    }
    Ok(cells.iter().filter_map(|c| done.get(&key(c)).cloned()).collect())
}

/// Appends a line in one write, so that a kill leaves at most one incomplete line.
fn append(file: &Mutex<File>, line: &[u8]) -> io::Result<()> {
    file.lock().unwrap_or_else(|e| e.into_inner()).write_all(line)
}
