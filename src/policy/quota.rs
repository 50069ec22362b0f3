//! The customers' quotas, which all gateways enforce together by means of a shared counter.

use crate::api::{Action, Millis, RequestId, Settings};
use crate::gossip::UsageExchange;
use crate::policy::call_limiter::CallPriority;
use crate::policy::counter_calls::CounterCalls;
use crate::policy::shared_quota::{
    key_ttl_ms, refill_time_s, time_constant_s, PeerUsage, QuotaLimits,
};
use crate::primitives::mean::ExponentialMean;
use crate::primitives::token_bucket::TokenBucket;
use crate::state::{counter_key, CounterCall, CounterReply, OpenRequest, PendingCounterCalls};
use crate::state::{Account, Context, Customer, Customers, SharedQuota};

/// Least time between two calls that only ask for a customer's total, in ms.
const MIN_TOTAL_QUERY_INTERVAL_MS: f64 = 100.0;
/// A customer is forgotten once it was idle for this many time constants in which its usage decays: its quota
/// must be full again.
const IDLE_TIME_CONSTANTS: f64 = 3.0;
/// Shortest idle time after which a customer is forgotten, in ms.
const MIN_IDLE_MS: f64 = 1000.0;
/// Retry-After of a request over its quota: half the time in which the missing units are refilled.
const RETRY_AFTER_MS_PER_REFILL_SECOND: f64 = 500.0;
/// Weight of one request in the mean units: about the last hundred count.
const MEAN_UNITS_GAIN: f64 = 0.01;
/// The mean units before any request.
const INITIAL_MEAN_UNITS: f64 = 1.0;
/// The least mean units to divide by.
const MIN_MEAN_UNITS: f64 = 0.1;

/// The quotas of all customers, as this gateway knows them.
pub(crate) struct QuotaLedger {
    started_at: Millis,
    pub(crate) customers: Customers,
    counter: CounterCalls,
    pub(crate) gossip: UsageExchange,
    pending_calls: PendingCounterCalls,
    mean_units: ExponentialMean,
}

impl QuotaLedger {
    pub(crate) fn new(now: Millis) -> Self {
        QuotaLedger {
            started_at: now,
            customers: Customers::default(),
            counter: CounterCalls::new(now),
            gossip: UsageExchange::default(),
            pending_calls: PendingCounterCalls::default(),
            mean_units: ExponentialMean::new(INITIAL_MEAN_UNITS, MEAN_UNITS_GAIN),
        }
    }

    /// Units left for a request that has just come in; other gateways can only have used more.
    pub(crate) fn available_units(&mut self, cx: &Context, open: &OpenRequest) -> f64 {
        self.mean_units.update(open.request.units);
        let gossip_active = self.gossip.is_active(cx);
        let customer = self.refresh(cx, open.account(), open.request.gateway_set_size);
        let level = customer.quota.level.min(cx.plan(open.account()).burst);
        let level = if gossip_active {
            customer.gossip_level
        } else {
            level
        };
        level - customer.reserved_units
    }

    /// Units left for a request that has waited for the counter.
    pub(crate) fn counted_units(&mut self, cx: &Context, open: &OpenRequest) -> f64 {
        let gossip_active = self.gossip.is_active(cx);
        let customer = self.refresh(cx, open.account(), open.request.gateway_set_size);
        let level = customer.quota.level;
        if gossip_active {
            return level.min(customer.gossip_level);
        }
        level
    }

    /// The customer's attempts in flight at all gateways, where one takes `baseline_ms`.
    pub(crate) fn concurrent_attempts(&self, open: &OpenRequest, baseline_ms: Millis) -> f64 {
        let mean_units = self.mean_units.value().max(MIN_MEAN_UNITS);
        let customer = self.customers.get(open.request.customer);
        customer.map_or(0.0, |customer| {
            concurrent_attempts(customer, mean_units, baseline_ms)
        })
    }

