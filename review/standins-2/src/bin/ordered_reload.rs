//! Two changes of one account are sent one after the other, and the configuration is read again in between.

use review_standins_2::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

fn file(listen: SocketAddr, nodes: &[SocketAddr], lookup_aim: &str) -> String {
    let listed = nodes.iter().enumerate();
    let listed = listed.map(|(i, a)| format!("  {{ name = \"node-{i}\", address = \"{a}\" }},\n"));
    format!(
        r#"version = 1
name = "edge-1"

[listeners.public]
address = "{listen}"

[classes.lookup]
repeat = "safe"
aim = "{lookup_aim}"
deadline = "1500ms"

[classes.change]
repeat = "never"
ordered = true
aim = "8s"
deadline = "10s"

[pools.accounts]
nodes = [
{}]

[[routes]]
name = "change"
path = "/accounts/{{id}}"
methods = ["POST"]
class = "change"
key = {{ param = "id" }}
pool = "accounts"

[[routes]]
name = "lookup"
path = "/accounts/{{id}}"
methods = ["GET"]
class = "lookup"
pool = "accounts"
"#,
        listed.collect::<String>()
    )
}

/// What the nodes share: the account's value, and the changes that run now.
#[derive(Default)]
struct Store {
    value: String,
    running: Vec<String>,
    ran_together: Vec<String>,
}

fn main() {
    run_case(|case| {
        let record = case.record.clone();
        let store: Arc<Mutex<Store>> = Arc::default();
        let mut nodes = Vec::new();
        for i in 0..3 {
            let (record, store) = (record.clone(), store.clone());
            nodes.push(start_server(move |request| {
                let (id, value) = (request.header("req-id").to_string(), request.body_text());
                let Ok(mut s) = store.lock() else { return (500, Vec::new()) };
                if request.first_line.starts_with("GET ") {
                    return (200, s.value.clone().into_bytes());
                }
                record.note(format!("node-{i}: {id} (value := {value}) begins; running: {:?}", s.running));
                let others = s.running.clone();
                s.ran_together.extend(others.into_iter().map(|o| format!("{id} began while {o} ran")));
                s.running.push(id.clone());
                drop(s);
                // The work of a change is told by its cost hint.
                let work = request.header("req-cost").parse().unwrap_or(0);
                thread::sleep(Duration::from_micros(work));
                let Ok(mut s) = store.lock() else { return (500, Vec::new()) };
                s.value.clone_from(&value);
                s.running.retain(|r| *r != id);
                record.note(format!("node-{i}: {id} has run, the value is {value}"));
                (200, value.into_bytes())
            })?);
        }
        let listen = free_address()?;
        let balancer = Balancer::serve(case, "edge-1", &file(listen, &nodes, "600ms"))?;
        wait_until_ready(listen)?;
        // SIGHUP never comes within the first second of a process.
        thread::sleep(Duration::from_millis(1500));
        let change = |id: &'static str, value: &'static str, work: Duration| {
            let record = record.clone();
            thread::spawn(move || {
                let headers = [
                    ("Req-Id", id.to_string()),
                    ("Req-Deadline", "10.000".to_string()),
                    ("Req-Cost", work.as_micros().to_string()),
                ];
                record.note(format!("client: {id} (value := {value}) is sent"));
                let answer = ask(listen, "POST", "/accounts/7", &headers, value, Duration::from_secs(12));
                let told = answer.as_ref().map_or_else(|e| e.to_string(), |a| a.status.to_string());
                record.note(format!("client: {id} gets {told}"));
                answer.is_ok_and(|a| a.status == 200)
            })
        };
        let first = change("change-1", "old", Duration::from_millis(2500));
        thread::sleep(Duration::from_millis(300));
        if case.trouble {
            let path = case.folder.join("edge-1.toml");
            write_whole(&path, &file(listen, &nodes, "500ms"))?;
            record.note("operator: classes.lookup.aim is 500ms now, SIGHUP");
            balancer.signal(SIGHUP);
            balancer.wait_for_log("the new version is in force", 1)?;
            record.note("balancer: the new version is in force");
        }
        thread::sleep(Duration::from_millis(300));
        let second = change("change-2", "new", Duration::from_millis(200));
        let both = [first, second].map(|c| c.join().unwrap_or(false));
        drop(balancer);
        let s = store.lock().map_err(|e| e.to_string())?;
        record.note(format!("answered with 200: change-1 {}, change-2 {}", both[0], both[1]));
        record.note(format!("the account's value in the end: {}", s.value));
        s.ran_together.iter().for_each(|t| record.note(t));
        if both != [true, true] {
            return Err("a change was not served".into());
        }
        Ok(s.ran_together.is_empty())
    })
}
