//! Races that are rare in operation, forced: one side is stopped in a known state until the other event has
//! happened.

mod support;

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::late::{listen_with_short_queue, received_text, FullQueueUpstream, LONG_DIAL_WITHOUT_CANCEL};
use support::*;

/// Guards against useless work where the settings don't allow attempts to be cancelled: the client left while
/// the connection to the upstream was being established, and the request was still written when it was
/// established.
#[test]
fn a_request_waiting_for_its_connection_is_not_sent_once_its_client_has_left() {
    let up = FullQueueUpstream::start();
    let discovery = Discovery::start();
    let balancer = start_with_settings(
        &discovery,
        &[host_entry("s", up.address, 0, "SERVING")],
        &settings_with(&LONG_DIAL_WITHOUT_CANCEL),
    );
    let mut client = balancer.connect();
    client.send(&book_request("6", "x"));
    wait_until("an attempt that waits for its connection", || up.has_waiting_connection());
    drop(client);
    let left = Instant::now();
    wait_until("the end of that attempt", || !up.has_waiting_connection());
    assert!(left.elapsed() < Duration::from_secs(3), "{:?}: as late as its deadline", left.elapsed());
    assert_eq!(received_text(&up.accept_connections()), "");
}

/// Guards against a second effect of a keyed request (the `duplicate` of the short days): the repeat was
/// decided on inside the window of the key, and its connection was established after the window.
#[test]
fn a_repeat_whose_connection_is_established_after_the_key_window_is_not_written() {
    let late = FullQueueUpstream::start();
    // The first attempt may have run and ends without an answer; the repeat goes to the other upstream of the
    // cell.
    let first = Upstream::start(|_| Reply::SendAndClose(Vec::new()));
    let discovery = Discovery::start();
    let settings =
        settings_with(&LONG_DIAL_WITHOUT_CANCEL).replace("\"WindowUs\":10000000", "\"WindowUs\":300000");
    let hosts = [host_entry("f", first.address, 0, "SERVING"), host_entry("l", late.address, 0, "SERVING")];
    let balancer = start_with_settings(&discovery, &hosts, &settings);
    // Which upstream gets the first attempt is random. A request whose first attempt went to the late
    // upstream does not test the repeat and is given up.
    let mut waiting = None;
    for _ in 0..20 {
        let mut client = balancer.connect();
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
    thread::sleep(Duration::from_millis(400)); // the window of the key passes
    let received = received_text(&late.accept_connections());
    assert!(!received.contains("POST"), "{received}");
    assert_eq!(client.read_answer().expect("an answer").status(), 502, "the first attempt may have run");
}

/// Guards against a second effect of a keyed request whose repeat was decided on beside an answer that had
/// begun, and got its connection after the window.
#[test]
fn a_hedge_whose_connection_is_established_after_the_key_window_is_not_written() {
    let late = FullQueueUpstream::start();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let first = listener.local_addr().unwrap();
    let begun = Arc::new(AtomicUsize::new(0));
    let of_first = begun.clone();
    thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let _ = Message::read(&mut std::io::BufReader::new(stream.try_clone().unwrap()));
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx").unwrap();
            of_first.fetch_add(1, Ordering::SeqCst);
            open.push(stream);
        }
    });
    let discovery = Discovery::start();
    let settings = settings_with(&[
        ("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000"),
        ("\"WindowUs\":10000000", "\"WindowUs\":2600000"),
    ]);
    let hosts = [host_entry("f", first, 0, "SERVING"), host_entry("l", late.address, 0, "SERVING")];
    let balancer = start_with_settings(&discovery, &hosts, &settings);
    let mut waiting = None;
    for _ in 0..20 {
        let mut client = balancer.connect();
        let before = begun.load(Ordering::SeqCst);
        // By its cost an attempt is overdue after 2.2 s, so that a SYN is sent again before the hedge is.
        client.send(&book_request("6", "x").replace("Idempotency", "Req-Cost: 250000\r\nIdempotency"));
        wait_until("an attempt", || begun.load(Ordering::SeqCst) > before || late.has_waiting_connection());
        if begun.load(Ordering::SeqCst) > before && !late.has_waiting_connection() {
            wait_until("its hedge", || late.has_waiting_connection());
            waiting = Some(client);
            break;
        }
        drop(client);
        wait_until("no attempt", || !late.has_waiting_connection());
    }
    let mut client = waiting.expect("a hedge that waits for its connection");
    thread::sleep(Duration::from_millis(500)); // the window of the key passes
    let received = received_text(&late.accept_connections());
    assert!(!received.contains("POST"), "{received}");
    assert_eq!(client.read_answer().expect("an answer").status(), 502, "the first attempt may have run");
}

