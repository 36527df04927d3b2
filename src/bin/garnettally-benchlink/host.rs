//! The balancer instances of the process, each with its own names and its own [`Balancer`].

use crate::wire::{self, Incoming, Outgoing};
use garnettally_decisions::*;
use rustc_hash::FxHashMap;

/// A request that has not ended, or that still has attempts in flight.
struct OpenRequest {
    /// The id of the request in the simulator's messages.
    tid: String,
    /// The number of attempts sent so far.
    sends: u32,
    /// The numbers of the attempts in flight.
    in_flight: Vec<u32>,
    /// The request has had its final answer, or its client has disconnected.
    ended: bool,
}

/// A balancer, with the translation of its names and request ids.
struct Instance {
    balancer: Balancer,
    names: Names,
    /// The module's number of each open request, by the request's id in the simulator's messages.
    ids: FxHashMap<String, u64>,
    /// The open requests, by the module's number.
    open_requests: FxHashMap<u64, OpenRequest>,
    /// The module's number for the next request.
    next_id: u64,
}

/// All instances of the process. They share only the numbered lists, because the simulator sends each list
/// once for all.
#[derive(Default)]
pub struct Host {
    /// The time of the present batch; `None` outside a batch.
    now: Option<Micros>,
    /// The lists, by the number that the simulator gave them.
    lists: Vec<Option<Vec<Listing>>>,
    instances: FxHashMap<u64, Instance>,
    /// A buffer for the entries of a list, kept to avoid allocations.
    entries: Vec<ServerEntry>,
    /// A buffer for the actions of one event, kept to avoid allocations.
    actions: Vec<Action>,
    /// The reply to the present batch, as far as it is complete.
    reply: Vec<u8>,
}

impl Host {
    /// Handles one message. Returns whether it completed a batch, so that the reply is ready.
    pub fn handle(&mut self, message: Incoming<'_>) -> Result<bool, String> {
        match message {
            Incoming::Frame(message) => {
                self.now = Some(Micros(message.at_time_us));
                self.reply.clear();
            }
            Incoming::Commit(_) => {
                self.now()?;
                write_message(&mut self.reply, &Outgoing::Eor {});
                self.now = None;
                return Ok(true);
            }
            Incoming::Census(message) => self.store_list(message)?,
            Incoming::Boot(message) => {
                let instance = Instance::new(&message, self.now()?)?;
                self.instances.insert(message.balancer, instance);
            }
            Incoming::Retire(message) => {
                self.instances.remove(&message.balancer);
            }
            Incoming::Announce(message) => self.announce_list(&message)?,
            Incoming::Knock(message) => {
                let (now, instance) = self.now_and_instance(message.balancer)?;
                let event = instance.new_request(&message);
                self.handle_event(message.balancer, now, event)?;
            }
            Incoming::HeadReceived(message) => {
                self.now_and_instance(message.balancer)?;
            }
            Incoming::Finished(message) => self.end_attempt(&message)?,
            Incoming::ClientLeft(message) => {
                let (now, instance) = self.now_and_instance(message.balancer)?;
                if let Some(&id) = instance.ids.get(&*message.tid) {
                    self.handle_event(message.balancer, now, Event::ClientLeft(RequestId(id)))?;
                    self.instance(message.balancer)?.end_request(id);
                }
            }
            Incoming::Timer(message) => {
                let (now, _) = self.now_and_instance(message.balancer)?;
                self.handle_event(message.balancer, now, Event::Timer(message.token))?;
            }
            Incoming::Checked(message) => {
                self.now_and_instance(message.balancer)?;
            }
            Incoming::PeerData(message) => {
                self.now_and_instance(message.balancer)?;
            }
        }
        Ok(false)
    }

    /// The reply to the last batch.
    pub fn reply(&self) -> &[u8] {
        &self.reply
    }

    fn now(&self) -> Result<Micros, String> {
        self.now.ok_or_else(|| "the message is outside a batch: no Frame came before it".to_string())
    }

    fn instance(&mut self, number: u64) -> Result<&mut Instance, String> {
        self.instances.get_mut(&number).ok_or_else(|| format!("balancer {number} was never booted"))
    }

