//! Tests of the admin address: operators' calls while clients are served, drains, settings reloaded by
//! SIGHUP, and a second process that listens on the same client address.

mod support;

use std::net::{SocketAddr, TcpStream};
use std::time::Instant;
use support::*;

/// Starts a balancer with an admin address of its own, and returns both.
fn start_with_admin(discovery: &Discovery, known: &[String]) -> (Balancer, SocketAddr) {
    let (address, admin) = (free_address(), free_address());
    let text = config_text(address, discovery.address, 256, known);
    let balancer = Balancer::start_with_config(address, &text, |command| {
        command.env("GW_ADMIN_ADDR", admin.to_string());
    });
    (balancer, admin)
}

fn call(admin: SocketAddr, method: &str, path: &str) -> Message {
    let mut client = Client::connect(admin).expect("the admin address listens");
    client.request(&format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
}

/// Guards against a drain that closes the listener, resets open connections, or never ends.
#[test]
fn a_drain_fails_health_checks_closes_idle_connections_and_ends_on_ok() {
    let upstream = Upstream::start(|_| ok_reply("done"));
    let discovery = Discovery::start();
    let (balancer, admin) = start_with_admin(&discovery, &[host_entry("s", upstream.address, 0, "SERVING")]);
    assert_eq!(call(admin, "GET", "/healthcheck").status(), 200);
    let mut connection = balancer.connect();
    assert_eq!(connection.request(&look_request("1.2")).status(), 200);
    assert_eq!(call(admin, "PUT", "/healthcheck/fail").status(), 200);
    assert_eq!(balancer.request(READY_REQUEST).status(), 503);
    assert_eq!(call(admin, "GET", "/healthcheck").status(), 503);
    // An open connection is still served, and its answer asks the client to close it.
    let answer = connection.request(&look_request("1.2"));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(connection.read_answer().is_none(), "the connection ends after its answer");
    // The balancer closes an idle connection.
    let mut idle = balancer.connect();
    assert_eq!(idle.request(&look_request("1.2")).status(), 200);
    let mut idle = balancer.connect();
    wait_until("the idle connection's end", || idle.read_answer().is_none());
    assert_eq!(call(admin, "PUT", "/healthcheck/ok").status(), 200);
    wait_until("readiness again", || balancer.request(READY_REQUEST).status() == 200);
    assert_eq!(call(admin, "GET", "/healthcheck").status(), 200);
    assert_eq!(call(admin, "GET", "/nothing").status(), 404);
    assert_eq!(call(admin, "DELETE", "/stats").status(), 405);
}

/// Guards against operators who get no answer because other clients keep admin connections open without a
/// whole call.
#[test]
fn admin_calls_are_answered_while_other_connections_never_finish_theirs() {
    let upstream = Upstream::start(|_| ok_reply("done"));
    let discovery = Discovery::start();
    let (_balancer, admin) = start_with_admin(&discovery, &[host_entry("s", upstream.address, 0, "SERVING")]);
    let unfinished: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(admin).unwrap()).collect();
    for _ in 0..5 {
        let asked = Instant::now();
        let stats = call(admin, "GET", "/stats");
        assert_eq!(stats.status(), 200);
        let text = String::from_utf8_lossy(&stats.body).to_string();
        assert!(text.lines().any(|l| l.starts_with("edge_gw.pending:") && l.ends_with("|g")), "{text}");
        // The bound is generous: it only has to detect a call that waits for the other connections'
        // deadlines.
        assert!(asked.elapsed().as_secs_f64() < 5.0);
    }
    drop(unfinished);
}

