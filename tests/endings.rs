//! The end of a process and new settings, forced to cross what clients and discovery do meanwhile.

mod support;

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// Short deadlines: closing begins 0.6 s after SIGTERM.
const SHORT: [(&str, &str); 3] = [
    ("\"HardLimitUs\":6000000", "\"HardLimitUs\":500000"),
    ("\"HardLimitUs\":1500000,", "\"HardLimitUs\":500000,"),
    ("\"SloUs\":1500000", "\"SloUs\":500000"),
];

/// A balancer with short deadlines and so many descriptors, and the file that its log goes to.
fn short_with_log(discovery: &Discovery, sockets: u32, hosts: &[String]) -> (Balancer, String) {
    let (address, log) = (free_address(), write_config_file(""));
    let text = config_text(address, discovery.address, sockets, hosts).replace(SETTINGS, &short());
    let b = Balancer::start_with_config(address, &text, |command| {
        command.stderr(std::fs::File::options().append(true).open(&log).unwrap());
    });
    (b, log)
}

/// Sends SIGTERM and waits until it is taken: of signals that are pending together the kernel gives out any first.
fn tell_to_end(b: &Balancer, log: &str) -> Instant {
    let told = Instant::now();
    b.signal("TERM");
    wait_until("SIGTERM taken", || std::fs::read_to_string(log).unwrap().contains("told to end"));
    told
}

fn short() -> String {
    settings_with(&SHORT).replace("\"SloUs\":6000000", "\"SloUs\":500000")
}

/// Guards against a close that crosses bytes of the client: it would be a reset, which may cost the answer before it.
#[test]
fn a_resting_connection_ends_without_a_reset() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let b = start_with_settings(&discovery, &[host_entry("s", up.address, 0, "SERVING")], &short());
    let mut client = b.connect();
    assert_eq!(client.request(&look_request("0.4")).status(), 200);
    b.signal("TERM");
    assert!(client.read_answer().is_none(), "the end of its sending");
    // A request that was on its way: nobody takes it, and it does no harm.
    client.send(&look_request("0.4"));
    thread::sleep(Duration::from_millis(30)); // a reset has its time to come back
    client.stream.write_all(b"more").expect("no reset");
    assert_eq!(up.request_count(), 1);
}

/// Guards against new connections that are closed before their first request: they came up just when closing began.
#[test]
fn a_connection_that_came_up_at_the_end_gets_its_answer() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let (b, log) = short_with_log(&discovery, 1024, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut resting = b.connect();
    resting.request(READY_REQUEST);
    let told = tell_to_end(&b, &log);
    b.signal("STOP");
    let mut new = b.connect();
    thread::sleep(Duration::from_millis(900).saturating_sub(told.elapsed())); // past the closing and the accepting
    b.signal("CONT");
    wait_until("the closing", || is_readable(&resting.stream));
    assert_eq!(new.request(&look_request("0.3")).status(), 200);
}

/// Guards against what waits in the listener's queue, for want of room, when it closes: all of it was reset.
#[test]
fn what_waits_to_be_accepted_at_the_end_is_answered() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let (b, log) = short_with_log(&discovery, 64, &[host_entry("s", up.address, 0, "SERVING")]);
    let told = tell_to_end(&b, &log);
    b.signal("STOP");
    let mut clients: Vec<_> = (0..60).map(|_| b.connect()).collect();
    clients.iter_mut().for_each(|c| c.send(&look_request("0.3")));
    thread::sleep(Duration::from_millis(850).saturating_sub(told.elapsed())); // past the accepting
    b.signal("CONT");
    let answers = clients.iter_mut().filter_map(|c| c.read_answer());
    assert_eq!(answers.filter(|a| matches!(a.status(), 200 | 503)).count(), 60, "of 60");
}

/// Guards against times of the settings before: SIGKILL comes by the new ones.
#[test]
fn after_a_reload_the_end_comes_by_the_new_deadlines() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let hosts = [host_entry("s", up.address, 0, "SERVING")];
    let mut b = Balancer::start(&discovery, &hosts);
    let text = config_text(b.address, discovery.address, 1024, &hosts).replace(SETTINGS, &short());
    std::fs::write(&b.config, with_new_settings(&text)).unwrap();
    b.signal("HUP");
    wait_until("the new settings", || {
        b.request(&look_request("0.4").replace("/look/", "/view/")).status() == 200
    });
    b.signal("TERM");
    let told = Instant::now();
    assert!(b.wait_for_exit().success());
    assert!(told.elapsed() < Duration::from_millis(2500), "{:?}", told.elapsed());
}

/// A configuration like this one with another class, so that SIGHUP brings a new instance of the module.
fn with_new_settings(text: &str) -> String {
    text.replace("\"Name\":\"look\"", "\"Name\":\"view\"")
}

