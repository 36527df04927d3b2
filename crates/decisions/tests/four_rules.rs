//! Random legal events, fixed seeds, and a bookkeeper of its own that knows the six rules.

use garnettally_decisions::*;
use std::collections::BTreeMap;

const GRACE: Micros = Micros(20_000);
const KEY_REST: Micros = Micros(60_000);

struct Sent {
    server: u32,
    at: Micros,
    until: Micros,
    out: bool,
    may_have_run: bool,
    /// When it ended by a time-out, reset or cancel: its key rests from then on.
    unsure: Option<Micros>,
}

struct Asked {
    class: usize,
    expires: Micros,
    sends: Vec<Sent>,
    ended: bool,
    /// Where its class keeps order.
    key: Option<KeyId>,
    came: Micros,
}

struct World {
    rng: fastrand::Rng,
    set: Settings,
    now: Micros,
    balancer: Balancer,
    /// What discovery said last, and since when the balancer knows a server to be unfit.
    listed: BTreeMap<u32, (ServerEntry, Option<Micros>)>,
    asked: BTreeMap<u64, Asked>,
    timers: Vec<(Micros, u64)>,
    watch: bool,
    answers: [u32; 3],
    sends: u32,
    /// Sends that had to wait for their turn, and to servers that are called gone.
    turns: u32,
    to_gone: u32,
}

impl World {
    fn new(seed: u64, parallel: bool, must_ask: bool) -> World {
        let keyed = |group| Effect::Keyed { scope: group, window: Micros(400_000) };
        let effects = [
            Effect::Safe,
            Effect::Unsafe,
            keyed(DedupScope::All),
            keyed(DedupScope::Zone),
            keyed(DedupScope::Cell),
        ];
        // Bound classes: a kind, a zone, both, and a kind that is never met.
        let only_kinds = [vec![], vec![1], vec![], vec![0, 2], if seed % 8 == 7 { vec![9] } else { vec![] }];
        let only_zones = [vec![], vec![], vec![1], vec![0], vec![]];
        let classes = (0..5).map(|i| Class {
            effect: effects[i],
            aim: Micros(700_000),
            late_worth: if seed.is_multiple_of(2) { 0.5 } else { 0.0 },
            only_kinds: only_kinds[i].clone(),
            only_zones: only_zones[i].clone(),
            keep_order: i < 2 || (i == 4 && seed.is_multiple_of(2)),
            ..Class::default()
        });
        let set = Settings {
            instances: [1, 2, 300][seed as usize % 3],
            classes: classes.collect(),
            tenant_quota: vec![3.0, 1e9],
            over_share_worth: 0.1,
            worth_by_work: true,
            watch_on_request: must_ask,
            parallel_attempts: parallel,
            may_cancel: true,
            max_attempts: 3,
            key_pause: KEY_REST,
            removal_is_advisory: seed % 5 < 2,
            ..Settings::default()
        };
        World {
            rng: fastrand::Rng::with_seed(seed),
            balancer: Balancer::new(set.clone(), seed, Micros(5_000_000)),
            set,
            now: Micros(5_000_000),
            listed: BTreeMap::new(),
            asked: BTreeMap::new(),
            timers: Vec::new(),
            watch: false,
            answers: [0; 3],
            sends: 0,
            turns: 0,
            to_gone: 0,
        }
    }

