//! `garnettally fleet`, `garnettally demo` and `garnettally agree` run an emulated fleet on loopback sockets.
//! `demo` and `agree` also start this program as the balancer in front of that fleet, and send it a load.

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

/// Runs the nodes of a world's first tier, and discovery, on loopback sockets.
#[derive(Args)]
pub struct Fleet {
    /// File that describes the world
    world: PathBuf,
    /// Seed of the random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long the fleet runs. Default: until the process is ended
    #[arg(long = "for", value_parser = humantime::parse_duration)]
    lasts: Option<Duration>,
    /// Print the final counts as JSON instead of one line of text
    #[arg(long)]
    json: bool,
}

fn read_world(path: &PathBuf) -> Result<World, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    World::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

impl Fleet {
    /// Runs the fleet, and returns the summary to print. A fleet that ran late is an error, and so are
    /// requests that reached drained nodes.
    pub fn run(&self) -> Result<String, String> {
        let start = Instant::now();
        let on_ready = |addresses: &Addresses| {
            println!("discovery {}, {} nodes", addresses.discovery, addresses.nodes.len())
        };
        let duration = self.lasts;
        let keep_running = |_: &Snapshot| duration.is_none_or(|duration| start.elapsed() < duration);
        let final_state = garnettally_fleet::run(read_world(&self.world)?, self.seed, on_ready, keep_running)
            .map_err(|e| e.to_string())?;
        let text = match self.json {
            true => serde_json::to_string_pretty(&final_state).map_err(|e| e.to_string())? + "\n",
            false => {
                let answered: u64 = final_state.nodes.iter().map(|n| n.answered).sum();
                format!(
                    "{answered} answers, {} to drained nodes, late by up to {:.1} ms\n",
                    final_state.sent_to_drained, final_state.late_ms
                )
            }
        };
        match (final_state.valid, final_state.sent_to_drained) {
            (true, 0) => Ok(text),
            (true, n) => Err(format!(
                "{n} requests reached nodes more than 500 ms after discovery sent their draining\n{text}"
            )),
            (false, _) => {
                Err(format!("the fleet ran late, so its figures are not those of the world\n{text}"))
            }
        }
    }
}

/// Runs a small fleet with a fault, the balancer and clients on loopback, and shows their state in the
/// terminal.
#[derive(Args)]
pub struct Demo {
    /// File that describes the world. Default: twelve nodes, of which some slow down after ten seconds
    #[arg(long)]
    world: Option<PathBuf>,
    /// Seed of the random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long the demo runs. Default: the world's time, again and again until Ctrl-C
    #[arg(long = "for", value_parser = humantime::parse_duration)]
    lasts: Option<Duration>,
}

/// The world that the demo runs when the command line names none.
const DEFAULT_WORLD: &str = include_str!("../deploy/worlds/demo.toml");

/// The balancer's process. It is killed when this value is dropped, however the demo ends.
struct Balancer(Child);

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Demo {
    /// Runs the world again and again until the requested time is over, and returns the last report as text.
    pub fn run(&self) -> Result<String, String> {
        let world = match &self.world {
            Some(path) => read_world(path)?,
            None => World::parse(DEFAULT_WORLD).map_err(|e| e.to_string())?,
        };
        let end = self.lasts.map(|duration| Instant::now() + duration);
        loop {
            let report = run_once(&world, self.seed, end, true)?.0.text();
            if end.is_some_and(|end| Instant::now() >= end) {
                return Ok(report);
            }
        }
    }
}

