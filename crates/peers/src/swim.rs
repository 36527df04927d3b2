//! Membership by `foca`: SWIM with suspicion and indirect probes, driven by the caller's clock.

use crate::identity::Identity;
use crate::seal::MAX_BODY_BYTES;
use crate::suspicion::{Step, Suspect, Suspicions, LEFT};
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

/// How often an update is passed on: enough for some thousand members.
const TRANSMISSIONS: u8 = 12;
/// Members that are asked to let in one that was declared dead; seeds are asked, too.
const ASKED_ANEW: usize = 5;
/// Members that are asked to probe in one's stead.
const INDIRECT: usize = 3;
/// Of the members that merely heard of a suspicion so many ask the suspect.
const ASKERS: usize = 3;
/// The number of a ping whose answer is wanted for the incarnation in it, whichever probe is under way.
const UNNUMBERED: u8 = 0;

/// What the codec shares with the member: it sees all that is said and heard.
struct CodecState {
    /// Addresses that were heard of.
    known: HashSet<SocketAddr>,
    suspicions: Suspicions,
    /// What this member called itself last.
    own: Option<Suspect>,
    /// It is about to say that it leaves.
    leaves: bool,
}

impl CodecState {
    /// Whether this is the address of this member.
    fn is_own(&self, address: SocketAddr) -> bool {
        self.own.as_ref().is_some_and(|own| own.identity.address == address)
    }

    fn note_own(&mut self, identity: &Identity, incarnation: Incarnation) {
        let same = |own: &Suspect| own.incarnation == incarnation && own.identity == *identity;
        if !self.own.as_ref().is_some_and(same) {
            self.own = Some(Suspect { identity: identity.clone(), incarnation });
        }
    }
}

/// What peers say is checked before `foca` takes it, and what it may grow to is bounded.
#[derive(Clone)]
struct Checked {
    inner: PostcardCodec,
    loopback_only: bool,
    state: Rc<RefCell<CodecState>>,
    most: usize,
}

/// Why an identity of a peer's is not taken.
#[derive(Debug)]
struct Unsound(&'static str);

impl std::fmt::Display for Unsound {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}
impl std::error::Error for Unsound {}

impl Checked {
    fn check(&self, id: &Identity) -> Result<(), Unsound> {
        if !id.is_sound(self.loopback_only) {
            return Err(Unsound("an identity with a name or address that is not allowed"));
        }
        let known = &mut self.state.borrow_mut().known;
        if known.len() >= self.most && !known.contains(&id.address) {
            return Err(Unsound("more members than may be"));
        }
        known.insert(id.address);
        Ok(())
    }
}

impl Codec<Identity> for Checked {
    type Error = Unsound;

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl BufMut) -> Result<(), Unsound> {
        self.state.borrow_mut().note_own(&header.src, header.src_incarnation);
        self.inner.encode_header(header, buf).map_err(|_| Unsound("can't be encoded"))
    }

    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<Header<Identity>, Unsound> {
        let header: Header<Identity> =
            self.inner.decode_header(buf).map_err(|_| Unsound("can't be decoded"))?;
        self.check(&header.src)?;
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Identity>, buf: impl BufMut) -> Result<(), Unsound> {
        let encoded = if self.state.borrow().leaves && member.state() == State::Down {
            self.inner.encode_member(&Member::new(member.id().clone(), LEFT, State::Down), buf)
        } else {
            self.inner.encode_member(member, buf)
        };
        encoded.map_err(|_| Unsound("can't be encoded"))
    }

    fn decode_member(&mut self, buf: impl bytes::Buf) -> Result<Member<Identity>, Unsound> {
        let member: Member<Identity> =
            self.inner.decode_member(buf).map_err(|_| Unsound("can't be decoded"))?;
        self.check(member.id())?;
        let mut state = self.state.borrow_mut();
        // Of its own death a member is to hear at once, so that it joins anew.
        Ok(if state.is_own(member.id().address) { member } else { state.suspicions.admit(member) })
    }
}

/// What `foca` wants done, until it is fetched.
#[derive(Default)]
struct Wishes {
    now: Micros,
    sends: VecDeque<(SocketAddr, Vec<u8>)>,
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    next: u64,
    events: Vec<Event>,
    /// Life changed: its members are to be looked at anew.
    changed: bool,
    rejoins: u32,
    /// It was declared dead, and is to begin anew.
    rejoined: bool,
    /// Who failed a probe of this member.
    suspects: Vec<Suspect>,
}

