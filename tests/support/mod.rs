//! Runs the real program as a process, together with the parties it talks to: upstreams, discovery and
//! clients.
#![allow(dead_code)] // each test program uses only some of these items

pub mod late;
pub mod scene;
pub mod scripted;

use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The time after which a wait of a test fails: longer than anything here takes on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls `condition` until it holds; panics after [`WAIT_TIMEOUT`], naming what was awaited.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "not seen within {WAIT_TIMEOUT:?}: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An HTTP request or response as it was read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    /// Header names in lower case, and their values, in the order in which they came.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The position of this request on its connection, counted from 0. Only an [`Upstream`] sets this.
    pub index_on_connection: usize,
}

impl Message {
    /// Reads one message; returns `None` when the connection ends before the message is complete.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut m = Message::read_head(from)?;
        m.body = vec![0; m.header("content-length").map_or(0, |n| n.parse().unwrap())];
        from.read_exact(&mut m.body).ok()?;
        Some(m)
    }

    fn read_head(from: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut line = String::new();
            let n = from.read_line(&mut line).ok()?;
            (n > 0).then(|| line.trim_end().to_string())
        };
        let mut m = Message { start_line: line()?, ..Message::default() };
        loop {
            let header = line()?;
            let Some((name, value)) = header.split_once(':') else { break };
            m.headers.push((name.to_lowercase(), value.trim().to_string()));
        }
        Some(m)
    }

    /// The value of the first header of this name, which has to be given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

/// How an upstream reacts to a request.
pub enum Reply {
    /// Writes these bytes and keeps the connection open.
    Send(Vec<u8>),
    /// Writes these bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Writes nothing and waits for the connection to end.
    NoAnswer,
}

/// A 200 with this body on a connection that stays open.
pub fn ok_reply(body: &str) -> Reply {
    Reply::Send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes())
}

/// An empty response with this status and these extra header lines, on a connection that stays open.
pub fn error_reply(status: u16, extra: &str) -> Reply {
    Reply::Send(format!("HTTP/1.1 {status} No\r\n{extra}Content-Length: 0\r\n\r\n").into_bytes())
}

/// An upstream that records the requests it receives.
pub struct Upstream {
    pub address: SocketAddr,
    /// All requests received, in the order of their arrival.
    pub received: Arc<Mutex<Vec<Message>>>,
    /// The number of connections accepted so far.
    pub connections_opened: Arc<AtomicU32>,
    /// The number of connections that have ended so far.
    pub connections_ended: Arc<AtomicU32>,
}

impl Upstream {
    /// Starts an upstream that answers each request with what `reply` returns.
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = Upstream {
            address,
            received: Arc::default(),
            connections_opened: Arc::default(),
            connections_ended: Arc::default(),
        };
        let (received, reply) = (upstream.received.clone(), Arc::new(reply));
        let (opened, ended) = (upstream.connections_opened.clone(), upstream.connections_ended.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (received, ended, reply) = (received.clone(), ended.clone(), reply.clone());
                opened.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let mut stream = stream.unwrap();
                    let mut input = BufReader::new(stream.try_clone().unwrap());
                    let mut index = 0;
                    while let Some(mut message) = Message::read(&mut input) {
                        message.index_on_connection = index;
                        index += 1;
                        let reply = reply(&message);
                        received.lock().unwrap().push(message);
                        match reply {
                            Reply::Send(b) => stream.write_all(&b).unwrap(),
                            Reply::SendAndClose(b) => {
                                stream.write_all(&b).unwrap();
                                break;
                            }
                            Reply::NoAnswer => {}
                        }
                    }
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        upstream
    }

