//! A stand-in for a sink outside: it takes what the owner of the duty "export" tells, remembers the highest epoch, and
//! refuses lower ones.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest body that is read.
const BODY_MOST: u64 = 4 << 20;

/// What the sink has met.
#[derive(Clone, Debug, Default)]
pub struct Met {
    highest: u64,
    /// Calls that were taken, and refused for their epoch.
    pub taken: u64,
    pub refused: u64,
    /// Calls that told again what was taken before.
    pub twice: u64,
    /// Epochs under which more than one life told.
    pub shared: u64,
    /// When it was last told something, and the members whose figures that had.
    pub last: Option<Instant>,
    pub members: BTreeSet<String>,
    /// The longest time between two calls that were taken.
    pub longest: Duration,
    told: BTreeSet<(u64, u64)>,
    lives: BTreeMap<u64, String>,
}

/// The sink, on a port of its own.
pub struct Sink {
    pub address: SocketAddr,
    met: Arc<Mutex<Met>>,
}

impl Sink {
    pub fn start() -> io::Result<Sink> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let sink = Sink { address: listener.local_addr()?, met: Arc::default() };
        let met = sink.met.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let met = met.clone();
                thread::spawn(move || serve(stream, &met));
            }
        });
        Ok(sink)
    }

    pub fn met(&self) -> Met {
        self.met.lock().map(|m| m.clone()).unwrap_or_default()
    }
}

fn serve(mut stream: TcpStream, met: &Mutex<Met>) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let Some(told) = read(&stream) else { return };
    let status = met.lock().map_or("500 No", |mut met| met.take(&told));
    let _ = write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
}

fn read(stream: &TcpStream) -> Option<Value> {
    let mut input = BufReader::new(stream.try_clone().ok()?.take(BODY_MOST));
    let mut length = 0;
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|n| *n > 0)?;
        match line.trim_end().split_once(':') {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.trim().parse::<u64>().ok().filter(|n| *n <= BODY_MOST)?;
            }
            _ if line.trim_end().is_empty() => break,
            _ => {}
        }
    }
    let mut body = vec![0; length as usize];
    input.read_exact(&mut body).ok()?;
    serde_json::from_slice(&body).ok()
}

impl Met {
    fn take(&mut self, told: &Value) -> &'static str {
        let (Some(epoch), Some(sequence)) = (told["epoch"].as_u64(), told["sequence"].as_u64()) else {
            return "400 No";
        };
        if epoch < self.highest {
            self.refused += 1;
            return "409 No";
        }
        self.highest = epoch;
        let life = told["life"].as_str().unwrap_or("").to_string();
        let first = self.lives.entry(epoch).or_insert_with(|| life.clone());
        self.shared += u64::from(*first != life);
        self.twice += u64::from(!self.told.insert((epoch, sequence)));
        self.taken += 1;
        let now = Instant::now();
        self.longest = self.longest.max(self.last.map_or(Duration::ZERO, |l| now - l));
        self.last = Some(now);
        let rows = told["members"].as_array().into_iter().flatten();
        self.members = rows.filter_map(|m| m["member"].as_str().map(str::to_string)).collect();
        "204 Taken"
    }
}

#[cfg(test)]
#[path = "sink_tests.rs"]
mod tests;
