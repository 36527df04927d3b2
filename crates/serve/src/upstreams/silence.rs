//! Bodies that pass through while one side is silent.
//!
//! Nothing else can take the place of a body that has begun, so ending it gains room alone. An upstream that
//! pauses can't be told from one that is gone: its body is ended when its room is needed, or at last.

use super::transfers::{Transfer, TransferEnd, UpstreamFailure};
use super::Conn;
use crate::callers::Callers;
use crate::exchange::Exchanges;
use crate::{ConnId, Limits, Proxy};
use garnettally_decisions::facade::RequestId;
use std::time::{Duration, Instant};

/// Whether a body is ended whose upstream has been silent for this long while its client waits.
pub(super) fn is_silence_over(silent_for: Duration, is_room_needed: bool, limits: &Limits) -> bool {
    let most = if is_room_needed { limits.max_transfer_pause } else { limits.max_upstream_silence };
    silent_for >= most
}

/// The users of the limits that a body which is ended would free.
pub struct FreedRoom<'a> {
    /// The connection to the upstream.
    pub upstream: &'a Conn,
    /// The callers' connections, and that of this body's caller.
    pub callers: &'a Callers,
    pub caller: ConnId,
    /// The requests, and that of this body.
    pub exchanges: &'a Exchanges,
    pub request: RequestId,
}

impl Proxy {
    /// Ends the bodies whose client has read nothing for too long, and those whose upstream is silent and
    /// whose time is over.
    pub fn sweep_transfers(&mut self, now: Instant) {
        // From then on the process may be killed at any time.
        let is_room_needed = self.shutdown.respond_by().is_some_and(|by| by <= now);
        let max_pause = self.net.limits.max_transfer_pause;
        let (mut stalled, mut silent) = (Vec::new(), Vec::new());
        for (&id, conn) in &self.upstreams.conns {
            let Some(transfer) = &conn.transfer else { continue };
            match self.upstream_silent_since(conn, transfer) {
                Some(since) => {
                    let silent_for = now.saturating_duration_since(since);
                    silent
                        .extend(is_silence_over(silent_for, is_room_needed, &self.net.limits).then_some(id));
                }
                None => {
                    let written_at = self.callers.last_written_at(transfer.caller).unwrap_or(now);
                    let has_stalled = now.saturating_duration_since(written_at) >= max_pause;
                    stalled.extend(has_stalled.then_some(transfer.caller));
                }
            }
        }
        for caller in stalled {
            self.caller_stalled(caller);
        }
        let why = if is_room_needed { UpstreamFailure::Displaced } else { UpstreamFailure::Silent };
        for id in silent {
            self.end_transfer(id, TransferEnd::UpstreamFailed(why));
        }
    }

    /// Since when a body waits for its upstream; `None`: it waits for its client to read.
    fn upstream_silent_since(&self, conn: &Conn, transfer: &Transfer) -> Option<Instant> {
        if self.callers.backlog_bytes(transfer.caller) > 0 {
            return None;
        }
        let written_at = self.callers.last_written_at(transfer.caller);
        Some(written_at.map_or(conn.response.last_bytes_at, |at| at.max(conn.response.last_bytes_at)))
    }

    /// Ends the body whose upstream has been silent for longest, of those that have been for long enough and
    /// whose room is of use. Returns whether there was one.
    pub fn displace_silent_transfer(&mut self, is_useful: impl Fn(FreedRoom<'_>) -> bool) -> bool {
        let now = Instant::now();
        let candidates = self.upstreams.conns.iter().filter_map(|(&id, conn)| {
            let transfer = conn.transfer.as_ref()?;
            let since = self.upstream_silent_since(conn, transfer)?;
            let is_over = is_silence_over(now.saturating_duration_since(since), true, &self.net.limits);
            let (caller, request) = (transfer.caller, transfer.request);
            let (callers, exchanges) = (&self.callers, &self.exchanges);
            let room = FreedRoom { upstream: conn, callers, caller, exchanges, request };
            (is_over && is_useful(room)).then_some((since, id))
        });
        let Some((_, id)) = candidates.min() else { return false };
        self.end_transfer(id, TransferEnd::UpstreamFailed(UpstreamFailure::Displaced));
        true
    }
}
