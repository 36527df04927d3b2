//! The rare moments, forced: one side is held at a known state until the other thing has happened.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The settings with these changes.
fn settings(changes: &[(&str, &str)]) -> String {
    changes.iter().fold(SETTINGS.to_string(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to)
    })
}

/// A balancer on these settings.
fn start(discovery: &Discovery, known: &[String], settings: &str) -> Balancer {
    let address = free_address();
    let text = config(address, discovery.address, 1024, known).replace(SETTINGS, settings);
    Balancer::spawn(address, &text, |_| {})
}

/// Connections may take longer than a SYN takes to be sent again, and nothing is called off meanwhile.
const PATIENT: [(&str, &str); 2] = [
    ("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000"),
    ("\"MayCancel\":true", "\"MayCancel\":false"),
];

/// An upstream whose connections come up when they are let up: until then its queue is full, and the kernel drops
/// what comes. What is written to those that come up later is kept.
struct Late {
    address: SocketAddr,
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl Late {
    fn start() -> Late {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let mut fillers = Vec::new();
        // Until one more does not come up.
        while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            fillers.push(filler);
            assert!(fillers.len() < 16, "the queue never fills");
        }
        Late { address, listener, fillers }
    }

    /// Whether a connection waits to come up: the kernel knows it, and the listener does not.
    fn waits(&self) -> bool {
        let to = format!("{:08X}:{:04X}", 0x0100_007fu32, self.address.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        // The columns: number, local, remote, state; 02 is SYN_SENT.
        table.lines().filter(|l| l.split_whitespace().nth(2) == Some(&*to)).any(|l| l.contains(" 02 "))
    }

    /// Lets connections come up; what the first one that is not a filler brings until it ends or falls silent.
    fn let_up(self) -> Receiver<Vec<u8>> {
        let (send, brought) = channel();
        thread::spawn(move || {
            let mine: Vec<_> = self.fillers.iter().map(|f| f.local_addr().unwrap()).collect();
            loop {
                let (mut stream, peer) = self.listener.accept().unwrap();
                if mine.contains(&peer) {
                    continue;
                }
                stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
                let mut got = Vec::new();
                let mut part = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut part) {
                    got.extend_from_slice(&part[..n]);
                }
                if send.send(got).is_err() {
                    return;
                }
            }
        });
        brought
    }
}

/// What came to a late upstream; nothing, too, where no connection came up at all.
fn brought(by: &Receiver<Vec<u8>>) -> String {
    let got = by.recv_timeout(Duration::from_secs(4)).unwrap_or_default();
    String::from_utf8_lossy(&got).into_owned()
}

/// Guards against work for nobody where the settings don't allow attempts to be cancelled: the client has left while
/// the connection was on its way, and the request was written when it came up.
#[test]
fn what_waits_for_its_connection_is_not_sent_for_a_client_that_left() {
    let up = Late::start();
    let discovery = Discovery::start();
    let b = start(&discovery, &[host("s", up.address, 0, "SERVING")], &settings(&PATIENT));
    let mut client = b.client();
    client.send(&book("6", "x"));
    until("an attempt that waits for its connection", || up.waits());
    drop(client);
    let left = Instant::now();
    until("the attempt given up", || !up.waits());
    assert!(left.elapsed() < Duration::from_secs(3), "{:?}: its own time was up", left.elapsed());
    assert_eq!(brought(&up.let_up()), "");
}

