//! A bench for tests of the module: one instance, driven event by event in virtual time.
#![allow(dead_code)] // no test uses all of it

use garnettally_decisions::*;

/// A module with some servers, the time, and what it decided last.
pub struct Bench {
    pub b: Balancer,
    pub now: Micros,
    pub acts: Vec<Action>,
}

impl Bench {
    pub fn new(set: Settings, servers: u32) -> Bench {
        Bench::starting_from(ListForm::Full, set, servers)
    }

    pub fn starting_from(form: ListForm, set: Settings, servers: u32) -> Bench {
        let mut bench = Bench { b: Balancer::new(set, 11, Micros(0)), now: Micros(0), acts: Vec::new() };
        let list: Vec<_> = (0..servers).map(server).collect();
        bench.tell(Event::List { form, entries: &list });
        bench
    }

    pub fn tell(&mut self, event: Event<'_>) {
        self.b.handle(self.now, event, &mut self.acts);
    }

    /// Lets periods pass, 200 ms each.
    pub fn periods(&mut self, n: i64) {
        for _ in 0..n {
            self.now += Micros(200_000);
            self.tell(Event::Timer(0));
        }
    }

    /// Lets periods pass until something holds, so many at the most.
    pub fn periods_until(&mut self, most: usize, holds: impl Fn(&Bench) -> bool) {
        for _ in 0..most {
            if !holds(self) {
                self.periods(1);
            }
        }
    }

    /// The call for a watch is refused.
    pub fn refuse_watch(&mut self) {
        self.fail_call(CallFailure::Busy);
    }

    /// A call to discovery finds nobody there.
    pub fn meet_nobody(&mut self) {
        self.fail_call(CallFailure::NoConnection);
    }

    pub fn fail_call(&mut self, failure: CallFailure) {
        self.tell(Event::WatchFailed { complete_until: self.now, failure });
    }

    pub fn ask(&mut self, id: u64, work: i64) -> Option<u32> {
        self.ask_class(id, 0, work, 2_000_000)
    }

    pub fn ask_class(&mut self, id: u64, class: u32, work: i64, patience: i64) -> Option<u32> {
        self.acts.clear();
        let expires = self.now + Micros(patience);
        let (class, hint) = (ClassId(class), Some(Micros(work)));
        self.tell(Event::Request(NewRequest {
            id: RequestId(id),
            class,
            tenant: None,
            expires,
            hint,
            repeat: false,
            key: None,
        }));
        self.sent()
    }

    pub fn sent(&self) -> Option<u32> {
        self.acts.iter().find_map(|a| match a {
            Action::Send { server, .. } => Some(server.0),
            _ => None,
        })
    }

    /// The requests that were sent just now.
    pub fn sends(&self) -> Vec<u64> {
        let sends = self.acts.iter().filter_map(|a| match a {
            Action::Send { id, .. } => Some(id.0),
            _ => None,
        });
        sends.collect()
    }

    pub fn end(&mut self, id: u64, attempt: u32, code: Code, latency: i64, load: Option<LoadReport>) {
        self.end_held_up(id, attempt, code, (latency, 0), load);
    }

    /// The same where so much of the latency may be this process's own.
    pub fn end_held_up(
        &mut self,
        id: u64,
        attempt: u32,
        code: Code,
        (latency, held_up): (i64, i64),
        load: Option<LoadReport>,
    ) {
        self.acts.clear();
        let terminal = code == Code::Ok;
        let (id, latency, held_up) = (RequestId(id), Micros(latency), Micros(held_up));
        self.tell(Event::Outcome(Outcome {
            id,
            attempt,
            code,
            latency,
            local_delay: held_up,
            is_final: terminal,
            load,
        }));
    }
}

/// A server that is ready, in a cell of its own.
pub fn server(id: u32) -> ServerEntry {
    ServerEntry { server: ServerId(id), cell: i64::from(id), ..ServerEntry::default() }
}

/// One class with an aim of 1 s.
pub fn settings(effect: Effect) -> Settings {
    let class = Class { effect, aim: Micros(1_000_000), ..Class::default() };
    Settings { classes: vec![class], may_cancel: true, ..Settings::default() }
}
