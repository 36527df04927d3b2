//! Several processes as one fleet: drills with faults between them, what operators ask, and that nothing of it is
//! there where it was not asked for.

mod support;

use std::process::{Command, Output, Stdio};
use support::*;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_garnettally")).args(args).stdin(Stdio::null()).output().unwrap()
}

fn text(out: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
}

/// Holds one of the drills that operators get.
fn drill(name: &str, invariants: &[&str]) {
    let script = format!("{}/deploy/drills/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let out = run(&["drill", &script]);
    let told = text(&out);
    assert!(out.status.success(), "{told}");
    for invariant in invariants {
        assert!(told.contains(invariant), "{invariant:?} was not tried: {told}");
    }
}

const ALWAYS: &str = "all agree after the last fault";
const SERVED: &str = "each request is served";
const INNOCENT: &str = "nobody without a fault is taken for dead";
const NOTICED: &str = "each death is noticed by all";
const SIZE: &str = "no size below what is held";

#[test]
fn a_death_a_leave_a_standstill_and_a_return() {
    drill("deaths", &[ALWAYS, SERVED, INNOCENT, NOTICED, SIZE, "who was taken for dead knows it"]);
}

#[test]
fn a_zone_that_is_cut_off_shrinks_nobodys_fleet() {
    drill("zone-cut", &[ALWAYS, SERVED, INNOCENT, SIZE]);
}

#[test]
fn links_cut_one_way_kill_nobody() {
    drill("one-way", &[ALWAYS, SERVED, INNOCENT, SIZE]);
}

#[test]
fn a_third_of_the_datagrams_lost_and_the_rest_in_disorder() {
    drill("loss", &[ALWAYS, SERVED, NOTICED, SIZE]);
}

#[test]
fn most_die_at_once_and_come_back() {
    drill("most-die", &[ALWAYS, SERVED, INNOCENT, NOTICED]);
}

#[test]
fn keys_change_strangers_stay_out_and_names_clash() {
    drill(
        "keys",
        &[ALWAYS, SERVED, INNOCENT, "strangers stay outside", "two of one name are reported by all"],
    );
}

#[test]
fn a_planned_restart_of_all() {
    drill("rolling", &[ALWAYS, SERVED, NOTICED]);
}

/// Guards against members that each pay to learn what one knows, and against verdicts that outlive their cause.
#[test]
fn what_two_find_out_about_a_node_all_go_by_until_it_is_well() {
    let (found, ended) = ("all go by a verdict on a sick node", "no verdict is left on a node that is well");
    drill("sick-nodes", &[ALWAYS, NOTICED, found, ended, "no verdict is held past its age"]);
}

/// Guards against words that outlive their age where no link is left to take them back by.
#[test]
fn with_all_links_cut_verdicts_end_by_their_age() {
    let ended = "no verdict is left on a node that is well";
    drill(
        "cut-off-verdicts",
        &[ALWAYS, "all go by a verdict on a sick node", ended, "no verdict is held past its age"],
    );
}

/// Guards against one member with a broken link of its own that moves the others, and an older program beside them.
#[test]
fn a_broken_member_and_an_older_one_harm_nobody() {
    let (one, old) = ("what one broken member says moves nobody", "another version is told apart");
    drill("broken-member", &[ALWAYS, SERVED, INNOCENT, one, old, "strangers stay outside"]);
}

const OWNED: [&str; 8] = [
    "the sink is told at the end",
    "the sink is told nothing twice",
    "no epoch of two lives at the sink",
    "the sink has all members' figures",
    "each duty has an owner again",
    "each duty has an owner at the end",
    "no epoch is of two lives",
    "no owner acts after a later one",
];

/// Guards against two owners at a time, and against work that stops, whoever dies, stands still, leaves or is cut off.
#[test]
fn one_owner_at_a_time_whoever_fails() {
    drill("owners", &[&[ALWAYS, SERVED][..], &OWNED].concat());
}

/// Guards against promises that are not stored, and against a process that a full disk takes along.
#[test]
fn disks_that_fill_up_and_folders_that_go_back_give_no_epoch_twice() {
    drill("disks", &[&[ALWAYS, SERVED, "an old copy may not vote"][..], &OWNED].concat());
}

/// The same under faults that a seed draws.
#[test]
fn one_owner_at_a_time_under_drawn_faults() {
    drill("drawn", &[&[ALWAYS, SERVED][..], &OWNED].concat());
}

/// Guards against voters without a folder of their own, and what else makes no sense in the table.
#[test]
fn duties_that_make_no_sense_are_refused_by_key() {
    let fleet = "[fleet]\naddress = \"127.0.0.1:0\"\nname = \"a\"\n[fleet.duties]\n";
    for (table, key, part) in [
        ("voters = [\"a\"]\n", "fleet.duties.folder", "is one of fleet.duties.voters"),
        ("voters = [\"a\", \"b\"]\nfolder = \"x\"\n", "fleet.duties.voters", "1, 3, 5 or 7"),
        ("voters = [\"a\", \"b\", \"b\"]\nfolder = \"x\"\n", "fleet.duties.voters", "different"),
        ("voters = [\"b\"]\nfolder = \"x\"\n", "fleet.duties.folder", "not one of fleet.duties.voters"),
        ("voters = [\"b\"]\n[fleet.duties.export]\naddress = \"x\"\n", "fleet.duties.export.address", ""),
        (
            "voters = [\"b\"]\nnames = [\"export\"]\n[fleet.duties.export]\naddress = \"127.0.0.1:1\"\n",
            "fleet.duties.export",
            "fleet.duties.names",
        ),
        ("voters = [\"b\"]\nlease = \"2m\"\n", "fleet.duties.lease", "longer than a minute"),
        ("voters = [\"b\"]\nnames = [\"x\", \"x\"]\n", "fleet.duties.names[1]", "no name of its own"),
    ] {
        let file = write_config_file(&format!("{}{fleet}{table}", ALONE.replace("LISTEN", "127.0.0.1:0")));
        let told = text(&run(&["check", &file]));
        assert!(told.contains(key) && told.contains(part), "{table}: {told}");
    }
}

/// One voter alone, as an operator sees it: what it owns, under which epoch, also after a restart; and a second process
/// on its folder is refused.
#[test]
fn a_single_voter_keeps_its_epochs_over_a_restart() {
    let folder = std::path::PathBuf::from(write_config_file("x")).with_extension("state");
    let admin = free_address();
    let file = |admin: std::net::SocketAddr| {
        format!(
            "{ALONE}[admin]\naddress = \"{admin}\"\n[fleet]\naddress = \"127.0.0.1:0\"\nname = \"a\"\n\
             [fleet.duties]\nvoters = [\"a\"]\nfolder = {folder:?}\nnames = [\"report\"]\nlease = \"200ms\"\n"
        )
    };
    let epoch = |admin: std::net::SocketAddr| {
        let mut epoch = 0;
        wait_until("an owner", || {
            let out = run(&["duties", "--json", &admin.to_string()]);
            let told: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
            epoch = told["owned"][0]["epoch"].as_u64().unwrap_or(0);
            told["owned"][0]["acts"] == true
        });
        epoch
    };
    let first = OperatedBalancer::start(&file(admin));
    let before = epoch(admin);
    let table = text(&run(&["duties", &admin.to_string()]));
    assert!(table.contains("report") && table.contains("acts") && table.contains("leads"), "{table}");
    let refused = text(&run(&["duties", &admin.to_string(), "move", "report", "nobody"]));
    assert!(refused.contains("no member called"), "{refused}");
    let other = free_address();
    let second = OperatedBalancer::start(&file(other));
    wait_until("the refusal", || second.count_in_log("another process has this folder") > 0);
    assert_eq!(second.request(&get_request("/")).status() / 100, 5, "it serves on");
    drop((first, second));
    let third = free_address();
    let _third = OperatedBalancer::start(&file(third));
    let after = epoch(third);
    assert!(after > before, "{after} after {before}: another life has another epoch");
}

/// The checks have to be able to fail: members that never meet, a cut that stays, a death that is noticed too late.
#[test]
fn drills_of_a_broken_fleet_fail() {
    let fast =
        "[fleet]\nprobe_period = \"100ms\"\nsuspicion = \"600ms\"\nask_every = \"50ms\"\nmax_age = \"2s\"\n";
    let top = "members = 3\ntime = \"3s\"\nsettle = \"1s\"\n";
    let cut = "[[faults]]\nat = \"0s\"\nwhat = \"split\"\nmembers = [0]\n";
    let slow = fast.replace("suspicion = \"600ms\"", "suspicion = \"50s\"\nforget_after = \"5m\"");
    let kill = "[[faults]]\nat = \"0s\"\nwhat = \"kill\"\nmembers = [0]\n";
    // One member's word is no verdict.
    let alone = "members = 1\nnodes = 6\nload = 8\ntime = \"3s\"\nsettle = \"1s\"\n";
    let hang = "[[faults]]\nat = \"0s\"\nwhat = \"hang-nodes\"\nmembers = [2]\n";
    // One that takes itself for the only voter; and a bound that no fleet can keep.
    let rival = "[duties]\nvoters = 1\nnames = [\"a\"]\nalone = [2]\n";
    // Forty, so that the member that dies owns some.
    let names: Vec<String> = (0..40).map(|n| format!("d{n}")).collect();
    let late = format!("[duties]\nvoters = 1\nnames = {names:?}\ngap = \"1ms\"\n");
    let last = kill.replace("[0]", "[2]");
    // The members' bound is longer than the one that they are held to.
    let words =
        "members = 3\nnodes = 6\nload = 8\ntime = \"3s\"\nsettle = \"1s\"\nchecked_max_age = \"200ms\"\n";
    for (what, script, broken) in [
        ("stays cut", format!("{top}{fast}{cut}"), ALWAYS),
        ("never notices", format!("{top}{slow}{kill}"), NOTICED),
        ("keeps words for longer", format!("{words}{fast}{hang}"), "no verdict is held past its age"),
        ("has an owner of its own", format!("{top}{rival}{fast}"), "no owner acts after a later one"),
        ("finds no owner in time", format!("{top}{late}{fast}{last}"), "each duty has an owner again"),
        ("has nobody to tell", format!("{alone}{fast}{hang}"), "all go by a verdict on a sick node"),
    ] {
        let file = write_config_file(&script);
        let out = run(&["drill", &file]);
        assert_eq!(out.status.code(), Some(1), "{what}: {}", text(&out));
        assert!(text(&out).contains(broken) && text(&out).contains("drill failed"), "{what}: {}", text(&out));
    }
    let out = run(&["drill", &write_config_file("members = 0\ntime = \"1s\"")]);
    assert!(text(&out).contains("members: 0 is out of range"), "{}", text(&out));
}

const ALONE: &str = r#"version = 1
[listeners.main]
address = "LISTEN"
[classes.any]
repeat = "safe"
aim = "1s"
deadline = "2s"
[pools.web]
nodes = [{ name = "n", address = "127.0.0.1:9" }]
[[routes]]
name = "all"
path_prefix = "/"
class = "any"
pool = "web"
"#;

/// Datagram sockets and threads of a process.
fn sockets_and_threads(pid: u32) -> (usize, usize) {
    let mut inodes = Vec::new();
    for table in ["udp", "udp6"] {
        let text = std::fs::read_to_string(format!("/proc/{pid}/net/{table}")).unwrap_or_default();
        inodes.extend(text.lines().skip(1).filter_map(|l| l.split_whitespace().nth(9).map(str::to_string)));
    }
    let links = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let links = links.filter_map(|f| std::fs::read_link(f.ok()?.path()).ok());
    let ours = links.filter(|l| inodes.iter().any(|i| l.to_string_lossy() == format!("socket:[{i}]")));
    (ours.count(), std::fs::read_dir(format!("/proc/{pid}/task")).unwrap().count())
}

/// Guards against a link on the platform, where balancers share nothing, or wherever no file asks for one.
#[test]
fn without_the_table_there_is_no_socket_no_thread_and_no_figure() {
    let discovery = Discovery::start();
    let up = Upstream::start(|_| ok_reply("x"));
    let platform = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let (sockets, threads) = sockets_and_threads(platform.child.id());
    assert_eq!(sockets, 0, "a datagram socket on the platform");
    let admin = free_address();
    let plain = OperatedBalancer::start(&format!("{ALONE}[admin]\naddress = \"{admin}\"\n"));
    assert_eq!(sockets_and_threads(plain.child.id()), (0, threads));
    let refused = run(&["members", &admin.to_string()]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(text(&refused).contains("no [fleet] in its file"), "{}", text(&refused));
    let refused = run(&["duties", &admin.to_string()]);
    assert!(text(&refused).contains("no [fleet.duties] in its file"), "{}", text(&refused));
    let stats = Client::connect(admin).unwrap().request("GET /stats HTTP/1.1\r\nHost: a\r\n\r\n");
    let figures = String::from_utf8_lossy(&stats.body).to_string();
    assert!(!figures.contains("fleet") && !figures.contains("duties"));
    // The check has to be able to see one.
    let admin = free_address();
    let fleet = "[fleet]\naddress = \"127.0.0.1:0\"\nname = \"alone\"\n";
    let member = OperatedBalancer::start(&format!("{ALONE}[admin]\naddress = \"{admin}\"\n{fleet}"));
    assert_eq!(sockets_and_threads(member.child.id()), (1, threads), "a socket, and still no thread");
    let table = text(&run(&["members", &admin.to_string()]));
    assert!(table.contains("alone") && table.contains("self") && table.contains("1 alive"), "{table}");
    let json: serde_json::Value =
        serde_json::from_slice(&run(&["members", "--json", &admin.to_string()]).stdout).unwrap();
    assert_eq!((&json["alive"], &json["members"][0]["state"]), (&1.into(), &"self".into()));
    let stats = Client::connect(admin).unwrap().request("GET /stats HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(String::from_utf8_lossy(&stats.body).contains("edge_gw.fleet.members_alive:1|g"));
}

/// Guards against a key file that is damaged while running: the keys before stay in force, and it is told.
#[test]
fn a_damaged_key_file_changes_nothing() {
    let keys = write_config_file(&format!("1 {}\n", "ab".repeat(32)));
    let admin = free_address();
    let fleet = format!("[fleet]\naddress = \"127.0.0.1:0\"\nname = \"a\"\nkey_file = \"{keys}\"\n");
    let file = format!("{ALONE}[admin]\naddress = \"{admin}\"\n{fleet}");
    let member = OperatedBalancer::start(&file);
    std::fs::write(&keys, "1 not a key\n").unwrap();
    member.reload(&file);
    wait_until("the complaint", || member.count_in_log("the fleet's keys before stay in force") == 1);
    assert!(member.log_text().contains("line 1"), "{}", member.log_text());
    std::fs::write(&keys, format!("2 {}\n", "cd".repeat(32))).unwrap();
    member.reload(&file);
    assert_eq!(member.count_in_log("the fleet's keys before stay in force"), 1);
    // A start with a damaged file is refused, and names key and line.
    std::fs::write(&keys, "1 not a key\n").unwrap();
    let mut refused = OperatedBalancer::spawn(&file.replace(&admin.to_string(), &free_address().to_string()));
    assert!(!refused.balancer.wait_for_exit().success());
}

/// A pool that does not say how many share its nodes follows the live membership, and keeps to the most of late when
/// members die: what is left must not send for all at once.
#[test]
fn a_pools_instances_follow_the_members_and_fall_late() {
    let links: Vec<String> = (0..3).map(|_| free_address().to_string()).collect();
    let fixed = "[pools.fixed]\ninstances = 2\nnodes = [{ name = \"f\", address = \"127.0.0.1:9\" }]\n";
    let file = |i: usize| {
        format!(
            "{ALONE}{fixed}[fleet]\naddress = \"{}\"\nname = \"m{i}\"\nseeds = [\"{}\"]\nprobe_period = \"100ms\"\n\
             suspicion = \"500ms\"\n",
            links[i], links[0]
        )
    };
    let mut members: Vec<OperatedBalancer> = (0..3).map(|i| OperatedBalancer::spawn(&file(i))).collect();
    for m in &members {
        wait_until("three instances", || {
            m.count_in_log("instances: 3") + m.count_in_log("\"instances\":3") > 0
        });
    }
    // Each is another one, and the pool that says so itself is left alone.
    let ranks: std::collections::BTreeSet<bool> = members
        .iter()
        .map(|m| m.log_text().lines().any(|l| l.contains("instances: 3") && l.contains("instance: 0")))
        .collect();
    assert_eq!(ranks.len(), 2, "one of them is the first, not all");
    assert!(members.iter().all(|m| !m.log_text().contains("pool: fixed")));
    members[2].balancer.child.kill().unwrap();
    wait_until("the death is known", || members[..2].iter().all(|m| m.count_in_log("a member is down") > 0));
    // On the way up it may have been 2: the last word counts.
    let last =
        |m: &OperatedBalancer| m.log_text().lines().rfind(|l| l.contains("instances: ")).map(str::to_string);
    assert!(
        members[..2].iter().all(|m| last(m).is_some_and(|l| l.contains("instances: 3"))),
        "the size is held"
    );
}

/// Guards against a log that has come to a limit on its size (or a full disk) and takes the process with it. The limit
/// is set on the running process from outside, and lifted again.
#[test]
fn a_log_at_its_limit_costs_lines_and_not_the_process() {
    use rustix::process::{prlimit, Pid, Resource, Rlimit};
    let up = Upstream::start(|_| ok_reply("x"));
    let file = ALONE.replace("127.0.0.1:9\"", &format!("{}\"", up.address));
    let mut b = OperatedBalancer::start(&file);
    let pid = Pid::from_child(&b.balancer.child);
    let held = b.log_text().len() as u64;
    let limit = |most| Rlimit { current: most, maximum: None };
    prlimit(Some(pid), Resource::Fsize, limit(Some(held))).unwrap();
    for _ in 0..3 {
        b.balancer.signal("HUP");
        std::thread::sleep(std::time::Duration::from_millis(100));
        assert_eq!(b.request(&get_request("/")).status(), 200, "it serves on");
    }
    assert!(b.balancer.child.try_wait().unwrap().is_none(), "it has ended");
    assert_eq!(b.log_text().len() as u64, held, "the limit was not met: nothing was tried");
    prlimit(Some(pid), Resource::Fsize, limit(None)).unwrap();
    b.reload(&file);
    assert_eq!(b.request(&get_request("/")).status(), 200);
}
