//! The real balancer round the module: sockets in, decisions asked, sockets out.
//!
//! `http` is the codec, `callers` and `upstreams` hold the connections, `discovery` the watch,
//! `exchange` the life of a request between them, `reload` a new configuration, and `shutdown` the end.
//! `Proxy` is the state that the event loop hands to each of them.

mod callers;
mod discovery;
mod exchange;
mod http;
mod reload;
mod shutdown;
mod upstreams;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use garnettally_config::platform::Config;
pub use garnettally_config::Limits;
use garnettally_decisions::facade::{Decisions, Micros, Report};
use slog::{info, Logger};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The number of a connection; never used again.
pub type ConnId = u64;

/// Unix time that never steps back: the clock that every machine reads, taken at the start and run on.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix }
    }

    /// The time of this instant.
    pub fn at(&self, t: Instant) -> Micros {
        Micros((self.unix + t.saturating_duration_since(self.start)).as_micros() as i64)
    }

    fn instant(&self, t: Micros) -> Instant {
        let unix = Duration::from_micros(t.0.max(0) as u64);
        self.start + unix.saturating_sub(self.unix)
    }
}

/// The whole balancer.
pub struct Proxy {
    pub net: Net,
    pub decisions: Decisions,
    pub callers: callers::Callers,
    pub upstreams: upstreams::Upstreams,
    pub discovery: discovery::Discovery,
    pub exchanges: exchange::Exchanges,
    pub reload: reload::Reload,
    pub shutdown: shutdown::Shutdown,
    next_sweep: Instant,
}

/// What every concern needs to serve sockets.
pub struct Net {
    pub handle: LoopHandle<'static, Proxy>,
    pub log: Logger,
    pub limits: Limits,
    pub clock: Clock,
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

/// What a connect that has not come up yet answers on Linux.
const EINPROGRESS: i32 = 115;

/// Begins to connect; the stream becomes writable once it is up.
fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.raw_os_error() != Some(EINPROGRESS) => Err(e),
        _ => Ok(socket.into()),
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
pub fn serve(config: Config, limits: Limits, log: Logger, signals: Signals) -> Result<(), String> {
    let mut events: EventLoop<'static, Proxy> = EventLoop::try_new().map_err(|e| e.to_string())?;
    let clock = Clock::new();
    let net =
        Net { handle: events.handle(), log, scratch: vec![0; limits.read_bytes], limits, clock, next: 0 };
    let now = Instant::now();
    let listening = callers::Callers::listen(&net, config.listen)
        .map_err(|e| format!("GW_LISTEN: {}: {e}", config.listen))?;
    info!(net.log, "listening"; "name" => &config.name, "address" => %config.listen,
        "discovery" => %config.discovery, "known" => config.known.hosts.len());
    let mut proxy = Proxy {
        decisions: Decisions::new(config.site, config.seed, clock.at(now)),
        callers: listening,
        upstreams: upstreams::Upstreams::default(),
        discovery: discovery::Discovery::new(config.discovery, config.known.seq),
        reload: reload::Reload::new(config.discovery_in_file),
        exchanges: exchange::Exchanges::default(),
        shutdown: shutdown::Shutdown::default(),
        next_sweep: now,
        net,
    };
    events
        .handle()
        .insert_source(signals, |event, _, proxy| match event.signal() {
            Signal::SIGHUP => proxy.reload(),
            _ => proxy.begin_shutdown(),
        })
        .map_err(|e| e.to_string())?;
    proxy.exchanges.queue(Report::Known(config.known), now);
    while !proxy.finished() {
        let wait = proxy.next_wake().map(|at| at.saturating_duration_since(Instant::now()));
        events.dispatch(wait, &mut proxy).map_err(|e| format!("event loop: {e}"))?;
        proxy.turn(Instant::now());
    }
    info!(proxy.net.log, "nothing is owed any more");
    Ok(())
}

impl Proxy {
    /// What time brings about, after each round of the event loop.
    fn turn(&mut self, now: Instant) {
        self.expire_attempts(now);
        self.expire_discovery(now);
        if now >= self.next_sweep {
            self.next_sweep = now + self.net.limits.sweep;
            self.sweep_callers(now);
            self.upstreams.sweep(&self.net, now);
        }
        self.resume_accepting(now);
        self.resume_discarding();
        self.continue_shutdown(now);
        self.consult(now);
    }

    fn next_wake(&self) -> Option<Instant> {
        if self.callers.has_unread() {
            return Some(Instant::now());
        }
        let wakes = [
            Some(self.next_sweep),
            self.upstreams.next_deadline(),
            self.discovery.deadline(),
            self.callers.resume_at(),
            self.shutdown.next_wake(),
            self.next_consultation(),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Makes room for one more connection, if idle ones take it; upstream connections go first.
    fn make_room(&mut self) -> bool {
        if self.callers.count() + self.upstreams.count() < self.net.limits.connections {
            return true;
        }
        self.upstreams.close_oldest_idle(&self.net) || self.close_idle_caller()
    }
}
