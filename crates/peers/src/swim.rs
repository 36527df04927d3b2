//! Membership based on `foca`: SWIM with suspicion and indirect probes, driven by the caller's clock.

use crate::identity::Identity;
use crate::seal::MAX_BODY_BYTES;
use crate::suspicion::{Suspect, SuspicionAction, Suspicions, DEPARTED_INCARNATION};
use crate::{rendezvous_hash, Event, Settings};
use bytes::BufMut;
use foca::{
    Codec, Config, Foca, Header, Incarnation, Member, Message, NoCustomBroadcast, Notification,
    PeriodicParams, PostcardCodec, Runtime, State, Timer,
};
use garnettally_model::Micros;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

/// The number of times an update is passed on, which suffices for a few thousand members.
const TRANSMISSIONS: u8 = 12;
/// The number of members to which a member that was declared dead announces itself again; seeds are
/// contacted, too.
const REJOIN_CONTACTS: usize = 5;
/// The number of members that are requested to probe a member indirectly.
const INDIRECT_PROBES: usize = 3;
/// The number of members that ping a suspect on behalf of the fleet, although their own probes of it did not
/// fail.
const DELEGATED_PINGERS: usize = 3;
/// The probe number of a ping that is sent for the incarnation in its answer and belongs to no probe in
/// progress.
const UNNUMBERED_PROBE: u8 = 0;

/// The state that the codec shares with [`Swim`]. The codec sees every packet that is sent or received.
struct CodecState {
    /// The addresses of all members that appeared in received packets and are not forgotten.
    known_addresses: HashSet<SocketAddr>,
    suspicions: Suspicions,
    /// The identity and incarnation that this member sent last as its own.
    own: Option<Suspect>,
    /// Whether the packets that are being encoded announce this member's departure.
    is_leaving: bool,
}

impl CodecState {
    /// Whether `address` is the address of this member.
    fn is_own(&self, address: SocketAddr) -> bool {
        self.own.as_ref().is_some_and(|own| own.identity.address == address)
    }

    fn record_own(&mut self, identity: &Identity, incarnation: Incarnation) {
        let same = |own: &Suspect| own.incarnation == incarnation && own.identity == *identity;
        if !self.own.as_ref().is_some_and(same) {
            self.own = Some(Suspect { identity: identity.clone(), incarnation });
        }
    }
}

/// A codec that checks received identities before `foca` processes them, and bounds the number of known
/// members.
#[derive(Clone)]
struct CheckedCodec {
    inner: PostcardCodec,
    loopback_only: bool,
    state: Rc<RefCell<CodecState>>,
    max_members: usize,
}

/// The reason why a packet is not encoded or decoded.
#[derive(Debug)]
struct CodecError(&'static str);

impl std::fmt::Display for CodecError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}
impl std::error::Error for CodecError {}

impl CheckedCodec {
    fn check(&self, id: &Identity) -> Result<(), CodecError> {
        if !id.is_acceptable(self.loopback_only) {
            return Err(CodecError(
                "a peer sent an identity whose name is too long or whose address is not allowed",
            ));
        }
        let known_addresses = &mut self.state.borrow_mut().known_addresses;
        if known_addresses.len() >= self.max_members && !known_addresses.contains(&id.address) {
            return Err(CodecError("a peer sent a member beyond the bound on known members"));
        }
        known_addresses.insert(id.address);
        Ok(())
    }
}

impl Codec<Identity> for CheckedCodec {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl BufMut) -> Result<(), CodecError> {
        self.state.borrow_mut().record_own(&header.src, header.src_incarnation);
        self.inner.encode_header(header, buf).map_err(|_| CodecError("the packet can't be encoded"))
    }

    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<Header<Identity>, CodecError> {
        let header: Header<Identity> =
            self.inner.decode_header(buf).map_err(|_| CodecError("the packet can't be decoded"))?;
        self.check(&header.src)?;
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Identity>, buf: impl BufMut) -> Result<(), CodecError> {
        let encoded = if self.state.borrow().is_leaving && member.state() == State::Down {
            self.inner
                .encode_member(&Member::new(member.id().clone(), DEPARTED_INCARNATION, State::Down), buf)
        } else {
            self.inner.encode_member(member, buf)
        };
        encoded.map_err(|_| CodecError("the packet can't be encoded"))
    }

    fn decode_member(&mut self, buf: impl bytes::Buf) -> Result<Member<Identity>, CodecError> {
        let member: Member<Identity> =
            self.inner.decode_member(buf).map_err(|_| CodecError("the packet can't be decoded"))?;
        self.check(member.id())?;
        let mut state = self.state.borrow_mut();
        // A report that this member itself is down is passed on unchanged, so that it rejoins at once.
        Ok(if state.is_own(member.id().address) { member } else { state.suspicions.assess_report(member) })
    }
}

