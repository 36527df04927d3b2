//! The end: after SIGTERM the balancer goes on for a while, then closes what is idle and leaves when nothing
//! is owed any more.

use crate::Proxy;
use slog::info;
use std::time::{Duration, Instant};

/// How far the end has come.
#[derive(Default)]
pub struct Shutdown {
    keep_until: Option<Instant>,
    accept_until: Option<Instant>,
    answer_by: Option<Instant>,
    closing: bool,
    deaf: bool,
}

impl Shutdown {
    /// Connections close after their present request.
    pub fn closing(&self) -> bool {
        self.closing
    }

    /// The program was told to end.
    pub fn ending(&self) -> bool {
        self.keep_until.is_some()
    }

    /// When the last answer is due: who has told the program to end may not wait for longer.
    pub fn answer_by(&self) -> Option<Instant> {
        self.answer_by
    }

    /// When its next step is due; at the end, whether the last peers have gone is looked at every `rest`.
    pub fn next_wake(&self, rest: Duration) -> Option<Instant> {
        match (self.closing, self.deaf) {
            (false, _) => self.keep_until,
            (true, false) => self.accept_until,
            (true, true) => Some(Instant::now() + rest),
        }
    }
}

impl Proxy {
    /// SIGTERM has come.
    pub fn begin_shutdown(&mut self) {
        if self.shutdown.keep_until.is_none() {
            info!(self.net.log, "told to end");
            let now = Instant::now();
            self.shutdown.keep_until = Some(now + self.net.limits.drain_keepalive);
            self.shutdown.accept_until = Some(now + self.net.limits.drain_accept_time);
            self.shutdown.answer_by = Some(now + self.net.limits.drain_response_time);
        }
    }

    /// Takes the steps that are due.
    pub fn continue_shutdown(&mut self, now: Instant) {
        if !self.shutdown.closing && self.shutdown.keep_until.is_some_and(|at| at <= now) {
            self.shutdown.closing = true;
        }
        if self.shutdown.closing || self.admin.closes_idle(&self.net, now) {
            self.close_idle_callers(now, true);
        }
        if self.shutdown.closing
            && !self.shutdown.deaf
            && self.shutdown.accept_until.is_some_and(|at| at <= now)
        {
            // What the kernel has accepted meanwhile is taken already.
            self.accept_all();
            if self.callers.is_accepting_paused() && self.shutdown.answer_by.is_some_and(|by| now < by) {
                // There is no room for some of it: closing the listener would reset them.
                self.shutdown.accept_until = Some(now + self.net.limits.accept_pause);
                return;
            }
            self.callers.stop_listening(&self.net);
            self.shutdown.deaf = true;
        }
    }

    /// Nothing is owed and nobody is listened to.
    pub fn finished(&self) -> bool {
        let linger = self.net.limits.drain_linger;
        self.shutdown.deaf
            && !self.exchanges.has_pending()
            && !self.callers.has_outstanding_work(Instant::now(), linger)
    }
}
