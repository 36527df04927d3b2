//! Runs a drill: starts the members, injects the faults when they are due, and polls the members all the
//! while.

use crate::http;
use crate::process::{free_addresses, Member, ProcessState};
use crate::relay::{LinkFaults, Relays};
use crate::report::{Checks, Report, Sample};
use crate::script::{Fault, FaultKind, Script};
use crate::sink::Sink;
use rustix::process::Signal;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Why a drill could not be run.
#[derive(Debug, Error)]
pub enum DrillError {
    /// A call of the operating system failed.
    #[error("{what}: {source}")]
    System {
        /// What the drill tried to do, or the path concerned.
        what: String,
        /// The system's error.
        source: io::Error,
    },
}

/// Wraps a system's error with `what` was tried.
fn system_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> DrillError {
    let what = what.into();
    |source| DrillError::System { what, source }
}

/// The pause between two polls of all members.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time-out of each call to a member; long, since the machine is busy with the drill itself.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest time until all initial members see each other.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The fleet's key until a fault rotates the keys, as a line of a key file.
const OLD_KEY: &str = "1 1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b1b";
/// The key that "rotate-keys" adds.
const NEW_KEY: &str = "2 2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c2c";
/// The key of the members in `strangers`.
const OTHER_KEY: &str = "1 3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d3d";

/// A call of `/duties`: when it was sent, its result, and when that came; times count from the drill's start.
type DutiesCall = (Duration, CallResult, Duration);
/// The status and the body of a response, or why there is none.
type CallResult = Result<(u16, String), String>;

struct Drill<'a> {
    script: &'a Script,
    program: &'a Path,
    folder: &'a Path,
    members: Vec<Member>,
    /// For each member, whether it has served a round of requests since its last start.
    ready: Vec<bool>,
    relays: Relays,
    nodes: Vec<Node>,
    sink: Sink,
    start: Instant,
    checks: Checks,
    /// For each member, whether it can store its state: its disk is not full and its folder was not removed.
    can_store: Vec<bool>,
    /// Whether no link between members is cut.
    links_intact: bool,
}

/// Runs a drill of this program. The members' files are written to this folder, which is created if it does
/// not exist.
pub fn run(script: &Script, program: &Path, folder: &Path) -> Result<Report, DrillError> {
    let script = &script.with_drawn_faults();
    std::fs::create_dir_all(folder).map_err(system_error(folder.display().to_string()))?;
    let nodes: Result<Vec<Node>, _> = (0..script.nodes).map(|_| Node::start()).collect();
    let nodes = nodes.map_err(system_error("starting a stand-in node"))?;
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.address).collect();
    // Stands for nodes that a member can't reach: connections are accepted, and no response comes back.
    let unresponsive = Node::start().map_err(system_error("starting a stand-in node"))?;
    unresponsive.mode.store(NODE_HANGS, Ordering::SeqCst);
    let sink = Sink::start().map_err(system_error("starting a stand-in sink"))?;
    let mut members = Vec::new();
    for i in 0..script.members {
        let addresses = free_addresses(i).map_err(system_error("finding free addresses"))?;
        let name = script.named_as.get(&i.to_string()).cloned().unwrap_or_else(|| format!("m{i}"));
        members.push(Member::new(name, addresses, folder.join(format!("m{i}.toml"))));
    }
    let links: Vec<SocketAddr> = members.iter().map(|m| m.link).collect();
    let faults = LinkFaults {
        loss: script.loss,
        duplication: script.twice,
        delay: script.delay.unwrap_or_default(),
        cut: BTreeSet::new(),
        other_version: script.other_version.iter().copied().collect(),
    };
    let relays = Relays::start(&links, script.seed, faults).map_err(system_error("starting the relays"))?;
    for (i, m) in members.iter().enumerate() {
        let text = config_text(
            script,
            i,
            m,
            &relays.addresses,
            &addresses,
            (sink.address, unresponsive.address),
            folder,
        );
        std::fs::write(&m.config_file, text).map_err(system_error(m.config_file.display().to_string()))?;
        // Logs and stored state of an earlier drill in this folder would be taken for those of this drill.
        let _ = std::fs::remove_dir_all(m.state_folder());
        let _ = std::fs::remove_file(m.config_file.with_extension("log"));
    }
    let ready = vec![false; members.len()];
    let checks = Checks::new(script);
    let start = Instant::now();
    let (can_store, links_intact) = (vec![true; members.len()], true);
    let drill = Drill {
        can_store,
        links_intact,
        sink,
        script,
        program,
        folder,
        members,
        ready,
        relays,
        nodes,
        start,
        checks,
    };
    drill.write_keys(&[OLD_KEY])?;
    drill.execute()
}

