//! The network side of the balancer: it reads requests from sockets, asks the decision module of their pool,
//! and carries out its decisions on sockets.
//!
//! A request passes through the modules in this order: `callers` (listeners and their connections) reads it
//! with the codec `http`, `admission` finds its route, class and pool, `exchange` tracks it until its
//! response, `pools` runs the decision modules, and `upstreams` carries its attempts. `source` and
//! `discovery` provide the lists of nodes, `reservation` accounts for what connections and requests take of
//! the limits, `plan` describes what is served, `reload` applies changes to it, and `shutdown` ends the
//! process. `fleet`, if the operator's file configures it, is the link to the other balancers, and `duties`
//! runs the work that one member does on behalf of the fleet. [`Proxy`] is the state that the event loop
//! passes to all of them.
#![forbid(unsafe_code)]

mod admin;
mod admission;
mod callers;
mod clock;
mod discovered_hosts;
mod discovery;
mod duties;
mod exchange;
mod export;
mod fleet;
mod http;
mod memory;
mod outgoing;
pub mod plan;
mod pools;
mod reasons;
mod reload;
mod reservation;
mod rounds;
mod shutdown;
mod socket_errors;
mod source;
mod stats;
mod turns;
mod upstreams;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use clock::Clock;
use garnettally_config::file::format::LogRequests;
pub use garnettally_config::Limits;
use garnettally_decisions::facade::{MessageMemory, Report};
use garnettally_routing::budget::HolderId;
use garnettally_routing::pins::Pins;
use memory::MemoryMeter;
use plan::{Plan, RequestMatching};
use pools::PoolId;
use reservation::{Reservation, SharedBudget};
use rounds::Rounds;
use slog::{info, Logger};
use socket2::{Domain, Protocol, Socket, Type};
use socket_errors::is_connecting;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Instant, SystemTime};

/// The number of a connection; numbers are never reused.
pub type ConnId = u64;

/// The state of one balancer process.
pub struct Proxy {
    net: Net,
    budgets: pools::Budgets,
    callers: callers::Callers,
    pools: pools::Pools,
    upstreams: upstreams::Upstreams,
    exchanges: exchange::Exchanges,
    /// The active version of the operator's file; `None`: the process serves the platform's protocol.
    active_config: Option<Rc<admission::ActiveConfig>>,
    pins: Pins<PoolId>,
    /// Seeds the hash of request keys, so that outsiders can't construct keys that collide.
    key_seed: u64,
    /// Seeds the random numbers of new pools.
    seed: u64,
    log_requests: LogRequests,
    reload: reload::ReloadState,
    shutdown: shutdown::Shutdown,
    admin: admin::Admin,
    /// The link to the other balancers; `None` unless the operator's file has `[fleet]`.
    fleet: Option<fleet::Fleet>,
    stats: stats::Stats,
    /// When aged connections, pools and listeners are examined next.
    next_sweep: Instant,
}

/// The part of the state that every module needs to serve sockets.
pub struct Net {
    pub handle: LoopHandle<'static, Proxy>,
    pub log: Logger,
    pub limits: Limits,
    pub clock: Clock,
    pub rng: fastrand::Rng,
    /// Tracks when the event loop last polled the sockets.
    pub rounds: Rounds,
    /// Counts the memory that messages take.
    pub memory: MemoryMeter,
    /// The buffer for a single read.
    scratch: Vec<u8>,
    /// The number given to the newest connection.
    last_connection: ConnId,
}

/// The state of a stream after reading from it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ReadStatus {
    /// The peer may send more.
    Open,
    /// The peer has ended its sending.
    Ended,
    /// Reading failed.
    Broken,
}

/// A stream that is registered with the event loop.
pub struct WatchedStream {
    pub stream: Rc<TcpStream>,
    token: RegistrationToken,
}

impl Net {
    /// Returns the number for a new connection.
    pub fn next_connection_id(&mut self) -> ConnId {
        self.last_connection += 1;
        self.last_connection
    }

    /// Registers a stream with the event loop, which calls `ready` whenever it becomes readable or writable
    /// (edge-triggered).
    pub fn watch(
        &self,
        stream: TcpStream,
        ready: impl Fn(&mut Proxy, Readiness) + 'static,
    ) -> io::Result<WatchedStream> {
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = self.handle.insert_source(source, move |readiness, _, proxy: &mut Proxy| {
            ready(proxy, readiness);
            Ok(PostAction::Continue)
        });
        Ok(WatchedStream { stream, token: token.map_err(|e| io::Error::other(e.error))? })
    }

    /// Removes a stream from the event loop. The stream closes once its last reference is dropped.
    pub fn unwatch(&self, watched: WatchedStream) {
        self.handle.remove(watched.token);
    }

    /// The bounds on the memory that messages take.
    pub fn message_memory(&self) -> MessageMemory {
        MessageMemory {
            requests: self.limits.max_requests_memory_bytes,
            responses: self.limits.max_responses_memory_bytes,
        }
    }

