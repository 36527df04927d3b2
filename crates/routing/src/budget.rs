//! Capacity shared by guaranteed minimums and borrowing.
//!
//! A [`Budget`] counts units of one resource, such as requests in flight or descriptors. Each of its holders
//! (listeners, routes, pools) has a minimum that is reserved for it, and a maximum; capacity that no minimum
//! reserves is shared, first come, first served. One unit may have several holders, as a request has its
//! listener, route and pool: the unit is charged to the first of them whose minimum is not used up, otherwise
//! to the shared part. So a flooded or hung holder takes no more than the shared part and its own minimum,
//! and the minimum of another holder remains available unless a maximum prevents it. Unused minimums are
//! never lent, because they could not be reclaimed in time.

/// Identifies a holder within its budget. The number is reused after the holder has been removed and has
/// released its last unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HolderId(u32);

/// The bounds of what one holder may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The number of units reserved for the holder.
    pub min: usize,
    /// The largest number of units the holder may use, including the reserved ones.
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
    /// Units in use that are charged to the minimum of this holder, and all units in use that list it as a
    /// holder.
    min_in_use: usize,
    in_use: usize,
    /// Whether the holder has been removed; its number becomes free when it releases its last unit.
    is_removed: bool,
}

/// One unit in use, which must be released exactly once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not released is lost"]
pub struct Permit {
    holders: [Option<HolderId>; 3],
    charged: Option<HolderId>,
}

impl Permit {
    /// Whether releasing this permit would let `holder` acquire the unit that it was refused for the reason
    /// `why`.
    pub fn would_admit(&self, holder: HolderId, why: Refusal) -> bool {
        match why {
            Refusal::HolderAtMaximum(full) => self.holders.contains(&Some(full)),
            Refusal::SharedInUse => self.charged.is_none_or(|charged| charged == holder),
        }
    }
}

/// Why a unit can't be acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This holder already uses its maximum.
    #[error("the holder is at its maximum")]
    HolderAtMaximum(HolderId),
    /// The shared part of the capacity is in use.
    #[error("the shared part of the capacity is in use")]
    SharedInUse,
}

/// A capacity and its holders.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    capacity: usize,
    guaranteed: usize,
    shared_in_use: usize,
    beyond_minimums: usize,
    holders: Vec<Option<Holder>>,
    free_ids: Vec<u32>,
}

impl Budget {
    /// Creates a budget of `capacity` units without holders.
    pub fn new(capacity: usize) -> Budget {
        Budget { capacity, ..Budget::default() }
    }

    /// Changes the capacity; units in use stay in use.
    pub fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Adds a holder. If the minimums together exceed the capacity, nothing is left to share; the
    /// configuration is checked for that.
    pub fn add_holder(&mut self, share: Share) -> HolderId {
        self.guaranteed += share.min;
        let holder = Some(Holder { share, min_in_use: 0, in_use: 0, is_removed: false });
        match self.free_ids.pop() {
            Some(index) => {
                self.holders[index as usize] = holder;
                HolderId(index)
            }
            None => {
                self.holders.push(holder);
                HolderId((self.holders.len() - 1) as u32)
            }
        }
    }

    /// Changes the share of a holder; units it uses beyond its new minimum count as shared from now on.
    pub fn set_share(&mut self, id: HolderId, share: Share) {
        self.adjust(id, |h| h.share = share);
    }

    /// Removes a holder, which can then acquire no more units. Its minimum is free at once, and its number as
    /// soon as all its units are released.
    pub fn remove_holder(&mut self, id: HolderId) {
        self.adjust(id, |h| {
            h.share = Share { min: 0, max: 0 };
            h.is_removed = true;
        });
        self.free_if_unused(id);
    }

    fn free_if_unused(&mut self, id: HolderId) {
        let slot = &mut self.holders[id.0 as usize];
        if slot.as_ref().is_some_and(|h| h.is_removed && h.in_use == 0) {
            *slot = None;
            self.free_ids.push(id.0);
        }
    }

