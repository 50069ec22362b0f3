//! What gateways tell each other of their customers' usage while the counter has no capacity for all calls.

use super::message::{Message, UnsentUsage, Usage, ALL_GATEWAYS};
use crate::api::{Action, Millis};
use crate::state::{Account, Context, Timer};

/// Usage is exchanged for this long after a call last met a counter without capacity, in ms.
const EXCHANGE_MS: f64 = 10_000.0;
/// Time between two messages for each other gateway, in ms: so each receives few of them.
const INTERVAL_PER_GATEWAY_MS: f64 = 25.0;

/// The exchange of usage with the other gateways.
#[derive(Default)]
pub(crate) struct UsageExchange {
    unsent: UnsentUsage,
    timer_set: bool,
    /// When a call of this gateway last met a counter without capacity.
    local_shortage_at: Option<Millis>,
    /// When a call of any gateway did, as far as known here.
    fleet_shortage_at: Option<Millis>,
}

impl UsageExchange {
    /// Whether usage is exchanged at present.
    pub(crate) fn is_active(&self, cx: &Context) -> bool {
        let permitted = cx.settings.limits.gossip && cx.settings.gateway_count > 1;
        permitted && is_recent(cx.now, self.fleet_shortage_at)
    }

    /// A call of this gateway met a counter without capacity.
    pub(crate) fn record_shortage(&mut self, now: Millis) {
        self.local_shortage_at = Some(now);
        self.fleet_shortage_at = Some(now);
    }

    /// A customer used units here, or was refunded if negative.
    pub(crate) fn record_usage(&mut self, cx: &mut Context, account: Account, units: f64) {
        if self.is_active(cx) {
            self.unsent.add(account.customer, account.plan as u8, units);
            self.set_timer(cx);
        }
    }

    /// The timer has fired: sends what fits into one message.
    pub(crate) fn send(&mut self, cx: &mut Context) {
        self.timer_set = false;
        let usages = self.unsent.take_for_message();
        let counter_short = is_recent(cx.now, self.local_shortage_at);
        let body = Message {
            counter_short,
            usages,
        }
        .encode();
        cx.actions.push(Action::Gossip {
            to: ALL_GATEWAYS,
            body,
        });
        self.set_timer(cx);
    }

    /// Usage at another gateway, from its message; none if the message is invalid.
    pub(crate) fn receive(&mut self, cx: &Context, from: u32, body: &[u8]) -> Vec<Usage> {
        let known = from < cx.settings.gateway_count && from != cx.settings.gateway_index;
        if !known || !cx.settings.limits.gossip {
            return Vec::new();
        }
        let Ok(message) = Message::decode(body) else {
            return Vec::new();
        };
        if message.counter_short {
            self.fleet_shortage_at = Some(cx.now);
        }
        message.usages
    }

    fn set_timer(&mut self, cx: &mut Context) {
        if !self.unsent.is_empty() && !std::mem::replace(&mut self.timer_set, true) {
            cx.set_timer(
                Timer::Gossip,
                INTERVAL_PER_GATEWAY_MS * f64::from(cx.settings.gateway_count - 1),
            );
        }
    }
}

fn is_recent(now: Millis, shortage_at: Option<Millis>) -> bool {
    shortage_at.is_some_and(|at| now - at < EXCHANGE_MS)
}
