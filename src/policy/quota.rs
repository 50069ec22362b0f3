//! The customers' quotas, which all gateways enforce together by means of a shared counter.
//!
//! [`QuotaLedger`] connects the customers' levels (`customer_quota`), the calls to the counter
//! (`counter_calls`) and the exchange of usage with other gateways (`gossip`).
//!
//! A request's units are charged before the request is forwarded. Units are settled with a later charge in
//! two cases: the counter may not be called now, so the units were not charged, or the request used other
//! units than it was charged for.
//!
//! If the call of a charge fails and the counter can't have counted it, the units of its request are settled
//! with a later charge; earlier unsettled units that the failed call carried are lost. If the counter may
//! have counted the failed call, nothing is settled.

use crate::api::{Millis, RequestId, Settings};
use crate::gossip::UsageExchange;
use crate::policy::call_limiter::CallPriority;
use crate::policy::ceiling::CeilingShare;
use crate::policy::counter_calls::CounterCalls;
use crate::policy::customer_quota::{idle_timeout_ms, retry_after_ms};
use crate::policy::shared_quota::{PeerUsage, QuotaLimits};
use crate::primitives::mean::ExponentialMean;
use crate::state::{Account, ChargeReply, ChargeResult, Context, PendingCharge};
use crate::state::{Customer, Customers, OpenRequest, SharedQuota};

/// Minimum time between two calls that only query a customer's total, in ms.
const MIN_TOTAL_QUERY_INTERVAL_MS: Millis = 100.0;
/// Weight of one request in the mean units: about the last 100 requests count.
const MEAN_UNITS_GAIN: f64 = 0.01;
/// Mean units before the first request.
const INITIAL_MEAN_UNITS: f64 = 1.0;
/// Lower bound of the mean units as a divisor.
const MIN_MEAN_UNITS: f64 = 0.1;

/// The quotas of all customers as known to this gateway.
pub(crate) struct QuotaLedger {
    started_at: Millis,
    pub(crate) customers: Customers,
    counter: CounterCalls,
    pub(crate) gossip: UsageExchange,
    /// Mean units of one request, over all customers.
    mean_units: ExponentialMean,
}

impl QuotaLedger {
    pub(crate) fn new(now: Millis) -> Self {
        QuotaLedger {
            started_at: now,
            customers: Customers::default(),
            counter: CounterCalls::new(now),
            gossip: UsageExchange::default(),
            mean_units: ExponentialMean::new(INITIAL_MEAN_UNITS, MEAN_UNITS_GAIN),
        }
    }

    /// Records the arrival of a request: updates the mean units, adds the customer if it is unknown, and
    /// refills its levels. Returns the units left for the request.
    pub(crate) fn observe_request(&mut self, cx: &Context, open_request: &OpenRequest) -> f64 {
        self.mean_units.update(open_request.request.units);
        let gossip_active = self.gossip.is_active(cx);
        let customer = self.refill_customer(
            cx,
            open_request.account(),
            open_request.request.gateway_set_size,
        );
        customer.available_units(cx.plan(open_request.account()).burst, gossip_active)
    }

    /// Returns the units left for a request that has waited for the counter.
    pub(crate) fn available_units_after_wait(
        &mut self,
        cx: &Context,
        open_request: &OpenRequest,
    ) -> f64 {
        let gossip_active = self.gossip.is_active(cx);
        let customer = self.refill_customer(
            cx,
            open_request.account(),
            open_request.request.gateway_set_size,
        );
        customer.available_units_after_wait(gossip_active)
    }

    /// Returns the customer's attempts in flight at all gateways, given that an attempt takes `baseline_ms`.
    pub(crate) fn concurrent_attempts(
        &self,
        open_request: &OpenRequest,
        baseline_ms: Millis,
    ) -> f64 {
        let mean_units = self.mean_units.value().max(MIN_MEAN_UNITS);
        let customer = self.customers.get(open_request.request.customer);
        customer.map_or(0.0, |customer| {
            customer.concurrent_attempts(mean_units, baseline_ms)
        })
    }

    /// Refills the customer's levels and ceiling up to now, and adds the customer if it is unknown. The
    /// customer's requests arrive through `gateway_set_size` gateways.
    fn refill_customer(
        &mut self,
        cx: &Context,
        account: Account,
        gateway_set_size: f64,
    ) -> &mut Customer {
        let plan = cx.plan(account);
        let ceiling_share = CeilingShare::new(cx.settings, plan, gateway_set_size);
        let uptime_ms = cx.now - self.started_at;
        let customer = self.customers.get_or_insert_with(account.customer, || {
            let quota = SharedQuota::new(account.customer, cx.now, plan.burst);
            Customer::new(cx.now, quota, ceiling_share.initial_bucket(uptime_ms))
        });
        let peer_usage = if self.counter.limiter.is_exhausted() {
            PeerUsage::Extrapolate
        } else {
            PeerUsage::AwaitTotal
        };
        let elapsed_s = customer.refill(cx.now, quota_limits(cx, account), peer_usage);
        ceiling_share.refill(&mut customer.ceiling, elapsed_s);
        customer.last_seen_at = cx.now;
        customer
    }

    /// Records units that the customer used at this gateway, or a refund if negative.
    pub(crate) fn record_usage(&mut self, cx: &mut Context, account: Account, units: f64) {
        self.customers.record_usage(account.customer, units);
        self.gossip.record_usage(cx, account, units);
    }

    /// Adds units, or a refund if negative, to the customer's next charge.
    pub(crate) fn add_unsettled_units(&mut self, cx: &Context, account: Account, units: f64) {
        if let Some(customer) = self.customers.get_mut(account.customer) {
            customer
                .quota
                .add_unsettled_units(cx.now, units, quota_limits(cx, account));
        }
    }

