//! Tests of how a balancer uses the verdicts of its peers: as a lower bound of its own outlier scores, and
//! for nothing else.

use garnettally_decisions::*;

const SECOND_US: i64 = 1_000_000;

/// A balancer under test with its servers, in virtual time.
struct Instance {
    balancer: Balancer,
    now: Micros,
    actions: Vec<Action>,
    /// The number of the last request, from 1.
    last_request: u64,
    /// The number of attempts sent to each server.
    sent: Vec<usize>,
}

impl Instance {
    fn new(seed: u64, servers: u32) -> Instance {
        let class = Class { effect: Effect::Safe, aim: Micros(SECOND_US), ..Class::default() };
        let settings = Settings { classes: vec![class], may_cancel: true, ..Settings::default() };
        let balancer = Balancer::new(settings, seed, Micros(0));
        let sent = vec![0; servers as usize];
        let mut instance = Instance { balancer, now: Micros(0), actions: Vec::new(), last_request: 0, sent };
        let list: Vec<ServerEntry> =
            (0..servers).map(|id| ServerEntry { server: ServerId(id), ..ServerEntry::default() }).collect();
        instance.handle(Event::List { form: ListForm::Full, entries: &list });
        instance
    }

    fn handle(&mut self, event: Event<'_>) {
        self.actions.clear();
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// Hands in a verdict of the peers on a server, found just now, and lets a period of 200 ms pass.
    fn receive_verdict(&mut self, server: u32, severity: f64, probes_here: bool) {
        let verdict =
            PeerVerdict { server: ServerId(server), class: None, severity, found_at: self.now, probes_here };
        self.handle(Event::PeerVerdict(verdict));
        self.now += Micros(SECOND_US / 5);
        self.handle(Event::Timer(0));
    }

    /// Sends sixteen requests every 100 ms for `duration` microseconds. Each attempt ends after 10 ms with
    /// the code that `code` gives for its server.
    fn serve(&mut self, duration: i64, code: impl Fn(u32) -> Code) {
        for _ in 0..duration / 100_000 {
            self.now += Micros(80_000);
            let mut in_flight = Vec::new();
            for _ in 0..16 {
                self.last_request += 1;
                let (id, expires) = (RequestId(self.last_request), self.now + Micros(SECOND_US));
                let (class, hint) = (ClassId(0), Some(Micros(10_000)));
                self.handle(Event::Request(NewRequest {
                    id,
                    class,
                    tenant: None,
                    expires,
                    hint,
                    repeat: false,
                    key: None,
                }));
                in_flight.extend(self.count_sends());
            }
            self.now += Micros(10_000);
            while let Some((id, attempt, target)) = in_flight.pop() {
                let code = code(target);
                let is_final = code == Code::Ok;
                let outcome = Outcome {
                    id,
                    attempt,
                    code,
                    latency: Micros(10_000),
                    local_delay: Micros(0),
                    is_final,
                    load: None,
                };
                self.handle(Event::Outcome(outcome));
                let retries: Vec<_> =
                    self.count_sends().into_iter().map(|(id, _, target)| (id, attempt + 1, target)).collect();
                in_flight.extend(retries);
            }
            self.now += Micros(10_000);
        }
    }

    /// Counts the sends among the last actions, and returns the request, the attempt number 0 and the server
    /// of each.
    fn count_sends(&mut self) -> Vec<(RequestId, u32, u32)> {
        let sends = self.actions.iter().filter_map(|a| match a {
            Action::Send { id, server, .. } => Some((*id, 0, server.0)),
            _ => None,
        });
        let sends: Vec<_> = sends.collect();
        sends.iter().for_each(|(_, _, target)| self.sent[*target as usize] += 1);
        sends
    }

    /// Like [`Instance::serve`]. Returns the number of attempts that each server got in this time.
    fn sent_while(&mut self, duration: i64, code: impl Fn(u32) -> Code) -> Vec<usize> {
        self.sent.iter_mut().for_each(|n| *n = 0);
        self.serve(duration, code);
        self.sent.clone()
    }
}

/// Every server answers well.
fn healthy(_: u32) -> Code {
    Code::Ok
}

/// Server 3 answers with errors, and the others answer well.
fn server_3_fails(server: u32) -> Code {
    match server {
        3 => Code::Error,
        _ => Code::Ok,
    }
}

/// Guards against each instance losing requests of its own to detect a sick server that its peers have
/// already detected, and again to find out that the server has recovered.
#[test]
fn a_server_ejected_by_a_peer_verdict_gets_no_requests_until_the_verdict_ends() {
    let mut instance = Instance::new(1, 8);
    instance.serve(2 * SECOND_US, healthy);
    instance.receive_verdict(3, 0.9, false);
    // No probe attempt is made, although the time is longer than any back-off.
    assert_eq!(instance.sent_while(40 * SECOND_US, server_3_fails)[3], 0);
    instance.receive_verdict(3, 0.0, false);
    let sent = instance.sent_while(10 * SECOND_US, healthy);
    assert!(sent[3] * 16 > sent.iter().sum(), "the server should have its full share at once: {sent:?}");
}

/// Guards against peers' verdicts that leave an instance without servers.
#[test]
fn peer_verdicts_eject_no_larger_share_of_servers_than_own_scores_may() {
    let mut instance = Instance::new(2, 12);
    instance.serve(2 * SECOND_US, healthy);
    (0..12).for_each(|s| instance.receive_verdict(s, 1.0, false));
    let served = instance.sent_while(20 * SECOND_US, healthy).iter().filter(|n| **n > 0).count();
    assert!(served >= 8, "only {served} of 12 servers got requests");
}

/// Guards against a verdict of peers that overrides an instance's own later observation: by then the verdict
/// is outdated.
#[test]
fn a_good_answer_after_the_finding_outweighs_a_peer_verdict() {
    let mut instance = Instance::new(3, 8);
    instance.serve(2 * SECOND_US, healthy);
    let verdict = PeerVerdict {
        server: ServerId(3),
        class: None,
        severity: 0.9,
        found_at: Micros(SECOND_US),
        probes_here: false,
    };
    instance.handle(Event::PeerVerdict(verdict));
    assert!(instance.sent_while(5 * SECOND_US, healthy)[3] > 10);
}

/// Of fifty instances only the three that are assigned to probe the server for the fleet do so. The others
/// wait for the verdict to end.
#[test]
fn a_sick_server_is_probed_only_by_the_assigned_instances() {
    let mut probes = 0;
    for n in 0..50 {
        let mut instance = Instance::new(100 + n, 8);
        instance.serve(2 * SECOND_US, healthy);
        instance.receive_verdict(3, 0.9, n < 3);
        let sent = instance.sent_while(20 * SECOND_US, server_3_fails);
        assert!(
            n >= 3 || (1..30).contains(&sent[3]),
            "instance {n} is assigned to probe server 3, and sent {sent:?}"
        );
        probes += sent[3];
    }
    assert!(probes <= 90, "{probes} probe attempts in 20 s, of 50,000 requests");
}

/// Guards against verdicts that keep themselves alive: an instance must not report to its peers what it only
/// learned from them.
#[test]
fn a_peer_verdict_does_not_count_as_an_own_finding() {
    let mut instance = Instance::new(4, 8);
    instance.serve(2 * SECOND_US, healthy);
    instance.receive_verdict(3, 0.9, false);
    instance.serve(2 * SECOND_US, server_3_fails);
    assert!(instance.balancer.servers()[3].health.iter().any(|record| record.ejected_until.is_some()));
    assert!(!instance.balancer.servers()[3].health.iter().any(|record| record.by_own_score));
    instance.serve(5 * SECOND_US, |server| if server == 5 { Code::Error } else { Code::Ok });
    assert!(instance.balancer.servers()[5]
        .health
        .iter()
        .any(|record| record.by_own_score && record.ejected_until.is_some()));
}

/// A server that has restarted is no longer in the state that the verdict describes.
#[test]
fn a_peer_verdict_ends_when_its_server_restarts() {
    let mut instance = Instance::new(5, 8);
    instance.serve(2 * SECOND_US, healthy);
    instance.receive_verdict(3, 0.9, false);
    let restarted =
        ServerEntry { server: ServerId(3), started_at: Some(instance.now), ..ServerEntry::default() };
    instance.handle(Event::List { form: ListForm::Delta, entries: &[restarted] });
    assert!(instance.sent_while(10 * SECOND_US, healthy)[3] > 0);
}
