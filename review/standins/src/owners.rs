//! A fleet of five members with a duty. A voter loses its folder, two of the three voters die, and one of these
//! comes back. One member at a time may act on the duty, and no epoch may be of two lives.

use crate::scene::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DUTY: &str = "export";
const VOTERS: [&str; 3] = ["edge-1", "edge-2", "edge-3"];
/// Members that do not vote; each owns the duty in turn.
const FIRST_OWNER: &str = "edge-4";
const SECOND_OWNER: &str = "edge-5";
/// Longer than `suspicion` (3 s): all have noticed a death by then.
const NOTICED: Duration = Duration::from_secs(4);
/// For how long the voters have time after one has come back. The pages say "with a majority all is owned again
/// within seconds".
const SETTLED: Duration = Duration::from_secs(8);
/// For how long the members are asked after the last move.
const WATCHED: Duration = Duration::from_secs(6);
const BETWEEN_ROUNDS: Duration = Duration::from_millis(150);

/// A member of the fleet.
struct Member {
    admin: SocketAddr,
    folder: PathBuf,
    file: PathBuf,
    pid: Option<u32>,
}

/// A POST that the sink has taken: the epoch, the member's name and its life.
type Taken = (u64, String, String);

/// What was seen of the owners of the duty.
#[derive(Default)]
struct Seen {
    /// Each answer that says that a member acts, in the order of asking: the member and the epoch.
    acting: Vec<(&'static str, u64)>,
    /// The last round of answers.
    last_round: Vec<(&'static str, u64)>,
}

impl Seen {
    /// Answers of a member about an epoch between two of another member about one epoch: both acted at the same
    /// time, as an epoch belongs to one time of ownership.
    fn overlaps(&self) -> usize {
        let mut bounds: BTreeMap<(&str, u64), (usize, usize)> = BTreeMap::new();
        for (at, &key) in self.acting.iter().enumerate() {
            bounds.entry(key).or_insert((at, at)).1 = at;
        }
        let between = |at: usize, member: &str| {
            bounds.iter().any(|((other, _), &(first, last))| *other != member && first < at && at < last)
        };
        self.acting.iter().enumerate().filter(|&(at, (member, _))| between(at, member)).count()
    }
}

struct Fleet<'a> {
    root: &'a Path,
    record: &'a Record,
    run: String,
    members: BTreeMap<&'static str, Member>,
    seen: Seen,
}

impl Fleet<'_> {
    fn start(&mut self, name: &'static str) -> Result<(), Failure> {
        let Some(member) = self.members.get_mut(name) else { return Err(Failure::new("no such member")) };
        let log =
            std::fs::File::options().create(true).append(true).open(member.file.with_extension("log"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &format!("{} serve \"$1\"", self.run), "sh"])
            .arg(&member.file)
            .current_dir(self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        member.pid = Some(child.id());
        will_be_ended(child);
        self.record.line(&format!("started {name}"));
        Ok(())
    }

    fn kill(&mut self, name: &str) {
        if let Some(pid) = self.members.get_mut(name).and_then(|m| m.pid.take()) {
            kill_process(pid);
            self.record.line(&format!("killed {name}"));
        }
    }

    /// What a program beside the member asks: `GET /duties`.
    fn duties_of(&self, name: &str) -> Option<String> {
        let member = self.members.get(name).filter(|m| m.pid.is_some())?;
        let mut client = Client::connect(member.admin).ok()?;
        client.send(b"GET /duties HTTP/1.1\r\nHost: admin\r\n\r\n").ok()?;
        let answer = client.answer().filter(|a| a.status() == 200)?;
        String::from_utf8(answer.body).ok().map(|b| b.split_whitespace().collect())
    }

    /// Asks all members one after the other, and returns which of them act on the duty, with the epochs.
    fn ask_all(&mut self) -> Vec<(&'static str, u64)> {
        let mut round = Vec::new();
        for name in self.members.keys().copied().collect::<Vec<_>>() {
            let text = self.duties_of(name).unwrap_or_default();
            if let Some(epoch) = acting_epoch(&text) {
                round.push((name, epoch));
            }
        }
        self.seen.acting.extend(&round);
        if round != self.seen.last_round {
            self.record.line(&format!("acting on {DUTY}, by GET /duties: {round:?}"));
            self.seen.last_round.clone_from(&round);
        }
        round
    }

    fn ask_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.ask_all();
            thread::sleep(BETWEEN_ROUNDS);
        }
    }

    /// Asks until this member alone acts on the duty.
    fn ask_until_acting(&mut self, member: &str) -> Result<(), Failure> {
        let end = Instant::now() + Duration::from_secs(10);
        while self.ask_all().iter().map(|a| a.0).collect::<Vec<_>>() != [member] {
            if Instant::now() > end {
                return Err(Failure::new(format!("{member} did not come to act on {DUTY} within 10 s")));
            }
            thread::sleep(BETWEEN_ROUNDS);
        }
        Ok(())
    }

    /// An operator's word, given to a voter that runs, `garnettally duties ADMIN move DUTY MEMBER`, and given
    /// again while the command refuses it because its member does not know the other one yet.
    fn move_duty(&self, at: &str, to: &str) -> Result<(), Failure> {
        let admin = self.members.get(at).map(|m| m.admin.to_string()).unwrap_or_default();
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            let output = Command::new("/bin/sh")
                .args([
                    "-c",
                    &format!("{} duties \"$1\" move \"$2\" \"$3\"", self.run),
                    "sh",
                    &admin,
                    DUTY,
                    to,
                ])
                .current_dir(self.root)
                .stdin(Stdio::null())
                .output()?;
            let said = String::from_utf8_lossy(if output.status.success() {
                &output.stdout
            } else {
                &output.stderr
            });
            self.record.line(&format!("`duties move {DUTY} {to}` at {at}: {}", said.trim()));
            if output.status.success() {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(Failure::new(format!("the command to move {DUTY} to {to} failed for 10 s")));
            }
            thread::sleep(Duration::from_millis(300));
        }
    }

    /// Copies what the member has logged about its part as a voter into the record.
    fn record_log(&self, name: &str) {
        let Some(member) = self.members.get(name) else { return };
        let log = std::fs::read_to_string(member.file.with_extension("log")).unwrap_or_default();
        for line in log.lines().filter(|l| l.contains("voter") || l.contains("duty")) {
            self.record.line(&format!("{name} logged: {line}"));
        }
    }

    /// The voter that leads.
    fn leader(&self) -> Option<&'static str> {
        let leads = |name: &&&str| self.duties_of(name).is_some_and(|t| t.contains("\"leads\":true"));
        VOTERS.iter().find(leads).copied()
    }
}

