//! Clients that close their connection before they have an answer: no attempt, first or further, begins more
//! than 0.1 s later, in whichever way the client leaves and whatever state its request is in.

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

/// How long after the client has closed an attempt may begin at the latest.
const MAX_START_DELAY: Duration = Duration::from_millis(100);

/// Longer than [`MAX_START_DELAY`] by the time that a busy machine may need.
const SETTLE_TIME: Duration = Duration::from_millis(150);

/// Change of the settings with which attempts are not cancelled.
const WITHOUT_CANCEL: (&str, &str) = ("\"MayCancel\":true", "\"MayCancel\":false");

/// The way in which a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LeaveWay {
    /// The client closes its connection.
    Close,
    /// The client closes only its sending side.
    HalfClose,
    /// The client resets its connection.
    Reset,
    /// The client sends the beginning of a next request, which is not read, and closes.
    CloseBehindBytes,
    /// The client sends complete further requests and closes.
    CloseBehindRequests,
}

const ALL_WAYS: [LeaveWay; 5] = [
    LeaveWay::Close,
    LeaveWay::HalfClose,
    LeaveWay::Reset,
    LeaveWay::CloseBehindBytes,
    LeaveWay::CloseBehindRequests,
];

impl LeaveWay {
    /// Has the client leave; returns the client where only its sending side is closed, so that the rest stays
    /// open.
    fn leave(self, client: Client) -> Option<Client> {
        let mut stream = &client.stream;
        match self {
            LeaveWay::Close => {}
            LeaveWay::HalfClose => {
                stream.shutdown(Shutdown::Write).unwrap();
                return Some(client);
            }
            LeaveWay::Reset => {
                socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            // More bytes than the balancer reads ahead, and no more than the kernel buffers.
            LeaveWay::CloseBehindBytes => stream.write_all("x".repeat(60_000).as_bytes()).unwrap(),
            LeaveWay::CloseBehindRequests => {
                (0..100).for_each(|_| stream.write_all(look_request("1.2").as_bytes()).unwrap())
            }
        }
        None
    }
}

/// The id of the request of each attempt, and when the first byte of the attempt arrived.
type AttemptStarts = Arc<Mutex<Vec<(String, Instant)>>>;

/// An upstream that records when attempts begin. Where it gives no answer, it keeps reading until the
/// connection ends.
struct RecordingUpstream {
    address: SocketAddr,
    starts: AttemptStarts,
}

impl RecordingUpstream {
    fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> RecordingUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let upstream =
            RecordingUpstream { address: listener.local_addr().unwrap(), starts: AttemptStarts::default() };
        let (starts, reply) = (upstream.starts.clone(), Arc::new(reply));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (starts, reply) = (starts.clone(), reply.clone());
                thread::spawn(move || record_attempts(stream.unwrap(), &starts, &*reply));
            }
        });
        upstream
    }

    /// The number of attempts that have begun.
    fn attempt_count(&self) -> usize {
        self.starts.lock().unwrap().len()
    }

    /// The number of attempts of one request that have begun.
    fn attempts_of(&self, request: &str) -> usize {
        let id = id_of(request);
        self.starts.lock().unwrap().iter().filter(|(started, _)| *started == id).count()
    }
}

/// Reads the requests of one connection, records when each began, and answers them.
fn record_attempts(mut stream: TcpStream, starts: &AttemptStarts, reply: &impl Fn(&Message) -> Reply) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    while input.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
        let at = Instant::now();
        let Some(message) = Message::read(&mut input) else { return };
        starts.lock().unwrap().push((message.header("req-id").unwrap().to_string(), at));
        match reply(&message) {
            Reply::Send(bytes) if stream.write_all(&bytes).is_ok() => {}
            Reply::NoAnswer => {}
            Reply::Send(_) => return,
            Reply::SendAndClose(bytes) => {
                let _ = stream.write_all(&bytes);
                return;
            }
        }
    }
}

