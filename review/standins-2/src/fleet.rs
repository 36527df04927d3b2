//! A small fleet with one duty: its members' files, who acts on the duty, and the check that nobody does after a
//! later owner.

use crate::{ask, Balancer, Case, Record};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The members. The last one is no voter, the others are.
pub const NAMES: [&str; 4] = ["edge-1", "edge-2", "edge-3", "edge-4"];
/// The member that is no voter.
pub const OTHER: usize = 3;

/// A datagram socket on a loopback address of this run's own.
pub fn udp_socket() -> Result<(UdpSocket, SocketAddr), String> {
    let socket = UdpSocket::bind((crate::host(), 0)).map_err(|e| e.to_string())?;
    let address = socket.local_addr().map_err(|e| e.to_string())?;
    Ok((socket, address))
}

/// Where a member listens: for clients, for operators, for datagrams; and where its peers reach it.
#[derive(Clone, Copy)]
pub struct Addresses {
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub link: SocketAddr,
    pub advertise: SocketAddr,
}

/// The file of a member.
pub fn file(i: usize, all: &[Addresses], lease: &str, folder: &str) -> String {
    let Addresses { listen, admin, link, advertise } = all[i];
    let own_folder = if i == OTHER { String::new() } else { format!("folder = \"{folder}/voter-{i}\"\n") };
    format!(
        r#"version = 1
name = "{name}"

[admin]
address = "{admin}"

[listeners.public]
address = "{listen}"

[classes.lookup]
repeat = "safe"
aim = "600ms"
deadline = "1500ms"

[pools.web]
nodes = [{{ name = "web-1", address = "127.0.0.1:9" }}]

[[routes]]
name = "all"
path_prefix = "/"
class = "lookup"
pool = "web"

[fleet]
address = "{link}"
advertise = "{advertise}"
seeds = ["{seed_1}", "{seed_2}"]
size_floor = 3
ask_every = "1s"

[fleet.duties]
voters = ["edge-1", "edge-2", "edge-3"]
{own_folder}lease = "{lease}"
names = [{duties}]
"#,
        duties = DUTIES.map(|d| format!("{d:?}")).join(", "),
        name = NAMES[i],
        seed_1 = all[0].advertise,
        seed_2 = all[1].advertise,
    )
}

/// The duties of the fleet.
pub const DUTIES: [&str; 6] = ["nightly-report", "renewal", "cleaning", "probing", "grants", "discovery"];

/// What `GET /duties` answers at this address.
fn duties(admin: SocketAddr) -> Result<String, String> {
    let answer = ask(admin, "GET", "/duties", &[], "", Duration::from_secs(2)).map_err(|e| e.to_string())?;
    Ok(answer.body_text())
}

/// The duties on which a member says that it acts, with their epochs.
pub fn acting(admin: SocketAddr) -> Result<Vec<(String, u64)>, String> {
    let answer = duties(admin)?;
    let owned = answer.split_once("\"owned\":[").and_then(|(_, rest)| rest.split_once(']'));
    let Some((owned, _)) = owned else { return Err(format!("/duties: {answer}")) };
    let field = |o: &str, name: &str| {
        let value = o.split_once(&format!("\"{name}\":")).map_or("", |(_, v)| v);
        value.split(',').next().unwrap_or("").trim_matches('"').to_string()
    };
    let acts = owned.split('}').filter(|o| field(o, "acts") == "true");
    Ok(acts.filter_map(|o| Some((field(o, "duty"), field(o, "epoch").parse().ok()?))).collect())
}

/// The epoch under which a member says that it acts on the first duty; `None`: it does not act.
pub fn acting_epoch(admin: SocketAddr) -> Result<Option<u64>, String> {
    Ok(acting(admin)?.into_iter().find(|(duty, _)| duty == DUTIES[0]).map(|(_, epoch)| epoch))
}

/// A voter's standing, as it says.
pub fn standing(admin: SocketAddr) -> String {
    let answer = duties(admin).unwrap_or_else(|e| e);
    let rest = answer.split_once("\"standing\":").map_or("", |(_, rest)| rest);
    rest.split(',').next().unwrap_or("").to_string()
}