/// The text of the configuration file of member `index`.
fn config_text(
    script: &Script,
    index: usize,
    member: &Member,
    peers: &[SocketAddr],
    nodes: &[SocketAddr],
    (sink, unresponsive): (SocketAddr, SocketAddr),
    folder: &Path,
) -> String {
    let unreached = script.blind.get(&index.to_string()).map_or(&[][..], Vec::as_slice);
    let reached = |n: usize, address: SocketAddr| if unreached.contains(&n) { unresponsive } else { address };
    let nodes: Vec<String> = nodes
        .iter()
        .copied()
        .enumerate()
        .map(|(n, address)| (n, reached(n, address)))
        .map(|(n, address)| format!("{{ name = \"n{n}\", address = \"{address}\" }}"))
        .collect();
    let nodes = nodes.join(", ");
    let mut text =
        format!("version = 1\nname = {:?}\n[admin]\naddress = \"{}\"\n", member.name, member.admin);
    let _ = write!(
        text,
        "[listeners.main]\naddress = \"{}\"\n[classes.any]\nrepeat = \"safe\"\naim = \"1s\"\ndeadline = \"2s\"\n\
         [pools.web]\nnodes = [{nodes}]\n\
         [[routes]]\nname = \"all\"\npath_prefix = \"/\"\nclass = \"any\"\npool = \"web\"\n",
        member.listen
    );
    let seeds: Vec<String> = peers.iter().take(3).map(|a| format!("\"{a}\"")).collect();
    let zone = if script.zones.is_empty() { "" } else { &script.zones[index % script.zones.len()] };
    let key = folder.join(key_file_name(script, index));
    let _ = write!(
        text,
        "[fleet]\naddress = \"{}\"\nadvertise = \"{}\"\nzone = {zone:?}\nkey_file = {:?}\n",
        member.link,
        peers[index],
        key.display().to_string()
    );
    if !script.fleet.contains_key("seeds") {
        let _ = writeln!(text, "seeds = [{}]", seeds.join(", "));
    }
    for (key, value) in &script.fleet {
        let _ = writeln!(text, "{key} = {value}");
    }
    if let Some(duties) = &script.duties {
        let alone = duties.alone.contains(&index);
        let voters = if alone { index..index + 1 } else { 0..duties.voters };
        let voters: Vec<String> = voters.map(|v| format!("m{v}")).collect();
        let _ = writeln!(text, "[fleet.duties]\nvoters = {voters:?}\nnames = {:?}", duties.names);
        if let Some(lease) = duties.lease {
            let _ = writeln!(text, "lease = \"{}ms\"", lease.as_millis());
        }
        if index < duties.voters || alone {
            let _ = writeln!(text, "folder = {:?}", member.state_folder().display().to_string());
        }
        if duties.export {
            let _ = writeln!(text, "[fleet.duties.export]\naddress = \"{sink}\"\nevery = \"200ms\"");
        }
    }
    text
}

fn key_file_name(script: &Script, index: usize) -> &'static str {
    if script.strangers.contains(&index) {
        "strangers.keys"
    } else {
        "fleet.keys"
    }
}

/// Mode of a stand-in node: it responds to every request at once.
const NODE_WELL: u8 = 0;
/// Mode of a stand-in node: it accepts requests and never responds.
const NODE_HANGS: u8 = 1;
/// Mode of a stand-in node: it responds 500 to every request.
const NODE_FAILS: u8 = 2;