    /// The time of the present batch and the instance of this number; an error if there is no batch or no
    /// such instance.
    fn now_and_instance(&mut self, number: u64) -> Result<(Micros, &mut Instance), String> {
        let now = self.now()?;
        Ok((now, self.instance(number)?))
    }

    /// Hands an event to an instance's balancer and appends the resulting actions to the reply.
    fn handle_event(&mut self, number: u64, now: Micros, event: Event<'_>) -> Result<(), String> {
        let mut actions = std::mem::take(&mut self.actions);
        let mut reply = std::mem::take(&mut self.reply);
        let instance = self.instance(number)?;
        instance.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            instance.write_action(number, &action, &mut reply);
        }
        self.actions = actions;
        self.reply = reply;
        Ok(())
    }

    /// Stores a numbered list.
    fn store_list(&mut self, message: wire::Census<'_>) -> Result<(), String> {
        if message.set_id > 15 {
            return Err(format!("SetId {} is not between 0 and 15", message.set_id));
        }
        let mut list = Vec::with_capacity(message.entries.len());
        for entry in message.entries {
            let state = match entry.health {
                0 => ListedState::Removed,
                1 => ListedState::Ready,
                2 => ListedState::Draining,
                other => return Err(format!("Health {other} is unknown; 0, 1 and 2 are known")),
            };
            list.push(Listing {
                name: entry.upstream.into_owned(),
                zone: entry.zone.map(|z| z.into_owned()),
                kind: entry.kind.map(|k| k.into_owned()),
                cell: entry.block.unwrap_or(0),
                state,
                units: entry.units.unwrap_or(1.0),
                started_at: entry.online_since_us.filter(|&t| t != 0).map(Micros),
            });
        }
        if self.lists.len() <= message.set_id {
            self.lists.resize_with(message.set_id + 1, || None);
        }
        self.lists[message.set_id] = Some(list);
        Ok(())
    }

    /// Hands a stored list, or the failure of the watch, to an instance.
    fn announce_list(&mut self, message: &wire::Announce) -> Result<(), String> {
        let now = self.now()?;
        let form = match message.form {
            0 => ListForm::Delta,
            1 => ListForm::Full,
            2 => {
                return self.handle_event(
                    message.balancer,
                    now,
                    Event::WatchFailed { complete_until: now, failure: CallFailure::Busy },
                )
            }
            3 => ListForm::Cached,
            other => return Err(format!("Form {other} is unknown; 0 to 3 are known")),
        };
        let mut entries = std::mem::take(&mut self.entries);
        entries.clear();
        let list = message.set_id.and_then(|i| self.lists.get(i)).and_then(Option::as_ref);
        let list = list.ok_or_else(|| format!("list {:?} was never given by a Census", message.set_id))?;
        let instance = self.instances.get_mut(&message.balancer);
        let instance = instance.ok_or_else(|| format!("balancer {} was never booted", message.balancer))?;
        entries.extend(list.iter().map(|l| instance.names.register(l)));
        self.handle_event(message.balancer, now, Event::List { form, entries: &entries })?;
        self.entries = entries;
        Ok(())
    }

    /// Reports the end of an attempt. An attempt of an unknown request is ignored.
    fn end_attempt(&mut self, message: &wire::Finished<'_>) -> Result<(), String> {
        let code = outcome_code(message.state_code)?;
        let (now, instance) = self.now_and_instance(message.balancer)?;
        let Some(&id) = instance.ids.get(&*message.tid) else { return Ok(()) };
        let outcome = Outcome {
            id: RequestId(id),
            attempt: message.n,
            code,
            latency: Micros(message.latency_us.unwrap_or(0)),
            local_delay: Micros(0),
            is_final: message.terminal,
            load: message.feedback.as_ref().map(|l| LoadReport { in_flight: l.rif }),
        };
        if let Some(open) = instance.open_requests.get_mut(&id) {
            open.in_flight.retain(|&n| n != message.n);
        }
        self.handle_event(message.balancer, now, Event::Outcome(outcome))?;
        let instance = self.instance(message.balancer)?;
        if message.terminal {
            instance.end_request(id);
        } else {
            instance.forget_if_done(id);
        }
        Ok(())
    }
}