    fn tell(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Send { id, server, timeout } => {
                if let Some(key) = self.asked[&id.0].key {
                    for (_, r) in self.asked.range(..id.0).filter(|(_, r)| r.key == Some(key)) {
                        assert!(r.ended, "rule 6: an earlier one is not over");
                        assert!(r.sends.iter().all(|s| !s.out), "rule 6: an earlier one has an attempt out");
                        let rests = |s: &Sent| s.unsure.is_some_and(|at| now < at + KEY_REST);
                        assert!(!r.sends.iter().any(rests), "rule 6: its key rests");
                    }
                    let r = &self.asked[&id.0];
                    self.turns += u32::from(r.sends.is_empty() && now > r.came);
                }
                let r = self.asked.get_mut(&id.0).expect("sent what was never asked");
                assert!(!r.ended, "rule 1: sent after the end");
                assert!(now < r.expires && r.sends.len() < self.set.max_attempts as usize);
                let (news, unfit) = self.listed[&server.0];
                assert!(unfit.is_none(), "rule 3: sent to {news:?}");
                self.to_gone += u32::from(news.state == ListedState::Removed);
                let class = &self.set.classes[r.class];
                assert!(class.only_kinds.is_empty() || class.only_kinds.contains(&news.kind), "rule 5: kind");
                assert!(class.only_zones.is_empty() || class.only_zones.contains(&news.zone), "rule 5: zone");
                assert!(
                    self.set.parallel_attempts || r.sends.iter().all(|s| !s.out),
                    "two at once where that is not allowed"
                );
                for s in r.sends.iter().filter(|s| s.may_have_run) {
                    let first = self.listed[&s.server].0;
                    match self.set.classes[r.class].effect {
                        Effect::Safe => {}
                        Effect::Unsafe => panic!("rule 2: unsafe sent again"),
                        Effect::Keyed { scope: group, window } => {
                            assert!(now - s.at <= window, "rule 2: sent past the window");
                            match group {
                                DedupScope::All => {}
                                DedupScope::Zone => assert_eq!(first.zone, news.zone, "rule 2: zone"),
                                DedupScope::Cell => assert_eq!(first.cell, news.cell, "rule 2: cell"),
                            }
                        }
                    }
                }
                let until = (now + timeout).min(r.expires);
                r.sends.push(Sent {
                    server: server.0,
                    at: now,
                    until,
                    out: true,
                    may_have_run: true,
                    unsure: None,
                });
                self.sends += 1;
            }
            Action::Refuse { id, .. } | Action::Fail { id } => {
                let refused = matches!(action, Action::Refuse { .. });
                let r = self.asked.get_mut(&id.0).expect("answered what was never asked");
                assert!(!r.ended, "rule 1: a second answer");
                assert!(now <= r.expires + GRACE, "rule 1: answered late");
                let free = matches!(
                    self.set.classes[r.class].effect,
                    Effect::Safe | Effect::Keyed { scope: DedupScope::All, .. }
                );
                assert!(
                    !refused || free || r.sends.iter().all(|s| !s.may_have_run),
                    "rule 2: refused what may have run"
                );
                r.ended = true;
                self.answers[if refused { 1 } else { 2 }] += 1;
            }
            Action::Cancel { id, attempt } => {
                assert!(self.asked[&id.0].sends.len() > attempt as usize);
            }
            Action::Timer { at, token } => self.timers.push((at.max(Micros(now.0 + 1)), token)),
            Action::Watch => self.watch = true,
            Action::Log(_) => {}
        }
    }

    fn outcome(&mut self, id: u64, n: usize, code: Code) {
        let r = self.asked.get_mut(&id).unwrap();
        let s = &mut r.sends[n];
        if !s.out {
            return;
        }
        s.out = false;
        s.may_have_run = !matches!(code, Code::Full | Code::ConnectFailed | Code::Moot);
        s.unsure = matches!(code, Code::Timeout | Code::Reset | Code::Cancelled).then_some(self.now);
        let latency = self.now - s.at;
        if code == Code::Ok && !r.ended {
            r.ended = true;
            self.answers[0] += 1;
        }
        let terminal = r.ended;
        let attempt = n as u32;
        let load = self.rng.bool().then(|| LoadReport { in_flight: Some(self.rng.f64() * 9.0) });
        self.tell(Event::Outcome(Outcome {
            id: RequestId(id),
            attempt,
            code,
            latency,
            local_delay: Micros(0),
            is_final: terminal,
            load,
        }));
    }

    fn news(&mut self) {
        let Some(form) =
            [Some(ListForm::Delta), Some(ListForm::Full), Some(ListForm::Cached), None][self.rng.usize(0..4)]
        else {
            if self.watch {
                let since = self.now - Micros(self.rng.i64(0..5_000_000));
                let failures = [CallFailure::Busy, CallFailure::NoConnection, CallFailure::NoSocket];
                let failure = failures[self.rng.usize(0..3)];
                self.tell(Event::WatchFailed { complete_until: since, failure });
            }
            return;
        };
        let mut entries = Vec::new();
        for id in 0..8u32 {
            if self.rng.u32(0..4) == 0 {
                continue;
            }
            let state = match self.rng.u32(0..8) {
                0 => ListedState::Draining,
                1 if form == ListForm::Delta => ListedState::Removed,
                _ => ListedState::Ready,
            };
            let since = self.rng.bool().then(|| self.now - Micros(self.rng.i64(0..4_000_000)));
            let units = self.rng.f64() * 2.0;
            let (server, zone, cell) = (ServerId(id), id / 4, i64::from(id / 2));
            entries.push(ServerEntry {
                server,
                zone,
                kind: id % 3,
                cell,
                ring_key: u64::from(id * 7 % 8),
                state,
                units,
                started_at: since,
            });
        }
        // Where draining alone binds, gone and left out unbind nothing and bind nobody.
        let alone = self.set.removal_is_advisory;
        for e in &entries {
            let was = self.listed.get(&e.server.0).and_then(|l| l.1);
            let unfit = match e.state {
                ListedState::Ready => None,
                ListedState::Removed if alone => was,
                _ => Some(self.now),
            };
            self.listed.insert(e.server.0, (*e, unfit));
        }
        if form != ListForm::Delta {
            for (id, (news, unfit)) in self.listed.iter_mut() {
                if !entries.iter().any(|e| e.server.0 == *id) {
                    news.state = ListedState::Removed;
                    *unfit = if alone { *unfit } else { Some(self.now) };
                }
            }
        }
        self.tell(Event::List { form, entries: &entries });
    }

    /// Timers and time-outs that are due, oldest first.
    fn advance(&mut self, to: Micros) {
        loop {
            let timer = self.timers.iter().enumerate().min_by_key(|(_, t)| t.0).map(|(i, t)| (t.0, i));
            let out = self.asked.iter().flat_map(|(&id, r)| {
                r.sends.iter().enumerate().filter(|(_, s)| s.out).map(move |(n, s)| (s.until, id, n))
            });
            let out = out.min();
            match (timer, out) {
                (Some((at, i)), o) if at <= to && o.is_none_or(|(u, ..)| at <= u) => {
                    self.now = self.now.max(at);
                    let token = self.timers.swap_remove(i).1;
                    self.tell(Event::Timer(token));
                }
                (_, Some((until, id, n))) if until <= to => {
                    self.now = self.now.max(until);
                    self.outcome(id, n, Code::Timeout);
                }
                _ => break,
            }
        }
        self.now = to;
        for r in self.asked.values() {
            assert!(r.ended || to <= r.expires + GRACE, "rule 1: never answered");
        }
    }

    fn step(&mut self, next: &mut u64) {
        let to = self.now + Micros(self.rng.i64(0..15_000));
        self.advance(to);
        match self.rng.u32(0..100) {
            0..=44 => {
                let class = self.rng.usize(0..5);
                let expires = self.now + Micros(self.rng.i64(-1_000..1_500_000));
                let hint = [None, Some(Micros(0)), Some(Micros(self.rng.i64(1..300_000)))];
                let hint = hint[self.rng.usize(0..3)];
                let tenant = self.rng.bool().then(|| TenantId(self.rng.u32(0..3)));
                let id = *next;
                *next += 1;
                let key = self.rng.bool().then(|| KeyId(self.rng.u64(0..4)));
                let ordered = key.filter(|_| self.set.classes[class].keep_order);
                self.asked.insert(
                    id,
                    Asked { class, expires, sends: Vec::new(), ended: false, key: ordered, came: self.now },
                );
                let class = ClassId(class as u32);
                let (id, repeat) = (RequestId(id), self.rng.bool());
                self.tell(Event::Request(NewRequest { id, class, tenant, expires, hint, repeat, key }));
            }
            45..=89 => {
                let open = self.asked.iter().flat_map(|(&id, r)| {
                    r.sends.iter().enumerate().filter(|(_, s)| s.out).map(move |(n, _)| (id, n))
                });
                let open: Vec<_> = open.collect();
                if !open.is_empty() {
                    let (id, n) = open[self.rng.usize(0..open.len())];
                    let codes = [Code::Ok, Code::Ok, Code::Error, Code::Full, Code::ConnectFailed];
                    let rare = [Code::Reset, Code::Cancelled, Code::Moot];
                    let all = [codes.as_slice(), &rare].concat();
                    let code = all[self.rng.usize(0..all.len())];
                    self.outcome(id, n, code);
                }
            }
            90..=92 => self.news(),
            93..=95 => {
                let open: Vec<u64> = self.asked.iter().filter(|(_, r)| !r.ended).map(|(&id, _)| id).collect();
                if !open.is_empty() {
                    let id = open[self.rng.usize(0..open.len())];
                    self.asked.get_mut(&id).unwrap().ended = true;
                    self.tell(Event::ClientLeft(RequestId(id)));
                }
            }
            // Odd but legal: stale timers, notices and outcomes of what has ended or never was.
            _ => {
                let id = RequestId(self.rng.u64(0..*next + 3));
                if self.asked.get(&id.0).is_none_or(|r| r.ended && r.sends.iter().all(|s| !s.out)) {
                    self.tell(Event::ClientLeft(id));
                    let (code, latency, attempt) = (Code::Ok, Micros(1), self.rng.u32(0..9));
                    self.tell(Event::Outcome(Outcome {
                        id,
                        attempt,
                        code,
                        latency,
                        local_delay: Micros(0),
                        is_final: true,
                        load: None,
                    }));
                }
                let token = self.rng.u64(0..1 << 63);
                self.tell(Event::Timer(token));
            }
        }
    }
}

#[test]
fn random_legal_events_keep_the_rules() {
    let (mut answers, mut sends, mut turns, mut to_gone) = ([0; 3], 0, 0, 0);
    for seed in 0..28 {
        let mut world = World::new(seed, seed.is_multiple_of(3), seed % 4 < 2);
        let mut next = 0;
        for _ in 0..1_500 {
            world.step(&mut next);
        }
        let end = world.now + Micros(3_000_000);
        world.advance(end);
        for (a, b) in answers.iter_mut().zip(world.answers) {
            *a += b;
        }
        sends += world.sends;
        turns += world.turns;
        to_gone += world.to_gone;
    }
    // The day was no idle one: all three answers came up, and retries too.
    assert!(answers.iter().all(|&a| a > 400) && sends > answers[0] + 800, "{answers:?} {sends}");
    // Turns were waited for, and servers called gone were used where they may be.
    assert!(turns > 100 && to_gone > 80, "{turns} {to_gone}");
}