    /// Settles the difference between the units that a request used and those that it was charged.
    pub(crate) fn settle(&mut self, cx: &mut Context, account: Account, units: f64) {
        self.add_unsettled_units(cx, account, units);
        self.record_usage(cx, account, units);
    }

    /// Returns the time after which the client may retry a request that is over its quota, in ms; the latency
    /// objective if the plan has no quota.
    pub(crate) fn retry_after(&self, cx: &Context, open_request: &OpenRequest) -> Millis {
        let plan = cx.plan(open_request.account());
        if plan.rate <= 0.0 {
            return cx.class(&open_request.request).latency_objective_ms;
        }
        let customer = self.customers.get(open_request.request.customer);
        let level = customer.map_or(0.0, |customer| customer.quota.level);
        retry_after_ms(plan, open_request.request.units, level)
    }

    /// Charges a request at the counter, if there is one. Returns whether the request waits for the reply.
    pub(crate) fn charge(&mut self, cx: &mut Context, open_request: &OpenRequest) -> bool {
        if !is_counted(cx, open_request) {
            return false;
        }
        // A counter that is short of capacity or down is called less often. The request is then admitted by
        // the usage known to this gateway, and its units are charged with a later call.
        if !self
            .counter
            .limiter
            .try_acquire(cx.now, CallPriority::Required)
        {
            self.gossip.record_shortage(cx.now);
            self.add_unsettled_units(cx, open_request.account(), open_request.request.units);
            return false;
        }
        self.call_counter(cx, open_request, open_request.request.units);
        !self.counter.limiter.is_down()
    }

    /// Returns the longest time that the request waits for the counter, in ms.
    pub(crate) fn max_wait_ms(&self, open_request: &OpenRequest) -> Millis {
        self.counter.max_wait_ms(open_request.latency_budget_ms)
    }

    /// Queries the customer's total at the counter at intervals while its requests are rejected, or forwarded
    /// over a limit, without a charge: the level would not be corrected otherwise.
    pub(crate) fn query_total(&mut self, cx: &mut Context, open_request: &OpenRequest) {
        let customer = self.customers.get(open_request.request.customer);
        let due = customer
            .is_some_and(|customer| cx.now - customer.last_call_at > MIN_TOTAL_QUERY_INTERVAL_MS);
        if due && is_counted(cx, open_request) {
            self.charge_unsettled_units(cx, open_request);
        }
    }

    /// Charges the customer's unsettled units, if the limiter permits an optional call.
    pub(crate) fn charge_unsettled_units(&mut self, cx: &mut Context, open_request: &OpenRequest) {
        if self
            .counter
            .limiter
            .try_acquire(cx.now, CallPriority::Optional)
        {
            self.call_counter(cx, open_request, 0.0);
        }
    }

    /// Adds the units and the customer's unsettled units to the customer's count.
    fn call_counter(&mut self, cx: &mut Context, open_request: &OpenRequest, units: f64) {
        let account = open_request.account();
        let Some(customer) = self.customers.get_mut(account.customer) else {
            return;
        };
        let charge = customer
            .quota
            .charge(cx.now, units, quota_limits(cx, account));
        customer.pending_calls += 1;
        customer.last_call_at = cx.now;
        let pending = PendingCharge {
            account,
            request: open_request.request.id,
            charge,
        };
        self.counter.start(cx, pending);
    }

    /// Handles the reply to a call or the failure of the call. Returns the request that the call was made
    /// for.
    pub(crate) fn counter_replied(
        &mut self,
        cx: &Context,
        reply: &ChargeReply,
    ) -> Option<RequestId> {
        let pending = self.counter.end(reply)?;
        if self.counter.record_reply(cx, reply) {
            self.gossip.record_shortage(cx.now);
        }
        self.apply_result(cx, &pending, reply.charge_result());
        Some(pending.request)
    }

    fn apply_result(&mut self, cx: &Context, pending: &PendingCharge, result: ChargeResult) {
        let gossip_active = self.gossip.is_active(cx);
        let Some(customer) = self.customers.get_mut(pending.account.customer) else {
            return;
        };
        customer.pending_calls = customer.pending_calls.saturating_sub(1);
        let limits = quota_limits(cx, pending.account);
        customer.apply_result(cx.now, pending.charge, result, limits, gossip_active);
    }

    /// Subtracts the units that customers used at another gateway, as stated in its gossip message.
    pub(crate) fn receive_gossip(&mut self, cx: &Context, from: u32, body: &[u8]) {
        for usage in self.gossip.receive(cx, from, body) {
            let account = Account {
                customer: usage.customer,
                plan: usize::from(usage.plan),
            };
            let Some(plan) = cx.settings.plans.get(account.plan) else {
                continue;
            };
            // The message doesn't state how many gateways the customer's requests arrive through. The
            // smallest share of the ceiling is safe, as none of these requests arrives through this gateway
            // now.
            let customer = self.refill_customer(cx, account, f64::INFINITY);
            customer.record_peer_usage(usage.units, plan.burst);
        }
    }

    /// Forgets customers that have been idle for so long that their quotas must be full again.
    pub(crate) fn forget_idle(&mut self, now: Millis, settings: &Settings) {
        let idle_timeout_ms = idle_timeout_ms(settings);
        self.customers
            .forget_idle(|last_seen_at| now - last_seen_at >= idle_timeout_ms);
    }
}

fn quota_limits(cx: &Context, account: Account) -> QuotaLimits {
    QuotaLimits::new(cx.settings, cx.plan(account))
}

/// Returns whether the customer's usage is counted at a shared counter.
fn is_counted(cx: &Context, open_request: &OpenRequest) -> bool {
    cx.settings.counter.is_some() && cx.plan(open_request.account()).rate > 0.0
}
