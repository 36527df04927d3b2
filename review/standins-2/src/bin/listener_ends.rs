//! A listener ends by a new configuration while connections wait to be accepted.

use review_standins_2::*;
use std::thread;
use std::time::Duration;

/// What the listener may hold, and how many clients ask at the same time.
const CONNECTIONS: usize = 8;
const CLIENTS: usize = 16;
/// The work of a request, and the time that its client waits.
const WORK: Duration = Duration::from_millis(1500);
const DEADLINE: Duration = Duration::from_secs(10);

fn file(listen: std::net::SocketAddr, node: std::net::SocketAddr) -> String {
    format!(
        r#"version = 1
name = "edge-1"

[listeners.public]
address = "{listen}"
connections = {{ max = {CONNECTIONS} }}

[classes.lookup]
repeat = "safe"
aim = "8s"
deadline = "10s"

[pools.web]
nodes = [{{ name = "web-1", address = "{node}" }}]

[[routes]]
name = "all"
path_prefix = "/"
methods = ["GET"]
class = "lookup"
pool = "web"
"#
    )
}

fn main() {
    run_case(|case| {
        let record = case.record.clone();
        let node_record = record.clone();
        let node = start_server(move |request| {
            let id = request.header("req-id").to_string();
            node_record.note(format!("node: {id} begins"));
            thread::sleep(WORK);
            node_record.note(format!("node: {id} has run"));
            (200, id.into_bytes())
        })?;
        let (first, second) = (free_address()?, free_address()?);
        let balancer = Balancer::serve(case, "edge-1", &file(first, node))?;
        wait_until_ready(first)?;
        // SIGHUP never comes within the first second of a process.
        thread::sleep(Duration::from_millis(1500));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|i| {
                let record = record.clone();
                thread::spawn(move || {
                    let id = format!("r{i:02}");
                    let headers = [("Req-Id", id.clone()), ("Req-Deadline", "10.000".to_string())];
                    record.note(format!("client: {id} is sent"));
                    let mut answer = ask(first, "GET", "/look/", &headers, "", DEADLINE);
                    if let Err(e) = &answer {
                        // The protocol lets a client send it once more on a new connection.
                        record.note(format!("client: {id} gets no answer ({e}), and is sent once more"));
                        answer = ask(first, "GET", "/look/", &headers, "", DEADLINE);
                    }
                    match &answer {
                        Ok(a) => record.note(format!("client: {id} gets {} {:?}", a.status, a.body_text())),
                        Err(e) => record.note(format!("client: {id} gets no answer: {e}")),
                    }
                    answer.is_ok()
                })
            })
            .collect();
        // All requests are written; the listener has as many connections as it may, the others wait.
        thread::sleep(Duration::from_millis(600));
        if case.trouble {
            write_whole(&case.folder.join("edge-1.toml"), &file(second, node))?;
            record.note(format!("operator: listeners.public moves from {first} to {second}, SIGHUP"));
            balancer.signal(SIGHUP);
            balancer.wait_for_log("the new version is in force", 1)?;
            record.note("balancer: the new version is in force");
        }
        let answered = clients.into_iter().filter_map(|c| c.join().ok()).filter(|a| *a).count();
        record.note(format!("{answered} of {CLIENTS} requests got a final answer"));
        drop(balancer);
        Ok(answered == CLIENTS)
    })
}