    /// The number of requests received so far.
    pub fn request_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

/// An entry of discovery's list of hosts; `health` is `SERVING`, `DRAINING` or `DELETED`.
pub fn host_entry(name: &str, address: SocketAddr, block: u32, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{address}","site":"a","class":"std","block":{block},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A list of version `seq`: the whole list, or a delta.
pub fn host_list(seq: u32, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// A discovery service. It answers each call with "nothing has changed" and hands the open watch, with the
/// request line of the call, to `watches`; the test writes to it.
pub struct Discovery {
    pub address: SocketAddr,
    pub watches: Receiver<(String, Watch)>,
}

/// The service's end of an open watch.
pub struct Watch(TcpStream);

impl Watch {
    /// Writes one chunk; panics if the balancer has ended the watch.
    pub fn write_chunk(&mut self, text: &str) {
        write!(self.0, "{:x}\r\n{text}\r\n", text.len()).unwrap();
    }

    /// Writes one chunk; does nothing if the balancer has ended the watch.
    pub fn write_chunk_if_open(&mut self, text: &str) {
        let _ = write!(self.0, "{:x}\r\n{text}\r\n", text.len());
    }

    /// Whether the balancer has ended the watch.
    pub fn is_ended(&mut self) -> bool {
        self.0.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        matches!(self.0.read(&mut [0; 64]), Ok(0))
    }
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (send, watches): (Sender<(String, Watch)>, _) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap()));
                let Some(request) = request else { continue };
                // An empty line says that nothing has changed since the version that the call names.
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
                if send.send((request.start_line, Watch(stream))).is_err() {
                    return;
                }
            }
        });
        Discovery { address, watches }
    }

    /// Waits for the next watch that the balancer opens; returns the request line of its call and the watch.
    pub fn next_watch(&self) -> (String, Watch) {
        self.watches.recv_timeout(WAIT_TIMEOUT).expect("the balancer opens a watch")
    }
}

/// The settings of a small site with two classes: `look` is safe to repeat, `book` is keyed within a cell.
pub const SETTINGS: &str = r#"{"Az":"a","Azs":["a"],
 "Contract":{"AskWithinUs":10000000,"ColdShare":0.3,"DrainGraceUs":500000,"GraceToAnswerUs":20000,"RampTimeUs":7700000,"TipAfterUs":2000000},
 "Grades":[
  {"HardLimitUs":1500000,"KeyScope":"all","LateWorth":0.0,"Name":"look","Semantics":"safe","SloUs":1500000,"Streaming":false,"WindowUs":5000000,"Worth":1.0},
  {"HardLimitUs":6000000,"KeyScope":"cell","LateWorth":0.0,"Name":"book","Semantics":"keyed","SloUs":6000000,"Streaming":false,"WindowUs":10000000,"Worth":2.0}],
 "Kinds":["std"],
 "Limits":{"DialTimeoutUs":250000,"IdleCloseUs":60000000,"MaxRetryAfterUs":2000000,"MayCancel":true,"ParallelTries":true,"Probes":true,"RetryAfter":true,"SendCap":5},
 "LoadReport":{"Fields":["busy","rif"],"How":"answers"},
 "Me":0,"NInstances":1,"OverShareWorth":0.05,
 "Realms":[{"Name":"acme","QuotaRps":1000.0,"Share":1.0}],
 "RegistryMode":"on_request","ResolutionUs":5000,"Tier":0,"WeightKind":"none","WorthBy":"work"}"#;

/// A running process of the program, which is killed when this value is dropped.
pub struct Balancer {
    /// The address on which the process listens for callers.
    pub address: SocketAddr,
    pub child: Child,
    /// The path of the configuration file.
    pub config: String,
}

/// Makes the names of configuration files and the free addresses of this test program unique.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Writes a new configuration file with this text and returns its path.
pub fn write_config_file(text: &str) -> String {
    let n = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    let name = format!("{}/config-{}-{n}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&name, text).unwrap();
    name
}

/// The command that starts the program with this configuration text.
pub fn program_command(config: &str) -> Command {
    program_command_for_file(&write_config_file(config))
}

/// The command that starts the program with an existing configuration file.
pub fn program_command_for_file(file: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_garnettally"));
    command.env("GW_CONFIG", file).stdout(Stdio::null()).stderr(Stdio::null());
    command
}

/// The text of a configuration that holds `known` as the last known list of hosts, version 7.
pub fn config_text(listen: SocketAddr, discovery: SocketAddr, sockets: u32, known: &[String]) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"00000000000000a1",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
        "known":{},"settings":{SETTINGS}}}"#,
        host_list(7, true, known)
    )
}

