//! The rare moments, forced: one side is held at a known state until the other thing has happened.

mod support;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::late::{listen_with_short_queue, received_text, FullQueueUpstream, LONG_DIAL_WITHOUT_CANCEL};
use support::*;

/// Guards against work for nobody where the settings don't allow attempts to be cancelled: the client has left while
/// the connection was on its way, and the request was written when it came up.
#[test]
fn what_waits_for_its_connection_is_not_sent_for_a_client_that_left() {
    let up = FullQueueUpstream::start();
    let discovery = Discovery::start();
    let b = start_with_settings(
        &discovery,
        &[host_entry("s", up.address, 0, "SERVING")],
        &settings_with(&LONG_DIAL_WITHOUT_CANCEL),
    );
    let mut client = b.connect();
    client.send(&book_request("6", "x"));
    wait_until("an attempt that waits for its connection", || up.has_waiting_connection());
    drop(client);
    let left = Instant::now();
    wait_until("the attempt given up", || !up.has_waiting_connection());
    assert!(left.elapsed() < Duration::from_secs(3), "{:?}: its own time was up", left.elapsed());
    assert_eq!(received_text(&up.accept_connections()), "");
}

/// Guards against a second effect: the repeat was decided on inside the key's window, and its connection came up
/// after that (the short days' `duplicate`).
#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_not_written() {
    let late = FullQueueUpstream::start();
    // The first attempt may have run; it ends once, and the repeat goes to the other one of the cell.
    let first = Upstream::start(|_| Reply::SendAndClose(Vec::new()));
    let discovery = Discovery::start();
    let s = settings_with(&LONG_DIAL_WITHOUT_CANCEL).replace("\"WindowUs\":10000000", "\"WindowUs\":300000");
    let hosts = [host_entry("f", first.address, 0, "SERVING"), host_entry("l", late.address, 0, "SERVING")];
    let b = start_with_settings(&discovery, &hosts, &s);
    // Which one comes first is chance: one that met the late one first is not what this is about.
    let mut waiting = None;
    for _ in 0..20 {
        let mut client = b.connect();
        let before = first.request_count();
        client.send(&book_request("6", "x"));
        wait_until("an attempt", || first.request_count() > before || late.has_waiting_connection());
        if first.request_count() > before {
            wait_until("its repeat, or its end", || {
                late.has_waiting_connection() || is_readable(&client.stream)
            });
            if late.has_waiting_connection() {
                waiting = Some(client);
                break;
            }
        }
        drop(client);
        wait_until("no attempt", || !late.has_waiting_connection());
    }
    let mut client = waiting.expect("a repeat that waits for its connection");
    thread::sleep(Duration::from_millis(400)); // the window passes
    let came = received_text(&late.accept_connections());
    assert!(!came.contains("POST"), "{came}");
    assert_eq!(client.read_answer().expect("an answer").status(), 502, "it may have run");
}

/// An attempt waits for its connection, then this list comes: the request is answered elsewhere, well within its time,
/// and nothing of it came to the first one.
fn goes_elsewhere(and_then: impl Fn(&Balancer, &str), listed: impl Fn(SocketAddr) -> Vec<String>) {
    let late = FullQueueUpstream::start();
    let good = Upstream::start(|_| ok_reply("elsewhere"));
    let discovery = Discovery::start();
    let (at, hosts) = (free_address(), [host_entry("l", late.address, 0, "SERVING")]);
    let text = config_text(at, discovery.address, 1024, &hosts)
        .replace(SETTINGS, &settings_with(&LONG_DIAL_WITHOUT_CANCEL));
    let b = Balancer::start_with_config(at, &text, |_| {});
    let (_, mut watch) = discovery.next_watch();
    let mut client = b.connect();
    client.send(&book_request("6", "x"));
    wait_until("an attempt that waits for its connection", || late.has_waiting_connection());
    and_then(&b, &text);
    let told = Instant::now();
    let listed = [listed(late.address), vec![host_entry("g", good.address, 0, "SERVING")]].concat();
    watch.write_chunk(&(host_list(8, true, &listed) + "\n"));
    assert_eq!(&client.read_answer().expect("an answer").body[..], b"elsewhere");
    assert!(told.elapsed() < Duration::from_secs(3), "{:?}: its own time was up", told.elapsed());
    assert!(!late.has_waiting_connection(), "its attempt is still on its way");
    assert_eq!(received_text(&late.accept_connections()), "");
}