/// A stand-in node: it responds to every request at once or, while a fault makes it sick, never or with 500.
struct Node {
    address: SocketAddr,
    /// The mode of the node: `NODE_WELL`, `NODE_HANGS` or `NODE_FAILS`.
    mode: Arc<AtomicU8>,
    /// The number of requests that came while the node was hanging or failing.
    requests_while_sick: Arc<AtomicU64>,
}

impl Node {
    fn start() -> io::Result<Node> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let node = Node {
            address: listener.local_addr()?,
            mode: Arc::default(),
            requests_while_sick: Arc::default(),
        };
        let (mode, sick) = (node.mode.clone(), node.requests_while_sick.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let (mode, sick) = (mode.clone(), sick.clone());
                thread::spawn(move || serve_connection(stream, &mode, &sick));
            }
        });
        Ok(node)
    }
}

fn serve_connection(mut stream: TcpStream, mode: &AtomicU8, sick: &AtomicU64) {
    let (mut unread, mut buffer) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        unread.extend_from_slice(&buffer[..n]);
        while let Some(end) = unread.windows(4).position(|w| w == b"\r\n\r\n") {
            unread.drain(..end + 4);
            let now = mode.load(Ordering::SeqCst);
            sick.fetch_add(u64::from(now != NODE_WELL), Ordering::SeqCst);
            let response: &[u8] = match now {
                NODE_HANGS => b"",
                NODE_FAILS => b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                _ => b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            };
            if stream.write_all(response).is_err() {
                return;
            }
        }
    }
}