/// Returns an address on which nobody listens, on a host that no other test and no outgoing connection uses.
/// This function binds the address but never listens on it: a process that another test forks at this moment
/// holds a copy of the socket until it executes its program, and a copy that listens would accept connections
/// meant for the program under test and reset them.
pub fn free_address() -> SocketAddr {
    let n = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    let host = format!("127.{}.{}.{}:0", 64 + n / 250, std::process::id() % 250 + 1, n % 250 + 1);
    bound_address(host.parse().unwrap())
}

/// Binds a socket to this address, closes the socket, and returns the address with the port that it got.
pub fn bound_address(requested: SocketAddr) -> SocketAddr {
    let socket = Socket::new(Domain::for_address(requested), Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&requested.into()).unwrap();
    socket.local_addr().unwrap().as_socket().unwrap()
}

impl Balancer {
    /// Starts the program with the default settings and a limit of 1024 sockets, and waits until it is ready.
    pub fn start(discovery: &Discovery, known: &[String]) -> Balancer {
        Balancer::start_with_sockets(discovery, known, 1024)
    }

    /// Starts the program with this limit of sockets, and waits until it is ready.
    pub fn start_with_sockets(discovery: &Discovery, known: &[String], sockets: u32) -> Balancer {
        let address = free_address();
        Balancer::start_with_config(address, &config_text(address, discovery.address, sockets, known), |_| {})
    }

    /// Starts the program with this configuration text, which names `address` as the address to listen on,
    /// and waits until the program is ready. `change` may adapt the command before it is run.
    pub fn start_with_config(address: SocketAddr, text: &str, change: impl Fn(&mut Command)) -> Balancer {
        let config = write_config_file(text);
        let mut command = program_command_for_file(&config);
        change(&mut command);
        let balancer = Balancer { address, child: command.spawn().unwrap(), config };
        wait_until("readiness", || {
            TcpStream::connect(address).is_ok() && balancer.request(READY_REQUEST).status() == 200
        });
        balancer
    }

    /// Does the same as [`Balancer::start_with_config`], with the log in a file whose path is printed.
    pub fn start_with_log(address: SocketAddr, text: &str) -> Balancer {
        let log = write_config_file("");
        Balancer::start_with_config(address, text, |command| {
            command.stderr(std::fs::File::options().append(true).open(&log).unwrap());
            println!("the log of {address} is {log}");
        })
    }

    /// Opens a client's connection to the program.
    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let input = BufReader::new(stream.try_clone().unwrap());
        Client { stream, input }
    }

    /// Sends one request on a new connection and returns the answer.
    pub fn request(&self, request: &str) -> Message {
        self.connect().request(request)
    }

    /// Sends the program a signal, named without its prefix: `TERM`, `HUP`, `STOP`, `CONT`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// Waits until the program has ended.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the end of the program", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client's connection to the program.
pub struct Client {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    /// Connects; returns `None` if the connection fails, as where nobody listens.
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let input = BufReader::new(stream.try_clone().unwrap());
        Some(Client { stream, input })
    }

    /// Reads the head of the next answer, of which no body is read whatever length it states.
    pub fn read_head(&mut self) -> Option<Message> {
        Message::read_head(&mut self.input)
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next answer; returns `None` if the connection ends without one.
    pub fn read_answer(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    /// Sends a request and reads its answer; panics if there is none.
    pub fn request(&mut self, request: &str) -> Message {
        self.send(request);
        self.read_answer().expect("an answer")
    }
}

/// The request that asks the program whether it is ready.
pub const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// The number for the id of the next request of this test program.
static NEXT_REQUEST_ID: AtomicU32 = AtomicU32::new(1);

/// A request of the class `look`, which is safe to repeat, with this deadline in seconds.
pub fn look_request(deadline: &str) -> String {
    let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::SeqCst);
    format!(
        "GET /look/part?key=91f03b7c55d20a64&x=1 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: r{id}\r\nReq-Owner: acme\r\nReq-Deadline: {deadline}\r\nReq-Cost: 2000\r\n\r\n"
    )
}