/// Guards against new work for a host that drains: its connection was on its way when the list said so.
#[test]
fn what_waits_for_its_connection_goes_elsewhere_once_its_host_drains() {
    goes_elsewhere(|_, _| {}, |late| vec![host_entry("l", late, 0, "DRAINING")]);
}

/// The same with a host that a whole list leaves out.
#[test]
fn what_waits_for_its_connection_goes_elsewhere_once_its_host_is_left_out() {
    goes_elsewhere(|_, _| {}, |_| Vec::new());
}

/// The same with new settings in between: requests that were taken before hear of the list, too.
#[test]
fn what_was_taken_before_new_settings_hears_of_later_lists() {
    let new_settings = |b: &Balancer, text: &str| {
        std::fs::write(&b.config, text.replace("\"Name\":\"look\"", "\"Name\":\"view\"")).unwrap();
        b.signal("HUP");
        let view = look_request("0.3").replace("/look/", "/view/");
        wait_until("the new settings", || b.request(&view).status() != 404);
    };
    goes_elsewhere(new_settings, |late| vec![host_entry("l", late, 0, "DRAINING")]);
}

/// Guards against lists that are not written on one line, and against a bad value that takes a good list with it.
#[test]
fn lists_are_read_however_they_are_laid_out() {
    let ups: Vec<_> = (0..3).map(|_| Upstream::start(|_| ok_reply("x"))).collect();
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("old", ups[0].address, 0, "SERVING")]);
    let (_, mut watch) = discovery.next_watch();
    let served_by = |n: usize| {
        let before = ups[n].request_count();
        b.request(&look_request("1.2"));
        ups[n].request_count() > before
    };
    let indented = host_list(8, true, &[host_entry("new", ups[1].address, 0, "SERVING")])
        .replace('{', "{\n  ")
        .replace(',', ",\n  ");
    // In pieces, each a chunk; the first ends within a word.
    let (head, tail) = indented.split_at(20);
    watch.write_chunk(head);
    watch.write_chunk(&format!("{tail}\n\n"));
    wait_until("the indented list", || served_by(1));
    // Two on one line, then nonsense: the lists count, and the watch is opened anew from the last of them.
    let next =
        host_list(9, false, &[]) + &host_list(10, true, &[host_entry("third", ups[2].address, 0, "SERVING")]);
    watch.write_chunk(&format!("{next} nonsense\n"));
    let (line, _watch) = discovery.next_watch();
    assert!(line.contains("index=10"), "{line}");
    wait_until("the last good list", || served_by(2));
}

/// Guards against a watch that is kept alive by bytes that never make a list. What it misses counts as told 6 s after
/// it fell silent: a new one has to be there by then.
#[test]
fn bytes_alone_do_not_keep_a_watch_alive() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let _b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let (_, mut watch) = discovery.next_watch();
    watch.write_chunk("\n");
    let silent = Instant::now();
    let trickle = Arc::new(Mutex::new(watch));
    let hand = trickle.clone();
    thread::spawn(move || {
        let text = host_list(8, true, &[]);
        for byte in text.chars() {
            hand.lock().unwrap().write_chunk_if_open(&byte.to_string());
            thread::sleep(Duration::from_millis(300));
        }
    });
    discovery.next_watch();
    assert!(silent.elapsed() < Duration::from_secs(6), "{:?}", silent.elapsed());
}

/// Guards against a call for lists that comes too late once one before it has failed: a silent watch, then a connection
/// that never comes up, then one that does, all in the 6 s after which what was missed counts as told.
#[test]
fn after_a_silent_watch_there_is_time_for_a_call_that_fails() {
    let up = Upstream::start(|_| ok_reply("x"));
    let listener = listen_with_short_queue();
    let (at, discovery) = (free_address(), listener.local_addr().unwrap());
    let _b = Balancer::start_with_config(
        at,
        &config_text(at, discovery, 1024, &[host_entry("s", up.address, 0, "SERVING")]),
        |_| {},
    );
    let (mut watch, _) = listener.accept().unwrap();
    write!(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n").unwrap();
    let silent = Instant::now();
    let late = FullQueueUpstream::fill_queue(listener);
    wait_until("a call that does not come up", || late.has_waiting_connection());
    wait_until("that call given up", || !late.has_waiting_connection());
    let asked = received_text(&late.accept_connections());
    assert!(asked.starts_with("GET /v1/endpoints"), "{asked}");
    // What it asks is known once nothing more has come for 0.3 s.
    assert!(silent.elapsed() < Duration::from_millis(6300), "{:?}", silent.elapsed());
}

/// Guards against a site whose lists are pushed: nobody had asked for a watch there, and no list was ever heard of.
#[test]
fn pushed_lists_are_watched_from_the_start() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let s = settings_with(&[("on_request", "pushed")]);
    let _b = start_with_settings(&discovery, &[host_entry("s", up.address, 0, "SERVING")], &s);
    let (_, watch) = discovery.next_watch();
    // And again at once, when it ends.
    drop(watch);
    discovery.next_watch();
}

