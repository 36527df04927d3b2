//! The cases of the review. Each starts the program by the deploy file and plays upstreams, discovery, clients,
//! a sink and the platform around it, on loopback addresses and the real clock.
//!
//! `review-standins CASE ROOT RECORD`: ROOT is the repository, RECORD the file that tells what was sent,
//! answered and run. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not
//! run. With `TROUBLE=0` in the environment the disruption is left out.

mod memory;
mod owners;
mod repeats;
mod scene;

use scene::{Failure, Record, Verdict};
use std::path::Path;
use std::time::Duration;

/// A case that takes longer than this is given up.
const MAX_RUN: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record_path] = &arguments[..] else {
        eprintln!("usage: review-standins CASE ROOT RECORD");
        std::process::exit(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match Record::create(Path::new(record_path)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{record_path}: {e}");
            std::process::exit(2);
        }
    };
    record.line(&format!("case {case}, {} the disruption", if with_trouble { "with" } else { "without" }));
    let watchdog_record = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(MAX_RUN);
        finish(&watchdog_record, Err(Failure::new("the case took too long")));
    });
    let played = match case.as_str() {
        "memory" => memory::play(Path::new(root), &record, with_trouble),
        "owners" => owners::play(Path::new(root), &record, with_trouble),
        "repeats" => repeats::play(Path::new(root), &record, with_trouble),
        other => Err(Failure::new(format!("there is no case {other}"))),
    };
    finish(&record, played);
}

/// Ends all processes that were started, writes the result and exits.
fn finish(record: &Record, played: Result<Verdict, Failure>) -> ! {
    scene::end_all_processes();
    let (text, status) = match played {
        Ok(Verdict::Held(what)) => (format!("RULE HELD: {what}"), 0),
        Ok(Verdict::Broken(what)) => (format!("RULE BROKEN: {what}"), 1),
        Err(failure) => (format!("COULD NOT RUN: {}", failure.0), 2),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(status);
}