    /// Refills what the customer may use, up to now; a customer that is not known yet is added. It comes
    /// through `gateway_set_size` gateways.
    fn refresh(&mut self, cx: &Context, account: Account, gateway_set_size: f64) -> &mut Customer {
        let plan = cx.plan(account);
        let ceiling_share =
            1.0 / gateway_set_size.clamp(1.0, f64::from(cx.settings.gateway_count.max(1)));
        let ceiling_capacity = plan.ceiling_burst * ceiling_share;
        let uptime_s = (cx.now - self.started_at).max(0.0) / 1000.0;
        let customer = self.customers.get_or_insert_with(account.customer, || {
            // A restarted gateway can't know what it sent before: its share of a ceiling starts empty.
            let ceiling = (uptime_s * plan.ceiling_rate * ceiling_share).min(ceiling_capacity);
            let quota = SharedQuota::new(account.customer, cx.now, plan.burst);
            Customer::new(cx.now, quota, TokenBucket::new(ceiling))
        });
        let exhausted = self.counter.limiter.is_exhausted();
        let peer_usage = if exhausted {
            PeerUsage::Extrapolate
        } else {
            PeerUsage::AwaitTotal
        };
        let elapsed_s = refill(customer, cx.now, quota_limits(cx, account), peer_usage);
        customer.ceiling.refill(
            elapsed_s * plan.ceiling_rate * ceiling_share,
            ceiling_capacity,
        );
        customer.last_seen_at = cx.now;
        customer
    }

    /// The customer used units here, or is refunded if negative.
    pub(crate) fn record_usage(&mut self, cx: &mut Context, account: Account, units: f64) {
        self.customers.record_usage(account.customer, units);
        self.gossip.record_usage(cx, account, units);
    }

    /// Units that the customer's next charge carries to the counter, or refunds if negative.
    pub(crate) fn settle_later(&mut self, cx: &Context, account: Account, units: f64) {
        if let Some(customer) = self.customers.get_mut(account.customer) {
            customer
                .quota
                .settle_later(cx.now, units, quota_limits(cx, account));
        }
    }

    /// Corrects a charge whose request turned out to use other units.
    pub(crate) fn settle(&mut self, cx: &mut Context, account: Account, units: f64) {
        self.settle_later(cx, account, units);
        self.record_usage(cx, account, units);
    }

    /// Advice to a client whose request is over its quota, in ms.
    pub(crate) fn retry_after(&self, cx: &Context, open: &OpenRequest) -> Millis {
        let plan = cx.plan(open.account());
        if plan.rate <= 0.0 {
            return cx.class(&open.request).latency_objective_ms;
        }
        let level = self
            .customers
            .get(open.request.customer)
            .map_or(0.0, |customer| customer.quota.level);
        let missing = open.request.units.min(plan.burst) - level;
        (missing / plan.rate * RETRY_AFTER_MS_PER_REFILL_SECOND).max(0.0)
    }

    /// Charges a request at the counter, if there is one. Returns whether it waits for the answer.
    pub(crate) fn charge(&mut self, cx: &mut Context, open: &OpenRequest) -> bool {
        if !is_counted(cx, open) {
            return false;
        }
        // A counter that fails is still called, less often; what is not charged now is with the next call.
        if !self
            .counter
            .limiter
            .try_acquire(cx.now, CallPriority::Required)
        {
            self.gossip.record_shortage(cx.now);
            self.settle_later(cx, open.account(), open.request.units);
            return false;
        }
        self.call_counter(cx, open, open.request.units);
        !self.counter.limiter.is_down()
    }

    /// Longest time that the request waits for the counter, in ms.
    pub(crate) fn max_wait(&self, open: &OpenRequest) -> Millis {
        self.counter.wait.timeout(open.objective_ms)
    }

    /// Asks the counter for the customer's total now and then, while requests are rejected without a charge.
    pub(crate) fn query_total(&mut self, cx: &mut Context, open: &OpenRequest) {
        let customer = self.customers.get(open.request.customer);
        let due =
            customer.is_some_and(|known| cx.now - known.last_call_at > MIN_TOTAL_QUERY_INTERVAL_MS);
        if due && is_counted(cx, open) {
            self.settle_now(cx, open);
        }
    }

    /// Calls the counter with the units not settled yet, if it is well.
    pub(crate) fn settle_now(&mut self, cx: &mut Context, open: &OpenRequest) {
        if self
            .counter
            .limiter
            .try_acquire(cx.now, CallPriority::Optional)
        {
            self.call_counter(cx, open, 0.0);
        }
    }

