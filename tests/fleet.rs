//! Tests of several processes as one fleet: drills with faults between them and the operators' commands. A
//! process whose file has no [fleet] table must have no socket, thread or figure of a fleet.

mod support;

use std::process::{Command, Output, Stdio};
use support::*;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_garnettally")).args(args).stdin(Stdio::null()).output().unwrap()
}

fn output_text(out: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
}

/// Runs one of the drills of deploy/drills, which must pass, and checks that its output names these
/// invariants.
fn run_drill(name: &str, invariants: &[&str]) {
    let script = format!("{}/deploy/drills/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let out = run(&["drill", &script]);
    let output = output_text(&out);
    assert!(out.status.success(), "{output}");
    for invariant in invariants {
        assert!(output.contains(invariant), "{invariant:?} was not checked: {output}");
    }
}

// The constants from here to SIZE_NOT_TOO_LOW are names of the drills' invariants, as their reports print
// them.
const ALL_AGREE: &str = "all agree after the last fault";
const REQUESTS_SERVED: &str = "each request is served";
const NO_FALSE_DEATH: &str = "nobody without a fault is taken for dead";
const DEATHS_NOTICED: &str = "each death is noticed by all";
const SIZE_NOT_TOO_LOW: &str = "no fleet size below its held maximum";

#[test]
fn a_death_a_leave_a_paused_process_and_a_return() {
    run_drill(
        "deaths",
        &[
            ALL_AGREE,
            REQUESTS_SERVED,
            NO_FALSE_DEATH,
            DEATHS_NOTICED,
            SIZE_NOT_TOO_LOW,
            "who was taken for dead knows it",
        ],
    );
}

#[test]
fn a_zone_that_is_cut_off_reduces_no_members_fleet_size() {
    run_drill("zone-cut", &[ALL_AGREE, REQUESTS_SERVED, NO_FALSE_DEATH, SIZE_NOT_TOO_LOW]);
}

#[test]
fn links_cut_in_one_direction_cause_no_false_death() {
    run_drill("one-way", &[ALL_AGREE, REQUESTS_SERVED, NO_FALSE_DEATH, SIZE_NOT_TOO_LOW]);
}

#[test]
fn a_third_of_the_datagrams_lost_and_the_rest_out_of_order() {
    run_drill("loss", &[ALL_AGREE, REQUESTS_SERVED, DEATHS_NOTICED, SIZE_NOT_TOO_LOW]);
}

#[test]
fn most_members_die_at_once_and_return() {
    run_drill("most-die", &[ALL_AGREE, REQUESTS_SERVED, NO_FALSE_DEATH, DEATHS_NOTICED]);
}

#[test]
fn keys_are_rotated_unauthenticated_processes_stay_out_and_equal_names_are_reported() {
    run_drill(
        "keys",
        &[
            ALL_AGREE,
            REQUESTS_SERVED,
            NO_FALSE_DEATH,
            "strangers stay outside",
            "two of one name are reported by all",
        ],
    );
}

#[test]
fn a_planned_restart_of_all_members() {
    run_drill("rolling", &[ALL_AGREE, REQUESTS_SERVED, DEATHS_NOTICED]);
}

/// Guards against members that each lose requests to learn what another already knows, and against verdicts
/// that remain after their cause has ended.
#[test]
fn all_members_act_on_a_verdict_of_two_until_the_node_is_healthy() {
    let (verdict_applied, verdict_ended) =
        ("all go by a verdict on a sick node", "no verdict is left on a node that is well");
    run_drill(
        "sick-nodes",
        &[ALL_AGREE, DEATHS_NOTICED, verdict_applied, verdict_ended, "no verdict is held past its age"],
    );
}

/// Guards against verdicts that stay in force past their maximum age when no link is left to withdraw them
/// over.
#[test]
fn with_all_links_cut_verdicts_end_at_their_maximum_age() {
    let verdict_ended = "no verdict is left on a node that is well";
    run_drill(
        "cut-off-verdicts",
        &[ALL_AGREE, "all go by a verdict on a sick node", verdict_ended, "no verdict is held past its age"],
    );
}

/// Guards against one member with a broken link of its own whose reports influence the others, and against an
/// older version of the program in the same network.
#[test]
fn a_broken_member_and_an_older_version_affect_no_other_member() {
    let (broken_member, older_version) =
        ("no member acts on one broken member's verdicts", "another protocol version is detected");
    run_drill(
        "broken-member",
        &[ALL_AGREE, REQUESTS_SERVED, NO_FALSE_DEATH, broken_member, older_version, "strangers stay outside"],
    );
}

/// Invariants of the fleet's duties, as the drills' reports print them.
const DUTY_INVARIANTS: [&str; 8] = [
    "the sink gets exports until the end",
    "the sink gets no export twice",
    "no epoch of two lives at the sink",
    "the sink has all members' figures",
    "each duty has an owner again",
    "each duty has an owner at the end",
    "no epoch is of two lives",
    "no owner acts after a later one",
];

/// Guards against two owners of a duty at a time, and against a duty that stays without an owner, whichever
/// member dies, is paused, leaves or is cut off.
#[test]
fn each_duty_has_one_owner_at_a_time_whichever_member_fails() {
    run_drill("owners", &[&[ALL_AGREE, REQUESTS_SERVED][..], &DUTY_INVARIANTS].concat());
}

/// Guards against a voter's promises that are not stored, and against a process that ends because its disk is
/// full.
#[test]
fn full_disks_and_restored_old_folders_cause_no_duplicate_epoch() {
    run_drill(
        "disks",
        &[&[ALL_AGREE, REQUESTS_SERVED, "an old copy may not vote"][..], &DUTY_INVARIANTS].concat(),
    );
}

/// Guards against the same failures under faults that are drawn from a seed.
#[test]
fn each_duty_has_one_owner_at_a_time_under_random_faults() {
    run_drill("drawn", &[&[ALL_AGREE, REQUESTS_SERVED][..], &DUTY_INVARIANTS].concat());
}

/// Guards against voters without a folder of their own, and against other invalid settings in the table of
/// duties.
#[test]
fn invalid_settings_of_duties_are_refused_and_their_key_is_named() {
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
        let file = write_config_file(&format!(
            "{}{fleet}{table}",
            FILE_WITHOUT_FLEET.replace("LISTEN", "127.0.0.1:0")
        ));
        let output = output_text(&run(&["check", &file]));
        assert!(output.contains(key) && output.contains(part), "{table}: {output}");
    }
}

