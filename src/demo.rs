//! `garnettally fleet` and `garnettally demo`: a world on loopback sockets, and the program among it.

use clap::Args;
use garnettally_emulator::world::{Repeat, World};
use garnettally_fleet::{Addresses, Snapshot};
use garnettally_load::mix::{Mix, RequestKind};
use garnettally_load::report::Report;
use garnettally_load::run::{Load, Mode, Progress};
use garnettally_load::schedule::Phase;
use std::fmt::Write as _;
use std::io::{IsTerminal, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The first tier of a world on loopback sockets.
#[derive(Args)]
pub struct Fleet {
    /// The world's file
    world: PathBuf,
    /// The seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// For how long. Default: until it is ended
    #[arg(long = "for", value_parser = humantime::parse_duration)]
    lasts: Option<Duration>,
    /// Print what happened at the end, as JSON
    #[arg(long)]
    json: bool,
}

fn read(path: &PathBuf) -> Result<World, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    World::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

impl Fleet {
    /// Plays it; a fleet that ran late is a failure.
    pub fn run(&self) -> Result<String, String> {
        let start = Instant::now();
        let ready = |a: &Addresses| println!("discovery {}, {} nodes", a.discovery, a.nodes.len());
        let lasts = self.lasts;
        let show = |_: &Snapshot| lasts.is_none_or(|t| start.elapsed() < t);
        let end =
            garnettally_fleet::run(read(&self.world)?, self.seed, ready, show).map_err(|e| e.to_string())?;
        let text = match self.json {
            true => serde_json::to_string_pretty(&end).map_err(|e| e.to_string())? + "\n",
            false => {
                let answered: u64 = end.nodes.iter().map(|n| n.answered).sum();
                format!(
                    "{answered} answers, {} to drained nodes, late by up to {:.1} ms\n",
                    end.sent_to_drained, end.late_ms
                )
            }
        };
        match (end.valid, end.sent_to_drained) {
            (true, 0) => Ok(text),
            (true, n) => {
                Err(format!("{n} requests reached nodes half a second after their draining was told\n{text}"))
            }
            (false, _) => Err(format!("the fleet ran late: what was seen is not the world's\n{text}")),
        }
    }
}

/// A small fleet, the balancer and clients on loopback, with a fault, in the terminal.
#[derive(Args)]
pub struct Demo {
    /// The world's file. Default: twelve nodes, of which some slow down after ten seconds
    #[arg(long)]
    world: Option<PathBuf>,
    /// The seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// For how long. Default: the world's time, again and again until Ctrl-C
    #[arg(long = "for", value_parser = humantime::parse_duration)]
    lasts: Option<Duration>,
}

const WORLD: &str = include_str!("../deploy/worlds/demo.toml");

/// Ends the balancer with the demo, whichever way that ends.
struct Balancer(Child);

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Demo {
    /// Plays it, and says what came of it.
    pub fn run(&self) -> Result<String, String> {
        let world = match &self.world {
            Some(path) => read(path)?,
            None => World::parse(WORLD).map_err(|e| e.to_string())?,
        };
        let end = self.lasts.map(|t| Instant::now() + t);
        loop {
            let last = round(&world, self.seed, end, true)?.0.text();
            if end.is_some_and(|end| Instant::now() >= end) {
                return Ok(last);
            }
        }
    }
}

/// Plays a world once, the real program before it: what the clients saw, and what the fleet did.
fn round(
    world: &World,
    seed: u64,
    end: Option<Instant>,
    picture: bool,
) -> Result<(Report, Snapshot), String> {
    let stop = Arc::new(AtomicBool::new(false));
    let seen = Arc::new(Mutex::new(Snapshot::default()));
    let (tell, told) = channel();
    let (stops, sees, of_fleet) = (stop.clone(), seen.clone(), world.clone());
    let fleet = std::thread::spawn(move || {
        let ready = move |a: &Addresses| drop(tell.send(a.clone()));
        garnettally_fleet::run(of_fleet, seed, ready, |s| {
            if let Ok(mut seen) = sees.lock() {
                *seen = s.clone();
            }
            !stops.load(Ordering::Relaxed)
        })
    });
    let addresses = told.recv().map_err(|_| "the fleet did not start")?;
    let free = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_err(|e| e.to_string())?;
    let (_balancer, file) = start(world, free, addresses.discovery)?;
    let seconds = world.lasts.0 .0 as f64 / 1e6;
    let lasts = end.map_or(Duration::from_secs_f64(seconds), |end| {
        Duration::from_secs_f64(seconds).min(end.saturating_duration_since(Instant::now()))
    });
    let rate = world.clients.rate;
    let load = Load {
        address: free,
        host: "demo".into(),
        mix: mix(world),
        mode: Mode::Open(vec![Phase { from: rate, to: rate, lasts }]),
        connections: 500,
        backlog: 10_000,
        timeout: Duration::from_secs(10),
        seed,
    };
    let screen = std::io::stdout().is_terminal();
    let name = world.name.clone();
    let report = garnettally_load::run::run(load, |p| {
        let snapshot = seen.lock().map(|s| s.clone()).unwrap_or_default();
        if picture {
            show(&name, p, &snapshot, screen);
        }
        true
    });
    stop.store(true, Ordering::Relaxed);
    let fleet = fleet.join().map_err(|_| "the fleet has panicked")?.map_err(|e| e.to_string())?;
    let _ = std::fs::remove_file(file);
    let report = report.map_err(|e| e.to_string())?;
    if !report.every_request_ended_once() {
        return Err(format!("not every request got one answer\n{}", report.text()));
    }
    if fleet.sent_to_drained > 0 {
        return Err(format!("{} requests were sent to drained nodes", fleet.sent_to_drained));
    }
    Ok((report, fleet))
}

/// Starts the real program before the fleet, and waits until it is ready.
fn start(world: &World, listen: SocketAddr, discovery: SocketAddr) -> Result<(Balancer, PathBuf), String> {
    let file =
        std::env::temp_dir().join(format!("garnettally-demo-{}-{}.toml", std::process::id(), listen.port()));
    std::fs::write(&file, operator_file(world, listen, discovery))
        .map_err(|e| format!("{}: {e}", file.display()))?;
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut command = Command::new(program);
    command.arg("serve").arg(&file).env_remove("GW_CONFIG").stdout(Stdio::null()).stderr(Stdio::null());
    let balancer = Balancer(command.spawn().map_err(|e| format!("the balancer: {e}"))?);
    let end = Instant::now() + Duration::from_secs(20);
    while !ready(listen) {
        if Instant::now() > end {
            return Err("the balancer did not become ready".into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok((balancer, file))
}

fn ready(at: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        std::io::Read::read_to_string(&mut stream, &mut answer)?;
        Ok(answer.starts_with("HTTP/1.1 200"))
    };
    ask().unwrap_or(false)
}

/// The operator's file for the first tier of a world.
pub fn operator_file(world: &World, listen: SocketAddr, discovery: SocketAddr) -> String {
    let mut out = format!("version = 1\n[listeners.main]\naddress = \"{listen}\"\n");
    for c in &world.classes {
        let (repeat, window) = match c.repeat {
            Repeat::Safe => ("safe", String::new()),
            Repeat::Keyed => ("keyed", format!("window = \"{}us\"\n", c.window.0 .0)),
            Repeat::Never => ("never", String::new()),
        };
        let _ = write!(
            out,
            "[classes.{:?}]\nrepeat = \"{repeat}\"\naim = \"{}us\"\ndeadline = \"{}us\"\nworth = {:.6}\n{window}",
            c.name, c.aim.0 .0, c.deadline.0 .0, c.worth
        );
    }
    for t in &world.tenants {
        let _ = writeln!(out, "[tenants.{:?}]", t.name);
    }
    let zone = world.zones.first().map_or("", String::as_str);
    let _ = write!(out, "[pools.fleet]\ndiscovery = \"{discovery}\"\nzone = {zone:?}\n");
    for (i, c) in world.classes.iter().enumerate() {
        let key = if c.repeat == Repeat::Keyed { "key = { header = \"Idempotency-Key\" }\n" } else { "" };
        let _ = write!(
            out,
            "[[routes]]\nname = \"r{i}\"\npath_prefix = {:?}\nclass = {:?}\npool = \"fleet\"\ntenant = {{ header = \"Req-Owner\" }}\n{key}",
            format!("/{}", c.name), c.name
        );
    }
    out
}

/// What the clients of a world ask for.
pub fn mix(world: &World) -> Mix {
    let kind = |c: &garnettally_emulator::world::Class| {
        let safe = c.repeat == Repeat::Safe;
        let mut headers = std::collections::BTreeMap::new();
        headers.insert("Req-Id".to_string(), "{id}".to_string());
        headers.insert("Req-Owner".to_string(), "{tenant}".to_string());
        if c.repeat == Repeat::Keyed {
            headers.insert("Idempotency-Key".to_string(), "{key}".to_string());
        }
        let method = if safe { "GET" } else { "POST" };
        RequestKind {
            name: c.name.clone(),
            share: c.share,
            method: method.into(),
            path: format!("/{}/{{n}}", c.name),
            headers,
            body_bytes: 0,
            keys: 0,
            aim_ms: Some(c.aim.0 .0 as f64 / 1e3),
        }
    };
    let tenants = world.tenants.iter().map(|t| (t.name.clone(), t.share)).collect();
    Mix { version: 1, requests: world.classes.iter().map(kind).collect(), tenants }
}

/// One picture a second.
fn show(name: &str, p: &Progress, s: &Snapshot, screen: bool) {
    let mut out = String::new();
    if screen {
        out += "\x1b[H\x1b[2J";
        let _ = writeln!(out, "garnettally demo: {name}; Ctrl-C ends it\n");
    }
    let _ =
        writeln!(
        out,
        "{:>4.0} s  asked {:>5}  served {:>5}  refused {:>4}  other {:>3}  p50 {:>6.1}  p99 {:>7.1} ms  {}",
        p.elapsed.as_secs_f64(), p.meant, p.ok, p.refused, p.bad, p.p50_ms, p.p99_ms,
        if s.faults.is_empty() { "".into() } else { format!("FAULT {}", s.faults.join(", ")) }
    );
    if screen {
        out.push('\n');
        for n in s.nodes.iter().take(40) {
            let _ = writeln!(
                out,
                "  {:<12} {:<9} {:>8} answered  {}",
                n.name,
                n.state,
                n.answered,
                "#".repeat(n.held.min(60))
            );
        }
    }
    let _ = std::io::stdout().write_all(out.as_bytes());
    let _ = std::io::stdout().flush();
}

/// The same small world in virtual time and on sockets, seed by seed.
#[derive(Args)]
pub struct Agree {
    /// The world's file: one tier, one balancer
    world: PathBuf,
    /// How many seeds
    #[arg(long, default_value_t = 3)]
    seeds: u64,
}

/// Both worlds' mean service must lie within this of each other.
const AGREE: f64 = 0.05;

impl Agree {
    /// A table of service by seed; means that lie too far apart are a failure.
    pub fn run(&self) -> Result<String, String> {
        let world = read(&self.world)?;
        if world.tiers.len() != 1 || world.tiers[0].balancers != 1 || self.seeds == 0 {
            return Err("one tier, one balancer and one seed at the least are wanted".into());
        }
        let mut out = "| seed | virtual | sockets | late by, ms |\n| --- | --- | --- | --- |\n".to_string();
        let mut means = [0.0; 2];
        for seed in 1..=self.seeds {
            let day = garnettally_emulator::day::run(
                &world,
                seed,
                garnettally_emulator::policy::PolicyKind::Module,
            );
            let (report, fleet) = round(&world, seed, None, false)?;
            if !fleet.valid || !report.valid {
                return Err(format!(
                    "the machine was too busy: late by {:.1} ms\n{out}",
                    fleet.late_ms.max(report.late_ms)
                ));
            }
            let worth = |part: fn(&garnettally_load::report::Outcomes) -> u64| {
                let kinds = report.kinds.iter().zip(&world.classes);
                kinds.map(|(p, c)| part(p) as f64 * c.worth).sum::<f64>()
            };
            let sockets = worth(|p| p.in_time) / worth(|p| p.meant).max(1e-9);
            let _ = writeln!(
                out,
                "| {seed} | {:.4} | {sockets:.4} | {:.1} |",
                day.service,
                fleet.late_ms.max(report.late_ms)
            );
            means[0] += day.service / self.seeds as f64;
            means[1] += sockets / self.seeds as f64;
        }
        let _ = writeln!(out, "| mean | {:.4} | {:.4} | |", means[0], means[1]);
        match (means[0] - means[1]).abs() <= AGREE {
            true => Ok(out),
            false => Err(format!("the worlds lie more than {AGREE} apart\n{out}")),
        }
    }
}
