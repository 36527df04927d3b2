//! `garnettally members` asks a running process for its view of the fleet's members, and of their verdicts on
//! nodes.

use clap::Args;
use garnettally_drill::http;
use serde_json::Value;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

/// Show the members of its fleet as a running process reports them
#[derive(Args)]
pub struct Members {
    /// Admin address of the process
    admin: SocketAddr,
    /// Print JSON instead of a table
    #[arg(long)]
    json: bool,
}

/// A call to the admin address, including its answer, must be complete within this time.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);

impl Members {
    /// Sends the call to the process, and returns the text to print.
    pub fn run(&self) -> Result<String, String> {
        let with_address = |e: &str| format!("{}: {e}", self.admin);
        let body = match http::get(self.admin, "/members", ADMIN_TIMEOUT).map_err(|e| with_address(&e))? {
            (200, body) => body,
            (404, _) => return Err(with_address("this process has no [fleet] in its file")),
            (status, _) => return Err(with_address(&format!("answered {status}"))),
        };
        if self.json {
            return Ok(body + "\n");
        }
        let reply: Value =
            serde_json::from_str(&body).map_err(|e| format!("{}: not understood: {e}", self.admin))?;
        Ok(format_table(&reply))
    }
}

fn format_table(reply: &Value) -> String {
    let text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_string);
    let columns = ["name", "zone", "address", "state", "generation", "life"];
    let mut rows: Vec<Vec<String>> = vec![columns.iter().map(|c| c.to_string()).collect()];
    for member in reply["members"].as_array().into_iter().flatten() {
        rows.push(columns.iter().map(|c| text(&member[*c])).collect());
    }
    let width = |i: usize| rows.iter().map(|r| r[i].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let mut out = String::new();
    for row in &rows {
        let cells: Vec<String> = row.iter().zip(&widths).map(|(c, w)| format!("{c:w$}")).collect();
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
    let verdicts = reply["verdicts"].as_array().map_or(&[][..], Vec::as_slice);
    if !verdicts.is_empty() {
        let _ = writeln!(out, "\nwhat members found out about nodes; {} acted on here", reply["acted_on"]);
    }
    for verdict in verdicts {
        let class = verdict["class"].as_str().map_or(String::new(), |c| format!(" for {c}"));
        let _ = writeln!(
            out,
            "{}/{}{class}: {} ({}), {} ms old, by {}",
            text(&verdict["pool"]),
            text(&verdict["node"]),
            text(&verdict["what"]),
            verdict["bad"],
            verdict["age_ms"],
            text(&verdict["by"])
        );
    }
    let _ = writeln!(
        out,
        "\n{} alive, taken for {}; {} facts, void after {} ms; away {} times, stood still {} times",
        reply["alive"], reply["size"], reply["facts"], reply["max_age_ms"], reply["away"], reply["stalls"]
    );
    out
}
