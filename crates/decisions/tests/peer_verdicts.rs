//! What the module does with others' findings: a floor under its own scores, and no more.

use garnettally_decisions::*;

const SECOND: i64 = 1_000_000;

struct Instance {
    b: Balancer,
    now: Micros,
    acts: Vec<Action>,
    next: u64,
    /// Requests sent, by server.
    sent: Vec<usize>,
}

impl Instance {
    fn new(seed: u64, servers: u32) -> Instance {
        let class = Class { effect: Effect::Safe, aim: Micros(SECOND), ..Class::default() };
        let set = Settings { classes: vec![class], may_cancel: true, ..Settings::default() };
        let b = Balancer::new(set, seed, Micros(0));
        let sent = vec![0; servers as usize];
        let mut i = Instance { b, now: Micros(0), acts: Vec::new(), next: 0, sent };
        let list: Vec<ServerEntry> =
            (0..servers).map(|id| ServerEntry { server: ServerId(id), ..ServerEntry::default() }).collect();
        i.tell(Event::List { form: ListForm::Full, entries: &list });
        i
    }

    fn tell(&mut self, event: Event<'_>) {
        self.acts.clear();
        self.b.handle(self.now, event, &mut self.acts);
    }

    fn hear(&mut self, server: u32, bad: f64, tries: bool) {
        let heard = PeerVerdict {
            server: ServerId(server),
            class: None,
            severity: bad,
            found_at: self.now,
            probes_here: tries,
        };
        self.tell(Event::PeerVerdict(heard));
        self.now += Micros(SECOND / 5);
        self.tell(Event::Timer(0));
    }

    /// For so long, sixteen requests each 100 ms; a server answers in 10 ms, with this code.
    fn serve(&mut self, time: i64, code: impl Fn(u32) -> Code) {
        for _ in 0..time / 100_000 {
            self.now += Micros(80_000);
            let mut out = Vec::new();
            for _ in 0..16 {
                self.next += 1;
                let (id, expires) = (RequestId(self.next), self.now + Micros(SECOND));
                let (class, hint) = (ClassId(0), Some(Micros(10_000)));
                self.tell(Event::Request(NewRequest {
                    id,
                    class,
                    tenant: None,
                    expires,
                    hint,
                    repeat: false,
                    key: None,
                }));
                out.extend(self.sends());
            }
            self.now += Micros(10_000);
            while let Some((id, attempt, to)) = out.pop() {
                let code = code(to);
                let terminal = code == Code::Ok;
                let outcome = Outcome {
                    id,
                    attempt,
                    code,
                    latency: Micros(10_000),
                    local_delay: Micros(0),
                    is_final: terminal,
                    load: None,
                };
                self.tell(Event::Outcome(outcome));
                let again: Vec<_> = self.sends().into_iter().map(|(i, _, to)| (i, attempt + 1, to)).collect();
                out.extend(again);
            }
            self.now += Micros(10_000);
        }
    }

    /// What was sent just now, as first attempts.
    fn sends(&mut self) -> Vec<(RequestId, u32, u32)> {
        let sends = self.acts.iter().filter_map(|a| match a {
            Action::Send { id, server, .. } => Some((*id, 0, server.0)),
            _ => None,
        });
        let sends: Vec<_> = sends.collect();
        sends.iter().for_each(|(_, _, to)| self.sent[*to as usize] += 1);
        sends
    }

    fn sent_while(&mut self, time: i64, code: impl Fn(u32) -> Code) -> Vec<usize> {
        self.sent.iter_mut().for_each(|n| *n = 0);
        self.serve(time, code);
        self.sent.clone()
    }
}

fn well(_: u32) -> Code {
    Code::Ok
}

fn third_errs(server: u32) -> Code {
    match server {
        3 => Code::Error,
        _ => Code::Ok,
    }
}

/// Guards against each instance paying by itself to learn what others know, and paying again to let it back in.
#[test]
fn a_server_that_others_found_sick_gets_nothing_and_is_back_with_their_word() {
    let mut i = Instance::new(1, 8);
    i.serve(2 * SECOND, well);
    i.hear(3, 0.9, false);
    // For longer than any back-off: no trial is made.
    assert_eq!(i.sent_while(40 * SECOND, third_errs)[3], 0);
    i.hear(3, 0.0, false);
    let sent = i.sent_while(10 * SECOND, well);
    assert!(sent[3] * 16 > sent.iter().sum(), "back at once: {sent:?}");
}

/// Guards against words that leave an instance without servers.
#[test]
fn words_eject_no_more_than_the_share_that_own_findings_would() {
    let mut i = Instance::new(2, 12);
    i.serve(2 * SECOND, well);
    (0..12).for_each(|s| i.hear(s, 1.0, false));
    let served = i.sent_while(20 * SECOND, well).iter().filter(|n| **n > 0).count();
    assert!(served >= 8, "{served} of 12 servers are left");
}

/// Guards against hearsay that goes before what one sees oneself: by then it is old.
#[test]
fn a_good_answer_since_counts_for_more() {
    let mut i = Instance::new(3, 8);
    i.serve(2 * SECOND, well);
    let heard = PeerVerdict {
        server: ServerId(3),
        class: None,
        severity: 0.9,
        found_at: Micros(SECOND),
        probes_here: false,
    };
    i.tell(Event::PeerVerdict(heard));
    assert!(i.sent_while(5 * SECOND, well)[3] > 10);
}

/// Trials for the fleet: of fifty instances the three that are to try do, and the others wait for their word.
#[test]
fn a_sick_server_gets_the_trials_of_a_few() {
    let mut trials = 0;
    for n in 0..50 {
        let mut i = Instance::new(100 + n, 8);
        i.serve(2 * SECOND, well);
        i.hear(3, 0.9, n < 3);
        let sent = i.sent_while(20 * SECOND, third_errs);
        assert!(n >= 3 || (1..30).contains(&sent[3]), "instance {n} tries: {sent:?}");
        trials += sent[3];
    }
    assert!(trials <= 90, "{trials} in 20 s, of 50,000 requests");
}

/// Guards against rumours that feed themselves: what was only heard is not said on.
#[test]
fn what_was_heard_is_no_finding_of_ones_own() {
    let mut i = Instance::new(4, 8);
    i.serve(2 * SECOND, well);
    i.hear(3, 0.9, false);
    i.serve(2 * SECOND, third_errs);
    assert!(i.b.servers()[3].health.iter().any(|m| m.ejected_until.is_some()));
    assert!(!i.b.servers()[3].health.iter().any(|m| m.by_own_score));
    i.serve(5 * SECOND, |to| if to == 5 { Code::Error } else { Code::Ok });
    assert!(i.b.servers()[5].health.iter().any(|m| m.by_own_score && m.ejected_until.is_some()));
}

/// A server that started anew is not the one that was spoken of.
#[test]
fn words_end_with_the_life_that_they_are_of() {
    let mut i = Instance::new(5, 8);
    i.serve(2 * SECOND, well);
    i.hear(3, 0.9, false);
    let anew = ServerEntry { server: ServerId(3), started_at: Some(i.now), ..ServerEntry::default() };
    i.tell(Event::List { form: ListForm::Delta, entries: &[anew] });
    assert!(i.sent_while(10 * SECOND, well)[3] > 0);
}