/// The epoch under which the member acts on the duty, by its answer to `GET /duties` without white space.
fn acting_epoch(text: &str) -> Option<u64> {
    let owned = text.split_once("\"owned\":[")?.1.split_once(']')?.0;
    let entry = owned.split('}').find(|e| e.contains(&format!("\"duty\":\"{DUTY}\"")))?;
    entry.contains("\"acts\":true").then_some(())?;
    number_after(entry, "\"epoch\":")
}

fn number_after(text: &str, key: &str) -> Option<u64> {
    let rest = text.split_once(key)?.1;
    rest[..rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len())].parse().ok()
}

fn text_after(text: &str, key: &str) -> String {
    text.split_once(key).and_then(|(_, rest)| rest.split('"').nth(1)).unwrap_or("").to_string()
}

/// A sink for the figures, as docs/duties.md asks for it: it remembers the highest epoch, answers 409 to lower
/// ones and 200 to the rest.
fn start_sink(record: &Record) -> Result<(SocketAddr, Arc<Mutex<Vec<Taken>>>), Failure> {
    let listener = TcpListener::bind((host(), 0))?;
    let address = listener.local_addr()?;
    let taken: Arc<Mutex<Vec<Taken>>> = Arc::default();
    let (all, record) = (taken.clone(), record.clone());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (all, record) = (all.clone(), record.clone());
            spawn(move || drop(take(stream, &all, &record)));
        }
    });
    Ok((address, taken))
}

