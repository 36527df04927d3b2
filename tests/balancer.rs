//! The real program, talked to over sockets as clients, upstreams and discovery would.

mod support;

use std::io::Read;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use support::*;

#[test]
fn a_request_and_its_answer_pass_unchanged() {
    let up = Upstream::start(|_| {
        Reply::Send(b"HTTP/1.1 200 OK\r\nSrv-Load: TEXT inflight=1, util=0.2\r\nX-Kept: yes\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n".to_vec())
    });
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut client = b.connect();
    let request = book_request("2.5", "a body\r\n");
    let answer = client.request(&request);
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"abcde"[..]));
    assert_eq!(answer.header("x-kept"), Some("yes"));
    let got = up.received.lock().unwrap()[0].clone();
    assert_eq!(got.start_line, "POST /book?key=91f03b7c55d20a64 HTTP/1.1");
    assert_eq!(got.body, b"a body\r\n");
    assert_eq!(got.header("idempotency-key"), Some("5c0f6e1a"));
    assert!(request.contains(&format!("Req-Id: {}\r\n", got.header("req-id").unwrap())));
    let left: f64 = got.header("req-deadline").unwrap().parse().unwrap();
    assert!(left > 0.0 && left <= 2.5, "{left}");
    // Both connections serve the next request, too, once the upstream's has rested.
    std::thread::sleep(Duration::from_millis(40));
    let answer = client.request(&look_request("1.2"));
    assert_eq!((answer.status(), up.connections_opened.load(Ordering::SeqCst)), (200, 1));
    assert_eq!(up.received.lock().unwrap()[1].start_line, "GET /look/part?key=91f03b7c55d20a64&x=1 HTTP/1.1");
}

/// Guards against load reports that are passed over: upstreams wrote `rif`, and only `inflight` was read.
#[test]
fn reports_of_load_are_heeded_under_either_name() {
    for name in ["rif", "inflight"] {
        let reporting = |load: u32| {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nSrv-Load: TEXT busy=0.5, {name}={load}\r\nContent-Length: 0\r\n\r\n"
            );
            Upstream::start(move |_| Reply::Send(answer.clone().into_bytes()))
        };
        let (loaded, free) = (reporting(60), reporting(0));
        let discovery = Discovery::start();
        let hosts =
            [host_entry("l", loaded.address, 0, "SERVING"), host_entry("f", free.address, 0, "SERVING")];
        let b = Balancer::start(&discovery, &hosts);
        let mut client = b.connect();
        for _ in 0..100 {
            assert_eq!(client.request(&look_request("1.2")).status(), 200);
        }
        assert!(
            free.request_count() > 2 * loaded.request_count(),
            "{name}: {} to {}",
            free.request_count(),
            loaded.request_count()
        );
    }
}

/// Guards against a panic, which ends the process, and against a connection read on in the wrong place.
#[test]
fn bad_input_is_answered_and_the_connection_closed() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let head = "Host: a\r\nReq-Id: 1\r\nReq-Deadline: 1\r\n";
    let keyed = format!("{head}Idempotency-Key: 1\r\n");
    let long = "a".repeat(20_000);
    let cases = [
        (400, "\u{1}\u{2} nonsense\r\n\r\n".to_string()),
        (400, "GET /look HTTP/1.1\r\nHost: a\r\nReq-Deadline: 1\r\n\r\n".into()),
        (400, "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\n\r\n".into()),
        (400, "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Deadline: soon\r\n\r\n".into()),
        (400, "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Deadline: NaN\r\n\r\n".into()),
        (400, format!("GET /look HTTP/1.1\r\n{head}Req-Cost: -x\r\n\r\n")),
        (400, format!("POST /book HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n")),
        (400, format!("POST /book HTTP/1.1\r\n{keyed}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab")),
        (400, format!("POST /book HTTP/1.1\r\n{keyed}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")),
        (400, format!("POST /book HTTP/1.1\r\n{keyed}Content-Length: 1\r\nContent-Length: 1\r\n\r\na")),
        (400, format!("POST /book HTTP/1.0\r\n{keyed}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")),
        (400, format!("POST /book HTTP/1.1\r\n{head}Transfer-Encoding: chunked\r\n\r\nzz\r\n")),
        (404, format!("GET /other HTTP/1.1\r\n{head}\r\n")),
        (404, format!("GET / HTTP/1.1\r\n{head}\r\n")),
        (405, format!("POST /look HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n")),
        (413, format!("POST /book HTTP/1.1\r\n{head}Idempotency-Key: 1\r\nContent-Length: 65537\r\n\r\n")),
        (413, format!("POST /book HTTP/1.1\r\n{head}Idempotency-Key: 1\r\nContent-Length: 99999999999999999999\r\n\r\n")),
        (413, format!("POST /book HTTP/1.1\r\n{head}Transfer-Encoding: chunked\r\n\r\nffffffff\r\n")),
        (431, format!("GET /look HTTP/1.1\r\n{head}X: {long}\r\n\r\n")),
    ];
    for (status, text) in cases {
        let mut client = b.connect();
        assert_eq!(client.request(&text).status(), status, "{text:.80}");
        assert!(client.read_answer().is_none(), "still open after {text:.80}");
    }
    assert_eq!(up.request_count(), 0);
    assert_eq!(b.request(&look_request("1.2")).status(), 200);
}