/// Guards against a client that sent much behind its request and went: its end lies behind unread bytes.
#[test]
fn the_end_behind_unread_bytes_is_seen() {
    let up = Upstream::start(|_| Reply::NoAnswer);
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut client = b.connect();
    client.send(&book_request("6", "x"));
    wait_until("the attempt", || up.request_count() == 1);
    let sent = Instant::now();
    client.send(&"x".repeat(60_000)); // more than is read ahead, and not more than the kernel takes
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert!(client.read_answer().is_none(), "somebody was thought to wait");
    assert!(sent.elapsed() < Duration::from_secs(4), "{:?}: its time was up", sent.elapsed());
}

/// Guards against requests that stay in the socket, since what comes before them is answered at once.
#[test]
fn all_of_many_requests_behind_each_other_are_answered() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let padded = READY_REQUEST.replace("\r\n\r\n", &format!("\r\nX-Pad: {}\r\n\r\n", "p".repeat(8_000)));
    let mut client = b.connect();
    let mut sending = client.stream.try_clone().unwrap();
    // The kernel makes a socket's buffer larger once much has gone through it.
    for _ in 0..40 {
        client.send(&padded.repeat(10));
        (0..10).for_each(|_| assert_eq!(client.read_answer().unwrap().status(), 200));
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
        assert_eq!(client.read_answer().unwrap_or_else(|| panic!("no answer {n}")).status(), 200);
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
    let b = Balancer::start(&discovery, &[host_entry("s", address, 0, "SERVING")]);
    let mut client = b.connect();
    for _ in 0..40 {
        let request = look_request("1.2");
        let answer = client.request(&request);
        let id = String::from_utf8(answer.body.clone()).unwrap();
        assert!(
            answer.status() == 200 && request.contains(&format!("Req-Id: {id}\r\n")),
            "{answer:?} to {request}"
        );
    }
}

/// The settings with the second class unsafe to repeat.
fn unsafe_book(changes: &[(&str, &str)]) -> String {
    settings_with(changes).replace("\"Semantics\":\"keyed\"", "\"Semantics\":\"unsafe\"")
}

/// A request of the class that is unsafe to repeat: it comes without a key.
fn order() -> String {
    book_request("5", "x").replace("Idempotency-Key: 5c0f6e1a\r\n", "")
}

/// An upstream that answers so much of what it is asked, then resets the connection; how often it was asked.
fn resets(start_of_answer: &'static str) -> (SocketAddr, Arc<Mutex<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(Mutex::new(0));
    let asked = count.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            if Message::read(&mut std::io::BufReader::new(stream.try_clone().unwrap())).is_none() {
                continue;
            }
            *asked.lock().unwrap() += 1;
            stream.write_all(start_of_answer.as_bytes()).unwrap();
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    (address, count)
}

/// Guards against half an answer that passes for a whole one: without a length its end is the connection's, and a
/// reset is no end. What may not be repeated is not, and its client is told that nothing is promised.
#[test]
fn a_reset_is_no_end_of_an_answer_and_an_unsafe_request_goes_out_once() {
    for begun in ["", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nhalf"] {
        let (bad, asked) = resets(begun);
        let good = Upstream::start(|_| ok_reply("whole"));
        let discovery = Discovery::start();
        let hosts = [host_entry("b", bad, 0, "SERVING"), host_entry("g", good.address, 0, "SERVING")];
        let b = start_with_settings(&discovery, &hosts, &unsafe_book(&[]));
        let mut failed = 0;
        for _ in 0..12 {
            let (before, sent) = (good.request_count() + *asked.lock().unwrap(), order());
            let answer = b.request(&sent);
            assert!(answer.status() == 502 || answer.body == b"whole", "{answer:?}");
            failed += usize::from(answer.status() == 502);
            assert_eq!(good.request_count() + *asked.lock().unwrap(), before + 1, "sent once");
        }
        assert!(failed > 0, "the bad one was never met");
        // What is safe to repeat may be, within the budget; never is half of an answer passed on.
        let answers: Vec<_> = (0..6).map(|_| b.request(&look_request("1.2"))).collect();
        assert!(answers.iter().all(|a| a.status() == 503 || a.body == b"whole"), "{answers:?}");
        assert!(answers.iter().any(|a| a.status() == 200), "{answers:?}");
    }
}