/// Checks that a request whose attempt waits for its connection is answered by another upstream, well before
/// its deadline and without a byte sent to the first one, once a list with `entries_of_late` and the other
/// upstream arrives. `before_list` runs before the list is written.
fn check_moves_to_another_upstream(
    before_list: impl Fn(&Balancer, &str),
    entries_of_late: impl Fn(SocketAddr) -> Vec<String>,
) {
    let late = FullQueueUpstream::start();
    let good = Upstream::start(|_| ok_reply("elsewhere"));
    let discovery = Discovery::start();
    let (address, hosts) = (free_address(), [host_entry("l", late.address, 0, "SERVING")]);
    let text = config_text(address, discovery.address, 1024, &hosts)
        .replace(SETTINGS, &settings_with(&LONG_DIAL_WITHOUT_CANCEL));
    let balancer = Balancer::start_with_config(address, &text, |_| {});
    let (_, mut watch) = discovery.next_watch();
    let mut client = balancer.connect();
    client.send(&book_request("6", "x"));
    wait_until("an attempt that waits for its connection", || late.has_waiting_connection());
    before_list(&balancer, &text);
    let list_written = Instant::now();
    let entries = [entries_of_late(late.address), vec![host_entry("g", good.address, 0, "SERVING")]].concat();
    watch.write_chunk(&(host_list(8, true, &entries) + "\n"));
    assert_eq!(&client.read_answer().expect("an answer").body[..], b"elsewhere");
    assert!(
        list_written.elapsed() < Duration::from_secs(3),
        "{:?}: as late as its deadline",
        list_written.elapsed()
    );
    assert!(!late.has_waiting_connection(), "the first attempt still waits for its connection");
    assert_eq!(received_text(&late.accept_connections()), "");
}

/// Guards against new work for a host that drains: the list that says so came while the connection to the
/// host was being established.
#[test]
fn a_request_waiting_for_its_connection_moves_to_another_upstream_once_its_host_drains() {
    check_moves_to_another_upstream(|_, _| {}, |late| vec![host_entry("l", late, 0, "DRAINING")]);
}

/// Guards against new work for a host that is left out of a whole list which came while the connection to it
/// was being established.
#[test]
fn a_request_waiting_for_its_connection_moves_to_another_upstream_once_its_host_is_left_out() {
    check_moves_to_another_upstream(|_, _| {}, |_| Vec::new());
}

/// Guards against new work for a draining host where new settings come into force before the list that says
/// so: lists that arrive later also have to reach requests that were accepted under the settings before.
#[test]
fn later_lists_reach_requests_accepted_before_new_settings() {
    let new_settings = |balancer: &Balancer, text: &str| {
        std::fs::write(&balancer.config, text.replace("\"Name\":\"look\"", "\"Name\":\"view\"")).unwrap();
        balancer.signal("HUP");
        let view = look_request("0.3").replace("/look/", "/view/");
        wait_until("the new settings", || balancer.request(&view).status() != 404);
    };
    check_moves_to_another_upstream(new_settings, |late| vec![host_entry("l", late, 0, "DRAINING")]);
}

