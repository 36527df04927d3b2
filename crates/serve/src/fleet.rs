//! The fleet's wiring: the link on the event loop, what it tells in the log, in `/members` and in `/stats`. It hands
//! values over and knows nothing of requests.

use crate::{Net, Proxy};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use garnettally_config::file::Fleet as Settings;
use garnettally_link::{Link, LinkError, LinkSettings};
use garnettally_peers::{Event, Identity, Rejected, State};
use serde_json::{json, Value};
use slog::{error, info, warn};
use std::fmt::Write;
use std::time::Instant;

/// This process as a member of the fleet.
pub struct Fleet {
    link: Link,
    /// As it was started: what else a reload says holds from the next start on.
    settings: Settings,
}

fn link_settings(s: &Settings) -> LinkSettings {
    let member = garnettally_peers::Settings {
        seeds: s.seeds.clone(),
        probe_period: s.probe_period,
        suspicion: s.suspicion,
        forget_after: s.forget_after,
        ask_every: s.ask_every,
        ask_peers: s.ask_peers,
        // An answer that was under way for longer than a probe may be is as good as lost.
        ask_timeout: s.probe_period,
        max_age: s.max_age,
        facts_most: s.facts,
        members_most: s.members,
        size_floor: s.size_floor,
        size_hold: s.size_hold,
        ..garnettally_peers::Settings::new(&s.name, &s.zone, s.advertise)
    };
    LinkSettings {
        member,
        bind: s.address,
        key_file: s.key_file.clone(),
        send_bytes: s.send_bytes,
        receive_datagrams: s.receive_datagrams,
    }
}

impl Fleet {
    /// Joins the fleet.
    pub fn start(net: &Net, settings: Settings) -> Result<Fleet, String> {
        let link = Link::open(link_settings(&settings)).map_err(|e: LinkError| e.to_string())?;
        let source = Generic::new(link.socket(), Interest::READ, Mode::Level);
        let watched = net.handle.insert_source(source, |_, _, proxy: &mut Proxy| {
            if let Some(fleet) = &mut proxy.fleet {
                fleet.link.readable();
            }
            Ok(PostAction::Continue)
        });
        watched.map_err(|e| format!("fleet.address: {}", e.error))?;
        let me = link.me();
        info!(net.log, "a member of the fleet"; "member" => &me.name, "zone" => &me.zone, "address" => %me.address,
            "life" => format!("{:016x}", me.boot), "keys" => settings.key_file.is_some());
        Ok(Fleet { link, settings })
    }

    /// What is due, after each round of the event loop.
    pub fn turn(&mut self, net: &Net) {
        self.link.turn();
        for event in self.link.take_events() {
            tell(net, &event, self.link.alive());
        }
    }

    pub fn next_wake(&self) -> Instant {
        self.link.next_wake()
    }

    /// The process ends: peers need not find out by themselves.
    pub fn leave(&mut self) {
        self.link.leave();
    }

    /// A new version of the file: keys change at once, all else at the next start.
    pub fn reload(&mut self, net: &Net, new: Option<&Settings>) {
        if new != Some(&self.settings) {
            warn!(net.log, "[fleet] has changed; that holds from the next start on");
        }
        match self.link.reread_keys() {
            Ok(()) => {}
            Err(e) => error!(net.log, "the fleet's keys before stay in force"; "error" => %e),
        }
    }

    /// `GET /members`.
    pub fn json(&self) -> Value {
        let me = self.link.me();
        let mut members: Vec<(&Identity, &str)> = vec![(me, "self")];
        members.extend(self.link.others().map(|(id, state)| (id, name(state))));
        members.sort_by(|a, b| a.0.name.cmp(&b.0.name).then(a.0.address.cmp(&b.0.address)));
        let rows: Vec<Value> = members
            .into_iter()
            .map(|(id, state)| {
                json!({
                    "name": id.name, "zone": id.zone, "address": id.address.to_string(), "state": state,
                    "life": format!("{:016x}", id.boot), "generation": id.generation,
                })
            })
            .collect();
        let counts = self.link.counts();
        json!({
            "member": me.name, "alive": self.link.alive(), "size": self.link.size(), "away": counts.away,
            "stalls": counts.stalls, "facts": self.link.facts_held(),
            "max_age_ms": self.settings.max_age.as_millis() as u64, "members": rows,
        })
    }

    /// Its lines of `/stats`.
    pub fn stats(&self, out: &mut String) {
        let (counts, dropped) = (self.link.counts(), self.link.dropped());
        for (what, n) in [
            ("members_alive", u64::from(self.link.alive())),
            ("size", u64::from(self.link.size())),
            ("facts", self.link.facts_held() as u64),
        ] {
            let _ = writeln!(out, "edge_gw.fleet.{what}:{n}|g");
        }
        for (what, n) in [
            ("away", u64::from(counts.away)),
            ("stalls", u64::from(counts.stalls)),
            ("taken", counts.taken),
            ("sent", counts.sent),
            ("sent_bytes", counts.sent_bytes),
            ("facts_over", counts.facts_over),
            ("dropped.rate", dropped.received),
            ("dropped.unsent", dropped.unsent),
            ("dropped.failed", dropped.failed),
        ] {
            let _ = writeln!(out, "edge_gw.fleet.{what}:{n}|c");
        }
        for why in Rejected::ALL {
            let what = format!("{why:?}").to_lowercase();
            let _ = writeln!(out, "edge_gw.fleet.dropped.{what}:{}|c", counts.dropped[why.index()]);
        }
    }
}

fn name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Down => "down",
    }
}

fn tell(net: &Net, event: &Event, alive: u32) {
    let log = &net.log;
    match event {
        Event::Up(m) => {
            info!(log, "a member is there"; "member" => &m.name, "address" => %m.address, "alive" => alive)
        }
        Event::Down(m) => {
            warn!(log, "a member is down"; "member" => &m.name, "address" => %m.address, "alive" => alive)
        }
        Event::Renewed(_, m) => {
            info!(log, "a member has a new life"; "member" => &m.name, "address" => %m.address,
                "generation" => m.generation)
        }
        Event::WasAway(_) => warn!(log, "was taken to be dead, and has joined anew"),
        Event::SameName(a, b) => error!(log, "two members have one name: give each its own";
            "member" => &a.name, "address" => %a.address, "other" => %b.address),
    }
}
