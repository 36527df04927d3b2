//! Owners that die, stop and are cut off, voters whose disks fail, in virtual time, by seed.

mod net;

use garnettally_duties::{Event, Input, Sender, Standing};
use net::{Disk, Link, Net, GOOD, MS, SECOND};
use rand::RngExt;

fn started(members: usize, voters: usize, duties: usize, seed: u64) -> Net {
    let mut net = Net::new(members, voters, duties, seed);
    net.until(10 * SECOND, Net::all_owned).expect("all duties have owners");
    net
}

/// How many seeds; `DUTIES_SEEDS` asks for more than CI runs.
fn seeds(ci: u64) -> u64 {
    std::env::var("DUTIES_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(ci)
}

fn told(what: &str, mut gaps: Vec<i64>) {
    gaps.sort_unstable();
    let at = |part: usize| gaps[(gaps.len() * part / 100).min(gaps.len() - 1)] as f64 / 1e3;
    println!(
        "{what}: {} times, ms without an owner: median {}, p99 {}, worst {}",
        gaps.len(),
        at(50),
        at(99),
        at(100)
    );
}

/// Guards against a start that never comes to owners, and against one that has more than one each.
#[test]
fn each_duty_has_one_owner_soon_after_a_start_of_all() {
    for (members, voters) in [(1, 1), (3, 3), (5, 3), (7, 5), (9, 7)] {
        let mut net = Net::new(members, voters, 6, 1);
        let took = net.until(10 * SECOND, Net::all_owned).unwrap_or_else(|| panic!("{members}, {voters}"));
        // The silence after a start is a lease; then an election, and a word to the owner.
        assert!(took < 4 * SECOND, "{members} members, {voters} voters: {took} us");
        net.run(10 * SECOND);
        assert!(net.all_owned() && net.broken.is_empty(), "{:?}", net.broken);
        // It does not flap: each duty has had one owner.
        assert_eq!(net.owners.len(), 6);
    }
}

/// Guards against work that stops when its owner dies.
#[test]
fn a_crash_costs_a_lease_and_a_little_more() {
    let mut gaps = Vec::new();
    for seed in 0..seeds(8) {
        let mut net = started(5, 3, 4, seed);
        let owner = net.owner(0).unwrap();
        net.kill(owner);
        let gap = net.until(10 * SECOND, |n| n.all_owned()).expect("another owner");
        assert!(gap < 2 * SECOND, "seed {seed}: {gap} us");
        assert!(net.broken.is_empty(), "{:?}", net.broken);
        gaps.push(gap);
    }
    told("crash", gaps);
}

/// Guards against a gap at a planned end, and against an owner that goes on after its word that it does not.
#[test]
fn a_leave_hands_over_at_once() {
    let mut gaps = Vec::new();
    for seed in 0..seeds(8) {
        let mut net = started(5, 3, 4, 100 + seed);
        net.run(2 * SECOND);
        // A member that is no voter, so that its leave is the only thing that happens.
        let owner = (0..4).filter_map(|d| net.owner(d)).find(|&o| o >= 3);
        let Some(owner) = owner else { continue };
        net.leave(owner);
        let gap = net.until(SECOND, |n| n.all_owned());
        gaps.push(gap.unwrap_or_else(|| panic!("seed {seed}: no other owner than {owner}")));
        assert!(net.broken.is_empty(), "{:?}", net.broken);
    }
    assert!(gaps.len() >= 3 && gaps.iter().all(|&g| g < 100 * MS), "{gaps:?}");
    // A word that is lost is said again: with a third of all lost, a leave still takes less than a lease.
    let mut net = started(5, 3, 4, 111);
    net.every_link = Link { loss: 0.3, ..GOOD };
    let owner = net.owner(0).unwrap();
    net.leave(owner);
    let gap = net.until(2 * SECOND, Net::all_owned).expect("another owner");
    assert!(gap < 700 * MS && net.broken.is_empty(), "{gap} {:?}", net.broken);
    told("hand-over", gaps);
}

/// Guards against an owner that was stopped in the middle of an effect, and does harm when it wakes.
#[test]
fn who_wakes_late_acts_no_more_and_what_it_had_begun_is_refused() {
    let mut net = started(5, 3, 1, 7);
    let owner = net.owner(0).unwrap();
    // What it sends from now on comes late: after it was stopped, and others have taken over.
    net.effect_delay = (4 * SECOND, 5 * SECOND);
    net.run(20 * MS);
    net.nodes[owner].paused = true;
    net.effect_delay = (200, 5_000);
    net.until(5 * SECOND, |n| n.all_owned()).expect("another owner");
    net.run(6 * SECOND);
    let before = net.refused;
    assert!(before > 0, "what was under way came late and was not refused");
    net.resume(owner);
    net.run(5 * SECOND);
    assert!(net.broken.is_empty(), "{:?}", net.broken);
    assert_ne!(net.owner(0), Some(owner), "it may have it again, under another epoch, but not by waking");
}

/// The check above has to be able to fail: a sink that does not look at epochs takes what came late.
#[test]
fn a_sink_that_forgets_epochs_is_caught() {
    let mut net = started(5, 3, 1, 7);
    net.fenced = false;
    let owner = net.owner(0).unwrap();
    net.effect_delay = (4 * SECOND, 5 * SECOND);
    net.run(20 * MS);
    net.nodes[owner].paused = true;
    net.effect_delay = (200, 5_000);
    net.run(8 * SECOND);
    assert!(net.broken.iter().any(|b| b.contains("the sink took")), "{:?}", net.broken);
}

/// Guards against an owner that is cut off from the voters and goes on, and against one that loses its duty because
/// some voter can't hear it.
#[test]
fn cut_off_from_voters_it_stops_and_from_one_of_them_it_goes_on() {
    let mut net = started(5, 3, 4, 11);
    let owner = net.owner(0).unwrap();
    let one = (0..3).find(|&v| v != owner).unwrap();
    let before = net.owners.len();
    net.link(owner, one, Link { cut: true, ..GOOD });
    net.run(10 * SECOND);
    assert_eq!(net.owner(0), Some(owner), "two of three voters hear it");
    net.heal();
    net.run(SECOND);
    net.split(&[owner]);
    net.run(5 * SECOND);
    assert!(net.all_owned() && net.owner(0) != Some(owner));
    assert!(net.broken.is_empty(), "{:?}", net.broken);
    assert!(net.owners.len() > before);
}

/// Guards against owners without a majority, and against a fleet that does not come back.
#[test]
fn without_a_majority_nobody_owns_and_with_it_all_is_owned_again() {
    let mut net = started(5, 3, 4, 12);
    net.kill(0);
    net.kill(1);
    net.run(2 * SECOND);
    assert!((0..4).all(|d| net.owner(d).is_none()), "an owner without a majority of voters");
    net.start(0);
    let took = net.until(10 * SECOND, Net::all_owned).expect("a majority again");
    assert!(took < 5 * SECOND, "{took}");
    net.start(1);
    net.run(5 * SECOND);
    assert!(net.all_owned() && net.broken.is_empty(), "{:?}", net.broken);
}

/// Guards against a full disk that ends the process or the fleet's work, and against promises that are not stored.
#[test]
fn a_full_disk_steps_down_and_a_free_one_takes_part_again() {
    let mut net = started(5, 3, 4, 13);
    net.nodes[0].state = Disk::Full;
    // Something has to be written: the owner of a duty dies.
    let owner = (0..4).filter_map(|d| net.owner(d)).find(|&o| o != 0).unwrap();
    net.kill(owner);
    net.until(10 * SECOND, |n| n.all_owned() && n.nodes[0].events.contains(&Event::SteppedDown))
        .expect("the others go on, and the full one says so");
    assert!(net.nodes[0].duties.as_ref().unwrap().standing().is_none());
    // On a majority: nobody can be given anything, and what is owned stays owned by who is there.
    net.start(owner);
    net.nodes[1].state = Disk::Full;
    net.run(5 * SECOND);
    net.nodes[0].state = Disk::Well;
    net.nodes[1].state = Disk::Well;
    net.until(60 * SECOND, |n| {
        n.all_owned()
            && (0..3)
                .all(|v| n.nodes[v].duties.as_ref().is_some_and(|d| d.standing() == Some(Standing::Votes)))
    })
    .expect("all take part again when there is room");
    assert!(net.broken.is_empty(), "{:?}", net.broken);
}

/// Guards against a voter that has lost its folder, or holds an old copy of it, and votes a second time.
#[test]
fn a_lost_folder_and_an_old_copy_may_not_vote() {
    let mut net = started(5, 3, 4, 14);
    let old = net.nodes[1].disk.clone();
    net.kill(2);
    net.nodes[2].disk.clear();
    net.nodes[2].folder += 1;
    net.start(2);
    net.run(5 * SECOND);
    assert_eq!(net.nodes[2].duties.as_ref().unwrap().standing(), Some(Standing::Lost));
    assert!(net.nodes[2].events.contains(&Event::MayNotVote(Standing::Lost)));
    // Much is decided since the copy was made.
    for _ in 0..3 {
        net.start(4);
        net.run(3 * SECOND);
    }
    assert!(net.nodes[1].disk.len() > old.len());
    net.kill(1);
    net.nodes[1].disk = old;
    net.start(1);
    net.run(5 * SECOND);
    assert_eq!(net.nodes[1].duties.as_ref().unwrap().standing(), Some(Standing::OldCopy));
    // The only voter that may vote is no majority.
    assert!((0..4).all(|d| net.owner(d).is_none()));
    assert!(net.broken.is_empty(), "{:?}", net.broken);
}

/// Guards against epochs that are given twice after kills at any moment of a write.
#[test]
fn kills_between_writes_give_no_epoch_twice() {
    for seed in 0..6 {
        let mut net = started(4, 3, 3, 200 + seed);
        for _ in 0..40 {
            let i = net.rng.random_range(0..4);
            let wait = net.rng.random_range(1..400) * MS;
            net.start(i);
            net.run(wait);
        }
        net.until(20 * SECOND, Net::all_owned).expect("owners again");
        assert!(net.broken.is_empty(), "seed {seed}: {:?}", net.broken);
    }
}

/// Guards against an operator's move that leaves a gap, or two owners.
#[test]
fn a_duty_is_moved_at_an_operators_word() {
    let mut net = started(5, 3, 2, 15);
    net.run(2 * SECOND);
    let (owner, name) = (net.owner(0).unwrap(), net.names[0].clone());
    let to = (0..5).find(|&i| i != owner).unwrap();
    let life = net.nodes[to].life;
    // At any member's.
    net.hand(4, Input::Move(&name, life));
    let took = net.until(2 * SECOND, |n| n.owner(0) == Some(to)).expect("moved");
    assert!(took < 200 * MS, "{took}");
    net.run(5 * SECOND);
    assert!(net.owner(0) == Some(to) && net.broken.is_empty(), "{:?}", net.broken);
    // Released, it goes to somebody else; drained, a member owns nothing, and may again afterwards.
    net.hand(4, Input::Move(&name, 0));
    net.until(2 * SECOND, |n| n.owner(0).is_some_and(|o| o != to)).expect("released");
    let drained = net.owner(0).unwrap();
    net.leave(drained);
    net.until(2 * SECOND, |n| n.owner(0).is_some_and(|o| o != drained)).expect("handed over");
    net.run(3 * SECOND);
    assert!((0..2).all(|d| net.owner(d) != Some(drained)));
    net.hand(drained, Input::Resume);
    (0..5).filter(|&i| i != drained).for_each(|i| if i > 2 { net.kill(i) } else { net.leave(i) });
    net.until(10 * SECOND, |n| (0..2).all(|d| n.owner(d) == Some(drained))).expect("it alone is left");
    assert!(net.broken.is_empty(), "{:?}", net.broken);
}

/// Guards against members whose files name the voters in another order: a voter's number would stand for two.
#[test]
fn who_has_other_voters_is_not_heard() {
    let mut net = started(5, 3, 4, 17);
    net.rosters.insert(2, 8);
    net.rosters.insert(4, 8);
    net.start(2);
    net.start(4);
    net.run(6 * SECOND);
    assert!(net.all_owned() && (0..4).all(|d| !matches!(net.owner(d), Some(2 | 4))));
    assert!(net.nodes[0].events.contains(&Event::OtherVoters(net.nodes[4].life)));
    assert!(net.broken.is_empty(), "{:?}", net.broken);
}

/// Whatever comes is taken or dropped, and nothing panics.
#[test]
fn messages_cut_off_or_changed_at_any_place_are_survived() {
    let mut net = started(3, 3, 2, 18);
    // What voters really say to each other, changed by a byte or cut off, to each of them.
    net.tape = Some(Vec::new());
    net.kill(2);
    net.run(3 * SECOND);
    let tape = net.tape.take().unwrap();
    assert!(tape.len() > 100);
    for (k, (from, data)) in tape.iter().enumerate() {
        for i in 0..2 {
            let mut bad = data.clone();
            let at = net.rng.random_range(0..bad.len());
            match k % 3 {
                0 => bad.truncate(at),
                1 => bad[at] ^= 1 << (k % 8),
                // A sound one from who did not send it.
                _ => {}
            }
            let from = if k % 3 == 2 { Sender { voter: Some(3), ..*from } } else { *from };
            let now = net.clock(i);
            let d = net.nodes[i].duties.as_mut().unwrap();
            d.handle(now, Input::Message(from, &bad));
            while d.poll().is_some() {}
        }
    }
}

/// Most duties stay where they are when a member dies.
#[test]
fn a_death_moves_its_own_duties_alone() {
    let mut net = started(20, 3, 100, 16);
    net.run(SECOND);
    let before: Vec<Option<usize>> = (0..100).map(|d| net.owner(d)).collect();
    let counts = net.counts();
    assert!(counts.len() == 20 && counts.values().all(|&n| n < 20), "{counts:?}");
    net.kill(19);
    net.until(10 * SECOND, Net::all_owned).unwrap();
    let moved = (0..100).filter(|&d| net.owner(d) != before[d]).count();
    assert_eq!(Some(&moved), counts.get(&19));
}

/// What it costs when nothing happens, and what a death moves. `DUTIES_GROWTH` names other sizes: "100x1000".
#[test]
fn messages_grow_with_members_and_not_with_duties() {
    let sizes = std::env::var("DUTIES_GROWTH").unwrap_or_else(|_| "10x10 20x100".into());
    for size in sizes.split(' ') {
        let (members, duties) = size.split_once('x').unwrap();
        let (members, duties): (usize, usize) = (members.parse().unwrap(), duties.parse().unwrap());
        let mut net = Net::new(members, 3, duties, 19);
        let start = net.until(60 * SECOND, Net::all_owned).expect("all owned");
        net.run(SECOND);
        let before = (net.messages, net.bytes);
        net.run(4 * SECOND);
        let messages = (net.messages - before.0) as f64 / 4.0;
        let bytes = (net.bytes - before.1) as f64 / 4.0;
        // Each member asks three voters four times in a lease of a second and has three answers; voters that are
        // members tell themselves for nothing, and beat ten times a second, question and answer.
        let most = members as f64 * 3.0 * 4.0 * 2.0 + 6.0 * 2.0 * 10.0;
        assert!(messages <= 1.3 * most, "{size}: {messages} messages a second of {most}");
        let owned = net.counts();
        net.kill(members - 1);
        let gap = net.until(60 * SECOND, Net::all_owned).expect("all owned again");
        let moved = owned.get(&(members - 1)).copied().unwrap_or(0);
        println!(
            "{size}: owned after {start} us; {messages:.0} messages, {bytes:.0} bytes a second in all; a death moved \
             {moved} of {duties}, in {gap} us"
        );
        assert!(net.broken.is_empty(), "{:?}", net.broken);
    }
}

/// Draws faults of links, processes, clocks and disks.
fn drawn(seed: u64) -> (Vec<i64>, i64) {
    let mut net = Net::new(5, 3, 3, seed);
    for i in 0..5 {
        // Within what the margin is for.
        let rate = net.rng.random_range(0.91..1.09);
        net.set_rate(i, rate);
    }
    for _ in 0..40 {
        let (a, b) = (net.rng.random_range(0..5), net.rng.random_range(0..5));
        match net.rng.random_range(0..12) {
            0 | 1 => net.heal(),
            2 => net.split(&[a]),
            3 => net.split(&[a, b]),
            4 => {
                let most = net.rng.random_range(1..2_000) * MS;
                let cut = net.rng.random_bool(0.5);
                net.link(a, b, Link { cut, loss: 0.3, twice: 0.3, delay: (100, most) });
            }
            5 => net.every_link = Link { loss: 0.3, twice: 0.2, delay: (100, 300 * MS), ..GOOD },
            6 | 7 => net.nodes[a].paused = true,
            8 => net.start(a),
            9 => net.kill(a),
            10 => net.nodes[a].state = Disk::Full,
            _ => {
                for i in 0..5 {
                    net.nodes[i].state = Disk::Well;
                    if net.nodes[i].paused {
                        net.resume(i);
                    }
                }
            }
        }
        let wait = net.rng.random_range(50..1_500) * MS;
        net.run(wait);
    }
    net.heal();
    for i in 0..5 {
        net.nodes[i].state = Disk::Well;
        if net.nodes[i].duties.is_none() {
            net.start(i);
        } else if net.nodes[i].paused {
            net.resume(i);
        }
    }
    // A voter that could not store may wait for its next try as long as it has waited before.
    let took = net.until(60 * SECOND, Net::all_owned).unwrap_or_else(|| {
        let stand: Vec<String> = net
            .nodes
            .iter()
            .map(|n| {
                n.duties.as_ref().map_or("gone".into(), |d| {
                    let l = d.ledger().map(|l| (l.decided(), l.duties().count()));
                    format!(
                        "{:?} leads {} {l:?} owned {:?} last {:?}",
                        d.standing(),
                        d.leads(),
                        d.owned().collect::<Vec<_>>(),
                        n.events.last()
                    )
                })
            })
            .collect();
        panic!("seed {seed}: no owners: {stand:#?}")
    });
    assert!(net.broken.is_empty(), "seed {seed}: {:?}", &net.broken[..net.broken.len().min(3)]);
    (net.gaps, took)
}

/// Guards against two owners at a time, an epoch that goes back, and work that stays undone, whatever fails.
/// `DUTIES_SCHEDULES` asks for more than CI runs.
#[test]
fn whatever_fails_there_is_one_owner_at_a_time_and_one_again_afterwards() {
    let n = std::env::var("DUTIES_SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(20);
    let mut took: Vec<i64> = (0..n).map(|seed| drawn(1000 + seed).1).collect();
    took.sort_unstable();
    let (median, worst) = (took[took.len() / 2], took[took.len() - 1]);
    println!("{n} schedules: owners again after a median of {median} us, {worst} us at the worst");
    assert!(worst < 40 * SECOND, "{took:?}");
}

/// Guards against duties that change hands because links lose a third of all, though everybody is there.
#[test]
fn bad_links_do_not_make_duties_change_hands() {
    let mut changes = 0;
    for seed in 0..seeds(3) {
        let mut net = started(5, 3, 4, 400 + seed);
        let before = net.owners.len();
        net.every_link = Link { loss: 0.3, twice: 0.1, delay: (200, 20 * MS), ..GOOD };
        net.run(60 * SECOND);
        changes += net.owners.len() - before;
        assert!(net.broken.is_empty(), "{:?}", net.broken);
    }
    println!("{changes} changes");
    assert!(changes <= seeds(3) as usize, "{changes} changes of owners with all members there");
}