/// Guards against a parser that needs each list on a line of its own, and against malformed text that causes
/// the valid lists before it on its line to be dropped.
#[test]
fn lists_are_read_whatever_their_layout() {
    let ups: Vec<_> = (0..3).map(|_| Upstream::start(|_| ok_reply("x"))).collect();
    let discovery = Discovery::start();
    let balancer = Balancer::start(&discovery, &[host_entry("old", ups[0].address, 0, "SERVING")]);
    let (_, mut watch) = discovery.next_watch();
    let served_by = |n: usize| {
        let before = ups[n].request_count();
        balancer.request(&look_request("1.2"));
        ups[n].request_count() > before
    };
    let indented = host_list(8, true, &[host_entry("new", ups[1].address, 0, "SERVING")])
        .replace('{', "{\n  ")
        .replace(',', ",\n  ");
    // The list is sent in two chunks, the first of which ends within a word.
    let (head, tail) = indented.split_at(20);
    watch.write_chunk(head);
    watch.write_chunk(&format!("{tail}\n\n"));
    wait_until("the indented list", || served_by(1));
    // Two lists and malformed text on one line: both lists are applied, and the watch is reopened from the
    // last of them.
    let next =
        host_list(9, false, &[]) + &host_list(10, true, &[host_entry("third", ups[2].address, 0, "SERVING")]);
    watch.write_chunk(&format!("{next} nonsense\n"));
    let (line, _watch) = discovery.next_watch();
    assert!(line.contains("index=10"), "{line}");
    wait_until("the last good list", || served_by(2));
}

/// Guards against a watch that is kept open by bytes that never complete a list. What it misses counts as
/// notified 6 s after the last complete line, so a new watch has to be open by then.
#[test]
fn bytes_without_a_complete_list_do_not_keep_a_watch_open() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let _balancer = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let (_, mut watch) = discovery.next_watch();
    watch.write_chunk("\n");
    let last_line = Instant::now();
    let trickle = Arc::new(Mutex::new(watch));
    let trickling_watch = trickle.clone();
    thread::spawn(move || {
        let text = host_list(8, true, &[]);
        for byte in text.chars() {
            trickling_watch.lock().unwrap().write_chunk_if_open(&byte.to_string());
            thread::sleep(Duration::from_millis(300));
        }
    });
    discovery.next_watch();
    assert!(last_line.elapsed() < Duration::from_secs(6), "{:?}", last_line.elapsed());
}

/// Guards against a call for lists that comes too late because the one before it failed: a watch stalls, the
/// connection of the next call is never established, and that of the call after it is, all within the 6 s
/// after which what was missed counts as notified.
#[test]
fn after_a_stalled_watch_there_is_time_for_a_call_that_fails() {
    let up = Upstream::start(|_| ok_reply("x"));
    let listener = listen_with_short_queue();
    let (address, discovery) = (free_address(), listener.local_addr().unwrap());
    let _balancer = Balancer::start_with_config(
        address,
        &config_text(address, discovery, 1024, &[host_entry("s", up.address, 0, "SERVING")]),
        |_| {},
    );
    let (mut watch, _) = listener.accept().unwrap();
    write!(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n").unwrap();
    let stalled = Instant::now();
    let late = FullQueueUpstream::fill_queue(listener);
    wait_until("a call whose connection is not established", || late.has_waiting_connection());
    wait_until("the end of that call", || !late.has_waiting_connection());
    let received = received_text(&late.accept_connections());
    assert!(received.starts_with("GET /v1/endpoints"), "{received}");
    // The stand-in passes the call on once nothing more has come for 0.3 s, hence 6.3 s.
    assert!(stalled.elapsed() < Duration::from_millis(6300), "{:?}", stalled.elapsed());
}

/// Guards against a process that never asks for a watch where the settings say that lists are pushed, and so
/// never gets a list.
#[test]
fn pushed_lists_are_watched_from_the_start() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let settings = settings_with(&[("on_request", "pushed")]);
    let _balancer = start_with_settings(&discovery, &[host_entry("s", up.address, 0, "SERVING")], &settings);
    let (_, watch) = discovery.next_watch();
    // The process opens another watch at once when this one ends.
    drop(watch);
    discovery.next_watch();
}

/// Guards against a client's close that goes unnoticed because it lies behind unread bytes: the client sent
/// much after its request and then closed.
#[test]
fn a_close_behind_unread_bytes_is_noticed() {
    let up = Upstream::start(|_| Reply::NoAnswer);
    let discovery = Discovery::start();
    let balancer = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let mut client = balancer.connect();
    client.send(&book_request("6", "x"));
    wait_until("the attempt", || up.request_count() == 1);
    let sent = Instant::now();
    client.send(&"x".repeat(60_000)); // more than is read ahead, and not more than the kernel takes
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert!(client.read_answer().is_none(), "an answer was sent though the client had closed");
    assert!(sent.elapsed() < Duration::from_secs(4), "{:?}: as late as the deadline", sent.elapsed());
}