/// The id in the text of a request.
fn id_of(request: &str) -> String {
    let line = request.lines().find_map(|l| l.strip_prefix("Req-Id: "));
    line.expect("a request with an id").to_string()
}

/// Sends one request of a client for each way to leave, and one of a client that stays.
fn send_for_all_ways(
    balancer: &Balancer,
    request: impl Fn() -> String,
) -> (Vec<(LeaveWay, Client, String)>, Client) {
    let send = || {
        let (mut client, request) = (balancer.connect(), request());
        client.send(&request);
        (client, request)
    };
    let leaving = ALL_WAYS.iter().map(|&way| {
        let (client, request) = send();
        (way, client, request)
    });
    (leaving.collect(), send().0)
}

/// Has all these clients leave and waits until the balancer has to know it; returns their requests, and the
/// clients that have closed only their sending side.
fn leave_all(leaving: Vec<(LeaveWay, Client, String)>) -> (Vec<(LeaveWay, String)>, Vec<Client>) {
    let (mut left, mut open) = (Vec::new(), Vec::new());
    for (way, client, request) in leaving {
        open.extend(way.leave(client));
        left.push((way, request));
    }
    thread::sleep(SETTLE_TIME);
    (left, open)
}

/// Guards against first attempts for clients that have left: the requests are queued in the decision module,
/// as no upstream is known.
#[test]
fn a_queued_request_is_not_attempted_once_its_client_has_left() {
    let up = RecordingUpstream::start(|_| ok_reply("x"));
    let discovery = Discovery::start();
    let address = free_address();
    let text = config_text(address, discovery.address, 1024, &[]);
    let balancer =
        Balancer { address, child: program_command(&text).spawn().unwrap(), config: String::new() };
    wait_until("the listener", || Client::connect(address).is_some());
    let (_, mut watch) = discovery.next_watch();
    let (leaving, mut stays) = send_for_all_ways(&balancer, || book_request("6", "x"));
    thread::sleep(MAX_START_DELAY);
    let (left, _open) = leave_all(leaving);
    watch.write_chunk(&(host_list(8, true, &[host_entry("s", up.address, 0, "SERVING")]) + "\n"));
    assert_eq!(stays.read_answer().expect("an answer").status(), 200, "the client that stays is served");
    thread::sleep(SETTLE_TIME);
    let attempted: Vec<_> = left.iter().filter(|(_, r)| up.attempts_of(r) > 0).map(|(way, _)| way).collect();
    assert!(
        attempted.is_empty() && up.attempt_count() == 1,
        "{attempted:?}: {} attempts",
        up.attempt_count()
    );
}

/// Checks that no further attempt begins where the first attempts fail after their clients have left.
/// `before_leaving` runs while the first attempts are under way.
fn check_no_further_attempt(changes: &[(&str, &str)], before_leaving: impl Fn(&Balancer)) {
    let gate = Arc::new(Mutex::new(()));
    let closed_gate = gate.lock().unwrap();
    let gate_of_upstream = gate.clone();
    // Every attempt waits until the gate opens, and then fails in a way that allows another attempt.
    let up = RecordingUpstream::start(move |_| {
        drop(gate_of_upstream.lock());
        error_reply(503, "Srv-Declined: 1\r\n")
    });
    let discovery = Discovery::start();
    let hosts = [host_entry("s", up.address, 0, "SERVING"), host_entry("t", up.address, 0, "SERVING")];
    let balancer = start_with_settings(&discovery, &hosts, &settings_with(changes));
    let (leaving, _stays) = send_for_all_ways(&balancer, || book_request("6", "x"));
    wait_until("the first attempts", || up.attempt_count() > ALL_WAYS.len());
    before_leaving(&balancer);
    let (left, _open) = leave_all(leaving);
    let before: HashMap<_, _> = left.iter().map(|(way, r)| (*way, up.attempts_of(r))).collect();
    let count = up.attempt_count();
    drop(closed_gate);
    wait_until("a further attempt for the client that stays", || up.attempt_count() > count);
    thread::sleep(SETTLE_TIME);
    for (way, request) in &left {
        assert_eq!(
            up.attempts_of(request),
            before[way],
            "{way:?}: an attempt began for a client that had left"
        );
    }
}

