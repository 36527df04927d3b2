//! Clients that close their connection: no attempt, first or further, begins more than 0.1 s later, whichever way they
//! leave and wherever their request is just then.

mod support;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::late::{is_connecting_to, received_text, FullQueueUpstream, LONG_DIAL_WITHOUT_CANCEL};
use support::*;

/// The latest that an attempt may begin after its client has closed.
const LATEST: Duration = Duration::from_millis(100);

/// Longer than that, with the time that a busy machine takes.
const WELL_PAST: Duration = Duration::from_millis(150);

/// Attempts are not called off.
const KEPT: (&str, &str) = ("\"MayCancel\":true", "\"MayCancel\":false");

/// The ways in which a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Leave {
    Close,
    HalfClose,
    Reset,
    /// It closes behind bytes that are not read: the beginning of a next request.
    BehindBytes,
    /// It closes behind whole requests.
    BehindRequests,
}

const ALL: [Leave; 5] =
    [Leave::Close, Leave::HalfClose, Leave::Reset, Leave::BehindBytes, Leave::BehindRequests];

impl Leave {
    /// Leaves; the stream is still there where only its sending has ended.
    fn leave(self, client: Client) -> Option<Client> {
        let mut stream = &client.stream;
        match self {
            Leave::Close => {}
            Leave::HalfClose => {
                stream.shutdown(Shutdown::Write).unwrap();
                return Some(client);
            }
            Leave::Reset => {
                socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            // More than is read ahead, and not more than the kernel takes.
            Leave::BehindBytes => stream.write_all("x".repeat(60_000).as_bytes()).unwrap(),
            Leave::BehindRequests => {
                (0..100).for_each(|_| stream.write_all(look_request("1.2").as_bytes()).unwrap())
            }
        }
        None
    }
}

/// When the first byte of each attempt came, by the id of its request.
type Begun = Arc<Mutex<Vec<(String, Instant)>>>;

/// An upstream that notes when attempts begin. Without an answer it goes on to the end of the connection.
struct Witness {
    address: SocketAddr,
    begun: Begun,
}

impl Witness {
    fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Witness {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let witness = Witness { address: listener.local_addr().unwrap(), begun: Begun::default() };
        let (begun, reply) = (witness.begun.clone(), Arc::new(reply));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (begun, reply) = (begun.clone(), reply.clone());
                thread::spawn(move || note(stream.unwrap(), &begun, &*reply));
            }
        });
        witness
    }

    fn count(&self) -> usize {
        self.begun.lock().unwrap().len()
    }

    /// How many attempts came of a request.
    fn attempts(&self, request: &str) -> usize {
        let id = id_of(request);
        self.begun.lock().unwrap().iter().filter(|(of, _)| *of == id).count()
    }
}

fn note(mut stream: TcpStream, begun: &Begun, reply: &impl Fn(&Message) -> Reply) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while input.fill_buf().is_ok_and(|b| !b.is_empty()) {
        let at = Instant::now();
        let Some(message) = Message::read(&mut input) else { return };
        begun.lock().unwrap().push((message.header("req-id").unwrap().to_string(), at));
        match reply(&message) {
            Reply::Send(b) if stream.write_all(&b).is_ok() => {}
            Reply::NoAnswer => {}
            Reply::Send(_) => return,
            Reply::SendAndClose(b) => {
                let _ = stream.write_all(&b);
                return;
            }
        }
    }
}

/// The id of a request.
fn id_of(request: &str) -> String {
    let line = request.lines().find_map(|l| l.strip_prefix("Req-Id: "));
    line.expect("a request with an id").to_string()
}

/// Sends requests of clients that will leave, in each way, and one of a client that stays.
fn send_all(b: &Balancer, request: impl Fn() -> String) -> (Vec<(Leave, Client, String)>, Client) {
    let send = || {
        let (mut client, request) = (b.connect(), request());
        client.send(&request);
        (client, request)
    };
    let leaving = ALL.iter().map(|&way| {
        let (client, request) = send();
        (way, client, request)
    });
    (leaving.collect(), send().0)
}

/// Has them all leave, and waits until it is well known; their requests, and the streams that are still there.
fn leave_all(leaving: Vec<(Leave, Client, String)>) -> (Vec<(Leave, String)>, Vec<Client>) {
    let (mut left, mut open) = (Vec::new(), Vec::new());
    for (way, client, request) in leaving {
        open.extend(way.leave(client));
        left.push((way, request));
    }
    thread::sleep(WELL_PAST);
    (left, open)
}

