//! The platform's discovery: the whole list, and watches on what changes.

use crate::{Due, Fleet};
use garnettally_model::{ListedState, Micros};
use httparse::Status;

impl Fleet {
    /// Takes a call of discovery.
    pub(crate) fn discovery_input(&mut self, id: u64) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if conn.watch {
            conn.input.clear();
            return;
        }
        let mut space = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Request::new(&mut space);
        let (n, path) = match head.parse(&conn.input) {
            Ok(Status::Complete(n)) => (n, head.path.unwrap_or("").to_string()),
            Ok(Status::Partial) if conn.input.len() < 16 << 10 => return,
            _ => return self.close(id),
        };
        conn.input.drain(..n);
        if !path.starts_with("/v1/endpoints") {
            return self.send(id, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        }
        let all: Vec<(usize, ListedState)> =
            (0..self.places.len()).map(|n| (n, self.places[n].listed())).collect();
        let list = self.list_of(&all, true);
        if path.contains("stream=1") {
            if let Some(conn) = self.conns.get_mut(&id) {
                conn.watch = true;
            }
            self.send(id, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            self.send(id, &chunk(&list));
        } else {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            self.send(id, head.as_bytes());
        }
    }

    fn list_of(&self, nodes: &[(usize, ListedState)], whole: bool) -> String {
        let hosts = nodes.iter().filter(|(_, state)| !whole || *state != ListedState::Removed).map(|&(n, state)| {
            let p = &self.places[n];
            let health = match state {
                ListedState::Ready => "SERVING",
                ListedState::Draining => "DRAINING",
                ListedState::Removed => "DELETED",
            };
            serde_json::json!({
                "host": p.name, "dial": p.address.to_string(), "site": self.world.zones[p.zone], "class": "node",
                "block": p.cell, "health": health, "share": 1.0, "born_ms": p.since_ms,
            })
        });
        serde_json::json!({ "seq": self.seq, "whole": whole, "hosts": hosts.collect::<Vec<_>>() }).to_string()
    }

    /// Has the watches told of a node, after the list's delay.
    pub(crate) fn announce(&mut self, n: usize, state: ListedState) {
        let delay = self.world.tiers[0].list.delay;
        let wait = delay.draw(&mut self.list);
        let at = self.now() + wait;
        self.ask(at, Due::Told(n, state));
    }

    pub(crate) fn told(&mut self, n: usize, state: ListedState) {
        if self.stale {
            return self.held_news.push((n, state));
        }
        self.seq += 1;
        let line = chunk(&self.list_of(&[(n, state)], false));
        let now = self.now();
        self.places[n].told_drained = (state != ListedState::Ready).then_some(now);
        self.tell_watches(&line);
    }

    pub(crate) fn ping(&mut self) {
        self.tell_watches(b"1\r\n\n\r\n");
        let at = self.now() + Micros(2_000_000);
        self.ask(at, Due::Ping);
    }

    fn tell_watches(&mut self, bytes: &[u8]) {
        let mut watches: Vec<u64> = self.conns.iter().filter(|(_, c)| c.watch).map(|(&id, _)| id).collect();
        watches.sort_unstable();
        watches.into_iter().for_each(|id| self.send(id, bytes));
    }
}

fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}
