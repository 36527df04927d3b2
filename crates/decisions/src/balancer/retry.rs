//! Retries: what is tried again, under a budget of work done twice.

use super::*;

pub(super) const RETRY_RATIO: f64 = 0.1; // calls paid for again, earned by one request
pub(super) const RETRY_SAVED_PERIODS: f64 = 25.0; // saved up over so many periods
pub(super) const MIN_RETRY_TOKENS: f64 = 2.0; // and this many at the least
const RETRY_IN_TIME_FACTOR: f64 = 0.75; // the same for a retry: a chance of one in five is worth more than it costs
const MIN_RETRY_COST: f64 = 0.2; // least cost of a retry, however quickly the attempt before it failed

impl Balancer {
    /// Retries are for what can still make it, under a budget of work done twice, so that they can't feed an
    /// overload. What failed at once has cost little, and is cheap to try again.
    pub(super) fn retry(&mut self, id: RequestId, spent: f64, actions: &mut Vec<Action>) {
        let cost = spent.clamp(MIN_RETRY_COST, 1.0);
        let hopeful =
            |r: &Request| self.value(id, r, RETRY_IN_TIME_FACTOR) > 0.0 && self.fault_share(r) < FAULTY_SHARE;
        let hopeful = self.requests.get(&id).is_some_and(hopeful);
        if !hopeful || self.retry_tokens < cost {
            return self.refuse_or_fail(id, actions);
        }
        self.retry_tokens -= cost;
        self.dispatch(id, actions);
    }
}
