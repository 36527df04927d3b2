//! A harness for tests of the decision module: one balancer, driven event by event in virtual time.
#![allow(dead_code)] // each test file uses only some of the methods

use garnettally_decisions::*;

/// A balancer under test, the virtual time, and the actions that it returned.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Micros,
    /// The actions returned since a test or a method of the harness last cleared them.
    pub actions: Vec<Action>,
}

impl Harness {
    /// Starts a balancer at time 0 with a full list of `servers` ready servers.
    pub fn new(settings: Settings, servers: u32) -> Harness {
        Harness::starting_from(ListForm::Full, settings, servers)
    }

    /// Starts a balancer at time 0 with a list of `servers` ready servers in the given form.
    pub fn starting_from(form: ListForm, settings: Settings, servers: u32) -> Harness {
        let mut harness =
            Harness { balancer: Balancer::new(settings, 11, Micros(0)), now: Micros(0), actions: Vec::new() };
        let list: Vec<_> = (0..servers).map(server).collect();
        harness.handle(Event::List { form, entries: &list });
        harness
    }

    /// Hands the balancer one event at the present time.
    pub fn handle(&mut self, event: Event<'_>) {
        self.balancer.handle(self.now, event, &mut self.actions);
    }

    /// Advances the time by `count` periods of 200 ms, with a timer event at the end of each.
    pub fn advance_periods(&mut self, count: i64) {
        for _ in 0..count {
            self.now += Micros(200_000);
            self.handle(Event::Timer(0));
        }
    }

    /// Advances period by period until the condition holds, by at most `max_periods`.
    pub fn advance_periods_until(&mut self, max_periods: usize, condition: impl Fn(&Harness) -> bool) {
        for _ in 0..max_periods {
            if !condition(self) {
                self.advance_periods(1);
            }
        }
    }

    /// Reports that discovery answered the call for a watch with 503.
    pub fn fail_watch_as_busy(&mut self) {
        self.fail_watch(CallFailure::Busy);
    }

    /// Reports that a call to discovery got no connection.
    pub fn fail_watch_without_connection(&mut self) {
        self.fail_watch(CallFailure::NoConnection);
    }

    /// Reports that a call for a watch failed at the present time, with nothing missed until then.
    pub fn fail_watch(&mut self, failure: CallFailure) {
        self.handle(Event::WatchFailed { complete_until: self.now, failure });
    }

    /// Submits a request of class 0 that expires in 2 s and returns the server that it was sent to at once.
    pub fn submit(&mut self, id: u64, work: i64) -> Option<u32> {
        self.submit_to_class(id, 0, work, 2_000_000)
    }

    /// Submits a request of a class, with `work` (its cost hint) and `time_left` (until it expires) in
    /// microseconds. Returns the server that it was sent to at once.
    pub fn submit_to_class(&mut self, id: u64, class: u32, work: i64, time_left: i64) -> Option<u32> {
        self.actions.clear();
        let expires = self.now + Micros(time_left);
        let (class, hint) = (ClassId(class), Some(Micros(work)));
        self.handle(Event::Request(NewRequest {
            id: RequestId(id),
            class,
            tenant: None,
            expires,
            hint,
            repeat: false,
            key: None,
        }));
        self.first_target()
    }

    /// Returns the server of the first send among the present actions.
    pub fn first_target(&self) -> Option<u32> {
        self.actions.iter().find_map(|a| match a {
            Action::Send { server, .. } => Some(server.0),
            _ => None,
        })
    }

    /// The requests that the present actions send.
    pub fn sent_requests(&self) -> Vec<u64> {
        let sends = self.actions.iter().filter_map(|a| match a {
            Action::Send { id, .. } => Some(id.0),
            _ => None,
        });
        sends.collect()
    }

    /// Reports the end of an attempt after `latency` microseconds. It is final for its request if the code is
    /// `Ok`.
    pub fn end_attempt(&mut self, id: u64, attempt: u32, code: Code, latency: i64, load: Option<LoadReport>) {
        self.end_delayed_attempt(id, attempt, code, (latency, 0), load);
    }

    /// Like [`Harness::end_attempt`], where up to `local_delay` microseconds of the latency may come from
    /// this process.
    pub fn end_delayed_attempt(
        &mut self,
        id: u64,
        attempt: u32,
        code: Code,
        (latency, local_delay): (i64, i64),
        load: Option<LoadReport>,
    ) {
        self.actions.clear();
        let is_final = code == Code::Ok;
        let (id, latency, local_delay) = (RequestId(id), Micros(latency), Micros(local_delay));
        self.handle(Event::Outcome(Outcome { id, attempt, code, latency, local_delay, is_final, load }));
    }
}

/// The list entry of a ready server that is alone in its cell.
pub fn server(id: u32) -> ServerEntry {
    ServerEntry { server: ServerId(id), cell: i64::from(id), ..ServerEntry::default() }
}

/// Settings with a single class, whose aim is 1 s, and with cancellation allowed.
pub fn one_class_settings(effect: Effect) -> Settings {
    let class = Class { effect, aim: Micros(1_000_000), ..Class::default() };
    Settings { classes: vec![class], may_cancel: true, ..Settings::default() }
}