impl Instance {
    fn new(message: &wire::Boot<'_>, now: Micros) -> Result<Instance, String> {
        let site = message.facts.site()?;
        Ok(Instance {
            balancer: Balancer::new(site.settings, message.random_seed, now),
            names: site.names,
            ids: FxHashMap::default(),
            open_requests: FxHashMap::default(),
            next_id: 0,
        })
    }

    /// Registers a request and returns the event that hands it to the balancer.
    fn new_request(&mut self, message: &wire::Knock<'_>) -> Event<'static> {
        let id = self.next_id;
        self.next_id += 1;
        self.ids.insert(message.tid.to_string(), id);
        self.open_requests.insert(
            id,
            OpenRequest { tid: message.tid.to_string(), sends: 0, in_flight: Vec::new(), ended: false },
        );
        // A class that is not in the settings gets a number that no class has; the module answers such a
        // request.
        let class = self.names.class(&message.grade).unwrap_or(ClassId(u32::MAX));
        let tenant = match &message.billing {
            Some(wire::Name::Text(name)) => self.names.tenant(name),
            _ => None,
        };
        let flags = message.flags.unwrap_or(0);
        Event::Request(NewRequest {
            id: RequestId(id),
            class,
            tenant,
            expires: Micros(message.expires_us),
            hint: message.expected_us.filter(|_| flags & 1 != 0).map(Micros),
            repeat: flags & 2 != 0,
            key: message.subject.as_deref().map(key_id),
        })
    }

    /// Marks a request as ended.
    fn end_request(&mut self, id: u64) {
        if let Some(open) = self.open_requests.get_mut(&id) {
            open.ended = true;
        }
        self.forget_if_done(id);
    }

    /// Forgets a request that has ended and has no attempt in flight.
    fn forget_if_done(&mut self, id: u64) {
        if self.open_requests.get(&id).is_some_and(|open| open.ended && open.in_flight.is_empty()) {
            if let Some(open) = self.open_requests.remove(&id) {
                self.ids.remove(&open.tid);
            }
        }
    }

    /// Appends an action to the reply and updates the open requests.
    fn write_action(&mut self, balancer: u64, action: &Action, reply: &mut Vec<u8>) {
        let tid = |id: &RequestId| self.open_requests.get(&id.0).map_or("", |open| &open.tid);
        let name = |server: &ServerId| self.names.server(*server);
        let message = match action {
            Action::Send { id, server, timeout } => Outgoing::SubmitTo {
                balancer,
                tid: tid(id),
                upstream: name(server),
                allow_for_us: timeout.0.max(1),
            },
            Action::Cancel { id, attempt } => Outgoing::AbortAttempt { balancer, tid: tid(id), n: *attempt },
            Action::Refuse { id, retry_after } => {
                Outgoing::SayNo { balancer, tid: tid(id), cool_down_us: retry_after.0 }
            }
            Action::Fail { id } => Outgoing::RespondError { balancer, tid: tid(id) },
            // Responses come whole on the simulator's wire, so none is ever reported as started.
            Action::Commit { .. } => return,
            Action::Timer { at, token } => Outgoing::NotifyMe { balancer, due_at_us: at.0, token: *token },
            Action::Watch => Outgoing::Tail { balancer, on: true },
            Action::Log(text) => Outgoing::Emit { balancer, what: text },
        };
        write_message(reply, &message);
        match action {
            Action::Send { id, .. } => {
                if let Some(open) = self.open_requests.get_mut(&id.0) {
                    open.in_flight.push(open.sends);
                    open.sends += 1;
                }
            }
            Action::Refuse { id, .. } | Action::Fail { id } => self.end_request(id.0),
            _ => {}
        }
    }
}

/// Appends a message to the reply, as a line of JSON.
fn write_message(reply: &mut Vec<u8>, message: &Outgoing<'_>) {
    serde_json::to_writer(&mut *reply, message).expect("writing to memory can't fail");
    reply.push(b'\n');
}

/// The outcome of an attempt by its number in the simulator's messages.
fn outcome_code(number: u8) -> Result<Code, String> {
    Ok(match number {
        1 => Code::Ok,
        2 => Code::Error,
        3 => Code::Full,
        4 => Code::Timeout,
        5 => Code::ConnectFailed,
        6 => Code::Reset,
        7 => Code::Cancelled,
        8 => Code::Moot,
        other => return Err(format!("StateCode {other} is unknown; 1 to 8 are known")),
    })
}
