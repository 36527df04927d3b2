//! Some clients send hundreds of requests at once, beside the usual ones.

use review_standins_2::*;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const USUAL: usize = 24;
const BAD: usize = 200;
/// How many requests a bad client writes at once.
const AT_ONCE: usize = 300;
const QUIET: Duration = Duration::from_secs(2);
const LOUD: Duration = Duration::from_secs(12);
/// The time of a usual request, and how far after it an answer may come before the request is lost: 0.5 s and the 50
/// ms of every limit on sockets.
const DEADLINE: Duration = Duration::from_millis(1050);
const SLACK: Duration = Duration::from_millis(550);

fn config(listen: SocketAddr, discovery: SocketAddr, list: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{list},
 "settings":{{"Az":"bole-room","Azs":["bole-room"],"Clients":{{"MarksRetry":false}},
 "Contract":{{"AskWithinUs":10000000,"ColdShare":0.3,"DrainGraceUs":500000,"FallMultiple":3.0,"GraceToAnswerUs":20000,"RampTimeUs":7700000,"TipAfterUs":2000000}},
 "Goal":{{"Whole":0.5,"WorstClass":0.1,"WorstTenant":0.25,"WorstWindow":0.15}},
 "Grades":[{{"HardLimitUs":1500000,"KeyScope":"all","LateWorth":0.0,"Name":"part-lookup","Semantics":"safe","SloUs":600000,"Streaming":false,"WindowUs":5000000,"Worth":1.0}}],
 "KindOfService":"chain","Kinds":["front-std"],
 "Limits":{{"CpuUsPerRequest":0.0,"CpuUsPerS":15000,"DialTimeoutUs":250000,"IdleCloseUs":60000000,"MaxOpen":20000,"MaxRetryAfterUs":2000000,"MayCancel":true,"ParallelTries":true,"PeerMessages":false,"Probes":true,"RetryAfter":true,"SendCap":5,"StreamsPerConn":1}},
 "LoadReport":{{"Fields":["busy","rif"],"How":"answers"}},"Me":0,"NInstances":1,"OverShareWorth":0.05,
 "Realms":[{{"Name":"abay-core","QuotaRps":1000.0,"Share":1.0}}],"RegistryMode":"on_request","ResolutionUs":5000,
 "Specifics":{{"PassesDeadline":true}},"Stages":["front"],"Tariffs":{{}},"Tier":0,"WeightKind":"none","WorthBy":"work"}}}}"#
    )
}

/// What became of a usual request: its id, when it was sent, in ms, how long its answer took, and its status.
type Outcome = (String, f64, Duration, Option<u16>);

/// A usual client: one request at a time on a connection that it keeps, 40 ms apart.
fn be_usual(i: usize, to: SocketAddr, record: &Record, stop: &AtomicBool, outcomes: &Mutex<Vec<Outcome>>) {
    let mut kept: Option<BufReader<TcpStream>> = None;
    for n in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(Duration::from_millis(40));
        let Some(mut connection) = kept.take().or_else(|| {
            let stream = TcpStream::connect(to).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(40))).ok()?;
            Some(BufReader::new(stream))
        }) else {
            continue;
        };
        let id = format!("usual-{i}-{n}");
        let headers = [
            ("Req-Id", id.clone()),
            ("Req-Owner", "abay-core".to_string()),
            ("Req-Deadline", format!("{:.3}", DEADLINE.as_secs_f64())),
        ];
        let is_first = n == 0;
        if connection.get_mut().write_all(&request_bytes("GET", "/part-lookup/x", &headers, "")).is_err() {
            continue;
        }
        let (sent_at, sent) = (record.ms(), Instant::now());
        let answer = read_message(&mut connection);
        let took = sent.elapsed();
        match answer {
            Ok(Some(m)) => {
                if !m.header("connection").eq_ignore_ascii_case("close") {
                    kept = Some(connection);
                }
                if let Ok(mut all) = outcomes.lock() {
                    all.push((id, sent_at, took, Some(m.status)));
                }
            }
            // A close that crosses the request on a kept connection: it is sent once more.
            _ if !is_first && took < Duration::from_millis(5) => {}
            _ => {
                if let Ok(mut all) = outcomes.lock() {
                    all.push((id, sent_at, took, None));
                }
            }
        }
    }
}

/// A bad client: writes hundreds of requests at once, at full speed, and reads whatever it is sent.
fn be_bad(to: SocketAddr, stop: &Arc<AtomicBool>) {
    let bytes = request_bytes("GET", "/ready", &[], "").repeat(AT_ONCE);
    while !stop.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect(to) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let (Ok(mut input), mut output) = (stream.try_clone(), stream) else { continue };
        let is_over = stop.clone();
        let reader = thread::spawn(move || {
            let mut piece = vec![0; 64 << 10];
            while !is_over.load(Ordering::SeqCst) {
                match input.read(&mut piece) {
                    Ok(0) => return,
                    Err(e) if !matches!(e.kind(), std::io::ErrorKind::WouldBlock) => return,
                    _ => {}
                }
            }
        });
        while !stop.load(Ordering::SeqCst) && output.write_all(&bytes).is_ok() {}
        let _ = output.shutdown(Shutdown::Both);
        let _ = reader.join();
    }
}

fn main() {
    run_case(|case| {
        let record = case.record.clone();
        let mut hosts = Vec::new();
        for i in 0..4 {
            let node = start_server(|request| {
                thread::sleep(Duration::from_millis(20));
                (200, request.header("req-id").as_bytes().to_vec())
            })?;
            hosts.push(format!(
                r#"{{"host":"s-{i}","dial":"{node}","site":"bole-room","class":"front-std","block":0,"health":"SERVING","share":1.0,"born_ms":0}}"#
            ));
        }
        let list = format!(r#"{{"seq":7,"whole":true,"hosts":[{}]}}"#, hosts.join(","));
        let (listen, discovery) = (free_address()?, start_discovery(list.clone())?);
        let balancer = Balancer::on_platform(case, "n0", &config(listen, discovery, &list))?;
        wait_until_ready(listen)?;
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
        let mut clients = Vec::new();
        for i in 0..USUAL {
            let (record, stop, outcomes) = (record.clone(), stop.clone(), outcomes.clone());
            clients.push(thread::spawn(move || be_usual(i, listen, &record, &stop, &outcomes)));
        }
        record.note(format!("{USUAL} usual clients begin"));
        thread::sleep(QUIET);
        if case.trouble {
            record.note(format!("{BAD} bad clients begin: {AT_ONCE} requests at once, over and over"));
            for _ in 0..BAD {
                let stop = stop.clone();
                clients.push(thread::spawn(move || be_bad(listen, &stop)));
            }
        }
        thread::sleep(LOUD);
        stop.store(true, Ordering::SeqCst);
        record.note("all clients stop");
        clients.into_iter().for_each(|c| drop(c.join()));
        drop(balancer);
        let all = outcomes.lock().map_err(|e| e.to_string())?;
        let mut broken = 0;
        for (id, sent_at, took, status) in all.iter() {
            let answered = status.map_or("no answer".to_string(), |s| s.to_string());
            record
                .note(format!("{id}, sent at {sent_at:.1} ms: {answered} after {:.3} s", took.as_secs_f64()));
            if status.is_none() || *took > DEADLINE + SLACK {
                broken += 1;
            }
        }
        let longest = all.iter().map(|o| o.2).max().unwrap_or_default();
        record.note(format!(
            "{} usual requests, {broken} of them answered more than 0.55 s after their time, or never; the longest took {:.3} s",
            all.len(),
            longest.as_secs_f64()
        ));
        Ok(broken == 0)
    })
}