    /// Reads and discards available bytes until the socket has none left or `max_bytes` were discarded.
    /// Returns whether bytes may be left, too.
    pub fn discard(&mut self, mut stream: &TcpStream, max_bytes: usize) -> (ReadStatus, bool) {
        let mut discarded = 0;
        while discarded < max_bytes {
            match stream.read(&mut self.scratch) {
                Ok(0) => return (ReadStatus::Ended, false),
                Ok(n) => discarded += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return (ReadStatus::Open, false),
                Err(_) => return (ReadStatus::Broken, false),
            }
        }
        (ReadStatus::Open, true)
    }

    /// Appends available bytes to `buf` until the socket has none left or `buf` holds more than `max_bytes`.
    pub fn read(&mut self, mut stream: &TcpStream, buf: &mut Vec<u8>, max_bytes: usize) -> ReadStatus {
        while buf.len() <= max_bytes {
            let wanted = (max_bytes + 1 - buf.len()).min(self.scratch.len());
            match stream.read(&mut self.scratch[..wanted]) {
                Ok(0) => return ReadStatus::Ended,
                Ok(n) => memory::append(buf, &self.scratch[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadStatus::Open,
                Err(_) => return ReadStatus::Broken,
            }
        }
        ReadStatus::Open
    }
}

/// Starts a non-blocking connect; the stream becomes writable once the connection is established.
fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    loop {
        match socket.connect(&address.into()) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if !is_connecting(&e) => return Err(e),
            _ => return Ok(socket.into()),
        }
    }
}

