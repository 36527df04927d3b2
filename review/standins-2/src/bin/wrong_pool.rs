//! Two customers behind one process, each with a service of its own, happen to use the same idempotency key.

use review_standins_2::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ROUNDS: usize = 5;

fn file(listen: SocketAddr, north: SocketAddr, south: SocketAddr) -> String {
    format!(
        r#"version = 1
name = "edge-1"

[listeners.public]
address = "{listen}"

[classes.order-create]
repeat = "keyed"
aim = "2500ms"
deadline = "6s"
window = "10s"

[pools.north]
nodes = [{{ name = "north-1", address = "{north}" }}]

[pools.south]
nodes = [{{ name = "south-1", address = "{south}" }}]

[[routes]]
name = "north-order-create"
host = "north.example.org"
path = "/orders"
methods = ["POST"]
class = "order-create"
key = {{ header = "Idempotency-Key" }}
pool = "north"

[[routes]]
name = "south-order-create"
host = "south.example.org"
path = "/orders"
methods = ["POST"]
class = "order-create"
key = {{ header = "Idempotency-Key" }}
pool = "south"
"#
    )
}

fn main() {
    run_case(|case| {
        let record = case.record.clone();
        // The orders that each customer's node has opened, by the customer that they are from.
        let opened: Arc<Mutex<Vec<(&'static str, String)>>> = Arc::default();
        let start = |customer: &'static str| {
            let (record, opened) = (record.clone(), opened.clone());
            start_server(move |request| {
                let order = request.body_text();
                record.note(format!("node of {customer}: gets {} with {order:?}", request.first_line));
                thread::sleep(Duration::from_millis(20));
                if let Ok(mut opened) = opened.lock() {
                    opened.push((customer, order.clone()));
                }
                (200, format!("{customer} has opened: {order}").into_bytes())
            })
        };
        let (north, south) = (start("north")?, start("south")?);
        let listen = free_address()?;
        let balancer = Balancer::serve(case, "edge-1", &file(listen, north, south))?;
        wait_until_ready(listen)?;
        let order = |customer: &str, n: usize, key: &str| -> Result<bool, String> {
            let (id, order) = (format!("{customer}-{n}"), format!("order {n} of {customer}"));
            let headers = [
                ("Host", format!("{customer}.example.org")),
                ("Req-Id", id.clone()),
                ("Req-Deadline", "6.000".to_string()),
                ("Idempotency-Key", key.to_string()),
            ];
            record.note(format!("client: {id} is sent to {customer}.example.org with key {key}"));
            let answer = ask(listen, "POST", "/orders", &headers, &order, Duration::from_secs(8));
            let answer = answer.map_err(|e| e.to_string())?;
            record.note(format!("client: {id} gets {} {:?}", answer.status, answer.body_text()));
            Ok(answer.status == 200 && answer.body_text() == format!("{customer} has opened: {order}"))
        };
        let mut all_right = true;
        for n in 1..=ROUNDS {
            // Both customers number their orders, and their numbers are their keys.
            let (key, other) = (format!("{}", 1000 + n), format!("{}", 7000 + n));
            all_right &= order("north", n, &key)?;
            thread::sleep(Duration::from_millis(200));
            all_right &= order("south", n, if case.trouble { &key } else { &other })?;
        }
        drop(balancer);
        let opened = opened.lock().map_err(|e| e.to_string())?;
        for (customer, order) in opened.iter().filter(|(c, o)| !o.ends_with(&format!(" of {c}"))) {
            record.note(format!("broken: the node of {customer} has opened {order:?}"));
            all_right = false;
        }
        Ok(all_right)
    })
}
