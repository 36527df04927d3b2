//! The shutdown of a process and its reloads, forced to coincide with actions of clients and of discovery.

mod support;

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// Changes of the settings to short deadlines, with which the closing of connections begins 0.6 s after
/// SIGTERM.
const SHORT_DEADLINES: [(&str, &str); 3] = [
    ("\"HardLimitUs\":6000000", "\"HardLimitUs\":500000"),
    ("\"HardLimitUs\":1500000,", "\"HardLimitUs\":500000,"),
    ("\"SloUs\":1500000", "\"SloUs\":500000"),
];

/// Starts a balancer with short deadlines and this limit of sockets; returns it and the path of its log.
fn start_short_with_log(discovery: &Discovery, sockets: u32, hosts: &[String]) -> (Balancer, String) {
    let (address, log) = (free_address(), write_config_file(""));
    let text = config_text(address, discovery.address, sockets, hosts).replace(SETTINGS, &short_settings());
    let balancer = Balancer::start_with_config(address, &text, |command| {
        command.stderr(std::fs::File::options().append(true).open(&log).unwrap());
    });
    (balancer, log)
}

/// Sends SIGTERM and waits until the log shows that it was received, since the kernel delivers signals that
/// are pending together in any order. Returns the time just before.
fn send_sigterm(balancer: &Balancer, log: &str) -> Instant {
    let sent = Instant::now();
    balancer.signal("TERM");
    wait_until("SIGTERM received", || std::fs::read_to_string(log).unwrap().contains("told to end"));
    sent
}

/// The settings with short deadlines for both classes.
fn short_settings() -> String {
    settings_with(&SHORT_DEADLINES).replace("\"SloUs\":6000000", "\"SloUs\":500000")
}

/// Guards against a close that crosses bytes of the client: it would become a reset, by which the client may
/// lose the answer before it.
#[test]
fn an_idle_connection_is_closed_without_a_reset() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let balancer =
        start_with_settings(&discovery, &[host_entry("s", up.address, 0, "SERVING")], &short_settings());
    let mut client = balancer.connect();
    assert_eq!(client.request(&look_request("0.4")).status(), 200);
    balancer.signal("TERM");
    assert!(client.read_answer().is_none(), "the balancer closes its side");
    // A request that crosses the close is not handled, and the connection is not reset.
    client.send(&look_request("0.4"));
    thread::sleep(Duration::from_millis(30)); // time for a reset to come back
    client.stream.write_all(b"more").expect("no reset");
    assert_eq!(up.request_count(), 1);
}

/// Guards against new connections that are closed before their first request because they were established
/// just when the closing of connections began.
#[test]
fn a_connection_established_at_shutdown_gets_its_answer() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let (balancer, log) =
        start_short_with_log(&discovery, 1024, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut idle = balancer.connect();
    idle.request(READY_REQUEST);
    let sigterm_sent = send_sigterm(&balancer, &log);
    balancer.signal("STOP");
    let mut new = balancer.connect();
    // Past the start of closing and the end of accepting.
    thread::sleep(Duration::from_millis(900).saturating_sub(sigterm_sent.elapsed()));
    balancer.signal("CONT");
    wait_until("the close of the idle connection", || is_readable(&idle.stream));
    assert_eq!(new.request(&look_request("0.3")).status(), 200);
}

/// Guards against a reset of connections that, for lack of descriptors, still wait in the queue of the
/// listener when it is closed: all of them were reset.
#[test]
fn connections_waiting_to_be_accepted_at_shutdown_are_answered() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let (balancer, log) = start_short_with_log(&discovery, 64, &[host_entry("s", up.address, 0, "SERVING")]);
    let sigterm_sent = send_sigterm(&balancer, &log);
    balancer.signal("STOP");
    let mut clients: Vec<_> = (0..60).map(|_| balancer.connect()).collect();
    clients.iter_mut().for_each(|c| c.send(&look_request("0.3")));
    // Past the end of accepting.
    thread::sleep(Duration::from_millis(850).saturating_sub(sigterm_sent.elapsed()));
    balancer.signal("CONT");
    let answers = clients.iter_mut().filter_map(|c| c.read_answer());
    assert_eq!(answers.filter(|a| matches!(a.status(), 200 | 503)).count(), 60, "answered of 60");
}

/// Guards against a shutdown that follows the deadlines of the settings before: SIGKILL comes by the new
/// ones.
#[test]
fn after_a_reload_the_shutdown_follows_the_new_deadlines() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let hosts = [host_entry("s", up.address, 0, "SERVING")];
    let mut balancer = Balancer::start(&discovery, &hosts);
    let text =
        config_text(balancer.address, discovery.address, 1024, &hosts).replace(SETTINGS, &short_settings());
    std::fs::write(&balancer.config, with_renamed_class(&text)).unwrap();
    balancer.signal("HUP");
    wait_until("the new settings", || {
        balancer.request(&look_request("0.4").replace("/look/", "/view/")).status() == 200
    });
    balancer.signal("TERM");
    let sigterm_sent = Instant::now();
    assert!(balancer.wait_for_exit().success());
    assert!(sigterm_sent.elapsed() < Duration::from_millis(2500), "{:?}", sigterm_sent.elapsed());
}

/// This configuration with another name of the first class, so that SIGHUP starts a new instance of the
/// decision module.
fn with_renamed_class(text: &str) -> String {
    text.replace("\"Name\":\"look\"", "\"Name\":\"view\"")
}