/// Runs a world once, with this program as the balancer in front of its fleet, until the world's time or
/// `end` has passed. Returns the clients' report and the fleet's final counts.
fn run_once(
    world: &World,
    seed: u64,
    end: Option<Instant>,
    show_progress: bool,
) -> Result<(Report, Snapshot), String> {
    let stop = Arc::new(AtomicBool::new(false));
    let latest = Arc::new(Mutex::new(Snapshot::default()));
    let (address_sender, address_receiver) = channel();
    let (fleet_stop, fleet_latest, fleet_world) = (stop.clone(), latest.clone(), world.clone());
    let fleet = std::thread::spawn(move || {
        let on_ready = move |addresses: &Addresses| drop(address_sender.send(addresses.clone()));
        garnettally_fleet::run(fleet_world, seed, on_ready, |snapshot| {
            if let Ok(mut latest) = fleet_latest.lock() {
                *latest = snapshot.clone();
            }
            !fleet_stop.load(Ordering::Relaxed)
        })
    });
    let addresses = address_receiver.recv().map_err(|_| "the fleet did not start")?;
    let listen = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_err(|e| e.to_string())?;
    let (_balancer, file) = start_balancer(world, listen, addresses.discovery)?;
    let seconds = world.lasts.0 .0 as f64 / 1e6;
    let duration = end.map_or(Duration::from_secs_f64(seconds), |end| {
        Duration::from_secs_f64(seconds).min(end.saturating_duration_since(Instant::now()))
    });
    let rate = world.clients.rate;
    let load = Load {
        address: listen,
        host: "demo".into(),
        mix: load_mix(world),
        mode: Mode::Open(vec![Phase { from: rate, to: rate, lasts: duration }]),
        connections: 500,
        backlog: 10_000,
        timeout: Duration::from_secs(10),
        seed,
    };
    let is_terminal = std::io::stdout().is_terminal();
    let name = world.name.clone();
    let report = garnettally_load::run::run(load, |progress| {
        let snapshot = latest.lock().map(|snapshot| snapshot.clone()).unwrap_or_default();
        if show_progress {
            print_progress(&name, progress, &snapshot, is_terminal);
        }
        true
    });
    stop.store(true, Ordering::Relaxed);
    let fleet = fleet.join().map_err(|_| "the fleet's thread panicked")?.map_err(|e| e.to_string())?;
    let _ = std::fs::remove_file(file);
    let report = report.map_err(|e| e.to_string())?;
    if !report.every_request_ended_once() {
        return Err(format!(
            "not every request ended in exactly one way, or an answer came without a request\n{}",
            report.text()
        ));
    }
    if fleet.sent_to_drained > 0 {
        return Err(format!("{} requests were sent to drained nodes", fleet.sent_to_drained));
    }
    Ok((report, fleet))
}

