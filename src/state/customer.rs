//! The records of the gateway's customers.

use crate::api::{CustomerId, Millis, Request};
use crate::primitives::token_bucket::TokenBucket;
use crate::state::{OpenRequest, SharedQuota};
use std::collections::BTreeMap;

/// This gateway's record of one customer. `policy::customer_quota` has the methods that decide on the quota.
pub(crate) struct Customer {
    /// Time of the customer's last event: a request's arrival, the end of its wait for the counter, or usage reported
    /// by gossip.
    pub(crate) last_seen_at: Millis,
    /// The quota as known from the counter's totals and this gateway's own usage.
    pub(crate) quota: SharedQuota,
    /// Units left of the quota as known from this gateway's own usage and from gossip.
    pub(crate) gossip_level: f64,
    /// This gateway's share of the plan's hard ceiling.
    pub(crate) ceiling: TokenBucket,
    /// Units of requests that are waiting for the counter's reply.
    pub(crate) reserved_units: f64,
    /// Number of calls to the counter in flight.
    pub(crate) pending_calls: u32,
    /// Time of the last call to the counter.
    pub(crate) last_call_at: Millis,
    /// Number of the customer's attempts in flight at this gateway.
    pub(crate) in_flight: u32,
}

impl Customer {
    /// A customer without usage at this gateway.
    pub(crate) fn new(now: Millis, quota: SharedQuota, ceiling: TokenBucket) -> Self {
        Customer {
            last_seen_at: now,
            gossip_level: quota.level,
            quota,
            ceiling,
            reserved_units: 0.0,
            pending_calls: 0,
            last_call_at: f64::NEG_INFINITY,
            in_flight: 0,
        }
    }

    /// Whether the customer has no attempt, no waiting request and no counter call in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending_calls == 0 && self.in_flight == 0 && self.reserved_units <= 0.0
    }
}

/// Maximum number of customers before idle ones are evicted to add another one. Clients can send any customer id, so
/// that without a limit invented ids would exhaust the memory. Customers with work in flight are never evicted: the
/// table can exceed this number while all of its customers are active.
const MAX_CUSTOMERS: usize = 16_384;

/// The customers by id. When the table is full, the half of the idle customers that was seen least recently is evicted.
#[derive(Default)]
pub(crate) struct Customers(BTreeMap<CustomerId, Customer>);

impl Customers {
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn get(&self, id: CustomerId) -> Option<&Customer> {
        self.0.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: CustomerId) -> Option<&mut Customer> {
        self.0.get_mut(&id)
    }

    pub(crate) fn get_or_insert_with(
        &mut self,
        id: CustomerId,
        new: impl FnOnce() -> Customer,
    ) -> &mut Customer {
        if self.0.len() >= MAX_CUSTOMERS && !self.0.contains_key(&id) {
            self.evict_least_recent_idle();
        }
        self.0.entry(id).or_insert_with(new)
    }

    /// Records units that the customer used at this gateway. A negative number is a refund.
    pub(crate) fn record_usage(&mut self, id: CustomerId, units: f64) {
        if let Some(customer) = self.get_mut(id) {
            customer.quota.record_usage(units);
            customer.gossip_level -= units;
        }
    }

    /// Whether this gateway's share of the customer's hard ceiling has enough units left for the request.
    pub(crate) fn is_within_ceiling(&self, request: &Request) -> bool {
        self.get(request.customer)
            .is_some_and(|customer| customer.ceiling.has_tokens(request.units))
    }

    /// Records that an attempt was sent. The first attempt of a request takes its units from the hard ceiling.
    pub(crate) fn attempt_started(&mut self, request: &Request, is_first: bool) {
        let Some(customer) = self.get_mut(request.customer) else {
            return;
        };
        customer.in_flight += 1;
        if is_first {
            customer.ceiling.consume_tokens(request.units);
        }
    }

    pub(crate) fn attempt_ended(&mut self, request: &Request) {
        if let Some(customer) = self.get_mut(request.customer) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
        }
    }

    /// Marks the request as waiting for the counter's reply, and reserves its units.
    pub(crate) fn reserve_units(&mut self, open_request: &mut OpenRequest) {
        open_request.awaiting_counter = true;
        if let Some(customer) = self.get_mut(open_request.request.customer) {
            customer.reserved_units += open_request.request.units;
        }
    }

    /// Ends the request's wait for the counter's reply, if it is waiting, and releases its reserved units.
    pub(crate) fn release_units(&mut self, open_request: &mut OpenRequest) {
        let waited = std::mem::take(&mut open_request.awaiting_counter);
        if let Some(customer) = self
            .get_mut(open_request.request.customer)
            .filter(|_| waited)
        {
            customer.reserved_units =
                (customer.reserved_units - open_request.request.units).max(0.0);
        }
    }

    /// Removes the idle customers for whose `last_seen_at` the predicate holds.
    pub(crate) fn forget_idle(&mut self, is_expired: impl Fn(Millis) -> bool) {
        self.0
            .retain(|_, customer| !customer.is_idle() || !is_expired(customer.last_seen_at));
    }

    /// Removes the half of the idle customers that was seen least recently.
    fn evict_least_recent_idle(&mut self) {
        let idle = self.0.values().filter(|customer| customer.is_idle());
        let mut last_seen: Vec<_> = idle.map(|customer| customer.last_seen_at).collect();
        if last_seen.is_empty() {
            return;
        }
        let half = last_seen.len() / 2;
        let (_, median, _) = last_seen.select_nth_unstable_by(half, f64::total_cmp);
        let median = *median;
        self.forget_idle(|last_seen_at| last_seen_at <= median);
    }
}

#[cfg(test)]
mod tests;