/// Guards against first attempts for nobody: the requests wait in the module, as no upstream is known.
#[test]
fn what_is_held_is_not_begun_once_its_client_has_left() {
    let up = Witness::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let address = free_address();
    let text = config_text(address, discovery.address, 1024, &[]);
    let b = Balancer { address, child: program_command(&text).spawn().unwrap(), config: String::new() };
    wait_until("the listener", || Client::connect(address).is_some());
    let (_, mut watch) = discovery.next_watch();
    let (leaving, mut stays) = send_all(&b, || book_request("6", "x"));
    thread::sleep(LATEST);
    let (left, _open) = leave_all(leaving);
    watch.write_chunk(&(host_list(8, true, &[host_entry("s", up.address, 0, "SERVING")]) + "\n"));
    assert_eq!(stays.read_answer().expect("an answer").status(), 200, "whoever stays is served");
    thread::sleep(WELL_PAST);
    let begun: Vec<_> = left.iter().filter(|(_, r)| up.attempts(r) > 0).map(|(way, _)| way).collect();
    assert!(begun.is_empty() && up.count() == 1, "{begun:?}: {} attempts", up.count());
}

/// First attempts that fail once their clients have left: no further one begins. With `before_leaving`, something
/// happens while the first ones are out.
fn no_further_attempt(change: &[(&str, &str)], before_leaving: impl Fn(&Balancer)) {
    let failing = Arc::new(Mutex::new(()));
    let held = failing.lock().unwrap();
    let hand = failing.clone();
    // Every attempt waits until it may fail, and may be made again.
    let up = Witness::start(move |_| {
        drop(hand.lock());
        error_reply(503, "Srv-Declined: 1\r\n")
    });
    let discovery = Discovery::start();
    let hosts = [host_entry("s", up.address, 0, "SERVING"), host_entry("t", up.address, 0, "SERVING")];
    let b = start_with_settings(&discovery, &hosts, &settings_with(change));
    let (leaving, _stays) = send_all(&b, || book_request("6", "x"));
    wait_until("the first attempts", || up.count() > ALL.len());
    before_leaving(&b);
    let (left, _open) = leave_all(leaving);
    let before: HashMap<_, _> = left.iter().map(|(way, r)| (*way, up.attempts(r))).collect();
    let count = up.count();
    drop(held);
    wait_until("a further attempt for the one that stays", || up.count() > count);
    thread::sleep(WELL_PAST);
    for (way, request) in &left {
        assert_eq!(up.attempts(request), before[way], "{way:?}: begun for a client that had left");
    }
}

/// Guards against a retry for nobody, where attempts may not be called off.
#[test]
fn a_failed_attempt_is_not_repeated_once_its_client_has_left() {
    no_further_attempt(&[KEPT], |_| {});
}

/// The same while the process ends.
#[test]
fn at_the_end_a_failed_attempt_is_not_repeated_once_its_client_has_left() {
    no_further_attempt(&[KEPT], |b| {
        b.signal("TERM");
        thread::sleep(WELL_PAST);
    });
}

/// Requests that are served before upstreams hang.
const WARM_UP: usize = 60;

/// Guards against second attempts for nobody: the first ones hang, and where a client stays its one is called off and
/// made again elsewhere.
#[test]
fn a_hanging_attempt_is_not_made_again_once_its_client_has_left() {
    let hangs = Arc::new(AtomicBool::new(false));
    let hanging = hangs.clone();
    let up =
        Witness::start(move |_| if hanging.load(Ordering::SeqCst) { Reply::NoAnswer } else { ok_reply("x") });
    let discovery = Discovery::start();
    let hosts: Vec<_> = (0..4).map(|n| host_entry(&format!("s{n}"), up.address, 0, "SERVING")).collect();
    let b = start_with_settings(&discovery, &hosts, SETTINGS);
    // How long answers take is known from these.
    let mut client = b.connect();
    (0..WARM_UP).for_each(|_| assert_eq!(client.request(&look_request("1.4")).status(), 200));
    hangs.store(true, Ordering::SeqCst);
    let warm = up.count();
    let (leaving, mut stays) = send_all(&b, || look_request("1.4"));
    wait_until("the first attempts", || up.count() > warm + ALL.len());
    let (left, _open) = leave_all(leaving);
    let before: HashMap<_, _> = left.iter().map(|(way, r)| (*way, up.attempts(r))).collect();
    let count = up.count();
    stays.read_answer();
    assert!(up.count() > count, "the one that stays got no second attempt");
    for (way, request) in &left {
        assert_eq!(up.attempts(request), before[way], "{way:?}: begun for a client that had left");
    }
}