/// Starts this program as the balancer in front of the fleet, waits until it is ready, and returns it with
/// the path of its temporary configuration file.
fn start_balancer(
    world: &World,
    listen: SocketAddr,
    discovery: SocketAddr,
) -> Result<(Balancer, PathBuf), String> {
    let file =
        std::env::temp_dir().join(format!("garnettally-demo-{}-{}.toml", std::process::id(), listen.port()));
    std::fs::write(&file, operator_file(world, listen, discovery))
        .map_err(|e| format!("{}: {e}", file.display()))?;
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut command = Command::new(program);
    command.arg("serve").arg(&file).env_remove("GW_CONFIG").stdout(Stdio::null()).stderr(Stdio::null());
    let balancer = Balancer(command.spawn().map_err(|e| format!("the balancer could not be started: {e}"))?);
    let end = Instant::now() + Duration::from_secs(20);
    while !is_ready(listen) {
        if Instant::now() > end {
            return Err("the balancer did not become ready within 20 s".into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok((balancer, file))
}

fn is_ready(address: SocketAddr) -> bool {
    let answers_200 = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        std::io::Read::read_to_string(&mut stream, &mut answer)?;
        Ok(answer.starts_with("HTTP/1.1 200"))
    };
    answers_200().unwrap_or(false)
}

/// Writes the operator's file with which the balancer serves the first tier of a world.
pub fn operator_file(world: &World, listen: SocketAddr, discovery: SocketAddr) -> String {
    let mut out = format!("version = 1\n[listeners.main]\naddress = \"{listen}\"\n");
    for class in &world.classes {
        let (repeat, window) = match class.repeat {
            Repeat::Safe => ("safe", String::new()),
            Repeat::Keyed => ("keyed", format!("window = \"{}us\"\n", class.window.0 .0)),
            Repeat::Never => ("never", String::new()),
        };
        let _ = write!(
            out,
            "[classes.{:?}]\nrepeat = \"{repeat}\"\naim = \"{}us\"\ndeadline = \"{}us\"\nworth = {:.6}\n{window}",
            class.name, class.aim.0 .0, class.deadline.0 .0, class.worth
        );
    }
    for tenant in &world.tenants {
        let _ = writeln!(out, "[tenants.{:?}]", tenant.name);
    }
    let zone = world.zones.first().map_or("", String::as_str);
    let _ = write!(out, "[pools.fleet]\ndiscovery = \"{discovery}\"\nzone = {zone:?}\n");
    for (i, class) in world.classes.iter().enumerate() {
        let key = if class.repeat == Repeat::Keyed { "key = { header = \"Idempotency-Key\" }\n" } else { "" };
        let _ = write!(
            out,
            "[[routes]]\nname = \"r{i}\"\npath_prefix = {:?}\nclass = {:?}\npool = \"fleet\"\ntenant = {{ header = \"Req-Owner\" }}\n{key}",
            format!("/{}", class.name), class.name
        );
    }
    out
}

/// Returns the load mix of a world's clients: their classes and tenants with the shares that the world gives
/// them.
pub fn load_mix(world: &World) -> Mix {
    let kind = |class: &garnettally_emulator::world::Class| {
        let safe = class.repeat == Repeat::Safe;
        let mut headers = std::collections::BTreeMap::new();
        headers.insert("Req-Id".to_string(), "{id}".to_string());
        headers.insert("Req-Owner".to_string(), "{tenant}".to_string());
        if class.repeat == Repeat::Keyed {
            headers.insert("Idempotency-Key".to_string(), "{key}".to_string());
        }
        let method = if safe { "GET" } else { "POST" };
        RequestKind {
            name: class.name.clone(),
            share: class.share,
            method: method.into(),
            path: format!("/{}/{{n}}", class.name),
            headers,
            body_bytes: 0,
            keys: 0,
            aim_ms: Some(class.aim.0 .0 as f64 / 1e3),
        }
    };
    let tenants = world.tenants.iter().map(|t| (t.name.clone(), t.share)).collect();
    Mix { version: 1, requests: world.classes.iter().map(kind).collect(), tenants }
}

/// Prints the state of the load and, on a terminal, of up to 40 nodes. The load generator calls this once a
/// second.
fn print_progress(name: &str, progress: &Progress, snapshot: &Snapshot, is_terminal: bool) {
    let mut out = String::new();
    if is_terminal {
        out += "\x1b[H\x1b[2J";
        let _ = writeln!(out, "garnettally demo: {name}; Ctrl-C ends it\n");
    }
    let _ =
        writeln!(
        out,
        "{:>4.0} s  asked {:>5}  served {:>5}  refused {:>4}  other {:>3}  p50 {:>6.1}  p99 {:>7.1} ms  {}",
        progress.elapsed.as_secs_f64(), progress.meant, progress.ok, progress.refused, progress.bad,
        progress.p50_ms, progress.p99_ms,
        if snapshot.faults.is_empty() { "".into() } else { format!("FAULT {}", snapshot.faults.join(", ")) }
    );
    if is_terminal {
        out.push('\n');
        for node in snapshot.nodes.iter().take(40) {
            let _ = writeln!(
                out,
                "  {:<12} {:<9} {:>8} answered  {}",
                node.name,
                node.state,
                node.answered,
                "#".repeat(node.held.min(60))
            );
        }
    }
    let _ = std::io::stdout().write_all(out.as_bytes());
    let _ = std::io::stdout().flush();
}

/// Runs the same small world in virtual time and on sockets, for each seed, and compares the service.
#[derive(Args)]
pub struct Agree {
    /// File that describes the world, which needs one tier with one balancer
    world: PathBuf,
    /// Number of seeds, counted from 1
    #[arg(long, default_value_t = 3)]
    seeds: u64,
}

/// The mean service in virtual time and that on sockets may differ by this much at most; service is a
/// fraction from 0 to 1.
const MAX_SERVICE_DIFFERENCE: f64 = 0.05;

impl Agree {
    /// Returns a table of service by seed. Means that lie too far apart are an error.
    pub fn run(&self) -> Result<String, String> {
        let world = read_world(&self.world)?;
        if world.tiers.len() != 1 || world.tiers[0].balancers != 1 || self.seeds == 0 {
            return Err(
                "the world must have one tier with one balancer, and --seeds must be at least 1".into()
            );
        }
        let mut out = "| seed | virtual | sockets | late by, ms |\n| --- | --- | --- | --- |\n".to_string();
        let mut means = [0.0; 2];
        for seed in 1..=self.seeds {
            let virtual_day = garnettally_emulator::day::run(
                &world,
                seed,
                garnettally_emulator::policy::PolicyKind::Module,
            );
            let (report, fleet) = run_once(&world, seed, None, false)?;
            if !fleet.valid || !report.valid {
                return Err(format!(
                    "the machine was too busy, so the figures do not count: late by {:.1} ms\n{out}",
                    fleet.late_ms.max(report.late_ms)
                ));
            }
            let total_worth = |count: fn(&garnettally_load::report::Outcomes) -> u64| {
                let kinds = report.kinds.iter().zip(&world.classes);
                kinds.map(|(part, class)| count(part) as f64 * class.worth).sum::<f64>()
            };
            let sockets = total_worth(|part| part.in_time) / total_worth(|part| part.meant).max(1e-9);
            let _ = writeln!(
                out,
                "| {seed} | {:.4} | {sockets:.4} | {:.1} |",
                virtual_day.service,
                fleet.late_ms.max(report.late_ms)
            );
            means[0] += virtual_day.service / self.seeds as f64;
            means[1] += sockets / self.seeds as f64;
        }
        let _ = writeln!(out, "| mean | {:.4} | {:.4} | |", means[0], means[1]);
        match (means[0] - means[1]).abs() <= MAX_SERVICE_DIFFERENCE {
            true => Ok(out),
            false => Err(format!(
                "the mean service in virtual time and on sockets differs by more than {MAX_SERVICE_DIFFERENCE}\n{out}"
            )),
        }
    }
}