/// Guards against a second effect: once an attempt may have run, a keyed request stays in its cell.
#[test]
fn a_keyed_request_is_repeated_in_its_cell_alone() {
    let cut = |_: &Message| Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec());
    let ups = [Upstream::start(cut), Upstream::start(cut), Upstream::start(cut), Upstream::start(cut)];
    let hosts: Vec<_> =
        (0..4).map(|i| host_entry(&format!("s{i}"), ups[i].address, i as u32 / 2, "SERVING")).collect();
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &hosts);
    let answer = b.request(&book_request("3", "x"));
    assert_eq!(answer.status(), 502, "it may have run: no refusal");
    let counts: Vec<_> = ups.iter().map(Upstream::request_count).collect();
    assert!(counts[0] + counts[1] == 0 || counts[2] + counts[3] == 0, "{counts:?}");
    assert!(counts.iter().sum::<usize>() > 1, "{counts:?}");
}

/// Guards against taking an outcome for another: what never ran may go to another cell, even when keyed.
#[test]
fn what_never_ran_is_tried_elsewhere() {
    let declined = AtomicBool::new(false);
    let good = Upstream::start(move |_| match declined.swap(true, Ordering::SeqCst) {
        false => error_reply(503, "Srv-Declined: 1\r\n"),
        true => ok_reply("served"),
    });
    let nobody = free_address();
    let discovery = Discovery::start();
    let hosts = [host_entry("g", good.address, 0, "SERVING"), host_entry("n", nobody, 1, "SERVING")];
    let b = Balancer::start(&discovery, &hosts);
    let answer = b.request(&book_request("3", "x"));
    assert_eq!((answer.status(), &answer.body[..], good.request_count()), (200, &b"served"[..], 2));
}

/// Guards against a hung upstream: no reset tells of it, and the client must have its answer in time.
#[test]
fn silence_ends_with_an_answer_in_time_and_a_closed_connection() {
    let up = Upstream::start(|_| Reply::NoAnswer);
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let start = Instant::now();
    let answer = b.request(&look_request("0.6"));
    assert!(matches!(answer.status(), 502 | 503), "{}", answer.start_line);
    // Well before the class's own limit, on a slow machine too.
    assert!(start.elapsed() < Duration::from_millis(1400), "{:?}", start.elapsed());
    wait_until("the attempt's connection closed", || {
        up.connections_ended.load(Ordering::SeqCst) == up.connections_opened.load(Ordering::SeqCst)
    });
}

/// Guards against work for nobody: the attempt of a client that left is called off.
#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    let up = Upstream::start(|_| Reply::NoAnswer);
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut client = b.connect();
    client.send(&book_request("6", "x"));
    wait_until("the attempt", || up.request_count() == 1);
    client.stream.shutdown(Shutdown::Both).unwrap();
    wait_until("its end", || up.connections_ended.load(Ordering::SeqCst) == 1);
}

/// Guards against nonsense from upstreams: a failed attempt, not a crash, and never an answer half made up.
#[test]
fn an_answer_that_makes_no_sense_is_a_failed_attempt() {
    let big = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on".to_vec();
    let bad = [
        b"\0\0\r\n\r\n".to_vec(),
        big,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n".to_vec(),
    ];
    for bytes in bad {
        let up = Upstream::start(move |_| Reply::SendAndClose(bytes.clone()));
        let discovery = Discovery::start();
        let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
        assert!(matches!(b.request(&look_request("1")).status(), 502 | 503));
        assert_eq!(b.request(READY_REQUEST).status(), 200);
    }
}