/// Guards against pipelined requests that stay unread in the socket because the requests before them are
/// answered at once.
#[test]
fn all_of_many_pipelined_requests_are_answered() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let balancer = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let padded = READY_REQUEST.replace("\r\n\r\n", &format!("\r\nX-Pad: {}\r\n\r\n", "p".repeat(8_000)));
    let mut client = balancer.connect();
    let mut sending = client.stream.try_clone().unwrap();
    // The kernel enlarges the buffer of a socket once much has gone through it.
    for _ in 0..40 {
        client.send(&padded.repeat(10));
        (0..10).for_each(|_| assert_eq!(client.read_answer().unwrap().status(), 200));
    }
    balancer.signal("STOP");
    let all = padded.repeat(60);
    // The balancer is stopped, so that all of these bytes are in the socket when it reads again.
    sending.set_nonblocking(true).unwrap();
    let mut written = 0;
    while let Ok(n) = sending.write(&all.as_bytes()[written..]) {
        written += n;
        if written == all.len() {
            break;
        }
    }
    sending.set_nonblocking(false).unwrap();
    balancer.signal("CONT");
    let requests = written / padded.len();
    assert!(requests * padded.len() > 120_000, "only {requests} requests fit in the socket");
    for n in 0..requests {
        assert_eq!(client.read_answer().unwrap_or_else(|| panic!("no answer {n}")).status(), 200);
    }
}

/// Guards against a second answer that an upstream sends some milliseconds after the first: the next request
/// uses the connection by then and took the second answer for its own.
#[test]
fn a_late_second_answer_is_given_to_no_request() {
    const SECOND_AFTER: Duration = Duration::from_millis(8);
    // A stand-in that the machine held up for longer than this sent a second answer of no use to this test.
    const LATE_AFTER: Duration = Duration::from_millis(15);
    let held_up = Arc::new(Mutex::new(HashSet::new()));
    // A stand-in that answers each request with its id, and sends the same answer again.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let of_stand_in = held_up.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let held_up = of_stand_in.clone();
            thread::spawn(move || {
                let mut stream = stream.unwrap();
                let mut input = std::io::BufReader::new(stream.try_clone().unwrap());
                let mut is_held_up = false;
                while let Some(m) = Message::read(&mut input) {
                    let id = m.header("req-id").unwrap();
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
                    let first = Instant::now();
                    let _ = stream.write_all(answer.as_bytes());
                    thread::sleep(SECOND_AFTER);
                    let _ = stream.write_all(answer.as_bytes());
                    // From then on each answer on this connection may come after its request was given another.
                    is_held_up |= first.elapsed() > LATE_AFTER;
                    if is_held_up {
                        held_up.lock().unwrap().insert(id.to_string());
                    }
                }
            });
        }
    });
    let discovery = Discovery::start();
    let balancer = Balancer::start(&discovery, &[host_entry("s", address, 0, "SERVING")]);
    let mut client = balancer.connect();
    let mut sent = 0;
    while sent < 40 + held_up.lock().unwrap().len() {
        assert!(sent < 1_000, "nearly all second answers were held up");
        sent += 1;
        let request = look_request("1.2");
        let answer = client.request(&request);
        let id = String::from_utf8(answer.body.clone()).unwrap();
        assert_eq!(answer.status(), 200, "{answer:?} to {request}");
        if !request.contains(&format!("Req-Id: {id}\r\n")) {
            thread::sleep(SECOND_AFTER * 10); // the stand-in notes it after its write
            assert!(held_up.lock().unwrap().contains(&id), "{answer:?} to {request}");
        }
    }
}

/// The settings with the second class unsafe to repeat.
fn settings_with_unsafe_book(changes: &[(&str, &str)]) -> String {
    settings_with(changes).replace("\"Semantics\":\"keyed\"", "\"Semantics\":\"unsafe\"")
}

/// A request of the class that is unsafe to repeat, which has no idempotency key.
fn unsafe_request() -> String {
    book_request("5", "x").replace("Idempotency-Key: 5c0f6e1a\r\n", "")
}

