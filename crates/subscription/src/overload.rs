//! Tells from refused calls whether a registry is overloaded or down.
//!
//! A single refusal does not decide: in both cases the answer is a 503, sent at once or after the call has
//! waited. But a registry that is down refuses every call in the same manner, while an overloaded one accepts
//! some calls, which then wait too long, and rejects others at once. So refusals of both kinds within a few
//! cycles indicate overload.

use garnettally_model::Micros;

/// A call that is refused within this time of being made counts as rejected at once, without having waited.
const REJECTED_AT_ONCE_WITHIN: Micros = Micros(500_000);

/// After this number of consecutive refusals without a sign of overload the registry is taken to be down.
const DOWN_AFTER_REFUSALS: u32 = 4;

/// What the refusals up to now say about the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryState {
    /// The registry is up: it rejected this call at once, and let another one wait shortly before.
    Overloaded,
    /// The registry is down: none of its last refusals was a sign of overload.
    Down,
    /// The registry may be overloaded or down: there were too few refusals to tell.
    Unclear,
}

/// The recent refused calls of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalHistory {
    last_at_once: Option<Micros>,
    last_delayed: Option<Micros>,
    /// Number of consecutive refusals without a sign of overload.
    unmixed_refusals: u32,
}

impl RefusalHistory {
    /// Records a call that was made at `asked` and refused at `refused`. Returns what this refusal and
    /// earlier ones no older than `within` say about the registry.
    pub fn add(&mut self, asked: Micros, refused: Micros, within: Micros) -> RegistryState {
        let is_recent = |at: Option<Micros>| at.is_some_and(|at| refused - at <= within);
        let is_at_once = refused - asked < REJECTED_AT_ONCE_WITHIN;
        let (same, other) = match is_at_once {
            true => (&mut self.last_at_once, self.last_delayed),
            false => (&mut self.last_delayed, self.last_at_once),
        };
        let is_mixed = is_recent(other);
        self.unmixed_refusals = if is_mixed && is_at_once { 0 } else { self.unmixed_refusals + 1 };
        *same = Some(refused);
        match self.unmixed_refusals {
            0 => RegistryState::Overloaded,
            count if count >= DOWN_AFTER_REFUSALS => RegistryState::Down,
            _ => RegistryState::Unclear,
        }
    }

    /// Discards the history: the registry has answered, or could not be reached at all.
    pub fn clear(&mut self) {
        *self = RefusalHistory::default();
    }
}