/// Guards against a close of the upstream that crosses a request which may not be repeated: it does not go out on a
/// connection that has rested for half of its time.
#[test]
fn an_unsafe_request_takes_no_connection_that_is_near_its_end() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let s = unsafe_book(&[("\"IdleCloseUs\":60000000", "\"IdleCloseUs\":3000000")]);
    let b = start_with_settings(&discovery, &[host_entry("s", up.address, 0, "SERVING")], &s);
    let opened = || up.connections_opened.load(std::sync::atomic::Ordering::SeqCst);
    let rest = || thread::sleep(Duration::from_millis(1250)); // of the 2 s that a connection is kept
    assert_eq!(b.request(&order()).status(), 200);
    rest();
    assert_eq!(
        (b.request(&look_request("1.2")).status(), opened()),
        (200, 1),
        "one that may be repeated takes it"
    );
    rest();
    assert_eq!((b.request(&order()).status(), opened()), (200, 2));
}

/// Guards against bytes behind an answer that pass for the next one.
#[test]
fn what_follows_an_answer_is_nobodys() {
    let answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    let up = Upstream::start(move |_| Reply::Send(answer.into()));
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    for n in 1..4 {
        assert_eq!(b.request(&look_request("1.2")).body, b"x");
        assert_eq!(
            up.connections_opened.load(std::sync::atomic::Ordering::SeqCst),
            n,
            "each on its own connection"
        );
    }
}

/// Guards against two reports of one attempt, and two answers to one request: while the process stands still its answer
/// comes, its client leaves, and its time passes. It finds them all in one turn.
#[test]
fn an_answer_a_leave_and_a_deadline_in_one_turn_end_a_request_once() {
    let ((asked, was_asked), (go, may_go)) = (channel::<()>(), channel::<()>());
    let hold = Mutex::new((asked, may_go));
    let up = Upstream::start(move |m| {
        if m.start_line.contains("book") {
            let hold = hold.lock().unwrap();
            hold.0.send(()).unwrap();
            hold.1.recv_timeout(WAIT_TIMEOUT).unwrap();
        }
        ok_reply("x")
    });
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    for leaves in [true, false] {
        let mut client = b.connect();
        client.send(&book_request("0.5", "x"));
        let sent = Instant::now();
        was_asked.recv_timeout(WAIT_TIMEOUT).expect("the attempt");
        b.signal("STOP");
        go.send(()).unwrap();
        if leaves {
            client.stream.shutdown(Shutdown::Both).unwrap();
        }
        thread::sleep(Duration::from_millis(700).saturating_sub(sent.elapsed())); // past its time
        b.signal("CONT");
        if !leaves {
            assert!(matches!(client.read_answer().expect("an answer").status(), 200 | 502 | 503));
            // The next answer on the connection is the next request's.
            assert_eq!(client.request(READY_REQUEST).status(), 200);
            assert_eq!(&client.request(&look_request("1.2")).body[..], b"x");
        }
        assert_eq!(b.request(&look_request("1.2")).status(), 200);
    }
}

/// Guards against answers that never end, of a body or of interim answers: the client has its answer in time, and the
/// process is well.
#[test]
fn an_answer_without_end_ends_with_its_time() {
    for (head, more) in [("HTTP/1.1 200 OK\r\n\r\n", "x"), ("", "HTTP/1.1 102 Processing\r\n\r\n")] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let _ = Message::read(&mut std::io::BufReader::new(stream.try_clone().unwrap()));
                let _ = stream.write_all(head.as_bytes());
                while stream.write_all(more.as_bytes()).is_ok() {
                    thread::sleep(Duration::from_millis(5));
                }
            }
        });
        let discovery = Discovery::start();
        let b = Balancer::start(&discovery, &[host_entry("s", address, 0, "SERVING")]);
        let asked = Instant::now();
        assert!(matches!(b.request(&look_request("0.6")).status(), 502 | 503));
        assert!(asked.elapsed() < Duration::from_millis(1400), "{:?}", asked.elapsed());
        assert_eq!(b.request(READY_REQUEST).status(), 200);
    }
}