/// Waits until a voter votes.
pub fn wait_until_voting(admin: SocketAddr) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(20);
    while standing(admin) != "\"votes\"" {
        if Instant::now() > end {
            return Err(format!("the voter at {admin} does not vote: {:?}", duties(admin)));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Waits until a member acts on the duty.
pub fn wait_until_acting(name: &str, admin: SocketAddr) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(20);
    while acting_epoch(admin)?.is_none() {
        if Instant::now() > end {
            return Err(format!("{name} does not come to act: {:?}", duties(admin)));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Starts all members and waits until the duty has an owner.
pub fn start(case: &Case, all: &[Addresses], lease: &str) -> Result<Vec<Balancer>, String> {
    let folder = case.folder.display().to_string();
    let mut members = Vec::new();
    for (i, name) in NAMES.iter().enumerate() {
        members.push(Balancer::serve(case, name, &file(i, all, lease, &folder))?);
    }
    for m in &members {
        m.wait_for_log("listener: admin", 1)?;
    }
    let end = Instant::now() + Duration::from_secs(20);
    while !all.iter().any(|a| acting_epoch(a.admin).is_ok_and(|e| e.is_some())) {
        if Instant::now() > end {
            return Err("nobody comes to own the duty".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(members)
}

/// A call of an operator, which has to be answered with 200.
pub fn put(record: &Record, name: &str, admin: SocketAddr, path: &str) -> Result<(), String> {
    let answer = ask(admin, "PUT", path, &[], "", Duration::from_secs(2));
    let status = answer.map_err(|e| format!("PUT {path}: {e}"))?.status;
    record.note(format!("operator: PUT {path} at {name}: {status}"));
    if status == 200 {
        Ok(())
    } else {
        Err(format!("PUT {path}: {status}"))
    }
}

/// A look at a member that acts: when it was asked, when the answer was there, who, and its epoch.
type Look = (f64, f64, usize, u64);

/// Asks all members every few milliseconds whether they act.
pub struct Watchers {
    stop: Arc<AtomicBool>,
    looks: Arc<Mutex<Vec<Look>>>,
    threads: Vec<JoinHandle<()>>,
    record: Record,
}

impl Watchers {
    pub fn start(record: &Record, all: &[Addresses]) -> Watchers {
        let (stop, looks) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<Look>>>::default());
        let threads = all.iter().enumerate().map(|(member, addresses)| {
            let (stop, looks, record, admin) = (stop.clone(), looks.clone(), record.clone(), addresses.admin);
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let asked = record.ms();
                    let epoch = acting_epoch(admin);
                    if let (Ok(Some(epoch)), Ok(mut looks)) = (epoch, looks.lock()) {
                        looks.push((asked, record.ms(), member, epoch));
                    }
                    thread::sleep(Duration::from_millis(4));
                }
            })
        });
        let threads = threads.collect();
        Watchers { stop, looks, threads, record: record.clone() }
    }

    /// Whether nobody acted after another member had acted under a later epoch.
    pub fn check(self) -> Result<bool, String> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| drop(t.join()));
        let mut looks = self.looks.lock().map_err(|e| e.to_string())?.clone();
        looks.sort_by(|a, b| a.1.total_cmp(&b.1));
        let (mut broken, mut last, mut shown) = (0, (usize::MAX, 0), 0);
        // The latest owner seen so far, by epoch, and when its first answer was there.
        let mut latest: Option<Look> = None;
        for look in &looks {
            let (asked, told, member, epoch) = *look;
            if last != (member, epoch) && shown < 60 {
                shown += 1;
                self.record.note(format!(
                    "seen: {} acts under epoch {epoch}, asked at {asked:.1}, told at {told:.1}",
                    NAMES[member]
                ));
            }
            last = (member, epoch);
            match latest {
                Some((_, later_told, later, later_epoch))
                    if later_epoch > epoch && later != member && later_told < asked =>
                {
                    broken += 1;
                    if broken <= 20 {
                        self.record.note(format!(
                            "broken: {} said at {told:.1} that it acts under epoch {epoch}, asked at {asked:.1}; \
                             {} had said at {later_told:.1} that it acts under epoch {later_epoch}",
                            NAMES[member], NAMES[later]
                        ));
                    }
                }
                Some((_, _, _, later_epoch)) if later_epoch >= epoch => {}
                _ => latest = Some(*look),
            }
        }
        let count = looks.len();
        self.record.note(format!("{count} looks at members that act, {broken} of them too late"));
        Ok(broken == 0)
    }
}
