//! Tests of the fleet link: floods of invalid datagrams, and key files that are endless or malformed.

use super::*;

fn settings(name: &str) -> LinkSettings {
    let local_address: SocketAddr = ([127, 0, 0, 1], 0).into();
    LinkSettings {
        member: Settings::new(name, "", local_address),
        bind_address: local_address,
        key_file: None,
        max_send_bytes_per_s: 1 << 20,
        max_receive_datagrams_per_s: 10_000,
    }
}

/// Guards against a flood of invalid datagrams that occupies the event loop, and against answering such
/// datagrams.
#[test]
fn a_flood_of_invalid_datagrams_is_dropped_without_answer_in_bounded_reads() {
    let mut config = settings("a");
    config.max_receive_datagrams_per_s = 100;
    let mut link = Link::open(config).unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.set_nonblocking(true).unwrap();
    for i in 0..400usize {
        stranger.send_to(&vec![0x67; i * 3], link.own_identity().address).unwrap();
    }
    let mut calls = 0;
    let handled_count =
        |link: &Link| link.dropped().over_receive_rate + link.counters().dropped.iter().sum::<u64>();
    let end = Instant::now() + Duration::from_secs(10);
    while handled_count(&link) < 400 && Instant::now() < end {
        let before = handled_count(&link);
        link.on_readable();
        assert!(handled_count(&link) - before <= MAX_DATAGRAMS_PER_READ as u64);
        calls += 1;
    }
    assert!(
        handled_count(&link) == 400 && calls >= 400 / MAX_DATAGRAMS_PER_READ,
        "{:?} {:?}",
        link.dropped(),
        link.counters()
    );
    assert!(link.dropped().over_receive_rate > 0, "no datagram was dropped for exceeding the receive rate");
    assert_eq!(stranger.recv_from(&mut [0; 64]).unwrap_err().kind(), ErrorKind::WouldBlock);
    assert_eq!(link.counters().sent, 0);
}

/// Guards against an endless key file that blocks the start, or the reload on SIGHUP, forever.
#[test]
fn an_endless_key_file_is_refused() {
    let mut config = settings("a");
    config.key_file = Some("/dev/zero".into());
    assert!(Link::open(config).err().unwrap().to_string().contains("line 1"));
}

#[test]
fn the_error_for_a_malformed_key_file_names_the_file_and_line() {
    let path = std::env::temp_dir().join(format!("garnettally-link-{}.keys", std::process::id()));
    std::fs::write(&path, "1 no\n").unwrap();
    let mut config = settings("a");
    config.key_file = Some(path.clone());
    let error = Link::open(config).err().unwrap().to_string();
    assert!(error.starts_with("fleet.key_file") && error.contains("line 1"), "{error}");
    std::fs::remove_file(path).unwrap();
}