/// Checks a single voter as an operator sees it: the duties that it owns and their epochs, also after a
/// restart. A second process may not use its folder.
#[test]
fn epochs_of_a_single_voter_increase_over_a_restart() {
    let folder = std::path::PathBuf::from(write_config_file("x")).with_extension("state");
    let admin = free_address();
    let file = |admin: std::net::SocketAddr| {
        format!(
            "{FILE_WITHOUT_FLEET}[admin]\naddress = \"{admin}\"\n[fleet]\naddress = \"127.0.0.1:0\"\nname = \"a\"\n\
             [fleet.duties]\nvoters = [\"a\"]\nfolder = {folder:?}\nnames = [\"report\"]\nlease = \"200ms\"\n"
        )
    };
    let epoch = |admin: std::net::SocketAddr| {
        let mut epoch = 0;
        wait_until("an owner", || {
            let out = run(&["duties", "--json", &admin.to_string()]);
            let reply: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap_or_default();
            epoch = reply["owned"][0]["epoch"].as_u64().unwrap_or(0);
            reply["owned"][0]["acts"] == true
        });
        epoch
    };
    let first = OperatedBalancer::start(&file(admin));
    let before = epoch(admin);
    let table = output_text(&run(&["duties", &admin.to_string()]));
    assert!(table.contains("report") && table.contains("acts") && table.contains("leads"), "{table}");
    let refused = output_text(&run(&["duties", &admin.to_string(), "move", "report", "nobody"]));
    assert!(refused.contains("no member called"), "{refused}");
    let other = free_address();
    let second = OperatedBalancer::start(&file(other));
    wait_until("the refusal", || second.count_in_log("another process has this folder") > 0);
    assert_eq!(second.request(&get_request("/")).status() / 100, 5, "the process continues to serve");
    drop((first, second));
    let third = free_address();
    let _third = OperatedBalancer::start(&file(third));
    let after = epoch(third);
    assert!(after > before, "epoch {after} after {before}: a restarted process needs a higher epoch");
}