/// Guards against a second effect: the repeat was decided on inside the key's window, and its connection came up
/// after that (the short days' `duplicate`).
#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_not_written() {
    let late = Late::start();
    // The first attempt may have run; it ends once, and the repeat goes to the other one of the cell.
    let first = Upstream::start(|_| Reply::Last(Vec::new()));
    let discovery = Discovery::start();
    let s = settings(&PATIENT).replace("\"WindowUs\":10000000", "\"WindowUs\":300000");
    let hosts = [host("f", first.address, 0, "SERVING"), host("l", late.address, 0, "SERVING")];
    let b = start(&discovery, &hosts, &s);
    // Which one comes first is chance: one that met the late one first is not what this is about.
    let mut waiting = None;
    for _ in 0..20 {
        let mut client = b.client();
        let before = first.count();
        client.send(&book("6", "x"));
        until("an attempt", || first.count() > before || late.waits());
        if first.count() > before {
            until("its repeat, or its end", || late.waits() || ended(&client.stream));
            if late.waits() {
                waiting = Some(client);
                break;
            }
        }
        drop(client);
        until("no attempt", || !late.waits());
    }
    let mut client = waiting.expect("a repeat that waits for its connection");
    thread::sleep(Duration::from_millis(400)); // the window passes
    let came = brought(&late.let_up());
    assert!(!came.contains("POST"), "{came}");
    assert_eq!(client.answer().expect("an answer").status(), 502, "it may have run");
}

/// Whether a client's connection has something to read.
fn ended(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let found = stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false).unwrap();
    found
}

/// Guards against new work for a host that drains: its connection was on its way when the list said so.
#[test]
fn what_waits_for_its_connection_goes_elsewhere_once_its_host_drains() {
    let late = Late::start();
    let good = Upstream::start(|_| ok("elsewhere"));
    let discovery = Discovery::start();
    let b = start(&discovery, &[host("l", late.address, 0, "SERVING")], &settings(&PATIENT));
    let (_, mut watch) = discovery.watch();
    let mut client = b.client();
    client.send(&book("6", "x"));
    until("an attempt that waits for its connection", || late.waits());
    let hosts = [host("l", late.address, 0, "DRAINING"), host("g", good.address, 0, "SERVING")];
    let told = Instant::now();
    watch.chunk(&(list(8, true, &hosts) + "\n"));
    assert_eq!(&client.answer().expect("an answer").body[..], b"elsewhere");
    assert!(told.elapsed() < Duration::from_secs(3), "{:?}: its own time was up", told.elapsed());
    assert!(!late.waits(), "its attempt is still on its way");
    assert_eq!(brought(&late.let_up()), "");
}

/// Guards against lists that are not written on one line, and against a bad value that takes a good list with it.
#[test]
fn lists_are_read_however_they_are_laid_out() {
    let ups: Vec<_> = (0..3).map(|_| Upstream::start(|_| ok("x"))).collect();
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host("old", ups[0].address, 0, "SERVING")]);
    let (_, mut watch) = discovery.watch();
    let served_by = |n: usize| {
        let before = ups[n].count();
        b.ask(&look("1.2"));
        ups[n].count() > before
    };
    let indented = list(8, true, &[host("new", ups[1].address, 0, "SERVING")])
        .replace('{', "{\n  ")
        .replace(',', ",\n  ");
    // In pieces, each a chunk; the first ends within a word.
    let (head, tail) = indented.split_at(20);
    watch.chunk(head);
    watch.chunk(&format!("{tail}\n\n"));
    until("the indented list", || served_by(1));
    // Two on one line, then nonsense: the lists count, and the watch is opened anew from the last of them.
    let next = list(9, false, &[]) + &list(10, true, &[host("third", ups[2].address, 0, "SERVING")]);
    watch.chunk(&format!("{next} nonsense\n"));
    let (line, _watch) = discovery.watch();
    assert!(line.contains("index=10"), "{line}");
    until("the last good list", || served_by(2));
}

/// Guards against a watch that is kept alive by bytes that never make a list. What it misses counts as told 6 s after
/// it fell silent: a new one has to be there by then.
#[test]
fn bytes_alone_do_not_keep_a_watch_alive() {
    let up = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let _b = Balancer::start(&discovery, &[host("s", up.address, 0, "SERVING")]);
    let (_, mut watch) = discovery.watch();
    watch.chunk("\n");
    let silent = Instant::now();
    let trickle = Arc::new(Mutex::new(watch));
    let hand = trickle.clone();
    thread::spawn(move || {
        let text = list(8, true, &[]);
        for byte in text.chars() {
            hand.lock().unwrap().chunk_if_open(&byte.to_string());
            thread::sleep(Duration::from_millis(300));
        }
    });
    discovery.watch();
    assert!(silent.elapsed() < Duration::from_secs(6), "{:?}", silent.elapsed());
}

