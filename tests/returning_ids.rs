//! A request whose client has left and whose id comes again: it does not run twice.

mod support;

use std::thread;
use std::time::Duration;
use support::late::{FullQueueUpstream, LONG_DIAL_WITHOUT_CANCEL};
use support::{
    config_text, free_address, host_entry, settings_with, start_with_settings, wait_until, Balancer,
    Discovery, Reply, Upstream, SETTINGS,
};

/// Makes the second class unsafe to repeat.
const UNSAFE: (&str, &str) = (
    "\"KeyScope\":\"cell\",\"LateWorth\":0.0,\"Name\":\"book\",\"Semantics\":\"keyed\"",
    "\"KeyScope\":\"cell\",\"LateWorth\":0.0,\"Name\":\"book\",\"Semantics\":\"unsafe\"",
);

/// A request of the class `book` with this id.
fn request(id: &str) -> String {
    format!(
        "POST /book HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Deadline: 2\r\nContent-Length: 2\r\n\r\nhi"
    )
}

#[test]
fn an_unsafe_request_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    let upstream = Upstream::start(|_| Reply::NoAnswer);
    let discovery = Discovery::start();
    let known = [host_entry("s0", upstream.address, 0, "SERVING")];
    let balancer = start_with_settings(&discovery, &known, &settings_with(&[UNSAFE]));
    let mut client = balancer.connect();
    client.send(&request("left"));
    wait_until("the first attempt", || upstream.request_count() == 1);
    drop(client);
    thread::sleep(Duration::from_millis(100));
    let again = balancer.request(&request("left"));
    assert_eq!((again.status(), upstream.request_count()), (400, 1));
    let mut other = balancer.connect();
    other.send(&request("other"));
    wait_until("the attempt of another id", || upstream.request_count() == 2);
}

#[test]
fn an_id_comes_again_freely_if_its_request_never_ran() {
    let upstream = FullQueueUpstream::start();
    let discovery = Discovery::start();
    let known = [host_entry("s0", upstream.address, 0, "SERVING")];
    let slow_connects = LONG_DIAL_WITHOUT_CANCEL;
    let settings = settings_with(&[&[UNSAFE], &slow_connects[..]].concat());
    let balancer = start_with_settings(&discovery, &known, &settings);
    let mut client = balancer.connect();
    client.send(&request("waits"));
    wait_until("a connection that is not established", || upstream.has_waiting_connection());
    drop(client);
    thread::sleep(Duration::from_millis(100));
    let mut again = balancer.connect();
    again.send(&request("waits"));
    wait_until("a connection for the second request", || upstream.has_waiting_connection());
}

#[test]
fn an_unsafe_request_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_twice() {
    let upstream = Upstream::start(|_| Reply::NoAnswer);
    let discovery = Discovery::start();
    let known = [host_entry("s0", upstream.address, 0, "SERVING")];
    let address = free_address();
    let text =
        config_text(address, discovery.address, 1024, &known).replace(SETTINGS, &settings_with(&[UNSAFE]));
    let mut old = Balancer::start_with_config(address, &text, |_| {});
    let mut client = old.connect();
    client.send(&request("moved"));
    wait_until("the first attempt", || upstream.request_count() == 1);
    drop(client);
    let new = Balancer::start_with_config(address, &text, |_| {});
    old.signal("TERM");
    assert!(old.wait_for_exit().success());
    let again = new.request(&request("moved"));
    assert_eq!((again.status(), upstream.request_count()), (400, 1));
}
