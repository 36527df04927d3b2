//! Reservations of the process's limits by connections and requests. A reservation is returned when it is
//! dropped, however its connection or request ends.

use garnettally_routing::budget::{Budget, HolderId, Permit, Refusal, Share};
use std::cell::RefCell;
use std::rc::Rc;

/// A budget shared by all who make reservations from it.
#[derive(Clone)]
pub struct SharedBudget(Rc<RefCell<Budget>>);

/// One reserved unit of a budget; returned to it on drop.
pub struct Reservation {
    budget: SharedBudget,
    permit: Option<Permit>,
}

impl SharedBudget {
    /// A budget of this many units.
    pub fn new(capacity: usize) -> SharedBudget {
        SharedBudget(Rc::new(RefCell::new(Budget::new(capacity))))
    }

    /// Adds a holder, which has this share of the budget.
    pub fn add_holder(&self, share: Share) -> HolderId {
        self.0.borrow_mut().add_holder(share)
    }

    /// Changes the share of a holder.
    pub fn set_share(&self, id: HolderId, share: Share) {
        self.0.borrow_mut().set_share(id, share);
    }

    /// Removes a holder; units that it has reserved stay reserved until they are dropped.
    pub fn remove_holder(&self, id: HolderId) {
        self.0.borrow_mut().remove_holder(id);
    }

    /// Changes how many units there are.
    pub fn resize(&self, capacity: usize) {
        self.0.borrow_mut().resize(capacity);
    }

    /// Whether a unit could be reserved on behalf of all these holders.
    pub fn check(&self, holders: &[Option<HolderId>]) -> Result<(), Refusal> {
        self.0.borrow().check(holders).map(|_| ())
    }

    /// Reserves a unit that counts against the share of each of these holders.
    pub fn reserve(&self, holders: &[Option<HolderId>]) -> Result<Reservation, Refusal> {
        let permit = self.0.borrow_mut().acquire(holders)?;
        Ok(Reservation { budget: self.clone(), permit: Some(permit) })
    }
}

impl Reservation {
    /// Whether returning this unit would admit a holder that was refused for this reason.
    pub fn would_admit(&self, holder: HolderId, why: Refusal) -> bool {
        self.permit.as_ref().is_some_and(|p| p.would_admit(holder, why))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.budget.0.borrow_mut().release(permit);
        }
    }
}