/// Guards against requests that wait behind another one, and are begun when that one ends.
#[test]
fn what_waits_behind_a_request_is_not_begun_once_its_client_has_left() {
    for way in ALL {
        let go = Arc::new(Mutex::new(()));
        let held = go.lock().unwrap();
        let hand = go.clone();
        let up = Witness::start(move |_| {
            drop(hand.lock());
            ok_reply("x")
        });
        let discovery = Discovery::start();
        let b = start_with_settings(
            &discovery,
            &[host_entry("s", up.address, 0, "SERVING")],
            &settings_with(&[KEPT]),
        );
        let mut client = b.connect();
        client.send(&(0..20).map(|_| book_request("6", "x")).collect::<String>());
        wait_until("the first one", || up.count() == 1);
        let _open = way.leave(client);
        thread::sleep(WELL_PAST);
        drop(held);
        thread::sleep(WELL_PAST);
        assert_eq!(up.count(), 1, "{way:?}: begun for a client that had left");
        assert_eq!(b.request(READY_REQUEST).status(), 200);
    }
}

/// Guards against a close that lies behind other events of one long turn: the connection that an attempt waits for has
/// come up before it, while the process had no processor time.
#[test]
fn a_close_that_is_found_in_the_turn_of_the_connection_comes_first() {
    for way in ALL {
        let late = FullQueueUpstream::start();
        let address = late.address;
        let discovery = Discovery::start();
        let b = start_with_settings(
            &discovery,
            &[host_entry("s", address, 0, "SERVING")],
            &settings_with(&LONG_DIAL_WITHOUT_CANCEL),
        );
        let mut client = b.connect();
        client.send(&book_request("6", "x"));
        wait_until("an attempt that waits for its connection", || late.has_waiting_connection());
        b.signal("STOP");
        let came = late.accept_connections();
        wait_until("its connection", || !is_connecting_to(address));
        let _open = way.leave(client);
        thread::sleep(WELL_PAST);
        b.signal("CONT");
        assert_eq!(received_text(&came), "", "{way:?}");
    }
}

/// The same where the close comes before the connection.
#[test]
fn a_connection_that_comes_up_after_the_close_is_not_written_to() {
    for way in ALL {
        let late = FullQueueUpstream::start();
        let discovery = Discovery::start();
        let b = start_with_settings(
            &discovery,
            &[host_entry("s", late.address, 0, "SERVING")],
            &settings_with(&LONG_DIAL_WITHOUT_CANCEL),
        );
        let mut client = b.connect();
        client.send(&book_request("6", "x"));
        wait_until("an attempt that waits for its connection", || late.has_waiting_connection());
        let _open = way.leave(client);
        wait_until("the attempt given up", || !late.has_waiting_connection());
        assert_eq!(received_text(&late.accept_connections()), "", "{way:?}");
    }
}

/// What the clients below send behind their request: as much as the kernel takes at once, and some times that.
const MUCH: [usize; 3] = [100_000, 250_000, 500_000];

/// Guards against a close that the kernel can't tell, as it lies behind more bytes than a socket holds: those are read
/// on while a request waits.
#[test]
fn a_close_behind_many_bytes_is_seen() {
    for much in MUCH {
        let go = Arc::new(Mutex::new(()));
        let held = go.lock().unwrap();
        let hand = go.clone();
        let up = Witness::start(move |_| {
            drop(hand.lock());
            error_reply(503, "Srv-Declined: 1\r\n")
        });
        let discovery = Discovery::start();
        let hosts = [host_entry("s", up.address, 0, "SERVING"), host_entry("t", up.address, 0, "SERVING")];
        let b = start_with_settings(&discovery, &hosts, &settings_with(&[KEPT]));
        let mut client = b.connect();
        client.send(&book_request("6", "x"));
        wait_until("the first attempt", || up.count() == 1);
        // Its kernel holds what the balancer's does not take.
        socket2::SockRef::from(&client.stream).set_send_buffer_size(2 * much).unwrap();
        client.send(&"x".repeat(much));
        drop(client);
        thread::sleep(WELL_PAST);
        drop(held);
        thread::sleep(2 * WELL_PAST);
        assert_eq!(up.count(), 1, "begun for a client that had left behind {much} bytes");
    }
}

