//! Retries and hedged attempts: which requests are sent again, under a budget for repeated work.

use super::*;

/// The retry tokens, in calls, that each request adds to the budget.
pub(super) const RETRY_RATIO: f64 = 0.1;
/// The number of periods over whose requests retry tokens are saved up.
pub(super) const RETRY_SAVED_PERIODS: f64 = 25.0;
/// The number of retry tokens that can always be saved up, however few requests there are.
pub(super) const MIN_RETRY_TOKENS: f64 = 2.0;
/// Like [`IN_TIME_FACTOR`], for a retry. It is smaller, since a chance of one in five is worth more than a
/// retry costs.
const RETRY_IN_TIME_FACTOR: f64 = 0.75;
/// The least cost of a retry in tokens, however quickly the attempt before it failed.
const MIN_RETRY_COST: f64 = 0.2;
/// The cost of a hedged attempt in tokens.
const HEDGE_COST: f64 = 1.0;

impl Balancer {
    /// Retries a request that can still be answered in time, or answers it finally. The budget for repeated
    /// work keeps retries from adding to an overload. A retry costs as many tokens as the failed attempt took
    /// of its expected time, at most 1, so an attempt that failed at once is cheap to retry.
    pub(super) fn retry(&mut self, id: RequestId, spent: f64, actions: &mut Vec<Action>) {
        let cost = spent.clamp(MIN_RETRY_COST, 1.0);
        let is_worthwhile = |request: &Request| {
            self.value(id, request, RETRY_IN_TIME_FACTOR) > 0.0 && self.fault_share(request) < FAULTY_SHARE
        };
        let is_worthwhile = self.requests.get(&id).is_some_and(is_worthwhile);
        if !is_worthwhile || self.retry_tokens < cost {
            return self.refuse_or_fail(id, actions);
        }
        self.retry_tokens -= cost;
        self.dispatch(id, actions);
    }

    /// Sends another attempt of a request beside one whose response has started, if two attempts may be in
    /// flight: the response may still be completed, so its attempt is not ended for the other one.
    pub(super) fn hedge(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let PickResult::Server(server) = self.pick(id, true) {
            self.retry_tokens -= HEDGE_COST;
            self.send(id, server, actions);
        }
    }
}