/// Guards against checks of a drill that can't fail. The broken fleets here include a cut that lasts, a death
/// that is noticed too late, verdicts that are too old, and a member that takes itself for the only voter.
#[test]
fn drills_of_a_broken_fleet_fail() {
    let fast_fleet =
        "[fleet]\nprobe_period = \"100ms\"\nsuspicion = \"600ms\"\nask_every = \"50ms\"\nmax_age = \"2s\"\n";
    let three_members = "members = 3\ntime = \"3s\"\nsettle = \"1s\"\n";
    let cut = "[[faults]]\nat = \"0s\"\nwhat = \"split\"\nmembers = [0]\n";
    let slow_suspicion =
        fast_fleet.replace("suspicion = \"600ms\"", "suspicion = \"50s\"\nforget_after = \"5m\"");
    let kill = "[[faults]]\nat = \"0s\"\nwhat = \"kill\"\nmembers = [0]\n";
    // The report of a single member is no verdict.
    let single_member = "members = 1\nnodes = 6\nload = 8\ntime = \"3s\"\nsettle = \"1s\"\n";
    let hang_nodes = "[[faults]]\nat = \"0s\"\nwhat = \"hang-nodes\"\nmembers = [2]\n";
    // One member takes itself for the only voter. The script after it sets a bound that no fleet can meet.
    let rival = "[duties]\nvoters = 1\nnames = [\"a\"]\nalone = [2]\n";
    // There are forty duties, so that the member that dies owns at least one.
    let names: Vec<String> = (0..40).map(|n| format!("d{n}")).collect();
    let short_gap = format!("[duties]\nvoters = 1\nnames = {names:?}\ngap = \"1ms\"\n");
    let kill_last = kill.replace("[0]", "[2]");
    // The maximum age that the members apply is longer than the one that the drill checks.
    let short_checked_age =
        "members = 3\nnodes = 6\nload = 8\ntime = \"3s\"\nsettle = \"1s\"\nchecked_max_age = \"200ms\"\n";
    for (what, script, broken) in [
        ("the cut lasts", format!("{three_members}{fast_fleet}{cut}"), ALL_AGREE),
        ("the death is noticed too late", format!("{three_members}{slow_suspicion}{kill}"), DEATHS_NOTICED),
        (
            "verdicts are kept too long",
            format!("{short_checked_age}{fast_fleet}{hang_nodes}"),
            "no verdict is held past its age",
        ),
        (
            "a member is an owner of its own",
            format!("{three_members}{rival}{fast_fleet}"),
            "no owner acts after a later one",
        ),
        (
            "no owner is found in time",
            format!("{three_members}{short_gap}{fast_fleet}{kill_last}"),
            "each duty has an owner again",
        ),
        (
            "a verdict lacks a second member",
            format!("{single_member}{fast_fleet}{hang_nodes}"),
            "all go by a verdict on a sick node",
        ),
    ] {
        let file = write_config_file(&script);
        let out = run(&["drill", &file]);
        assert_eq!(out.status.code(), Some(1), "{what}: {}", output_text(&out));
        assert!(
            output_text(&out).contains(broken) && output_text(&out).contains("drill failed"),
            "{what}: {}",
            output_text(&out)
        );
    }
    let out = run(&["drill", &write_config_file("members = 0\ntime = \"1s\"")]);
    assert!(output_text(&out).contains("members: 0 is out of range"), "{}", output_text(&out));
}

