//! A new process at the address of one that has gone is not taken for the old one: neither work of the old one
//! nor its connections pass to it.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use support::{
    book_request, host_entry, host_list, look_request, ok_reply, wait_until, Balancer, Discovery, Reply,
    Upstream,
};

/// How long the old process takes until it dies with its first request.
const LIFE: Duration = Duration::from_millis(500);

/// Starts an upstream whose first request ends with a close and no answer, and which answers the others: a
/// process that dies, and its successor at the same address.
fn start_dying_upstream() -> Upstream {
    let is_first = AtomicBool::new(true);
    Upstream::start(move |_| {
        if !is_first.swap(false, Ordering::SeqCst) {
            return ok_reply("new");
        }
        thread::sleep(LIFE);
        Reply::SendAndClose(Vec::new())
    })
}

#[test]
fn a_keyed_request_is_not_repeated_at_a_new_process_of_another_cell_at_the_old_address() {
    let upstream = start_dying_upstream();
    let discovery = Discovery::start();
    let known = [host_entry("old", upstream.address, 0, "SERVING")];
    let balancer = Balancer::start(&discovery, &known);
    let (_, mut watch) = discovery.next_watch();
    let mut client = balancer.connect();
    client.send(&book_request("2", "hi"));
    thread::sleep(LIFE / 10);
    let change = [
        host_entry("old", upstream.address, 0, "DELETED"),
        host_entry("new", upstream.address, 1, "SERVING"),
    ];
    watch.write_chunk(&format!("{}\n", host_list(8, false, &change)));
    assert_eq!(client.read_answer().expect("an answer").status(), 502);
    thread::sleep(LIFE);
    assert_eq!(upstream.request_count(), 1, "the attempt at the old process alone");
    let other = book_request("2", "ho").replace("5c0f6e1a", "77777777");
    assert_eq!(&balancer.request(&other).body[..], b"new");
}

#[test]
fn a_safe_request_whose_process_died_is_served_by_the_new_one_on_a_connection_of_its_own() {
    let upstream = start_dying_upstream();
    let discovery = Discovery::start();
    let balancer = Balancer::start(&discovery, &[host_entry("old", upstream.address, 0, "SERVING")]);
    let (_, mut watch) = discovery.next_watch();
    let mut client = balancer.connect();
    client.send(&look_request("1.4"));
    thread::sleep(LIFE / 10);
    let change = [
        host_entry("old", upstream.address, 0, "DELETED"),
        host_entry("new", upstream.address, 1, "SERVING"),
    ];
    watch.write_chunk(&format!("{}\n", host_list(8, false, &change)));
    assert_eq!(&client.read_answer().expect("an answer").body[..], b"new");
    wait_until("the end of the old process", || upstream.request_count() == 2);
    let connections: Vec<usize> =
        upstream.received.lock().unwrap().iter().map(|m| m.index_on_connection).collect();
    assert_eq!(connections, [0, 0], "each request was the first one on its connection");
}
