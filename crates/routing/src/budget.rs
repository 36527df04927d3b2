//! Capacity shared by guaranteed minimum and borrowing.
//!
//! A [`Budget`] holds units of one thing: requests in flight, descriptors. Its holders (listeners, routes, pools)
//! each have a minimum that is theirs alone and a maximum; what no minimum takes is shared, first come, first
//! served. One unit may have several holders, as a request has its listener, route and pool: it is charged to the
//! first that has minimum left, else to what is shared. So a flooded or hung holder takes no more than what is
//! shared and its own minimum, and the minimum of another can always be had, unless a maximum stands in the way.
//! Minimums are never lent: nothing here could take them back in time.

/// The number of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HolderId(u32);

/// What one holder may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Units that are its own.
    pub min: usize,
    /// The most it may have, its own included.
    pub max: usize,
}

impl Default for Share {
    fn default() -> Self {
        Share { min: 0, max: usize::MAX }
    }
}

#[derive(Clone, Debug)]
struct Holder {
    share: Share,
    /// Units of its minimum in use, and all that it has a part in.
    own: usize,
    held: usize,
    /// It goes when it holds nothing any more.
    leaving: bool,
}

/// A unit that was given; to be given back once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not released is lost"]
pub struct Permit {
    holders: [Option<HolderId>; 3],
    charged: Option<HolderId>,
}

impl Permit {
    /// Whether giving this back would let a holder have the unit that it was refused.
    pub fn would_admit(&self, holder: HolderId, why: Refusal) -> bool {
        match why {
            Refusal::HolderAtMaximum(full) => self.holders.contains(&Some(full)),
            Refusal::SharedInUse => self.charged.is_none_or(|own| own == holder),
        }
    }
}

/// Why a unit can't be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This holder is at its maximum.
    #[error("the holder is at its maximum")]
    HolderAtMaximum(HolderId),
    /// All that is shared is in use.
    #[error("all that is shared is in use")]
    SharedInUse,
}

/// Capacity and its holders.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    capacity: usize,
    guaranteed: usize,
    shared_out: usize,
    beyond: usize,
    holders: Vec<Option<Holder>>,
    free: Vec<u32>,
}

impl Budget {
    /// So many units, without holders.
    pub fn new(capacity: usize) -> Budget {
        Budget { capacity, ..Budget::default() }
    }

    /// Changes the capacity; what is out stays out.
    pub fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// A new holder. Minimums beyond the capacity leave nothing to share; the configuration is checked for that.
    pub fn add_holder(&mut self, share: Share) -> HolderId {
        self.guaranteed += share.min;
        let holder = Some(Holder { share, own: 0, held: 0, leaving: false });
        match self.free.pop() {
            Some(at) => {
                self.holders[at as usize] = holder;
                HolderId(at)
            }
            None => {
                self.holders.push(holder);
                HolderId((self.holders.len() - 1) as u32)
            }
        }
    }

    /// Gives a holder another share; what it holds beyond its new minimum counts as shared from now on.
    pub fn set_share(&mut self, id: HolderId, share: Share) {
        self.adjust(id, |h| h.share = share);
    }

    /// A holder that takes no more; its minimum is free at once, and its number once it holds nothing.
    pub fn remove_holder(&mut self, id: HolderId) {
        self.adjust(id, |h| {
            h.share = Share { min: 0, max: 0 };
            h.leaving = true;
        });
        self.collect(id);
    }

    fn collect(&mut self, id: HolderId) {
        let slot = &mut self.holders[id.0 as usize];
        if slot.as_ref().is_some_and(|h| h.leaving && h.held == 0) {
            *slot = None;
            self.free.push(id.0);
        }
    }

    /// Changes a holder, and keeps the count of what all holders have beyond minimums that were lowered: those
    /// units count as shared.
    fn adjust(&mut self, id: HolderId, change: impl FnOnce(&mut Holder)) {
        let Some(h) = self.holders.get_mut(id.0 as usize).and_then(Option::as_mut) else { return };
        self.beyond -= h.own.saturating_sub(h.share.min);
        self.guaranteed -= h.share.min;
        change(h);
        self.guaranteed += h.share.min;
        self.beyond += h.own.saturating_sub(h.share.min);
    }

    /// Whether these holders could have a unit, and whose minimum it would be charged to.
    pub fn check(&self, holders: &[Option<HolderId>]) -> Result<Option<HolderId>, Refusal> {
        let mut own = None;
        for id in holders.iter().take(3).copied().flatten() {
            let Some(h) = self.holders.get(id.0 as usize).and_then(Option::as_ref) else {
                return Err(Refusal::HolderAtMaximum(id));
            };
            if h.held >= h.share.max {
                return Err(Refusal::HolderAtMaximum(id));
            }
            if own.is_none() && h.own < h.share.min {
                own = Some(id);
            }
        }
        let shared = self.capacity.saturating_sub(self.guaranteed);
        if own.is_none() && self.shared_out + self.beyond >= shared {
            return Err(Refusal::SharedInUse);
        }
        Ok(own)
    }

    /// Takes a unit for these holders, three at the most.
    pub fn acquire(&mut self, holders: &[Option<HolderId>]) -> Result<Permit, Refusal> {
        let own = self.check(holders)?;
        let mut permit = Permit { holders: [None; 3], charged: own };
        for (place, id) in permit.holders.iter_mut().zip(holders.iter().copied().flatten()) {
            *place = Some(id);
            self.adjust(id, |h| {
                h.held += 1;
                h.own += usize::from(own == Some(id));
            });
        }
        self.shared_out += usize::from(own.is_none());
        Ok(permit)
    }

    /// Gives a unit back.
    pub fn release(&mut self, permit: Permit) {
        if permit.charged.is_none() {
            self.shared_out = self.shared_out.saturating_sub(1);
        }
        for id in permit.holders.into_iter().flatten() {
            self.adjust(id, |h| {
                h.held = h.held.saturating_sub(1);
                h.own -= usize::from(permit.charged == Some(id)).min(h.own);
            });
            self.collect(id);
        }
    }

    /// What a holder has now.
    pub fn units_held(&self, id: HolderId) -> usize {
        self.holders.get(id.0 as usize).and_then(Option::as_ref).map_or(0, |h| h.held)
    }

    /// What is out in all.
    pub fn in_use(&self) -> usize {
        self.shared_out + self.holders.iter().flatten().map(|h| h.own).sum::<usize>()
    }
}

/// Whether the holder at this place uses more of a capacity than it may, by the same rules, where amounts are measured
/// and not taken unit by unit, as memory is: beyond its maximum, or beyond its minimum while what all use beyond
/// theirs is more than what is shared.
pub fn exceeds_share(capacity: usize, holders: &[(Share, usize)], at: usize) -> bool {
    let Some((share, used)) = holders.get(at) else { return false };
    let guaranteed: usize = holders.iter().map(|(s, _)| s.min).sum();
    let borrowed: usize = holders.iter().map(|(s, used)| used.saturating_sub(s.min)).sum();
    *used > share.max || (*used > share.min && borrowed > capacity.saturating_sub(guaranteed))
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;