impl Drill<'_> {
    /// Writes the members' key files, each in one rename, so that no member reads half a file.
    fn write_keys(&self, keys: &[&str]) -> Result<(), DrillError> {
        let write = |name: &str, text: String| {
            let (path, new) = (self.folder.join(name), self.folder.join(format!("{name}.new")));
            std::fs::write(&new, text)
                .and_then(|()| std::fs::rename(&new, &path))
                .map_err(system_error(path.display().to_string()))
        };
        write("fleet.keys", keys.join("\n") + "\n")?;
        write("strangers.keys", format!("{OTHER_KEY}\n"))
    }

    fn start_member(&mut self, member: usize) -> Result<(), DrillError> {
        self.ready[member] = false;
        self.checks.forget_life(member);
        self.members[member].start(self.program).map_err(system_error(self.program.display().to_string()))
    }

    /// Runs the drill from the first start to the report.
    fn execute(mut self) -> Result<Report, DrillError> {
        for i in 0..self.members.len() {
            if !self.script.late.contains(&i) {
                self.start_member(i)?;
            }
        }
        let begun = Instant::now();
        while !self.poll_members(false) && begun.elapsed() < START_TIMEOUT {
            thread::sleep(POLL_INTERVAL);
        }
        self.checks.check_start(begun.elapsed(), START_TIMEOUT);
        self.start = Instant::now();
        let mut faults: Vec<Fault> = self.script.faults.clone();
        faults.sort_by_key(|f| f.at);
        let mut faults = faults.into_iter().peekable();
        while self.start.elapsed() < self.script.time {
            let now = self.start.elapsed();
            while let Some(f) = faults.next_if(|f| f.at <= now) {
                self.inject(&f)?;
            }
            self.poll_members(true);
            let can_vote = |v: usize| self.members[v].state == ProcessState::Running && self.can_store[v];
            let voters = self.script.duties.as_ref().map_or(0, |d| d.voters);
            let available = (0..voters).filter(|&v| can_vote(v)).count();
            self.checks.check_owners(self.start.elapsed(), 2 * available > voters && self.links_intact);
            thread::sleep(POLL_INTERVAL);
        }
        let faults_over = Instant::now();
        let limit = self.script.settle.unwrap_or_else(|| self.checks.settles_within());
        let mut agreed = self.poll_members(true);
        while !agreed && faults_over.elapsed() < limit {
            thread::sleep(POLL_INTERVAL);
            agreed = self.poll_members(true);
        }
        self.checks.check_agreement(agreed, faults_over.elapsed(), limit);
        self.checks.check_final_owners(self.start.elapsed());
        let running = (0..self.members.len()).filter(|&i| self.members[i].state == ProcessState::Running);
        self.checks.check_sink(&self.sink.record(), running.map(|i| self.members[i].name.clone()).collect());
        let logs: Vec<String> = self
            .members
            .iter()
            .map(|m| std::fs::read_to_string(m.config_file.with_extension("log")).unwrap_or_default())
            .collect();
        self.checks.check_logs(&logs);
        self.checks.end_node_faults(
            self.nodes.iter().map(|n| n.requests_while_sick.load(Ordering::SeqCst)).collect(),
        );
        let (datagrams, bytes) = self.relays.traffic();
        let usage = self.members.iter().filter_map(Member::resource_usage).collect();
        Ok(self.checks.report(begun.elapsed(), datagrams, bytes, usage))
    }

    /// Injects one fault, or ends one.
    fn inject(&mut self, fault: &Fault) -> Result<(), DrillError> {
        self.checks.record_fault(self.start.elapsed(), fault);
        if fault.what.concerns_nodes() {
            let mode = match fault.what {
                FaultKind::HangNodes => NODE_HANGS,
                FaultKind::FailNodes => NODE_FAILS,
                _ => NODE_WELL,
            };
            fault.members.iter().for_each(|&n| self.nodes[n].mode.store(mode, Ordering::SeqCst));
            return Ok(());
        }
        for &i in &fault.members {
            match fault.what {
                FaultKind::FillDisk | FaultKind::RemoveFolder => self.can_store[i] = false,
                FaultKind::FreeDisk | FaultKind::Start => self.can_store[i] = true,
                FaultKind::Cut | FaultKind::Split => self.links_intact = false,
                _ => {}
            }
            let member = &mut self.members[i];
            let result = match fault.what {
                FaultKind::Kill => {
                    member.kill();
                    Ok(())
                }
                FaultKind::Term => member.signal(Signal::TERM, ProcessState::Terminating),
                FaultKind::Stop => member.signal(Signal::STOP, ProcessState::Stopped),
                FaultKind::Continue => member.signal(Signal::CONT, ProcessState::Running),
                FaultKind::Start => {
                    self.start_member(i)?;
                    Ok(())
                }
                FaultKind::Cut => {
                    self.relays.change(|links| links.cut.extend(fault.to.iter().map(|&to| (i, to))));
                    Ok(())
                }
                FaultKind::Split => {
                    let others = (0..self.members.len()).filter(|o| !fault.members.contains(o));
                    self.relays.change(|links| links.cut.extend(others.flat_map(|o| [(i, o), (o, i)])));
                    Ok(())
                }
                FaultKind::FillDisk => member.limit_file_size(Some(0)),
                FaultKind::FreeDisk => member.limit_file_size(None),
                FaultKind::RemoveFolder => std::fs::remove_dir_all(member.state_folder()),
                FaultKind::TearFile => member.append_torn_record(),
                FaultKind::KeepCopy => member.copy_state(false),
                FaultKind::RestoreCopy => member.copy_state(true),
                _ => Ok(()),
            };
            result.map_err(system_error(format!("{:?} of member {i}", fault.what)))?;
        }
        match fault.what {
            FaultKind::Heal => {
                self.links_intact = true;
                self.relays.change(|links| links.cut.clear());
            }
            // No member may get a datagram that it can't authenticate: first all get the new key, then all
            // use it.
            FaultKind::RotateKeys => {
                self.change_keys(&[OLD_KEY, NEW_KEY])?;
                self.change_keys(&[NEW_KEY, OLD_KEY])?;
            }
            FaultKind::DropOldKey => self.change_keys(&[NEW_KEY])?,
            _ => {}
        }
        Ok(())
    }

    /// Gives the running members these keys, of which they use the first.
    fn change_keys(&mut self, keys: &[&str]) -> Result<(), DrillError> {
        self.write_keys(keys)?;
        for member in self.members.iter_mut().filter(|member| member.state == ProcessState::Running) {
            member.signal(Signal::HUP, ProcessState::Running).map_err(system_error("sending SIGHUP"))?;
        }
        // Members act on the signal at once. Their logs would confirm it, but the drill uses network
        // interfaces alone.
        thread::sleep(Duration::from_millis(300));
        Ok(())
    }

    /// Asks each running member for its view of the fleet and of the duties, and sends it requests. Returns
    /// whether all running members answer, serve, and agree on who runs. Views are checked once the drill has
    /// `started`.
    fn poll_members(&mut self, started: bool) -> bool {
        for i in 0..self.members.len() {
            if let Some(status) = self.members[i].unexpected_exit(self.ready[i]) {
                self.checks.record_exit(i, &status);
            }
        }
        let running: BTreeSet<usize> =
            (0..self.members.len()).filter(|&i| self.members[i].state == ProcessState::Running).collect();
        let at = self.start.elapsed();
        // Several requests at once: one at a time would reach few of the nodes.
        let load = self.script.load;
        let has_duties = self.script.duties.is_some();
        let start = self.start;
        let results: Vec<(usize, CallResult, Option<DutiesCall>, Vec<CallResult>)> = thread::scope(|s| {
            let calls: Vec<_> = running
                .iter()
                .map(|&i| {
                    let (admin, listen) = (self.members[i].admin, self.members[i].listen);
                    let served: Vec<_> =
                        (0..load).map(|_| s.spawn(move || http::get(listen, "/x", CALL_TIMEOUT))).collect();
                    let duties = has_duties.then(|| {
                        s.spawn(move || {
                            let sent = start.elapsed();
                            (sent, http::get(admin, "/duties", CALL_TIMEOUT), start.elapsed())
                        })
                    });
                    (i, s.spawn(move || http::get(admin, "/members", CALL_TIMEOUT)), duties, served)
                })
                .collect();
            let panicked = || Err("the thread that made the call panicked".to_string());
            calls
                .into_iter()
                .map(|(i, members, duties, served)| {
                    let served = served.into_iter().map(|c| c.join().unwrap_or_else(|_| panicked()));
                    let duties = duties.and_then(|d| d.join().ok());
                    (i, members.join().unwrap_or_else(|_| panicked()), duties, served.collect())
                })
                .collect()
        });
        let mut agreed = true;
        for (i, members, duties, served) in results {
            let blind = self.script.is_blind(i);
            let well = blind || served.iter().all(|s| matches!(s, Ok((200, _))));
            if self.ready[i] && !blind {
                served.into_iter().for_each(|s| self.checks.check_response(at, i, s));
            }
            self.ready[i] |= well;
            let view: Option<Value> =
                members.ok().filter(|m| m.0 == 200).and_then(|m| serde_json::from_str(&m.1).ok());
            let Some(view) = view else {
                agreed = false;
                continue;
            };
            if let Some((sent, Ok((200, body)), received)) = duties {
                let duties: Value = serde_json::from_str(&body).unwrap_or_default();
                self.checks.check_duties(i, sent, received, &duties);
            }
            let sample = Sample::from_json(at, i, &view, &self.relays.addresses);
            let outside = |m: usize| self.script.is_outside(m);
            let expected: BTreeSet<usize> =
                running.iter().copied().filter(|&m| m == i || (!outside(m) && !outside(i))).collect();
            agreed &= sample.alive == expected;
            if started {
                self.checks.check_sample(sample, &running);
            }
        }
        agreed && running.iter().all(|&i| self.ready[i])
    }
}

impl Member {
    /// The processor time in ms and the resident memory in KiB of its process, from `/proc`.
    fn resource_usage(&self) -> Option<(u64, u64)> {
        let folder = PathBuf::from(format!("/proc/{}", self.process_id()?));
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(") ").next()?.split(' ').collect();
        // User and system time are fields 14 and 15 of the line, in ticks of 10 ms; the split drops the first
        // two.
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        Some((ticks * 10, line.split_whitespace().nth(1)?.parse().ok()?))
    }
}
