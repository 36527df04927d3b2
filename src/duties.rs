//! `garnettally duties` asks a running process which member owns which of the fleet's duties, or has a duty
//! moved to another member.

use clap::{Args, Subcommand};
use garnettally_drill::http;
use serde_json::Value;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

/// Show the fleet's duties as a running process reports them, or have one moved
#[derive(Args)]
pub struct Duties {
    /// Admin address of the process
    admin: SocketAddr,
    /// Print JSON instead of a table
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    word: Option<DutyCommand>,
}

#[derive(Subcommand)]
enum DutyCommand {
    /// Move a duty to a member, which becomes its owner
    Move {
        /// Name of the duty
        duty: String,
        /// Name of the member
        member: String,
    },
    /// Take a duty from its owner, so that any other member can own it
    Release {
        /// Name of the duty
        duty: String,
    },
}

/// A call to the admin address, including its answer, must be complete within this time.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(2);

impl Duties {
    /// Sends the call to the process, and returns the text to print.
    pub fn run(&self) -> Result<String, String> {
        let with_address = |e: &str| format!("{}: {}", self.admin, e.trim_end());
        let (method, path) = match &self.word {
            None => ("GET", "/duties".to_string()),
            Some(DutyCommand::Move { duty, member }) => ("PUT", format!("/duties/{duty}/{member}")),
            Some(DutyCommand::Release { duty }) => ("PUT", format!("/duties/{duty}")),
        };
        if path.chars().any(|c| c.is_whitespace() || c.is_control() || c == '?') {
            return Err(
                "names of duties and members may not contain spaces, control characters or question marks"
                    .into(),
            );
        }
        let body = match http::call(self.admin, method, &path, ADMIN_TIMEOUT).map_err(|e| with_address(&e))? {
            (200, body) => body,
            (404, _) => return Err(with_address("this process has no [fleet.duties] in its file")),
            (_, why) => return Err(with_address(&why)),
        };
        if self.json || self.word.is_some() {
            return Ok(body.trim_end().to_string() + "\n");
        }
        let reply: Value =
            serde_json::from_str(&body).map_err(|e| format!("{}: not understood: {e}", self.admin))?;
        Ok(format_table(&reply))
    }
}

fn format_table(reply: &Value) -> String {
    let text = |v: &Value| match v {
        Value::Null => "-".to_string(),
        Value::String(s) if s.is_empty() => "-".to_string(),
        Value::String(s) => s.clone(),
        v => v.to_string(),
    };
    let mut out = String::new();
    let columns = ["duty", "owner", "epoch", "since_ms", "from", "why"];
    let duties = reply["duties"].as_array().map_or(&[][..], Vec::as_slice);
    let mut rows: Vec<Vec<String>> = vec![columns.iter().map(|c| c.to_string()).collect()];
    rows.extend(duties.iter().map(|duty| columns.iter().map(|c| text(&duty[*c])).collect()));
    let width = |i: usize| rows.iter().map(|r| r[i].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    for row in rows.iter().filter(|_| !duties.is_empty()) {
        let cells: Vec<String> = row.iter().zip(&widths).map(|(c, w)| format!("{c:w$}")).collect();
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
    for duty in reply["owned"].as_array().into_iter().flatten() {
        let acts = if duty["acts"] == true { "acts" } else { "may not act yet" };
        let _ = writeln!(
            out,
            "here: {} {acts}, epoch {}, lease left {} ms",
            text(&duty["duty"]),
            duty["epoch"],
            duty["left_ms"]
        );
    }
    let voters: Vec<String> = reply["voters"].as_array().into_iter().flatten().map(text).collect();
    let _ = write!(out, "{}; voters {}", text(&reply["member"]), voters.join(" "));
    if reply["voter"] == true {
        let leads = if reply["leads"] == true { ", leads" } else { "" };
        let _ = write!(
            out,
            "; this one {}{leads}, {} decided",
            text(&reply["standing"]),
            text(&reply["decided"])
        );
    } else {
        let _ = write!(out, "; this one is none: ask a voter who owns what");
    }
    if reply["store_failures"].as_u64() > Some(0) {
        let _ = write!(
            out,
            "; storing failed {} times: {}",
            reply["store_failures"],
            text(&reply["last_failure"])
        );
    }
    out + "\n"
}
