//! The real balancer round the module: sockets in, decisions asked, sockets out.
//!
//! A request goes once from left to right: `callers` (listeners and their connections) read it with the codec `http`,
//! `admission` finds its route, class and pool, `exchange` keeps its life, `pools` ask their modules, and `upstreams`
//! carry its attempts. `source` and `discovery` say where the nodes are, `reservation` what connections and requests hold
//! of the limits, `plan` what is to be served at all, `reload` what has changed of it, and `shutdown` how it ends.
//! `fleet`, where the operator's file has it, is the link to the other balancers, and `duties` what one does for all.
//! [`Proxy`] is the state that the event loop hands to each of them.
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
mod upstreams;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use clock::Clock;
use garnettally_config::file::format::LogRequests;
pub use garnettally_config::Limits;
use garnettally_decisions::facade::Report;
use garnettally_routing::budget::HolderId;
use garnettally_routing::pins::Pins;
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

/// The number of a connection; never used again.
pub type ConnId = u64;

/// The whole balancer.
pub struct Proxy {
    net: Net,
    budgets: pools::Budgets,
    callers: callers::Callers,
    pools: pools::Pools,
    upstreams: upstreams::Upstreams,
    exchanges: exchange::Exchanges,
    /// The version of the operator's file in force; `None`: the platform's protocol is served.
    version: Option<Rc<admission::Version>>,
    pins: Pins<PoolId>,
    /// Hashes keys of requests; nobody outside can choose keys that meet.
    key_seed: u64,
    /// For random numbers of new pools.
    seed: u64,
    log_requests: LogRequests,
    reload: reload::ReloadState,
    shutdown: shutdown::Shutdown,
    admin: admin::Admin,
    /// Only where the operator's file has `[fleet]`.
    fleet: Option<fleet::Fleet>,
    stats: stats::Stats,
    next_sweep: Instant,
}

/// What every concern needs to serve sockets.
pub struct Net {
    pub handle: LoopHandle<'static, Proxy>,
    pub log: Logger,
    pub limits: Limits,
    pub clock: Clock,
    pub rng: fastrand::Rng,
    /// When the sockets are looked at.
    pub rounds: Rounds,
    scratch: Vec<u8>,
    next: ConnId,
}

/// Where reading has got to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    Open,
    Ended,
    Broken,
}

/// A stream that the event loop watches.
pub struct Watched {
    pub stream: Rc<TcpStream>,
    token: RegistrationToken,
}

impl Net {
    pub fn number(&mut self) -> ConnId {
        self.next += 1;
        self.next
    }

    /// Has `ready` called whenever the stream has become readable or writable.
    pub fn watch(
        &self,
        stream: TcpStream,
        ready: impl Fn(&mut Proxy, Readiness) + 'static,
    ) -> io::Result<Watched> {
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = self.handle.insert_source(source, move |readiness, _, proxy: &mut Proxy| {
            ready(proxy, readiness);
            Ok(PostAction::Continue)
        });
        Ok(Watched { stream, token: token.map_err(|e| io::Error::other(e.error))? })
    }

    /// Stops watching; the stream closes with its last holder.
    pub fn unwatch(&self, watched: Watched) {
        self.handle.remove(watched.token);
    }

