//! Whether a registry that refuses calls is overloaded, or down.
//!
//! One refusal does not tell: both answer 503, at once or after letting the call wait. But a registry that is down
//! refuses every call in the same manner, while an overloaded one accepts some calls, which then wait too long, and
//! turns others away. So refusals of both kinds within a few cycles tell of overload.

use garnettally_model::Micros;

/// A call that is refused within this was turned away at once.
const AT_ONCE: Micros = Micros(500_000);

/// So many refusals after waiting, one after the other, are those of a registry that is down.
const DOWN_AFTER: u32 = 4;

/// What a refusal tells of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It is up, and turned a call away though it let others wait before.
    Overloaded,
    /// It refuses all alike, and has done so for a while.
    Down,
    /// It may be either.
    Unclear,
}

/// What the last calls came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalHistory {
    last_at_once: Option<Micros>,
    last_after_waiting: Option<Micros>,
    /// The last refusals that were alike.
    alike: u32,
}

impl RefusalHistory {
    /// Notes a call that was made at one time and refused at the other, and returns what that tells, together with other
    /// refusals within this time.
    pub fn add(&mut self, asked: Micros, refused: Micros, within: Micros) -> Condition {
        let is_recent = |at: Option<Micros>| at.is_some_and(|at| refused - at <= within);
        let is_at_once = refused - asked < AT_ONCE;
        let (same, other) = match is_at_once {
            true => (&mut self.last_at_once, self.last_after_waiting),
            false => (&mut self.last_after_waiting, self.last_at_once),
        };
        let is_mixed = is_recent(other);
        self.alike = if is_mixed && is_at_once { 0 } else { self.alike + 1 };
        *same = Some(refused);
        match self.alike {
            0 => Condition::Overloaded,
            n if n >= DOWN_AFTER => Condition::Down,
            _ => Condition::Unclear,
        }
    }

    /// Forgets all: the registry has answered, or was not there at all.
    pub fn clear(&mut self) {
        *self = RefusalHistory::default();
    }
}