/// A request of the keyed class `book` with this deadline in seconds.
pub fn book_request(deadline: &str, body: &str) -> String {
    let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::SeqCst);
    format!(
        "POST /book?key=91f03b7c55d20a64 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: r{id}\r\nReq-Owner: acme\r\nReq-Deadline: {deadline}\r\nIdempotency-Key: 5c0f6e1a\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A running process of the program with an operator's file; the process is killed when this value is
/// dropped.
pub struct OperatedBalancer {
    pub balancer: Balancer,
    /// The path of the file that receives the log.
    log_path: String,
}

impl OperatedBalancer {
    /// Starts the program with this operator's file, in which LISTEN is replaced by the address to listen on,
    /// and waits until the program is ready.
    pub fn start(text: &str) -> OperatedBalancer {
        let operated = OperatedBalancer::spawn(text);
        let balancer = &operated.balancer;
        wait_until("readiness", || {
            TcpStream::connect(balancer.address).is_ok() && balancer.request(READY_REQUEST).status() == 200
        });
        operated
    }

    /// Starts the program as [`OperatedBalancer::start`] does, without waiting for its readiness.
    pub fn spawn(text: &str) -> OperatedBalancer {
        OperatedBalancer::spawn_with_log_to(text, None)
    }

    /// Starts the program without waiting for its readiness; `log_to` may replace the file that receives the
    /// log.
    pub fn spawn_with_log_to(text: &str, log_to: Option<Stdio>) -> OperatedBalancer {
        let address = free_address();
        let config = write_config_file(&text.replace("LISTEN", &address.to_string()));
        let log_path = format!("{config}.log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_garnettally"));
        command.args(["serve", &config]).env_remove("GW_CONFIG").stdout(Stdio::null());
        let file = std::fs::File::create(&log_path).unwrap();
        command.stderr(log_to.unwrap_or(file.into()));
        let balancer = Balancer { address, child: command.spawn().unwrap(), config };
        OperatedBalancer { balancer, log_path }
    }

    /// The text of the log so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap()
    }

    /// The number of times that a text occurs in the log so far.
    pub fn count_in_log(&self, text: &str) -> usize {
        self.log_text().matches(text).count()
    }

    /// Replaces the operator's file in one step, with LISTEN replaced by the address to listen on.
    pub fn replace_config(&self, text: &str) {
        let new = format!("{}.new", self.balancer.config);
        std::fs::write(&new, text.replace("LISTEN", &self.balancer.address.to_string())).unwrap();
        std::fs::rename(new, &self.balancer.config).unwrap();
    }

    /// Replaces the operator's file, sends SIGHUP, and waits until the log says that the new version is in
    /// force.
    pub fn reload(&self, text: &str) {
        let before = self.count_in_log("the new version is in force");
        self.replace_config(text);
        self.balancer.signal("HUP");
        wait_until("the new version", || self.count_in_log("the new version is in force") > before);
    }
}

impl std::ops::Deref for OperatedBalancer {
    type Target = Balancer;
    fn deref(&self) -> &Balancer {
        &self.balancer
    }
}

/// A GET request without a body.
pub fn get_request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: app.test\r\n\r\n")
}

/// A POST request with an idempotency key and a body of two bytes.
pub fn post_request(path: &str, key: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: app.test\r\nIdempotency-Key: {key}\r\nContent-Length: 2\r\n\r\nhi")
}

/// [`SETTINGS`] with each first text replaced by the second; panics where a first text does not occur.
pub fn settings_with(changes: &[(&str, &str)]) -> String {
    changes.iter().fold(SETTINGS.to_string(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to)
    })
}

/// Starts the program with these settings, and waits until it is ready.
pub fn start_with_settings(discovery: &Discovery, known: &[String], settings: &str) -> Balancer {
    let address = free_address();
    let text = config_text(address, discovery.address, 1024, known).replace(SETTINGS, settings);
    Balancer::start_with_config(address, &text, |_| {})
}

/// Whether a read from a client's connection would not block: there are bytes to read, or the other side has
/// closed.
pub fn is_readable(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let is_readable = stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false).unwrap();
    is_readable
}