/// Guards against a replacement process that can't start: it binds the same client address as the first.
#[test]
fn a_second_process_listens_on_the_same_client_address() {
    let upstream = Upstream::start(|_| ok_reply("done"));
    let discovery = Discovery::start();
    let known = [host_entry("s", upstream.address, 0, "SERVING")];
    let (first, _) = start_with_admin(&discovery, &known);
    let admin = free_address();
    let text = config_text(first.address, discovery.address, 256, &known);
    let mut second = program_command(&text);
    second.env("GW_ADMIN_ADDR", admin.to_string());
    let mut second = second.spawn().unwrap();
    wait_until("the second process to be healthy", || {
        Client::connect(admin).is_some() && call(admin, "GET", "/healthcheck").status() == 200
    });
    assert!(second.try_wait().unwrap().is_none(), "the second process runs");
    for _ in 0..20 {
        assert_eq!(first.request(&look_request("1.2")).status(), 200);
    }
    let _ = second.kill();
    let _ = second.wait();
}

fn statistic(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|l| l.split(':').next() == Some(name))?;
    line.split(':').nth(1)?.split('|').next()?.parse().ok()
}

/// Guards against statistics that are missing or counted in the wrong place: each answer counts once, under
/// its class.
#[test]
fn statistics_match_the_answers_of_clients_and_the_requests_of_upstreams() {
    let upstream = Upstream::start(|_| ok_reply("done"));
    let discovery = Discovery::start();
    let (balancer, admin) = start_with_admin(&discovery, &[host_entry("s", upstream.address, 0, "SERVING")]);
    let mut client = balancer.connect();
    for _ in 0..7 {
        assert_eq!(client.request(&look_request("1.2")).status(), 200);
    }
    let text = String::from_utf8_lossy(&call(admin, "GET", "/stats").body).to_string();
    assert_eq!(statistic(&text, "edge_gw.downstream_requests.look.completed"), Some(7), "{text}");
    assert_eq!(statistic(&text, "edge_gw.downstream_requests.look.failed"), Some(0), "{text}");
    assert_eq!(
        statistic(&text, "edge_gw.upstream_requests"),
        Some(upstream.request_count() as u64),
        "{text}"
    );
    assert_eq!(statistic(&text, "edge_gw.pending"), Some(0), "{text}");
    assert_eq!(statistic(&text, "edge_gw.members"), Some(1), "{text}");
    balancer.signal("HUP");
    wait_until("the reload counted", || {
        let text = String::from_utf8_lossy(&call(admin, "GET", "/stats").body).to_string();
        statistic(&text, "edge_gw.config_reloads") == Some(1)
    });
}

/// Guards against settings that only a restart applies: a class that is added at SIGHUP is served, and a
/// broken file changes nothing but the count of errors.
#[test]
fn sighup_adds_a_class_and_a_broken_file_changes_nothing() {
    let upstream = Upstream::start(|_| ok_reply("done"));
    let discovery = Discovery::start();
    let known = [host_entry("s", upstream.address, 0, "SERVING")];
    let (balancer, admin) = start_with_admin(&discovery, &known);
    let peek_request = || look_request("1.2").replace("/look/", "/peek/");
    assert_eq!(balancer.request(&peek_request()).status(), 404, "the class is not known yet");
    let text = config_text(balancer.address, discovery.address, 256, &known);
    let class_settings = r#"{"HardLimitUs":1500000,"KeyScope":"all","LateWorth":0.0,"Name":"look""#;
    let added = text.replacen(
        class_settings,
        &format!("{},{class_settings}", class_settings.replace("look", "peek") + "}"),
        1,
    );
    let added =
        added.replacen(r#""Name":"peek"}"#, r#""Name":"peek","Semantics":"safe","SloUs":1500000}"#, 1);
    std::fs::write(&balancer.config, &added).unwrap();
    balancer.signal("HUP");
    wait_until("the new class is served", || balancer.request(&peek_request()).status() == 200);
    assert_eq!(balancer.request(&look_request("1.2")).status(), 200);
    std::fs::write(&balancer.config, &added[..added.len() / 2]).unwrap();
    balancer.signal("HUP");
    wait_until("the broken file counted", || {
        let text = String::from_utf8_lossy(&call(admin, "GET", "/stats").body).to_string();
        statistic(&text, "edge_gw.config_reload_errors") == Some(1)
    });
    for _ in 0..5 {
        assert_eq!(
            (balancer.request(&peek_request()).status(), balancer.request(&look_request("1.2")).status()),
            (200, 200)
        );
    }
}