/// Guards against a site whose lists are pushed: nobody had asked for a watch there, and no list was ever heard of.
#[test]
fn pushed_lists_are_watched_from_the_start() {
    let up = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let s = settings(&[("on_request", "pushed")]);
    let _b = start(&discovery, &[host("s", up.address, 0, "SERVING")], &s);
    let (_, watch) = discovery.watch();
    // And again at once, when it ends.
    drop(watch);
    discovery.watch();
}

/// Guards against a client that sent much behind its request and went: its end lies behind unread bytes.
#[test]
fn the_end_behind_unread_bytes_is_seen() {
    let up = Upstream::start(|_| Reply::Silence);
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host("s", up.address, 0, "SERVING")]);
    let mut client = b.client();
    client.send(&book("6", "x"));
    until("the attempt", || up.count() == 1);
    let sent = Instant::now();
    client.send(&"x".repeat(60_000)); // more than is read ahead, and not more than the kernel takes
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert!(client.answer().is_none(), "somebody was thought to wait");
    assert!(sent.elapsed() < Duration::from_secs(4), "{:?}: its time was up", sent.elapsed());
}

/// Guards against requests that stay in the socket, since what comes before them is answered at once.
#[test]
fn all_of_many_requests_behind_each_other_are_answered() {
    let up = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host("s", up.address, 0, "SERVING")]);
    let padded = READY.replace("\r\n\r\n", &format!("\r\nX-Pad: {}\r\n\r\n", "p".repeat(8_000)));
    let mut client = b.client();
    let mut sending = client.stream.try_clone().unwrap();
    // The kernel makes a socket's buffer larger once much has gone through it.
    for _ in 0..40 {
        client.send(&padded.repeat(10));
        (0..10).for_each(|_| assert_eq!(client.answer().unwrap().status(), 200));
    }
    b.signal("STOP");
    let all = padded.repeat(60);
    // All of it lies in the socket when the balancer reads on.
    sending.set_nonblocking(true).unwrap();
    let mut at = 0;
    while let Ok(n) = sending.write(&all.as_bytes()[at..]) {
        at += n;
        if at == all.len() {
            break;
        }
    }
    sending.set_nonblocking(false).unwrap();
    b.signal("CONT");
    let whole = at / padded.len();
    assert!(whole * padded.len() > 120_000, "{whole} requests fit in the socket");
    for n in 0..whole {
        assert_eq!(client.answer().unwrap_or_else(|| panic!("no answer {n}")).status(), 200);
    }
}

/// Guards against a second answer that comes some milliseconds after the first: the next request has the connection
/// by then, and got it for its own.
#[test]
fn a_late_second_answer_is_nobodys() {
    // A stand-in that answers each request with its id, and says it again a little later.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || {
                let mut stream = stream.unwrap();
                let mut input = std::io::BufReader::new(stream.try_clone().unwrap());
                while let Some(m) = Message::read(&mut input) {
                    let id = m.header("req-id").unwrap();
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
                    let _ = stream.write_all(answer.as_bytes());
                    thread::sleep(Duration::from_millis(8));
                    let _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host("s", address, 0, "SERVING")]);
    let mut client = b.client();
    for _ in 0..40 {
        let request = look("1.2");
        let answer = client.ask(&request);
        let id = String::from_utf8(answer.body.clone()).unwrap();
        assert!(
            answer.status() == 200 && request.contains(&format!("Req-Id: {id}\r\n")),
            "{answer:?} to {request}"
        );
    }
}

/// Short deadlines: closing begins 0.6 s after SIGTERM.
const SHORT: [(&str, &str); 3] = [
    ("\"HardLimitUs\":6000000", "\"HardLimitUs\":500000"),
    ("\"HardLimitUs\":1500000,", "\"HardLimitUs\":500000,"),
    ("\"SloUs\":1500000", "\"SloUs\":500000"),
];

fn short() -> String {
    settings(&SHORT).replace("\"SloUs\":6000000", "\"SloUs\":500000")
}