/// Guards against new settings that fall back to the older list of the configuration file: until they had a
/// watch of their own, they sent to a host that drains. One watch serves the settings before and after.
#[test]
fn new_settings_keep_the_list_received_from_discovery() {
    let (drains, stays, third) = (
        Upstream::start(|_| ok_reply("drains")),
        Upstream::start(|_| ok_reply("x")),
        Upstream::start(|_| ok_reply("x")),
    );
    let discovery = Discovery::start();
    let hosts = [host_entry("d", drains.address, 0, "SERVING"), host_entry("s", stays.address, 0, "SERVING")];
    let address = free_address();
    let text = config_text(address, discovery.address, 1024, &hosts);
    let balancer = Balancer::start_with_config(address, &text, |_| {});
    let (_, mut watch) = discovery.next_watch();
    watch.write_chunk(&(host_list(8, false, &[host_entry("d", drains.address, 0, "DRAINING")]) + "\n"));
    let gets_nothing = |up: &Upstream| {
        let before = up.request_count();
        (0..8).for_each(|_| assert_eq!(balancer.request(&look_request("1.2")).status(), 200));
        up.request_count() == before
    };
    wait_until("the list", || gets_nothing(&drains));
    let before = drains.request_count();
    std::fs::write(&balancer.config, with_renamed_class(&text)).unwrap();
    balancer.signal("HUP");
    let view = || balancer.request(&look_request("1.2").replace("/look/", "/view/")).status();
    wait_until("the new settings", || view() == 200);
    (0..30).for_each(|_| assert_eq!(view(), 200));
    assert_eq!(drains.request_count(), before, "sent to a host that drains");
    // The next list arrives on the watch that was open before the reload.
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

/// Guards against new settings that go back to the discovery address of the environment at the start, after
/// the file has moved discovery to another address.
#[test]
fn new_settings_keep_the_discovery_address_of_the_last_reload() {
    let up = Upstream::start(|_| ok_reply("x"));
    let (before, after) = (Discovery::start(), Discovery::start());
    let address = free_address();
    let hosts = [host_entry("s", up.address, 0, "SERVING")];
    let balancer = Balancer::start_with_config(
        address,
        &config_text(address, before.address, 1024, &hosts),
        |command| {
            command.env("GW_DISCOVERY", before.address.to_string());
        },
    );
    before.next_watch();
    let moved = config_text(address, after.address, 1024, &hosts);
    std::fs::write(&balancer.config, &moved).unwrap();
    balancer.signal("HUP");
    let (_, mut watch) = after.next_watch();
    std::fs::write(&balancer.config, with_renamed_class(&moved)).unwrap();
    balancer.signal("HUP");
    wait_until("the new settings", || {
        balancer.request(&look_request("1.2").replace("/look/", "/view/")).status() == 200
    });
    watch.write_chunk("nonsense\n");
    let (line, _watch) = after.next_watch();
    assert!(line.starts_with("GET /v1/endpoints"), "{line}");
    assert!(before.watches.try_recv().is_err(), "the discovery of the start was called again");
}

/// Guards against a shutdown that starts over when it is under way and another SIGTERM comes, or a SIGHUP
/// with longer deadlines and another discovery address.
#[test]
fn signals_during_the_shutdown_do_not_delay_it() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let hosts = [host_entry("s", up.address, 0, "SERVING")];
    let (mut balancer, log) = start_short_with_log(&discovery, 1024, &hosts);
    let sigterm_sent = send_sigterm(&balancer, &log);
    let moved = Discovery::start();
    let longer = config_text(balancer.address, moved.address, 1024, &hosts);
    std::fs::write(&balancer.config, longer).unwrap();
    balancer.signal("HUP");
    moved.next_watch();
    balancer.signal("TERM");
    assert_eq!(balancer.request(&look_request("0.4")).status(), 200);
    assert!(balancer.wait_for_exit().success());
    assert!(sigterm_sent.elapsed() < Duration::from_millis(2500), "{:?}", sigterm_sent.elapsed());
}

/// Guards against queued requests that are never answered, and a shutdown that never ends, where no list has
/// ever been received.
#[test]
fn sigterm_before_the_first_list_answers_queued_requests() {
    let discovery = Discovery::start();
    let address = free_address();
    let text = config_text(address, discovery.address, 1024, &[]).replace(SETTINGS, &short_settings());
    let mut balancer =
        Balancer { address, child: program_command(&text).spawn().unwrap(), config: String::new() };
    wait_until("the listener", || Client::connect(address).is_some());
    let mut clients: Vec<_> = (0..5).map(|_| balancer.connect()).collect();
    clients.iter_mut().for_each(|c| c.send(&look_request("0.4")));
    balancer.signal("TERM");
    for mut client in clients {
        assert_eq!(client.read_answer().expect("an answer").status(), 503);
    }
    assert!(balancer.wait_for_exit().success());
}

/// Guards against a reset by which a client loses the last answer: the process does not exit right after it,
/// but when the client has closed its connection, or after a quarter of a second.
#[test]
fn the_exit_waits_for_the_last_client_to_close() {
    let up = Upstream::start(|_| Reply::NoAnswer);
    let discovery = Discovery::start();
    let (mut balancer, log) =
        start_short_with_log(&discovery, 1024, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut client = balancer.connect();
    let sigterm_sent = send_sigterm(&balancer, &log);
    // The answer then comes after the end of accepting.
    thread::sleep(Duration::from_millis(500).saturating_sub(sigterm_sent.elapsed()));
    assert!(matches!(client.request(&look_request("0.5")).status(), 502 | 503));
    let answered = Instant::now();
    assert!(client.read_answer().is_none(), "the balancer closes its side");
    assert!(balancer.wait_for_exit().success());
    assert!(answered.elapsed() >= Duration::from_millis(200), "{:?}", answered.elapsed());
}
