//! `garnettally members`: the fleet as a running process sees it.

use clap::Args;
use garnettally_drill::http;
use serde_json::Value;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

/// Ask a running process for the members of its fleet
#[derive(Args)]
pub struct Members {
    /// Its admin address
    admin: SocketAddr,
    /// Print JSON instead of a table
    #[arg(long)]
    json: bool,
}

/// How long an answer may take in all.
const PATIENCE: Duration = Duration::from_secs(2);

impl Members {
    /// Asks, and gives what is to be printed.
    pub fn run(&self) -> Result<String, String> {
        let told = |e: &str| format!("{}: {e}", self.admin);
        let body = match http::get(self.admin, "/members", PATIENCE).map_err(|e| told(&e))? {
            (200, body) => body,
            (404, _) => return Err(told("this process has no [fleet] in its file")),
            (status, _) => return Err(told(&format!("answered {status}"))),
        };
        if self.json {
            return Ok(body + "\n");
        }
        let told: Value =
            serde_json::from_str(&body).map_err(|e| format!("{}: not understood: {e}", self.admin))?;
        Ok(table(&told))
    }
}

fn table(told: &Value) -> String {
    let text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_string);
    let columns = ["name", "zone", "address", "state", "generation", "life"];
    let mut rows: Vec<Vec<String>> = vec![columns.iter().map(|c| c.to_string()).collect()];
    for member in told["members"].as_array().into_iter().flatten() {
        rows.push(columns.iter().map(|c| text(&member[*c])).collect());
    }
    let width = |i: usize| rows.iter().map(|r| r[i].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let mut out = String::new();
    for row in &rows {
        let cells: Vec<String> = row.iter().zip(&widths).map(|(c, w)| format!("{c:w$}")).collect();
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
    let verdicts = told["verdicts"].as_array().map_or(&[][..], Vec::as_slice);
    if !verdicts.is_empty() {
        let _ = writeln!(out, "\nwhat members found out about nodes; {} acted on here", told["acted_on"]);
    }
    for v in verdicts {
        let class = v["class"].as_str().map_or(String::new(), |c| format!(" for {c}"));
        let _ = writeln!(
            out,
            "{}/{}{class}: {} ({}), {} ms old, by {}",
            text(&v["pool"]),
            text(&v["node"]),
            text(&v["what"]),
            v["bad"],
            v["age_ms"],
            text(&v["by"])
        );
    }
    let _ = writeln!(
        out,
        "\n{} alive, taken for {}; {} facts, void after {} ms; away {} times, stood still {} times",
        told["alive"], told["size"], told["facts"], told["max_age_ms"], told["away"], told["stalls"]
    );
    out
}