/// Guards against a close that crosses bytes of the client: it would be a reset, which may cost the answer before it.
#[test]
fn a_resting_connection_ends_without_a_reset() {
    let up = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let b = start(&discovery, &[host("s", up.address, 0, "SERVING")], &short());
    let mut client = b.client();
    assert_eq!(client.ask(&look("0.4")).status(), 200);
    b.signal("TERM");
    assert!(client.answer().is_none(), "the end of its sending");
    // A request that was on its way: nobody takes it, and it does no harm.
    client.send(&look("0.4"));
    thread::sleep(Duration::from_millis(30)); // a reset has its time to come back
    client.stream.write_all(b"more").expect("no reset");
    assert_eq!(up.count(), 1);
}

/// Guards against new connections that are closed before their first request: they came up just when closing began.
#[test]
fn a_connection_that_came_up_at_the_end_gets_its_answer() {
    let up = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let b = start(&discovery, &[host("s", up.address, 0, "SERVING")], &short());
    let mut resting = b.client();
    resting.ask(READY);
    b.signal("TERM");
    let told = Instant::now();
    until("SIGTERM taken", || {
        resting.ask(READY).status() == 200 && told.elapsed() > Duration::from_millis(50)
    });
    b.signal("STOP");
    let mut new = b.client();
    thread::sleep(Duration::from_millis(900).saturating_sub(told.elapsed())); // past the closing and the accepting
    b.signal("CONT");
    until("the closing", || ended(&resting.stream));
    assert_eq!(new.ask(&look("0.3")).status(), 200);
}

/// Guards against what waits in the listener's queue, for want of room, when it closes: all of it was reset.
#[test]
fn what_waits_to_be_accepted_at_the_end_is_answered() {
    let up = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let address = free_address();
    let text = config(address, discovery.address, 64, &[host("s", up.address, 0, "SERVING")]);
    let text = text.replace(SETTINGS, &short());
    let b = Balancer::spawn(address, &text, |_| {});
    let mut resting = b.client();
    resting.ask(READY);
    b.signal("TERM");
    let told = Instant::now();
    until("SIGTERM taken", || {
        resting.ask(READY).status() == 200 && told.elapsed() > Duration::from_millis(50)
    });
    b.signal("STOP");
    let mut clients: Vec<_> = (0..60).map(|_| b.client()).collect();
    clients.iter_mut().for_each(|c| c.send(&look("0.3")));
    thread::sleep(Duration::from_millis(850).saturating_sub(told.elapsed())); // past the accepting
    b.signal("CONT");
    let lost =
        clients.iter_mut().filter_map(|c| c.answer()).filter(|a| matches!(a.status(), 200 | 503)).count();
    assert_eq!(lost, 60, "of 60 answered");
}

/// Guards against times of the settings before: SIGKILL comes by the new ones.
#[test]
fn after_a_reload_the_end_comes_by_the_new_deadlines() {
    let up = Upstream::start(|_| ok("x"));
    let discovery = Discovery::start();
    let hosts = [host("s", up.address, 0, "SERVING")];
    let mut b = Balancer::start(&discovery, &hosts);
    let text = config(b.address, discovery.address, 1024, &hosts).replace(SETTINGS, &short());
    std::fs::write(&b.config, text.replace("\"Name\":\"look\"", "\"Name\":\"view\"")).unwrap();
    b.signal("HUP");
    until("the new settings", || b.ask(&look("0.4").replace("/look/", "/view/")).status() == 200);
    b.signal("TERM");
    let told = Instant::now();
    assert!(b.wait().success());
    assert!(told.elapsed() < Duration::from_millis(2500), "{:?}", told.elapsed());
}

/// A configuration like this one whose settings differ, so that SIGHUP brings a new instance of the module.
fn with_new_settings(text: &str) -> String {
    text.replace("\"OverShareWorth\":0.05", "\"OverShareWorth\":0.06")
}

