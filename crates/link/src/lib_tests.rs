//! Tests of the fleet link: floods of junk, and key files that are endless or malformed.

use super::*;

fn settings(name: &str) -> LinkSettings {
    let here: SocketAddr = ([127, 0, 0, 1], 0).into();
    LinkSettings {
        member: Settings::new(name, "", here),
        bind_address: here,
        key_file: None,
        max_send_bytes_per_s: 1 << 20,
        max_receive_datagrams_per_s: 10_000,
    }
}

/// Guards against a loop that is kept by a flood, and against junk that is answered.
#[test]
fn a_flood_of_junk_is_dropped_unanswered_and_in_parts() {
    let mut set = settings("a");
    set.max_receive_datagrams_per_s = 100;
    let mut link = Link::open(set).unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.set_nonblocking(true).unwrap();
    for i in 0..400usize {
        stranger.send_to(&vec![0x67; i * 3], link.own_identity().address).unwrap();
    }
    let mut calls = 0;
    let total = |l: &Link| l.dropped().over_receive_rate + l.counters().dropped.iter().sum::<u64>();
    let end = Instant::now() + Duration::from_secs(10);
    while total(&link) < 400 && Instant::now() < end {
        let before = total(&link);
        link.on_readable();
        assert!(total(&link) - before <= READ_AT_ONCE as u64);
        calls += 1;
    }
    assert!(total(&link) == 400 && calls >= 400 / READ_AT_ONCE, "{:?} {:?}", link.dropped(), link.counters());
    assert!(link.dropped().over_receive_rate > 0, "past the rate nothing is looked at");
    assert_eq!(stranger.recv_from(&mut [0; 64]).unwrap_err().kind(), ErrorKind::WouldBlock);
    assert_eq!(link.counters().sent, 0);
}

/// Guards against a key file without an end that holds up the start, or a SIGHUP, for good.
#[test]
fn a_key_file_without_an_end_is_refused() {
    let mut set = settings("a");
    set.key_file = Some("/dev/zero".into());
    assert!(Link::open(set).err().unwrap().to_string().contains("line 1"));
}

#[test]
fn a_key_file_that_is_wrong_is_named_with_its_line() {
    let path = std::env::temp_dir().join(format!("garnettally-link-{}.keys", std::process::id()));
    std::fs::write(&path, "1 no\n").unwrap();
    let mut set = settings("a");
    set.key_file = Some(path.clone());
    let told = Link::open(set).err().unwrap().to_string();
    assert!(told.starts_with("fleet.key_file") && told.contains("line 1"), "{told}");
    std::fs::remove_file(path).unwrap();
}