impl Runtime<Identity> for &mut Wishes {
    fn notify(&mut self, notification: Notification<'_, Identity>) {
        self.changed = true;
        self.events.push(match notification {
            Notification::MemberUp(id) => Event::MemberUp(id.clone()),
            Notification::MemberDown(id) => Event::MemberDown(id.clone()),
            Notification::Rename(old, new) => Event::MemberRenewed(old.clone(), new.clone()),
            Notification::Rejoin(id) => {
                self.rejoins += 1;
                self.rejoined = true;
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
            self.suspects.push(Suspect { identity: member_id.clone(), incarnation: *incarnation });
        }
        self.next += 1;
        self.timers.insert((self.now + micros(after), self.next), event);
    }
}

pub(crate) fn micros(d: Duration) -> Micros {
    Micros(d.as_micros().min(i64::MAX as u128) as i64)
}

/// One member's view of who is alive.
pub(crate) struct Swim {
    foca: Foca<Identity, Checked, ChaCha8Rng, NoCustomBroadcast>,
    wishes: Wishes,
    config: Config,
    codec: Checked,
    rng: ChaCha8Rng,
    state: Rc<RefCell<CodecState>>,
    /// Time-outs that are later than this come from a process that stood still.
    still: Micros,
    /// How often this process stood still, as far as it noticed.
    pub stalls: u32,
}

impl Swim {
    pub fn new(me: Identity, s: &Settings, loopback_only: bool, rng: ChaCha8Rng, now: Micros) -> Swim {
        let state = Rc::new(RefCell::new(CodecState {
            known: HashSet::new(),
            suspicions: Suspicions::new(micros(s.suspicion_timeout / 2), micros(s.probe_period / 3)),
            own: None,
            leaves: false,
        }));
        let codec =
            Checked { inner: PostcardCodec, loopback_only, state: state.clone(), most: s.max_members };
        let every = |frequency, n| {
            Some(PeriodicParams { frequency, num_members: NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN) })
        };
        let config = Config {
            probe_period: s.probe_period,
            probe_rtt: s.probe_period / 3,
            num_indirect_probes: NonZeroUsize::new(INDIRECT).unwrap_or(NonZeroUsize::MIN),
            max_transmissions: NonZeroU8::new(TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: s.suspicion_timeout,
            remove_down_after: Some(s.forget_after),
            max_packet_size: NonZeroUsize::new(MAX_BODY_BYTES).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: every(s.probe_period * 10, 1),
            // After a cut of any length each side must find the other again.
            periodic_announce_to_down_members: every(s.probe_period * 2, 2),
            periodic_gossip: every(s.probe_period / 4, 3),
        };
        let foca = Foca::new(me, config.clone(), rng.clone(), codec.clone());
        let wishes = Wishes { now, ..Wishes::default() };
        let still = micros(s.probe_period / 3);
        Swim { foca, wishes, config, codec, rng, state, still, stalls: 0 }
    }

    pub fn own_identity(&self) -> &Identity {
        self.foca.identity()
    }

    pub fn rejoins(&self) -> u32 {
        self.wishes.rejoins
    }

    /// Takes a body of a peer's. `false`: it can't be taken.
    pub fn take(&mut self, now: Micros, body: &[u8]) -> bool {
        // It may have stood still, and hear of it before its own timers come to it.
        self.note_standstill(now);
        self.wishes.now = now;
        self.state.borrow_mut().suspicions.set_now(now);
        let taken = self.foca.handle_data(body, &mut self.wishes).is_ok();
        if std::mem::take(&mut self.wishes.rejoined) {
            self.begin_anew(now);
        }
        self.check_suspects();
        taken
    }

    /// Keeps up with who is suspected, and asks or gives up who is due.
    fn check_suspects(&mut self) {
        let found = std::mem::take(&mut self.wishes.suspects);
        let (me, foca) = (self.own_identity().boot, &self.foca);
        let suspects = foca.iter_membership_state().filter(|m| m.state() == State::Suspect);
        let chosen = |suspect: &Identity| {
            let own = rendezvous_hash(suspect.boot, me);
            let others = foca.iter_members().filter(|m| m.id() != suspect);
            others.filter(|m| rendezvous_hash(suspect.boot, m.id().boot) < own).take(ASKERS).count() < ASKERS
        };
        let mut state = self.state.borrow_mut();
        state.suspicions.review(suspects, &found, chosen);
        let steps = state.suspicions.due();
        drop(state);
        for step in steps {
            match step {
                Step::Ask { suspect, reported_down } => self.ask(suspect, reported_down),
                Step::Confirm(suspect) => {
                    let down = std::iter::once(suspect.as_member(State::Down));
                    let _ = self.foca.apply_many(down, true, &mut self.wishes);
                }
            }
        }
    }

    /// Asks a suspect, and tells it of the suspicion: the answer is under a later incarnation, which refutes it.
    fn ask(&mut self, suspect: Suspect, reported_down: bool) {
        let address = suspect.identity.address;
        let own = self.state.borrow().own.clone().filter(|own| own.identity == *self.own_identity());
        let header = Header {
            src: self.own_identity().clone(),
            src_incarnation: own.map_or(Incarnation::default(), |own| own.incarnation),
            dst: suspect.identity.clone(),
            message: Message::Ping(UNNUMBERED),
        };
        let mut body = Vec::new();
        let encoded = self.codec.encode_header(&header, &mut body).and_then(|()| {
            body.put_u16(1);
            self.codec.encode_member(&suspect.as_member(State::Suspect), &mut body)
        });
        if encoded.is_ok() {
            self.wishes.sends.push_back((address, body));
        }
        if reported_down {
            // Told of the verdict it is another incarnation by now, which takes nothing that is meant for this one.
            let _ = self.foca.announce(Identity::seed(address), &mut self.wishes);
        }
    }

    /// Who was cut off took the others for dead, and still has that to pass on: believed by those that it comes back to,
    /// it would harm members that nothing has happened to. So it forgets all, and asks to be let in by some of them.
    fn begin_anew(&mut self, now: Micros) {
        let others: Vec<SocketAddr> = self.other_members().map(|(id, _)| id.address).collect();
        // Other numbers than those of the life before.
        self.rng.set_stream(self.rng.get_stream().wrapping_add(1));
        self.foca =
            Foca::new(self.own_identity().clone(), self.config.clone(), self.rng.clone(), self.codec.clone());
        self.state.borrow_mut().suspicions.clear();
        self.wishes.suspects.clear();
        self.wishes.timers.clear();
        self.wishes.sends.clear();
        self.wishes.changed = true;
        let first = self.rng.next_u64() as usize % others.len().max(1);
        for i in 0..others.len().min(ASKED_ANEW) {
            self.announce(now, others[(first + i) % others.len()]);
        }
    }

    /// Asks this address to be let in.
    pub fn announce(&mut self, now: Micros, to: SocketAddr) {
        self.wishes.now = now;
        let _ = self.foca.announce(Identity::seed(to), &mut self.wishes);
    }

    /// Peers know a life at this address that came before: this one becomes the later one.
    pub fn outdo(&mut self, now: Micros, generation: u64) {
        let me = self.own_identity();
        if generation >= me.generation {
            let me = Identity { generation: generation.saturating_add(1), ..me.clone() };
            self.wishes.now = now;
            let _ = self.foca.change_identity(me, &mut self.wishes);
            self.wishes.changed = true;
        }
    }

    /// Tells peers that this process ends.
    pub fn leave(&mut self, now: Micros) {
        self.wishes.now = now;
        self.state.borrow_mut().leaves = true;
        let _ = self.foca.leave_cluster(&mut self.wishes);
        self.state.borrow_mut().leaves = false;
    }

    /// After a standstill the time that passed unseen did not happen: it would speak against all peers whose answers
    /// lie unread.
    fn note_standstill(&mut self, now: Micros) {
        let Some(late) = self.next_timeout().map(|due| now - due).filter(|late| *late > self.still) else {
            return;
        };
        self.stalls += 1;
        let old = std::mem::take(&mut self.wishes.timers);
        self.wishes.timers = old.into_iter().map(|((at, n), t)| ((at + late, n), t)).collect();
        self.state.borrow_mut().suspicions.shift(late);
    }

    /// Carries out what is due.
    pub fn wake(&mut self, now: Micros) {
        self.note_standstill(now);
        self.wishes.now = now;
        self.state.borrow_mut().suspicions.set_now(now);
        let mut due = Vec::new();
        while let Some(entry) = self.wishes.timers.first_entry().filter(|e| e.key().0 <= now) {
            due.push(entry.remove());
        }
        // As foca's page says: timers of one moment go by their own order.
        due.sort();
        for timer in due {
            let _ = self.foca.handle_timer(timer, &mut self.wishes);
        }
        self.check_suspects();
    }

    pub fn next_timeout(&self) -> Option<Micros> {
        let timer = self.wishes.timers.first_key_value().map(|(&(at, _), _)| at);
        timer.into_iter().chain(self.state.borrow().suspicions.next_timeout()).min()
    }

    pub fn next_send(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.wishes.sends.pop_front()
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.wishes.events)
    }

    /// Whether members came, went or were renewed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.wishes.changed)
    }

    /// The others, as they are known: each with what is believed of it.
    pub fn other_members(&self) -> impl Iterator<Item = (&Identity, foca::State)> {
        self.foca.iter_membership_state().map(|m| (m.id(), m.state()))
    }

    /// How many others are taken to be alive.
    pub fn alive_count(&self) -> usize {
        self.foca.num_members()
    }

    /// Gives up addresses that nobody knows any more.
    pub fn tidy(&mut self) -> Vec<SocketAddr> {
        let held: HashSet<SocketAddr> = self.other_members().map(|(id, _)| id.address).collect();
        let known = &mut self.state.borrow_mut().known;
        let gone = known.iter().filter(|a| !held.contains(a)).copied().collect();
        *known = held;
        gone
    }
}
