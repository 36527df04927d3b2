//! Tests with invalid and unexpected datagrams: for any input, nothing panics, no state grows beyond its
//! bound, and no answer to an unknown sender is larger than the datagram that caused it. The corpus contains
//! datagrams that mattered in the past; the other inputs are modified copies of real datagrams.

use garnettally_model::Micros;
use garnettally_peers::{Input, Keys, Output, Peers, RejectReason, Settings, MAX_DATAGRAM_BYTES};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn member(port: u16, seeds: &[u16], keys: bool) -> Peers {
    let mut settings = Settings::new(&format!("m{port}"), "z", address(port));
    settings.seeds = seeds.iter().map(|&p| address(p)).collect();
    settings.max_members = 64;
    settings.max_facts = 256;
    let keys = keys.then(|| Keys::parse(&format!("1 {}", "5a".repeat(32))).unwrap());
    Peers::new(settings, keys, [port as u8; 32], Micros(0))
}

fn take_sends(peers: &mut Peers) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut all = Vec::new();
    while let Some(output) = peers.poll() {
        if let Output::Send(to, data) = output {
            all.push((to, data));
        }
    }
    all
}

/// Runs two members that exchange a fact, and returns them with every datagram that they sent.
fn record_exchange(keys: bool) -> (Peers, Peers, Vec<Vec<u8>>) {
    let (mut first, mut second) = (member(1, &[2], keys), member(2, &[1], keys));
    let mut all = Vec::new();
    for ms in 0..3_000 {
        let now = Micros(ms * 1_000);
        if ms == 1_000 {
            first.publish(now, b"key", b"value", Micros(5));
        }
        for (peers, other) in [(&mut first, 2), (&mut second, 1)] {
            if peers.next_timeout() <= now {
                let _ = peers.handle(now, Input::Wake);
            }
            let _ = other;
        }
        for _ in 0..4 {
            let (from_first, from_second) = (take_sends(&mut first), take_sends(&mut second));
            all.extend(from_first.iter().chain(&from_second).map(|(_, d)| d.clone()));
            from_first.iter().filter(|(to, _)| to.port() == 2).for_each(|(_, d)| {
                let _ = second.handle(now, Input::Datagram(d));
            });
            from_second.iter().filter(|(to, _)| to.port() == 1).for_each(|(_, d)| {
                let _ = first.handle(now, Input::Datagram(d));
            });
        }
    }
    assert!(
        first.alive_count() == 2 && second.facts(Micros(3_000_000)).count() == 1,
        "the two members did not find each other"
    );
    (first, second, all)
}

fn assert_bounded_reaction(peers: &mut Peers, now: Micros, data: &[u8]) {
    let _ = peers.handle(now, Input::Datagram(data));
    let out: usize = take_sends(peers).iter().map(|(_, d)| d.len()).sum();
    // The answer to a datagram that could be opened may be larger than it, but is bounded. That a challenge
    // is no larger than the datagram it answers is checked in
    // `datagrams_of_many_unknown_lives_add_no_members_and_get_no_larger_answers`.
    assert!(out <= data.len().max(MAX_DATAGRAM_BYTES * 8), "{out} bytes for {}", data.len());
    assert!(peers.alive_count() <= 64 && peers.fact_count() <= 256);
}

/// Writes the corpus again; used if `PEERS_CORPUS=write` is set. It contains the first datagram of each kind
/// that two members exchange: complete, with a truncated body, and with an invalid body, each sealed with the
/// well-known key.
fn write_corpus(folder: &str) {
    let (.., all) = record_exchange(false);
    let key = blake3::derive_key("garnettally fleet link, loopback without a key", b"");
    for kind in 0..=4u8 {
        let Some(whole) = all.iter().find(|d| d[2] == kind) else { panic!("no datagram of kind {kind}") };
        let body = &whole[..whole.len() - 16];
        let invalid: Vec<u8> = body[..46].iter().copied().chain([0xff; 300]).collect();
        for (name, signed) in [("whole", body), ("cut", &body[..body.len() - 3]), ("junk", &invalid[..])] {
            let mac = blake3::keyed_hash(&key, signed);
            let data = [signed, &mac.as_bytes()[..16]].concat();
            std::fs::write(format!("{folder}/{kind}-{name}"), data).unwrap();
        }
    }
}

