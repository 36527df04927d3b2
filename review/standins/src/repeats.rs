//! Clients that ask again with the same key, while an operator puts a new version of the file in force that
//! moves weight from one pool to another and adds a class. No order may run a second time.

use crate::scene::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long nodes drop repeats of a key, from its first attempt that may have run.
const WINDOW: Duration = Duration::from_secs(10);
/// What an order takes at its node, and what each fifth takes.
const USUAL_WORK: Duration = Duration::from_millis(60);
const LONG_WORK: Duration = Duration::from_millis(2500);
/// A client gives an order up after this, and asks again with the same key after a pause.
const GIVES_UP_AFTER: Duration = Duration::from_secs(1);
const ASKS_AGAIN_AFTER: Duration = Duration::from_millis(500);
/// A client asks again until this long after it has first asked, well inside the window.
const ASKS_UNTIL: Duration = Duration::from_secs(6);
const CLIENTS: usize = 24;
/// When the new version is put in place, and when clients begin no more orders.
const NEW_VERSION_AT: Duration = Duration::from_secs(4);
const LAST_ORDER_AT: Duration = Duration::from_secs(8);

/// One run of an order: seconds since the start of the case, the pool, and the node.
type Run = (f64, &'static str, String);

/// All runs by key.
type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

/// What the nodes of a cell share: the keys whose windows are open, and when their orders are done.
type Cell = Arc<Mutex<HashMap<String, (Instant, Instant)>>>;

/// Starts the nodes of a pool, which are one cell: each drops a repeat of a key that any of them has run
/// within the window, and answers it with the first one's result.
fn start_pool(
    pool: &'static str,
    count: usize,
    record: &Record,
    runs: &Runs,
) -> Result<Vec<(String, SocketAddr)>, Failure> {
    let cell: Cell = Arc::default();
    let mut nodes = Vec::new();
    for number in 1..=count {
        let name = format!("{pool}-{number}");
        let listener = TcpListener::bind((host(), 0))?;
        nodes.push((name.clone(), listener.local_addr()?));
        let (cell, record, runs) = (cell.clone(), record.clone(), runs.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, cell, record, runs) = (name.clone(), cell.clone(), record.clone(), runs.clone());
                spawn(move || drop(serve(stream, (pool, &name), &cell, &record, &runs)));
            }
        });
    }
    Ok(nodes)
}

