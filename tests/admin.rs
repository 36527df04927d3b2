//! The admin address: operators' calls beside clients, the drain they drive, and a second process beside the
//! first on the same client address.

mod support;

use std::net::{SocketAddr, TcpStream};
use std::time::Instant;
use support::*;

/// A balancer with an admin address of its own.
fn with_admin(discovery: &Discovery, known: &[String]) -> (Balancer, SocketAddr) {
    let (address, admin) = (free_address(), free_address());
    let text = config_text(address, discovery.address, 256, known);
    let b = Balancer::start_with_config(address, &text, |c| {
        c.env("GW_ADMIN_ADDR", admin.to_string());
    });
    (b, admin)
}

fn call(admin: SocketAddr, method: &str, path: &str) -> Message {
    let mut c = Client::connect(admin).expect("the admin address listens");
    c.request(&format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"))
}

/// Guards against a drain that closes the listener, resets kept connections, or never ends.
#[test]
fn a_drain_says_no_closes_between_requests_and_ends_on_ok() {
    let up = Upstream::start(|_| ok_reply("done"));
    let discovery = Discovery::start();
    let (b, admin) = with_admin(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    assert_eq!(call(admin, "GET", "/healthcheck").status(), 200);
    let mut kept = b.connect();
    assert_eq!(kept.request(&look_request("1.2")).status(), 200);
    assert_eq!(call(admin, "PUT", "/healthcheck/fail").status(), 200);
    assert_eq!(b.request(READY_REQUEST).status(), 503);
    assert_eq!(call(admin, "GET", "/healthcheck").status(), 503);
    // The kept connection is still served, and told to close with its answer.
    let answer = kept.request(&look_request("1.2"));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(kept.read_answer().is_none(), "the connection ends after its answer");
    // An idle connection is closed by the balancer, not held.
    let mut idle = b.connect();
    assert_eq!(idle.request(&look_request("1.2")).status(), 200);
    let mut idle = b.connect();
    wait_until("the idle connection's end", || idle.read_answer().is_none());
    assert_eq!(call(admin, "PUT", "/healthcheck/ok").status(), 200);
    wait_until("readiness again", || b.request(READY_REQUEST).status() == 200);
    assert_eq!(call(admin, "GET", "/healthcheck").status(), 200);
    assert_eq!(call(admin, "GET", "/nothing").status(), 404);
    assert_eq!(call(admin, "DELETE", "/stats").status(), 405);
}

/// Guards against operators starved by callers that hold admin connections with no whole call.
#[test]
fn calls_are_answered_beside_callers_that_never_finish() {
    let up = Upstream::start(|_| ok_reply("done"));
    let discovery = Discovery::start();
    let (_b, admin) = with_admin(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let holders: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(admin).unwrap()).collect();
    for _ in 0..5 {
        let asked = Instant::now();
        let stats = call(admin, "GET", "/stats");
        assert_eq!(stats.status(), 200);
        let text = String::from_utf8_lossy(&stats.body).to_string();
        assert!(text.lines().any(|l| l.starts_with("edge_gw.pending:") && l.ends_with("|g")), "{text}");
        // Generous, as a bound against a call that waits behind the holders' deadlines.
        assert!(asked.elapsed().as_secs_f64() < 5.0);
    }
    drop(holders);
}

/// Guards against a replacement that can't start: the second process binds the same client address.
#[test]
fn a_second_process_listens_on_the_same_client_address() {
    let up = Upstream::start(|_| ok_reply("done"));
    let discovery = Discovery::start();
    let known = [host_entry("s", up.address, 0, "SERVING")];
    let (first, _) = with_admin(&discovery, &known);
    let admin = free_address();
    let text = config_text(first.address, discovery.address, 256, &known);
    let mut second = program_command(&text);
    second.env("GW_ADMIN_ADDR", admin.to_string());
    let mut second = second.spawn().unwrap();
    wait_until("the second one's yes", || {
        Client::connect(admin).is_some() && call(admin, "GET", "/healthcheck").status() == 200
    });
    assert!(second.try_wait().unwrap().is_none(), "the second process runs");
    for _ in 0..20 {
        assert_eq!(first.request(&look_request("1.2")).status(), 200);
    }
    let _ = second.kill();
    let _ = second.wait();
}

fn figure(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|l| l.split(':').next() == Some(name))?;
    line.split(':').nth(1)?.split('|').next()?.parse().ok()
}

/// Guards against figures that are missing, or counted in the wrong place: each answer once, under its class.
#[test]
fn the_figures_count_what_clients_and_upstreams_saw() {
    let up = Upstream::start(|_| ok_reply("done"));
    let discovery = Discovery::start();
    let (b, admin) = with_admin(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut client = b.connect();
    for _ in 0..7 {
        assert_eq!(client.request(&look_request("1.2")).status(), 200);
    }
    let text = String::from_utf8_lossy(&call(admin, "GET", "/stats").body).to_string();
    assert_eq!(figure(&text, "edge_gw.downstream_requests.look.completed"), Some(7), "{text}");
    assert_eq!(figure(&text, "edge_gw.downstream_requests.look.failed"), Some(0), "{text}");
    assert_eq!(figure(&text, "edge_gw.upstream_requests"), Some(up.request_count() as u64), "{text}");
    assert_eq!(figure(&text, "edge_gw.pending"), Some(0), "{text}");
    assert_eq!(figure(&text, "edge_gw.members"), Some(1), "{text}");
    b.signal("HUP");
    wait_until("the reload counted", || {
        let text = String::from_utf8_lossy(&call(admin, "GET", "/stats").body).to_string();
        figure(&text, "edge_gw.config_reloads") == Some(1)
    });
}

/// Guards against settings that wait for a restart: a class added at SIGHUP is served, and a broken file changes
/// nothing but the count of errors.
#[test]
fn new_settings_at_sighup_bring_a_class_and_a_broken_file_changes_nothing() {
    let up = Upstream::start(|_| ok_reply("done"));
    let discovery = Discovery::start();
    let known = [host_entry("s", up.address, 0, "SERVING")];
    let (b, admin) = with_admin(&discovery, &known);
    let peek = || look_request("1.2").replace("/look/", "/peek/");
    assert_eq!(b.request(&peek()).status(), 404, "the class is not known yet");
    let text = config_text(b.address, discovery.address, 256, &known);
    let grade = r#"{"HardLimitUs":1500000,"KeyScope":"all","LateWorth":0.0,"Name":"look""#;
    let added = text.replacen(grade, &format!("{},{grade}", grade.replace("look", "peek") + "}"), 1);
    let added =
        added.replacen(r#""Name":"peek"}"#, r#""Name":"peek","Semantics":"safe","SloUs":1500000}"#, 1);
    std::fs::write(&b.config, &added).unwrap();
    b.signal("HUP");
    wait_until("the new class is served", || b.request(&peek()).status() == 200);
    assert_eq!(b.request(&look_request("1.2")).status(), 200);
    std::fs::write(&b.config, &added[..added.len() / 2]).unwrap();
    b.signal("HUP");
    wait_until("the broken file counted", || {
        let text = String::from_utf8_lossy(&call(admin, "GET", "/stats").body).to_string();
        figure(&text, "edge_gw.config_reload_errors") == Some(1)
    });
    for _ in 0..5 {
        assert_eq!((b.request(&peek()).status(), b.request(&look_request("1.2")).status()), (200, 200));
    }
}
