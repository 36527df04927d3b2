//! Clients that send at full speed, beside usual ones: the usual ones get their answers in time and as many of
//! them as before. Each play starts the real program.

#[path = "../support/mod.rs"]
mod support;

mod clients;

use clients::{Flood, Flooder, UsualClient, UsualOutcomes};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use support::{config_text, free_address, host_entry, Balancer, Discovery, Message};

const UPSTREAMS: usize = 4;
const USUAL_CLIENTS: usize = 24;
/// How long an upstream takes for an answer.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// How long the flood goes to one process at a time: the one that the usual clients use, or another one. The
/// machine is as busy either way, so that the two times can be compared.
const SLICE: Duration = Duration::from_millis(500);
/// How often the flood goes to each of the processes.
const SLICES: usize = 6;
/// The part of the rate beside a flood of the other process that is completed beside a flood (issue 65).
const MIN_COMPLETED_PART: f64 = 0.9;
/// How many times as long as beside a flood of the other process the slowest hundredth may take (issue 65).
const MAX_SLOWDOWN: f64 = 2.0;

/// Plays are played one at a time: side by side each would get too little of the processor.
static STAGE: Mutex<()> = Mutex::new(());

/// Starts an upstream that answers each request after [`SERVICE_TIME`], on a thread for each connection.
fn start_upstream() -> SocketAddr {
    use std::io::{BufReader, Write};
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                while Message::read(&mut input).is_some() {
                    thread::sleep(SERVICE_TIME);
                    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts a process that balances over these hosts.
fn start_balancer(discovery: &Discovery, hosts: &[String]) -> Balancer {
    let address = free_address();
    let text = config_text(address, discovery.address, 1024, hosts);
    Balancer::start_with_config(address, &text, |_| {})
}

/// Plays a flood by this many clients beside the usual ones, and checks what became of the usual requests.
fn play(flooders: usize, flood: Flood) {
    let _stage = STAGE.lock().unwrap_or_else(|e| e.into_inner());
    let hosts: Vec<String> =
        (0..UPSTREAMS).map(|n| host_entry(&format!("s{n}"), start_upstream(), 0, "SERVING")).collect();
    let (discovery, other_discovery) = (Discovery::start(), Discovery::start());
    let (balancer, other) = (start_balancer(&discovery, &hosts), start_balancer(&other_discovery, &hosts));
    let (outcomes, stop) = (Arc::new(UsualOutcomes::default()), Arc::new(AtomicBool::new(false)));
    let is_flooded = Arc::new(AtomicBool::new(false));
    let mut threads: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let client = UsualClient {
                address: balancer.address,
                number,
                outcomes: outcomes.clone(),
                is_flooded: is_flooded.clone(),
                stop: stop.clone(),
            };
            thread::spawn(move || client.run())
        })
        .collect();
    threads.extend((0..flooders).map(|_| {
        let flooder = Flooder {
            address: balancer.address,
            other_address: other.address,
            flood,
            is_flooded: is_flooded.clone(),
            stop: stop.clone(),
        };
        thread::spawn(move || flooder.run())
    }));
    for _ in 0..SLICES {
        thread::sleep(SLICE);
        is_flooded.store(true, Ordering::Relaxed);
        thread::sleep(SLICE);
        is_flooded.store(false, Ordering::Relaxed);
    }
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| t.join().unwrap());
    let (quiet, flooded) = outcomes.by_flood();
    println!("{flooders} clients, {flood:?}: other process {quiet}; this process {flooded}");
    assert_eq!((flooded.late, flooded.unanswered, flooded.not_served), (0, 0, 0), "{flooded}");
    let least = MIN_COMPLETED_PART * quiet.completed as f64;
    assert!(flooded.completed as f64 >= least, "{} of {least}", flooded.completed);
    assert!(flooded.slowest_hundredth <= quiet.slowest_hundredth.mul_f64(MAX_SLOWDOWN), "{flooded}");
}

/// A client that first reads nothing, so that its answers wait in the process, gets all of them once it reads.
#[test]
fn all_pipelined_requests_are_answered_once_their_client_reads() {
    let _stage = STAGE.lock().unwrap_or_else(|e| e.into_inner());
    let discovery = Discovery::start();
    let balancer = start_balancer(&discovery, &[host_entry("s0", start_upstream(), 0, "SERVING")]);
    for round in 0..5 {
        let count = clients::read_late(balancer.address, Duration::from_millis(100 * round));
        assert_eq!(count, clients::LATE_READ_REQUESTS, "answers in round {round}");
    }
}

#[test]
fn usual_requests_are_answered_beside_one_client_that_pipelines_at_full_speed() {
    play(1, Flood::Ready { at_once: 1 });
}

#[test]
fn usual_requests_are_answered_beside_six_clients_that_pipeline_at_full_speed() {
    play(6, Flood::Ready { at_once: 300 });
}

#[test]
fn usual_requests_are_answered_beside_a_crowd_that_pipelines_at_full_speed() {
    play(40, Flood::Ready { at_once: 300 });
}

#[test]
fn usual_requests_are_answered_beside_unsound_requests_on_ever_new_connections() {
    play(6, Flood::UnknownClass { at_once: 300 });
}

#[test]
fn usual_requests_are_answered_beside_connections_that_open_and_close_at_full_speed() {
    play(6, Flood::Connections);
}