/// Guards against a retry for a client that has left, where attempts may not be cancelled.
#[test]
fn a_failed_attempt_is_not_repeated_once_its_client_has_left() {
    check_no_further_attempt(&[WITHOUT_CANCEL], |_| {});
}

/// Guards against a retry for a client that has left while the process shuts down.
#[test]
fn during_shutdown_a_failed_attempt_is_not_repeated_once_its_client_has_left() {
    check_no_further_attempt(&[WITHOUT_CANCEL], |balancer| {
        balancer.signal("TERM");
        thread::sleep(SETTLE_TIME);
    });
}

/// The number of requests that are served before the upstreams hang, from which the balancer learns usual
/// durations.
const WARM_UP_REQUESTS: usize = 60;

/// Guards against second attempts for clients that have left: the first attempts hang, and where the client
/// stays its attempt is cancelled and made again at another upstream.
#[test]
fn a_hanging_attempt_is_not_repeated_once_its_client_has_left() {
    let hangs = Arc::new(AtomicBool::new(false));
    let hanging = hangs.clone();
    let up = RecordingUpstream::start(move |_| {
        if hanging.load(Ordering::SeqCst) {
            Reply::NoAnswer
        } else {
            ok_reply("x")
        }
    });
    let discovery = Discovery::start();
    let hosts: Vec<_> = (0..4).map(|n| host_entry(&format!("s{n}"), up.address, 0, "SERVING")).collect();
    let balancer = start_with_settings(&discovery, &hosts, SETTINGS);
    // From these requests the balancer learns how long answers usually take.
    let mut client = balancer.connect();
    (0..WARM_UP_REQUESTS).for_each(|_| assert_eq!(client.request(&look_request("1.4")).status(), 200));
    hangs.store(true, Ordering::SeqCst);
    let warm = up.attempt_count();
    let (leaving, mut stays) = send_for_all_ways(&balancer, || look_request("1.4"));
    wait_until("the first attempts", || up.attempt_count() > warm + ALL_WAYS.len());
    let (left, _open) = leave_all(leaving);
    let before: HashMap<_, _> = left.iter().map(|(way, r)| (*way, up.attempts_of(r))).collect();
    let count = up.attempt_count();
    stays.read_answer();
    assert!(up.attempt_count() > count, "the client that stays got no second attempt");
    for (way, request) in &left {
        assert_eq!(
            up.attempts_of(request),
            before[way],
            "{way:?}: an attempt began for a client that had left"
        );
    }
}

/// Guards against pipelined requests that are attempted when the one before them ends, though their client
/// has left.
#[test]
fn a_pipelined_request_is_not_attempted_once_its_client_has_left() {
    for way in ALL_WAYS {
        let gate = Arc::new(Mutex::new(()));
        let closed_gate = gate.lock().unwrap();
        let gate_of_upstream = gate.clone();
        let up = RecordingUpstream::start(move |_| {
            drop(gate_of_upstream.lock());
            ok_reply("x")
        });
        let discovery = Discovery::start();
        let balancer = start_with_settings(
            &discovery,
            &[host_entry("s", up.address, 0, "SERVING")],
            &settings_with(&[WITHOUT_CANCEL]),
        );
        let mut client = balancer.connect();
        client.send(&(0..20).map(|_| book_request("6", "x")).collect::<String>());
        wait_until("the first attempt", || up.attempt_count() == 1);
        let _open = way.leave(client);
        thread::sleep(SETTLE_TIME);
        drop(closed_gate);
        thread::sleep(SETTLE_TIME);
        assert_eq!(up.attempt_count(), 1, "{way:?}: an attempt began for a client that had left");
        assert_eq!(balancer.request(READY_REQUEST).status(), 200);
    }
}