/// Guards against a reset on the next request: a pooled connection that its upstream closed is dropped.
#[test]
fn a_closed_connection_leaves_the_pool() {
    let up =
        Upstream::start(|_| Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx".to_vec()));
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    for n in 1..4 {
        assert_eq!(b.request(&book_request("3", "x")).status(), 200);
        assert_eq!(up.request_count(), n, "sent once each");
        wait_until("the upstream's close", || up.connections_ended.load(Ordering::SeqCst) == n as u32);
        // The close is on its way through the kernel for a moment yet.
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn discovery_is_watched_in_pieces_and_again_after_nonsense() {
    let (first, second) = (Upstream::start(|_| ok_reply("first")), Upstream::start(|_| ok_reply("second")));
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s1", first.address, 0, "SERVING")]);
    let (asked, mut watch) = discovery.next_watch();
    assert!(asked.starts_with("GET /v1/endpoints?stream=1&index=7 "), "{asked}");
    // Chunks split and join lines: one list in three pieces, with an empty line before and after.
    let entries =
        [host_entry("s1", first.address, 0, "DRAINING"), host_entry("s2", second.address, 0, "SERVING")];
    let line = format!("\n{}\n\n", host_list(8, false, &entries));
    let (a, rest) = line.split_at(40);
    let (c, d) = rest.split_at(100);
    [a, c, d].iter().for_each(|piece| watch.write_chunk(piece));
    wait_until("the draining host gets nothing", || {
        let before = first.request_count();
        let answer = b.request(&look_request("1.2"));
        answer.body == b"second" && first.request_count() == before
    });
    (0..20).for_each(|_| assert_eq!(b.request(&look_request("1.2")).body, b"second"));
    watch.write_chunk("{\"seq\": nonsense}\n");
    wait_until("its end", || watch.is_ended());
    let (asked, _watch) = discovery.next_watch();
    assert!(asked.contains("index=8 "), "{asked}");
}

/// Guards against a watch that died without a word: an empty line comes every 2 s, or it is dead.
#[test]
fn a_silent_watch_is_given_up() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let _b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let (_, mut watch) = discovery.next_watch();
    watch.write_chunk("\n");
    let start = Instant::now();
    let (_, _again) = discovery.next_watch();
    assert!(start.elapsed() > Duration::from_secs(3), "a live watch was dropped");
    wait_until("the first one's end", || watch.is_ended());
}

/// Guards against dying of EMFILE and against idle callers that lock others out.
#[test]
fn idle_callers_make_room() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let b = Balancer::start_with_sockets(&discovery, &[host_entry("s", up.address, 0, "SERVING")], 64);
    let mut clients: Vec<_> = (0..120).map(|_| b.connect()).collect();
    assert_eq!(clients.last_mut().unwrap().request(&look_request("1.2")).status(), 200);
    let mut first = clients.remove(0);
    assert_eq!(first.stream.read(&mut [0; 1]).unwrap(), 0, "the oldest idle one was closed");
}

/// Guards against losing requests that lie in the kernel while room is made or the end is begun: they are
/// taken, and a connection that holds one is not between requests.
#[test]
fn requests_in_the_kernel_are_taken() {
    for signals in [&["CONT"][..], &["TERM", "CONT"][..]] {
        let up = Upstream::start(|_| ok_reply("x"));
        let discovery = Discovery::start();
        let b = Balancer::start_with_sockets(&discovery, &[host_entry("s", up.address, 0, "SERVING")], 64);
        let mut clients: Vec<_> = (0..10).map(|_| b.connect()).collect();
        clients.iter_mut().for_each(|c| assert_eq!(c.request(&look_request("1.2")).status(), 200));
        b.signal("STOP");
        clients.extend((0..50).map(|_| b.connect()));
        clients.iter_mut().for_each(|c| c.send(&book_request("6", "x")));
        signals.iter().for_each(|s| b.signal(s));
        clients
            .iter_mut()
            .for_each(|c| assert!(matches!(c.read_answer().expect("an answer").status(), 200 | 503)));
    }
}

/// Guards against losing what was taken at a planned restart.
#[test]
fn sigterm_is_survived_by_what_was_taken() {
    let up = Upstream::start(|m| {
        std::thread::sleep(Duration::from_millis(if m.start_line.contains("book") { 1500 } else { 0 }));
        ok_reply("x")
    });
    let discovery = Discovery::start();
    let mut b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut kept = b.connect();
    assert_eq!(kept.request(&look_request("1.2")).status(), 200);
    let mut slow = b.connect();
    slow.send(&book_request("5", "x"));
    wait_until("the slow attempt", || up.request_count() == 2);
    b.signal("TERM");
    // New and kept connections are served for a while yet: clients use them for as long as they are open, and
    // those of a zone with one balancer have nowhere else to go.
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(b.request(&look_request("1.2")).status(), 200);
    std::thread::sleep(Duration::from_millis(1000));
    assert_eq!(kept.request(&look_request("1.2")).status(), 200);
    assert_eq!(slow.read_answer().expect("an answer").status(), 200);
    assert!(b.wait_for_exit().success());
    assert!(kept.read_answer().is_none());
}

/// The example starts as it is; the environment goes before the file.
#[test]
fn the_example_configuration_starts() {
    let at = free_address();
    let example =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/example.json")).unwrap();
    let b = Balancer::start_with_config(at, &example, |command| {
        command.env("GW_LISTEN", at.to_string());
    });
    assert_eq!(b.request(READY_REQUEST).status(), 200);
}

/// Guards against an end by SIGHUP, against a balancer that stays with a discovery that the file no longer
/// names, though the environment had the first word at the start, and against use of a faulty file.
#[test]
fn sighup_follows_discovery_and_keeps_what_works() {
    let (old, new) = (Upstream::start(|_| ok_reply("old")), Upstream::start(|_| ok_reply("new")));
    let (before, after) = (Discovery::start(), Discovery::start());
    let at = free_address();
    let text = |discovery| config_text(at, discovery, 1024, &[host_entry("s1", old.address, 0, "SERVING")]);
    let log = write_config_file("");
    let mut b = Balancer::start_with_config(at, &text(before.address), |command| {
        let log = std::fs::File::options().append(true).open(&log).unwrap();
        command.env("GW_DISCOVERY", before.address.to_string()).stderr(log);
    });
    let (_, mut first) = before.next_watch();
    let mut kept = b.connect();
    assert_eq!(kept.request(&look_request("1.2")).body, b"old");

    std::fs::write(&b.config, text(after.address).replace("\"SloUs\":6000000", "\"SloUs\":-1")).unwrap();
    b.signal("HUP");
    wait_until("the faulty key in the log", || {
        std::fs::read_to_string(&log).unwrap().contains("settings.Grades[1].SloUs")
    });
    assert_eq!(kept.request(&look_request("1.2")).body, b"old");
    assert!(!first.is_ended(), "a faulty file was followed");

    std::fs::write(&b.config, text(after.address)).unwrap();
    b.signal("HUP");
    let (asked, mut second) = after.next_watch();
    assert!(asked.contains("index=0 "), "another service counts its own versions: {asked}");
    wait_until("the old watch's end", || first.is_ended());
    second.write_chunk(&format!("{}\n", host_list(1, true, &[host_entry("s2", new.address, 0, "SERVING")])));
    wait_until("its hosts", || kept.request(&look_request("1.2")).body == b"new");
    assert!(b.child.try_wait().unwrap().is_none());
}

#[test]
fn a_bad_configuration_names_its_key() {
    let at = free_address();
    let good = config_text(at, at, 1024, &[]);
    let cases = [
        (good.replace(r#""seed":"00000000000000a1""#, r#""seed":"?""#), "seed"),
        (good.replace(r#""sockets":1024"#, r#""sockets":"many""#), "limits.sockets"),
        (good.replace(r#""sockets":1024"#, r#""sockets":3"#), "limits.sockets"),
        (good.replace(r#""SloUs":6000000"#, r#""SloUs":-1"#), "settings.Grades[1].SloUs"),
        (good.replace(r#""Semantics":"safe""#, r#""Semantics":"odd""#), "settings.Grades[0].Semantics"),
        (good.replace(r#""Name":"look","#, ""), "settings.Grades[0]"),
        (good.replace(&format!(r#""listen":"{at}""#), r#""listen":"here""#), "listen"),
        (config_text(at, at, 1024, &[host_entry("s", at, 0, "ODD")]), "known.hosts[0].health"),
        ("{".to_string(), "EOF"),
    ];
    for (text, key) in cases {
        let output = program_command(&text).stderr(std::process::Stdio::piped()).output().unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && said.contains(key), "{key}: {said}");
    }
}

/// A herd shows in the sum of all balancers' logs alone: each attempt and each request is told where that is asked.
#[test]
fn the_log_tells_every_attempt_where_that_is_asked() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let at = free_address();
    let text = config_text(at, discovery.address, 1024, &[host_entry("s1", up.address, 0, "SERVING")]);
    for (level, told) in [("info", false), ("debug", true)] {
        let log = write_config_file("");
        let mut b = Balancer::start_with_config(at, &text, |command| {
            let log = std::fs::File::options().append(true).open(&log).unwrap();
            command.env("GW_LOG", level).stderr(log);
        });
        assert_eq!(b.connect().request(&look_request("1.2")).body, b"x");
        // Lines are written by a thread of their own: all are there once the program has ended.
        b.signal("TERM");
        assert!(b.wait_for_exit().success());
        let said = std::fs::read_to_string(&log).unwrap();
        for message in ["sent", "ended", "request"] {
            assert_eq!(said.contains(&format!(" {message}, ")), told, "{message} at {level}: {said}");
        }
    }
    let mut odd = program_command(&text);
    let output = odd.env("GW_LOG", "odd").stderr(std::process::Stdio::piped()).output().unwrap();
    assert!(String::from_utf8_lossy(&output.stderr).contains("GW_LOG") && !output.status.success());
}

/// Guards against trying again what no upstream can use: each try cost the others' retries, and upstreams that
/// said 400 were taken for failing ones and left out.
#[test]
fn a_request_that_upstreams_turn_away_is_tried_once_and_blamed_on_none() {
    let picky = |m: &Message| match m.start_line.contains("bad") {
        true => error_reply(400, "X-Why: id\r\n"),
        false => ok_reply("x"),
    };
    let ups = [Upstream::start(picky), Upstream::start(picky)];
    let hosts =
        [host_entry("s0", ups[0].address, 0, "SERVING"), host_entry("s1", ups[1].address, 0, "SERVING")];
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &hosts);
    let mut client = b.connect();
    for n in 1..30 {
        let answer = client.request(&look_request("1.2").replace("/part", "/bad"));
        assert_eq!((answer.status(), answer.header("x-why")), (400, Some("id")));
        assert_eq!(ups[0].request_count() + ups[1].request_count(), n, "tried again");
    }
    let before = [ups[0].request_count(), ups[1].request_count()];
    (0..60).for_each(|_| assert_eq!(client.request(&look_request("1.2")).status(), 200));
    assert!(ups.iter().zip(before).all(|(up, n)| up.request_count() > n + 10), "an upstream was left out");
}

/// Guards against a second request under the id of an open one: upstreams tell requests apart by their ids.
#[test]
fn an_id_that_is_in_use_is_turned_away() {
    let (let_go, held) = std::sync::mpsc::channel::<()>();
    let held = std::sync::Mutex::new(held);
    let up = Upstream::start(move |_| {
        held.lock().unwrap().recv().unwrap();
        ok_reply("x")
    });
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let request = book_request("5", "x");
    let mut first = b.connect();
    first.send(&request);
    wait_until("the attempt", || up.connections_opened.load(Ordering::SeqCst) == 1);
    assert_eq!(b.request(&request).status(), 400);
    let_go.send(()).unwrap();
    assert_eq!(first.read_answer().expect("an answer").status(), 200);
    // Once answered, the id is free: a client that lost its connection may ask again.
    let_go.send(()).unwrap();
    assert_eq!((first.request(&request).status(), up.request_count()), (200, 2));
}

/// Guards against an answer later than SIGKILL: what is taken after SIGTERM has less time than it asks for.
#[test]
fn what_comes_after_sigterm_is_answered_before_the_kill() {
    let up = Upstream::start(|_| Reply::NoAnswer);
    let discovery = Discovery::start();
    let mut b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut client = b.connect();
    b.signal("TERM");
    let told = Instant::now();
    client.send(&book_request("6", "x"));
    assert_eq!(client.read_answer().expect("an answer").status(), 502);
    // The longest deadline counts as 3 s here, and 0.7 s more are granted.
    assert!(told.elapsed() < Duration::from_millis(3700), "{:?}", told.elapsed());
    assert!(b.wait_for_exit().success());
}

/// Guards against callers that hold connections and send no whole request: each is closed within 3 s, with an
/// error where it began to send. A kept connection's next request has its time from its own first byte.
#[test]
fn slow_callers_are_sent_away() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut kept = b.connect();
    assert_eq!(kept.request(&look_request("1.2")).status(), 200);
    let start = Instant::now();
    let (mut silent, mut half) = (b.connect(), b.connect());
    half.send("GET /look HTTP/1.1\r\nHost: a\r\nReq-");
    assert!(silent.read_answer().is_none_or(|m| m.status() == 408));
    assert_eq!(half.read_answer().expect("an error").status(), 408);
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    let request = look_request("1.2");
    let (head, tail) = request.split_at(30);
    kept.send(head);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(kept.request(tail).status(), 200);
}

/// Guards against a flood of silent connections that pushes out the clients who come back to theirs.
#[test]
fn silent_callers_make_room_first() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let b = Balancer::start_with_sockets(&discovery, &[host_entry("s", up.address, 0, "SERVING")], 64);
    let mut kept = b.connect();
    assert_eq!(kept.request(&look_request("1.2")).status(), 200);
    let mut silent = Vec::new();
    for _ in 0..4 {
        silent.extend((0..20).map(|_| b.connect()));
        std::thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(kept.request(&look_request("1.2")).status(), 200);
    assert!(silent[0].read_answer().is_none(), "nobody was closed");
}

/// Guards against a close that destroys an error by a reset: the client sends all of its 60 MB before it reads.
/// And against senders who keep the loop to themselves: two more never stop sending, until they are cut off.
#[test]
fn endless_bodies_are_answered_and_delay_nobody() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let sender = |parts: usize| {
        let mut sender = b.connect();
        sender.send(&book_request("6", "").replace("Content-Length: 0", "Content-Length: 60000000"));
        let part = "x".repeat(600_000);
        std::thread::spawn(move || {
            let sent =
                (0..parts).all(|_| std::io::Write::write_all(&mut sender.stream, part.as_bytes()).is_ok());
            sent.then(|| sender.read_answer().expect("an error").status())
        })
    };
    let (endless, large) = ([sender(usize::MAX), sender(usize::MAX)], sender(100));
    for _ in 0..20 {
        assert_eq!(b.request(&look_request("1.2")).status(), 200);
    }
    assert_eq!(large.join().unwrap(), Some(413));
    endless.into_iter().for_each(|sender| assert_eq!(sender.join().unwrap(), None));
}

/// Guards against belief in a load report that can't be read as a whole.
#[test]
fn an_unreadable_report_is_not_believed() {
    let reporting = |report: &'static str| {
        let answer = format!("HTTP/1.1 200 OK\r\nSrv-Load: {report}\r\nContent-Length: 0\r\n\r\n");
        Upstream::start(move |_| Reply::Send(answer.clone().into_bytes()))
    };
    let (odd, plain) = (reporting("TEXT busy=0.x, rif=60"), reporting("TEXT busy=0.5, rif=0"));
    let discovery = Discovery::start();
    let hosts = [host_entry("o", odd.address, 0, "SERVING"), host_entry("p", plain.address, 0, "SERVING")];
    let b = Balancer::start(&discovery, &hosts);
    let mut client = b.connect();
    (0..100).for_each(|_| assert_eq!(client.request(&look_request("1.2")).status(), 200));
    assert!(
        2 * odd.request_count() > plain.request_count(),
        "{} to {}",
        odd.request_count(),
        plain.request_count()
    );
}

/// Guards against failing requests whose answers are good, but longer than requests may be.
#[test]
fn a_long_answer_is_passed_on_whole() {
    let body: String = (0..60_000).map(|n| format!("{n:07}")).collect();
    let answer = body.clone();
    let up = Upstream::start(move |_| ok_reply(&answer));
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut client = b.connect();
    for n in 1..4 {
        let answer = client.request(&book_request("5", "x"));
        assert!(answer.status() == 200 && answer.body == body.as_bytes(), "{}", answer.start_line);
        assert_eq!(up.request_count(), n, "tried again");
    }
}

/// Guards against an upstream whose machine drops what is idle without a word, long before the settings say:
/// each request on such a connection was reset, and may have run. One reset has to do.
#[test]
fn connections_that_go_stale_early_are_not_kept_for_long() {
    let last = std::sync::Mutex::new(Instant::now());
    let dropped = std::sync::Arc::new(std::sync::atomic::AtomicU32::new(0));
    let count = dropped.clone();
    let up = Upstream::start(move |m| {
        let since = std::mem::replace(&mut *last.lock().unwrap(), Instant::now()).elapsed();
        if m.index_on_connection > 0 && since > Duration::from_millis(150) {
            count.fetch_add(1, Ordering::SeqCst);
            return Reply::SendAndClose(Vec::new());
        }
        ok_reply("x")
    });
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut client = b.connect();
    for _ in 0..8 {
        client.request(&look_request("1.2"));
        std::thread::sleep(Duration::from_millis(300));
    }
    let dropped = dropped.load(Ordering::SeqCst);
    assert!((1..=2).contains(&dropped), "{dropped} of 7");
}