    /// Reads what there is, until `buf` holds more than `most`.
    pub fn read(&mut self, mut stream: &TcpStream, buf: &mut Vec<u8>, most: usize) -> Reading {
        while buf.len() <= most {
            match stream.read(&mut self.scratch) {
                Ok(0) => return Reading::Ended,
                Ok(n) => buf.extend_from_slice(&self.scratch[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Reading::Open,
                Err(_) => return Reading::Broken,
            }
        }
        Reading::Open
    }
}

/// Begins to connect; the stream becomes writable once it is up.
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

/// Writes on from `at`; an error is a broken connection.
pub fn write(mut stream: &TcpStream, buf: &[u8], at: &mut usize) -> io::Result<()> {
    while *at < buf.len() {
        match stream.write(&buf[*at..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => *at += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Serves until nothing is owed after SIGTERM.
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
    let net = Net { handle: events.handle(), log, rng, rounds, scratch, limits, clock, next: 0 };
    let budgets = pools::Budgets {
        requests: SharedBudget::new(plan.max_requests),
        connections: SharedBudget::new(net.limits.max_connections),
        callers: SharedBudget::new(net.limits.max_caller_connections + 1),
        copies: SharedBudget::new(usize::MAX),
    };
    let mut listening = callers::Callers::default();
    for listener in plan.listeners {
        let (name, address) = (listener.name.clone(), listener.address);
        let bound = callers::bind(&net, address, true);
        let added = bound.and_then(|bound| {
            // With port 0 the system chooses one, which only this line tells.
            let address = bound.local_addr()?;
            info!(net.log, "listening"; "name" => &plan.name, "listener" => name, "address" => %address);
            listening.add(&net, &budgets, listener, bound)
        });
        added.map_err(|e| format!("can't listen on {address}: {e}"))?;
    }
    let key_seed = plan.seed.rotate_left(32) ^ 0x6b65_7973;
    let mut proxy = Proxy {
        budgets,
        callers: listening,
        pools: pools::Pools::default(),
        upstreams: upstreams::Upstreams::default(),
        exchanges: exchange::Exchanges::default(),
        version: None,
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
        pool.site.names.classes().iter().for_each(|c| proxy.stats.know_class(c));
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
            // The write that went over a limit has failed, and that is all.
            Signal::SIGXFSZ => {}
            _ => proxy.begin_shutdown(),
        })
        .map_err(|e| e.to_string())?;
    while !proxy.is_finished() {
        let until = proxy.next_wake();
        let now = Instant::now();
        proxy.net.rounds.begin_wait(now, until);
        let wait = until.map(|at| at.saturating_duration_since(now));
        events.dispatch(wait, &mut proxy).map_err(|e| format!("event loop: {e}"))?;
        proxy.turn(Instant::now());
    }
    if let Some(fleet) = &mut proxy.fleet {
        fleet.leave();
    }
    proxy.admin.stop(&proxy.net);
    info!(proxy.net.log, "nothing is owed any more");
    Ok(())
}

impl Proxy {
    /// What time brings about, after each round of the event loop.
    fn turn(&mut self, now: Instant) {
        self.expire_attempts(now);
        self.run_due_sources(now);
        self.continue_reload(now);
        self.finish_replacement(false);
        self.admin.sweep(&self.net, now);
        if now >= self.next_sweep {
            self.next_sweep = now + self.net.limits.sweep_interval;
            self.sweep_callers(now);
            self.upstreams.sweep(&self.net, now);
            self.update_failover(now);
            self.end_left_listeners();
            self.remove_retired_pools();
            self.pins.expire(self.net.clock.at(now));
        }
        self.resume_accepting(now);
        self.resume_reading();
        self.continue_shutdown(now);
        self.consult(now);
        self.tend_fleet(now);
    }

    /// The link's own work, and what the modules and the other members have to tell each other.
    fn tend_fleet(&mut self, now: Instant) {
        let drained = self.shutdown.has_begun() || self.admin.draining();
        // What was read and is not told yet would pass for silence.
        let untold = self.pools.iter().any(|p| p.first_queued_at().is_some());
        let told_at = self.next_consultation().filter(|_| untold);
        let Some(fleet) = &mut self.fleet else { return };
        fleet.set_draining(drained);
        fleet.run_due_work(&mut self.net, self.stats.figures(), now);
        if !fleet.is_exchange_due(now) || told_at.is_some_and(|at| fleet.postpone_exchange(at)) {
            return;
        }
        let seen: Vec<fleet::PoolSnapshot<'_>> =
            self.pools.iter().filter(|p| !p.is_retired).map(|p| p.snapshot()).collect();
        let heard = fleet.exchange_verdicts(&self.net.log, now, self.net.clock.at(now), &seen);
        let share = fleet.size_and_index();
        self.report_fleet_share(share);
        for (id, hearsay) in heard {
            if let Some(pool) = self.pools.get_mut(id) {
                pool.queue_report(Report::PeerVerdict(hearsay), now);
            }
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        if self.callers.has_unread() {
            return Some(Instant::now());
        }
        let wakes = [
            Some(self.next_sweep),
            self.upstreams.next_deadline(),
            self.pools.iter().filter_map(|p| p.source.next_wake()).min(),
            self.reload.next_wake(),
            self.callers.resume_at(),
            self.shutdown.next_wake(self.net.limits.accept_pause),
            self.admin.next_wake(&self.net),
            // Once passed, closing idle connections goes on at every turn and sweep: no wake of its own, or the
            // loop would spin for the whole drain.
            self.admin
                .failed_at
                .map(|at| at + self.net.limits.admin_drain_keepalive)
                .filter(|&at| at > Instant::now()),
            self.next_consultation(),
            self.fleet.as_ref().map(|f| f.next_wake()),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Makes room for one more connection of this holder, if idle ones take it; upstream connections go first.
    fn has_room(&mut self, holder: HolderId) -> bool {
        while let Err(why) = self.budgets.connections.check(&[Some(holder)]) {
            let helps = |lease: &Reservation| lease.would_admit(holder, why);
            if !self.upstreams.close_oldest_idle(&self.net, helps)
                && !self.close_idle_caller_helping(holder, why)
            {
                return false;
            }
        }
        true
    }

    fn make_room(&mut self, holder: HolderId) -> Option<Reservation> {
        if self.has_room(holder) {
            self.budgets.connections.reserve(&[Some(holder)]).ok()
        } else {
            None
        }
    }
}