    /// Adds the units, and those not settled yet, to the customer's count.
    fn call_counter(&mut self, cx: &mut Context, open: &OpenRequest, units: f64) {
        let account = open.account();
        let Some(customer) = self.customers.get_mut(account.customer) else {
            return;
        };
        let charge = customer
            .quota
            .charge(cx.now, units, quota_limits(cx, account));
        customer.pending_calls += 1;
        customer.last_call_at = cx.now;
        let key = counter_key(account.customer, charge.window);
        cx.actions.push(Action::AddToCounter {
            key,
            amount: charge.weighted_units,
            ttl_ms: key_ttl_ms(&charge),
        });
        self.pending_calls.push(
            key,
            CounterCall {
                account,
                request: open.request.id,
                charge,
            },
        );
    }

    /// The counter has answered a call, or the call has failed. Returns the request that it was made for.
    pub(crate) fn counter_replied(
        &mut self,
        cx: &Context,
        reply: &CounterReply,
    ) -> Option<RequestId> {
        let call = self.pending_calls.pop(reply.key)?;
        if self.counter.record_reply(cx, reply) {
            self.gossip.record_shortage(cx.now);
        }
        self.apply_reply(cx, &call, reply);
        Some(call.request)
    }

    /// Rebuilds the customer's quota from the reply to a call.
    fn apply_reply(&mut self, cx: &Context, call: &CounterCall, reply: &CounterReply) {
        let Some(customer) = self.customers.get_mut(call.account.customer) else {
            return;
        };
        let limits = quota_limits(cx, call.account);
        customer.pending_calls = customer.pending_calls.saturating_sub(1);
        if let Some(total) = reply.valid_total() {
            refill(customer, cx.now, limits, PeerUsage::AwaitTotal);
            let applied = customer
                .quota
                .apply_total(cx.now, call.charge, total, limits);
            // All usage is on the count unless gateways exchange it.
            if applied && !self.gossip.is_active(cx) {
                customer.gossip_level = customer.quota.level;
            }
        } else if reply.outcome.never_executed() {
            // A call that timed out may have been counted, and is not repeated.
            customer
                .quota
                .settle_later(cx.now, call.charge.units, limits);
        }
    }

    /// Subtracts what customers used at another gateway, as its message says.
    pub(crate) fn receive_gossip(&mut self, cx: &Context, from: u32, body: &[u8]) {
        for usage in self.gossip.receive(cx, from, body) {
            let account = Account {
                customer: usage.customer,
                plan: usize::from(usage.plan),
            };
            let Some(plan) = cx.settings.plans.get(account.plan) else {
                continue;
            };
            // The number of its gateways is unknown: the least share of a ceiling, as nothing is sent here.
            let customer = self.refresh(cx, account, f64::INFINITY);
            if customer.gossip_level >= usage.units {
                customer.gossip_level = (customer.gossip_level - usage.units).min(plan.burst);
            }
        }
    }

    /// Forgets the customers whose quotas must be full again.
    pub(crate) fn forget_idle(&mut self, now: Millis, settings: &Settings) {
        let idle_ms = settings.plans.iter().map(|plan| {
            let quota_full_ms = time_constant_s(plan) * IDLE_TIME_CONSTANTS * 1000.0;
            quota_full_ms.max(refill_time_s(plan.ceiling_burst, plan.ceiling_rate) * 1000.0)
        });
        let longest_ms = idle_ms.fold(MIN_IDLE_MS, f64::max);
        self.customers
            .forget_idle(|last_seen_at| now - last_seen_at >= longest_ms);
    }
}

/// Refills the levels of the quota up to now and returns the time since they were last refilled, in s.
fn refill(customer: &mut Customer, now: Millis, limits: QuotaLimits, peer_usage: PeerUsage) -> f64 {
    let elapsed_s = customer.quota.refill(now, limits, peer_usage);
    customer.gossip_level = (customer.gossip_level + elapsed_s * limits.rate).min(limits.burst);
    elapsed_s
}

/// Attempts in flight at all gateways. Those of this one are counted; those of its peers are estimated by
/// Little's law from their rate of usage, the mean units of a request and the duration of an attempt.
fn concurrent_attempts(customer: &Customer, mean_units: f64, duration_ms: Millis) -> f64 {
    let at_peers = customer.quota.peer_rate / mean_units * duration_ms / 1000.0;
    f64::from(customer.in_flight + customer.pending_calls) + at_peers.round()
}

fn quota_limits(cx: &Context, account: Account) -> QuotaLimits {
    QuotaLimits::new(cx.settings, cx.plan(account))
}

/// Whether the counter holds the customer's usage.
fn is_counted(cx: &Context, open: &OpenRequest) -> bool {
    cx.settings.counter.is_some() && cx.plan(open.account()).rate > 0.0
}