fn serve(
    mut stream: TcpStream,
    (pool, name): (&'static str, &str),
    cell: &Cell,
    record: &Record,
    runs: &Runs,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    while let Some(request) = Message::read(&mut input) {
        let key = request.header("idempotency-key").unwrap_or("").to_string();
        let now = Instant::now();
        let done_at = {
            let Ok(mut open) = cell.lock() else { return Ok(()) };
            open.retain(|_, (begun, _)| now - *begun < WINDOW);
            let is_repeat = open.contains_key(&key);
            let number: u64 = key.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            let work = if number % 5 == 0 { LONG_WORK } else { USUAL_WORK };
            let done_at = open.entry(key.clone()).or_insert((now, now + work)).1;
            if is_repeat {
                record.line(&format!("repeat of {key} dropped at {name}"));
            } else {
                record.line(&format!("run {key} at {name}"));
                if let Ok(mut all) = runs.lock() {
                    all.entry(key.clone()).or_default().push((record.now(), pool, name.to_string()));
                }
            }
            done_at
        };
        thread::sleep(done_at.saturating_duration_since(Instant::now()));
        let body = format!("{key} is booked at {pool}");
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
    Ok(())
}

/// The operator's file. The new version moves the weight of nine in ten from blue to green and, unless only the
/// weights are to change, has one more class with its route.
fn file_text(
    listen: SocketAddr,
    pools: [&[(String, SocketAddr)]; 2],
    is_new: bool,
    adds_class: bool,
) -> String {
    let nodes = |of: &[(String, SocketAddr)]| {
        let all: Vec<String> = of
            .iter()
            .map(|(name, address)| format!("  {{ name = \"{name}\", address = \"{address}\", cell = 1 }},\n"))
            .collect();
        all.concat()
    };
    let (blue, green) = if is_new { (0.1, 0.9) } else { (0.9, 0.1) };
    let (class, route) = match is_new && adds_class {
        true => (
            "[classes.lookup]\nrepeat = \"safe\"\naim = \"600ms\"\ndeadline = \"1500ms\"\n",
            "[[routes]]\nname = \"lookups\"\npath_prefix = \"/lookups\"\nmethods = [\"GET\"]\nclass = \"lookup\"\npool = \"green\"\n",
        ),
        false => ("", ""),
    };
    format!(
        "version = 1\nname = \"edge-1\"\n[listeners.main]\naddress = \"{listen}\"\n{class}\
         [classes.order-create]\nrepeat = \"keyed\"\naim = \"800ms\"\ndeadline = \"3s\"\nwindow = \"10s\"\n\
         [pools.blue]\nnodes = [\n{}]\n[pools.green]\nnodes = [\n{}]\n{route}\
         [[routes]]\nname = \"orders\"\npath_prefix = \"/orders\"\nmethods = [\"POST\"]\nclass = \"order-create\"\n\
         key = {{ header = \"Idempotency-Key\" }}\nsplit = {{ blue = {blue:.1}, green = {green:.1} }}\n",
        nodes(pools[0]),
        nodes(pools[1]),
    )
}

/// Asks once; the status, or 0 if there was no answer in the client's time.
fn ask(address: SocketAddr, key: &str) -> u16 {
    let Ok(mut client) = Client::connect(address) else { return 0 };
    client.gives_up_after(GIVES_UP_AFTER);
    let request = format!(
        "POST /orders HTTP/1.1\r\nHost: shop\r\nReq-Deadline: 1.0\r\nIdempotency-Key: {key}\r\nContent-Length: 5\r\n\r\norder"
    );
    if client.send(request.as_bytes()).is_err() {
        return 0;
    }
    client.answer().map_or(0, |a| a.status())
}

/// Waits until the log has this text.
fn wait_for_log(log: &Path, text: &str) -> Result<(), Failure> {
    let end = Instant::now() + Duration::from_secs(10);
    while !std::fs::read_to_string(log).unwrap_or_default().contains(text) {
        if Instant::now() > end {
            return Err(Failure::new(format!("the log did not say {text:?} within 10 s")));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Puts a file in place by a rename, as docs/operations.md has it.
fn put_in_place(file: &PathBuf, text: &str) -> Result<(), Failure> {
    let new = file.with_extension("new");
    std::fs::write(&new, text)?;
    Ok(std::fs::rename(&new, file)?)
}

pub fn play(root: &Path, record: &Record, with_trouble: bool) -> Result<Verdict, Failure> {
    let adds_class = std::env::var("CLASS").map_or(true, |v| v != "0");
    let runs: Runs = Arc::default();
    let (blue, green) = (start_pool("blue", 3, record, &runs)?, start_pool("green", 3, record, &runs)?);
    let folder = temporary_folder()?;
    let address = TcpListener::bind((host(), 0))?.local_addr()?;
    let (file, log_path) = (folder.join("edge.toml"), folder.join("edge.log"));
    put_in_place(&file, &file_text(address, [&blue, &green], false, adds_class))?;
    let log = std::fs::File::create(&log_path)?;
    let run = run_line(root)?;
    let child = Command::new("/bin/sh")
        .args(["-c", &format!("{run} serve \"$1\""), "sh"])
        .arg(&file)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    let pid = child.id();
    will_be_ended(child);
    let end = Instant::now() + Duration::from_secs(30);
    while ask(address, "ready-1") != 200 {
        if Instant::now() > end {
            return Err(Failure::new("the balancer did not serve within 30 s"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!("the balancer serves: `{run} serve FILE`"));

    let started = Instant::now();
    let (next_key, stop) = (Arc::new(AtomicU64::new(1)), Arc::new(AtomicBool::new(false)));
    let booked = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let (record, next_key, stop, booked) =
            (record.clone(), next_key.clone(), stop.clone(), booked.clone());
        clients.push(spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let key =
                    format!("5c0f{:x}-{}", std::process::id(), next_key.fetch_add(1, Ordering::Relaxed));
                let first = Instant::now();
                loop {
                    record.line(&format!("sent {key}"));
                    let status = ask(address, &key);
                    record.line(&format!("answered {key}: {status}"));
                    if status == 200 {
                        booked.fetch_add(1, Ordering::Relaxed);
                        break;
                    }
                    if first.elapsed() + ASKS_AGAIN_AFTER > ASKS_UNTIL {
                        break;
                    }
                    thread::sleep(ASKS_AGAIN_AFTER);
                }
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(NEW_VERSION_AT);
    if with_trouble {
        put_in_place(&file, &file_text(address, [&blue, &green], true, adds_class))?;
        let hangup = Command::new("/bin/sh").args(["-c", &format!("kill -HUP {pid}")]).status()?;
        record.line(&format!("a new version is in place; kill -HUP: {hangup}"));
        wait_for_log(&log_path, "the new version is in force")?;
        record.line("the log says that the new version is in force");
    }
    thread::sleep(LAST_ORDER_AT.saturating_sub(started.elapsed()));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));

    let runs = runs.lock().map(|r| r.clone()).unwrap_or_default();
    let window = WINDOW.as_secs_f64();
    let mut twice: Vec<(&String, &Vec<Run>)> =
        runs.iter().filter(|(_, all)| all.windows(2).any(|two| two[1].0 - two[0].0 < window)).collect();
    twice.sort_by(|a, b| a.1[0].0.total_cmp(&b.1[0].0));
    for (key, all) in &twice {
        record.line(&format!("{key} ran {} times: {all:?}", all.len()));
    }
    let (orders, booked) = (runs.len(), booked.load(Ordering::Relaxed));
    Ok(match twice.len() {
        0 => Verdict::Held(format!("{orders} orders, {booked} booked, none ran a second time")),
        n => Verdict::Broken(format!(
            "{orders} orders, {booked} booked, {n} ran a second time within their window"
        )),
    })
}