/// Starts an upstream that answers each request with this text and then resets the connection; returns its
/// address and the number of its requests.
fn start_resetting_upstream(start_of_answer: &'static str) -> (SocketAddr, Arc<Mutex<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(Mutex::new(0));
    let counted = count.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            if Message::read(&mut std::io::BufReader::new(stream.try_clone().unwrap())).is_none() {
                continue;
            }
            *counted.lock().unwrap() += 1;
            stream.write_all(start_of_answer.as_bytes()).unwrap();
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    (address, count)
}

/// Guards against half an answer that passes for a complete one: an answer without a length ends with its
/// connection, and a reset is no regular end. An unsafe request is not repeated, and its client gets a 502,
/// which promises nothing.
#[test]
fn a_reset_does_not_complete_an_answer_and_an_unsafe_request_is_sent_once() {
    for begun in ["", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nhalf"] {
        let (bad, asked) = start_resetting_upstream(begun);
        let good = Upstream::start(|_| ok_reply("whole"));
        let discovery = Discovery::start();
        let hosts = [host_entry("b", bad, 0, "SERVING"), host_entry("g", good.address, 0, "SERVING")];
        let balancer = start_with_settings(&discovery, &hosts, &settings_with_unsafe_book(&[]));
        let mut failed = 0;
        for _ in 0..12 {
            let (before, sent) = (good.request_count() + *asked.lock().unwrap(), unsafe_request());
            let answer = balancer.request(&sent);
            assert!(answer.status() == 502 || answer.body == b"whole", "{answer:?}");
            failed += usize::from(answer.status() == 502);
            assert_eq!(good.request_count() + *asked.lock().unwrap(), before + 1, "sent once");
        }
        assert!(failed > 0, "no request was sent to the upstream that resets");
        // A request that is safe to repeat may be repeated within the budget; half of an answer is never
        // passed on.
        let answers: Vec<_> = (0..6).map(|_| balancer.request(&look_request("1.2"))).collect();
        assert!(answers.iter().all(|a| a.status() == 503 || a.body == b"whole"), "{answers:?}");
        assert!(answers.iter().any(|a| a.status() == 200), "{answers:?}");
    }
}

/// Guards against an unsafe request that crosses the upstream's close of an idle connection: such a request
/// is not sent on a connection that has been idle for half of its keep-alive time.
#[test]
fn an_unsafe_request_uses_no_connection_that_has_been_idle_for_long() {
    let up = Upstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let settings = settings_with_unsafe_book(&[("\"IdleCloseUs\":60000000", "\"IdleCloseUs\":3000000")]);
    let balancer = start_with_settings(&discovery, &[host_entry("s", up.address, 0, "SERVING")], &settings);
    let opened = || up.connections_opened.load(std::sync::atomic::Ordering::SeqCst);
    // An idle connection is kept for 2 s.
    let stay_idle = || thread::sleep(Duration::from_millis(1250));
    assert_eq!(balancer.request(&unsafe_request()).status(), 200);
    stay_idle();
    assert_eq!(
        (balancer.request(&look_request("1.2")).status(), opened()),
        (200, 1),
        "a request that may be repeated reuses the connection"
    );
    stay_idle();
    assert_eq!((balancer.request(&unsafe_request()).status(), opened()), (200, 2));
}

/// Guards against bytes after an answer that are taken for the answer to the next request.
#[test]
fn bytes_after_an_answer_are_given_to_no_request() {
    let answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
    let up = Upstream::start(move |_| Reply::Send(answer.into()));
    let discovery = Discovery::start();
    let balancer = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    for n in 1..4 {
        assert_eq!(balancer.request(&look_request("1.2")).body, b"x");
        assert_eq!(
            up.connections_opened.load(std::sync::atomic::Ordering::SeqCst),
            n,
            "each request on its own connection"
        );
    }
}