/// Guards against a close that is handled after other events of one long turn of the event loop: the
/// connection that an attempt waits for was established before the close, while the process had no processor
/// time.
#[test]
fn a_close_in_the_same_turn_as_an_established_connection_is_handled_first() {
    for way in ALL_WAYS {
        let late = FullQueueUpstream::start();
        let address = late.address;
        let discovery = Discovery::start();
        let balancer = start_with_settings(
            &discovery,
            &[host_entry("s", address, 0, "SERVING")],
            &settings_with(&LONG_DIAL_WITHOUT_CANCEL),
        );
        let mut client = balancer.connect();
        client.send(&book_request("6", "x"));
        wait_until("an attempt that waits for its connection", || late.has_waiting_connection());
        balancer.signal("STOP");
        let received = late.accept_connections();
        wait_until("the connection of the attempt", || !is_connecting_to(address));
        let _open = way.leave(client);
        thread::sleep(SETTLE_TIME);
        balancer.signal("CONT");
        assert_eq!(received_text(&received), "", "{way:?}");
    }
}

/// Guards against a request that is written although the close came before its connection was established.
#[test]
fn a_connection_established_after_the_close_is_not_written_to() {
    for way in ALL_WAYS {
        let late = FullQueueUpstream::start();
        let discovery = Discovery::start();
        let balancer = start_with_settings(
            &discovery,
            &[host_entry("s", late.address, 0, "SERVING")],
            &settings_with(&LONG_DIAL_WITHOUT_CANCEL),
        );
        let mut client = balancer.connect();
        client.send(&book_request("6", "x"));
        wait_until("an attempt that waits for its connection", || late.has_waiting_connection());
        let _open = way.leave(client);
        wait_until("the end of that attempt", || !late.has_waiting_connection());
        assert_eq!(received_text(&late.accept_connections()), "", "{way:?}");
    }
}

/// The numbers of bytes that the clients below send after their request: as many as the kernel takes at once,
/// and multiples of that.
const BYTES_BEHIND: [usize; 3] = [100_000, 250_000, 500_000];

/// Guards against a close that the kernel can't report because it lies behind more bytes than a socket
/// buffers: the balancer goes on reading while a request waits.
#[test]
fn a_close_behind_many_bytes_is_noticed() {
    for bytes in BYTES_BEHIND {
        let gate = Arc::new(Mutex::new(()));
        let closed_gate = gate.lock().unwrap();
        let gate_of_upstream = gate.clone();
        let up = RecordingUpstream::start(move |_| {
            drop(gate_of_upstream.lock());
            error_reply(503, "Srv-Declined: 1\r\n")
        });
        let discovery = Discovery::start();
        let hosts = [host_entry("s", up.address, 0, "SERVING"), host_entry("t", up.address, 0, "SERVING")];
        let balancer = start_with_settings(&discovery, &hosts, &settings_with(&[WITHOUT_CANCEL]));
        let mut client = balancer.connect();
        client.send(&book_request("6", "x"));
        wait_until("the first attempt", || up.attempt_count() == 1);
        // The client's side of the socket buffers what the balancer's side does not take.
        socket2::SockRef::from(&client.stream).set_send_buffer_size(2 * bytes).unwrap();
        client.send(&"x".repeat(bytes));
        drop(client);
        thread::sleep(SETTLE_TIME);
        drop(closed_gate);
        thread::sleep(2 * SETTLE_TIME);
        assert_eq!(
            up.attempt_count(),
            1,
            "an attempt began for a client that had closed behind {bytes} bytes"
        );
    }
}