/// Guards against new settings that forget what discovery has told: the file's list is that of an earlier time, and
/// until a watch of their own came up the new settings sent to a host that drains. One watch goes on for both.
#[test]
fn new_settings_keep_to_what_discovery_has_told() {
    let (drains, stays, third) =
        (Upstream::start(|_| ok("drains")), Upstream::start(|_| ok("x")), Upstream::start(|_| ok("x")));
    let discovery = Discovery::start();
    let hosts = [host("d", drains.address, 0, "SERVING"), host("s", stays.address, 0, "SERVING")];
    let at = free_address();
    let text = config(at, discovery.address, 1024, &hosts);
    let b = Balancer::spawn(at, &text, |_| {});
    let (_, mut watch) = discovery.watch();
    watch.chunk(&(list(8, false, &[host("d", drains.address, 0, "DRAINING")]) + "\n"));
    let settled = |up: &Upstream| {
        let before = up.count();
        (0..8).for_each(|_| assert_eq!(b.ask(&look("1.2")).status(), 200));
        up.count() == before
    };
    until("the list", || settled(&drains));
    let before = drains.count();
    // A list that makes sense to nobody but the new settings: their class is there once they are in force.
    let new = with_new_settings(&text).replace("\"Name\":\"look\"", "\"Name\":\"view\"");
    std::fs::write(&b.config, new).unwrap();
    b.signal("HUP");
    let view = || b.ask(&look("1.2").replace("/look/", "/view/")).status();
    until("the new settings", || view() == 200);
    (0..30).for_each(|_| assert_eq!(view(), 200));
    assert_eq!(drains.count(), before, "sent to a host that was told to drain");
    // The watch is the one that was there.
    watch.chunk(
        &(list(9, false, &[host("s", stays.address, 0, "DRAINING"), host("t", third.address, 0, "SERVING")])
            + "\n"),
    );
    until("the next list", || {
        let before = (stays.count(), third.count());
        (0..4).for_each(|_| assert_eq!(view(), 200));
        stays.count() == before.0 && third.count() > before.1
    });
}

/// Guards against new settings that go back to the discovery of the start, which the environment named and the file
/// has since left.
#[test]
fn new_settings_stay_with_the_discovery_that_was_moved_to() {
    let up = Upstream::start(|_| ok("x"));
    let (before, after) = (Discovery::start(), Discovery::start());
    let at = free_address();
    let hosts = [host("s", up.address, 0, "SERVING")];
    let b = Balancer::spawn(at, &config(at, before.address, 1024, &hosts), |command| {
        command.env("GW_DISCOVERY", before.address.to_string());
    });
    before.watch();
    let moved = config(at, after.address, 1024, &hosts);
    std::fs::write(&b.config, &moved).unwrap();
    b.signal("HUP");
    let (_, mut watch) = after.watch();
    std::fs::write(&b.config, with_new_settings(&moved).replace("\"Name\":\"look\"", "\"Name\":\"view\""))
        .unwrap();
    b.signal("HUP");
    until("the new settings", || b.ask(&look("1.2").replace("/look/", "/view/")).status() == 200);
    watch.chunk("nonsense\n");
    let (line, _watch) = after.watch();
    assert!(line.starts_with("GET /v1/endpoints"), "{line}");
    assert!(before.watches.try_recv().is_err(), "the discovery of the start was asked");
}

/// Guards against new work for a host that a whole list leaves out: its connection was on its way.
#[test]
fn what_waits_for_its_connection_goes_elsewhere_once_its_host_is_left_out() {
    let late = Late::start();
    let good = Upstream::start(|_| ok("elsewhere"));
    let discovery = Discovery::start();
    let b = start(&discovery, &[host("l", late.address, 0, "SERVING")], &settings(&PATIENT));
    let (_, mut watch) = discovery.watch();
    let mut client = b.client();
    client.send(&book("6", "x"));
    until("an attempt that waits for its connection", || late.waits());
    let told = Instant::now();
    watch.chunk(&(list(8, true, &[host("g", good.address, 0, "SERVING")]) + "\n"));
    assert_eq!(&client.answer().expect("an answer").body[..], b"elsewhere");
    assert!(told.elapsed() < Duration::from_secs(3), "{:?}: its own time was up", told.elapsed());
}