/// Writes the bytes of `buf` from `written` on, as far as the socket accepts them, and advances `written`.
/// After an error the connection is unusable.
pub fn write_pending(mut stream: &TcpStream, buf: &[u8], written: &mut usize) -> io::Result<()> {
    while *written < buf.len() {
        match stream.write(&buf[*written..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => *written += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Serves until the process has received SIGTERM and every outstanding response is written. The error of a
/// failed start or of the event loop is returned as text.
pub fn serve(plan: Plan, log: Logger, signals: Signals) -> Result<(), String> {
    let mut events: EventLoop<'static, Proxy> = EventLoop::try_new().map_err(|e| e.to_string())?;
    let clock = Clock::new(Instant::now(), SystemTime::now());
    let limits = plan.limits;
    let rng = fastrand::Rng::with_seed(plan.seed);
    let scratch = vec![0; limits.read_chunk_bytes];
    let now = Instant::now();
    let rounds = Rounds::new(now);
    let waker = events.handle().insert_source(rounds.waker(), |(), (), _| ());
    waker.map_err(|e| format!("event loop: {e}"))?;
    let net = Net {
        handle: events.handle(),
        log,
        limits,
        clock,
        rng,
        rounds,
        memory: MemoryMeter::default(),
        scratch,
        last_connection: 0,
    };
    let budgets = pools::Budgets {
        requests: SharedBudget::new(plan.max_requests),
        connections: SharedBudget::new(net.limits.max_connections),
        callers: SharedBudget::new(net.limits.max_caller_connections + 1),
        copies: SharedBudget::new(usize::MAX),
    };
    let mut callers = callers::Callers::default();
    for listener in plan.listeners {
        let (name, address) = (listener.name.clone(), listener.address);
        let bound = callers::bind(&net, address, true);
        let added = bound.and_then(|bound| {
            // With port 0 the system chooses the port, and only this log line reports it.
            let address = bound.local_addr()?;
            info!(net.log, "listening"; "name" => &plan.name, "listener" => name, "address" => %address);
            callers.add_listener(&net, &budgets, listener, bound)
        });
        added.map_err(|e| format!("can't listen on {address}: {e}"))?;
    }
    let key_seed = plan.seed.rotate_left(32) ^ 0x6b65_7973;
    let mut proxy = Proxy {
        budgets,
        callers,
        pools: pools::Pools::default(),
        upstreams: upstreams::Upstreams::default(),
        exchanges: exchange::Exchanges::default(),
        active_config: None,
        pins: Pins::new(plan.max_pinned_keys),
        key_seed,
        seed: plan.seed,
        log_requests: plan.log_requests,
        reload: reload::ReloadState::new(plan.reload),
        shutdown: shutdown::Shutdown::default(),
        admin: admin::Admin::default(),
        fleet: None,
        stats: stats::Stats::default(),
        next_sweep: now,
        net,
    };
    if let Some(address) = plan.admin {
        proxy
            .admin
            .listen(&proxy.net, address)
            .map_err(|e| format!("can't listen on {address} (admin): {e}"))?;
    }
    if let Some(settings) = plan.fleet {
        proxy.fleet = Some(fleet::Fleet::start(&proxy.net, settings)?);
    }
    for pool in &plan.pools {
        pool.site.names.classes().iter().for_each(|c| proxy.stats.register_class(c));
    }
    if let (RequestMatching::Platform, Some(pool)) = (&plan.matching, plan.pools.first()) {
        proxy.reload.platform_settings = Some(reload::fingerprint(&pool.site));
    }
    let pools = plan.pools.into_iter().map(|pool| proxy.add_pool(pool, plan.seed, now)).collect();
    if let RequestMatching::Routes(operator) = plan.matching {
        proxy.activate_version(*operator, pools);
    }
    events
        .handle()
        .insert_source(signals, |event, _, proxy| match event.signal() {
            Signal::SIGHUP => proxy.reload(Instant::now()),
            // The write that exceeded the file size limit has failed with an error; the signal needs no
            // action.
            Signal::SIGXFSZ => {}
            _ => proxy.begin_shutdown(),
        })
        .map_err(|e| e.to_string())?;
    while !proxy.is_finished() {
        let wake_at = proxy.next_wake();
        let now = Instant::now();
        proxy.net.rounds.begin_wait(now, wake_at);
        let timeout = wake_at.map(|at| at.saturating_duration_since(now));
        events.dispatch(timeout, &mut proxy).map_err(|e| format!("event loop: {e}"))?;
        proxy.run_due_work(Instant::now());
    }
    if let Some(fleet) = &mut proxy.fleet {
        fleet.leave();
    }
    proxy.admin.stop(&proxy.net);
    info!(proxy.net.log, "shutdown complete: no response is outstanding");
    Ok(())
}

impl Proxy {
    /// Does the work that is due by time, after each round of the event loop.
    fn run_due_work(&mut self, now: Instant) {
        self.expire_attempts(now);
        self.run_due_sources(now);
        self.continue_reload(now);
        self.finish_replacement(false);
        self.admin.sweep(&self.net, now);
        if now >= self.next_sweep {
            self.next_sweep = now + self.net.limits.sweep_interval;
            self.sweep_callers(now);
            self.sweep_transfers(now);
            self.upstreams.sweep(&self.net, now);
            self.update_failover(now);
            self.remove_closed_listeners();
            self.remove_retired_pools();
            self.pins.expire(self.net.clock.unix_time(now));
        }
        self.resume_accepting(now);
        self.serve_ready_callers();
        self.serve_ready_transfers();
        self.continue_shutdown(now);
        self.run_due_modules(now);
        self.exchange_with_fleet(now);
    }

    /// Runs the fleet link's own work, and exchanges reports between the decision modules and the other
    /// members.
    fn exchange_with_fleet(&mut self, now: Instant) {
        let drained = self.shutdown.has_begun() || self.admin.draining();
        // Responses that are read but not yet reported to the modules would count as missing.
        let has_queued = self.pools.iter().any(|p| p.first_queued_at().is_some());
        let modules_run_at = self.next_module_run().filter(|_| has_queued);
        let Some(fleet) = &mut self.fleet else { return };
        fleet.set_draining(drained);
        fleet.run_due_work(&mut self.net, self.stats.totals(), now);
        if !fleet.is_exchange_due(now) || modules_run_at.is_some_and(|at| fleet.postpone_exchange(at)) {
            return;
        }
        let seen: Vec<fleet::PoolSnapshot<'_>> =
            self.pools.iter().filter(|p| !p.is_retired).map(|p| p.snapshot()).collect();
        let peer_verdicts = fleet.exchange_verdicts(&self.net.log, now, self.net.clock.unix_time(now), &seen);
        let share = fleet.size_and_index();
        self.report_fleet_share(share);
        for (id, verdict) in peer_verdicts {
            if let Some(pool) = self.pools.get_mut(id) {
                pool.queue_report(Report::PeerVerdict(verdict), now);
            }
        }
    }

    /// The time until which the event loop may wait for sockets: the earliest time at which work is due.
    fn next_wake(&self) -> Option<Instant> {
        if self.callers.has_ready() || self.upstreams.has_ready_transfers() {
            return Some(Instant::now());
        }
        let wakes = [
            Some(self.next_sweep),
            self.upstreams.next_deadline(),
            self.pools.iter().filter_map(|p| p.source.next_wake()).min(),
            self.reload.next_wake(),
            self.callers.accepting_resumes_at(),
            self.shutdown.next_wake(self.net.limits.accept_pause),
            self.admin.next_wake(&self.net),
            // Once this time has passed, every round and every sweep closes idle connections. A wake-up in
            // the past would make the loop spin for the whole drain.
            self.admin
                .drained_since
                .map(|at| at + self.net.limits.admin_drain_keepalive)
                .filter(|&at| at > Instant::now()),
            self.next_module_run(),
            self.fleet.as_ref().map(|f| f.next_wake()),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Closes idle connections until this holder may have one more, upstream connections first. Returns
    /// whether it may.
    fn make_room(&mut self, holder: HolderId) -> bool {
        while let Err(why) = self.budgets.connections.check(&[Some(holder)]) {
            let helps = |reservation: &Reservation| reservation.would_admit(holder, why);
            if !self.upstreams.close_oldest_idle(&self.net, helps)
                && !self.close_idle_caller_admitting(holder, why)
                && !self.displace_silent_transfer(|room| {
                    room.upstream.frees_connection(helps) || room.callers.frees_connection(room.caller, helps)
                })
            {
                return false;
            }
        }
        true
    }

    /// Takes one connection of this holder from the limits, if necessary after closing idle ones.
    fn acquire_connection(&mut self, holder: HolderId) -> Option<Reservation> {
        if self.make_room(holder) {
            self.budgets.connections.reserve(&[Some(holder)]).ok()
        } else {
            None
        }
    }
}