/// Guards against bytes that are read ahead and then lost, or taken in another order: the client stays.
#[test]
fn what_is_read_ahead_is_answered_in_its_order() {
    const REQUESTS: usize = 100;
    let hold = Arc::new(Mutex::new(()));
    let held = hold.lock().unwrap();
    let hand = hold.clone();
    // Each answer is the id of its request.
    let up = Witness::start(move |m| {
        drop(hand.lock());
        ok_reply(m.header("req-id").unwrap())
    });
    let discovery = Discovery::start();
    let b = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let pad = format!("\r\nX-Pad: {}\r\n\r\n", "p".repeat(8_000));
    let requests: Vec<_> = (0..REQUESTS).map(|_| book_request("6", "").replace("\r\n\r\n", &pad)).collect();
    let mut client = b.connect();
    let mut sending = client.stream.try_clone().unwrap();
    let all = requests.concat();
    let sent = thread::spawn(move || sending.write_all(all.as_bytes()));
    wait_until("the first attempt", || up.count() == 1);
    thread::sleep(WELL_PAST); // much is read ahead meanwhile
    drop(held);
    for request in &requests {
        let answer = client.read_answer().expect("an answer");
        assert_eq!((answer.status(), answer.body), (200, id_of(request).into_bytes()));
    }
    sent.join().unwrap().expect("all was taken");
}

/// Clients of the measured run, and how many requests each of them sends.
const CLIENTS: usize = 24;
const REQUESTS: usize = 40;

/// Measures how long after a close attempts begin, over some thousand requests whose clients leave at any time, while
/// upstreams serve, fail, turn away, reset and hang.
#[test]
fn no_attempt_begins_long_after_a_close() {
    let ups: Vec<_> = (0..4).map(|n| Witness::start(move |m| mixed(n, m))).collect();
    let discovery = Discovery::start();
    let hosts: Vec<_> =
        ups.iter().enumerate().map(|(n, u)| host_entry(&format!("s{n}"), u.address, 0, "SERVING")).collect();
    let b = start_with_settings(&discovery, &hosts, &settings_with(&[KEPT]));
    let closed: Mutex<HashMap<String, Instant>> = Mutex::default();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (b, closed) = (&b, &closed);
            scope.spawn(move || {
                let mut rng = fastrand::Rng::with_seed(client as u64);
                for _ in 0..REQUESTS {
                    let (mut client, request) = (b.connect(), look_request("1.4"));
                    client.send(&request);
                    thread::sleep(Duration::from_micros(rng.u64(0..60_000)));
                    let at = Instant::now();
                    drop(client);
                    closed.lock().unwrap().insert(id_of(&request), at);
                }
            });
        }
    });
    thread::sleep(Duration::from_millis(1500)); // the last ones' time
    let closed = closed.into_inner().unwrap();
    let (mut attempts, mut after, mut latest) = (0, 0, Duration::ZERO);
    for (id, at) in ups.iter().flat_map(|u| u.begun.lock().unwrap().clone()) {
        attempts += 1;
        let late = at.saturating_duration_since(closed[&id]);
        after += usize::from(late > Duration::ZERO);
        latest = latest.max(late);
    }
    println!("{attempts} attempts, {after} begun after the close, the latest {latest:?} after it");
    assert!(attempts > CLIENTS * REQUESTS / 4, "{attempts} attempts");
    assert!(latest <= LATEST, "{latest:?} after the close, {after} of {attempts} began after one");
}

/// What upstream `n` of the measured run does: it fails in its own way, after some time.
fn mixed(n: usize, m: &Message) -> Reply {
    let draw = m.header("req-id").unwrap().bytes().map(usize::from).sum::<usize>();
    thread::sleep(Duration::from_millis((draw * 7 + n * 13) as u64 % 40));
    match (n + draw) % 4 {
        0 => error_reply(503, "Srv-Declined: 1\r\n"),
        1 => error_reply(500, ""),
        2 => Reply::SendAndClose(Vec::new()),
        _ => ok_reply("x"),
    }
}