/// Guards against two reports of one attempt and two answers to one request: while the process is stopped,
/// the answer of the upstream arrives, the client closes or not, and the deadline passes. The process handles
/// all of it in one turn of its event loop.
#[test]
fn an_answer_a_close_and_a_deadline_in_one_turn_end_a_request_once() {
    let ((attempt, attempted), (release, released)) = (channel::<()>(), channel::<()>());
    let signals = Mutex::new((attempt, released));
    let up = Upstream::start(move |m| {
        if m.start_line.contains("book") {
            let signals = signals.lock().unwrap();
            signals.0.send(()).unwrap();
            signals.1.recv_timeout(WAIT_TIMEOUT).unwrap();
        }
        ok_reply("x")
    });
    let discovery = Discovery::start();
    let balancer = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    for client_closes in [true, false] {
        let mut client = balancer.connect();
        client.send(&book_request("0.5", "x"));
        let sent = Instant::now();
        attempted.recv_timeout(WAIT_TIMEOUT).expect("the attempt");
        balancer.signal("STOP");
        release.send(()).unwrap();
        if client_closes {
            client.stream.shutdown(Shutdown::Both).unwrap();
        }
        thread::sleep(Duration::from_millis(700).saturating_sub(sent.elapsed())); // past the deadline
        balancer.signal("CONT");
        if !client_closes {
            assert!(matches!(client.read_answer().expect("an answer").status(), 200 | 502 | 503));
            // The next answer on the connection belongs to the next request.
            assert_eq!(client.request(READY_REQUEST).status(), 200);
            assert_eq!(&client.request(&look_request("1.2")).body[..], b"x");
        }
        assert_eq!(balancer.request(&look_request("1.2")).status(), 200);
    }
}

/// An upstream whose answers never end; counts the connections that it could not go on writing to.
fn start_endless_upstream(head: &'static str, more: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ended = Arc::new(AtomicUsize::new(0));
    let counter = ended.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, counter) = (stream.unwrap(), counter.clone());
            thread::spawn(move || {
                let _ = Message::read(&mut std::io::BufReader::new(stream.try_clone().unwrap()));
                let _ = stream.write_all(head.as_bytes());
                while stream.write_all(more.as_bytes()).is_ok() {
                    thread::sleep(Duration::from_millis(5));
                }
                counter.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    (address, ended)
}

/// Guards against endless interim answers: the client still gets an answer at its deadline, and the process
/// goes on.
#[test]
fn an_endless_head_is_cut_at_the_deadline() {
    let (address, _) = start_endless_upstream("", "HTTP/1.1 102 Processing\r\n\r\n");
    let discovery = Discovery::start();
    let balancer = Balancer::start(&discovery, &[host_entry("s", address, 0, "SERVING")]);
    let sent = Instant::now();
    assert!(matches!(balancer.request(&look_request("0.6")).status(), 502 | 503));
    assert!(sent.elapsed() < Duration::from_millis(1400), "{:?}", sent.elapsed());
    assert_eq!(balancer.request(READY_REQUEST).status(), 200);
}

/// Guards against an endless body that is taken for a whole one, or that outlasts its client.
#[test]
fn an_endless_body_begins_by_the_deadline_never_looks_whole_and_ends_with_its_client() {
    let (address, ended) = start_endless_upstream("HTTP/1.1 200 OK\r\n\r\n", "x");
    let discovery = Discovery::start();
    let balancer = Balancer::start(&discovery, &[host_entry("s", address, 0, "SERVING")]);
    let sent = Instant::now();
    let mut client = balancer.connect();
    client.send(&look_request("0.6"));
    let head = client.read_head().expect("an answer");
    // Half a second after its time an answer would be lost.
    assert!(sent.elapsed() < Duration::from_millis(600 + 500), "{:?}", sent.elapsed());
    assert_eq!((head.status(), head.header("transfer-encoding")), (200, Some("chunked")));
    let (mut body, mut piece) = (Vec::new(), [0; 1_000]);
    while sent.elapsed() < Duration::from_millis(1400) {
        let count = client.stream.read(&mut piece).unwrap();
        assert!(count > 0, "it is not cut off while its upstream writes it");
        body.extend_from_slice(&piece[..count]);
    }
    assert!(!body.windows(5).any(|w| w == b"0\r\n\r\n"), "it looks whole");
    let ended_before = ended.load(Ordering::SeqCst);
    drop(client);
    wait_until("the end of the upstream's connection", || ended.load(Ordering::SeqCst) > ended_before);
    assert_eq!(balancer.request(READY_REQUEST).status(), 200);
}
