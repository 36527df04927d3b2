//! What connections and requests hold of the process's limits, given back when they end, whichever way they do.

use garnettally_routing::budget::{Budget, HolderId, Permit, Refusal, Share};
use std::cell::RefCell;
use std::rc::Rc;

/// A budget that hands out leases.
#[derive(Clone)]
pub struct Shared(Rc<RefCell<Budget>>);

/// A unit of a budget; given back when it is dropped.
pub struct Lease {
    from: Shared,
    permit: Option<Permit>,
}

impl Shared {
    pub fn new(capacity: usize) -> Shared {
        Shared(Rc::new(RefCell::new(Budget::new(capacity))))
    }

    pub fn join(&self, share: Share) -> HolderId {
        self.0.borrow_mut().add_holder(share)
    }

    pub fn change(&self, id: HolderId, share: Share) {
        self.0.borrow_mut().set_share(id, share);
    }

    pub fn leave(&self, id: HolderId) {
        self.0.borrow_mut().remove_holder(id);
    }

    pub fn resize(&self, capacity: usize) {
        self.0.borrow_mut().resize(capacity);
    }

    /// Whether a unit could be had.
    pub fn check(&self, holders: &[Option<HolderId>]) -> Result<(), Refusal> {
        self.0.borrow().check(holders).map(|_| ())
    }

    pub fn take(&self, holders: &[Option<HolderId>]) -> Result<Lease, Refusal> {
        let permit = self.0.borrow_mut().acquire(holders)?;
        Ok(Lease { from: self.clone(), permit: Some(permit) })
    }
}

impl Lease {
    /// Whether giving this up would let a holder have the unit that it was refused.
    pub fn helps(&self, holder: HolderId, why: Refusal) -> bool {
        self.permit.as_ref().is_some_and(|p| p.would_admit(holder, why))
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.from.0.borrow_mut().release(permit);
        }
    }
}