/// Guards against bytes that are read ahead and then lost or handled in another order, where the client
/// stays.
#[test]
fn requests_read_ahead_are_answered_in_their_order() {
    const REQUESTS: usize = 100;
    let gate = Arc::new(Mutex::new(()));
    let closed_gate = gate.lock().unwrap();
    let gate_of_upstream = gate.clone();
    // The body of each answer is the id of its request.
    let up = RecordingUpstream::start(move |m| {
        drop(gate_of_upstream.lock());
        ok_reply(m.header("req-id").unwrap())
    });
    let discovery = Discovery::start();
    let balancer = Balancer::start(&discovery, &[host_entry("s", up.address, 0, "SERVING")]);
    let pad = format!("\r\nX-Pad: {}\r\n\r\n", "p".repeat(8_000));
    let requests: Vec<_> = (0..REQUESTS).map(|_| book_request("6", "").replace("\r\n\r\n", &pad)).collect();
    let mut client = balancer.connect();
    let mut sending = client.stream.try_clone().unwrap();
    let all = requests.concat();
    let sent = thread::spawn(move || sending.write_all(all.as_bytes()));
    wait_until("the first attempt", || up.attempt_count() == 1);
    thread::sleep(SETTLE_TIME); // the balancer reads ahead meanwhile
    drop(closed_gate);
    for request in &requests {
        let answer = client.read_answer().expect("an answer");
        assert_eq!((answer.status(), answer.body), (200, id_of(request).into_bytes()));
    }
    sent.join().unwrap().expect("all requests are read");
}

/// The number of clients of the measured run.
const CLIENTS: usize = 24;

/// The number of requests that each client of the measured run sends.
const REQUESTS_PER_CLIENT: usize = 40;

/// Measures how long after a close attempts begin, over some thousand requests whose clients leave at any
/// time, while upstreams serve, fail, decline and close connections, each after a while.
#[test]
fn no_attempt_begins_long_after_a_close() {
    let ups: Vec<_> = (0..4).map(|n| RecordingUpstream::start(move |m| mixed_reply(n, m))).collect();
    let discovery = Discovery::start();
    let hosts: Vec<_> =
        ups.iter().enumerate().map(|(n, u)| host_entry(&format!("s{n}"), u.address, 0, "SERVING")).collect();
    let balancer = start_with_settings(&discovery, &hosts, &settings_with(&[WITHOUT_CANCEL]));
    let closed: Mutex<HashMap<String, Instant>> = Mutex::default();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (balancer, closed) = (&balancer, &closed);
            scope.spawn(move || {
                let mut random = fastrand::Rng::with_seed(client as u64);
                for _ in 0..REQUESTS_PER_CLIENT {
                    let (mut client, request) = (balancer.connect(), look_request("1.4"));
                    client.send(&request);
                    thread::sleep(Duration::from_micros(random.u64(0..60_000)));
                    let at = Instant::now();
                    drop(client);
                    closed.lock().unwrap().insert(id_of(&request), at);
                }
            });
        }
    });
    thread::sleep(Duration::from_millis(1500)); // past the deadlines of the last requests
    let closed = closed.into_inner().unwrap();
    let (mut attempts, mut late_attempts, mut latest) = (0, 0, Duration::ZERO);
    for (id, at) in ups.iter().flat_map(|u| u.starts.lock().unwrap().clone()) {
        attempts += 1;
        let late = at.saturating_duration_since(closed[&id]);
        late_attempts += usize::from(late > Duration::ZERO);
        latest = latest.max(late);
    }
    println!("{attempts} attempts, {late_attempts} begun after the close, the latest {latest:?} after it");
    assert!(attempts > CLIENTS * REQUESTS_PER_CLIENT / 4, "{attempts} attempts");
    assert!(
        latest <= MAX_START_DELAY,
        "an attempt began {latest:?} after the close; {late_attempts} of {attempts} began after one"
    );
}

/// The reply of one upstream of the measured run: an answer or a failure, drawn from the id, after up to
/// 40 ms.
fn mixed_reply(upstream: usize, request: &Message) -> Reply {
    let draw = request.header("req-id").unwrap().bytes().map(usize::from).sum::<usize>();
    thread::sleep(Duration::from_millis((draw * 7 + upstream * 13) as u64 % 40));
    match (upstream + draw) % 4 {
        0 => error_reply(503, "Srv-Declined: 1\r\n"),
        1 => error_reply(500, ""),
        2 => Reply::SendAndClose(Vec::new()),
        _ => ok_reply("x"),
    }
}
