//! What the gateway knows of its customers.

use crate::api::{CustomerId, Millis, Request};
use crate::primitives::token_bucket::TokenBucket;
use crate::state::{OpenRequest, SharedQuota};
use std::collections::BTreeMap;

/// One customer as this gateway sees it. `policy::customer_quota` has the further methods, which decide on its quota.
pub(crate) struct Customer {
    pub(crate) last_seen_at: Millis,
    /// The quota, by the counter and this gateway's usage.
    pub(crate) quota: SharedQuota,
    /// Units left of the quota, by this gateway's usage and by gossip.
    pub(crate) gossip_level: f64,
    /// This gateway's share of the plan's hard ceiling.
    pub(crate) ceiling: TokenBucket,
    /// Units of requests that wait for the counter's reply.
    pub(crate) reserved_units: f64,
    /// Calls to the counter in flight.
    pub(crate) pending_calls: u32,
    pub(crate) last_call_at: Millis,
    /// Attempts in flight.
    pub(crate) in_flight: u32,
}

impl Customer {
    /// A customer not seen before.
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

    /// Whether the customer has no work and no counter call in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending_calls == 0 && self.in_flight == 0 && self.reserved_units <= 0.0
    }
}

/// From this number of customers on, idle ones are forgotten before another one is added. A client can send any
/// number as its customer: without a limit, invented numbers would take up all memory. Customers with work in flight
/// are never forgotten, so that there can be more as long as all are active.
const MAX_CUSTOMERS: usize = 16_384;

/// The customers, by number. Where they are too many, the half of the idle ones that was not seen for longest is
/// forgotten.
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
            self.forget_longest_idle_half();
        }
        self.0.entry(id).or_insert_with(new)
    }

    /// The customer used units here, or is refunded if negative.
    pub(crate) fn record_usage(&mut self, id: CustomerId, units: f64) {
        if let Some(customer) = self.get_mut(id) {
            customer.quota.take(units);
            customer.gossip_level -= units;
        }
    }

    /// Whether this gateway's share of the hard ceiling has the request's units left.
    pub(crate) fn fits_ceiling(&self, request: &Request) -> bool {
        self.get(request.customer)
            .is_some_and(|customer| customer.ceiling.has(request.units))
    }

    /// An attempt is sent; the first one of a request counts against the hard ceiling.
    pub(crate) fn attempt_started(&mut self, request: &Request, first: bool) {
        let Some(customer) = self.get_mut(request.customer) else {
            return;
        };
        customer.in_flight += 1;
        if first {
            customer.ceiling.take(request.units);
        }
    }

    pub(crate) fn attempt_ended(&mut self, request: &Request) {
        if let Some(customer) = self.get_mut(request.customer) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
        }
    }

    /// The request waits for the counter's reply, with its units reserved.
    pub(crate) fn reserve(&mut self, open: &mut OpenRequest) {
        open.awaiting_counter = true;
        if let Some(customer) = self.get_mut(open.request.customer) {
            customer.reserved_units += open.request.units;
        }
    }

    /// Ends the request's wait for the counter, if it waits.
    pub(crate) fn release(&mut self, open: &mut OpenRequest) {
        let waited = std::mem::take(&mut open.awaiting_counter);
        if let Some(customer) = self.get_mut(open.request.customer).filter(|_| waited) {
            customer.reserved_units = (customer.reserved_units - open.request.units).max(0.0);
        }
    }

    /// Forgets the idle customers for whose `last_seen_at` this holds.
    pub(crate) fn forget_idle(&mut self, is_expired: impl Fn(Millis) -> bool) {
        self.0
            .retain(|_, customer| !customer.is_idle() || !is_expired(customer.last_seen_at));
    }

    /// Forgets the half of the idle customers that were not seen for longest.
    fn forget_longest_idle_half(&mut self) {
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