/// An operator's file with one pool and one route, and without a fleet.
const FILE_WITHOUT_FLEET: &str = r#"version = 1
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

/// Returns the number of datagram sockets and the number of threads of a process.
fn count_sockets_and_threads(pid: u32) -> (usize, usize) {
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

/// Guards against a fleet link on the platform, where balancers share nothing, or in a process whose file has
/// no [fleet] table.
#[test]
fn without_a_fleet_table_there_is_no_fleet_socket_thread_or_figure() {
    let discovery = Discovery::start();
    let upstream = Upstream::start(|_| ok_reply("x"));
    let platform = Balancer::start(&discovery, &[host_entry("s", upstream.address, 0, "SERVING")]);
    let (sockets, threads) = count_sockets_and_threads(platform.child.id());
    assert_eq!(sockets, 0, "a datagram socket on the platform");
    let admin = free_address();
    let plain = OperatedBalancer::start(&format!("{FILE_WITHOUT_FLEET}[admin]\naddress = \"{admin}\"\n"));
    assert_eq!(count_sockets_and_threads(plain.child.id()), (0, threads));
    let refused = run(&["members", &admin.to_string()]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(output_text(&refused).contains("no [fleet] in its file"), "{}", output_text(&refused));
    let refused = run(&["duties", &admin.to_string()]);
    assert!(output_text(&refused).contains("no [fleet.duties] in its file"), "{}", output_text(&refused));
    let stats = Client::connect(admin).unwrap().request("GET /stats HTTP/1.1\r\nHost: a\r\n\r\n");
    let figures = String::from_utf8_lossy(&stats.body).to_string();
    assert!(!figures.contains("fleet") && !figures.contains("duties"));
    // With a [fleet] table the same check must find a socket, or it could not fail.
    let admin = free_address();
    let fleet = "[fleet]\naddress = \"127.0.0.1:0\"\nname = \"alone\"\n";
    let member =
        OperatedBalancer::start(&format!("{FILE_WITHOUT_FLEET}[admin]\naddress = \"{admin}\"\n{fleet}"));
    assert_eq!(
        count_sockets_and_threads(member.child.id()),
        (1, threads),
        "a member has one datagram socket and no further thread"
    );
    let table = output_text(&run(&["members", &admin.to_string()]));
    assert!(table.contains("alone") && table.contains("self") && table.contains("1 alive"), "{table}");
    let json: serde_json::Value =
        serde_json::from_slice(&run(&["members", "--json", &admin.to_string()]).stdout).unwrap();
    assert_eq!((&json["alive"], &json["members"][0]["state"]), (&1.into(), &"self".into()));
    let stats = Client::connect(admin).unwrap().request("GET /stats HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(String::from_utf8_lossy(&stats.body).contains("edge_gw.fleet.members_alive:1|g"));
}

/// Guards against a key file that is damaged while the process runs: the earlier keys stay in force, and the
/// log reports it.
#[test]
fn a_damaged_key_file_leaves_the_keys_unchanged() {
    let keys = write_config_file(&format!("1 {}\n", "ab".repeat(32)));
    let admin = free_address();
    let fleet = format!("[fleet]\naddress = \"127.0.0.1:0\"\nname = \"a\"\nkey_file = \"{keys}\"\n");
    let file = format!("{FILE_WITHOUT_FLEET}[admin]\naddress = \"{admin}\"\n{fleet}");
    let member = OperatedBalancer::start(&file);
    std::fs::write(&keys, "1 not a key\n").unwrap();
    member.reload(&file);
    wait_until("the warning in the log", || {
        member.count_in_log("the fleet's keys before stay in force") == 1
    });
    assert!(member.log_text().contains("line 1"), "{}", member.log_text());
    std::fs::write(&keys, format!("2 {}\n", "cd".repeat(32))).unwrap();
    member.reload(&file);
    assert_eq!(member.count_in_log("the fleet's keys before stay in force"), 1);
    // A process refuses to start with a damaged key file, and its error names the key and the line.
    std::fs::write(&keys, "1 not a key\n").unwrap();
    let mut refused = OperatedBalancer::spawn(&file.replace(&admin.to_string(), &free_address().to_string()));
    assert!(!refused.balancer.wait_for_exit().success());
}

/// A pool whose settings do not say how many balancers share its nodes follows the live membership. When
/// members die, it uses the recent maximum for some time, because the remaining members must not take over
/// the whole load at once.
#[test]
fn a_pools_instances_follow_the_members_and_decrease_late() {
    let links: Vec<String> = (0..3).map(|_| free_address().to_string()).collect();
    let fixed = "[pools.fixed]\ninstances = 2\nnodes = [{ name = \"f\", address = \"127.0.0.1:9\" }]\n";
    let file = |i: usize| {
        format!(
            "{FILE_WITHOUT_FLEET}{fixed}[fleet]\naddress = \"{}\"\nname = \"m{i}\"\nseeds = [\"{}\"]\nprobe_period = \"100ms\"\n\
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
    // Each member has a different instance number, and the pool that sets its instances itself is not
    // changed.
    let ranks: std::collections::BTreeSet<bool> = members
        .iter()
        .map(|m| m.log_text().lines().any(|l| l.contains("instances: 3") && l.contains("instance: 0")))
        .collect();
    assert_eq!(ranks.len(), 2, "some members, but not all, have instance number 0");
    assert!(members.iter().all(|m| !m.log_text().contains("pool: fixed")));
    members[2].balancer.child.kill().unwrap();
    wait_until("both members report the death", || {
        members[..2].iter().all(|m| m.count_in_log("a member is down") > 0)
    });
    // While the members joined, the number may have been 2, so the last line counts.
    let last =
        |m: &OperatedBalancer| m.log_text().lines().rfind(|l| l.contains("instances: ")).map(str::to_string);
    assert!(
        members[..2].iter().all(|m| last(m).is_some_and(|l| l.contains("instances: 3"))),
        "the fleet size is not reduced yet"
    );
}

/// Guards against a process that ends because its log has reached a limit on its size (or because the disk is
/// full). The test sets the limit on the running process from outside, and removes it again.
#[test]
fn a_log_at_its_size_limit_loses_lines_and_does_not_end_the_process() {
    use rustix::process::{prlimit, Pid, Resource, Rlimit};
    let upstream = Upstream::start(|_| ok_reply("x"));
    let file = FILE_WITHOUT_FLEET.replace("127.0.0.1:9\"", &format!("{}\"", upstream.address));
    let mut process = OperatedBalancer::start(&file);
    let pid = Pid::from_child(&process.balancer.child);
    let log_bytes = process.log_text().len() as u64;
    let limit = |bytes| Rlimit { current: bytes, maximum: None };
    prlimit(Some(pid), Resource::Fsize, limit(Some(log_bytes))).unwrap();
    for _ in 0..3 {
        process.balancer.signal("HUP");
        std::thread::sleep(std::time::Duration::from_millis(100));
        assert_eq!(process.request(&get_request("/")).status(), 200, "the process continues to serve");
    }
    assert!(process.balancer.child.try_wait().unwrap().is_none(), "the process has ended");
    assert_eq!(
        process.log_text().len() as u64,
        log_bytes,
        "the log has grown, so the limit had no effect and nothing was tested"
    );
    prlimit(Some(pid), Resource::Fsize, limit(None)).unwrap();
    process.reload(&file);
    assert_eq!(process.request(&get_request("/")).status(), 200);
}
