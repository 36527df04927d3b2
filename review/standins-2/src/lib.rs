//! What the cases of the second review share: processes of the program, HTTP clients and servers, and the
//! record of what happened.

pub mod fleet;

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Why a case could not run: the exit status is 2.
pub type CaseResult = Result<bool, String>;

/// The record of a run, with the time since its start in front of each line.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<String>>,
}

impl Record {
    fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    pub fn ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Adds a line.
    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.ms();
        if let Ok(mut lines) = self.lines.lock() {
            let _ = writeln!(lines, "{at:10.1} ms  {}", line.as_ref());
        }
    }
}

/// A run of a case.
pub struct Case {
    pub record: Record,
    /// The folder of the run, which is removed at its end.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Runs a case and ends the process: 1 if the rule was broken (`Ok(false)`), 0 if it held, 2 if the case
/// could not run. The working folder has to be the root of the repository; the first argument is the folder
/// of the case, in which `record.txt` is written, the second one a folder for the files of the run.
pub fn run_case(play: impl FnOnce(&Case) -> CaseResult) -> ! {
    let mut arguments = std::env::args().skip(1);
    let (Some(case_folder), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("two arguments are needed: the folder of the case, and one for the files of the run");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let case = Case { record: Record::new(), folder: folder.into(), trouble };
    case.record.note(format!("the case begins; TROUBLE={}", u8::from(trouble)));
    let result = play(&case);
    let (code, verdict) = match &result {
        Ok(true) => (0, "the rule held".to_string()),
        Ok(false) => (1, "the rule was broken".to_string()),
        Err(why) => (2, format!("the case could not run: {why}")),
    };
    case.record.note(&verdict);
    println!("{verdict}");
    let text = case.record.lines.lock().map(|l| l.clone()).unwrap_or_default();
    let _ = fs::write(Path::new(&case_folder).join("record.txt"), text);
    std::process::exit(code)
}

/// A loopback host of this run's own, so that runs beside this one take none of its ports.
pub fn host() -> String {
    let id = std::process::id();
    format!("127.{}.{}.1", 100 + id / 250 % 100, id % 250 + 1)
}

/// A loopback address with a port that is free now.
pub fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((host(), 0)).map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

/// A process of the program, which is killed when this value is dropped.
pub struct Balancer {
    child: Child,
    log: PathBuf,
}

impl Balancer {
    /// Starts `garnettally serve FILE` by the command of the deploy file.
    pub fn serve(case: &Case, name: &str, file: &str) -> Result<Balancer, String> {
        let path = case.folder.join(format!("{name}.toml"));
        write_whole(&path, file)?;
        Balancer::start(case, name, &format!(" serve {}", path.display()))
    }

    /// Starts the program as the platform does, with this configuration.
    pub fn on_platform(case: &Case, name: &str, config: &str) -> Result<Balancer, String> {
        let path = case.folder.join(format!("{name}.json"));
        write_whole(&path, config)?;
        Balancer::start_with(case, name, "", Some(&path))
    }

    fn start(case: &Case, name: &str, arguments: &str) -> Result<Balancer, String> {
        Balancer::start_with(case, name, arguments, None)
    }

    fn start_with(
        case: &Case,
        name: &str,
        arguments: &str,
        config: Option<&Path>,
    ) -> Result<Balancer, String> {
        let deploy = fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy file: {e}"))?;
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'))
            .ok_or("the deploy file has no run line")?;
        let log = case.folder.join(format!("{name}.log"));
        let file = fs::File::options().create(true).append(true).open(&log).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{run}{arguments}"));
        for variable in ["GW_CONFIG", "GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_ADMIN_ADDR", "GW_LOG"] {
            command.env_remove(variable);
        }
        if let Some(path) = config {
            command.env("GW_CONFIG", path);
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .map_err(|e| format!("{run}: {e}"))?;
        case.record.note(format!("process {name} starts"));
        // The script ends these processes if this one is ended before them.
        let pids = fs::File::options().create(true).append(true).open(case.folder.join("pids"));
        let noted = pids.and_then(|mut f| writeln!(f, "{}", child.id()));
        let balancer = Balancer { child, log };
        noted.map_err(|e| e.to_string())?;
        Ok(balancer)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: `kill` touches no memory. The child has not been waited for, so its id is still its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the log has this text as often as this.
    pub fn wait_for_log(&self, text: &str, times: usize) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(10);
        while fs::read_to_string(&self.log).unwrap_or_default().matches(text).count() < times {
            if Instant::now() > end {
                return Err(format!("the log does not say {text:?}: {}", self.log_text()));
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Puts a file in place by a rename, as the operators' page wants it.
pub fn write_whole(path: &Path, text: &str) -> Result<(), String> {
    let new = path.with_extension("new");
    fs::write(&new, text).and_then(|()| fs::rename(&new, path)).map_err(|e| e.to_string())
}

/// Waits until `GET /ready` answers 200.
pub fn wait_until_ready(address: SocketAddr) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(15);
    loop {
        let answer = ask(address, "GET", "/ready", &[], "", Duration::from_secs(1));
        match answer {
            Ok(a) if a.status == 200 => return Ok(()),
            _ if Instant::now() > end => return Err(format!("{address} is not ready: {answer:?}")),
            _ => thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// An HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    /// Names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub status: u16,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message with `Content-Length` framing; `None`: the connection ended between messages.
pub fn read_message(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut m = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    m.first_line = line.trim_end().to_string();
    m.status = m.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        m.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    m.body = vec![0; m.header("content-length").parse().unwrap_or(0)];
    from.read_exact(&mut m.body)?;
    Ok(Some(m))
}

/// The bytes of a request, with a `Host` of its own unless `headers` have one.
pub fn request_bytes(method: &str, path: &str, headers: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += "Host: app.svc\r\n";
    }
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if method != "GET" {
        let _ = write!(text, "Content-Length: {}\r\n", body.len());
    }
    (text + "\r\n" + body).into_bytes()
}

/// Sends a request on a new connection and reads its answer.
pub fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    within: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, within)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    stream.write_all(&request_bytes(method, path, headers, body))?;
    read_message(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Starts a server that answers each request by what `serve` returns, on as many connections as clients
/// open. `serve` may take its time: that is the work of the request. It is sound: it runs each request to
/// its end, whoever has gone meanwhile, and keeps its connections.
pub fn start_server(
    serve: impl Fn(&Message) -> (u16, Vec<u8>) + Send + Sync + 'static,
) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((host(), 0)).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut input = BufReader::new(stream.try_clone()?);
                let mut output = stream;
                while let Some(request) = read_message(&mut input)? {
                    let (status, body) = serve(&request);
                    let mut answer =
                        format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
                    answer.extend(body);
                    output.write_all(&answer)?;
                }
                Ok(())
            });
        }
    });
    Ok(address)
}

/// Starts a discovery service that tells this whole list on each watch, and then that nothing changes.
pub fn start_discovery(list: String) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((host(), 0)).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || -> io::Result<()> {
                read_message(&mut BufReader::new(stream.try_clone()?))?;
                let mut output = stream;
                output.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                let line = format!("{list}\n");
                write!(output, "{:x}\r\n{line}\r\n", line.len())?;
                loop {
                    thread::sleep(Duration::from_secs(2));
                    output.write_all(b"1\r\n\n\r\n")?;
                }
            });
        }
    });
    Ok(address)
}
