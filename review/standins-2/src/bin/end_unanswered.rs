//! A planned restart while a long request runs.

use review_standins_2::*;
use std::thread;
use std::time::{Duration, Instant};

/// The work of the request: less than its deadline.
const WORK: Duration = Duration::from_secs(45);
/// What was taken is answered within this of SIGTERM, says the operators' page, and SIGKILL should come a
/// little later.
const ANSWERED_WITHIN: Duration = Duration::from_secs(30);
const LITTLE_MORE: Duration = Duration::from_secs(5);

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
        let listen = free_address()?;
        let text = format!(
            r#"version = 1
name = "edge-1"

[listeners.public]
address = "{listen}"

[classes.report]
repeat = "never"
aim = "50s"
deadline = "1m"

[pools.web]
nodes = [{{ name = "web-1", address = "{node}" }}]

[[routes]]
name = "reports"
path_prefix = "/reports"
class = "report"
pool = "web"
"#
        );
        let mut balancer = Balancer::serve(case, "edge-1", &text)?;
        wait_until_ready(listen)?;
        let client_record = record.clone();
        let client = thread::spawn(move || {
            let headers = [("Req-Id", "report-1".to_string()), ("Req-Deadline", "60.000".to_string())];
            client_record.note("client: report-1 is sent");
            let answer = ask(listen, "POST", "/reports/1", &headers, "x", Duration::from_secs(65));
            match &answer {
                Ok(a) => client_record.note(format!("client: report-1 gets {}", a.status)),
                Err(e) => client_record.note(format!("client: report-1 gets no answer: {e}")),
            }
            answer.is_ok()
        });
        thread::sleep(Duration::from_secs(2));
        if case.trouble {
            record.note("operator: SIGTERM");
            balancer.signal(SIGTERM);
            let kill_at = Instant::now() + ANSWERED_WITHIN + LITTLE_MORE;
            while Instant::now() < kill_at && !balancer.has_ended() {
                thread::sleep(Duration::from_millis(20));
            }
            if balancer.has_ended() {
                record.note("balancer: has ended");
            } else {
                record.note("operator: SIGKILL, as the process still runs 35 s after SIGTERM");
                balancer.signal(SIGKILL);
            }
        }
        let answered = client.join().unwrap_or(false);
        drop(balancer);
        Ok(answered)
    })
}