fn take(mut stream: TcpStream, all: &Mutex<Vec<Taken>>, record: &Record) -> std::io::Result<()> {
    let Some(post) = Message::read(&mut BufReader::new(stream.try_clone()?)) else { return Ok(()) };
    let epoch = post.header("duty-epoch").and_then(|e| e.parse::<u64>().ok()).unwrap_or(0);
    let sequence = post.header("duty-sequence").unwrap_or("").to_string();
    let body: String = String::from_utf8_lossy(&post.body).split_whitespace().collect();
    // Of the lives in the body, the sender's own follows its `by`; the members' stand in the list.
    let own = match (body.find("\"members\":["), body.rfind(']')) {
        (Some(from), Some(to)) if from < to => format!("{}{}", &body[..from], &body[to..]),
        _ => body,
    };
    let (by, life) = (text_after(&own, "\"by\":"), text_after(&own, "\"life\":"));
    let status = {
        let Ok(mut all) = all.lock() else { return Ok(()) };
        let is_late = all.iter().any(|(highest, _, _)| *highest > epoch);
        if !is_late {
            all.push((epoch, by.clone(), life.clone()));
        }
        if is_late {
            "409 Conflict"
        } else {
            "200 OK"
        }
    };
    record.line(&format!("the sink got epoch {epoch}, sequence {sequence} by {by}, life {life}: {status}"));
    write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}

/// Free addresses on the loopback host of the run.
fn free_addresses(names: &[&'static str]) -> Result<Vec<[SocketAddr; 3]>, Failure> {
    let mut held = Vec::new();
    for _ in names {
        let tcp = [TcpListener::bind((host(), 0))?, TcpListener::bind((host(), 0))?];
        held.push((tcp, UdpSocket::bind((host(), 0))?));
    }
    let address = |(tcp, udp): &([TcpListener; 2], UdpSocket)| {
        Ok([tcp[0].local_addr()?, tcp[1].local_addr()?, udp.local_addr()?])
    };
    held.iter().map(address).collect()
}

/// Writes the members' files, as docs/fleet-link.md and docs/duties.md have them.
fn write_files(
    folder: &Path,
    node: SocketAddr,
    sink: SocketAddr,
) -> Result<BTreeMap<&'static str, Member>, Failure> {
    let names = [VOTERS[0], VOTERS[1], VOTERS[2], FIRST_OWNER, SECOND_OWNER];
    let addresses = free_addresses(&names)?;
    let seeds: Vec<String> = addresses.iter().take(3).map(|a| format!("{:?}", a[2].to_string())).collect();
    let mut members = BTreeMap::new();
    for (name, [listen, admin, link]) in names.into_iter().zip(addresses) {
        let state = folder.join(format!("{name}.state"));
        let own_folder = if VOTERS.contains(&name) {
            format!("folder = {:?}\n", state.display().to_string())
        } else {
            String::new()
        };
        let text = format!(
            "version = 1\nname = \"{name}\"\n[admin]\naddress = \"{admin}\"\n\
             [listeners.main]\naddress = \"{listen}\"\n\
             [classes.any]\nrepeat = \"safe\"\naim = \"1s\"\ndeadline = \"3s\"\n\
             [pools.web]\nnodes = [{{ name = \"web-1\", address = \"{node}\" }}]\n\
             [[routes]]\nname = \"all\"\npath_prefix = \"/\"\nclass = \"any\"\npool = \"web\"\n\
             [fleet]\naddress = \"{link}\"\nseeds = [{}]\n\
             [fleet.duties]\nvoters = {VOTERS:?}\n{own_folder}\
             [fleet.duties.export]\naddress = \"{sink}\"\npath = \"/\"\nevery = \"250ms\"\n",
            seeds.join(", ")
        );
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, text)?;
        members.insert(name, Member { admin, folder: state, file, pid: None });
    }
    Ok(members)
}