/// Guards against new settings that forget what discovery has told: the file's list is that of an earlier time, and
/// until a watch of their own came up the new settings sent to a host that drains. One watch goes on for both.
#[test]
fn new_settings_keep_to_what_discovery_has_told() {
    let (drains, stays, third) = (
        Upstream::start(|_| ok_reply("drains")),
        Upstream::start(|_| ok_reply("x")),
        Upstream::start(|_| ok_reply("x")),
    );
    let discovery = Discovery::start();
    let hosts = [host_entry("d", drains.address, 0, "SERVING"), host_entry("s", stays.address, 0, "SERVING")];
    let at = free_address();
    let text = config_text(at, discovery.address, 1024, &hosts);
    let b = Balancer::start_with_config(at, &text, |_| {});
    let (_, mut watch) = discovery.next_watch();
    watch.write_chunk(&(host_list(8, false, &[host_entry("d", drains.address, 0, "DRAINING")]) + "\n"));
    let settled = |up: &Upstream| {
        let before = up.request_count();
        (0..8).for_each(|_| assert_eq!(b.request(&look_request("1.2")).status(), 200));
        up.request_count() == before
    };
    wait_until("the list", || settled(&drains));
    let before = drains.request_count();
    std::fs::write(&b.config, with_new_settings(&text)).unwrap();
    b.signal("HUP");
    let view = || b.request(&look_request("1.2").replace("/look/", "/view/")).status();
    wait_until("the new settings", || view() == 200);
    (0..30).for_each(|_| assert_eq!(view(), 200));
    assert_eq!(drains.request_count(), before, "sent to a host that was told to drain");
    // The watch is the one that was there.
    watch.write_chunk(
        &(host_list(
            9,
            false,
            &[host_entry("s", stays.address, 0, "DRAINING"), host_entry("t", third.address, 0, "SERVING")],
        ) + "\n"),
    );
    wait_until("the next list", || {
        let before = (stays.request_count(), third.request_count());
        (0..4).for_each(|_| assert_eq!(view(), 200));
        stays.request_count() == before.0 && third.request_count() > before.1
    });
}

/// Guards against new settings that go back to the discovery of the start, which the environment named and the file
/// has since left.
#[test]
fn new_settings_stay_with_the_discovery_that_was_moved_to() {
    let up = Upstream::start(|_| ok_reply("x"));
    let (before, after) = (Discovery::start(), Discovery::start());
    let at = free_address();
    let hosts = [host_entry("s", up.address, 0, "SERVING")];
    let b = Balancer::start_with_config(at, &config_text(at, before.address, 1024, &hosts), |command| {
        command.env("GW_DISCOVERY", before.address.to_string());
    });
    before.next_watch();
    let moved = config_text(at, after.address, 1024, &hosts);
    std::fs::write(&b.config, &moved).unwrap();
    b.signal("HUP");
    let (_, mut watch) = after.next_watch();
    std::fs::write(&b.config, with_new_settings(&moved)).unwrap();
    b.signal("HUP");
    wait_until("the new settings", || {
        b.request(&look_request("1.2").replace("/look/", "/view/")).status() == 200
    });
    watch.write_chunk("nonsense\n");
    let (line, _watch) = after.next_watch();
    assert!(line.starts_with("GET /v1/endpoints"), "{line}");
    assert!(before.watches.try_recv().is_err(), "the discovery of the start was asked");
}

/// Guards against an end that starts over: SIGTERM again, and SIGHUP with longer deadlines and another discovery, while
/// it is under way.
#[test]
fn signals_during_the_end_do_not_put_it_off() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let hosts = [host_entry("s", up.address, 0, "SERVING")];
    let (mut b, log) = short_with_log(&discovery, 1024, &hosts);
    let told = tell_to_end(&b, &log);
    let moved = Discovery::start();
    let longer = config_text(b.address, moved.address, 1024, &hosts);
    std::fs::write(&b.config, longer).unwrap();
    b.signal("HUP");
    moved.next_watch();
    b.signal("TERM");
    assert_eq!(b.request(&look_request("0.4")).status(), 200);
    assert!(b.wait_for_exit().success());
    assert!(told.elapsed() < Duration::from_millis(2500), "{:?}", told.elapsed());
}

/// Guards against requests that are forgotten, and an end that never comes, where no list was ever heard.
#[test]
fn sigterm_before_the_first_list_answers_what_waits() {
    let discovery = Discovery::start();
    let address = free_address();
    let text = config_text(address, discovery.address, 1024, &[]).replace(SETTINGS, &short());
    let mut b = Balancer { address, child: program_command(&text).spawn().unwrap(), config: String::new() };
    wait_until("the listener", || Client::connect(address).is_some());
    let mut clients: Vec<_> = (0..5).map(|_| b.connect()).collect();
    clients.iter_mut().for_each(|c| c.send(&look_request("0.4")));
    b.signal("TERM");
    for mut client in clients {
        assert_eq!(client.read_answer().expect("an answer").status(), 503);
    }
    assert!(b.wait_for_exit().success());
}

/// Guards against a reset that takes the last answer along: the process does not end with it, but when its client has
/// ended, or after a quarter of a second.
#[test]
fn the_exit_waits_for_the_last_clients_end() {
    let up = Upstream::start(|_| Reply::NoAnswer);
    let discovery = Discovery::start();
    let (mut b, log) = short_with_log(&discovery, 1024, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut client = b.connect();
    let told = tell_to_end(&b, &log);
    thread::sleep(Duration::from_millis(500).saturating_sub(told.elapsed())); // its answer comes after the accepting
    assert!(matches!(client.request(&look_request("0.5")).status(), 502 | 503));
    let answered = Instant::now();
    assert!(client.read_answer().is_none(), "the end of its sending");
    assert!(b.wait_for_exit().success());
    assert!(answered.elapsed() >= Duration::from_millis(200), "{:?}", answered.elapsed());
}
