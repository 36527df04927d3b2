//! The platform's discovery: the whole list of nodes, and watches that get its changes.

use crate::{Event, Fleet};
use garnettally_model::{ListedState, Micros};
use httparse::Status;

impl Fleet {
    /// Processes a call of discovery: of the whole list, or of a watch.
    pub(crate) fn discovery_input(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.watch {
            connection.input.clear();
            return;
        }
        let mut space = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Request::new(&mut space);
        let (n, path) = match head.parse(&connection.input) {
            Ok(Status::Complete(n)) => (n, head.path.unwrap_or("").to_string()),
            Ok(Status::Partial) if connection.input.len() < 16 << 10 => return,
            _ => return self.close(id),
        };
        connection.input.drain(..n);
        if !path.starts_with("/v1/endpoints") {
            return self.send(id, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        }
        let all: Vec<(usize, ListedState)> =
            (0..self.nodes.len()).map(|n| (n, self.nodes[n].listed_state())).collect();
        let list = self.list_json(&all, true);
        if path.contains("stream=1") {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.watch = true;
            }
            self.send(id, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            self.send(id, &chunk(&list));
        } else {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            self.send(id, head.as_bytes());
        }
    }

    /// The JSON of discovery's list with these nodes; `whole`: it replaces the list before, and leaves out
    /// removed nodes.
    fn list_json(&self, nodes: &[(usize, ListedState)], whole: bool) -> String {
        let hosts = nodes.iter().filter(|(_, state)| !whole || *state != ListedState::Removed).map(|&(n, state)| {
            let node = &self.nodes[n];
            let health = match state {
                ListedState::Ready => "SERVING",
                ListedState::Draining => "DRAINING",
                ListedState::Removed => "DELETED",
            };
            serde_json::json!({
                "host": node.name, "dial": node.address.to_string(), "site": self.world.zones[node.zone], "class": "node",
                "block": node.cell, "health": health, "share": 1.0, "born_ms": node.since_ms,
            })
        });
        serde_json::json!({ "seq": self.seq, "whole": whole, "hosts": hosts.collect::<Vec<_>>() }).to_string()
    }

    /// Schedules the publication of a node's new state, after the list's delay.
    pub(crate) fn schedule_publication(&mut self, index: usize, state: ListedState) {
        let delay = self.world.tiers[0].list.delay;
        let wait = delay.draw(&mut self.list_delays);
        let at = self.now() + wait;
        self.schedule(at, Event::Publish(index, state));
    }

    /// Writes a node's new state to all watches, or withholds it while the list is stale.
    pub(crate) fn publish(&mut self, index: usize, state: ListedState) {
        if self.list_is_stale {
            return self.withheld_changes.push((index, state));
        }
        self.seq += 1;
        let line = chunk(&self.list_json(&[(index, state)], false));
        let now = self.now();
        self.nodes[index].drain_published = (state != ListedState::Ready).then_some(now);
        self.write_to_watches(&line);
    }

    /// Writes an empty line to all watches, every 2 s.
    pub(crate) fn ping_watches(&mut self) {
        self.write_to_watches(b"1\r\n\n\r\n");
        let at = self.now() + Micros(2_000_000);
        self.schedule(at, Event::PingWatches);
    }

    /// Writes bytes to all watches, in the order in which they were opened.
    fn write_to_watches(&mut self, bytes: &[u8]) {
        let mut watches: Vec<u64> =
            self.connections.iter().filter(|(_, c)| c.watch).map(|(&id, _)| id).collect();
        watches.sort_unstable();
        watches.into_iter().for_each(|id| self.send(id, bytes));
    }
}

/// A line as a chunk of a response with chunked framing.
fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}