/// The sends, timers and events that `foca` requested and that are not yet carried out.
#[derive(Default)]
struct PendingActions {
    now: Micros,
    sends: VecDeque<(SocketAddr, Vec<u8>)>,
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    next_timer: u64,
    events: Vec<Event>,
    /// Whether the membership changed since this flag was last read.
    membership_changed: bool,
    rejoins: u32,
    /// Whether this member was declared dead and has to reset its state.
    was_declared_dead: bool,
    /// The members that failed this member's own probes since the last review of suspicions.
    failed_probes: Vec<Suspect>,
}

impl Runtime<Identity> for &mut PendingActions {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        self.membership_changed = true;
        self.events.push(match notification {
            Notification::MemberUp(id) => Event::MemberUp(id.clone()),
            Notification::MemberDown(id) => Event::MemberDown(id.clone()),
            Notification::Rename(old, new) => Event::MemberRenewed(old.clone(), new.clone()),
            Notification::Rejoin(id) => {
                self.rejoins += 1;
                self.was_declared_dead = true;
                Event::Rejoined(id.clone())
            }
            _ => return,
        });
    }

    fn send_to(&mut self, to: Identity, data: &[u8]) {
        self.sends.push_back((to.address, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Identity>, after: Duration) {
        if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &event {
            self.failed_probes.push(Suspect { identity: member_id.clone(), incarnation: *incarnation });
        }
        self.next_timer += 1;
        self.timers.insert((self.now + micros(after), self.next_timer), event);
    }
}

pub(crate) fn micros(duration: Duration) -> Micros {
    Micros(duration.as_micros().min(i64::MAX as u128) as i64)
}

/// One member's view of the membership of the fleet.
pub(crate) struct Swim {
    foca: Foca<Identity, CheckedCodec, ChaCha8Rng, NoCustomBroadcast>,
    pending: PendingActions,
    config: Config,
    codec: CheckedCodec,
    rng: ChaCha8Rng,
    state: Rc<RefCell<CodecState>>,
    /// If the next timer is overdue by more than this, the process was stalled.
    stall_threshold: Micros,
    /// The number of detected stalls of this process.
    pub stalls: u32,
}

impl Swim {
    pub fn new(me: Identity, settings: &Settings, loopback_only: bool, rng: ChaCha8Rng, now: Micros) -> Swim {
        let state = Rc::new(RefCell::new(CodecState {
            known_addresses: HashSet::new(),
            suspicions: Suspicions::new(
                micros(settings.suspicion_timeout / 2),
                micros(settings.probe_period / 3),
            ),
            own: None,
            is_leaving: false,
        }));
        let codec = CheckedCodec {
            inner: PostcardCodec,
            loopback_only,
            state: state.clone(),
            max_members: settings.max_members,
        };
        let every = |frequency, n| {
            Some(PeriodicParams { frequency, num_members: NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN) })
        };
        let config = Config {
            probe_period: settings.probe_period,
            probe_rtt: settings.probe_period / 3,
            num_indirect_probes: NonZeroUsize::new(INDIRECT_PROBES).unwrap_or(NonZeroUsize::MIN),
            max_transmissions: NonZeroU8::new(TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: settings.suspicion_timeout,
            remove_down_after: Some(settings.forget_after),
            max_packet_size: NonZeroUsize::new(MAX_BODY_BYTES).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: every(settings.probe_period * 10, 1),
            // After a network partition of any length each side has to find the other again.
            periodic_announce_to_down_members: every(settings.probe_period * 2, 2),
            periodic_gossip: every(settings.probe_period / 4, 3),
        };
        let foca = Foca::new(me, config.clone(), rng.clone(), codec.clone());
        let pending = PendingActions { now, ..PendingActions::default() };
        let stall_threshold = micros(settings.probe_period / 3);
        Swim { foca, pending, config, codec, rng, state, stall_threshold, stalls: 0 }
    }

    pub fn own_identity(&self) -> &Identity {
        self.foca.identity()
    }

    pub fn rejoins(&self) -> u32 {
        self.pending.rejoins
    }

    /// Processes the body of a membership datagram. Returns `false` if it is invalid.
    pub fn handle_packet(&mut self, now: Micros, body: &[u8]) -> bool {
        // After a stall, datagrams may be processed before the timers that would detect the stall.
        self.detect_stall(now);
        self.pending.now = now;
        self.state.borrow_mut().suspicions.set_now(now);
        let taken = self.foca.handle_data(body, &mut self.pending).is_ok();
        if std::mem::take(&mut self.pending.was_declared_dead) {
            self.reset_and_rejoin(now);
        }
        self.process_suspicions();
        taken
    }

    /// Updates the suspicions, and pings the suspects or declares them down as is due.
    fn process_suspicions(&mut self) {
        let found = std::mem::take(&mut self.pending.failed_probes);
        let (me, foca) = (self.own_identity().boot, &self.foca);
        let suspects = foca.iter_membership_state().filter(|m| m.state() == State::Suspect);
        let chosen = |suspect: &Identity| {
            let own = rendezvous_hash(suspect.boot, me);
            let others = foca.iter_members().filter(|m| m.id() != suspect);
            others
                .filter(|m| rendezvous_hash(suspect.boot, m.id().boot) < own)
                .take(DELEGATED_PINGERS)
                .count()
                < DELEGATED_PINGERS
        };
        let mut state = self.state.borrow_mut();
        state.suspicions.review(suspects, &found, chosen);
        let actions = state.suspicions.take_due_actions();
        drop(state);
        for action in actions {
            match action {
                SuspicionAction::Ping { suspect, reported_down } => self.ping_suspect(suspect, reported_down),
                SuspicionAction::Confirm(suspect) => {
                    let down = std::iter::once(suspect.as_member(State::Down));
                    let _ = self.foca.apply_many(down, true, &mut self.pending);
                }
            }
        }
    }

    /// Pings a suspect and notifies it of the suspicion. It answers with a later incarnation, which refutes
    /// the suspicion.
    fn ping_suspect(&mut self, suspect: Suspect, reported_down: bool) {
        let address = suspect.identity.address;
        let own = self.state.borrow().own.clone().filter(|own| own.identity == *self.own_identity());
        let header = Header {
            src: self.own_identity().clone(),
            src_incarnation: own.map_or(Incarnation::default(), |own| own.incarnation),
            dst: suspect.identity.clone(),
            message: Message::Ping(UNNUMBERED_PROBE),
        };
        let mut body = Vec::new();
        let encoded = self.codec.encode_header(&header, &mut body).and_then(|()| {
            body.put_u16(1);
            self.codec.encode_member(&suspect.as_member(State::Suspect), &mut body)
        });
        if encoded.is_ok() {
            self.pending.sends.push_back((address, body));
        }
        if reported_down {
            // If the suspect was notified that it is declared down, it has rejoined under another identity by
            // now and ignores packets for the old one. An announcement to its address reaches either.
            let _ = self.foca.announce(Identity::seed(address), &mut self.pending);
        }
    }

    /// Resets the state after this member was declared dead, and announces it to some of the others. A member
    /// that was cut off believes the others dead and would still pass that on; peers that believed it would
    /// remove members that never failed.
    fn reset_and_rejoin(&mut self, now: Micros) {
        let others: Vec<SocketAddr> = self.other_members().map(|(id, _)| id.address).collect();
        // The new instance must not repeat the random numbers of the previous one.
        self.rng.set_stream(self.rng.get_stream().wrapping_add(1));
        self.foca =
            Foca::new(self.own_identity().clone(), self.config.clone(), self.rng.clone(), self.codec.clone());
        self.state.borrow_mut().suspicions.clear();
        self.pending.failed_probes.clear();
        self.pending.timers.clear();
        self.pending.sends.clear();
        self.pending.membership_changed = true;
        let first = self.rng.next_u64() as usize % others.len().max(1);
        for i in 0..others.len().min(REJOIN_CONTACTS) {
            self.announce(now, others[(first + i) % others.len()]);
        }
    }

    /// Sends an announcement to this address to join the fleet.
    pub fn announce(&mut self, now: Micros, to: SocketAddr) {
        self.pending.now = now;
        let _ = self.foca.announce(Identity::seed(to), &mut self.pending);
    }

    /// Adopts a higher generation than `generation`, which peers know of a previous life at this member's
    /// address, so that this life counts as the later one.
    pub fn supersede_generation(&mut self, now: Micros, generation: u64) {
        let me = self.own_identity();
        if generation >= me.generation {
            let me = Identity { generation: generation.saturating_add(1), ..me.clone() };
            self.pending.now = now;
            let _ = self.foca.change_identity(me, &mut self.pending);
            self.pending.membership_changed = true;
        }
    }

    /// Notifies peers that this process ends.
    pub fn leave(&mut self, now: Micros) {
        self.pending.now = now;
        self.state.borrow_mut().is_leaving = true;
        let _ = self.foca.leave_cluster(&mut self.pending);
        self.state.borrow_mut().is_leaving = false;
    }

    /// Detects a stall of this process and postpones all timers by its length. Otherwise, peers whose answers
    /// are received but not yet read would be taken to be unresponsive.
    fn detect_stall(&mut self, now: Micros) {
        let Some(delay) =
            self.next_timeout().map(|due| now - due).filter(|delay| *delay > self.stall_threshold)
        else {
            return;
        };
        self.stalls += 1;
        let old = std::mem::take(&mut self.pending.timers);
        self.pending.timers = old.into_iter().map(|((at, n), t)| ((at + delay, n), t)).collect();
        self.state.borrow_mut().suspicions.postpone(delay);
    }

    /// Runs the timers that are due.
    pub fn run_due_timers(&mut self, now: Micros) {
        self.detect_stall(now);
        self.pending.now = now;
        self.state.borrow_mut().suspicions.set_now(now);
        let mut due = Vec::new();
        while let Some(entry) = self.pending.timers.first_entry().filter(|e| e.key().0 <= now) {
            due.push(entry.remove());
        }
        // As foca's documentation requires, timers that are due together run in the order that `Timer`
        // defines.
        due.sort();
        for timer in due {
            let _ = self.foca.handle_timer(timer, &mut self.pending);
        }
        self.process_suspicions();
    }

    pub fn next_timeout(&self) -> Option<Micros> {
        let timer = self.pending.timers.first_key_value().map(|(&(at, _), _)| at);
        timer.into_iter().chain(self.state.borrow().suspicions.next_timeout()).min()
    }

    pub fn next_send(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.pending.sends.pop_front()
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.pending.events)
    }

    /// Whether members joined, left or changed their identity since the last call.
    pub fn take_membership_changed(&mut self) -> bool {
        std::mem::take(&mut self.pending.membership_changed)
    }

    /// The other known members and their states.
    pub fn other_members(&self) -> impl Iterator<Item = (&Identity, foca::State)> {
        self.foca.iter_membership_state().map(|m| (m.id(), m.state()))
    }

    /// The number of other members believed to be alive.
    pub fn alive_count(&self) -> usize {
        self.foca.num_members()
    }

    /// Forgets the addresses of members that have been removed, and returns them.
    pub fn forget_removed_addresses(&mut self) -> Vec<SocketAddr> {
        let current: HashSet<SocketAddr> = self.other_members().map(|(id, _)| id.address).collect();
        let known_addresses = &mut self.state.borrow_mut().known_addresses;
        let removed = known_addresses.iter().filter(|a| !current.contains(a)).copied().collect();
        *known_addresses = current;
        removed
    }
}