#[test]
fn datagrams_of_the_corpus_cause_no_panic_and_no_growth() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/corpus");
    if std::env::var("PEERS_CORPUS").is_ok_and(|v| v == "write") {
        std::fs::create_dir_all(folder).unwrap();
        write_corpus(folder);
    }
    let mut files: Vec<_> = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    assert!(files.len() >= 8, "the corpus is incomplete");
    let (mut first, ..) = record_exchange(false);
    for file in files {
        assert_bounded_reaction(&mut first, Micros(3_000_000), &std::fs::read(&file).unwrap());
    }
}

/// Real datagrams are truncated, modified, joined and repeated. With the well-known key, a modified body can
/// be sealed again, so that the parsers behind the check of the MAC are tested, too.
#[test]
fn modified_datagrams_cause_no_panic_and_no_growth_before_and_behind_the_mac_check() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    for keys in [true, false] {
        let (mut first, _, all) = record_exchange(keys);
        let now = Micros(3_000_000);
        let mut rejected = 0;
        for _ in 0..20_000 {
            let mut data = all[rng.random_range(0..all.len())].clone();
            for _ in 0..rng.random_range(0..4) {
                match rng.random_range(0..4) {
                    0 => data.truncate(rng.random_range(0..=data.len())),
                    1 if !data.is_empty() => {
                        let at = rng.random_range(0..data.len());
                        data[at] = rng.random();
                    }
                    2 => {
                        let other = &all[rng.random_range(0..all.len())];
                        data.extend(&other[rng.random_range(0..other.len())..]);
                    }
                    _ => {
                        let mut more = [0; 16];
                        rng.fill_bytes(&mut more);
                        data.extend(more);
                    }
                }
            }
            if !keys && data.len() > 16 && rng.random_bool(0.7) {
                // The datagram is sealed again with the well-known key.
                let key = blake3::derive_key("garnettally fleet link, loopback without a key", b"");
                let end = data.len() - 16;
                let mac = blake3::keyed_hash(&key, &data[..end]);
                data[end..].copy_from_slice(&mac.as_bytes()[..16]);
            }
            let before = first.counters().dropped;
            assert_bounded_reaction(&mut first, now, &data);
            rejected += u64::from(first.counters().dropped != before);
        }
        assert!(rejected > 5_000, "only {rejected} of 20000 datagrams were rejected");
    }
}

/// Guards against a process on the machine that makes a member without a key send datagrams to other
/// machines.
#[test]
fn without_a_key_datagrams_are_sent_to_loopback_addresses_only() {
    let (mut first, _, all) = record_exchange(false);
    let key = blake3::derive_key("garnettally fleet link, loopback without a key", b"");
    for ip in [[192, 0, 2, 7], [0, 0, 0, 0], [224, 0, 0, 1], [255, 255, 255, 255]] {
        for kind in 0..=4u8 {
            let whole = all.iter().find(|d| d[2] == kind).unwrap();
            let mut data = whole[..whole.len() - 16].to_vec();
            // The datagram names another life at an IPv4-mapped IPv6 address.
            data[4..12].fill(9);
            data[28..38].fill(0);
            data[38..40].fill(0xff);
            data[40..44].copy_from_slice(&ip);
            let mac = blake3::keyed_hash(&key, &data);
            data.extend(&mac.as_bytes()[..16]);
            assert_eq!(
                first.handle(Micros(3_000_000), Input::Datagram(&data)),
                Err(RejectReason::Origin),
                "{ip:?} {kind}"
            );
            assert_eq!(take_sends(&mut first), []);
        }
    }
}

/// Guards against a flood of datagrams from unknown lives: each is answered with a challenge, and none uses
/// memory.
#[test]
fn datagrams_of_many_unknown_lives_add_no_members_and_get_no_larger_answers() {
    let (mut first, ..) = record_exchange(true);
    for n in 0..2_000u16 {
        let mut stranger = member(10_000 + n, &[1], true);
        let _ = stranger.handle(Micros(0), Input::Wake);
        for (_, data) in take_sends(&mut stranger) {
            let _ = first.handle(Micros(3_000_000), Input::Datagram(&data));
            let answer = take_sends(&mut first);
            let bytes: usize = answer.iter().map(|(_, d)| d.len()).sum();
            assert!(bytes <= data.len(), "{bytes} bytes for {}", data.len());
        }
    }
    assert_eq!(first.alive_count(), 2);
}