    /// Changes a holder, and updates the number of units that holders use beyond minimums that were lowered:
    /// those units count as shared.
    fn adjust(&mut self, id: HolderId, change: impl FnOnce(&mut Holder)) {
        let Some(holder) = self.holders.get_mut(id.0 as usize).and_then(Option::as_mut) else { return };
        self.beyond_minimums -= holder.min_in_use.saturating_sub(holder.share.min);
        self.guaranteed -= holder.share.min;
        change(holder);
        self.guaranteed += holder.share.min;
        self.beyond_minimums += holder.min_in_use.saturating_sub(holder.share.min);
    }

    /// Whether these holders could acquire a unit, and whose minimum the unit would be charged to (`None`:
    /// the shared part).
    pub fn check(&self, holders: &[Option<HolderId>]) -> Result<Option<HolderId>, Refusal> {
        let mut charged = None;
        for id in holders.iter().take(3).copied().flatten() {
            let Some(holder) = self.holders.get(id.0 as usize).and_then(Option::as_ref) else {
                return Err(Refusal::HolderAtMaximum(id));
            };
            if holder.in_use >= holder.share.max {
                return Err(Refusal::HolderAtMaximum(id));
            }
            if charged.is_none() && holder.min_in_use < holder.share.min {
                charged = Some(id);
            }
        }
        let shared = self.capacity.saturating_sub(self.guaranteed);
        if charged.is_none() && self.shared_in_use + self.beyond_minimums >= shared {
            return Err(Refusal::SharedInUse);
        }
        Ok(charged)
    }

    /// Acquires a unit for these holders; only the first three are considered.
    pub fn acquire(&mut self, holders: &[Option<HolderId>]) -> Result<Permit, Refusal> {
        let charged = self.check(holders)?;
        let mut permit = Permit { holders: [None; 3], charged };
        for (slot, id) in permit.holders.iter_mut().zip(holders.iter().copied().flatten()) {
            *slot = Some(id);
            self.adjust(id, |h| {
                h.in_use += 1;
                h.min_in_use += usize::from(charged == Some(id));
            });
        }
        self.shared_in_use += usize::from(charged.is_none());
        Ok(permit)
    }

    /// Releases a unit.
    pub fn release(&mut self, permit: Permit) {
        if permit.charged.is_none() {
            self.shared_in_use = self.shared_in_use.saturating_sub(1);
        }
        for id in permit.holders.into_iter().flatten() {
            self.adjust(id, |h| {
                h.in_use = h.in_use.saturating_sub(1);
                h.min_in_use -= usize::from(permit.charged == Some(id)).min(h.min_in_use);
            });
            self.free_if_unused(id);
        }
    }

    /// The number of units that this holder uses now.
    pub fn units_held(&self, id: HolderId) -> usize {
        self.holders.get(id.0 as usize).and_then(Option::as_ref).map_or(0, |h| h.in_use)
    }

    /// The number of units in use by all holders.
    pub fn in_use(&self) -> usize {
        self.shared_in_use + self.holders.iter().flatten().map(|h| h.min_in_use).sum::<usize>()
    }
}

/// Whether the holder with index `index` uses more of a capacity than it may. The rules are those of a
/// [`Budget`], for amounts such as memory that are measured and not acquired unit by unit: the holder exceeds
/// its share when it uses more than its maximum, or more than its minimum while all holders together use more
/// beyond their minimums than the shared part.
pub fn exceeds_share(capacity: usize, holders: &[(Share, usize)], index: usize) -> bool {
    let Some((share, used)) = holders.get(index) else { return false };
    let guaranteed: usize = holders.iter().map(|(s, _)| s.min).sum();
    let borrowed: usize = holders.iter().map(|(s, used)| used.saturating_sub(s.min)).sum();
    *used > share.max || (*used > share.min && borrowed > capacity.saturating_sub(guaranteed))
}

#[cfg(test)]
#[path = "budget_tests.rs"]
mod tests;