pub fn play(root: &Path, record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    let folder = temporary_folder()?;
    let node = Upstream::start("web-1".into(), record, |_| Duration::from_millis(20))?;
    let (sink, taken) = start_sink(record)?;
    let members = write_files(&folder, node.address, sink)?;
    let mut fleet = Fleet { root, record, run: run_line(root)?, members, seen: Seen::default() };
    for name in fleet.members.keys().copied().collect::<Vec<_>>() {
        fleet.start(name)?;
    }
    let end = Instant::now() + Duration::from_secs(30);
    while fleet.ask_all().is_empty() {
        if Instant::now() > end {
            return Err(Failure::new(format!("nobody came to act on {DUTY} within 30 s of the start")));
        }
        thread::sleep(BETWEEN_ROUNDS);
    }
    fleet.move_duty(VOTERS[0], FIRST_OWNER)?;
    fleet.ask_until_acting(FIRST_OWNER)?;
    fleet.ask_for(Duration::from_secs(1));
    let leader = fleet.leader().ok_or(Failure::new("no voter leads"))?;
    let others: Vec<&'static str> = VOTERS.into_iter().filter(|v| *v != leader).collect();
    let (loses_folder, comes_back) = (others[0], others[1]);
    record.line(&format!("{leader} leads; {loses_folder} is to lose its folder, {comes_back} to come back"));

    fleet.kill(comes_back);
    fleet.ask_for(NOTICED);
    fleet.move_duty(leader, SECOND_OWNER)?;
    fleet.ask_until_acting(SECOND_OWNER)?;
    fleet.ask_for(Duration::from_secs(1));
    fleet.kill(leader);
    fleet.ask_for(NOTICED);
    if with_trouble {
        if let Some(member) = fleet.members.get(loses_folder) {
            std::fs::remove_dir_all(&member.folder)?;
            record.line(&format!("removed the folder of {loses_folder}"));
        }
    }
    fleet.ask_for(NOTICED + NOTICED);
    fleet.start(comes_back)?;
    fleet.ask_for(SETTLED);
    for name in [loses_folder, comes_back] {
        record.line(&format!("{name} says {}", fleet.duties_of(name).unwrap_or_default()));
    }
    fleet.move_duty(loses_folder, comes_back)?;
    fleet.ask_for(WATCHED);
    for name in fleet.members.keys().copied().collect::<Vec<_>>() {
        record.line(&format!("{name} says {}", fleet.duties_of(name).unwrap_or_default()));
    }

    fleet.record_log(loses_folder);
    let mut lives: BTreeMap<u64, BTreeMap<String, usize>> = BTreeMap::new();
    for (epoch, by, life) in taken.lock().map(|t| t.clone()).unwrap_or_default() {
        *lives.entry(epoch).or_default().entry(format!("{by} ({life})")).or_default() += 1;
    }
    for (epoch, by) in &lives {
        record.line(&format!("taken by the sink under epoch {epoch}: {by:?}"));
    }
    let (overlaps, shared) = (fleet.seen.overlaps(), lives.iter().find(|(_, by)| by.len() > 1));
    Ok(match (overlaps, shared) {
        (0, None) => Verdict::Held("one member at a time acted, and no epoch was of two lives".into()),
        (n, Some((epoch, by))) => Verdict::Broken(format!(
            "{n} answers of `GET /duties` say that a second member acts; the sink took epoch {epoch} from {by:?}"
        )),
        (n, None) => Verdict::Broken(format!("{n} answers of `GET /duties` say that a second member acts")),
    })
}
