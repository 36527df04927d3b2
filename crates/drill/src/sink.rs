//! A stand-in for an external sink: it accepts the exports of the owner of the duty "export", stores the
//! highest epoch, and refuses lower ones.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest body of an export that is read.
const MAX_BODY_BYTES: u64 = 4 << 20;

/// The exports that the sink has received.
#[derive(Clone, Debug, Default)]
pub struct SinkRecord {
    highest_epoch: u64,
    /// Exports that were accepted.
    pub accepted: u64,
    /// Exports that were refused because a higher epoch was seen before.
    pub refused: u64,
    /// Accepted exports with an epoch and a sequence number that were accepted before.
    pub repeated: u64,
    /// Accepted exports under an epoch that another life of a process used first.
    pub conflicting: u64,
    /// When the last export was accepted.
    pub last_accepted: Option<Instant>,
    /// The members whose figures the last accepted export contains.
    pub members: BTreeSet<String>,
    /// The longest time between two consecutive accepted exports.
    pub longest_gap: Duration,
    /// Epoch and sequence number of every accepted export.
    sequences: BTreeSet<(u64, u64)>,
    /// By epoch: the life of the process that used the epoch first.
    life_by_epoch: BTreeMap<u64, String>,
}

/// A running sink on a port of its own.
pub struct Sink {
    pub address: SocketAddr,
    record: Arc<Mutex<SinkRecord>>,
}

impl Sink {
    pub fn start() -> io::Result<Sink> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let sink = Sink { address: listener.local_addr()?, record: Arc::default() };
        let record = sink.record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let record = record.clone();
                thread::spawn(move || serve_connection(stream, &record));
            }
        });
        Ok(sink)
    }

    pub fn record(&self) -> SinkRecord {
        self.record.lock().map(|m| m.clone()).unwrap_or_default()
    }
}

fn serve_connection(mut stream: TcpStream, record: &Mutex<SinkRecord>) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let Some(export) = read_export(&stream) else { return };
    let status = record.lock().map_or("500 No", |mut record| record.record(&export));
    let _ = write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
}

fn read_export(stream: &TcpStream) -> Option<Value> {
    let mut input = BufReader::new(stream.try_clone().ok()?.take(MAX_BODY_BYTES));
    let mut length = 0;
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|n| *n > 0)?;
        match line.trim_end().split_once(':') {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.trim().parse::<u64>().ok().filter(|n| *n <= MAX_BODY_BYTES)?;
            }
            _ if line.trim_end().is_empty() => break,
            _ => {}
        }
    }
    let mut body = vec![0; length as usize];
    input.read_exact(&mut body).ok()?;
    serde_json::from_slice(&body).ok()
}

impl SinkRecord {
    /// Counts an export, and returns the status code and reason of the response.
    fn record(&mut self, export: &Value) -> &'static str {
        let (Some(epoch), Some(sequence)) = (export["epoch"].as_u64(), export["sequence"].as_u64()) else {
            return "400 No";
        };
        if epoch < self.highest_epoch {
            self.refused += 1;
            return "409 No";
        }
        self.highest_epoch = epoch;
        let life = export["life"].as_str().unwrap_or("").to_string();
        let first_life = self.life_by_epoch.entry(epoch).or_insert_with(|| life.clone());
        self.conflicting += u64::from(*first_life != life);
        self.repeated += u64::from(!self.sequences.insert((epoch, sequence)));
        self.accepted += 1;
        let now = Instant::now();
        self.longest_gap = self.longest_gap.max(self.last_accepted.map_or(Duration::ZERO, |l| now - l));
        self.last_accepted = Some(now);
        let rows = export["members"].as_array().into_iter().flatten();
        self.members = rows.filter_map(|m| m["member"].as_str().map(str::to_string)).collect();
        "204 Taken"
    }
}

#[cfg(test)]
#[path = "sink_tests.rs"]
mod tests;
