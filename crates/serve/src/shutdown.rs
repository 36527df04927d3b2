//! The shutdown: after SIGTERM the balancer goes on for a while, then closes idle connections, and exits when
//! no response is outstanding any more.

use crate::Proxy;
use slog::info;
use std::time::{Duration, Instant};

/// The progress of the shutdown; the times are `None` before it begins.
#[derive(Default)]
pub struct Shutdown {
    /// The time until which connections are kept open between requests.
    keep_alive_until: Option<Instant>,
    /// The time until which new connections are accepted.
    accept_until: Option<Instant>,
    /// When the last response has to be written.
    respond_by: Option<Instant>,
    /// Whether connections close after their present request.
    is_closing: bool,
    /// Whether the listening sockets are closed.
    stopped_listening: bool,
}

impl Shutdown {
    /// Connections close after their present request.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Whether SIGTERM has been received.
    pub fn has_begun(&self) -> bool {
        self.keep_alive_until.is_some()
    }

    /// When the last response has to be written: whoever ended the process may not wait longer for it. `None`
    /// before SIGTERM.
    pub fn respond_by(&self) -> Option<Instant> {
        self.respond_by
    }

    /// When the next step is due. Once the listening sockets are closed, the last connections are checked
    /// every `interval`.
    pub fn next_wake(&self, interval: Duration) -> Option<Instant> {
        match (self.is_closing, self.stopped_listening) {
            (false, _) => self.keep_alive_until,
            (true, false) => self.accept_until,
            (true, true) => Some(Instant::now() + interval),
        }
    }
}

impl Proxy {
    /// Begins the shutdown on SIGTERM; a second signal has no effect.
    pub fn begin_shutdown(&mut self) {
        if self.shutdown.keep_alive_until.is_none() {
            info!(self.net.log, "told to end");
            let now = Instant::now();
            self.shutdown.keep_alive_until = Some(now + self.net.limits.drain_keepalive);
            self.shutdown.accept_until = Some(now + self.net.limits.drain_accept_time);
            self.shutdown.respond_by = Some(now + self.net.limits.drain_response_time);
        }
    }

    /// Performs the steps that are due.
    pub fn continue_shutdown(&mut self, now: Instant) {
        if !self.shutdown.is_closing && self.shutdown.keep_alive_until.is_some_and(|at| at <= now) {
            self.shutdown.is_closing = true;
        }
        if self.shutdown.is_closing || self.admin.closes_idle(&self.net, now) {
            self.close_idle_callers(now, true);
        }
        if self.shutdown.is_closing
            && !self.shutdown.stopped_listening
            && self.shutdown.accept_until.is_some_and(|at| at <= now)
        {
            // Connections that the kernel has accepted meanwhile are taken over before the listening socket
            // closes.
            self.accept_all();
            if self.callers.is_accepting_paused() && self.shutdown.respond_by.is_some_and(|by| now < by) {
                // There is no room for some of them, and closing the listening socket would reset these.
                self.shutdown.accept_until = Some(now + self.net.limits.accept_pause);
                return;
            }
            self.callers.stop_listening(&self.net);
            self.shutdown.stopped_listening = true;
        }
    }

    /// Whether the listening sockets are closed, no response is outstanding, and no connection lingers.
    pub fn is_finished(&self) -> bool {
        let linger = self.net.limits.drain_linger;
        self.shutdown.stopped_listening
            && !self.exchanges.has_pending()
            && !self.callers.has_outstanding_work(Instant::now(), linger)
    }
}
