//! `garnettally duties`: who does what for the fleet, as a running process sees it, and an operator's word on it.

use clap::{Args, Subcommand};
use garnettally_drill::http;
use serde_json::Value;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

/// Ask a running process for the fleet's duties, or have one moved
#[derive(Args)]
pub struct Duties {
    /// Its admin address
    admin: SocketAddr,
    /// Print JSON instead of a table
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    word: Option<Word>,
}

#[derive(Subcommand)]
enum Word {
    /// Have a duty owned by a member
    Move {
        /// The duty
        duty: String,
        /// The member's name
        member: String,
    },
    /// Have a duty owned by anybody but its owner
    Release {
        /// The duty
        duty: String,
    },
}

/// How long an answer may take in all.
const PATIENCE: Duration = Duration::from_secs(2);

impl Duties {
    /// Asks, and gives what is to be printed.
    pub fn run(&self) -> Result<String, String> {
        let told = |e: &str| format!("{}: {}", self.admin, e.trim_end());
        let (method, path) = match &self.word {
            None => ("GET", "/duties".to_string()),
            Some(Word::Move { duty, member }) => ("PUT", format!("/duties/{duty}/{member}")),
            Some(Word::Release { duty }) => ("PUT", format!("/duties/{duty}")),
        };
        if path.chars().any(|c| c.is_whitespace() || c.is_control() || c == '?') {
            return Err("names of duties and members have no spaces".into());
        }
        let body = match http::call(self.admin, method, &path, PATIENCE).map_err(|e| told(&e))? {
            (200, body) => body,
            (404, _) => return Err(told("this process has no [fleet.duties] in its file")),
            (_, why) => return Err(told(&why)),
        };
        if self.json || self.word.is_some() {
            return Ok(body.trim_end().to_string() + "\n");
        }
        let told: Value =
            serde_json::from_str(&body).map_err(|e| format!("{}: not understood: {e}", self.admin))?;
        Ok(table(&told))
    }
}

fn table(told: &Value) -> String {
    let text = |v: &Value| match v {
        Value::Null => "-".to_string(),
        Value::String(s) if s.is_empty() => "-".to_string(),
        Value::String(s) => s.clone(),
        v => v.to_string(),
    };
    let mut out = String::new();
    let columns = ["duty", "owner", "epoch", "since_ms", "from", "why"];
    let all = told["duties"].as_array().map_or(&[][..], Vec::as_slice);
    let mut rows: Vec<Vec<String>> = vec![columns.iter().map(|c| c.to_string()).collect()];
    rows.extend(all.iter().map(|d| columns.iter().map(|c| text(&d[*c])).collect()));
    let width = |i: usize| rows.iter().map(|r| r[i].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    for row in rows.iter().filter(|_| !all.is_empty()) {
        let cells: Vec<String> = row.iter().zip(&widths).map(|(c, w)| format!("{c:w$}")).collect();
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
    for d in told["owned"].as_array().into_iter().flatten() {
        let acts = if d["acts"] == true { "acts" } else { "may not act yet" };
        let _ = writeln!(
            out,
            "here: {} {acts}, epoch {}, lease left {} ms",
            text(&d["duty"]),
            d["epoch"],
            d["left_ms"]
        );
    }
    let voters: Vec<String> = told["voters"].as_array().into_iter().flatten().map(text).collect();
    let _ = write!(out, "{}; voters {}", text(&told["member"]), voters.join(" "));
    if told["voter"] == true {
        let leads = if told["leads"] == true { ", leads" } else { "" };
        let _ =
            write!(out, "; this one {}{leads}, {} decided", text(&told["standing"]), text(&told["decided"]));
    } else {
        let _ = write!(out, "; this one is none: ask a voter who owns what");
    }
    if told["store_failures"].as_u64() > Some(0) {
        let _ =
            write!(out, "; storing failed {} times: {}", told["store_failures"], text(&told["last_failure"]));
    }
    out + "\n"
}
